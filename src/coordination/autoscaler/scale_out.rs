//! Scale-out: requests for machines, repeated under the same name until the cloud responds conclusively.

use super::Autoscaler;
use super::demand::{UsedResources, demand};
use super::plan_types::{MachineSupply, Pool};
use super::planning::plan;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use crate::effects::{Effects, Method};
use snowshelf_model::ids::{MachineId, MonotonicMillis, ShardId, shard_of};
use snowshelf_model::protocol::cloud::{ListedMachineState, ScaleOutResponse, scale_out_body};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// How long plans exclude a pool in which the cloud has no capacity, in milliseconds.
const NO_CAPACITY_BACKOFF_MS: u64 = 8_000;
/// How long plans exclude a pool for which the cloud rejected a request as malformed, in milliseconds.
const REJECTED_BACKOFF_MS: u64 = 60_000;
/// Delay before the first retry of a request, in milliseconds.
const INITIAL_RETRY_DELAY_MS: u64 = 1_000;

/// A request for machines of one pool.
struct ScaleOutRequest {
    pool: Pool,
    machines: u32,
    body: Vec<u8>,
    in_flight: bool,
    retry_at: MonotonicMillis,
    failures: u32,
}

/// A machine that the cloud has started and does not list yet.
struct StartedMachine {
    pool: Pool,
    started_at: MonotonicMillis,
}

/// Requests for machines, and started machines that are not listed yet.
#[derive(Default)]
pub(super) struct ScaleOut {
    last_request: u64,
    /// Requests without a conclusive response, by name.
    requests: BTreeMap<String, ScaleOutRequest>,
    started: BTreeMap<MachineId, StartedMachine>,
    /// Pools that plans exclude, and until when.
    backoff_until: BTreeMap<Pool, MonotonicMillis>,
}

impl ScaleOut {
    /// Returns whether a machine has started and is not listed yet.
    pub(super) fn has_started(&self, machine: &MachineId) -> bool {
        self.started.contains_key(machine)
    }

    /// Stops tracking a started machine.
    pub(super) fn forget_started(&mut self, machine: &MachineId) {
        self.started.remove(machine);
    }

    /// Keeps only the started machines for which `keep` returns true, given their name and start time.
    pub(super) fn retain_started(&mut self, keep: impl Fn(&MachineId, MonotonicMillis) -> bool) {
        self.started.retain(|name, m| keep(name, m.started_at));
    }

    /// Returns whether plans exclude some pool after a failed or partially fulfilled request.
    pub(super) fn has_pools_in_backoff(&self) -> bool {
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
                    Ok(response) => self.on_started(name, response.machines, now),
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
            // Repeated under the same name, a request starts machines once, whether or not the cloud
            // carried it out before.
            _ => {
                request.retry_at = effects.retry_at(INITIAL_RETRY_DELAY_MS, request.failures);
                request.failures += 1;
            }
        }
    }

    /// Records the machines that a request has started. Fewer than requested means that the pool has no more
    /// capacity.
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

    /// Returns the pools excluded from plans: in backoff, or with a request without a conclusive response.
    fn excluded_pools(&mut self, now: MonotonicMillis) -> BTreeSet<Pool> {
        self.backoff_until.retain(|_, until| *until > now);
        let in_backoff = self.backoff_until.keys().cloned();
        let requested = self.requests.values().map(|r| r.pool.clone());
        in_backoff.chain(requested).collect()
    }
}

/// Machines of one pool that a plan requests.
struct PlannedRequest {
    pool: Pool,
    machines: u32,
}

impl Autoscaler {
    /// Returns whether plans exclude some pool after a failed or partially fulfilled request.
    #[must_use]
    pub fn has_pools_in_backoff(&self) -> bool {
        self.scale_out.has_pools_in_backoff()
    }

    /// Repeats requests whose retry delay has passed.
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

