//! The regular work: every actor's turn, and what this controller tells the others.

use super::{Controller, UNSERVED_MS, own_rates};
use crate::coordination::context::{KvRequest, Role};
use crate::coordination::dependencies::DependencyGraph;
use crate::coordination::format_migration::storage_limits;
use crate::coordination::gossip::{HEARD_BYTES, MISSING_BYTES};
use crate::coordination::placement::{estimate, slowest_fetch};
use crate::coordination::shard::{Shard, StealOffer};
use crate::effects::Effect;
use crate::storage::kv_client::RequestPriority;
use snowshelf_model::ids::{JobId, MachineId, ShardId, Team, WallClockMillis, seconds_to_ms};
use snowshelf_model::protocol::peer::{
    FailingJob, ForeignHeartbeats, PeerStatus, PoolSize, ReservedCpus, ShardStatus,
};
use snowshelf_model::records::{JobSpec, job_key};
use snowshelf_reconciliation::silence;
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
        let now = self.effects.now;
        let mut list_watch = std::mem::take(&mut self.list_watch);
        list_watch.tick(&mut self.context());
        self.list_watch = list_watch;
        self.tick_terms();
        self.tick_graph();
        self.tick_bookings();
        self.tick_drains();
        let up_homes = self.gossip.up_homes(now, &self.config);
        let mut leases = std::mem::take(&mut self.leases);
        leases.tick(&up_homes, &mut self.context());
        self.leases = leases;
        self.check_held();
        let fresh = self.leases.fresh(now);
        self.tick_hearing();
        self.open_doors();
        let short: BTreeSet<Team> = self.gossip.short_of(now);
        let mut missing = self.gossip.missing(now);
        missing.extend(
            self.autoscaler
                .iter()
                .flat_map(|a| a.missing_machines().cloned()),
        );
        if !self.guard.holds.is_empty() && now.since(self.pools_at) >= HINT_MS {
            self.pools_at = now;
            self.share_pools();
        }
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        self.tick_horizon();
        let serves = self.serves();
        let mut offered = self.gossip.offered(now);
        for shard in self.shards.values() {
            let offers = shard.offers().iter();
            offered.extend(offers.map(|(job, offer)| ((shard.id, job.clone()), *offer)));
        }
        let offered = Rc::new(offered);
        for shard_id in shards {
            self.with_shard(shard_id, |shard, context| {
                shard.offered = offered.clone();
                shard.tick(fresh, &short, &missing, context);
                if !serves {
                    shard.drop_held(context);
                }
            });
        }
        let mut rooms = self.gossip.rooms(now);
        rooms.extend(self.shards.values().map(|s| (s.id, s.room())));
        let mut kept = self.gossip.kept(now);
        for s in self.shards.values() {
            let leases = s.kept_room.iter();
            kept.extend(leases.map(|(team, k)| ((s.id, team.clone()), k.promised)));
        }
        let away = self.state_silent_ms() >= UNSERVED_MS;
        if !away && fresh {
            self.tick_runs();
        }
        let mut job_api = std::mem::take(&mut self.job_api);
        job_api.set_capacity(rooms, kept);
        job_api.check_polls(&mut self.context());
        job_api.write_dependency_chunks(&mut self.context());
        if away {
            self.with_dag_runs(|dag_runs, context| dag_runs.refuse_all(context));
            job_api.refuse_pending(&mut self.context());
        } else {
            job_api.commit_pending(&mut self.context());
            if fresh {
                let mine = self.shards.keys().copied().collect();
                job_api.cascade_cancellations(&mine, &mut self.context());
            }
        }
        self.job_api = job_api;
        if let Some(mut autoscaler) = self.autoscaler.take() {
            if fresh && self.records.loaded {
                let owned = self.records.shard_owners.len() == self.config.shard_count as usize
                    && self.gossip.fresh(now).count() + 1 == self.config.members.len();
                if autoscaler.needs_heartbeats(now) {
                    let mut heard = self.gossip.heard_machines(now);
                    for shard in self.shards.values() {
                        heard.extend(shard.heard(now, HEARD_MS).map(|m| m.as_str().to_string()));
                    }
                    autoscaler.record_heartbeats(now, heard.into_iter());
                }
                autoscaler.tick(owned, &mut self.context());
            }
            self.autoscaler = Some(autoscaler);
        }
        self.lead_drains(fresh);
        if now.since(self.hint_at) >= HINT_MS {
            self.hint_at = now;
            self.hint();
        }
    }

    /// Whether no machine of any part owned here reaches this controller.
    fn hears_none(&self) -> bool {
        let report_ms = self.config.settings.report_ms();
        let mut shards = self.shards.values().map(|s| s.heartbeat_summary());
        !self.shards.is_empty() && shards.all(|h| silence::deaf(h, self.effects.now, report_ms))
    }

    /// Hands a part over whose machines reach others and not this controller.
    fn tick_hearing(&mut self) {
        let now = self.effects.now;
        let report_ms = self.config.settings.report_ms();
        let hand_over: BTreeSet<ShardId> = self
            .shards
            .values()
            .filter(|shard| {
                let elsewhere = self.gossip.strangers(now, shard.id);
                silence::hand_over(shard.heartbeat_summary(), elsewhere, now, report_ms)
            })
            .map(|shard| shard.id)
            .collect();
        // Guards against handing a part to nobody: while the state service is away it is neither given nor taken.
        let served = self.leases.fresh(now) && self.state_silent_ms() < UNSERVED_MS;
        if served && let Some(shard_id) = self.reachability.hand_over(&hand_over, now) {
            let mut leases = std::mem::take(&mut self.leases);
            leases.hand_over(shard_id, &mut self.context());
            self.leases = leases;
        }
        self.leases.deaf = self.reachability.deaf;
        let mut reachability = std::mem::take(&mut self.reachability);
        reachability.probe(&mut self.context());
        self.reachability = reachability;
    }

    /// Tells the parts owned here what machines the others have: a reservation is shared by that.
    fn share_pools(&mut self) {
        let mut pools = self.gossip.pools(self.effects.now);
        for shard in self.shards.values() {
            let leases = shard.pools().into_iter();
            pools.extend(leases.map(|(pool, count)| ((shard.id, pool), count)));
        }
        let pools = Rc::new(pools);
        for shard in self.shards.values_mut() {
            shard.elsewhere = pools.clone();
        }
    }

    fn tick_runs(&mut self) {
        // Which of a run's jobs have ended must be known, or they would be submitted again.
        let known = self.records.loaded && !self.list_watch.reads_ended();
        if !known || self.types.is_empty() || self.dag_runs.is_idle(&self.records) {
            return;
        }
        let mut errors = self.gossip.failing(self.effects.now);
        for shard in self.shards.values() {
            errors.extend(shard.failing().map(|(job, n)| (job.clone(), n)));
        }
        let mut dag_runs = std::mem::take(&mut self.dag_runs);
        let mut job_api = std::mem::take(&mut self.job_api);
        let leases = std::mem::take(&mut self.leases);
        dag_runs.tick(&leases, &errors, &mut job_api, &mut self.context());
        if self.autoscaler.is_some() {
            dag_runs.remove_ended(&mut self.context());
        }
        self.leases = leases;
        self.job_api = job_api;
        self.dag_runs = dag_runs;
    }

    fn tick_bookings(&mut self) {
        let leads = self.autoscaler.is_some() && self.leases.fresh(self.effects.now);
        let away = self.state_silent_ms() >= UNSERVED_MS;
        let guard = self.with_reservations(|reservations, context| {
            if away {
                reservations.refuse_all(context);
            }
            reservations.tick(leads, context)
        });
        if let Some(guard) = guard {
            self.guard = guard;
        }
    }

    /// Keeps to what may be written by now.
    fn tick_terms(&mut self) {
        let mut format_migration = std::mem::take(&mut self.format_migration);
        format_migration.tick(&mut self.context());
        self.format_migration = format_migration;
        let state = &self.config.settings.deployment.state;
        let now = storage_limits(self.records.format, self.kv.refused, state);
        if now != self.storage_limits {
            tracing::info!(format = ?now.format, value_bytes = now.value_bytes, txn_ops = now.txn_ops,
                rps = now.rps, write_rps = now.write_rps, "storage limits changed");
            self.storage_limits = now;
        }
        // A start counts as an owner: it is about to be one, and reads most now.
        let shards = self
            .leases
            .shards()
            .len()
            .max(usize::from(!self.records.loaded));
        let (rps, write_rps) = own_rates(&self.storage_limits, self.config.shard_count, shards);
        self.kv.set_rates(rps, write_rps);
    }

    /// Works out anew what needs what, if a job has changed since, and reads what is not known.
    fn tick_graph(&mut self) {
        let now = self.effects.now;
        if self.graph_of != self.records.job_changes && now.since(self.graph_at) >= GRAPH_MS {
            self.graph_of = self.records.job_changes;
            self.graph_at = now;
            let slowest = slowest_fetch(self.types.values());
            let default_s = self.config.ops.default_run_s;
            let length_ms =
                |spec: &JobSpec| seconds_to_ms(estimate(spec, default_s) + spec.pull_gb / slowest);
            let records = &self.records;
            let wall = WallClockMillis(self.effects.wall_ms);
            let final_of = |id: &JobId| records.final_of(id);
            let dependencies_of = |id: &JobId, record| records.dependencies_of(id, record);
            let graph = DependencyGraph::build(
                &records.jobs,
                dependencies_of,
                final_of,
                length_ms,
                wall,
                &self.dependency_graph,
            );
            self.dependency_graph = graph;
        }
        let reads = !self.records.loaded;
        if reads
            || self.dependency_graph.unknown.is_empty()
            || now.since(self.looked_up) < LOOK_UP_MS
        {
            return;
        }
        self.looked_up = now;
        // Ended long ago and dropped from the mirror, or not come yet.
        for job in self.dependency_graph.unknown.iter().take(LOOK_UPS) {
            if self.kv.may(now, RequestPriority::Ends, 0) {
                let tag = KvRequest::JobLookup(job.clone());
                self.kv.get(&mut self.effects, tag, &job_key(job), 1_500);
            }
        }
    }

    /// Lets go of what the mirror shows to be another's.
    fn check_held(&mut self) {
        if !self.records.loaded {
            return;
        }
        let now = self.effects.now;
        for (shard_id, fencing_token) in self.leases.shards() {
            if self.records.revision.0 < fencing_token.0 {
                continue;
            }
            let version = self
                .records
                .shard_owners
                .get(&shard_id)
                .map(|v| v.version.0);
            if version != Some(fencing_token.0) {
                tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard owned by another controller");
                self.leases.lose(Role::ShardLeader(shard_id), now);
            }
        }
        let leases = &self.leases;
        let gone: Vec<ShardId> = self
            .shards
            .values()
            .filter(|s| leases.fencing_token(s.id) != Some(s.fencing_token))
            .map(|s| s.id)
            .collect();
        for shard_id in gone {
            if let Some(mut shard) = self.shards.remove(&shard_id) {
                shard.drop_held(&mut self.context());
            }
        }
        if let Some(fencing_token) = self.leases.leads()
            && self.records.revision.0 >= fencing_token.0
            && self.records.leader.as_ref().map(|v| v.version.0) != Some(fencing_token.0)
        {
            self.leases.lose(Role::ClusterLeader, now);
        }
        let leads = self.leases.leads();
        if self
            .autoscaler
            .as_ref()
            .is_some_and(|f| Some(f.fencing_token) != leads)
        {
            self.autoscaler = None;
        }
    }

    fn hint(&mut self) {
        let now = self.effects.now;
        let mut short_of: BTreeSet<String> = BTreeSet::new();
        let mut shards = Vec::new();
        for shard in self.shards.values() {
            short_of.extend(shard.short_of.keys().map(|t| t.as_str().to_string()));
            shards.push(ShardStatus {
                shard_id: shard.id.0,
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
                    .map(|(job, errors)| FailingJob {
                        job: job.as_str().to_string(),
                        errors,
                    })
                    .collect(),
                kept: shard
                    .kept_room
                    .iter()
                    .map(|(team, k)| ReservedCpus {
                        team: team.as_str().to_string(),
                        cpus: k.promised,
                    })
                    .collect(),
                heard: Vec::new(),
                stranded: offers(shard, StealOffer::Stranded),
                overdue: offers(shard, StealOffer::Overdue),
                ..ShardStatus::default()
            });
        }
        self.hint_drains(&mut shards);
        // All of them in the first part's hint: the leader asks for all parts' together.
        if let Some(first) = shards.first_mut() {
            let heard = self.shards.values().flat_map(|s| s.heard(now, HEARD_MS));
            let heard: BTreeSet<MachineId> = heard.cloned().collect();
            first.heard = self.heard_turns.next(&heard, HEARD_BYTES);
        }
        let missing = self
            .autoscaler
            .iter()
            .flat_map(|a| a.missing_machines().cloned());
        let missing: BTreeSet<MachineId> = missing.collect();
        let missing = self.missing_turns.next(&missing, MISSING_BYTES);
        let within_ms = STRANGERS_REPORTS * self.config.settings.report_ms();
        let strangers = self.reachability.strangers(now, within_ms).into_iter();
        let hint = PeerStatus {
            deaf: self.reachability.deaf || self.hears_none(),
            strangers: strangers
                .map(|(shard_id, machines)| ForeignHeartbeats {
                    shard_id: shard_id.0,
                    machines,
                })
                .collect(),
            member: self.config.me.as_str().to_string(),
            state_silent_ms: self.state_silent_ms(),
            up_ms: now.since(self.started),
            feed_silent_ms: now.since(self.list_watch.feed_at),
            shards,
            short_of: short_of.into_iter().collect(),
            missing,
            waits: self.drain_waits(),
        };
        for member in &self.config.members {
            if *member != self.config.me {
                self.effects
                    .outputs
                    .push(Effect::PeerStatus(member.clone(), hint.clone()));
            }
        }
    }
}

/// Failing jobs told of at once.
const MOST_FAILING: usize = 100;

/// The jobs that a part offers for this reason.
fn offers(shard: &Shard, why: StealOffer) -> Vec<String> {
    let offers = shard.offers().iter().filter(|(_, offer)| *offer == why);
    offers.map(|(job, _)| job.as_str().to_string()).collect()
}

fn pool_hints(shard: &Shard) -> Vec<PoolSize> {
    let pools = shard.pools().into_iter();
    pools
        .map(|(pool, (ordinary, spot))| PoolSize {
            zone: pool.zone.to_string(),
            model: pool.model.to_string(),
            ordinary,
            spot,
        })
        .collect()
}
