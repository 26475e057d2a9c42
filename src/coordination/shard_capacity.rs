//! Shard capacities, by which the job API partitions jobs among the shards.

/// The CPUs of a shard's machines and the demand for them.
#[derive(Clone, Copy, Default, Debug)]
pub struct ShardCapacity {
    /// CPUs that no task uses.
    pub free: f64,
    /// CPUs of all machines.
    pub capacity: f64,
    /// CPUs that the shard's waiting tasks require.
    pub waiting: f64,
}

impl ShardCapacity {
    /// Counts tasks that require `cpus` and were assigned to the shard. They use free CPUs first; the rest waits.
    pub fn assign(&mut self, cpus: f64) {
        let starts = cpus.min(self.free.max(0.0));
        self.free -= starts;
        self.waiting += cpus - starts;
    }
}
