//! The autoscaler, which runs on the cluster leader: it lists the cloud's machines, scales out to meet the
//! demand, and scales in machines that are out of service.

mod demand;
mod drain_view;
mod held_cpus;
mod machine_list;
mod plan_types;
mod planning;
mod scale_in;
mod scale_out;
mod unmet_demand;

pub use plan_types::{MachineSupply, Plan, Pool, TaskDemand, ZoneModel};
pub use planning::plan;

use super::cloud_client::{CloudClient, CloudRequest};
use super::context::Context;
use crate::effects::{CallOutcome, Method};
use held_cpus::HeldCpus;
use machine_list::MachineList;
use scale_out::ScaleOut;
use snowshelf_model::ids::{CallId, FencingToken, MachineId, MonotonicMillis};
use snowshelf_model::protocol::cloud::{MachineListResponse, MachineType, MachineTypesResponse};
use std::collections::BTreeMap;
use unmet_demand::UnmetDemand;

/// Interval at which the cluster leader records which machines send heartbeats, in milliseconds.
const HEARTBEATS_INTERVAL_MS: u64 = 500;
/// Interval at which the machine types are read, in milliseconds.
const TYPES_INTERVAL_MS: u64 = 30_000;
/// Timeout for the machine types, after which the request is repeated while none are known, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 4_500;
/// Interval at which scale-out and scale-in are planned, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 500;

/// The cluster leader's autoscaler.
pub struct Autoscaler {
    /// The fencing token of this term as cluster leader.
    pub fencing_token: FencingToken,
    cloud: CloudClient,
    started_at: MonotonicMillis,
    types_requested_at: Option<MonotonicMillis>,
    list: MachineList,
    scale_out: ScaleOut,
    unmet_demand: UnmetDemand,
    held_cpus: HeldCpus,
    planned_at: MonotonicMillis,
    /// When each machine last sent a heartbeat to any shard leader.
    heartbeats: BTreeMap<String, MonotonicMillis>,
    heartbeats_at: MonotonicMillis,
    /// Whether a request to release machines is in flight.
    is_releasing: bool,
}

impl Autoscaler {
    /// Creates an autoscaler that makes at most `rps` requests per second to the cloud.
    #[must_use]
    pub fn new(fencing_token: FencingToken, rps: f64, now: MonotonicMillis) -> Autoscaler {
        Autoscaler {
            fencing_token,
            cloud: CloudClient::new(rps),
            started_at: now,
            types_requested_at: None,
            list: MachineList::default(),
            scale_out: ScaleOut::default(),
            unmet_demand: UnmetDemand::default(),
            held_cpus: HeldCpus::default(),
            planned_at: MonotonicMillis(0),
            heartbeats: BTreeMap::new(),
            heartbeats_at: MonotonicMillis(0),
            is_releasing: false,
        }
    }

    /// Returns whether the next call of [`Autoscaler::record_heartbeats`] is due.
    #[must_use]
    pub fn needs_heartbeats(&self, now: MonotonicMillis) -> bool {
        now.since(self.heartbeats_at) >= HEARTBEATS_INTERVAL_MS
    }

    /// Records machines that have recently sent heartbeats.
    pub fn record_heartbeats(
        &mut self,
        now: MonotonicMillis,
        machines: impl Iterator<Item = String>,
    ) {
        self.heartbeats_at = now;
        for machine in machines {
            self.heartbeats.insert(machine, now);
        }
    }

    /// Returns the machines presumed gone: no longer listed, listed as failed, or released by the cluster
    /// leader.
    pub fn missing_machines(&self) -> impl Iterator<Item = &MachineId> + '_ {
        self.list.missing.keys()
    }

    /// Requests the machine types and the machine list and repeats scale-out requests, each if due. Then
    /// plans scale-out and scale-in at their interval, once the machine types and a complete list are known.
    /// `all_shards_led` is whether every shard has a leader and this controller has a recent status of every
    /// other controller. Otherwise no running machine is released for lack of heartbeats, because it may send
    /// them to a leader whose reports are missing here.
    pub fn tick(&mut self, all_shards_led: bool, context: &mut Context<'_>) {
        let now = context.now();
        self.request_types(context);
        self.request_list(context);
        self.retry_scale_out(context);
        let is_due = now.since(self.planned_at) >= PLAN_INTERVAL_MS;
        if self.list.is_complete && is_due && !context.machine_types.is_empty() {
            self.planned_at = now;
            if self.cloud.may_call(now) {
                self.scale_out(context);
            }
            self.scale_in(all_shards_led, context);
        }
    }

    /// Requests the machine types and their prices if that is due.
    fn request_types(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let is_older_than = |age_ms: u64| {
            self.types_requested_at
                .is_none_or(|at| now.since(at) > age_ms)
        };
        let is_due = is_older_than(TYPES_INTERVAL_MS)
            || (context.machine_types.is_empty() && is_older_than(RESPONSE_TIMEOUT_MS));
        if is_due && self.cloud.may_call(now) {
            self.types_requested_at = Some(now);
            let path = "/machine_types".to_string();
            self.cloud.call(
                context.effects,
                CloudRequest::ListMachineTypes,
                Method::Get,
                path,
                Vec::new(),
            );
        }
    }

    /// Handles a response of the cloud. Returns the machine types if the response contains them.
    pub fn on_cloud_response(
        &mut self,
        id: CallId,
        outcome: &CallOutcome,
        context: &mut Context<'_>,
    ) -> Option<Vec<MachineType>> {
        let request = self.cloud.on_response(id, outcome)?;
        let (status, body): (u16, &[u8]) = match outcome {
            CallOutcome::Response { status, body } => (*status, body),
            CallOutcome::NotSent => (503, b""),
            CallOutcome::Unanswered => (0, b""),
        };
        match request {
            CloudRequest::ListMachineTypes if status == 200 => {
                match serde_json::from_slice::<MachineTypesResponse>(body) {
                    Ok(response) => return Some(response.types),
                    Err(error) => tracing::error!(%error, "machine types response unreadable"),
                }
            }
            CloudRequest::ListMachines if status == 200 => {
                match serde_json::from_slice::<MachineListResponse>(body) {
                    Ok(page) => self.on_list_page(page, context),
                    Err(error) => {
                        tracing::error!(%error, "machine list response unreadable");
                        self.list.abort();
                    }
                }
            }
            CloudRequest::ListMachines => self.list.abort(),
            CloudRequest::ScaleOut(request) => {
                self.scale_out
                    .on_response(&request, status, body, context.effects);
            }
            CloudRequest::LeaderScaleIn(machines) => self.on_released(machines, status, context),
            CloudRequest::ListMachineTypes | CloudRequest::ShardScaleIn(..) => {}
        }
        None
    }
}
