//! Heartbeats of workers: whether they are accepted, what they change, and when they are answered.

use super::Shard;
use super::machine::{DeferredResponse, Machine};
use crate::coordination::context::Context;
use crate::coordination::placement::UNKNOWN_ZONE;
use crate::effects::Response;
use snowshelf_calendar::calendar::Pool;
use snowshelf_model::ids::{ConnectionId, MachineId, MonotonicMillis, seconds_to_ms};
use snowshelf_model::protocol::worker::{Heartbeat, redirect_body};
use snowshelf_reconciliation::decision_table::{HeartbeatEvidence, TokenState};
use snowshelf_watermark::renewal::RenewalRefusal;

impl Shard {
    /// Handles a heartbeat that was received at `received`. The caller has checked that this
    /// controller holds the shard's lease. If the worker's lease may not be renewed yet, returns
    /// the heartbeat with the reason.
    #[must_use]
    pub fn on_heartbeat(
        &mut self,
        connection: ConnectionId,
        heartbeat: Heartbeat,
        received: MonotonicMillis,
        context: &mut Context<'_>,
    ) -> Option<(RenewalRefusal, Heartbeat)> {
        if self.reject_heartbeat(connection, &heartbeat, context) {
            return None;
        }
        let renewal = match context.authorize_renewal(self.id, &heartbeat.tasks, received) {
            Ok(renewal) => renewal,
            Err(refusal) => return Some((refusal, heartbeat)),
        };
        let now = context.now();
        if !self.ready {
            // Renew the worker's lease and tell it the fencing token; the rest waits for the
            // shard's state.
            self.respond(connection, renewal, Vec::new(), context);
            self.store_early(heartbeat, now);
            return None;
        }
        let name = heartbeat.machine.clone();
        if !self.record_heartbeat(heartbeat, now, context) {
            self.respond(connection, renewal, Vec::new(), context);
            return None;
        }
        self.redirect_previous_request(&name, context);
        self.place(context);
        let deferred = DeferredResponse {
            connection,
            since: now,
            deadline: now.plus(context.config.ops.hold_ms),
        };
        if self.should_defer(&name, &deferred, now) {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.deferred_response = Some(deferred);
            }
            self.flush_changes(context);
        } else {
            let commands = self.commands(&name, context);
            self.respond(connection, renewal, commands, context);
        }
        None
    }

    /// Rejects a heartbeat that carries a higher fencing token, and one of a machine that has been
    /// released. Returns whether it was rejected.
    fn reject_heartbeat(
        &mut self,
        connection: ConnectionId,
        heartbeat: &Heartbeat,
        context: &mut Context<'_>,
    ) -> bool {
        if heartbeat.fencing_token > self.fencing_token {
            tracing::info!(shard = %self.id, fencing_token = %self.fencing_token, seen = %heartbeat.fencing_token,
                machine = %heartbeat.machine, "shard leader deposed: worker reports a higher fencing token");
            self.fenced = true;
            redirect_worker(connection, context);
            return true;
        }
        // A heartbeat may arrive late, after the release of its machine was confirmed.
        let released = self.scale_in.released.contains(&heartbeat.machine);
        if released {
            let response = Response::retry_later(503, "this machine was returned", 5);
            context.effects.respond(connection, response);
        }
        released
    }

    /// Keeps the newest heartbeat of a machine until the shard is ready.
    fn store_early(&mut self, heartbeat: Heartbeat, now: MonotonicMillis) {
        let newest = self.early_heartbeats.get(&heartbeat.machine);
        let newer = newest.is_none_or(|(_, stored)| {
            (stored.incarnation, stored.sequence) < (heartbeat.incarnation, heartbeat.sequence)
        });
        if newer {
            self.early_heartbeats
                .insert(heartbeat.machine.clone(), (now, heartbeat));
        }
    }

    /// Processes the heartbeats received before the shard was ready. This leader has not started
    /// anything since, so they are as conclusive now as on arrival.
    pub(super) fn process_early_heartbeats(&mut self, context: &mut Context<'_>) {
        for (received_at, heartbeat) in std::mem::take(&mut self.early_heartbeats).into_values() {
            self.record_heartbeat(heartbeat, received_at, context);
        }
    }

    /// Applies the contents of a heartbeat. Returns `false` if the heartbeat is late or repeated; a
    /// newer one has been applied then.
    fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        received_at: MonotonicMillis,
        context: &mut Context<'_>,
    ) -> bool {
        let now = context.now();
        let name = heartbeat.machine.clone();
        let machine = self
            .machines
            .entry(name.clone())
            .or_insert_with(|| Machine::unknown(now));
        let known_before = machine.heartbeat_received;
        if known_before
            && (heartbeat.incarnation, heartbeat.sequence)
                <= (machine.incarnation, machine.sequence)
        {
            return false;
        }
        let new_incarnation = known_before && heartbeat.incarnation > machine.incarnation;
        if !known_before {
            tracing::info!(machine = %name, shard = %self.id, model = %heartbeat.model,
                incarnation = heartbeat.incarnation.0, "first heartbeat of machine received");
            self.placement.dirty = true;
        }
        if new_incarnation {
            tracing::info!(machine = %name, incarnation = heartbeat.incarnation.0, "new agent incarnation: earlier tasks are lost");
            machine.images.fetching.clear();
        }
        let acknowledged = heartbeat.fencing_token == self.fencing_token;
        if machine.token_acknowledged != acknowledged {
            machine.token_acknowledged = acknowledged;
            self.placement.dirty = true;
        }
        update_machine(machine, heartbeat, received_at, context);
        if acknowledged {
            let evidence = HeartbeatEvidence {
                token: TokenState::Equal,
                superseded: false,
                new_incarnation,
                inherited: std::mem::take(&mut machine.inherited),
            };
            self.reconcile_heartbeat(&name, evidence, context);
        }
        true
    }

    /// Whether a response should be deferred: a start on the machine is not durable yet, or a
    /// placement pass that may use the machine is due.
    fn should_defer(
        &self,
        name: &MachineId,
        deferred: &DeferredResponse,
        now: MonotonicMillis,
    ) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        if now >= deferred.deadline || !machine.token_acknowledged || machine.releasing {
            return false;
        }
        let pass_due = self.placement.dirty
            && self.placement.last_pass_at <= deferred.since
            && self.placement.demand.placeable;
        let usable =
            machine.interruption_at.is_none() && machine.retirement.is_none() && !machine.cordoned;
        self.jobs.awaits_durable_start(name) || (pass_due && usable)
    }

    /// Sends the deferred responses that no longer need to wait, or must not wait any longer.
    pub(super) fn send_deferred_responses(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let deferred: Vec<(MachineId, DeferredResponse)> = self
            .machines
            .iter()
            .filter_map(|(name, m)| Some((name.clone(), m.deferred_response?)))
            .collect();
        for (name, deferred) in deferred {
            if self.should_defer(&name, &deferred, now) {
                continue;
            }
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            machine.deferred_response = None;
            match context.authorize_renewal(self.id, &machine.reported_tasks, deferred.since) {
                Ok(renewal) => {
                    let commands = self.commands(&name, context);
                    self.respond(deferred.connection, renewal, commands, context);
                }
                Err(_) => redirect_worker(deferred.connection, context),
            }
        }
    }

    /// Redirects the pending request of a machine's previous heartbeat, which the worker has given
    /// up.
    fn redirect_previous_request(&mut self, name: &MachineId, context: &mut Context<'_>) {
        let machine = self.machines.get_mut(name);
        if let Some(previous) = machine.and_then(|m| m.deferred_response.take()) {
            redirect_worker(previous.connection, context);
        }
    }

    /// Redirects all workers that wait for a response, because this leader may not answer them any
    /// more.
    pub fn redirect_deferred_requests(&mut self, context: &mut Context<'_>) {
        for machine in self.machines.values_mut() {
            if let Some(deferred) = machine.deferred_response.take() {
                redirect_worker(deferred.connection, context);
            }
        }
    }
}

fn update_machine(
    machine: &mut Machine,
    heartbeat: Heartbeat,
    received_at: MonotonicMillis,
    context: &Context<'_>,
) {
    if machine.pool.is_none() {
        machine.pool = Some(Pool::new(&heartbeat.zone, &heartbeat.model));
    }
    let zones = &context.config.settings.deployment.zones;
    let zone = zones.iter().position(|z| *z == heartbeat.zone);
    machine.zone = zone.unwrap_or(UNKNOWN_ZONE);
    machine.model = heartbeat.model;
    machine.spot = heartbeat.spot;
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.last_heartbeat_at = received_at;
    machine.heartbeat_received = true;
    let notice_s = heartbeat.notice_s;
    machine.interruption_at = notice_s.map(|s| received_at.plus(seconds_to_ms(s)));
    machine.reported_tasks = heartbeat.tasks;
    machine.usage_dirty = true;
}

/// Redirects a worker, which then looks for the leader elsewhere. Its lease is not renewed.
pub(super) fn redirect_worker(connection: ConnectionId, context: &mut Context<'_>) {
    let response = Response::new(421, redirect_body(None));
    context.effects.respond(connection, response);
}
