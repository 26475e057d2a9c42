//! Amounts of the resources that tasks require and machines provide.

use serde::{Deserialize, Serialize};

/// Resources that a task requires, or that a machine provides.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem: f64,
}

/// Tolerance for the rounding errors of repeated additions; far below the amounts of any real task.
pub(super) const EPSILON: f64 = 1e-6;

impl Resources {
    /// Adds `other` to each amount.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }

    /// Subtracts `other` from each amount; amounts may become negative.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }

    /// Returns these resources multiplied by `factor`.
    #[must_use]
    pub fn times(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            mem: self.mem * factor,
        }
    }

    /// Whether a task that requires these resources fits into `free`.
    #[must_use]
    pub fn fits_in(self, free: Resources) -> bool {
        self.cpus <= free.cpus + EPSILON
            && self.gpus <= free.gpus + EPSILON
            && self.mem <= free.mem + EPSILON
    }

    /// Returns how many tasks that each require these resources fit into `free`.
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
