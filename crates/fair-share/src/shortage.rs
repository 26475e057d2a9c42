//! A class of which much is late cannot be served whole: its smaller jobs go earlier, so that the same machines serve more
//! of its jobs in time, and the class is left behind less by others whose tasks fit in anywhere.

use std::collections::BTreeMap;

/// The jobs of a class that wait.
#[derive(Clone, Copy, Default, Debug)]
struct ClassDemand {
    jobs: f64,
    /// Of these, those that have missed one of their objectives.
    late: f64,
    /// CPU seconds of all.
    work: f64,
}

/// Jobs with so many times the mean work of their class, and above, go as they would without any shortage.
const LARGE_JOB_FACTOR: f64 = 2.0;

/// How short capacity is, by class of jobs.
#[derive(Default, Debug)]
pub struct Shortage<'a>(BTreeMap<&'a str, ClassDemand>);

impl<'a> Shortage<'a> {
    /// Adds a waiting job of a class, with so many CPU seconds of work.
    pub fn add_job(&mut self, class: &'a str, late: bool, work: f64) {
        let demand = self.0.entry(class).or_default();
        demand.jobs += 1.0;
        demand.late += f64::from(u8::from(late));
        demand.work += work;
    }

    /// The fraction of the time that a job's tasks may wait by its objectives within which they should start now: all of
    /// it while no job of its class is late, and the less the more are, and the smaller the job is.
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
