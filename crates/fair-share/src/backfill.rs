//! Room held for a job that finds none: what large tasks need is only there if small ones leave it alone for a while.

use snowshelf_model::records::Resources;

/// A job of which nothing is on a machine after so long gets room held, in milliseconds. The users want every job to have
/// begun within four minutes: that leaves time for tasks that have to end first, and for a second try elsewhere.
pub const WAITED_MS: u64 = 90_000;
/// Room is held for so long at the most, in milliseconds: what is on the machine may last, and others wait meanwhile.
pub const HELD_MS: u64 = 60_000;
/// Then nothing is held for the job for so long, in milliseconds.
pub const REST_MS: u64 = 30_000;
/// Of so many machines one may be held.
const ONE_OF: usize = 20;

/// For how many jobs a part with so many machines holds room at a time.
pub fn most(machines: usize) -> usize {
    machines.div_ceil(ONE_OF)
}

/// A machine that may be held.
#[derive(Clone, Copy, Debug)]
pub struct BackfillCandidate {
    pub free: Resources,
    /// What will be free once all that ends by itself has ended.
    pub in_time: Resources,
}

/// How much of what a task needs is free: the share of whatever is shortest, 1 at most.
pub fn covered(task: Resources, free: Resources) -> f64 {
    let share = |need: f64, free: f64| match need > 0.0 {
        true => (free / need).clamp(0.0, 1.0),
        false => 1.0,
    };
    share(task.cpus, free.cpus)
        .min(share(task.gpus, free.gpus))
        .min(share(task.mem, free.mem))
}

/// Which of these machines is nearest to having room for a task, the first of equals; none if none ever has.
pub fn nearest(
    task: Resources,
    machines: impl Iterator<Item = BackfillCandidate>,
) -> Option<usize> {
    let fit = machines
        .enumerate()
        .filter(|(_, m)| task.fits_in(m.in_time));
    let covered = fit.map(|(at, m)| (at, covered(task, m.free)));
    let nearest = covered.reduce(|a, b| if b.1 > a.1 { b } else { a });
    nearest.map(|(at, _)| at)
}
