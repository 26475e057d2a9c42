//! Answers of the state service and the cloud, each to the actor that asked.

use super::{Controller, OWNER_CLOUD};
use crate::coordination::api::JobApiRequest;
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::context::{CloudTag, Context, KvRequest, Role};
use crate::coordination::leases::{LeaseRequest, RoleChange};
use crate::coordination::list_watch::ListWatch;
use crate::coordination::shard::{Shard, ShardRequest};
use crate::effects::CallOutcome;
use crate::storage::kv_client::{
    GetOutcome, KvResponse, RequestPriority, SwapOutcome, unexpected_response,
};
use crate::storage::record_cache::{RecordChange, TYPES_KEY};
use snowshelf_model::ids::{CallId, FencingToken, JobId, ShardId, Version};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::LEADER_KEY;
use std::collections::BTreeSet;

impl Controller {
    pub(super) fn call_done(&mut self, id: CallId, result: &CallOutcome) {
        let now = self.effects.now;
        if let Some((request, response)) = self.kv.done(now, id, result) {
            self.on_kv_response(request, response);
            return;
        }
        if self.reachability.done(id, result) {
            return;
        }
        if let Some(tag) = self.cloud.done(id, result) {
            if let CloudTag::ShardScaleIn(shard_id, fencing_token, names) = tag {
                let confirmed = matches!(result, CallOutcome::Response { status: 200, .. });
                self.with_shard(shard_id, |shard, context| {
                    if shard.fencing_token == fencing_token {
                        shard.returned(&names, confirmed, context);
                    }
                });
            }
            return;
        }
        if let Some(mut autoscaler) = self.autoscaler.take() {
            let types = autoscaler.on_cloud_response(id, result, &mut self.context());
            self.autoscaler = Some(autoscaler);
            if let Some(types) = types {
                self.publish_types(types);
            }
        }
    }

    /// The leader keeps the machine types where every controller finds them.
    pub(super) fn publish_types(&mut self, types: Vec<MachineType>) {
        let now = self.effects.now;
        let known = self.records.types.as_ref();
        let same = known.is_some_and(|k| *k.value == types);
        let value = serde_json::to_value(&types).unwrap_or_default();
        if !self.storage_limits.accepts(&value) {
            tracing::error!(
                types = types.len(),
                "machine types not published: value too large"
            );
            return;
        }
        if same || self.publishing || !self.kv.may(now, RequestPriority::Accept, 1) {
            return;
        }
        let Some(fencing_token) = self.leases.leads() else {
            return;
        };
        let version = known.map(|k| k.version).unwrap_or_default();
        let swap = CompareAndSwap::default()
            .compare(LEADER_KEY.to_string(), Version(fencing_token.0))
            .compare(TYPES_KEY.to_string(), version)
            .mutate(Mutation::put(TYPES_KEY.to_string(), &types));
        self.publishing = true;
        self.kv.compare_and_swap(
            &mut self.effects,
            KvRequest::PublishMachineTypes(types),
            &swap,
        );
    }

    /// Hands a response of the key-value store to the actor that asked.
    fn on_kv_response(&mut self, request: KvRequest, response: KvResponse) {
        match request {
            KvRequest::Leases(request) => self.on_lease_response(request, response),
            KvRequest::ListWatch(request) => {
                self.read(|list_watch, context| list_watch.on_response(request, response, context));
            }
            KvRequest::Shard(shard_id, fencing_token, request) => {
                self.on_shard_response(shard_id, fencing_token, request, response);
            }
            KvRequest::JobApi(request) => {
                let commits = matches!(request, JobApiRequest::Commit(_));
                let changed = self.with_job_api(|job_api, context| {
                    job_api.on_response(request, response, context)
                });
                if commits {
                    self.refresh_new();
                }
                self.changed(changed);
            }
            KvRequest::JobLookup(job) => self.on_job_lookup(job, response),
            KvRequest::Reservations(request) => {
                let changed = self.with_reservations(|reservations, context| {
                    reservations.on_response(request, response, context)
                });
                self.changed(changed);
            }
            KvRequest::DagRuns(request) => {
                self.with_dag_runs(|dag_runs, context| {
                    dag_runs.on_response(request, response, context)
                });
            }
            KvRequest::Drains(id) => match response {
                KvResponse::Swap(outcome) => {
                    self.with_drains(|drains, context| drains.on_outcome(id, outcome, context));
                }
                _ => unexpected_response(&request),
            },
            KvRequest::FormatMigration { ref key, ref value } => match response {
                KvResponse::Swap(outcome) => {
                    let mut format_migration = std::mem::take(&mut self.format_migration);
                    format_migration.declared(key, value, outcome, &mut self.context());
                    self.format_migration = format_migration;
                }
                _ => unexpected_response(&request),
            },
            KvRequest::PublishMachineTypes(types) => self.on_types_published(&types, response),
        }
    }

