//! Scale-out: requests for machines, repeated under the same name until the cloud has answered.

use super::Autoscaler;
use super::demand::task_demand;
use super::planning::{MachineSupply, Pool, plan};
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use crate::effects::{Effects, Method};
use snowshelf_model::ids::{MachineId, MonotonicMillis};
use snowshelf_model::protocol::cloud::{ListedMachineState, ScaleOutResponse, scale_out_body};
use std::collections::{BTreeMap, BTreeSet};

/// Machines in one request at most.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// How long a pool is left out of plans when the cloud has no capacity in it, in milliseconds.
const NO_CAPACITY_BACKOFF_MS: u64 = 8_000;
/// How long a pool is left out of plans when the cloud has rejected a request, in milliseconds.
const REJECTED_BACKOFF_MS: u64 = 60_000;
/// The first pause before a request is repeated, in milliseconds.
const FIRST_RETRY_MS: u64 = 1_000;

/// A request for machines of one pool.
struct ScaleOutRequest {
    pool: Pool,
    machines: u32,
    body: Vec<u8>,
    in_flight: bool,
    retry_at: MonotonicMillis,
    failures: u32,
}

/// A machine that the cloud has started.
struct StartedMachine {
    pool: Pool,
    started_at: MonotonicMillis,
}

/// Machines that are requested or have started and are not listed yet.
#[derive(Default)]
pub(super) struct ScaleOut {
    last_request: u64,
    /// Requests without a final response, by name.
    requests: BTreeMap<String, ScaleOutRequest>,
    started: BTreeMap<MachineId, StartedMachine>,
    /// Pools that are left out of plans, and until when.
    backoff_until: BTreeMap<Pool, MonotonicMillis>,
}

impl ScaleOut {
    /// Whether a machine has started and is not listed yet.
    pub(super) fn has_started(&self, machine: &MachineId) -> bool {
        self.started.contains_key(machine)
    }

    /// Forgets a machine that has started.
    pub(super) fn forget_started(&mut self, machine: &MachineId) {
        self.started.remove(machine);
    }

    /// Forgets all machines but those that meet a condition on their name and the time of their start.
    pub(super) fn retain_started(&mut self, keep: impl Fn(&MachineId, MonotonicMillis) -> bool) {
        self.started.retain(|name, m| keep(name, m.started_at));
    }

    /// Whether the cloud has lately had no capacity in some pool.
    pub(super) fn has_refusals(&self) -> bool {
        !self.backoff_until.is_empty()
    }

    /// Handles the response to a request.
    pub(super) fn on_response(
        &mut self,
        name: &str,
        status: u16,
        body: &[u8],
        effects: &mut Effects,
    ) {
        let now = effects.now;
        let Some(request) = self.requests.get_mut(name) else {
            return;
        };
        request.in_flight = false;
        match status {
            200 => {
                match serde_json::from_slice::<ScaleOutResponse>(body) {
                    Ok(answer) => self.on_started(name, answer.machines, now),
                    Err(error) => tracing::error!(%error, "scale-out response unreadable"),
                }
                self.requests.remove(name);
            }
            503 if String::from_utf8_lossy(body).contains("no capacity") => {
                let until = now.plus(NO_CAPACITY_BACKOFF_MS);
                self.backoff_until.insert(request.pool.clone(), until);
                self.requests.remove(name);
            }
            400 => {
                let body = String::from_utf8_lossy(body);
                tracing::error!(request = name, %body, "scale-out request rejected as malformed");
                let until = now.plus(REJECTED_BACKOFF_MS);
                self.backoff_until.insert(request.pool.clone(), until);
                self.requests.remove(name);
            }
            // Repeated under the same name: carried out or not, it starts machines once.
            _ => {
                request.retry_at = effects.retry_at(FIRST_RETRY_MS, request.failures);
                request.failures += 1;
            }
        }
    }

    /// Records the machines that a request has started: fewer than requested if the cloud has no more.
    fn on_started(&mut self, name: &str, machines: Vec<MachineId>, now: MonotonicMillis) {
        let Some(request) = self.requests.get(name) else {
            return;
        };
        let pool = &request.pool;
        tracing::info!(request = name, model = %pool.model, zone = %pool.zone, spot = pool.spot,
            requested = request.machines, started = machines.len(), "machines scaled out");
        if (machines.len() as u32) < request.machines {
            let until = now.plus(NO_CAPACITY_BACKOFF_MS);
            self.backoff_until.insert(pool.clone(), until);
        }
        for machine in machines {
            let started = StartedMachine {
                pool: pool.clone(),
                started_at: now,
            };
            self.started.insert(machine, started);
        }
    }

