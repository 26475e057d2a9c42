//! The shard's grants of the teams' quotas: requesting more, giving up the surplus, and never using
//! more than is granted.

use super::persistence::REJECTED_BACKOFF_MS;
use super::{Shard, ShardRequest};
use crate::coordination::context::Context;
use crate::settings::TeamLimits;
use crate::storage::kv_client::{RequestPriority, SwapOutcome};
use snowshelf_fair_share::grants::{QuotaShortfall, ShardDemand, regrant_fairly};
use snowshelf_model::ids::{MonotonicMillis, ShardId, Team, Version};
use snowshelf_model::protocol::state::{CompareAndSwap, Mutation};
use snowshelf_model::records::{Grant, JobState, QuotaRecord, quota_key, shard_key};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Minimum time between two moves of a team's grant by one shard, since every move is a write.
const REGRANT_INTERVAL_MS: u64 = 1_000;
/// A shard's even share of a team's quota is granted in this many steps.
const STEPS_PER_EVEN_SHARE: f64 = 40.0;
/// Smallest change of a grant that is worth a write.
const MIN_GRANT_CHANGE: f64 = 0.5;
/// Delay of the next move after a conflict.
const CONFLICT_RETRY_MS: u64 = 100;
/// Delay of the next move after a failed write or one with an unknown outcome.
const FAILURE_RETRY_MS: u64 = 500;
/// Timeout of a read.
const READ_TIMEOUT_MS: u64 = 1_500;

/// The shard's grants of the teams' quotas.
#[derive(Default)]
pub(super) struct QuotaGrants {
    by_team: HashMap<Team, QuotaState>,
    /// The write in flight: the team and the new value of its record.
    in_flight: Option<(Team, QuotaRecord)>,
    /// What the last placement pass lacked, by team.
    pub shortfalls: BTreeMap<Team, QuotaShortfall>,
}

/// What is known of a team's grant in addition to its record.
#[derive(Default)]
struct QuotaState {
    /// Upper bound of the grant while a write that lowers it has not been settled: it may have
    /// become durable.
    ceiling: Option<Grant>,
    retry_at: MonotonicMillis,
}

/// A change of a team's grant.
struct Regrant {
    version: Version,
    record: QuotaRecord,
    /// The shard's grant after the change.
    granted: Grant,
    /// Whether the change lowers the shard's grant, or an unsettled earlier write may have done so.
    lowers: bool,
}

impl Shard {
    /// Returns the usage of each team in this shard, including tasks that are not proven to be
    /// gone.
    pub(super) fn used_quota(&mut self) -> HashMap<Team, Grant> {
        self.refresh_usage();
        let mut used: HashMap<Team, Grant> = HashMap::new();
        let started = self.jobs.values().map(|j| (j, j.started_tasks));
        // Orphaned tasks still use the team's quota.
        let orphaned = self.machines.values().flat_map(|m| &m.orphaned_tasks);
        let orphaned = orphaned.filter_map(|id| Some((self.jobs.get(id)?, 1)));
        for (job, tasks) in started.chain(orphaned) {
            if tasks > 0
                && let Some(spec) = job.spec()
            {
                let team = used.entry(spec.team.clone()).or_default();
                team.add(Grant::from(spec.resources.times(f64::from(tasks))));
            }
        }
        used
    }

    /// Returns what the shard may use of a team's quota.
    pub(super) fn granted(&self, team: &Team, context: &Context<'_>) -> Grant {
        let record = context.records.quotas.get(team);
        let durable = record.and_then(|q| q.value.grants.get(&self.id).copied());
        let durable = durable.unwrap_or_default();
        match self.quotas.by_team.get(team).and_then(|q| q.ceiling) {
            Some(ceiling) => componentwise_min(durable, ceiling),
            None => durable,
        }
    }

    /// Moves the grant of at most one team. `teams_short_elsewhere` names the teams for which other
    /// shards lack quota.
    pub(super) fn regrant_quota(
        &mut self,
        teams_short_elsewhere: &BTreeSet<Team>,
        context: &mut Context<'_>,
    ) {
        let now = context.now();
        if self.quotas.in_flight.is_some() || !self.ready || self.fenced {
            return;
        }
        let used = self.used_quota();
        for settings in &context.config.settings.deployment.teams {
            let team = Team::new(&settings.name);
            let state = self.quotas.by_team.get(&team);
            if state.is_some_and(|q| q.retry_at > now) {
                continue;
            }
            let used = used.get(&team).copied().unwrap_or_default();
            let contended = teams_short_elsewhere.contains(&team);
            let demand = self.demand(&team, settings, used, contended, context);
            let Some(regrant) = self.regrant(&team, &demand, context) else {
                continue;
            };
            if context.kv.has_budget(now, RequestPriority::TaskStarts, 1) {
                self.write_regrant(team, regrant, context);
            }
            return;
        }
    }

    /// Returns the shard's demand of a team's quota.
    fn demand(
        &self,
        team: &Team,
        settings: &TeamLimits,
        used: Grant,
        contended: bool,
        context: &Context<'_>,
    ) -> ShardDemand {
        let limit = Grant {
            cpus: settings.cpus_max,
            gpus: settings.gpus_max,
        };
        let step =
            |limit: f64| limit / f64::from(context.config.shard_count) / STEPS_PER_EVEN_SHARE;
        let fair_share = contended.then(|| {
            let share = demand_share(team, self.id, context);
            Grant {
                cpus: limit.cpus * share,
                gpus: limit.gpus * share,
            }
        });
        ShardDemand {
            shard_id: self.id,
            used,
            shortfall: self.quotas.shortfalls.get(team).copied(),
            fair_share,
            step: Grant {
                cpus: step(limit.cpus),
                gpus: step(limit.gpus),
            },
            limit,
        }
    }

