//! The regular work: every actor's turn, and what this controller tells the others.

use super::{Controller, UNSERVED_MS, own_rates};
use crate::bookkeeping::store::Class;
use crate::coordination::env::{Claim, Tag};
use crate::coordination::graph::Graph;
use crate::coordination::peers::{HEARD_BYTES, MISSING_BYTES};
use crate::coordination::placement::{estimate, slowest_fetch};
use crate::coordination::shard::{Offer, Shard};
use crate::coordination::upgrade::terms;
use crate::outbox::Output;
use snowshelf_model::ids::{JobId, MachineId, PartId, Team, WallMs, seconds_to_ms};
use snowshelf_model::protocol::peer::{
    FailingHint, Hint, KeptHint, PartHint, PoolHint, StrangersHint,
};
use snowshelf_model::records::{JobSpec, job_key};
use snowshelf_recovery::silence;
use std::collections::BTreeSet;
use std::rc::Rc;

const HINT_MS: u64 = 400;
/// Machines heard within this time are told of to the leader.
const HEARD_MS: u64 = 10_000;
/// For so many report intervals a machine that came here is told of to its part's owner.
const STRANGERS_REPORTS: u64 = 2;
/// The least time between two workings out of what needs what.
const GRAPH_MS: u64 = 50;
/// Most jobs at once that are read because waiting ones need them and nothing is known of them.
const LOOK_UPS: usize = 4;
/// The pause between two such readings.
const LOOK_UP_MS: u64 = 500;

impl Controller {
    pub(super) fn tick(&mut self) {
        let now = self.out.now;
        let mut reader = std::mem::take(&mut self.reader);
        reader.tick(&mut self.env());
        self.reader = reader;
        self.tick_terms();
        self.tick_graph();
        self.tick_bookings();
        self.tick_drains();
        let up_homes = self.peers.up_homes(now, &self.cfg);
        let mut own = std::mem::take(&mut self.own);
        own.tick(&up_homes, &mut self.env());
        self.own = own;
        self.check_held();
        let fresh = self.own.fresh(now);
        self.tick_hearing();
        self.open_doors();
        let short: BTreeSet<Team> = self.peers.short_of(now);
        let mut missing = self.peers.missing(now);
        missing.extend(self.fleet.iter().flat_map(|f| f.missing.keys().cloned()));
        if !self.guard.holds.is_empty() && now.since(self.pools_at) >= HINT_MS {
            self.pools_at = now;
            self.share_pools();
        }
        let parts: Vec<PartId> = self.shards.keys().copied().collect();
        self.tick_horizon();
        let serves = self.serves();
        let mut offered = self.peers.offered(now);
        for shard in self.shards.values() {
            let offers = shard.offers().iter();
            offered.extend(offers.map(|(job, offer)| ((shard.part, job.clone()), *offer)));
        }
        let offered = Rc::new(offered);
        for part in parts {
            self.with_shard(part, |shard, env| {
                shard.offered = offered.clone();
                shard.tick(fresh, &short, &missing, env);
                if !serves {
                    shard.drop_held(env);
                }
            });
        }
        let mut rooms = self.peers.rooms(now);
        rooms.extend(self.shards.values().map(|s| (s.part, s.room())));
        let mut kept = self.peers.kept(now);
        for s in self.shards.values() {
            let own = s.kept_room.iter();
            kept.extend(own.map(|(team, k)| ((s.part, team.clone()), k.promised)));
        }
        let away = self.state_silent_ms() >= UNSERVED_MS;
        if !away && fresh {
            self.tick_runs();
        }
        let mut gateway = std::mem::take(&mut self.gateway);
        gateway.rooms = rooms;
        gateway.kept = kept;
        gateway.flush_polls(&mut self.env());
        gateway.flush_pieces(&mut self.env());
        if away {
            self.with_runs(|runs, env| runs.refuse_all(env));
            gateway.refuse_all(&mut self.env());
        } else {
            gateway.flush(&mut self.env());
            if fresh {
                let mine = self.shards.keys().copied().collect();
                gateway.cascade(&mine, &mut self.env());
            }
        }
        self.gateway = gateway;
        if let Some(mut fleet) = self.fleet.take() {
            if fresh && self.mirror.loaded {
                let owned = self.mirror.parts.len() == self.cfg.parts as usize
                    && self.peers.fresh(now).count() + 1 == self.cfg.members.len();
                if fleet.wants_heard(now) {
                    let mut heard = self.peers.heard_machines(now);
                    for shard in self.shards.values() {
                        heard.extend(shard.heard(now, HEARD_MS).map(|m| m.as_str().to_string()));
                    }
                    fleet.note_heard(now, heard.into_iter());
                }
                fleet.tick(owned, &mut self.env());
            }
            self.fleet = Some(fleet);
        }
        self.lead_drains(fresh);
        if now.since(self.hint_at) >= HINT_MS {
            self.hint_at = now;
            self.hint();
        }
    }

