//! The capacity of a shard's machines, by which jobs are divided among the shards.

/// The CPUs of a shard's machines.
#[derive(Clone, Copy, Default, Debug)]
pub struct ShardCapacity {
    /// CPUs that no task uses.
    pub free: f64,
    /// CPUs of all machines.
    pub capacity: f64,
    /// CPUs that the shard's waiting tasks ask for.
    pub waiting: f64,
}

impl ShardCapacity {
    /// Counts tasks of so many CPUs that were assigned to the shard: they start or wait.
    pub fn assign(&mut self, cpus: f64) {
        let starts = cpus.min(self.free.max(0.0));
        self.free -= starts;
        self.waiting += cpus - starts;
    }
}
