//! What this controller knows of the jobs that a report lists, and so whether its answer may renew the lease.

use super::context::Context;
use snowshelf_model::ids::{Attempt, JobId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::{TaskRef, TaskState, TaskStatus};
use snowshelf_model::records::JobState;
use snowshelf_watermark::renewal::{
    JobKnowledge, LeaseRenewal, RenewalRefusal, WatermarkSource, authorize_renewal,
};

impl Context<'_> {
    /// Leave to answer a report to a part's owner that came at `received` and lists these tasks.
    pub fn authorize_renewal(
        &self,
        shard_id: ShardId,
        listed: &[TaskStatus],
        received: MonotonicMillis,
    ) -> Result<LeaseRenewal<(TaskRef, Attempt)>, RenewalRefusal> {
        let basis = match self.records.loaded {
            true => WatermarkSource::AllRecords(self.watermark),
            false => WatermarkSource::SingleRecords(self.began),
        };
        let answering_ms = self.config.settings.answering_ms();
        let alive = listed.iter().filter(|t| t.state != TaskState::Exited);
        let alive = alive.map(|t| {
            (
                (t.task.clone(), t.attempt),
                self.known(shard_id, &t.task.job),
            )
        });
        authorize_renewal(basis, received, answering_ms, alive)
    }

    /// The jobs of which a report lists tasks and nothing has been read.
    pub fn unread<'a>(
        &'a self,
        shard_id: ShardId,
        listed: &'a [TaskStatus],
    ) -> impl Iterator<Item = &'a JobId> + 'a {
        let jobs = listed.iter().map(|t| &t.task.job);
        jobs.filter(move |job| self.known(shard_id, job) == JobKnowledge::Unread)
    }

    fn known(&self, shard_id: ShardId, job: &JobId) -> JobKnowledge {
        if self.attested.contains_key(job) {
            return JobKnowledge::Cancelled;
        }
        let state = match (self.records.finished_job(job), self.records.jobs.get(job)) {
            (Some(end), _) => end.state,
            (None, Some(record)) => record.value.state,
            // A share without a job that can be read: it must not be taken for one that nobody has cancelled.
            (None, None)
                if self
                    .records
                    .allocations
                    .contains_key(&(shard_id, job.clone())) =>
            {
                return JobKnowledge::Unread;
            }
            // No share of it is open, so that nothing of it ran when this was read; or it has begun since.
            (None, None) if self.records.loaded || self.absent.contains(job) => {
                return JobKnowledge::Open;
            }
            (None, None) => return JobKnowledge::Unread,
        };
        match state {
            JobState::Cancelled => JobKnowledge::Cancelled,
            JobState::Open | JobState::Done => JobKnowledge::Open,
        }
    }
}