    fn on_lease_response(&mut self, request: LeaseRequest, response: KvResponse) {
        let mut leases = std::mem::take(&mut self.leases);
        let change = leases.on_response(request, response, &mut self.context());
        self.leases = leases;
        let now = self.effects.now;
        match change {
            RoleChange::Unchanged => {}
            RoleChange::Acquired(Role::ShardLeader(shard_id), fencing_token) => {
                if let Some(mut old) = self.shards.remove(&shard_id) {
                    old.drop_held(&mut self.context());
                }
                let shard = Shard::new(shard_id, fencing_token, now);
                self.shards.insert(shard_id, shard);
                self.open_doors();
            }
            RoleChange::Acquired(Role::ClusterLeader, fencing_token) => {
                let controllers = f64::from(self.config.shard_count);
                let cloud = &self.config.settings.deployment.cloud;
                let rps = (1.0 - controllers * OWNER_CLOUD).max(0.3) * cloud.rps;
                self.autoscaler = Some(Autoscaler::new(fencing_token, 0.95 * rps, now));
            }
            RoleChange::AllLost => self.drop_all(),
        }
    }

    fn on_shard_response(
        &mut self,
        shard_id: ShardId,
        fencing_token: FencingToken,
        request: ShardRequest,
        response: KvResponse,
    ) {
        if let (ShardRequest::ReadQuota { key }, KvResponse::Get(outcome)) = (&request, &response) {
            self.records.apply_outcome(key, outcome);
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
        // Every allocation of the job has changed hands in the record cache, whoever leads the shard by now.
        if let Some(job) = stolen {
            self.changed(vec![RecordChange::Job(job)]);
        }
    }

    /// The record of a job that jobs depend on, or that a heartbeat lists.
    fn on_job_lookup(&mut self, job: JobId, response: KvResponse) {
        let KvResponse::Get(outcome) = response else {
            unexpected_response(&KvRequest::JobLookup(job));
            return;
        };
        if let GetOutcome::Found(item) = &outcome {
            self.records
                .apply(&item.key, Some(&item.value), item.version);
        }
        if let Some(asked) = self.listed_asked.remove(&job) {
            match &outcome {
                GetOutcome::Found(_) => self.list_watch.read_alone(&job, asked),
                GetOutcome::NotFound(_) => {
                    self.listed_absent.insert(job.clone());
                }
                GetOutcome::Failed => {}
            }
        }
        if let GetOutcome::NotFound(_) = outcome {
            tracing::error!(job = %job, "job record not found");
        }
        self.changed(vec![RecordChange::Job(job)]);
    }

    fn on_types_published(&mut self, types: &[MachineType], response: KvResponse) {
        let KvResponse::Swap(outcome) = response else {
            unexpected_response(&KvRequest::PublishMachineTypes(types.to_vec()));
            return;
        };
        self.publishing = false;
        if let SwapOutcome::Done(revision) = outcome {
            let value = serde_json::to_value(types).unwrap_or_default();
            self.records.apply(TYPES_KEY, Some(&value), revision);
            self.changed(vec![RecordChange::Types]);
        }
    }

    /// Has the reader take something in, and ask on at once.
    fn read(&mut self, take: impl FnOnce(&mut ListWatch, &mut Context) -> Vec<RecordChange>) {
        let mut list_watch = std::mem::take(&mut self.list_watch);
        let changed = take(&mut list_watch, &mut self.context());
        self.list_watch = list_watch;
        self.changed(changed);
        if let Some(at) = self.list_watch.current_as_of {
            self.read_as_of(at);
        }
        let mut list_watch = std::mem::take(&mut self.list_watch);
        list_watch.tick(&mut self.context());
        self.list_watch = list_watch;
    }

    /// Shares that this controller's own gateway has just made.
    fn refresh_new(&mut self) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard_id in shards {
            self.with_shard(shard_id, |shard, context| {
                let new: Vec<JobId> = context
                    .records
                    .shard_allocations(shard_id)
                    .filter(|(job, _)| !shard.knows(job))
                    .map(|(job, _)| job.clone())
                    .collect();
                for job in new {
                    shard.refresh(&job, context);
                }
            });
        }
    }

    pub(super) fn changed(&mut self, changed: Vec<RecordChange>) {
        if self.reservations.is_built() {
            self.with_reservations(|reservations, context| {
                reservations.on_changes(&changed, context)
            });
        }
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for change in changed {
            match change {
                RecordChange::Job(job) | RecordChange::ShardAllocation(_, job) => {
                    jobs.insert(job);
                }
                RecordChange::Types => {
                    if let Some(types) = &self.records.types {
                        self.types = types
                            .value
                            .iter()
                            .map(|t| (t.label.clone(), t.clone()))
                            .collect();
                    }
                }
                _ => {}
            }
        }
        if jobs.is_empty() {
            return;
        }
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard_id in shards {
            self.with_shard(shard_id, |shard, context| {
                for job in &jobs {
                    shard.refresh(job, context);
                }
            });
        }
    }

    pub(super) fn drop_all(&mut self) {
        for (_, mut shard) in std::mem::take(&mut self.shards) {
            shard.drop_held(&mut self.context());
        }
        self.autoscaler = None;
    }
}
