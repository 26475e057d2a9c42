//! The leader's fleet: what is listed, what to rent, what to return.

mod planning;
mod reserving;
mod seeing;

pub use planning::{Have, Pool, Want, plan};

use super::cloud_client::{CloudClient, CloudRequest};
use super::context::Context;
use super::placement::patience_s;
use super::shard::reservations::expected_stay_ms;
use crate::effects::{CallOutcome, Effects, Method};
use reserving::{reserved, shut};
use snowshelf_model::ids::{FencingToken, MachineId, MonotonicMillis, seconds_to_ms};
use snowshelf_model::protocol::cloud::{
    ListedMachine, ListedMachineState, MachineListResponse, MachineType, MachineTypesResponse,
    ScaleOutResponse, scale_out_body,
};
use snowshelf_model::records::{JobState, Resources};
use std::collections::{BTreeMap, BTreeSet};

struct Rent {
    pool: Pool,
    number: u32,
    body: Vec<u8>,
    underway: bool,
    retry_at: MonotonicMillis,
    failures: u32,
}

struct Rented {
    pool: Pool,
    at: MonotonicMillis,
}

pub struct Autoscaler {
    pub fencing_token: FencingToken,
    cloud: CloudClient,
    next_name: u64,
    types_at: Option<MonotonicMillis>,
    list_at: Option<MonotonicMillis>,
    listing: Option<(String, Vec<ListedMachine>)>,
    listed: BTreeMap<MachineId, ListedMachine>,
    /// Answered by a rental, not listed yet.
    rented: BTreeMap<MachineId, Rented>,
    returned: BTreeMap<MachineId, MonotonicMillis>,
    rents: BTreeMap<String, Rent>,
    refused: BTreeMap<Pool, MonotonicMillis>,
    plan_at: MonotonicMillis,
    heard: BTreeMap<String, MonotonicMillis>,
    heard_at: MonotonicMillis,
    since: MonotonicMillis,
    releasing: bool,
    have_list: bool,
    /// The time of day at which the list came.
    listed_wall: u64,
    /// Listed once and not in the newest list, or listed as failed.
    pub missing: BTreeMap<MachineId, MonotonicMillis>,
}

/// Most machines that one request may rent.
const MOST_A_CALL: u32 = 50;
/// How often the leader notes which machines report.
const HEARD_GAP_MS: u64 = 500;

impl Autoscaler {
    pub fn new(fencing_token: FencingToken, rps: f64, now: MonotonicMillis) -> Autoscaler {
        Autoscaler {
            fencing_token,
            cloud: CloudClient::new(rps),
            next_name: 0,
            types_at: None,
            list_at: None,
            listing: None,
            listed: BTreeMap::new(),
            rented: BTreeMap::new(),
            returned: BTreeMap::new(),
            rents: BTreeMap::new(),
            refused: BTreeMap::new(),
            plan_at: MonotonicMillis(0),
            heard: BTreeMap::new(),
            heard_at: MonotonicMillis(0),
            since: now,
            releasing: false,
            have_list: false,
            listed_wall: 0,
            missing: BTreeMap::new(),
        }
    }

    /// Whether it is time to hear again which machines report.
    pub fn wants_heard(&self, now: MonotonicMillis) -> bool {
        now.since(self.heard_at) >= HEARD_GAP_MS
    }

    pub fn note_heard(&mut self, now: MonotonicMillis, names: impl Iterator<Item = String>) {
        self.heard_at = now;
        for name in names {
            self.heard.insert(name, now);
        }
    }

