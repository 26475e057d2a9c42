//! Whether the response to a heartbeat may renew the worker's lease: what this controller knows of the jobs that the
//! heartbeat lists.

use super::context::Context;
use snowshelf_model::ids::{Attempt, JobId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::{TaskRef, TaskState, TaskStatus};
use snowshelf_model::records::JobState;
use snowshelf_watermark::renewal::{
    CancellationStatus, LeaseRenewal, RenewalRefusal, WatermarkSource, authorize_renewal,
};

impl Context<'_> {
    /// Authorizes the response to a heartbeat to a shard's leader that was received at this time and lists these tasks.
    ///
    /// # Errors
    /// Why the lease must not be renewed.
    pub fn authorize_renewal(
        &self,
        shard_id: ShardId,
        tasks: &[TaskStatus],
        received: MonotonicMillis,
    ) -> Result<LeaseRenewal<(TaskRef, Attempt)>, RenewalRefusal> {
        let source = match self.records.loaded {
            true => WatermarkSource::AllRecords(self.watermark),
            false => WatermarkSource::SingleRecords(self.started_at),
        };
        let answering_ms = self.config.settings.answering_ms();
        let alive = tasks.iter().filter(|t| t.state != TaskState::Exited);
        let alive = alive.map(|t| {
            let knowledge = self.job_knowledge(shard_id, &t.task.job);
            ((t.task.clone(), t.attempt), knowledge)
        });
        authorize_renewal(source, received, answering_ms, alive)
    }

    /// The jobs that a heartbeat lists and of which no record has been read.
    pub fn unread_jobs<'a>(
        &'a self,
        shard_id: ShardId,
        tasks: &'a [TaskStatus],
    ) -> impl Iterator<Item = &'a JobId> + 'a {
        let jobs = tasks.iter().map(|t| &t.task.job);
        jobs.filter(move |job| self.job_knowledge(shard_id, job) == CancellationStatus::Unread)
    }

    fn job_knowledge(&self, shard_id: ShardId, job: &JobId) -> CancellationStatus {
        if self.peer_confirmed.contains_key(job) {
            return CancellationStatus::Cancelled;
        }
        let cached = match self.records.finished_job(job) {
            Some(end) => Some(end.state),
            None => self.records.jobs.get(job).map(|v| v.value.state),
        };
        match cached {
            Some(JobState::Cancelled) => CancellationStatus::Cancelled,
            Some(JobState::Open | JobState::Done) => CancellationStatus::NotCancelled,
            None => self.uncached_job_knowledge(shard_id, job),
        }
    }

    /// What is known of a job without a record in the cache.
    fn uncached_job_knowledge(&self, shard_id: ShardId, job: &JobId) -> CancellationStatus {
        let allocation = (shard_id, job.clone());
        // An allocation without a job that can be read: it must not be taken for one that nobody has cancelled.
        if self.records.allocations.contains_key(&allocation) {
            return CancellationStatus::Unread;
        }
        // No allocation of it is open, so that nothing of it ran when this was read; or it has begun since.
        match self.records.loaded || self.absent_jobs.contains(job) {
            true => CancellationStatus::NotCancelled,
            false => CancellationStatus::Unread,
        }
    }
}
