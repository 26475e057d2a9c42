//! Routes responses of the key-value store and the cloud to the actors that sent the requests.

use super::Controller;
use super::environment::SHARD_LEADER_CLOUD_FRACTION;
use crate::coordination::api::JobApiRequest;
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::KvRequest;
use crate::coordination::leases::{LeaseRequest, Role, RoleChange};
use crate::coordination::list_watch::ListWatchRequest;
use crate::coordination::shard::{Shard, ShardRequest};
use crate::effects::CallOutcome;
use crate::storage::kv_client::{KvResponse, unexpected_response};
use crate::storage::record_cache::RecordChange;
use snowshelf_model::ids::{CallId, FencingToken, ShardId};

/// Smallest fraction of the cloud's request rate for the cluster leader.
const MIN_CLUSTER_LEADER_CLOUD_FRACTION: f64 = 0.3;
/// Fraction of its request rate that the cluster leader uses; the rest is a safety margin.
const CLOUD_RATE_USED_FRACTION: f64 = 0.95;

impl Controller {
    /// Routes the outcome of an HTTP call.
    pub(super) fn on_call_done(&mut self, id: CallId, outcome: &CallOutcome) {
        let now = self.env.now();
        if let Some((request, response)) = self.env.kv.on_outcome(now, id, outcome) {
            self.on_kv_response(request, response);
        } else if self.reachability.on_response(id, outcome) {
            // A probe has no effect on other actors.
        } else if let Some(request) = self.env.cloud.on_response(id, outcome) {
            self.on_cloud_response(request, outcome);
        } else if let Some(autoscaler) = &mut self.autoscaler {
            let types = autoscaler.on_cloud_response(id, outcome, &mut self.env.context());
            if let Some(types) = types {
                self.publish_machine_types(types);
            }
        }
    }

    /// Routes a response of the cloud to a shard leader.
    fn on_cloud_response(&mut self, request: CloudRequest, outcome: &CallOutcome) {
        if let CloudRequest::ShardScaleIn(shard_id, fencing_token, machines) = request {
            let confirmed = matches!(outcome, CallOutcome::Response { status: 200, .. });
            self.with_shard(shard_id, |shard, context| {
                if shard.fencing_token == fencing_token {
                    shard.on_machines_released(&machines, confirmed, context);
                }
            });
        }
    }

    /// Routes a response of the key-value store.
    fn on_kv_response(&mut self, request: KvRequest, response: KvResponse) {
        match request {
            KvRequest::Leases(request) => self.on_lease_response(request, response),
            KvRequest::ListWatch(request) => self.on_list_watch_response(request, response),
            KvRequest::Shard(shard_id, fencing_token, request) => {
                self.on_shard_response(shard_id, fencing_token, request, response);
            }
            KvRequest::JobApi(request) => self.on_job_api_response(request, response),
            KvRequest::JobLookup(job) => self.on_job_lookup(job, response),
            KvRequest::Reservations(request) => {
                let context = &mut self.env.context();
                let changes = self.reservations.on_response(request, response, context);
                self.on_record_changes(changes);
            }
            KvRequest::DagRuns(request) => {
                let context = &mut self.env.context();
                self.dag_runs.on_response(request, response, context);
            }
            KvRequest::Drains(id) => match response {
                KvResponse::Swap(outcome) => {
                    self.drains.on_outcome(id, outcome, &mut self.env.context());
                }
                _ => unexpected_response(&request),
            },
            KvRequest::FormatMigration { ref key, ref value } => match response {
                KvResponse::Swap(outcome) => {
                    let context = &mut self.env.context();
                    self.format_migration
                        .on_response(key, value, &outcome, context);
                }
                _ => unexpected_response(&request),
            },
            KvRequest::PublishMachineTypes(types) => {
                self.on_machine_types_published(&types, response);
            }
        }
    }

    fn on_lease_response(&mut self, request: LeaseRequest, response: KvResponse) {
        let change = self
            .leases
            .on_response(request, response, &mut self.env.context());
        match change {
            RoleChange::Unchanged => {}
            RoleChange::Acquired(Role::ShardLeader(shard_id), fencing_token) => {
                self.drop_shard(shard_id);
                let shard = Shard::new(shard_id, fencing_token, self.env.now());
                self.shards.insert(shard_id, shard);
                self.retry_deferred_heartbeats();
            }
            RoleChange::Acquired(Role::ClusterLeader, fencing_token) => {
                self.start_autoscaler(fencing_token);
            }
            RoleChange::AllLost => {
                while let Some(shard_id) = self.shards.keys().next().copied() {
                    self.drop_shard(shard_id);
                }
                self.autoscaler = None;
            }
        }
    }

    fn start_autoscaler(&mut self, fencing_token: FencingToken) {
        let config = &self.env.config;
        let shard_leaders = f64::from(config.shard_count);
        let fraction = (1.0 - shard_leaders * SHARD_LEADER_CLOUD_FRACTION)
            .max(MIN_CLUSTER_LEADER_CLOUD_FRACTION);
        let rps = fraction * config.settings.deployment.cloud.rps;
        let autoscaler = Autoscaler::new(
            fencing_token,
            CLOUD_RATE_USED_FRACTION * rps,
            self.env.now(),
        );
        self.autoscaler = Some(autoscaler);
    }

    fn on_shard_response(
        &mut self,
        shard_id: ShardId,
        fencing_token: FencingToken,
        request: ShardRequest,
        response: KvResponse,
    ) {
        if let (ShardRequest::ReadQuota { key }, KvResponse::Get(outcome)) = (&request, &response) {
            self.env.records.apply_get(key, outcome);
            return;
        }
        let stolen = match &request {
            ShardRequest::Steal { job, .. } => Some(job.clone()),
            _ => None,
        };
        self.with_shard(shard_id, |shard, context| {
            if shard.fencing_token == fencing_token {
                shard.on_response(request, response, context);
            }
        });
        // The job's allocations in the record cache have changed, whether or not the shard has a new leader.
        if let Some(job) = stolen {
            self.on_record_changes(vec![RecordChange::Job(job)]);
        }
    }

    fn on_job_api_response(&mut self, request: JobApiRequest, response: KvResponse) {
        let is_commit = matches!(request, JobApiRequest::Commit(_));
        let context = &mut self.env.context();
        let changes = self.job_api.on_response(request, response, context);
        if is_commit {
            self.refresh_new_allocations();
        }
        self.on_record_changes(changes);
    }

    /// Passes a response to the list-and-watch and lets it send its next request immediately.
    fn on_list_watch_response(&mut self, request: ListWatchRequest, response: KvResponse) {
        let context = &mut self.env.context();
        let changes = self.list_watch.on_response(request, response, context);
        self.on_record_changes(changes);
        if let Some(at) = self.list_watch.synced_up_to {
            self.env.cancellations.on_records_current(at);
        }
        self.list_watch.tick(&mut self.env.context());
    }
}
