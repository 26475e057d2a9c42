//! An index of machines by class. Machines of a class are equivalent to every job: they have the
//! same type, zone, kind and reservation. Whether a job may use a class is evaluated once for all of
//! its machines, and a class on which a task cannot fit is skipped without visiting them.

use snowshelf_model::records::Resources;

/// A machine with its free resources.
#[derive(Debug)]
pub struct IndexedMachine<T> {
    /// The resources that are available to further tasks.
    pub free: Resources,
    class: usize,
    /// The caller's data on the machine.
    pub machine: T,
}

#[derive(Debug)]
struct Class<K> {
    key: K,
    members: Vec<usize>,
    /// An upper bound of the free resources of each member, separately for each resource.
    max_free: Resources,
}

/// Machines with free resources, in insertion order. `K` is the key of a class, `T` the caller's data
/// on a machine.
#[derive(Debug)]
pub struct CapacityIndex<K, T> {
    entries: Vec<IndexedMachine<T>>,
    classes: Vec<Class<K>>,
}

/// The classes that a job may use, as one flag for each class of the index.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct AllowedClasses(Vec<bool>);

impl AllowedClasses {
    /// Whether the job may use no class.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.0.contains(&true)
    }
}

/// Lower than any free resources; the initial value of an upper bound.
const MIN_RESOURCES: Resources = Resources {
    cpus: f64::MIN,
    gpus: f64::MIN,
    mem: f64::MIN,
};

/// Raises an upper bound to at least `free`, separately for each resource.
fn raise_bound(bound: &mut Resources, free: Resources) {
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
    /// Adds a machine to the first class whose key `is_same` accepts, or to a new class with the key
    /// that `new_key` returns.
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
                max_free: MIN_RESOURCES,
            });
            self.classes.len() - 1
        });
        self.classes[class].members.push(self.entries.len());
        raise_bound(&mut self.classes[class].max_free, free);
        self.entries.push(IndexedMachine {
            free,
            class,
            machine,
        });
    }

    /// Returns the machines in insertion order.
    #[must_use]
    pub fn entries(&self) -> &[IndexedMachine<T>] {
        &self.entries
    }

    /// Returns the caller's data on the machine at a position of [`entries`](Self::entries).
    pub fn machine_mut(&mut self, position: usize) -> &mut T {
        &mut self.entries[position].machine
    }

    /// Returns the key of a machine's class.
    #[must_use]
    pub fn class(&self, entry: &IndexedMachine<T>) -> &K {
        &self.classes[entry.class].key
    }

    /// Returns the classes that a job may use. Calls `is_allowed` once for each class, in the order in
    /// which the classes were created.
    pub fn allowed(&self, is_allowed: impl FnMut(&K) -> bool) -> AllowedClasses {
        let keys = self.classes.iter().map(|c| &c.key);
        AllowedClasses(keys.map(is_allowed).collect())
    }

    /// Returns the machines of the allowed classes on which a task fits, as sorted positions in
    /// [`entries`](Self::entries).
    pub fn fitting(&mut self, task: Resources, allowed: &AllowedClasses) -> Vec<usize> {
        let mut found = Vec::new();
        for (class, allowed) in self.classes.iter_mut().zip(&allowed.0) {
            if !allowed || !task.fits_in(class.max_free) {
                continue;
            }
            // Visiting the members makes the bound exact. It stays an upper bound, since free resources
            // only shrink.
            let mut max_free = MIN_RESOURCES;
            for position in &class.members {
                let free = self.entries[*position].free;
                raise_bound(&mut max_free, free);
                if task.fits_in(free) {
                    found.push(*position);
                }
            }
            class.max_free = max_free;
        }
        found.sort_unstable();
        found
    }

    /// Iterates over the keys of the classes and the machines of each class.
    pub fn classes(&self) -> impl Iterator<Item = (&K, impl Iterator<Item = &IndexedMachine<T>>)> {
        let entries = &self.entries;
        let classes = self.classes.iter();
        classes.map(move |c| {
            (
                &c.key,
                c.members.iter().map(move |position| &entries[*position]),
            )
        })
    }

    /// Iterates over the keys and numbers of machines of the allowed classes.
    pub fn class_sizes(&self, allowed: &AllowedClasses) -> impl Iterator<Item = (&K, usize)> {
        let classes = self.classes.iter().zip(&allowed.0);
        let classes = classes.filter(|(_, allowed)| **allowed);
        classes.map(|(c, _)| (&c.key, c.members.len()))
    }

    /// Subtracts a task's resources from those free on the machine at a position of
    /// [`entries`](Self::entries).
    pub fn allocate(&mut self, position: usize, task: Resources) {
        self.entries[position].free.sub(task);
    }
}
