//! Machines by class: whatever is equal to every job (type, zone, kind, what it is reserved for) is asked about once for
//! all its machines, and a class in which nothing fits is passed over without a look at any.

use snowshelf_model::records::Resources;

/// A machine and what of it is free.
#[derive(Debug)]
pub struct IndexedMachine<T> {
    /// The resources that are free.
    pub free: Resources,
    class: usize,
    /// What else is known of the machine.
    pub machine: T,
}

#[derive(Debug)]
struct Class<K> {
    key: K,
    members: Vec<usize>,
    /// An upper bound of what any member has free, by resource.
    max_free: Resources,
}

/// Machines with free resources, in the order in which they were added; `K` is what makes them equal to a job.
#[derive(Debug)]
pub struct CapacityIndex<K, T> {
    entries: Vec<IndexedMachine<T>>,
    classes: Vec<Class<K>>,
}

/// Which classes a job may use, by their numbers.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct AllowedClasses(Vec<bool>);

impl AllowedClasses {
    /// Whether the job may use none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.0.contains(&true)
    }
}

const NOTHING: Resources = Resources {
    cpus: f64::MIN,
    gpus: f64::MIN,
    mem: f64::MIN,
};

fn raise(bound: &mut Resources, free: Resources) {
    bound.cpus = bound.cpus.max(free.cpus);
    bound.gpus = bound.gpus.max(free.gpus);
    bound.mem = bound.mem.max(free.mem);
}

impl<K, T> Default for CapacityIndex<K, T> {
    fn default() -> Self {
        CapacityIndex {
            entries: Vec::new(),
            classes: Vec::new(),
        }
    }
}

impl<K, T> CapacityIndex<K, T> {
    /// Adds a machine to the class that `is_same` accepts, or to a new one with the key that `new_key` makes.
    pub fn push(
        &mut self,
        is_same: impl Fn(&K) -> bool,
        new_key: impl FnOnce() -> K,
        free: Resources,
        machine: T,
    ) {
        let found = self.classes.iter().position(|c| is_same(&c.key));
        let class = found.unwrap_or_else(|| {
            self.classes.push(Class {
                key: new_key(),
                members: Vec::new(),
                max_free: NOTHING,
            });
            self.classes.len() - 1
        });
        self.classes[class].members.push(self.entries.len());
        raise(&mut self.classes[class].max_free, free);
        self.entries.push(IndexedMachine {
            free,
            class,
            machine,
        });
    }

    /// The machines in the order in which they were added.
    #[must_use]
    pub fn entries(&self) -> &[IndexedMachine<T>] {
        &self.entries
    }

    /// What else is known of the machine at a place of [`entries`](Self::entries).
    pub fn machine_mut(&mut self, at: usize) -> &mut T {
        &mut self.entries[at].machine
    }

    /// What makes a machine equal to the others of its class.
    #[must_use]
    pub fn class(&self, entry: &IndexedMachine<T>) -> &K {
        &self.classes[entry.class].key
    }

    /// The classes that a job may use, each asked about once.
    pub fn allowed(&self, is_allowed: impl FnMut(&K) -> bool) -> AllowedClasses {
        let keys = self.classes.iter().map(|c| &c.key);
        AllowedClasses(keys.map(is_allowed).collect())
    }

    /// The machines of these classes on which a task fits, by their places in [`entries`](Self::entries), in that order.
    pub fn fitting(&mut self, task: Resources, allowed: &AllowedClasses) -> Vec<usize> {
        let mut found = Vec::new();
        for (class, allowed) in self.classes.iter_mut().zip(&allowed.0) {
            if !allowed || !task.fits_in(class.max_free) {
                continue;
            }
            // The bound is made exact on the way: free resources only shrink, so that it stays one.
            let mut max_free = NOTHING;
            for at in &class.members {
                let free = self.entries[*at].free;
                raise(&mut max_free, free);
                if task.fits_in(free) {
                    found.push(*at);
                }
            }
            class.max_free = max_free;
        }
        found.sort_unstable();
        found
    }

    /// Each class with its machines.
    pub fn classes(&self) -> impl Iterator<Item = (&K, impl Iterator<Item = &IndexedMachine<T>>)> {
        let entries = &self.entries;
        let classes = self.classes.iter();
        classes.map(move |c| (&c.key, c.members.iter().map(move |at| &entries[*at])))
    }

    /// How many machines there are in each class that a job may use.
    pub fn class_sizes(&self, allowed: &AllowedClasses) -> impl Iterator<Item = (&K, usize)> {
        let classes = self.classes.iter().zip(&allowed.0);
        let classes = classes.filter(|(_, allowed)| **allowed);
        classes.map(|(c, _)| (&c.key, c.members.len()))
    }

    /// Takes resources of the machine at a place of [`entries`](Self::entries) for a task.
    pub fn allocate(&mut self, at: usize, task: Resources) {
        self.entries[at].free.sub(task);
    }
}
