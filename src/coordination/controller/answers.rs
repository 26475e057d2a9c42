//! Answers of the state service and the cloud, each to the actor that asked.

use super::{Controller, OWNER_CLOUD};
use crate::bookkeeping::mirror::{Changed, TYPES_KEY};
use crate::bookkeeping::store::{Class, GetResult, Reply, TxnResult};
use crate::coordination::env::{Claim, CloudTag, Env, Tag};
use crate::coordination::fleet::Fleet;
use crate::coordination::reader::Reader;
use crate::coordination::shard::Shard;
use crate::outbox::CallResult;
use snowshelf_model::ids::{CallId, JobId, PartId, Version};
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::state::{Change, Txn};
use snowshelf_model::records::LEADER_KEY;
use std::collections::BTreeSet;

impl Controller {
    pub(super) fn call_done(&mut self, id: CallId, result: &CallResult) {
        let now = self.out.now;
        if let Some((tag, reply)) = self.store.done(now, id, result) {
            self.reply(tag, reply);
            return;
        }
        if self.hearing.done(id, result) {
            return;
        }
        if let Some(tag) = self.cloud.done(id, result) {
            if let CloudTag::PartRelease(part, token, names) = tag {
                let confirmed = matches!(result, CallResult::Answer { status: 200, .. });
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.returned(&names, confirmed, env);
                    }
                });
            }
            return;
        }
        if let Some(mut fleet) = self.fleet.take() {
            let types = fleet.cloud_done(id, result, &mut self.env()).flatten();
            self.fleet = Some(fleet);
            if let Some(types) = types {
                self.publish_types(types);
            }
        }
    }

    /// The leader keeps the machine types where every controller finds them.
    pub(super) fn publish_types(&mut self, types: Vec<MachineType>) {
        let now = self.out.now;
        let known = self.mirror.types.as_ref();
        let same = known.is_some_and(|k| *k.value == types);
        let value = serde_json::to_value(&types).unwrap_or_default();
        if !self.terms.takes(&value) {
            tracing::error!(types = types.len(), "too many machine types for one value");
            return;
        }
        if same || self.publishing || !self.store.may(now, Class::Accept, 1) {
            return;
        }
        let Some(token) = self.own.leads() else {
            return;
        };
        let version = known.map(|k| k.version).unwrap_or_default();
        let txn = Txn::default()
            .when(LEADER_KEY.to_string(), Version(token.0))
            .when(TYPES_KEY.to_string(), version)
            .then(Change::write(TYPES_KEY.to_string(), &types));
        self.publishing = true;
        self.store
            .txn(&mut self.out, Tag::PublishTypes(types), &txn);
    }

    fn reply(&mut self, tag: Tag, reply: Reply) {
        match (tag, reply) {
            (Tag::LeaseNew, Reply::Lease(lease)) => {
                let mut own = std::mem::take(&mut self.own);
                own.lease_new(lease, &self.env());
                self.own = own;
            }
            (Tag::LeaseRenew(sent), Reply::Renewed(result)) => {
                let mut own = std::mem::take(&mut self.own);
                let lost = own.renewed(sent, result, &self.env());
                self.own = own;
                if lost {
                    self.drop_all();
                }
            }
            (Tag::Claim(claim), Reply::Txn(result)) => {
                let mut own = std::mem::take(&mut self.own);
                let token = own.claimed(claim, result, &mut self.env());
                self.own = own;
                let now = self.out.now;
                match (claim, token) {
                    (Claim::Part(part), Some(token)) => {
                        if let Some(mut old) = self.shards.remove(&part) {
                            old.drop_held(&mut self.env());
                        }
                        self.shards.insert(part, Shard::new(part, token, now));
                        self.open_doors();
                    }
                    (Claim::Leader, Some(token)) => {
                        let nodes = f64::from(self.cfg.parts);
                        let rps = (1.0 - nodes * OWNER_CLOUD).max(0.3)
                            * self.cfg.settings.deployment.cloud.rps;
                        self.fleet = Some(Fleet::new(token, 0.95 * rps, now));
                    }
                    (_, None) => {}
                }
            }
            (Tag::GiveUp(part), Reply::Txn(result)) => {
                let mut own = std::mem::take(&mut self.own);
                own.gave(part, result, &mut self.env());
                self.own = own;
            }
            (Tag::ReloadPage, Reply::Page(page)) => {
                self.read(|reader, env| reader.page(page, env));
            }
            (Tag::LookBack, Reply::Changes(result)) => {
                self.read(|reader, env| reader.looked_back(result, env));
            }
            (Tag::Watch, Reply::Changes(result)) => {
                self.read(|reader, env| reader.changes(result, env));
            }
            (Tag::ShardTxn(part, token), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.txn_done(result, env);
                    }
                });
            }
            (Tag::ShardRead(part, token, key), Reply::Get(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.read_done(&key, result, env);
                    }
                });
            }
            (Tag::QuotaTxn(part, token), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.quota_done(result, env);
                    }
                });
            }
            (Tag::QuotaRead(_, _, key), Reply::Get(result)) => match result {
                GetResult::Found(item) => {
                    self.mirror.apply(&key, Some(&item.value), item.version);
                }
                GetResult::Missing(revision) => {
                    self.mirror.apply(&key, None, revision);
                }
                GetResult::Failed => {}
            },
            (Tag::ClaimTxn(part, token, job, txn), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.claim_done(&txn, result, env);
                    }
                });
                self.changed(vec![Changed::Job(job)]);
            }
            (Tag::Accept(id), Reply::Txn(result)) => {
                self.with_gateway(|gateway, env| gateway.accepted(id, result, env));
                self.refresh_new();
            }
            (Tag::Read(conn, job, why), Reply::Get(result)) => {
                self.with_gateway(|gateway, env| gateway.read_done(conn, &job, why, result, env));
                self.changed(vec![Changed::Job(job)]);
            }
            (Tag::Pieces(id), Reply::Txn(result)) => {
                self.with_gateway(|gateway, env| gateway.pieces_done(id, result, env));
            }
            (Tag::Polls(id), Reply::Txn(result)) => {
                self.with_gateway(|gateway, env| gateway.polls_done(id, result, env));
            }
            (Tag::Needed(asker, job), Reply::Get(result)) => {
                if let GetResult::Found(item) = &result {
                    self.mirror
                        .apply(&item.key, Some(&item.value), item.version);
                }
                if asker.is_none()
                    && let Some(asked) = self.listed_asked.remove(&job)
                {
                    match &result {
                        GetResult::Found(_) => self.reader.read_alone(&job, asked),
                        GetResult::Missing(_) => {
                            self.listed_absent.insert(job.clone());
                        }
                        GetResult::Failed => {}
                    }
                }
                if let Some(id) = asker {
                    self.with_gateway(|gateway, env| gateway.needed(id, &job, &result, env));
                } else if let GetResult::Missing(_) = result {
                    tracing::error!(job = %job, "a job that is needed or listed is not there");
                }
                self.changed(vec![Changed::Job(job)]);
            }
            (Tag::Cascade(id), Reply::Txn(result)) => {
                let jobs = self.with_gateway(|gateway, env| gateway.cascaded(id, result, env));
                self.changed(jobs.into_iter().map(Changed::Job).collect());
            }
            (Tag::RunBegin, Reply::Txn(result)) => {
                self.with_runs(|runs, env| runs.begun(result, env));
            }
            (Tag::RunAsk(id), Reply::Txn(result)) => {
                self.with_runs(|runs, env| runs.answered(id, result, env));
            }
            (Tag::GraphWrite(id), Reply::Txn(result)) => {
                self.with_runs(|runs, env| runs.graph_written(id, result, env));
            }
            (Tag::RunEarlier(run, job), Reply::Get(result)) => {
                if let GetResult::Found(item) = &result {
                    let value = Some(&item.value);
                    self.mirror.apply(&item.key, value, item.version);
                }
                let missing = matches!(result, GetResult::Missing(_));
                self.runs.earlier(&run, &job, missing);
            }
            (Tag::RunTidy(keys), Reply::Txn(result)) => {
                self.with_runs(|runs, env| runs.tidied(&keys, result, env));
            }
            (Tag::RunWrite(id), Reply::Txn(result)) => {
                self.with_runs(|runs, env| runs.written(id, result, env));
            }
            (Tag::Bookings(id), Reply::Txn(result)) => {
                let changed = self.with_bookings(|b, env| b.done(id, result, env));
                self.changed(changed);
            }
            (Tag::BookingsTidy(key), Reply::Txn(result)) => {
                let changed = self.with_bookings(|b, env| b.tidied(&key, result, env));
                self.changed(changed);
            }
            (Tag::Drains(id), Reply::Txn(result)) => {
                self.with_drains(|drains, env| drains.done(id, result, env));
            }
            (Tag::Disrupt(part, token), Reply::Txn(result)) => {
                self.with_shard(part, |shard, env| {
                    if shard.token == token {
                        shard.charge_done(result, env);
                    }
                });
            }
            (Tag::Declare(key, value), Reply::Txn(result)) => {
                let mut upgrade = std::mem::take(&mut self.upgrade);
                upgrade.declared(&key, &value, result, &mut self.env());
                self.upgrade = upgrade;
            }
            (Tag::Cancel(id), Reply::Txn(result)) => {
                let job = self.with_gateway(|gateway, env| gateway.cancelled(id, result, env));
                self.changed(job.into_iter().map(Changed::Job).collect());
            }
            (Tag::PublishTypes(types), Reply::Txn(result)) => {
                self.publishing = false;
                if let TxnResult::Done(revision) = result {
                    let value = serde_json::to_value(&types).unwrap_or_default();
                    self.mirror.apply(TYPES_KEY, Some(&value), revision);
                    self.changed(vec![Changed::Types]);
                }
            }
            (tag, _) => tracing::error!(?tag, "an answer of another kind than asked for"),
        }
    }

    /// Has the reader take something in, and ask on at once.
    fn read(&mut self, take: impl FnOnce(&mut Reader, &mut Env) -> Vec<Changed>) {
        let mut reader = std::mem::take(&mut self.reader);
        let changed = take(&mut reader, &mut self.env());
        self.reader = reader;
        self.changed(changed);
        if let Some(at) = self.reader.current_as_of {
            self.read_as_of(at);
        }
        let mut reader = std::mem::take(&mut self.reader);
        reader.tick(&mut self.env());
        self.reader = reader;
    }

    /// Shares that this controller's own gateway has just made.
    fn refresh_new(&mut self) {
        let parts: Vec<PartId> = self.shards.keys().copied().collect();
        for part in parts {
            self.with_shard(part, |shard, env| {
                let new: Vec<JobId> = env
                    .mirror
                    .part_allocs(part)
                    .filter(|(job, _)| !shard.knows(job))
                    .map(|(job, _)| job.clone())
                    .collect();
                for job in new {
                    shard.refresh(&job, env);
                }
            });
        }
    }

    pub(super) fn changed(&mut self, changed: Vec<Changed>) {
        if self.bookings.is_built() {
            self.with_bookings(|bookings, env| bookings.changed(&changed, env));
        }
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        for change in changed {
            match change {
                Changed::Job(job) | Changed::Alloc(_, job) => {
                    jobs.insert(job);
                }
                Changed::Types => {
                    if let Some(types) = &self.mirror.types {
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
        let parts: Vec<PartId> = self.shards.keys().copied().collect();
        for part in parts {
            self.with_shard(part, |shard, env| {
                for job in &jobs {
                    shard.refresh(job, env);
                }
            });
        }
    }

    pub(super) fn drop_all(&mut self) {
        for (_, mut shard) in std::mem::take(&mut self.shards) {
            shard.drop_held(&mut self.env());
        }
        self.fleet = None;
    }
}
