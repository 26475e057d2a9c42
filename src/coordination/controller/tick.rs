//! Periodic work: one function per actor. Their order matters, since later ones depend on what earlier ones update.

use super::Controller;
use crate::coordination::leases::Role;
use crate::coordination::storage_budget::{RequestRates, storage_limits};
use snowshelf_model::ids::{JobId, ShardId};
use snowshelf_reconciliation::silence;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Interval at which the pool sizes of the other shards are passed to the shards led here.
const POOL_SIZES_INTERVAL_MS: u64 = 400;
/// Largest age of a heartbeat that proves to the cluster leader that the machine is running.
pub(super) const RECENT_HEARTBEAT_MS: u64 = 10_000;

impl Controller {
    pub(super) fn tick(&mut self) {
        self.list_watch.tick(&mut self.env.context());
        self.format_migration.tick(&mut self.env.context());
        self.tick_storage_limits();
        self.tick_dependencies();
        self.tick_reservations();
        self.tick_drains();
        self.tick_leases();
        self.drop_lost_roles();
        self.tick_reachability();
        self.retry_deferred_heartbeats();
        self.tick_pool_sizes();
        self.tick_watermark();
        self.tick_shards();
        self.tick_dag_runs();
        self.tick_job_api();
        self.tick_autoscaler();
        self.tick_drain_leader();
        self.tick_peer_status();
    }

    /// Updates the storage limits, which depend on the agreed record format and on whether the store has
    /// rejected a write. Then sets this controller's share of the request rates, which also depends on the
    /// led shards.
    fn tick_storage_limits(&mut self) {
        let env = &mut self.env;
        let state = &env.config.settings.deployment.state;
        let limits = storage_limits(env.records.format, env.kv.write_rejected, state);
        if limits != env.storage_limits {
            tracing::info!(format = ?limits.format, value_bytes = limits.value_bytes, txn_ops = limits.txn_ops,
                rps = limits.rps, write_rps = limits.write_rps, "storage limits changed");
            env.storage_limits = limits;
        }
        // A starting controller counts as the leader of a shard: it is about to lead one, and its startup read needs
        // many requests.
        let is_starting = usize::from(!env.records.loaded);
        let led_shards = self.leases.led_shards().len().max(is_starting);
        let shard_count = env.config.shard_count;
        let rates = RequestRates::of_controller(&env.storage_limits, shard_count, led_shards);
        env.kv.set_rates(rates.requests_per_s, rates.writes_per_s);
    }

    fn tick_reservations(&mut self) {
        let leads_cluster = self.autoscaler.is_some() && self.leases.is_valid(self.env.now());
        if !self.env.is_kv_available() {
            self.reservations.refuse_all(&mut self.env.context());
        }
        let constraints = self
            .reservations
            .tick(leads_cluster, &mut self.env.context());
        if let Some(constraints) = constraints {
            self.env.calendar_constraints = constraints;
        }
    }

    fn tick_leases(&mut self) {
        let homes = self
            .gossip
            .available_homes(self.env.now(), &self.env.config);
        self.leases.tick(&homes, &mut self.env.context());
    }

    /// Drops the roles that another controller holds according to the record cache.
    fn drop_lost_roles(&mut self) {
        if !self.env.records.loaded {
            return;
        }
        self.drop_lost_shards();
        let now = self.env.now();
        let records = &self.env.records;
        let cached = records.leader.as_ref().map(|v| v.version.0);
        if let Some(fencing_token) = self.leases.cluster_fencing_token()
            && records.revision.0 >= fencing_token.0
            && cached != Some(fencing_token.0)
        {
            self.leases.drop_role(Role::ClusterLeader, now);
        }
        let fencing_token = self.leases.cluster_fencing_token();
        if let Some(autoscaler) = &self.autoscaler
            && Some(autoscaler.fencing_token) != fencing_token
        {
            self.autoscaler = None;
        }
    }

    fn drop_lost_shards(&mut self) {
        let now = self.env.now();
        let records = &self.env.records;
        for (shard_id, fencing_token) in self.leases.led_shards() {
            if records.revision.0 < fencing_token.0 {
                continue;
            }
            let cached = records.shard_leaders.get(&shard_id).map(|v| v.version.0);
            if cached != Some(fencing_token.0) {
                tracing::info!(shard = %shard_id, fencing_token = %fencing_token, "shard owned by another controller");
                self.leases.drop_role(Role::ShardLeader(shard_id), now);
            }
        }
        let leases = &self.leases;
        let lost: Vec<ShardId> = self
            .shards
            .values()
            .filter(|shard| leases.fencing_token(shard.id) != Some(shard.fencing_token))
            .map(|shard| shard.id)
            .collect();
        for shard_id in lost {
            self.drop_shard(shard_id);
        }
    }

    /// Hands over a shard whose workers reach other controllers but not this one.
    fn tick_reachability(&mut self) {
        let now = self.env.now();
        let heartbeat_interval_ms = self.env.config.settings.report_ms();
        let unreachable: BTreeSet<ShardId> = self
            .shards
            .values()
            .filter(|shard| {
                let elsewhere = self.gossip.most_foreign_heartbeats(now, shard.id);
                let heartbeats = shard.heartbeat_summary();
                silence::should_release_shard(heartbeats, elsewhere, now, heartbeat_interval_ms)
            })
            .map(|shard| shard.id)
            .collect();
        // A handover needs a write: without the key-value store no other controller could acquire the shard.
        let may_hand_over = self.leases.is_valid(now) && self.env.is_kv_available();
        if may_hand_over
            && let Some(shard_id) = self.reachability.choose_handover(&unreachable, now)
        {
            self.leases.hand_over(shard_id, &mut self.env.context());
        }
        self.leases.unreachable_by_workers = self.reachability.unreachable_by_workers();
        self.reachability.probe(&mut self.env.context());
    }