    /// Whether no machine of any part owned here reaches this controller.
    fn hears_none(&self) -> bool {
        let report_ms = self.cfg.settings.report_ms();
        let mut shards = self.shards.values().map(|s| s.hearing());
        !self.shards.is_empty() && shards.all(|h| silence::deaf(h, self.out.now, report_ms))
    }

    /// Hands a part over whose machines reach others and not this controller.
    fn tick_hearing(&mut self) {
        let now = self.out.now;
        let report_ms = self.cfg.settings.report_ms();
        let hand_over: BTreeSet<PartId> = self
            .shards
            .values()
            .filter(|shard| {
                let elsewhere = self.peers.strangers(now, shard.part);
                silence::hand_over(shard.hearing(), elsewhere, now, report_ms)
            })
            .map(|shard| shard.part)
            .collect();
        // Guards against handing a part to nobody: while the state service is away it is neither given nor taken.
        let served = self.own.fresh(now) && self.state_silent_ms() < UNSERVED_MS;
        if served && let Some(part) = self.hearing.hand_over(&hand_over, now) {
            let mut own = std::mem::take(&mut self.own);
            own.hand_over(part, &mut self.env());
            self.own = own;
        }
        self.own.deaf = self.hearing.deaf;
        let mut hearing = std::mem::take(&mut self.hearing);
        hearing.probe(&mut self.env());
        self.hearing = hearing;
    }

    /// Tells the parts owned here what machines the others have: a reservation is shared by that.
    fn share_pools(&mut self) {
        let mut pools = self.peers.pools(self.out.now);
        for shard in self.shards.values() {
            let own = shard.pools().into_iter();
            pools.extend(own.map(|(pool, count)| ((shard.part, pool), count)));
        }
        let pools = Rc::new(pools);
        for shard in self.shards.values_mut() {
            shard.elsewhere = pools.clone();
        }
    }

    fn tick_runs(&mut self) {
        // Which of a run's jobs have ended must be known, or they would be submitted again.
        let known = self.mirror.loaded && !self.reader.reads_ended();
        if !known || self.types.is_empty() || self.runs.idle(&self.mirror) {
            return;
        }
        let mut errors = self.peers.failing(self.out.now);
        for shard in self.shards.values() {
            errors.extend(shard.failing().map(|(job, n)| (job.clone(), n)));
        }
        let mut runs = std::mem::take(&mut self.runs);
        let mut gateway = std::mem::take(&mut self.gateway);
        let own = std::mem::take(&mut self.own);
        runs.tick(&own, &errors, &mut gateway, &mut self.env());
        if self.fleet.is_some() {
            runs.tidy(&mut self.env());
        }
        self.own = own;
        self.gateway = gateway;
        self.runs = runs;
    }

    fn tick_bookings(&mut self) {
        let leads = self.fleet.is_some() && self.own.fresh(self.out.now);
        let away = self.state_silent_ms() >= UNSERVED_MS;
        let guard = self.with_bookings(|bookings, env| {
            if away {
                bookings.refuse_all(env);
            }
            bookings.tick(leads, env)
        });
        if let Some(guard) = guard {
            self.guard = guard;
        }
    }

    /// Keeps to what may be written by now.
    fn tick_terms(&mut self) {
        let mut upgrade = std::mem::take(&mut self.upgrade);
        upgrade.tick(&mut self.env());
        self.upgrade = upgrade;
        let state = &self.cfg.settings.deployment.state;
        let now = terms(self.mirror.format, self.store.refused, state);
        if now != self.terms {
            tracing::info!(format = ?now.format, value_bytes = now.value_bytes, txn_ops = now.txn_ops,
                rps = now.rps, write_rps = now.write_rps, "writes keep to other terms");
            self.terms = now;
        }
        // A start counts as an owner: it is about to be one, and reads most now.
        let parts = self.own.parts().len().max(usize::from(!self.mirror.loaded));
        let (rps, write_rps) = own_rates(&self.terms, self.cfg.parts, parts);
        self.store.set_rates(rps, write_rps);
    }

    /// Works out anew what needs what, if a job has changed since, and reads what is not known.
    fn tick_graph(&mut self) {
        let now = self.out.now;
        if self.graph_of != self.mirror.job_changes && now.since(self.graph_at) >= GRAPH_MS {
            self.graph_of = self.mirror.job_changes;
            self.graph_at = now;
            let slowest = slowest_fetch(self.types.values());
            let default_s = self.cfg.ops.default_run_s;
            let length_ms =
                |spec: &JobSpec| seconds_to_ms(estimate(spec, default_s) + spec.pull_gb / slowest);
            let mirror = &self.mirror;
            let wall = WallMs(self.out.wall_ms);
            let final_of = |id: &JobId| mirror.final_of(id);
            let needs_of = |id: &JobId, record| mirror.needs_of(id, record);
            let graph = Graph::build(
                &mirror.jobs,
                needs_of,
                final_of,
                length_ms,
                wall,
                &self.graph,
            );
            self.graph = graph;
        }
        let reads = !self.mirror.loaded;
        if reads || self.graph.unknown.is_empty() || now.since(self.looked_up) < LOOK_UP_MS {
            return;
        }
        self.looked_up = now;
        // Ended long ago and dropped from the mirror, or not come yet.
        for job in self.graph.unknown.iter().take(LOOK_UPS) {
            if self.store.may(now, Class::Ends, 0) {
                let tag = Tag::Needed(None, job.clone());
                self.store.get(&mut self.out, tag, &job_key(job), 1_500);
            }
        }
    }

