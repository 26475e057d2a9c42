//! Answers of the state service and the cloud, each to the actor that asked.

use super::{Controller, OWNER_CLOUD};
use crate::coordination::autoscaler::Autoscaler;
use crate::coordination::context::{CloudTag, Context, Role, Tag};
use crate::coordination::list_watch::ListWatch;
use crate::coordination::shard::Shard;
use crate::effects::CallOutcome;
use crate::storage::kv_client::{GetOutcome, KvResponse, RequestPriority, SwapOutcome};
use crate::storage::record_cache::{RecordChange, TYPES_KEY};
use snowshelf_model::ids::{CallId, JobId, ShardId, Version};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::LEADER_KEY;
use std::collections::BTreeSet;

impl Controller {
    pub(super) fn call_done(&mut self, id: CallId, result: &CallOutcome) {
        let now = self.effects.now;
        if let Some((tag, reply)) = self.kv.done(now, id, result) {
            self.reply(tag, reply);
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
            let types = autoscaler
                .cloud_done(id, result, &mut self.context())
                .flatten();
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
        self.kv
            .compare_and_swap(&mut self.effects, Tag::PublishTypes(types), &swap);
    }

    fn reply(&mut self, tag: Tag, reply: KvResponse) {
        match (tag, reply) {
            (Tag::LeaseNew, KvResponse::Lease(lease)) => {
                let mut leases = std::mem::take(&mut self.leases);
                leases.lease_new(lease, &self.context());
                self.leases = leases;
            }
            (Tag::LeaseRenew(sent), KvResponse::Renewed(result)) => {
                let mut leases = std::mem::take(&mut self.leases);
                let lost = leases.renewed(sent, result, &self.context());
                self.leases = leases;
                if lost {
                    self.drop_all();
                }
            }
            (Tag::AcquireRole(role), KvResponse::Swap(result)) => {
                let mut leases = std::mem::take(&mut self.leases);
                let fencing_token = leases.acquired(role, result, &mut self.context());
                self.leases = leases;
                let now = self.effects.now;
                match (role, fencing_token) {
                    (Role::ShardLeader(shard_id), Some(fencing_token)) => {
                        if let Some(mut old) = self.shards.remove(&shard_id) {
                            old.drop_held(&mut self.context());
                        }
                        self.shards
                            .insert(shard_id, Shard::new(shard_id, fencing_token, now));
                        self.open_doors();
                    }
                    (Role::ClusterLeader, Some(fencing_token)) => {
                        let nodes = f64::from(self.config.shard_count);
                        let rps = (1.0 - nodes * OWNER_CLOUD).max(0.3)
                            * self.config.settings.deployment.cloud.rps;
                        self.autoscaler = Some(Autoscaler::new(fencing_token, 0.95 * rps, now));
                    }
                    (_, None) => {}
                }
            }
            (Tag::GiveUp(shard_id), KvResponse::Swap(result)) => {
                let mut leases = std::mem::take(&mut self.leases);
                leases.gave(shard_id, result, &mut self.context());
                self.leases = leases;
            }
            (Tag::ReloadPage, KvResponse::RangePage(page)) => {
                self.read(|list_watch, context| list_watch.page(page, context));
            }
            (Tag::LookBack, KvResponse::WatchEvents(result)) => {
                self.read(|list_watch, context| list_watch.looked_back(result, context));
            }
            (Tag::Watch, KvResponse::WatchEvents(result)) => {
                self.read(|list_watch, context| list_watch.changes(result, context));
            }
            (Tag::ShardSwap(shard_id, fencing_token), KvResponse::Swap(result)) => {
                self.with_shard(shard_id, |shard, context| {
                    if shard.fencing_token == fencing_token {
                        shard.txn_done(result, context);
                    }
                });
            }
            (Tag::ShardRead(shard_id, fencing_token, key), KvResponse::Get(result)) => {
                self.with_shard(shard_id, |shard, context| {
                    if shard.fencing_token == fencing_token {
                        shard.read_done(&key, result, context);
                    }
                });
            }
            (Tag::QuotaSwap(shard_id, fencing_token), KvResponse::Swap(result)) => {
                self.with_shard(shard_id, |shard, context| {
                    if shard.fencing_token == fencing_token {
                        shard.quota_done(result, context);
                    }
                });
            }
            (Tag::QuotaRead(_, _, key), KvResponse::Get(result)) => match result {
                GetOutcome::Found(item) => {
                    self.records.apply(&key, Some(&item.value), item.version);
                }
                GetOutcome::NotFound(revision) => {
                    self.records.apply(&key, None, revision);
                }
                GetOutcome::Failed => {}
            },
            (Tag::ClaimSwap(shard_id, fencing_token, job, swap), KvResponse::Swap(result)) => {
                self.with_shard(shard_id, |shard, context| {
                    if shard.fencing_token == fencing_token {
                        shard.claim_done(&swap, result, context);
                    }
                });
                self.changed(vec![RecordChange::Job(job)]);
            }
            (Tag::Accept(id), KvResponse::Swap(result)) => {
                self.with_job_api(|job_api, context| job_api.accepted(id, result, context));
                self.refresh_new();
            }
            (Tag::Read(conn, job, why), KvResponse::Get(result)) => {
                self.with_job_api(|job_api, context| {
                    job_api.read_done(conn, &job, why, result, context)
                });
                self.changed(vec![RecordChange::Job(job)]);
            }
            (Tag::Pieces(id), KvResponse::Swap(result)) => {
                self.with_job_api(|job_api, context| job_api.pieces_done(id, result, context));
            }
            (Tag::Polls(id), KvResponse::Swap(result)) => {
                self.with_job_api(|job_api, context| job_api.polls_done(id, result, context));
            }
            (Tag::Needed(asker, job), KvResponse::Get(result)) => {
                if let GetOutcome::Found(item) = &result {
                    self.records
                        .apply(&item.key, Some(&item.value), item.version);
                }
                if asker.is_none()
                    && let Some(asked) = self.listed_asked.remove(&job)
                {
                    match &result {
                        GetOutcome::Found(_) => self.list_watch.read_alone(&job, asked),
                        GetOutcome::NotFound(_) => {
                            self.listed_absent.insert(job.clone());
                        }
                        GetOutcome::Failed => {}
                    }
                }
                if let Some(id) = asker {
                    self.with_job_api(|job_api, context| {
                        job_api.needed(id, &job, &result, context)
                    });
                } else if let GetOutcome::NotFound(_) = result {
                    tracing::error!(job = %job, "job record not found");
                }
                self.changed(vec![RecordChange::Job(job)]);
            }
            (Tag::Cascade(id), KvResponse::Swap(result)) => {
                let jobs =
                    self.with_job_api(|job_api, context| job_api.cascaded(id, result, context));
                self.changed(jobs.into_iter().map(RecordChange::Job).collect());
            }
            (Tag::RunBegin, KvResponse::Swap(result)) => {
                self.with_dag_runs(|dag_runs, context| dag_runs.begun(result, context));
            }
            (Tag::RunAsk(id), KvResponse::Swap(result)) => {
                self.with_dag_runs(|dag_runs, context| dag_runs.answered(id, result, context));
            }
            (Tag::GraphWrite(id), KvResponse::Swap(result)) => {
                self.with_dag_runs(|dag_runs, context| dag_runs.graph_written(id, result, context));
            }
            (Tag::RunEarlier(run, job), KvResponse::Get(result)) => {
                if let GetOutcome::Found(item) = &result {
                    let value = Some(&item.value);
                    self.records.apply(&item.key, value, item.version);
                }
                let missing = matches!(result, GetOutcome::NotFound(_));
                self.dag_runs.earlier(&run, &job, missing);
            }
            (Tag::RunTidy(keys), KvResponse::Swap(result)) => {
                self.with_dag_runs(|dag_runs, context| dag_runs.tidied(&keys, result, context));
            }
            (Tag::RunWrite(id), KvResponse::Swap(result)) => {
                self.with_dag_runs(|dag_runs, context| dag_runs.written(id, result, context));
            }
            (Tag::Reservations(id), KvResponse::Swap(result)) => {
                let changed = self.with_reservations(|b, context| b.done(id, result, context));
                self.changed(changed);
            }
            (Tag::BookingsTidy(key), KvResponse::Swap(result)) => {
                let changed = self.with_reservations(|b, context| b.tidied(&key, result, context));
                self.changed(changed);
            }
            (Tag::Drains(id), KvResponse::Swap(result)) => {
                self.with_drains(|drains, context| drains.done(id, result, context));
            }
            (Tag::Disrupt(shard_id, fencing_token), KvResponse::Swap(result)) => {
                self.with_shard(shard_id, |shard, context| {
                    if shard.fencing_token == fencing_token {
                        shard.charge_done(result, context);
                    }
                });
            }
            (Tag::Declare(key, value), KvResponse::Swap(result)) => {
                let mut format_migration = std::mem::take(&mut self.format_migration);
                format_migration.declared(&key, &value, result, &mut self.context());
                self.format_migration = format_migration;
            }
            (Tag::Cancel(id), KvResponse::Swap(result)) => {
                let job =
                    self.with_job_api(|job_api, context| job_api.cancelled(id, result, context));
                self.changed(job.into_iter().map(RecordChange::Job).collect());
            }
            (Tag::PublishTypes(types), KvResponse::Swap(result)) => {
                self.publishing = false;
                if let SwapOutcome::Done(revision) = result {
                    let value = serde_json::to_value(&types).unwrap_or_default();
                    self.records.apply(TYPES_KEY, Some(&value), revision);
                    self.changed(vec![RecordChange::Types]);
                }
            }
            (tag, _) => tracing::error!(?tag, "response of unexpected kind"),
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
            self.with_reservations(|reservations, context| reservations.changed(&changed, context));
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