    /// Passes the pool sizes of all shards to the shards led here. A reservation is divided among the shards by pool
    /// size.
    fn tick_pool_sizes(&mut self) {
        let now = self.env.now();
        let is_due = now.since(self.pool_sizes_shared_at) >= POOL_SIZES_INTERVAL_MS;
        if self.env.calendar_constraints.reservations.is_empty() || !is_due {
            return;
        }
        self.pool_sizes_shared_at = now;
        let mut sizes = self.gossip.pool_sizes(now);
        for shard in self.shards.values() {
            let own = shard.machines_by_pool().into_iter();
            sizes.extend(own.map(|(pool, counts)| ((shard.id, pool), counts)));
        }
        let sizes = Rc::new(sizes);
        for shard in self.shards.values_mut() {
            shard.set_machines_elsewhere(sizes.clone());
        }
    }

    fn tick_shards(&mut self) {
        let now = self.env.now();
        let lease_valid = self.leases.is_valid(now);
        let short_of_quota = self.gossip.teams_short_of_quota(now);
        let mut missing = self.gossip.missing_machines(now);
        let leader_missing = self.autoscaler.iter();
        missing.extend(leader_missing.flat_map(|leader| leader.missing_machines().cloned()));
        let may_respond = self.may_respond_to_workers();
        let mut offers = self.gossip.steal_offers(now);
        for shard in self.shards.values() {
            let own = shard.steal_offers().iter();
            offers.extend(own.map(|(job, offer)| ((shard.id, job.clone()), *offer)));
        }
        let offers = Rc::new(offers);
        self.for_each_shard(|shard, context| {
            shard.set_foreign_offers(offers.clone());
            shard.tick(lease_valid, &short_of_quota, &missing, context);
            if !may_respond {
                shard.redirect_deferred_requests(context);
            }
        });
    }

    fn tick_dag_runs(&mut self) {
        let now = self.env.now();
        if !self.env.is_kv_available() || !self.leases.is_valid(now) {
            return;
        }
        // Jobs of a run that have ended would be submitted again if their ends were not known.
        let can_decide = self.env.records.loaded
            && !self.list_watch.is_reading_finished_jobs()
            && self.env.machine_types.are_known();
        if !can_decide || self.dag_runs.is_idle(&self.env.records) {
            return;
        }
        let mut failing: BTreeMap<JobId, u32> = self.gossip.failing_jobs(now);
        for shard in self.shards.values() {
            failing.extend(
                shard
                    .failing_jobs()
                    .map(|(job, errors)| (job.clone(), errors)),
            );
        }
        let job_api = &mut self.job_api;
        self.dag_runs
            .tick(&self.leases, &failing, job_api, &mut self.env.context());
        if self.autoscaler.is_some() {
            self.dag_runs.remove_ended(&mut self.env.context());
        }
    }

    fn tick_job_api(&mut self) {
        let now = self.env.now();
        let mut capacities = self.gossip.shard_capacities(now);
        capacities.extend(
            self.shards
                .values()
                .map(|shard| (shard.id, shard.capacity())),
        );
        let mut reserved = self.gossip.reserved_cpus(now);
        for shard in self.shards.values() {
            let own = shard.reserved_for_teams().iter();
            reserved.extend(
                own.map(|(team, capacity)| ((shard.id, team.clone()), capacity.unused_by_team)),
            );
        }
        self.job_api.set_capacity(capacities, reserved);
        self.job_api.check_polls(&mut self.env.context());
        self.job_api
            .write_dependency_chunks(&mut self.env.context());
        if !self.env.is_kv_available() {
            self.dag_runs.refuse_all(&mut self.env.context());
            self.job_api.refuse_pending(&mut self.env.context());
            return;
        }
        self.job_api.commit_pending(&mut self.env.context());
        if self.leases.is_valid(now) {
            let led = self.shards.keys().copied().collect();
            self.job_api
                .cascade_cancellations(&led, &mut self.env.context());
        }
    }

    /// Runs the autoscaler while this controller leads the cluster, its lease is valid and the record cache
    /// is loaded. If that is due, first passes it the machines with recent heartbeats to any controller.
    fn tick_autoscaler(&mut self) {
        let now = self.env.now();
        let may_scale = self.leases.is_valid(now) && self.env.records.loaded;
        let Some(autoscaler) = self.autoscaler.as_mut().filter(|_| may_scale) else {
            return;
        };
        let config = &self.env.config;
        let all_shards_led = self.env.records.shard_leaders.len() == config.shard_count as usize
            && self.gossip.recent(now).count() + 1 == config.members.len();
        if autoscaler.needs_heartbeats(now) {
            let mut machines = self.gossip.machines_with_heartbeats(now);
            for shard in self.shards.values() {
                let own = shard.machines_with_recent_heartbeats(now, RECENT_HEARTBEAT_MS);
                machines.extend(own.map(|machine| machine.as_str().to_string()));
            }
            autoscaler.record_heartbeats(now, machines.into_iter());
        }
        autoscaler.tick(all_shards_led, &mut self.env.context());
    }

    /// Whether no worker of any shard led here has reached this controller recently.
    pub(super) fn receives_no_heartbeats(&self) -> bool {
        let now = self.env.now();
        let heartbeat_interval_ms = self.env.config.settings.report_ms();
        let mut shards = self
            .shards
            .values()
            .map(super::super::shard::Shard::heartbeat_summary);
        !self.shards.is_empty()
            && shards
                .all(|heartbeats| silence::is_unreachable(heartbeats, now, heartbeat_interval_ms))
    }
}