    pub fn tick(&mut self, owned: bool, context: &mut Context) {
        let now = context.now();
        let types_due = self.types_at.is_none_or(|at| now.since(at) > 30_000)
            || (context.types.is_empty() && self.types_at.is_none_or(|at| now.since(at) > 4_500));
        if types_due && self.cloud.may_call(now) {
            self.types_at = Some(now);
            let path = "/machine_types".to_string();
            self.cloud.call(
                context.effects,
                CloudRequest::ListMachineTypes,
                Method::Get,
                path,
                Vec::new(),
            );
        }
        let lag = seconds_to_ms(context.config.settings.deployment.cloud.list_lag_s).max(2_000);
        let list_due = self.list_at.is_none_or(|at| now.since(at) > lag)
            || (self.listing.is_some() && self.list_at.is_some_and(|at| now.since(at) > 4_500));
        if list_due && self.cloud.may_call(now) {
            self.list_at = Some(now);
            self.listing = Some((String::new(), Vec::new()));
            self.list_page(context);
        }
        let again: Vec<String> = self
            .rents
            .iter()
            .filter(|(_, r)| !r.underway && r.retry_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in again {
            if self.cloud.may_call(now) {
                self.order(&name, context);
            }
        }
        if self.have_list && now.since(self.plan_at) >= 500 && !context.types.is_empty() {
            self.plan_at = now;
            if self.cloud.may_call(now) {
                self.rent(context);
            }
            self.give_back(owned, context);
        }
    }

    fn list_page(&mut self, context: &mut Context) {
        let after = self
            .listing
            .as_ref()
            .map(|l| l.0.clone())
            .unwrap_or_default();
        let path = if after.is_empty() {
            "/hosts?Limit=500".to_string()
        } else {
            format!("/hosts?After={after}&Limit=500")
        };
        self.cloud.call(
            context.effects,
            CloudRequest::ListMachines,
            Method::Get,
            path,
            Vec::new(),
        );
    }

    /// Takes an answer of the cloud in; types that the others should know, if they changed.
    pub fn cloud_done(
        &mut self,
        id: snowshelf_model::ids::CallId,
        result: &CallOutcome,
        context: &mut Context,
    ) -> Option<Option<Vec<MachineType>>> {
        let tag = self.cloud.on_response(id, result)?;
        let now = context.now();
        let (status, body): (u16, &[u8]) = match result {
            CallOutcome::Response { status, body } => (*status, body),
            CallOutcome::NotSent => (503, b""),
            CallOutcome::Unanswered => (0, b""),
        };
        match tag {
            CloudRequest::ListMachineTypes if status == 200 => {
                match serde_json::from_slice::<MachineTypesResponse>(body) {
                    Ok(answer) => return Some(Some(answer.types)),
                    Err(error) => tracing::error!(%error, "machine types response unreadable"),
                }
            }
            CloudRequest::ListMachines if status == 200 => {
                match serde_json::from_slice::<MachineListResponse>(body) {
                    Ok(answer) => self.list_done(answer, context),
                    Err(error) => {
                        tracing::error!(%error, "machine list response unreadable");
                        self.listing = None;
                    }
                }
            }
            CloudRequest::ListMachines => self.listing = None,
            CloudRequest::ScaleOut(name) => self.rent_done(&name, status, body, context.effects),
            CloudRequest::LeaderScaleIn(names) => {
                self.releasing = false;
                if status == 200 {
                    for name in names {
                        self.listed.remove(&name);
                        self.rented.remove(&name);
                        // Its owner asks for its return as well: only what it has confirmed itself proves.
                        self.missing.insert(name.clone(), now);
                        self.returned.insert(name, now);
                    }
                }
            }
            CloudRequest::ListMachineTypes | CloudRequest::ShardScaleIn(..) => {}
        }
        Some(None)
    }

    fn list_done(&mut self, answer: MachineListResponse, context: &mut Context) {
        let Some((after, found)) = &mut self.listing else {
            return;
        };
        if let Some(last) = answer.machines.last() {
            *after = last.machine.as_str().to_string();
        }
        let more = answer.more && !answer.machines.is_empty();
        found.extend(answer.machines);
        if more {
            self.list_page(context);
            return;
        }
        let now = context.now();
        let found = self.listing.take().map(|l| l.1).unwrap_or_default();
        let lag = 2 * seconds_to_ms(context.config.settings.deployment.cloud.list_lag_s) + 3_000;
        self.returned.retain(|_, at| now.since(*at) < 10 * lag);
        let seen: BTreeSet<&MachineId> = found
            .iter()
            .filter(|l| l.state != ListedMachineState::Failed)
            .map(|l| &l.machine)
            .collect();
        // Once listed, a machine stays listed until it is gone, but a list may be older than the
        // one before: only a suspicion, taken back when the machine shows up again.
        for name in self.listed.keys().filter(|n| !seen.contains(n)) {
            self.missing.entry(name.clone()).or_insert(now);
        }
        // What records have on a machine that is in no list and that nobody hears of is gone as well,
        // though it was listed before this leader's time.
        let started = context
            .records
            .allocations
            .values()
            .flat_map(|a| a.value.started.keys());
        let recorded: BTreeSet<&MachineId> = started.collect();
        for name in recorded.into_iter().filter(|n| !seen.contains(n)) {
            let heard = self.heard.get(name.as_str());
            if heard.is_none_or(|at| now.since(*at) > lag) && !self.rented.contains_key(name) {
                self.missing.entry(name.clone()).or_insert(now);
            }
        }
        self.missing
            .retain(|name, at| !seen.contains(name) && now.since(*at) < 10 * lag);
        self.listed = found
            .into_iter()
            .filter(|l| !self.returned.contains_key(&l.machine))
            .map(|l| (l.machine.clone(), l))
            .collect();
        let listed = &self.listed;
        self.rented
            .retain(|name, r| !listed.contains_key(name) && now.since(r.at) < 2 * lag);
        self.have_list = true;
        self.listed_wall = context.effects.wall_ms;
    }

    fn rent_done(&mut self, name: &str, status: u16, body: &[u8], effects: &mut Effects) {
        let now = effects.now;
        let Some(rent) = self.rents.get_mut(name) else {
            return;
        };
        rent.underway = false;
        match status {
            200 => {
                let answer = serde_json::from_slice::<ScaleOutResponse>(body);
                let pool = rent.pool.clone();
                let number = rent.number;
                match answer {
                    Ok(answer) => {
                        tracing::info!(request = name, model = %pool.model, zone = %pool.zone, spot = pool.spot,
                            asked = number, got = answer.machines.len(), "machines scaled out");
                        if (answer.machines.len() as u32) < number {
                            self.refused.insert(pool.clone(), now.plus(8_000));
                        }
                        for machine in answer.machines {
                            let pool = pool.clone();
                            self.rented.insert(machine, Rented { pool, at: now });
                        }
                    }
                    Err(error) => tracing::error!(%error, "scale-out response unreadable"),
                }
                self.rents.remove(name);
            }
            503 if String::from_utf8_lossy(body).contains("no capacity") => {
                self.refused.insert(rent.pool.clone(), now.plus(8_000));
                self.rents.remove(name);
            }
            400 => {
                tracing::error!(request = name, body = %String::from_utf8_lossy(body), "scale-out request rejected as malformed");
                self.refused.insert(rent.pool.clone(), now.plus(60_000));
                self.rents.remove(name);
            }
            // Repeated under the same name: carried out or not, it rents once.
            _ => {
                rent.retry_at = effects.retry_at(1_000, rent.failures);
                rent.failures += 1;
            }
        }
    }

    fn rent(&mut self, context: &mut Context) {
        let now = context.now();
        let mut wants = Vec::new();
        let mut demand = Vec::new();
        let factor = context.config.ops.capacity_factor;
        let mut teams: BTreeMap<&str, Resources> = BTreeMap::new();
        for limits in &context.config.settings.deployment.teams {
            let limit = Resources {
                cpus: limits.cpus_max,
                gpus: limits.gpus_max,
                mem: f64::MAX / 4.0,
            };
            teams.insert(&limits.name, limit);
        }
        for (id, record) in &context.records.jobs {
            let (Some(spec), JobState::Open) = (&record.value.spec, record.value.state) else {
                continue;
            };
            if !context.dependency_graph.is_ready(id, &record.value) {
                continue;
            }
            let waited_s = context.dependency_graph.blocked_s(id, &record.value);
            let mut tasks = 0;
            for shard_id in &record.value.shards {
                if let Some(a) = context.records.allocations.get(&(*shard_id, id.clone())) {
                    tasks += a.value.waiting.len() + a.value.started_count();
                }
            }
            // A team cannot use more than its limit, so no more is rented for it.
            let whole = tasks;
            if let Some(left) = teams.get_mut(spec.team.as_str()) {
                tasks = tasks.min(spec.resources.count_in(*left));
                left.sub(spec.resources.times(f64::from(tasks)));
            }
            let estimate_s =
                crate::coordination::placement::estimate(spec, context.config.ops.default_run_s);
            if whole > 0 {
                let cpus = f64::from(whole) * spec.resources.cpus;
                demand.push((
                    spec.team.clone(),
                    spec.zone.clone(),
                    spec.types.clone(),
                    cpus,
                ));
                wants.push(Want {
                    resources: spec.resources,
                    tasks: (f64::from(tasks) * factor).ceil() as u32,
                    beyond: f64::from(whole - tasks) * spec.resources.cpus * estimate_s,
                    types: spec.types.clone(),
                    zone: spec.zone.clone(),
                    spot: spec.spot,
                    estimate_s,
                    patience_s: context.config.ops.dear_patience
                        * patience_s(
                            spec,
                            &context.config.settings.deployment.objectives,
                            waited_s,
                        ),
                    shut: shut(expected_stay_ms(spec, context), context),
                });
            }
        }
        wants.extend(reserved(demand, context));
        let mut have = Vec::new();
        let mut add = |pool: Pool| {
            if let Some(t) = context.types.get(&pool.model) {
                have.push(Have {
                    pool,
                    free: t.room(),
                });
            }
        };
        for l in self.listed.values() {
            // What a drain empties is replaced while it still serves, and not counted twice.
            if l.state != ListedMachineState::Failed && !context.drains.leaving.contains(&l.machine)
            {
                add(Pool {
                    model: l.model.clone(),
                    zone: l.zone.clone(),
                    spot: l.spot,
                });
            }
        }
        for r in self.rented.values() {
            add(r.pool.clone());
        }
        for r in self.rents.values() {
            for _ in 0..r.number {
                add(r.pool.clone());
            }
        }
        self.refused.retain(|_, until| *until > now);
        let refused: BTreeSet<Pool> = self
            .refused
            .keys()
            .cloned()
            .chain(self.rents.values().map(|r| r.pool.clone()))
            .collect();
        let cpus = |pool: &Pool| context.types.get(&pool.model).map_or(0.0, |t| t.cpus);
        let mut orders: Vec<(Pool, u32)> = plan(&wants, have, context.types, &refused)
            .into_iter()
            .map(|(pool, number)| (pool, number.min(MOST_A_CALL)))
            .collect();
        // What brings most goes first, and what cannot be sent now is planned anew: small orders
        // made before most jobs were known kept the cloud's few calls busy.
        orders.sort_by(|a, b| {
            let brings = |o: &(Pool, u32)| cpus(&o.0) * f64::from(o.1);
            brings(b).total_cmp(&brings(a))
        });
        for (pool, number) in orders {
            if !self.cloud.may_call(now) {
                break;
            }
            self.next_name += 1;
            // The name holds the leadership's token, so no other leader ever uses it.
            let name = format!("r-{}-{}", self.fencing_token, self.next_name);
            let body = scale_out_body(&name, &pool.model, &pool.zone, pool.spot, number);
            let rent = Rent {
                pool,
                number,
                body,
                underway: false,
                retry_at: now,
                failures: 0,
            };
            self.rents.insert(name.clone(), rent);
            self.order(&name, context);
        }
    }

    /// Sends a rental request.
    fn order(&mut self, name: &str, context: &mut Context) {
        if let Some(rent) = self.rents.get_mut(name) {
            rent.underway = true;
            let body = rent.body.clone();
            let tag = CloudRequest::ScaleOut(name.to_string());
            self.cloud
                .call(context.effects, tag, Method::Post, "/hosts".into(), body);
        }
    }

    fn give_back(&mut self, owned: bool, context: &mut Context) {
        let now = context.now();
        if self.releasing {
            return;
        }
        let lease_s = context.config.settings.deployment.workers.lease_s;
        let mut back = Vec::new();
        for l in self.listed.values() {
            let ready_s = context.types.get(&l.model).map_or(60.0, |t| t.ready_s);
            let heard = self.heard.get(l.machine.as_str()).copied();
            let stale = match l.state {
                ListedMachineState::Failed => true,
                ListedMachineState::Booting => heard.is_none() && l.age_s > 3.0 * ready_s + 20.0,
                // Up for long, and no owner has heard of it while all parts had owners.
                ListedMachineState::Running => {
                    owned
                        && now.since(self.since) > seconds_to_ms(3.0 * lease_s + 20.0)
                        && l.age_s > 3.0 * ready_s + 3.0 * lease_s
                        && heard.is_none_or(|at| now.since(at) > seconds_to_ms(3.0 * lease_s))
                }
            };
            if stale {
                tracing::info!(machine = %l.machine, state = ?l.state, age_s = l.age_s, "machine scaled in by the leader");
                back.push(l.machine.clone());
            }
        }
        back.truncate(100);
        if !back.is_empty() && self.cloud.may_call(now) {
            self.releasing = true;
            self.cloud.release(
                context.effects,
                CloudRequest::LeaderScaleIn(back.clone()),
                &back,
            );
        }
    }
}
