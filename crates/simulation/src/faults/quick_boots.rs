//! Machines that are up within two seconds of being rented, before the cloud's list shows them.

use crate::Simulation;
use rand::RngExt;

const QUICK_MS: std::ops::Range<u64> = 100..1_900;
const BOOT_MS: std::ops::Range<u64> = 1_000..12_000;

impl Simulation {
    /// How long a machine that is rented now takes to boot.
    pub(crate) fn boot_ms(&mut self) -> u64 {
        let range = match self.injected.quick_boots {
            true => QUICK_MS,
            false => BOOT_MS,
        };
        self.rng.random_range(range)
    }
}
