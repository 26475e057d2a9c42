//! The cloud's list of machines, read page by page, and what it says of machines that are gone.

use super::Autoscaler;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use crate::effects::Method;
use snowshelf_model::ids::{MachineId, MonotonicMillis, seconds_to_ms};
use snowshelf_model::protocol::cloud::{ListedMachine, ListedMachineState, MachineListResponse};
use std::collections::{BTreeMap, BTreeSet};

/// The least time between two readings of the list, in milliseconds.
const MIN_LIST_INTERVAL_MS: u64 = 2_000;
/// How long a response is awaited before the list is read again, in milliseconds.
const RESPONSE_WAIT_MS: u64 = 4_500;
/// What is added to twice the list's lag until the list must have a machine, in milliseconds.
const LIST_MARGIN_MS: u64 = 3_000;
/// How long released and missing machines are remembered, in multiples of that time.
const MEMORY_FACTOR: u64 = 10;
/// How long a machine that has started may not be listed yet, in multiples of that time.
const UNLISTED_FACTOR: u64 = 2;

/// A reading of the list in progress.
#[derive(Default)]
struct ListReading {
    /// The last machine of the pages so far.
    after: String,
    machines: Vec<ListedMachine>,
}

/// What the cloud lists.
#[derive(Default)]
pub(super) struct MachineList {
    requested_at: Option<MonotonicMillis>,
    reading: Option<ListReading>,
    /// The newest list, without machines that were released.
    pub(super) listed: BTreeMap<MachineId, ListedMachine>,
    /// Machines whose release the cloud has confirmed, and when.
    released: BTreeMap<MachineId, MonotonicMillis>,
    /// Machines that were listed once and are not in the newest list, or are listed as failed.
    pub(super) missing: BTreeMap<MachineId, MonotonicMillis>,
    /// Whether the whole list has been read.
    pub(super) is_complete: bool,
    /// The time of day at which the newest list came, in milliseconds.
    pub(super) read_at_wall_ms: u64,
}

impl MachineList {
    /// Gives a reading up.
    pub(super) fn abort(&mut self) {
        self.reading = None;
    }

    /// Notes that the cloud has confirmed the release of a machine.
    pub(super) fn on_released(&mut self, machine: MachineId, now: MonotonicMillis) {
        self.listed.remove(&machine);
        // Its shard leader releases it as well: only what that has confirmed itself proves.
        self.missing.insert(machine.clone(), now);
        self.released.insert(machine, now);
    }
}

/// How long a list may be without a machine that has started, in milliseconds.
fn list_delay_ms(context: &Context<'_>) -> u64 {
    let list_lag_s = context.config.settings.deployment.cloud.list_lag_s;
    2 * seconds_to_ms(list_lag_s) + LIST_MARGIN_MS
}

impl Autoscaler {
    /// Reads the list, if it is time.
    pub(super) fn request_list(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let list_lag_s = context.config.settings.deployment.cloud.list_lag_s;
        let interval_ms = seconds_to_ms(list_lag_s).max(MIN_LIST_INTERVAL_MS);
        let requested_at = self.list.requested_at;
        let is_due = requested_at.is_none_or(|at| now.since(at) > interval_ms)
            || (self.list.reading.is_some()
                && requested_at.is_some_and(|at| now.since(at) > RESPONSE_WAIT_MS));
        if is_due && self.cloud.may_call(now) {
            self.list.requested_at = Some(now);
            self.list.reading = Some(ListReading::default());
            self.request_page(context);
        }
    }

    fn request_page(&mut self, context: &mut Context<'_>) {
        let reading = self.list.reading.as_ref();
        let after = reading.map_or("", |reading| &reading.after);
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

    /// Handles a page of the list.
    pub(super) fn on_list_page(&mut self, page: MachineListResponse, context: &mut Context<'_>) {
        let Some(reading) = &mut self.list.reading else {
            return;
        };
        if let Some(last) = page.machines.last() {
            reading.after = last.machine.as_str().to_string();
        }
        let has_more = page.more && !page.machines.is_empty();
        reading.machines.extend(page.machines);
        if has_more {
            self.request_page(context);
            return;
        }
        let reading = self.list.reading.take().unwrap_or_default();
        self.on_list(reading.machines, context);
    }

    /// Takes a whole list over.
    fn on_list(&mut self, machines: Vec<ListedMachine>, context: &Context<'_>) {
        let now = context.now();
        let delay_ms = list_delay_ms(context);
        let list = &mut self.list;
        list.released
            .retain(|_, at| now.since(*at) < MEMORY_FACTOR * delay_ms);
        let working: BTreeSet<&MachineId> = machines
            .iter()
            .filter(|l| l.state != ListedMachineState::Failed)
            .map(|l| &l.machine)
            .collect();
        // Once listed, a machine stays listed until it is gone, but a list may be older than the
        // one before: only a suspicion, withdrawn when the machine is listed again.
        for name in list.listed.keys().filter(|name| !working.contains(name)) {
            list.missing.entry(name.clone()).or_insert(now);
        }
        // What records have on a machine that is in no list and sends no heartbeats is gone as well,
        // though it was listed before this leader's time.
        let allocations = context.records.allocations.values();
        let started = allocations.flat_map(|a| a.value.started.keys());
        let recorded: BTreeSet<&MachineId> = started.collect();
        for name in recorded.into_iter().filter(|n| !working.contains(n)) {
            let heartbeat = self.heartbeats.get(name.as_str());
            let is_silent = heartbeat.is_none_or(|at| now.since(*at) > delay_ms);
            if is_silent && !self.scale_out.has_started(name) {
                list.missing.entry(name.clone()).or_insert(now);
            }
        }
        list.missing.retain(|name, at| {
            !working.contains(name) && now.since(*at) < MEMORY_FACTOR * delay_ms
        });
        list.listed = machines
            .into_iter()
            .filter(|l| !list.released.contains_key(&l.machine))
            .map(|l| (l.machine.clone(), l))
            .collect();
        let listed = &list.listed;
        self.scale_out.retain_started(|name, started_at| {
            !listed.contains_key(name) && now.since(started_at) < UNLISTED_FACTOR * delay_ms
        });
        list.is_complete = true;
        list.read_at_wall_ms = context.effects.wall_ms;
    }
}
