//! Drains: constraints on placement and scaling, steps of the cluster leader, and observations shared with peers.

use super::Controller;
use crate::coordination::drains::{DrainConstraints, EvictionStatus};
use snowshelf_drain::budget::Amount;
use snowshelf_model::ids::{MachineId, MonotonicMillis, ShardId, Team};
use snowshelf_model::protocol::peer::{DrainProgress, LostTasks, RestartedTasks, ShardStatus};
use std::collections::BTreeSet;

/// Largest watch lag at which the record cache is fresh enough to compute disruption budgets from.
const MAX_WATCH_LAG_MS: u64 = 3_000;
/// Largest number of machine names in one shard's status, and of drains in the cluster leader's status.
const MAX_NAMES: usize = 50;
/// Largest number of names of empty machines in one shard's status.
const MAX_EMPTY_MACHINES: usize = 3 * MAX_NAMES;
/// Largest number of reasons for blocked evictions in one status.
const MAX_REASONS: usize = 5;
/// Largest number of jobs whose restarted tasks are listed in one shard's status. All disrupted tasks of jobs left out
/// still count as disrupted.
const MAX_RESTARTED_JOBS: usize = 200;
/// Interval between counts of lost and restarted tasks.
const COUNT_INTERVAL_MS: u64 = 100;

/// The constraints that drains put on placement and scaling, and the state of the record cache that they reflect.
#[derive(Default)]
pub(super) struct DrainTracker {
    constraints: DrainConstraints,
    /// The record cache's drain change counter when the constraints were derived.
    drain_changes: u64,
    counted_at: MonotonicMillis,
}

impl DrainTracker {
    pub(super) fn constraints_mut(&mut self) -> &mut DrainConstraints {
        &mut self.constraints
    }
}

impl Controller {
    /// Updates the constraints from the records of drains, and decides users' requests on drains.
    pub(super) fn tick_drains(&mut self) {
        let env = &mut self.env;
        if env.drains.drain_changes != env.records.drain_changes {
            env.drains.drain_changes = env.records.drain_changes;
            env.drains.constraints = DrainConstraints::of(&env.records.drains);
        }
        let is_due = env.now().since(env.drains.counted_at) >= COUNT_INTERVAL_MS;
        if !env.drains.constraints.is_idle() && is_due {
            self.count_disrupted_tasks();
        }
        match self.env.is_kv_available() {
            true => self.drains.tick(&mut self.env.context()),
            false => self.drains.refuse_all(&mut self.env.context()),
        }
    }

    /// Counts lost and restarted tasks in all shards.
    fn count_disrupted_tasks(&mut self) {
        let now = self.env.now();
        let watch_lags = now.since(self.list_watch.last_watch_at) > MAX_WATCH_LAG_MS;
        self.env.drains.counted_at = now;
        let constraints = &mut self.env.drains.constraints;
        constraints.records_fresh = self.env.records.loaded && !watch_lags;
        constraints.lost_tasks = self.gossip.lost_tasks(now);
        constraints.restarted_tasks = self.gossip.restarted_tasks(now);
        self.for_each_shard(|shard, context| {
            let shard_id = shard.id;
            let restarted = shard.restarted_tasks(context).into_iter();
            let restarted = restarted.map(|(job, tasks)| ((shard_id, job), tasks));
            context.drains.restarted_tasks.extend(restarted);
        });
    }

    /// Takes the next step of the drains if this controller leads the cluster; otherwise follows the leader's progress.
    pub(super) fn tick_drain_leader(&mut self) {
        let now = self.env.now();
        let is_active = self.env.drains.constraints.active;
        if self.autoscaler.is_none() {
            let progress = match is_active {
                true => self.gossip.drain_progress(now),
                false => Default::default(),
            };
            self.drains.follow(progress);
            return;
        }
        let may_lead =
            self.leases.is_valid(now) && self.env.records.loaded && self.env.is_kv_available();
        if !may_lead || !self.drains.is_step_due(&self.env.context()) {
            return;
        }
        let observations = match is_active {
            true => self.observe_drains(),
            false => EvictionStatus::default(),
        };
        if let Some(autoscaler) = &self.autoscaler {
            self.drains
                .step(autoscaler, &observations, &mut self.env.context());
        }
    }

    /// Collects what all shard leaders, including this controller, observe about the drains.
    fn observe_drains(&mut self) -> EvictionStatus {
        let now = self.env.now();
        let mut observations = self.gossip.drain_observations(now);
        let mut led: BTreeSet<ShardId> = self.gossip.led_shards(now);
        led.extend(self.shards.keys());
        self.for_each_shard(|shard, context| {
            observations.empty.extend(shard.drained_machines(context));
            observations
                .failing
                .extend(shard.quarantined_machines().cloned());
            observations
                .blockers
                .extend(shard.blocked_evictions().iter().cloned());
        });
        let mut shards = (0..self.env.config.shard_count).map(ShardId);
        observations.complete = shards.all(|shard_id| led.contains(&shard_id));
        observations
    }

    /// What each drain waits for, for the cluster leader's status; empty on other controllers.
    pub(super) fn drain_progress(&self) -> Vec<DrainProgress> {
        if self.autoscaler.is_none() || !self.env.drains.constraints.active {
            return Vec::new();
        }
        let reasons = self.drains.wait_reasons().take(MAX_NAMES);
        reasons
            .map(|(name, reason)| DrainProgress {
                drain: name.as_str().to_string(),
                waits: reason.waits_for.clone(),
                blocked_by: reason.blockers.iter().take(MAX_REASONS).cloned().collect(),
            })
            .collect()
    }

    /// Adds drain observations to the statuses of the shards led here, while there are drains.
    pub(super) fn add_drain_status(&mut self, statuses: &mut [ShardStatus]) {
        if self.env.drains.constraints.is_idle() {
            return;
        }
        let now = self.env.now();
        let text = |machine: &MachineId| machine.as_str().to_string();
        for status in statuses {
            self.with_shard(ShardId(status.shard_id), |shard, context| {
                status.empty = shard.drained_machines(context).iter().map(text).collect();
                status.empty.truncate(MAX_EMPTY_MACHINES);
                status.failing_machines = shard
                    .quarantined_machines()
                    .map(text)
                    .take(MAX_NAMES)
                    .collect();
                let reasons = shard.blocked_evictions().iter().take(MAX_REASONS);
                status.blocked_by = reasons.cloned().collect();
                let lost = shard.tasks_at_risk(now, context).into_iter();
                status.lost = lost.map(lost_tasks).collect();
                let restarted = shard
                    .restarted_tasks(context)
                    .into_iter()
                    .take(MAX_RESTARTED_JOBS);
                status.restarted = restarted
                    .map(|(job, tasks)| RestartedTasks {
                        job: job.as_str().to_string(),
                        tasks,
                    })
                    .collect();
            });
        }
    }
}

fn lost_tasks((team, amount): (Team, Amount)) -> LostTasks {
    LostTasks {
        team: team.as_str().to_string(),
        cpus: amount.cpus,
        tasks: amount.tasks,
    }
}
