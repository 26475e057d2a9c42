//! Backfill reservations for jobs that find no machine: what large tasks need is only free if small ones leave it alone for
//! a while.

use snowshelf_model::records::Resources;

/// A job of which nothing is on a machine after so long gets a reservation, in milliseconds. The users want every job to
/// have begun within four minutes: that leaves time for tasks that have to end first, and for a second try elsewhere.
pub const MIN_WAIT_MS: u64 = 90_000;
/// A reservation lasts so long at the most, in milliseconds: what is on the machine may last, and others wait meanwhile.
pub const RESERVATION_MS: u64 = 60_000;
/// Then the job gets no other one for so long, in milliseconds.
pub const COOLDOWN_MS: u64 = 30_000;
/// Of so many machines one may be reserved.
const MACHINES_PER_RESERVATION: usize = 20;

/// The most reservations that a shard with so many machines makes at a time.
#[must_use]
pub fn max_reservations(machines: usize) -> usize {
    machines.div_ceil(MACHINES_PER_RESERVATION)
}

/// A machine that may be reserved.
#[derive(Clone, Copy, Debug)]
pub struct BackfillCandidate {
    /// What is free now.
    pub free: Resources,
    /// What will be free once all that ends by itself has ended.
    pub eventually_free: Resources,
}

/// How much of what a task needs is free: the fraction of whatever is shortest, 1 at most.
#[must_use]
pub fn covered_fraction(task: Resources, free: Resources) -> f64 {
    let fraction = |needed: f64, free: f64| {
        if needed > 0.0 {
            (free / needed).clamp(0.0, 1.0)
        } else {
            1.0
        }
    };
    fraction(task.cpus, free.cpus)
        .min(fraction(task.gpus, free.gpus))
        .min(fraction(task.mem, free.mem))
}

/// The place of the machine that is nearest to having what a task needs, the first of equals; `None` if none ever has.
pub fn nearest(
    task: Resources,
    machines: impl Iterator<Item = BackfillCandidate>,
) -> Option<usize> {
    let fitting = machines
        .enumerate()
        .filter(|(_, m)| task.fits_in(m.eventually_free));
    let covered = fitting.map(|(at, m)| (at, covered_fraction(task, m.free)));
    let nearest = covered.reduce(|a, b| if b.1 > a.1 { b } else { a });
    nearest.map(|(at, _)| at)
}
