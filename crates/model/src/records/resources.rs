//! Amounts of what tasks require and machines have.

use serde::{Deserialize, Serialize};

/// What one task requires, or a machine has.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem: f64,
}

/// Absorbs the rounding of repeated additions; far below any real request.
pub(super) const EPSILON: f64 = 1e-6;

impl Resources {
    /// Adds other resources.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }

    /// Subtracts other resources.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }

    /// These resources `factor` times.
    #[must_use]
    pub fn times(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            mem: self.mem * factor,
        }
    }

    /// Whether a task that requires these fits into `free`.
    #[must_use]
    pub fn fits_in(self, free: Resources) -> bool {
        self.cpus <= free.cpus + EPSILON
            && self.gpus <= free.gpus + EPSILON
            && self.mem <= free.mem + EPSILON
    }

    /// How many tasks that require these fit into `free`.
    #[must_use]
    pub fn count_in(self, free: Resources) -> u32 {
        let mut count = f64::from(u32::MAX);
        for (requested, available) in [
            (self.cpus, free.cpus),
            (self.gpus, free.gpus),
            (self.mem, free.mem),
        ] {
            if requested > 0.0 {
                count = count.min(((available + EPSILON) / requested).floor());
            }
        }
        count.max(0.0) as u32
    }
}
