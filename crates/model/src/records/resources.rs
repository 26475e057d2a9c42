//! Amounts of what tasks take and machines have.

use serde::{Deserialize, Serialize};

/// What one task takes of its machine.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
}

/// Absorbs the rounding of repeated additions; far below any real request.
pub(super) const EPS: f64 = 1e-6;

impl Resources {
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }
    pub fn times(self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            mem: self.mem * n,
        }
    }
    pub fn fits_in(self, free: Resources) -> bool {
        self.cpus <= free.cpus + EPS && self.gpus <= free.gpus + EPS && self.mem <= free.mem + EPS
    }
    /// How many tasks of this size go into `free`.
    pub fn count_in(self, free: Resources) -> u32 {
        let mut count = f64::from(u32::MAX);
        for (requested, available) in [
            (self.cpus, free.cpus),
            (self.gpus, free.gpus),
            (self.mem, free.mem),
        ] {
            if requested > 0.0 {
                count = count.min(((available + EPS) / requested).floor());
            }
        }
        count.max(0.0) as u32
    }
}