    /// Pools that no machines are requested of now: in backoff, or with a request in flight.
    fn excluded_pools(&mut self, now: MonotonicMillis) -> BTreeSet<Pool> {
        self.backoff_until.retain(|_, until| *until > now);
        let in_backoff = self.backoff_until.keys().cloned();
        let requested = self.requests.values().map(|r| r.pool.clone());
        in_backoff.chain(requested).collect()
    }
}

/// Machines of one pool that a plan asks for.
struct PlannedOrder {
    pool: Pool,
    machines: u32,
}

impl Autoscaler {
    /// Whether the cloud has lately had no capacity in some pool.
    #[must_use]
    pub fn has_refusals(&self) -> bool {
        self.scale_out.has_refusals()
    }

    /// Repeats requests whose pause is over.
    pub(super) fn retry_scale_out(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let requests = self.scale_out.requests.iter();
        let due: Vec<String> = requests
            .filter(|(_, r)| !r.in_flight && r.retry_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if self.cloud.may_call(now) {
                self.send_request(&name, context);
            }
        }
    }

    /// Requests machines for the demand that the present ones do not meet.
    pub(super) fn scale_out(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let demand = task_demand(context);
        let supply = self.supply(context);
        let excluded = self.scale_out.excluded_pools(now);
        let cpus = |order: &PlannedOrder| {
            let machine_type = context.machine_types.get(&order.pool.model);
            machine_type.map_or(0.0, |t| t.cpus) * f64::from(order.machines)
        };
        let mut orders: Vec<PlannedOrder> = plan(&demand, supply, context.machine_types, &excluded)
            .into_iter()
            .map(|(pool, machines)| PlannedOrder {
                pool,
                machines: machines.min(MAX_MACHINES_PER_REQUEST),
            })
            .collect();
        // What brings most goes first, and what cannot be sent now is planned again: small orders
        // made before most jobs were known kept the cloud's few calls busy.
        orders.sort_by(|a, b| cpus(b).total_cmp(&cpus(a)));
        for PlannedOrder { pool, machines } in orders {
            if !self.cloud.may_call(now) {
                break;
            }
            self.scale_out.last_request += 1;
            // The name has the leadership's fencing token, so no other leader ever uses it.
            let name = format!("r-{}-{}", self.fencing_token, self.scale_out.last_request);
            let body = scale_out_body(&name, &pool.model, &pool.zone, pool.spot, machines);
            let request = ScaleOutRequest {
                pool,
                machines,
                body,
                in_flight: false,
                retry_at: now,
                failures: 0,
            };
            self.scale_out.requests.insert(name.clone(), request);
            self.send_request(&name, context);
        }
    }

    /// All machines that serve, have started or are requested.
    fn supply(&self, context: &Context<'_>) -> Vec<MachineSupply> {
        let mut supply = Vec::new();
        let mut add = |pool: Pool| {
            if let Some(machine_type) = context.machine_types.get(&pool.model) {
                let free = machine_type.capacity();
                supply.push(MachineSupply { pool, free });
            }
        };
        for listed in self.list.listed.values() {
            // What a drain empties is replaced while it still serves, and not counted twice.
            let is_leaving = context.drains.leaving.contains(&listed.machine);
            if listed.state != ListedMachineState::Failed && !is_leaving {
                add(Pool {
                    model: listed.model.clone(),
                    zone: listed.zone.clone(),
                    spot: listed.spot,
                });
            }
        }
        for started in self.scale_out.started.values() {
            add(started.pool.clone());
        }
        for request in self.scale_out.requests.values() {
            for _ in 0..request.machines {
                add(request.pool.clone());
            }
        }
        supply
    }

    fn send_request(&mut self, name: &str, context: &mut Context<'_>) {
        if let Some(request) = self.scale_out.requests.get_mut(name) {
            request.in_flight = true;
            let body = request.body.clone();
            let tag = CloudRequest::ScaleOut(name.to_string());
            self.cloud
                .call(context.effects, tag, Method::Post, "/hosts".into(), body);
        }
    }
}
