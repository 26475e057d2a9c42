//! A team's limit, divided into grants by part: asked for, given up, and never overdrawn.

use super::persistence::REFUSED_BACKOFF_MS;
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_fair_share::grants::{QuotaShortfall, ShardDemand, regrant_fairly};
use snowshelf_model::ids::{MonotonicMillis, ShardId, Team, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{Grant, JobState, QuotaRecord, quota_key, shard_key};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The least time between two moves of a team's grant by one part.
const REGRANT_INTERVAL_MS: u64 = 1_000;
/// In so many steps a part's even share of a team's limit is given.
const STEPS_PER_EVEN_SHARE: f64 = 40.0;

/// The shard's grants of the teams' quotas.
#[derive(Default)]
pub(super) struct QuotaGrants {
    by_team: HashMap<Team, QuotaState>,
    /// A write underway: the team's record as it would be.
    in_flight: Option<(Team, QuotaRecord)>,
    /// What the last placement pass lacked, by team.
    pub shortfalls: BTreeMap<Team, QuotaShortfall>,
}

/// What is known of a team's grant beside its record.
#[derive(Default)]
struct QuotaState {
    /// Lowered grant that a write may have made durable.
    ceiling: Option<Grant>,
    retry_at: MonotonicMillis,
}

impl Shard {
    /// What the teams use here, as far as it is not proven gone.
    pub(super) fn used_quota(&mut self) -> HashMap<Team, Grant> {
        self.refresh_usage();
        let mut used: HashMap<Team, Grant> = HashMap::new();
        let started = self.jobs.values().map(|j| (j, j.started_tasks));
        // Tasks on machines that no record holds there still use the team's limit.
        let orphaned = self.machines.values().flat_map(|m| &m.orphaned_tasks);
        let orphaned = orphaned.filter_map(|id| Some((self.jobs.get(id)?, 1)));
        for (job, count) in started.chain(orphaned) {
            if count > 0
                && let Some(spec) = job.spec()
            {
                let entry = used.entry(spec.team.clone()).or_default();
                entry.add(Grant::of(spec.resources.times(f64::from(count))));
            }
        }
        used
    }

    pub(super) fn granted(&self, team: &Team, context: &Context) -> Grant {
        let durable = context
            .records
            .quotas
            .get(team)
            .and_then(|q| q.value.grants.get(&self.id).copied())
            .unwrap_or_default();
        match self.quotas.by_team.get(team).and_then(|q| q.ceiling) {
            Some(c) => Grant {
                cpus: durable.cpus.min(c.cpus),
                gpus: durable.gpus.min(c.gpus),
            },
            None => durable,
        }
    }
    pub(super) fn regrant_quota(&mut self, others_short: &BTreeSet<Team>, context: &mut Context) {
        let now = context.now();
        if self.quotas.in_flight.is_some() || !self.ready || self.fenced {
            return;
        }
        let used = self.used_quota();
        for limits in &context.config.settings.deployment.teams {
            let team = Team::new(&limits.name);
            if self
                .quotas
                .by_team
                .get(&team)
                .is_some_and(|q| q.retry_at > now)
            {
                continue;
            }
            let limit = Grant {
                cpus: limits.cpus_max,
                gpus: limits.gpus_max,
            };
            let used = used.get(&team).copied().unwrap_or_default();
            let (version, record) = match context.records.quotas.get(&team) {
                Some(v) => (v.version, (*v.value).clone()),
                None => (Version(0), QuotaRecord::default()),
            };
            let durable = record.grants.get(&self.id).copied().unwrap_or_default();
            let unsettled = self
                .quotas
                .by_team
                .get(&team)
                .is_some_and(|q| q.ceiling.is_some());
            let step =
                |limit: f64| limit / f64::from(context.config.shard_count) / STEPS_PER_EVEN_SHARE;
            let even = others_short.contains(&team).then(|| {
                let share = demand_share(&team, self.id, context);
                Grant {
                    cpus: limit.cpus * share,
                    gpus: limit.gpus * share,
                }
            });
            let standing = ShardDemand {
                shard_id: self.id,
                used,
                lack: self.quotas.shortfalls.get(&team).copied(),
                even,
                // Grants go up and down in steps, a small share of the limit.
                step: Grant {
                    cpus: step(limit.cpus),
                    gpus: step(limit.gpus),
                },
                limit,
            };
            let next = regrant_fairly(&record, &standing);
            let granted = next.grants.get(&self.id).copied().unwrap_or_default();
            // What a part lacks is never too little to be asked for; what it gives up may be.
            let near = |granted: f64, durable: f64, limit: f64| {
                let least = if granted < durable { step(limit) } else { 0.0 };
                (granted - durable).abs() < least.max(0.5)
            };
            let same = near(granted.cpus, durable.cpus, limit.cpus)
                && near(granted.gpus, durable.gpus, limit.gpus);
            if same && !unsettled {
                continue;
            }
            if !context.kv.may(now, RequestPriority::Starts, 1) {
                return;
            }
            let lowers = granted.cpus < durable.cpus || granted.gpus < durable.gpus || unsettled;
            let key = quota_key(&team);
            let swap = CompareAndSwap::default()
                .compare(shard_key(self.id), Version(self.fencing_token.0))
                .compare(key.clone(), version)
                .mutate(Mutation::put(key, &next));
            let state = self.quotas.by_team.entry(team.clone()).or_default();
            if lowers {
                // From here on no more than this is used, whatever becomes of the write.
                state.ceiling = Some(match state.ceiling {
                    Some(c) => Grant {
                        cpus: c.cpus.min(granted.cpus),
                        gpus: c.gpus.min(granted.gpus),
                    },
                    None => granted,
                });
            }
            context.kv.compare_and_swap(
                context.effects,
                self.kv_request(ShardRequest::RegrantQuota),
                &swap,
            );
            self.quotas.in_flight = Some((team, next));
            return;
        }
    }

    pub fn on_regrant_outcome(&mut self, result: SwapOutcome, context: &mut Context) {
        let now = context.now();
        let Some((team, value)) = self.quotas.in_flight.take() else {
            return;
        };
        let key = quota_key(&team);
        let state = self.quotas.by_team.entry(team).or_default();
        match result {
            SwapOutcome::Done(revision) => {
                state.ceiling = None;
                // The same grant is not moved again at once: every move is a write.
                state.retry_at = now.plus(REGRANT_INTERVAL_MS);
                let value = serde_json::to_value(value).unwrap_or_default();
                context.records.apply(&key, Some(&value), revision);
                self.placement.dirty = true;
            }
            SwapOutcome::Conflict(keys) => {
                if keys.contains(&shard_key(self.id)) {
                    self.fenced = true;
                    return;
                }
                state.retry_at = now.plus(100);
                let request = self.kv_request(ShardRequest::ReadQuota { key: key.clone() });
                context.kv.get(context.effects, request, &key, 1_500);
            }
            // The same write would be refused again.
            SwapOutcome::Refused => state.retry_at = now.plus(REFUSED_BACKOFF_MS),
            SwapOutcome::NotDone | SwapOutcome::NoLease => state.retry_at = now.plus(500),
            SwapOutcome::Unknown => {
                // A lowered grant stays lowered until a later write settles the key.
                state.retry_at = now.plus(500);
                let request = self.kv_request(ShardRequest::ReadQuota { key: key.clone() });
                context.kv.get(context.effects, request, &key, 1_500);
            }
        }
    }
}

/// This part's share of what a team's jobs have unfinished, over all parts.
fn demand_share(team: &Team, shard_id: ShardId, context: &Context) -> f64 {
    let (mut mine, mut all) = (0.0, 0.0);
    for ((p, id), alloc) in &context.records.allocations {
        let Some(record) = context.records.jobs.get(id) else {
            continue;
        };
        if let (JobState::Open, Some(spec)) = (record.value.state, &record.value.spec)
            && spec.team == *team
            && context.dependency_graph.is_ready(id, &record.value)
        {
            let tasks = alloc.value.waiting.len() + alloc.value.started_count();
            let cpus = spec.resources.cpus * f64::from(tasks);
            all += cpus;
            if *p == shard_id {
                mine += cpus;
            }
        }
    }
    if all > 0.0 {
        mine / all
    } else {
        1.0 / f64::from(context.config.shard_count)
    }
}