    /// Returns the change of a team's grant that the demand calls for; `None` if the grant stays.
    fn regrant(&self, team: &Team, demand: &ShardDemand, context: &Context<'_>) -> Option<Regrant> {
        let (version, record) = match context.records.quotas.get(team) {
            Some(stored) => (stored.version, (*stored.value).clone()),
            None => (Version(0), QuotaRecord::default()),
        };
        let durable = record.grants.get(&self.id).copied().unwrap_or_default();
        let state = self.quotas.by_team.get(team);
        let outcome_unknown = state.is_some_and(|q| q.ceiling.is_some());
        let next = regrant_fairly(&record, demand);
        let granted = next.grants.get(&self.id).copied().unwrap_or_default();
        // An increase may be smaller than a step; a decrease must be at least one step.
        let is_negligible = |granted: f64, durable: f64, step: f64| {
            let least = if granted < durable { step } else { 0.0 };
            (granted - durable).abs() < least.max(MIN_GRANT_CHANGE)
        };
        let unchanged = is_negligible(granted.cpus, durable.cpus, demand.step.cpus)
            && is_negligible(granted.gpus, durable.gpus, demand.step.gpus);
        if unchanged && !outcome_unknown {
            return None;
        }
        Some(Regrant {
            version,
            record: next,
            granted,
            lowers: granted.cpus < durable.cpus || granted.gpus < durable.gpus || outcome_unknown,
        })
    }

    fn write_regrant(&mut self, team: Team, regrant: Regrant, context: &mut Context<'_>) {
        let key = quota_key(&team);
        let swap = CompareAndSwap::default()
            .compare(shard_key(self.id), Version(self.fencing_token.0))
            .compare(key.clone(), regrant.version)
            .mutate(Mutation::put(key, &regrant.record));
        let state = self.quotas.by_team.entry(team.clone()).or_default();
        if regrant.lowers {
            // From here on, no more than this is used, whatever the outcome of the write.
            let ceiling = state.ceiling;
            state.ceiling =
                Some(ceiling.map_or(regrant.granted, |c| componentwise_min(c, regrant.granted)));
        }
        let request = self.kv_request(ShardRequest::RegrantQuota);
        context.kv.compare_and_swap(context.effects, request, &swap);
        self.quotas.in_flight = Some((team, regrant.record));
    }

    /// Handles the outcome of a move.
    pub(super) fn on_regrant_outcome(&mut self, outcome: SwapOutcome, context: &mut Context<'_>) {
        let now = context.now();
        let Some((team, record)) = self.quotas.in_flight.take() else {
            return;
        };
        let key = quota_key(&team);
        let state = self.quotas.by_team.entry(team).or_default();
        match outcome {
            SwapOutcome::Applied(revision) => {
                state.ceiling = None;
                state.retry_at = now.plus(REGRANT_INTERVAL_MS);
                let value = serde_json::to_value(record).unwrap_or_default();
                context.records.apply(&key, Some(&value), revision);
                self.placement.dirty = true;
            }
            SwapOutcome::Conflict(keys) => {
                if keys.contains(&shard_key(self.id)) {
                    self.fenced = true;
                    return;
                }
                state.retry_at = now.plus(CONFLICT_RETRY_MS);
                self.read_quota(&key, context);
            }
            // The same write would be rejected again.
            SwapOutcome::Rejected => state.retry_at = now.plus(REJECTED_BACKOFF_MS),
            SwapOutcome::NotApplied | SwapOutcome::LeaseExpired => {
                state.retry_at = now.plus(FAILURE_RETRY_MS);
            }
            SwapOutcome::Unknown => {
                // A lowered grant stays in force until a later write of the key succeeds.
                state.retry_at = now.plus(FAILURE_RETRY_MS);
                self.read_quota(&key, context);
            }
        }
    }

    fn read_quota(&self, key: &str, context: &mut Context<'_>) {
        let request = self.kv_request(ShardRequest::ReadQuota {
            key: key.to_string(),
        });
        context
            .kv
            .get(context.effects, request, key, READ_TIMEOUT_MS);
    }
}

fn componentwise_min(a: Grant, b: Grant) -> Grant {
    Grant {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
    }
}

/// Returns this shard's fraction of the CPUs that a team's unfinished tasks need in all shards.
fn demand_share(team: &Team, shard_id: ShardId, context: &Context<'_>) -> f64 {
    let (mut ours, mut all) = (0.0, 0.0);
    for ((other, id), allocation) in &context.records.allocations {
        let Some(record) = context.records.jobs.get(id) else {
            continue;
        };
        if let (JobState::Open, Some(spec)) = (record.value.state, &record.value.spec)
            && spec.team == *team
            && context.dependency_graph.is_ready(id, &record.value)
        {
            let tasks = allocation.value.waiting.len() + allocation.value.started_count();
            let cpus = spec.resources.cpus * f64::from(tasks);
            all += cpus;
            if *other == shard_id {
                ours += cpus;
            }
        }
    }
    if all > 0.0 {
        ours / all
    } else {
        1.0 / f64::from(context.config.shard_count)
    }
}
