//! Lookups of single job records. They let deferred heartbeats be answered before the startup read has listed all
//! records.

use super::Controller;
use crate::coordination::context::KvRequest;
use crate::storage::kv_client::{GetOutcome, KvResponse, RequestPriority, unexpected_response};
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::{JobId, MonotonicMillis, ShardId};
use snowshelf_model::protocol::worker::Heartbeat;
use snowshelf_model::records::job_key;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of concurrent lookups. It leaves request budget for the startup read's list requests.
const MAX_IN_FLIGHT: usize = 8;
const LOOKUP_TIMEOUT_MS: u64 = 1_500;

/// The lookups of jobs that heartbeats list.
#[derive(Default)]
pub(super) struct JobLookups {
    /// The lookups in flight, and when each was sent.
    in_flight: BTreeMap<JobId, MonotonicMillis>,
    /// Jobs for which a lookup found no record.
    absent: BTreeSet<JobId>,
}

impl JobLookups {
    pub(super) fn absent(&self) -> &BTreeSet<JobId> {
        &self.absent
    }
}

impl Controller {
    /// Looks up the jobs that a deferred heartbeat lists and whose records have not been read.
    pub(super) fn look_up_listed_jobs(&mut self, shard_id: ShardId, heartbeat: &Heartbeat) {
        let env = &mut self.env;
        let context = env.context();
        let unread = context.unread_jobs(shard_id, &heartbeat.tasks);
        let unread: BTreeSet<JobId> = unread.cloned().collect();
        let now = env.now();
        for job in unread {
            if env.job_lookups.in_flight.len() < MAX_IN_FLIGHT
                && !env.job_lookups.in_flight.contains_key(&job)
                && env.kv.has_budget(now, RequestPriority::Admission, 0)
            {
                env.job_lookups.in_flight.insert(job.clone(), now);
                let key = job_key(&job);
                let request = KvRequest::JobLookup(job);
                env.kv
                    .get(&mut env.effects, request, &key, LOOKUP_TIMEOUT_MS);
            }
        }
    }

    /// Handles the response to a lookup of a dependency or of a job that a heartbeat lists.
    pub(super) fn on_job_lookup(&mut self, job: JobId, response: KvResponse) {
        let KvResponse::Get(outcome) = response else {
            unexpected_response(&KvRequest::JobLookup(job));
            return;
        };
        let env = &mut self.env;
        if let GetOutcome::Found(item) = &outcome {
            env.records
                .apply(&item.key, Some(&item.value), item.version);
        }
        if let Some(sent_at) = env.job_lookups.in_flight.remove(&job) {
            match &outcome {
                GetOutcome::Found(_) => self.list_watch.on_single_read(&job, sent_at),
                GetOutcome::NotFound(_) => {
                    env.job_lookups.absent.insert(job.clone());
                }
                GetOutcome::Failed => {}
            }
        }
        if let GetOutcome::NotFound(_) = outcome {
            tracing::error!(job = %job, "job record not found");
        }
        self.on_record_changes(vec![RecordChange::Job(job)]);
    }
}
