//! A class of which much is late cannot be served whole: its smaller jobs go earlier, so that the same room serves
//! more of its jobs in time, and the class is left behind less by others whose tasks fit in anywhere.

use std::collections::BTreeMap;

/// The jobs of a class that wait.
#[derive(Clone, Copy, Default, Debug)]
struct Waiting {
    jobs: f64,
    /// Of these, those that have missed one of their aims.
    late: f64,
    /// CPU seconds of all.
    work: f64,
}

/// Jobs with so many times the mean work of their class, and above, go as they would without any shortage.
const LARGE: f64 = 2.0;

/// How short it is, by class.
#[derive(Default, Debug)]
pub struct Shortage<'a>(BTreeMap<&'a str, Waiting>);

impl<'a> Shortage<'a> {
    /// A job of a class waits, with so many CPU seconds of work.
    pub fn note(&mut self, class: &'a str, late: bool, work: f64) {
        let waiting = self.0.entry(class).or_default();
        waiting.jobs += 1.0;
        waiting.late += f64::from(u8::from(late));
        waiting.work += work;
    }

    /// The share of the time that a job's tasks may wait by its aims within which they should start now: all of it
    /// while nobody of its class is late, and the less the more are, and the smaller the job is.
    pub fn slack(&self, class: &str, work: f64) -> f64 {
        let Some(waiting) = self.0.get(class).filter(|w| w.late > 0.0) else {
            return 1.0;
        };
        let mean = waiting.work / waiting.jobs;
        let small = match mean > 0.0 {
            true => 1.0 - (work / (LARGE * mean)).clamp(0.0, 1.0),
            false => 0.0,
        };
        1.0 - small * waiting.late / waiting.jobs
    }
}
