//! What this controller knows of the jobs that a report lists, and so whether its answer may renew the lease.

use super::env::Env;
use snowshelf_horizon::renewal::{Basis, Known, Refusal, Renewal, renewal};
use snowshelf_model::ids::{Attempt, JobId, Millis, PartId};
use snowshelf_model::protocol::worker::{TaskRef, TaskReport, TaskState};
use snowshelf_model::records::JobState;

impl Env<'_> {
    /// Leave to answer a report to a part's owner that came at `received` and lists these tasks.
    pub fn renewal(
        &self,
        part: PartId,
        listed: &[TaskReport],
        received: Millis,
    ) -> Result<Renewal<(TaskRef, Attempt)>, Refusal> {
        let basis = match self.mirror.loaded {
            true => Basis::Read(self.horizon),
            false => Basis::Reading(self.began),
        };
        let answering_ms = self.cfg.settings.answering_ms();
        let alive = listed.iter().filter(|t| t.state != TaskState::Exited);
        let alive = alive.map(|t| ((t.task.clone(), t.attempt), self.known(part, &t.task.job)));
        renewal(basis, received, answering_ms, alive)
    }

    /// The jobs of which a report lists tasks and nothing has been read.
    pub fn unread<'a>(
        &'a self,
        part: PartId,
        listed: &'a [TaskReport],
    ) -> impl Iterator<Item = &'a JobId> + 'a {
        let jobs = listed.iter().map(|t| &t.task.job);
        jobs.filter(move |job| self.known(part, job) == Known::Unread)
    }

    fn known(&self, part: PartId, job: &JobId) -> Known {
        if self.attested.contains_key(job) {
            return Known::Cancelled;
        }
        let state = match (self.mirror.final_of(job), self.mirror.jobs.get(job)) {
            (Some(end), _) => end.state,
            (None, Some(record)) => record.value.state,
            // A share without a job that can be read: it must not be taken for one that nobody has cancelled.
            (None, None) if self.mirror.allocs.contains_key(&(part, job.clone())) => {
                return Known::Unread;
            }
            // No share of it is open, so that nothing of it ran when this was read; or it has begun since.
            (None, None) if self.mirror.loaded || self.absent.contains(job) => return Known::Open,
            (None, None) => return Known::Unread,
        };
        match state {
            JobState::Cancelled => Known::Cancelled,
            JobState::Open | JobState::Done => Known::Open,
        }
    }
}
