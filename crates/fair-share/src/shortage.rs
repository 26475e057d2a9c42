//! The queue order when capacity is short. If many jobs of a class miss their objectives, its
//! smaller jobs are started earlier. The same machines then start more of its jobs in time, and the
//! class falls behind less against classes whose tasks fit on any machine.

use std::collections::BTreeMap;

/// The waiting jobs of a class.
#[derive(Clone, Copy, Default, Debug)]
struct ClassDemand {
    jobs: f64,
    /// Number of these jobs that have missed an objective.
    late: f64,
    /// Work of these jobs, in CPU seconds.
    work: f64,
}

/// Jobs with at least this multiple of their class's mean work are not started earlier.
const LARGE_JOB_FACTOR: f64 = 2.0;

/// The waiting and late jobs of each class, from which the order under shortage is computed.
#[derive(Default, Debug)]
pub struct Shortage<'a>(BTreeMap<&'a str, ClassDemand>);

impl<'a> Shortage<'a> {
    /// Adds a waiting job of a class, with its work in CPU seconds. `late` jobs have missed an objective.
    pub fn add_job(&mut self, class: &'a str, late: bool, work: f64) {
        let demand = self.0.entry(class).or_default();
        demand.jobs += 1.0;
        demand.late += f64::from(u8::from(late));
        demand.work += work;
    }

    /// Returns the fraction, from 0 to 1, of the wait limit set by a job's objectives within which its
    /// tasks should start. It is 1 while no job of the class is late. It decreases with the fraction
    /// of late jobs, and more so for smaller jobs.
    #[must_use]
    pub fn slack(&self, class: &str, work: f64) -> f64 {
        let Some(demand) = self.0.get(class).filter(|d| d.late > 0.0) else {
            return 1.0;
        };
        let mean_work = demand.work / demand.jobs;
        let smallness = if mean_work > 0.0 {
            1.0 - (work / (LARGE_JOB_FACTOR * mean_work)).clamp(0.0, 1.0)
        } else {
            0.0
        };
        1.0 - smallness * demand.late / demand.jobs
    }
}