    /// Lets go of what the mirror shows to be another's.
    fn check_held(&mut self) {
        if !self.mirror.loaded {
            return;
        }
        let now = self.out.now;
        for (part, token) in self.own.parts() {
            if self.mirror.revision.0 < token.0 {
                continue;
            }
            let version = self.mirror.parts.get(&part).map(|v| v.version.0);
            if version != Some(token.0) {
                tracing::info!(part = %part, token = %token, "the part has changed hands");
                self.own.lose(Claim::Part(part), now);
            }
        }
        let own = &self.own;
        let gone: Vec<PartId> = self
            .shards
            .values()
            .filter(|s| own.token(s.part) != Some(s.token))
            .map(|s| s.part)
            .collect();
        for part in gone {
            if let Some(mut shard) = self.shards.remove(&part) {
                shard.drop_held(&mut self.env());
            }
        }
        if let Some(token) = self.own.leads()
            && self.mirror.revision.0 >= token.0
            && self.mirror.leader.as_ref().map(|v| v.version.0) != Some(token.0)
        {
            self.own.lose(Claim::Leader, now);
        }
        let leads = self.own.leads();
        if self.fleet.as_ref().is_some_and(|f| Some(f.token) != leads) {
            self.fleet = None;
        }
    }

    fn hint(&mut self) {
        let now = self.out.now;
        let mut short_of: BTreeSet<String> = BTreeSet::new();
        let mut parts = Vec::new();
        for shard in self.shards.values() {
            short_of.extend(shard.short_of.keys().map(|t| t.as_str().to_string()));
            parts.push(PartHint {
                part: shard.part.0,
                free_cpus: shard.free_cpus,
                capacity_cpus: shard.room().capacity,
                waiting_cpus: shard.waiting_cpus,
                pools: if self.guard.holds.is_empty() {
                    Vec::new()
                } else {
                    pool_hints(shard)
                },
                failing: shard
                    .failing()
                    .take(MOST_FAILING)
                    .map(|(job, errors)| FailingHint {
                        job: job.as_str().to_string(),
                        errors,
                    })
                    .collect(),
                kept: shard
                    .kept_room
                    .iter()
                    .map(|(team, k)| KeptHint {
                        team: team.as_str().to_string(),
                        cpus: k.promised,
                    })
                    .collect(),
                heard: Vec::new(),
                stranded: offers(shard, Offer::Stranded),
                overdue: offers(shard, Offer::Overdue),
                ..PartHint::default()
            });
        }
        self.hint_drains(&mut parts);
        // All of them in the first part's hint: the leader asks for all parts' together.
        if let Some(first) = parts.first_mut() {
            let heard = self.shards.values().flat_map(|s| s.heard(now, HEARD_MS));
            let heard: BTreeSet<MachineId> = heard.cloned().collect();
            first.heard = self.heard_turns.next(&heard, HEARD_BYTES);
        }
        let missing = self.fleet.iter().flat_map(|f| f.missing.keys().cloned());
        let missing: BTreeSet<MachineId> = missing.collect();
        let missing = self.missing_turns.next(&missing, MISSING_BYTES);
        let within_ms = STRANGERS_REPORTS * self.cfg.settings.report_ms();
        let strangers = self.hearing.strangers(now, within_ms).into_iter();
        let hint = Hint {
            deaf: self.hearing.deaf || self.hears_none(),
            strangers: strangers
                .map(|(part, machines)| StrangersHint {
                    part: part.0,
                    machines,
                })
                .collect(),
            member: self.cfg.me.as_str().to_string(),
            state_silent_ms: self.state_silent_ms(),
            up_ms: now.since(self.started),
            feed_silent_ms: now.since(self.reader.feed_at),
            parts,
            short_of: short_of.into_iter().collect(),
            missing,
            waits: self.drain_waits(),
        };
        for member in &self.cfg.members {
            if *member != self.cfg.me {
                self.out
                    .outputs
                    .push(Output::Hint(member.clone(), hint.clone()));
            }
        }
    }
}

/// Failing jobs told of at once.
const MOST_FAILING: usize = 100;

/// The jobs that a part offers for this reason.
fn offers(shard: &Shard, why: Offer) -> Vec<String> {
    let offers = shard.offers().iter().filter(|(_, offer)| *offer == why);
    offers.map(|(job, _)| job.as_str().to_string()).collect()
}

fn pool_hints(shard: &Shard) -> Vec<PoolHint> {
    let pools = shard.pools().into_iter();
    pools
        .map(|(pool, (ordinary, spot))| PoolHint {
            zone: pool.zone.to_string(),
            model: pool.model.to_string(),
            ordinary,
            spot,
        })
        .collect()
}
