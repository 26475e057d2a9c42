//! Drains in the regular work: what is kept to, what the leader does next, what the owners tell.

use super::{Controller, UNSERVED_MS};
use crate::coordination::drains::{Draining, Heard};
use snowshelf_drain::budget::Amount;
use snowshelf_model::ids::{MachineId, ShardId, Team};
use snowshelf_model::protocol::peer::{DrainProgress, LostTasks, RestartedTasks, ShardStatus};
use std::collections::BTreeSet;

/// A picture as old as this is not asked what is away.
const FEED_MS: u64 = 3_000;
/// Names and reasons in one part's hint at the most.
const MOST_NAMES: usize = 50;
const MOST_HELD: usize = 5;
/// Jobs of which it is told how many tasks run again; of others all count as away.
const MOST_AGAIN: usize = 200;
/// How often it is looked at what runs again.
const LOOK_MS: u64 = 100;

impl Controller {
    /// Keeps to the drains' records, and answers those who ask about them.
    pub(super) fn tick_drains(&mut self) {
        let now = self.effects.now;
        if self.draining_of != self.records.drain_changes {
            self.draining_of = self.records.drain_changes;
            self.drain_state = Draining::of(&self.records.drains);
        }
        if !self.drain_state.is_idle() && now.since(self.draining_at) >= LOOK_MS {
            self.draining_at = now;
            let away = now.since(self.list_watch.feed_at) > FEED_MS;
            self.drain_state.fresh = self.records.loaded && !away;
            self.drain_state.lost = self.gossip.lost(now);
            self.drain_state.again = self.gossip.again(now);
            let shards: Vec<ShardId> = self.shards.keys().copied().collect();
            for shard_id in shards {
                self.with_shard(shard_id, |shard, context| {
                    let again = shard.restarted_tasks(context).into_iter();
                    context
                        .drains
                        .again
                        .extend(again.map(|(job, n)| ((shard_id, job), n)));
                });
            }
        }
        let away = self.state_silent_ms() >= UNSERVED_MS;
        self.with_drains(|drains, context| match away {
            true => drains.refuse_all(context),
            false => drains.tick(context),
        });
    }

    /// The next step of the drains, where this controller leads.
    pub(super) fn lead_drains(&mut self, fresh: bool) {
        let Some(autoscaler) = self.autoscaler.take() else {
            let heard = match self.drain_state.active {
                true => self.gossip.drain_waits(self.effects.now),
                false => Default::default(),
            };
            self.drains.follow(heard);
            return;
        };
        let may = fresh && self.records.loaded && self.state_silent_ms() < UNSERVED_MS;
        if may && self.with_drains(|drains, context| drains.due(context)) {
            let heard = match self.drain_state.active {
                true => self.heard_of_drains(),
                false => Heard::default(),
            };
            self.with_drains(|drains, context| drains.lead(&autoscaler, heard, context));
        }
        self.autoscaler = Some(autoscaler);
    }

    /// What the leader tells the others that drains wait for.
    pub(super) fn drain_waits(&self) -> Vec<DrainProgress> {
        if self.autoscaler.is_none() || !self.drain_state.active {
            return Vec::new();
        }
        let reasons = self.drains.reasons().take(MOST_NAMES);
        reasons
            .map(|(name, reason)| DrainProgress {
                drain: name.as_str().to_string(),
                waits: reason.waits.clone(),
                held: reason.held.iter().take(MOST_HELD).cloned().collect(),
            })
            .collect()
    }

    fn heard_of_drains(&mut self) -> Heard {
        let now = self.effects.now;
        let mut heard = self.gossip.of_drains(now);
        let owners: BTreeSet<ShardId> = self.gossip.owned(now);
        let mine: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard_id in &mine {
            self.with_shard(*shard_id, |shard, context| {
                heard.empty.extend(shard.drained_machines(context));
                heard.sick.extend(shard.quarantined_machines().cloned());
                heard.held.extend(shard.blocked_evictions().iter().cloned());
            });
        }
        let mut shards = (0..self.config.shard_count).map(ShardId);
        heard.whole = shards.all(|p| mine.contains(&p) || owners.contains(&p));
        heard
    }

    /// What the leader and the other owners are told of the parts owned here, while there are drains.
    pub(super) fn hint_drains(&mut self, shards: &mut [ShardStatus]) {
        if self.drain_state.is_idle() {
            return;
        }
        let now = self.effects.now;
        let text = |m: &MachineId| m.as_str().to_string();
        for hint in shards {
            self.with_shard(ShardId(hint.shard_id), |shard, context| {
                hint.empty = shard.drained_machines(context).iter().map(text).collect();
                hint.empty.truncate(3 * MOST_NAMES);
                hint.sick = shard
                    .quarantined_machines()
                    .map(text)
                    .take(MOST_NAMES)
                    .collect();
                hint.held = shard
                    .blocked_evictions()
                    .iter()
                    .take(MOST_HELD)
                    .cloned()
                    .collect();
                let lost = shard.tasks_at_risk(now, context).into_iter();
                let lost = lost.map(|(team, amount): (Team, Amount)| LostTasks {
                    team: team.as_str().to_string(),
                    cpus: amount.cpus,
                    tasks: amount.tasks,
                });
                hint.lost = lost.collect();
                let again = shard.restarted_tasks(context).into_iter().take(MOST_AGAIN);
                hint.again = again
                    .map(|(job, tasks)| RestartedTasks {
                        job: job.as_str().to_string(),
                        tasks,
                    })
                    .collect();
            });
        }
    }
}
