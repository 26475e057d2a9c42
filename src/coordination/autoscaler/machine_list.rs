//! The cloud's list of machines, read page by page, and the detection of missing machines.

use super::Autoscaler;
use crate::coordination::cloud_client::CloudRequest;
use crate::coordination::context::Context;
use crate::effects::Method;
use snowshelf_model::ids::{MachineId, MonotonicMillis, seconds_to_ms};
use snowshelf_model::protocol::cloud::{ListedMachine, ListedMachineState, MachineListResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum time between two scans of the list, in milliseconds.
const MIN_LIST_INTERVAL_MS: u64 = 2_000;
/// Timeout for a page, after which a new scan starts, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 4_500;
/// Margin that [`list_delay_ms`] adds to twice the list's lag, in milliseconds.
const LIST_MARGIN_MS: u64 = 3_000;
/// How long released and missing machines are remembered, as a multiple of [`list_delay_ms`].
const RETENTION_FACTOR: u64 = 10;
/// How long a started machine may be absent from the list, as a multiple of [`list_delay_ms`].
const UNLISTED_FACTOR: u64 = 2;

/// A scan of the list in progress.
#[derive(Default)]
struct ListScan {
    /// The last machine of the pages read so far; empty before the first page.
    after: String,
    machines: Vec<ListedMachine>,
}

/// The machines that the cloud lists, and those that it no longer lists.
#[derive(Default)]
pub(super) struct MachineList {
    requested_at: Option<MonotonicMillis>,
    scan: Option<ListScan>,
    /// The newest list, without released machines.
    pub(super) listed: BTreeMap<MachineId, ListedMachine>,
    /// Machines whose release by the cluster leader the cloud has confirmed, and when.
    released: BTreeMap<MachineId, MonotonicMillis>,
    /// Machines presumed gone, and since when: listed before, or named in records without heartbeats, and now
    /// absent from the list or listed as failed; also machines that the cluster leader released.
    pub(super) missing: BTreeMap<MachineId, MonotonicMillis>,
    /// Whether the list has been read completely at least once.
    pub(super) is_complete: bool,
    /// The wall-clock time at which the newest list was complete, in milliseconds.
    pub(super) read_at_wall_ms: u64,
}

impl MachineList {
    /// Aborts the scan in progress.
    pub(super) fn abort(&mut self) {
        self.scan = None;
    }

    /// Records that the cloud has confirmed the release of a machine.
    pub(super) fn on_released(&mut self, machine: MachineId, now: MonotonicMillis) {
        self.listed.remove(&machine);
        // Marks the machine as missing so that its shard leader releases it too: a shard leader requeues
        // tasks only after the cloud has confirmed the release to that leader itself.
        self.missing.insert(machine.clone(), now);
        self.released.insert(machine, now);
    }
}

/// Returns how long the list may lack a machine that has started, in milliseconds.
fn list_delay_ms(context: &Context<'_>) -> u64 {
    let list_lag_s = context.config.settings.deployment.cloud.list_lag_s;
    2 * seconds_to_ms(list_lag_s) + LIST_MARGIN_MS
}

impl Autoscaler {
    /// Starts a scan of the list if one is due.
    pub(super) fn request_list(&mut self, context: &mut Context<'_>) {
        let now = context.now();
        let list_lag_s = context.config.settings.deployment.cloud.list_lag_s;
        let interval_ms = seconds_to_ms(list_lag_s).max(MIN_LIST_INTERVAL_MS);
        let requested_at = self.list.requested_at;
        let is_due = requested_at.is_none_or(|at| now.since(at) > interval_ms)
            || (self.list.scan.is_some()
                && requested_at.is_some_and(|at| now.since(at) > RESPONSE_TIMEOUT_MS));
        if is_due && self.cloud.may_call(now) {
            self.list.requested_at = Some(now);
            self.list.scan = Some(ListScan::default());
            self.request_page(context);
        }
    }

    fn request_page(&mut self, context: &mut Context<'_>) {
        let scan = self.list.scan.as_ref();
        let after = scan.map_or("", |scan| &scan.after);
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

    /// Handles a page of the list and requests the next one, if any.
    pub(super) fn on_list_page(&mut self, page: MachineListResponse, context: &mut Context<'_>) {
        let Some(scan) = &mut self.list.scan else {
            return;
        };
        if let Some(last) = page.machines.last() {
            scan.after = last.machine.as_str().to_string();
        }
        let has_more = page.more && !page.machines.is_empty();
        scan.machines.extend(page.machines);
        if has_more {
            self.request_page(context);
            return;
        }
        let scan = self.list.scan.take().unwrap_or_default();
        self.on_list(scan.machines, context);
    }

    /// Replaces the list with a completely scanned one and updates the missing machines.
    fn on_list(&mut self, machines: Vec<ListedMachine>, context: &Context<'_>) {
        let now = context.now();
        let delay_ms = list_delay_ms(context);
        let list = &mut self.list;
        list.released
            .retain(|_, at| now.since(*at) < RETENTION_FACTOR * delay_ms);
        let not_failed: BTreeSet<&MachineId> = machines
            .iter()
            .filter(|l| l.state != ListedMachineState::Failed)
            .map(|l| &l.machine)
            .collect();
        // A machine stays listed until it is gone, but this list may be older than the previous one. The
        // machine is therefore only presumed missing until it is listed again.
        for name in list.listed.keys().filter(|name| !not_failed.contains(name)) {
            list.missing.entry(name.clone()).or_insert(now);
        }
        // A machine that the records name but that is neither listed nor sends heartbeats is missing as
        // well; it may have been listed before this leader was elected.
        let allocations = context.records.allocations.values();
        let started = allocations.flat_map(|a| a.value.started.keys());
        let recorded: BTreeSet<&MachineId> = started.collect();
        for name in recorded.into_iter().filter(|n| !not_failed.contains(n)) {
            let heartbeat = self.heartbeats.get(name.as_str());
            let is_silent = heartbeat.is_none_or(|at| now.since(*at) > delay_ms);
            if is_silent && !self.scale_out.has_started(name) {
                list.missing.entry(name.clone()).or_insert(now);
            }
        }
        list.missing.retain(|name, at| {
            !not_failed.contains(name) && now.since(*at) < RETENTION_FACTOR * delay_ms
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
