//! Backfill reservations for jobs that find no machine. Small tasks would otherwise keep occupying
//! the resources that a large task needs on a single machine.

use snowshelf_model::records::Resources;

/// Time without any task on a machine after which a job gets a reservation, in milliseconds. Users
/// expect each job to start within four minutes. The rest of that time is for running tasks to end
/// and for a second reservation on another machine.
pub const MIN_WAIT_MS: u64 = 90_000;
/// Maximum duration of a reservation, in milliseconds. The tasks on the machine may run for longer,
/// and other jobs cannot use it meanwhile.
pub const RESERVATION_MS: u64 = 60_000;
/// Time after a reservation during which the job gets no other one, in milliseconds.
pub const COOLDOWN_MS: u64 = 30_000;
/// Number of machines for each reservation that a shard may make.
const MACHINES_PER_RESERVATION: usize = 20;

/// Returns the maximum number of concurrent reservations of a shard with this number of machines.
#[must_use]
pub fn max_reservations(machines: usize) -> usize {
    machines.div_ceil(MACHINES_PER_RESERVATION)
}

/// A machine that may be reserved.
#[derive(Clone, Copy, Debug)]
pub struct BackfillCandidate {
    /// The resources that are free now.
    pub free: Resources,
    /// The resources that are free once all tasks that end by themselves have ended.
    pub eventually_free: Resources,
}

/// Returns the fraction of a task's required resources that is free, from 0 to 1, by the scarcest
/// resource.
#[must_use]
pub fn covered_fraction(task: Resources, free: Resources) -> f64 {
    let fraction = |required: f64, free: f64| {
        if required > 0.0 {
            (free / required).clamp(0.0, 1.0)
        } else {
            1.0
        }
    };
    fraction(task.cpus, free.cpus)
        .min(fraction(task.gpus, free.gpus))
        .min(fraction(task.mem, free.mem))
}

/// Returns the position of the machine with the largest [`covered_fraction`], the first one on ties.
/// Only machines whose `eventually_free` resources fit the task are considered; `None` without any.
pub fn best_candidate(
    task: Resources,
    machines: impl Iterator<Item = BackfillCandidate>,
) -> Option<usize> {
    let fitting = machines
        .enumerate()
        .filter(|(_, m)| task.fits_in(m.eventually_free));
    let covered = fitting.map(|(position, m)| (position, covered_fraction(task, m.free)));
    let best = covered.reduce(|a, b| if b.1 > a.1 { b } else { a });
    best.map(|(position, _)| position)
}
