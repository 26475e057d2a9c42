//! What happens, and what comes of it.

use super::histories::Question;
use super::*;

/// When a call is given up that a cut has caught underway.
const GIVEN_UP_MS: u64 = 2_000;

pub(crate) enum Event {
    Tick(usize, u64),
    Arrive {
        node: usize,
        life: u64,
        id: CallId,
        target: Target,
        method: Method,
        path: String,
        body: Vec<u8>,
        answered: bool,
    },
    Answer(usize, u64, CallId, CallOutcome),
    StatusFor(usize, PeerStatus),
    MessageFor(usize, PeerMessage),
    Crash(usize),
    /// Killed, to come back as the new version.
    Replace(usize),
    Shrink,
    Restart(usize),
    Refuse(usize, bool),
    Unserved(usize, bool),
    InjectedFaults(Fault, bool),
    ZoneCut(&'static str, usize, bool),
    /// A user asks for a cancellation now.
    CallOff(usize),
    /// A worker's report on a slow link.
    Underway(usize, String, u64, Vec<u8>),
    /// A late copy of a report, and an answer that was held up.
    Copy(usize, Vec<u8>),
    Held(String, u64, u16, Vec<u8>),
    Deaf(usize, bool),
    Mute(usize, bool),
    Cut(String, bool),
    Outage(bool),
    Heartbeat(String),
    ReportTimeout(String, u64),
    WorkerWakes(String),
    Hang(String, u64),
    Boot(String),
    UserNext(usize),
    /// A user asks one controller, beside the questions of every few seconds.
    Look(usize, usize, Question),
    OddReport(usize, Value),
    BookNext(usize),
    RunNext(usize),
    KeepNext(usize),
    OperatorNext(usize),
    Die(String),
    Notice(String, u64),
}

impl Simulation {
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, life) => {
                if self.nodes[i].life == life && self.nodes[i].controller.is_some() {
                    self.feed(i, ControllerEvent::Tick);
                    self.after(TICK_MS, Event::Tick(i, life));
                }
            }
            Event::Arrive {
                node,
                life,
                id,
                target,
                method,
                path,
                body,
                answered,
            } => {
                let reply = match target {
                    Target::KvStore if self.injected.unserved.contains(&node) => None,
                    Target::KvStore => {
                        if self.outage || self.refused.contains(&node) {
                            Some((503, b"{}".to_vec()))
                        } else {
                            self.state
                                .call(self.now, (node, life, id.0), method, &path, &body)
                        }
                    }
                    Target::Cloud if self.is_cut_off(node) => None,
                    Target::Cloud => Some(self.cloud_call(method, &path, &body)),
                    Target::Worker(to) => self.direct(node, to, &path, &body),
                };
                let wrote = matches!(target, Target::KvStore) && path == "/txn";
                let wrote = wrote && String::from_utf8_lossy(&body).contains("\"Apply\"");
                if let Some(left) = self.kill_after.filter(|_| wrote) {
                    self.kill_after = left.checked_sub(1);
                    if left == 0 {
                        self.handle(Event::Crash(node));
                    }
                }
                // A cut that began while the call was underway: it is given up like one that was sent later.
                let lost = match target {
                    Target::KvStore => self.injected.unserved.contains(&node),
                    Target::Cloud => self.is_cut_off(node),
                    Target::Worker(_) => false,
                };
                if lost {
                    self.after(
                        GIVEN_UP_MS,
                        Event::Answer(node, life, id, CallOutcome::Unanswered),
                    );
                }
                if let Some((status, body)) = reply
                    && answered
                {
                    let ms = self.hop();
                    self.after(
                        ms,
                        Event::Answer(node, life, id, CallOutcome::Response { status, body }),
                    );
                }
                self.wake_watchers();
                self.owners_begin();
            }
            Event::Answer(i, life, id, result) => {
                if self.nodes[i].life == life {
                    self.feed(i, ControllerEvent::CallDone(id, result));
                }
            }
            Event::StatusFor(i, hint) => self.feed(i, ControllerEvent::PeerStatus(hint)),
            Event::MessageFor(i, proof) => self.feed(i, ControllerEvent::PeerMessage(proof)),
            Event::Crash(i) => {
                if self.nodes[i].controller.is_none() {
                    return;
                }
                self.nodes[i].controller = None;
                self.nodes[i].life += 1;
                self.asked.retain(|(node, _, _), _| *node != i);
                let ms = self.away_ms();
                self.after(ms, Event::Restart(i));
            }
            Event::Replace(i) => {
                self.nodes[i].old = false;
                self.handle(Event::Crash(i));
            }
            Event::Shrink => {
                self.state.limits = ((NEXT_KB * 1024.0) as usize, NEXT_OPS);
                self.state.write_rate = Some(NEXT_RATE);
            }
            Event::Restart(i) => {
                if self.nodes[i].controller.is_none() && !self.injected.all_down {
                    self.restart(i);
                }
            }
            Event::Refuse(i, on) => switch(&mut self.refused, i, on),
            Event::Unserved(i, on) => switch(&mut self.injected.unserved, i, on),
            Event::InjectedFaults(fault, on) => self.ail(fault, on),
            Event::ZoneCut(zone, node, on) => self.zone_cut(zone, node, on),
            Event::CallOff(u) => self.call_off(u),
            Event::Underway(node, name, number, body) => {
                self.report_arrives(node, name, number, body);
            }
            Event::Copy(node, body) => self.copy_arrives(node, body),
            Event::Held(name, number, status, body) => {
                self.worker_hears(&name, number, status, &body)
            }
            Event::Deaf(i, on) => switch(&mut self.deaf, i, on),
            Event::Mute(i, on) => switch(&mut self.mute, i, on),
            Event::Cut(zone, true) => self.cut = Some(zone),
            Event::Cut(_, false) => self.cut = None,
            Event::Outage(on) => {
                self.outage = on;
                self.state.outage(self.now, on);
            }
            Event::Boot(name) => self.boot(&name),
            Event::Heartbeat(name) => self.report(&name),
            Event::ReportTimeout(name, number) => {
                if let Some(w) = self.workers.get_mut(&name)
                    && w.in_flight == Some(number)
                {
                    w.in_flight = None;
                    w.next_node(None);
                    self.after(1_000, Event::Heartbeat(name));
                }
            }
            Event::WorkerWakes(name) => self.worker_wakes(&name),
            Event::Hang(name, ms) => {
                let until = self.now + ms;
                if let Some(w) = self.workers.get_mut(&name) {
                    w.hung_until = w.hung_until.max(until);
                    self.at(until, Event::WorkerWakes(name.clone()));
                    self.at(until, Event::Heartbeat(name));
                }
            }
            Event::UserNext(u) => self.user_next(u),
            Event::Look(u, node, question) => self.looks(u, node, question),
            Event::OddReport(node, fields) => self.send_odd_report(node, &fields),
            Event::BookNext(b) => self.book_next(b),
            Event::RunNext(r) => self.run_next(r),
            Event::KeepNext(k) => self.keep_next(k),
            Event::OperatorNext(o) => self.operator_next(o),
            Event::Notice(name, at) => {
                if let Some(w) = self.workers.get_mut(&name) {
                    w.taken_at = Some(at);
                    self.at(at, Event::Die(name));
                }
            }
            Event::Die(name) => {
                self.cloud.die(self.now, &name);
                self.workers.remove(&name);
                self.touched = true;
            }
        }
        for (node, life, call, body) in self.state.timeouts(self.now) {
            self.watched(node, life, call, body, 1);
        }
    }

    pub(crate) fn wake_watchers(&mut self) {
        for (node, life, call, body) in self.state.woken() {
            let ms = self.hop();
            self.watched(node, life, call, body, ms);
        }
    }

    /// A watch is answered, unless its controller is refused or cut off: then it hangs.
    pub(crate) fn watched(&mut self, node: usize, life: u64, call: u64, body: Vec<u8>, ms: u64) {
        if self.refused.contains(&node) || self.injected.unserved.contains(&node) {
            return;
        }
        let result = CallOutcome::Response { status: 200, body };
        self.after(ms, Event::Answer(node, life, CallId(call), result));
    }
}