    /// Requests machines for the demand that exceeds the supply.
    pub(super) fn scale_out(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let machines = self.supplied_machines(context);
        let demand = demand(context, &machines, &self.unmet_demand, &mut self.held_cpus);
        let supply = self.supply(machines, &demand.used, context);
        let excluded = self.scale_out.excluded_pools(now);
        let cpus = |request: &PlannedRequest| {
            let machine_type = context.machine_types.get(&request.pool.model);
            machine_type.map_or(0.0, |t| t.cpus) * f64::from(request.machines)
        };
        let plan = plan(&demand.tasks, supply, context.machine_types, &excluded);
        let unmet_jobs = plan
            .unmet
            .iter()
            .filter_map(|index| demand.jobs.get(*index));
        self.unmet_demand.update(unmet_jobs.cloned().collect(), now);
        let mut planned: Vec<PlannedRequest> = plan
            .requests
            .into_iter()
            .map(|(pool, machines)| PlannedRequest {
                pool,
                machines: machines.min(MAX_MACHINES_PER_REQUEST),
            })
            .collect();
        // The request with the most CPUs goes first, and requests that exceed the call rate are planned
        // again: small requests planned before most jobs are known would use up the few calls.
        planned.sort_by(|a, b| cpus(b).total_cmp(&cpus(a)));
        for PlannedRequest { pool, machines } in planned {
            if !self.cloud.may_call(now) {
                break;
            }
            self.scale_out.last_request += 1;
            // The fencing token makes the name unique across cluster leaders.
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

    /// Returns the machines that count as supply, with their pools: those that are listed and not failed, and
    /// those that have started.
    fn supplied_machines(&self, context: &Context<'_>) -> BTreeMap<MachineId, Pool> {
        let mut machines = BTreeMap::new();
        for listed in self.list.listed.values() {
            // A machine that a drain empties does not count as supply, so that its replacement is requested
            // while it is still in service.
            let is_leaving = context.drains.leaving.contains(&listed.machine);
            if listed.state != ListedMachineState::Failed && !is_leaving {
                let pool = Pool {
                    model: listed.model.clone(),
                    zone: listed.zone.clone(),
                    spot: listed.spot,
                };
                machines.insert(listed.machine.clone(), pool);
            }
        }
        for (name, started) in &self.scale_out.started {
            machines.insert(name.clone(), started.pool.clone());
        }
        machines
    }

    /// Returns the free resources of the machines that count as supply, and of those requested. Started tasks stay
    /// where they are, so that free resources on several machines do not add up to those of one.
    fn supply(
        &self,
        machines: BTreeMap<MachineId, Pool>,
        used: &BTreeMap<MachineId, UsedResources>,
        context: &Context<'_>,
    ) -> Vec<MachineSupply> {
        let mut supply = Vec::new();
        let mut add = |pool: Pool, shard: Option<ShardId>, used: UsedResources| {
            if let Some(machine_type) = context.machine_types.get(&pool.model) {
                let mut free = machine_type.capacity();
                free.sub(used.total);
                let lasting_cpus = used.lasting_cpus;
                supply.push(MachineSupply {
                    pool,
                    shard,
                    free,
                    lasting_cpus,
                });
            }
        };
        for (name, pool) in machines {
            let shard = shard_of(name.as_str(), context.config.shard_count);
            add(
                pool,
                Some(shard),
                used.get(&name).copied().unwrap_or_default(),
            );
        }
        for request in self.scale_out.requests.values() {
            for _ in 0..request.machines {
                add(request.pool.clone(), None, UsedResources::default());
            }
        }
        supply
    }

    fn send_request(&mut self, name: &str, context: &mut Context<'_>) {
        if let Some(pending) = self.scale_out.requests.get_mut(name) {
            pending.in_flight = true;
            let body = pending.body.clone();
            let request = CloudRequest::ScaleOut(name.to_string());
            self.cloud.call(
                context.effects,
                request,
                Method::Post,
                "/hosts".into(),
                body,
            );
        }
    }
}
