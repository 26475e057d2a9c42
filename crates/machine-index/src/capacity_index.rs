//! Rooms in groups: whatever is equal to every job (type, zone, kind, what it is kept for) is asked about
//! once for all its machines, and a group in which nothing fits is passed over without a look at any.

use snowshelf_model::records::Resources;

/// A machine and what of it is free.
#[derive(Debug)]
pub struct IndexedMachine<T> {
    pub free: Resources,
    group: usize,
    pub what: T,
}

#[derive(Debug)]
struct Group<K> {
    key: K,
    members: Vec<usize>,
    /// At least what any member has free of each kind.
    most: Resources,
}

/// Machines with room, in the order in which they came; `K` is what makes them equal to a job.
#[derive(Debug)]
pub struct CapacityIndex<K, T> {
    entries: Vec<IndexedMachine<T>>,
    groups: Vec<Group<K>>,
}

/// Which groups a job may use, by their numbers.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct AllowedClasses(Vec<bool>);

impl AllowedClasses {
    pub fn none(&self) -> bool {
        !self.0.contains(&true)
    }
}

const NOTHING: Resources = Resources {
    cpus: f64::MIN,
    gpus: f64::MIN,
    mem: f64::MIN,
};

fn raise(most: &mut Resources, free: Resources) {
    most.cpus = most.cpus.max(free.cpus);
    most.gpus = most.gpus.max(free.gpus);
    most.mem = most.mem.max(free.mem);
}

impl<K, T> Default for CapacityIndex<K, T> {
    fn default() -> Self {
        CapacityIndex {
            entries: Vec::new(),
            groups: Vec::new(),
        }
    }
}

impl<K, T> CapacityIndex<K, T> {
    /// Adds a machine to the group that is the `same`, or to a new one.
    pub fn push(
        &mut self,
        same: impl Fn(&K) -> bool,
        key: impl FnOnce() -> K,
        free: Resources,
        what: T,
    ) {
        let found = self.groups.iter().position(|g| same(&g.key));
        let group = found.unwrap_or_else(|| {
            self.groups.push(Group {
                key: key(),
                members: Vec::new(),
                most: NOTHING,
            });
            self.groups.len() - 1
        });
        self.groups[group].members.push(self.entries.len());
        raise(&mut self.groups[group].most, free);
        self.entries.push(IndexedMachine { free, group, what });
    }

    pub fn entries(&self) -> &[IndexedMachine<T>] {
        &self.entries
    }

    pub fn entry(&mut self, at: usize) -> &mut T {
        &mut self.entries[at].what
    }

    /// What makes a machine equal to others.
    pub fn key(&self, entry: &IndexedMachine<T>) -> &K {
        &self.groups[entry.group].key
    }

    /// The groups that a job may use, each asked about once.
    pub fn allowed(&self, may: impl FnMut(&K) -> bool) -> AllowedClasses {
        AllowedClasses(self.groups.iter().map(|g| &g.key).map(may).collect())
    }

    /// The machines of these groups on which such a task fits, in the order in which they came.
    pub fn fitting(&mut self, task: Resources, allowed: &AllowedClasses) -> Vec<usize> {
        let mut found = Vec::new();
        for (group, allowed) in self.groups.iter_mut().zip(&allowed.0) {
            if !allowed || !task.fits_in(group.most) {
                continue;
            }
            // The bound is made exact by the way: room only shrinks, so that it stays one.
            let mut most = NOTHING;
            for at in &group.members {
                let free = self.entries[*at].free;
                raise(&mut most, free);
                if task.fits_in(free) {
                    found.push(*at);
                }
            }
            group.most = most;
        }
        found.sort_unstable();
        found
    }

    /// Each group with its machines.
    pub fn groups(&self) -> impl Iterator<Item = (&K, impl Iterator<Item = &IndexedMachine<T>>)> {
        let entries = &self.entries;
        let groups = self.groups.iter();
        groups.map(move |g| (&g.key, g.members.iter().map(move |at| &entries[*at])))
    }

    /// How many machines there are in each group that a job may use.
    pub fn sizes(&self, allowed: &AllowedClasses) -> impl Iterator<Item = (&K, usize)> {
        let groups = self.groups.iter().zip(&allowed.0);
        let groups = groups.filter(|(_, allowed)| **allowed);
        groups.map(|(g, _)| (&g.key, g.members.len()))
    }

    /// Takes room for tasks.
    pub fn take(&mut self, at: usize, task: Resources) {
        self.entries[at].free.sub(task);
    }
}
