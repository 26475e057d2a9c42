//! Authorization of worker lease renewals, based on what this controller knows about the jobs that a heartbeat lists.

use super::context::Context;
use snowshelf_model::ids::{Attempt, JobId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::{TaskRef, TaskState, TaskStatus};
use snowshelf_model::records::JobState;
use snowshelf_watermark::renewal::{
    CancellationStatus, LeaseRenewal, RenewalRefusal, WatermarkSource, authorize_renewal,
};

impl Context<'_> {
    /// Decides whether a shard leader may respond to a heartbeat, which renews the lease of the worker's tasks. The
    /// heartbeat was received at `received` and lists `tasks`.
    ///
    /// # Errors
    /// Returns the reason why the lease must not be renewed.
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

    /// The jobs that a heartbeat lists and whose records have not been read.
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

    /// What is known about a job that has no record in the cache.
    fn uncached_job_knowledge(&self, shard_id: ShardId, job: &JobId) -> CancellationStatus {
        let allocation = (shard_id, job.clone());
        // The job has an allocation but no readable record. It may have been cancelled, so it does not count as open.
        if self.records.allocations.contains_key(&allocation) {
            return CancellationStatus::Unread;
        }
        // The job has no allocation in this shard: none of its tasks ran here when the records were read, or it was
        // allocated afterwards.
        match self.records.loaded || self.absent_jobs.contains(job) {
            true => CancellationStatus::NotCancelled,
            false => CancellationStatus::Unread,
        }
    }
}
