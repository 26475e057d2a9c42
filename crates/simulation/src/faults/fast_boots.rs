//! Machines that boot within two seconds of being rented, before the cloud lists them.

use crate::Simulation;
use rand::RngExt;

const FAST_BOOT_MS: std::ops::Range<u64> = 100..1_900;
const BOOT_MS: std::ops::Range<u64> = 1_000..12_000;

impl Simulation {
    /// Draws the boot time of a new machine.
    pub(crate) fn draw_boot_ms(&mut self) -> u64 {
        let range = match self.injected.fast_boots {
            true => FAST_BOOT_MS,
            false => BOOT_MS,
        };
        self.rng.random_range(range)
    }
}
