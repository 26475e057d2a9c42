//! Events of the simulation and their effects.

use super::response_history::JobRequest;
use super::*;

/// Delay until a call fails that was in progress when its controller was partitioned.
const INTERRUPTED_CALL_MS: u64 = 2_000;

/// What can happen at a point in time. Controllers and users are given by index, machines by id.
pub(crate) enum Event {
    /// A tick of the controller's incarnation.
    Tick(usize, u64),
    /// A controller's call arrives at its target.
    CallArrives {
        node: usize,
        incarnation: u64,
        id: CallId,
        target: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        response_delivered: bool,
    },
    CallDone(usize, u64, CallId, CallOutcome),
    PeerStatusArrives(usize, PeerStatus),
    PeerMessageArrives(usize, PeerMessage),
    Crash(usize),
    /// Stops a controller, which restarts as the new version.
    UpdateVersion(usize),
    ReduceKvLimits,
    Restart(usize),
    KvRefusal(usize, bool),
    KvUnreachable(usize, bool),
    SetFault(Fault, bool),
    ZonePartition(&'static str, usize, bool),
    /// A user requests cancellation now.
    CancelJob(usize),
    /// A heartbeat arrives over a slow link.
    HeartbeatArrives(usize, String, u64, Vec<u8>),
    /// A late copy of a heartbeat arrives; a delayed heartbeat response arrives.
    HeartbeatCopyArrives(usize, Vec<u8>),
    HeartbeatResponseArrives(String, u64, u16, Vec<u8>),
    UnreachableByWorkers(usize, bool),
    IsolatedFromPeers(usize, bool),
    ZoneIsolated(String, bool),
    KvOutage(bool),
    HeartbeatDue(String),
    HeartbeatTimeout(String, u64),
    AdvanceWorker(String),
    Hang(String, u64),
    Boot(String),
    UserStep(usize),
    /// A user sends one controller a request in addition to the periodic ones.
    BurstRequest(usize, usize, JobRequest),
    InvalidHeartbeat(usize, Value),
    CalendarClientStep(usize),
    RunClientStep(usize),
    GraphClientStep(usize),
    OperatorStep(usize),
    MachineFails(String),
    InterruptionNotice(String, u64),
}

impl Simulation {
    /// Applies an event, then responds to the watches that have timed out.
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, incarnation) => {
                if self.nodes[i].incarnation == incarnation && self.nodes[i].controller.is_some() {
                    self.deliver(i, ControllerEvent::Tick);
                    self.schedule_after(TICK_MS, Event::Tick(i, incarnation));
                }
            }
            Event::CallArrives {
                node,
                incarnation,
                id,
                target,
                method,
                path,
                body,
                response_delivered,
            } => {
                let reply = match target {
                    Target::KvStore if self.injected.kv_unreachable.contains(&node) => None,
                    Target::KvStore => {
                        if self.kv_outage || self.kv_refused.contains(&node) {
                            Some((503, b"{}".to_vec()))
                        } else {
                            self.kv_store.call(
                                self.now,
                                (node, incarnation, id.0),
                                method,
                                &path,
                                &body,
                            )
                        }
                    }
                    Target::Cloud if self.is_partitioned(node) => None,
                    Target::Cloud => Some(self.cloud_call(method, &path, &body)),
                    Target::Worker(to) => self.direct_command(node, to, &path, &body),
                };
                let wrote = matches!(target, Target::KvStore) && path == "/txn";
                let wrote = wrote && String::from_utf8_lossy(&body).contains("\"Apply\"");
                if let Some(left) = self.crash_after_writes.filter(|_| wrote) {
                    self.crash_after_writes = left.checked_sub(1);
                    if left == 0 {
                        self.handle(Event::Crash(node));
                    }
                }
                // The partition began while the call was in progress. The call fails like one that was sent
                // later.
                let lost = match target {
                    Target::KvStore => self.injected.kv_unreachable.contains(&node),
                    Target::Cloud => self.is_partitioned(node),
                    Target::Worker(_) => false,
                };
                if lost {
                    self.schedule_after(
                        INTERRUPTED_CALL_MS,
                        Event::CallDone(node, incarnation, id, CallOutcome::Unanswered),
                    );
                }
                if let Some((status, body)) = reply
                    && response_delivered
                {
                    let ms = self.network_delay_ms();
                    self.schedule_after(
                        ms,
                        Event::CallDone(
                            node,
                            incarnation,
                            id,
                            CallOutcome::Response { status, body },
                        ),
                    );
                }
                self.respond_to_watches();
                self.replay_to_new_leaders();
            }
            Event::CallDone(i, incarnation, id, result) => {
                if self.nodes[i].incarnation == incarnation {
                    self.deliver(i, ControllerEvent::CallDone(id, result));
                }
            }
            Event::PeerStatusArrives(i, status) => {
                self.deliver(i, ControllerEvent::PeerStatus(status))
            }
            Event::PeerMessageArrives(i, message) => {
                self.deliver(i, ControllerEvent::PeerMessage(message))
            }
            Event::Crash(i) => {
                if self.nodes[i].controller.is_none() {
                    return;
                }
                self.nodes[i].controller = None;
                self.nodes[i].incarnation += 1;
                self.pending.retain(|(node, _, _), _| *node != i);
                let ms = self.draw_restart_delay_ms();
                self.schedule_after(ms, Event::Restart(i));
            }
            Event::UpdateVersion(i) => {
                self.nodes[i].previous_version = false;
                self.handle(Event::Crash(i));
            }
            Event::ReduceKvLimits => {
                self.kv_store.limits = ((REDUCED_VALUE_KB * 1024.0) as usize, REDUCED_TXN_OPS);
                self.kv_store.write_rate = Some(REDUCED_WRITE_RPS);
            }
            Event::Restart(i) => {
                if self.nodes[i].controller.is_none() && !self.injected.all_controllers_down {
                    self.restart(i);
                }
            }
            Event::KvRefusal(i, on) => set_membership(&mut self.kv_refused, i, on),
            Event::KvUnreachable(i, on) => set_membership(&mut self.injected.kv_unreachable, i, on),
            Event::SetFault(fault, on) => self.set_fault(fault, on),
            Event::ZonePartition(zone, node, on) => self.set_zone_partition(zone, node, on),
            Event::CancelJob(u) => self.cancel_job(u),
            Event::HeartbeatArrives(node, name, number, body) => {
                self.heartbeat_arrives(node, name, number, body);
            }
            Event::HeartbeatCopyArrives(node, body) => self.heartbeat_copy_arrives(node, body),
            Event::HeartbeatResponseArrives(name, number, status, body) => {
                self.worker_receives_response(&name, number, status, &body)
            }
            Event::UnreachableByWorkers(i, on) => {
                set_membership(&mut self.unreachable_by_workers, i, on)
            }
            Event::IsolatedFromPeers(i, on) => set_membership(&mut self.isolated_from_peers, i, on),
            Event::ZoneIsolated(zone, true) => self.isolated_zone = Some(zone),
            Event::ZoneIsolated(_, false) => self.isolated_zone = None,
            Event::KvOutage(on) => {
                self.kv_outage = on;
                self.kv_store.set_outage(self.now, on);
            }
            Event::Boot(name) => self.boot(&name),
            Event::HeartbeatDue(name) => self.heartbeat_due(&name),
            Event::HeartbeatTimeout(name, number) => {
                if let Some(w) = self.workers.get_mut(&name)
                    && w.in_flight == Some(number)
                {
                    w.in_flight = None;
                    w.next_node(None);
                    self.schedule_after(1_000, Event::HeartbeatDue(name));
                }
            }
            Event::AdvanceWorker(name) => self.advance_worker(&name),
            Event::Hang(name, ms) => {
                let until = self.now + ms;
                if let Some(w) = self.workers.get_mut(&name) {
                    w.hung_until = w.hung_until.max(until);
                    self.schedule_at(until, Event::AdvanceWorker(name.clone()));
                    self.schedule_at(until, Event::HeartbeatDue(name));
                }
            }
            Event::UserStep(u) => self.user_step(u),
            Event::BurstRequest(u, node, request) => self.burst_request(u, node, request),
            Event::InvalidHeartbeat(node, fields) => self.send_invalid_heartbeat(node, &fields),
            Event::CalendarClientStep(b) => self.calendar_client_step(b),
            Event::RunClientStep(r) => self.run_client_step(r),
            Event::GraphClientStep(k) => self.graph_client_step(k),
            Event::OperatorStep(o) => self.operator_step(o),
            Event::InterruptionNotice(name, at) => {
                if let Some(w) = self.workers.get_mut(&name) {
                    w.interruption_at = Some(at);
                    self.schedule_at(at, Event::MachineFails(name));
                }
            }
            Event::MachineFails(name) => {
                self.cloud.fail(self.now, &name);
                self.workers.remove(&name);
                self.rules_check_due = true;
            }
        }
        for (node, incarnation, call, body) in self.kv_store.expired_watches(self.now) {
            self.send_watch_response(node, incarnation, call, body, 1);
        }
    }

    /// Responds to the watches that are waiting for the changes just made.
    pub(crate) fn respond_to_watches(&mut self) {
        for (node, incarnation, call, body) in self.kv_store.woken_watches() {
            let ms = self.network_delay_ms();
            self.send_watch_response(node, incarnation, call, body, ms);
        }
    }

    /// Responds to a watch. If its controller is refused or partitioned, the watch hangs.
    pub(crate) fn send_watch_response(
        &mut self,
        node: usize,
        incarnation: u64,
        call: u64,
        body: Vec<u8>,
        ms: u64,
    ) {
        if self.kv_refused.contains(&node) || self.injected.kv_unreachable.contains(&node) {
            return;
        }
        let result = CallOutcome::Response { status: 200, body };
        self.schedule_after(ms, Event::CallDone(node, incarnation, CallId(call), result));
    }
}
