//! The controllers: their lives, what they are fed and what they ask for.

use super::*;

impl Simulation {
    /// Begins a controller anew with settings that were changed since the world began.
    pub fn again(&mut self, node: usize) {
        self.restart(node);
    }

    pub(crate) fn restart(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        node.life += 1;
        node.started = now;
        let mut ops = OperatorSettings {
            hold_format: node.old,
            ..OperatorSettings::default()
        };
        ops.drains.enabled = self.conditions.drains && !node.old;
        ops.drains.budget = self.budget;
        ops.graphs.enabled = self.conditions.graphs && !node.old;
        if self.conditions.calendar && !node.old {
            ops.calendar.enabled = true;
            ops.calendar.capacity = ["a", "b"]
                .map(|zone| KnownCapacity {
                    zone: zone.into(),
                    model: "s".into(),
                    machines: 3,
                })
                .into();
        }
        let told = if self.safeguards.half_limits {
            0.5
        } else {
            1.0
        };
        node.controller = Some(Controller::new(
            settings(i, told * self.team_limit),
            ops,
            MonotonicMillis(1),
        ));
        let life = node.life;
        self.after(1, Event::Tick(i, life));
    }

    pub(crate) fn feed(&mut self, i: usize, input: ControllerEvent) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let life = node.life;
        let clock = MonotonicMillis(now - node.started + 1);
        let Some(controller) = &mut node.controller else {
            return;
        };
        // One clock is slow, one right, one fast.
        let skew = if self.conditions.calendar || self.conditions.graphs {
            SKEW_MS * i as u64
        } else {
            SKEW_MS
        };
        let wall = booking::BEGAN - SKEW_MS + skew + now;
        let outputs = controller.handle(input, clock, wall);
        for output in outputs {
            self.digest.add(now, i, &output);
            match output {
                Effect::Respond(conn, response) => {
                    self.hop();
                    let asked = self.asked.remove(&(i, life, conn.0));
                    if let Some(asked) = asked.filter(|a| a.is_heard(self.is_cut_off(i))) {
                        self.answered((i, conn.0), asked, response.status, response.body);
                    }
                }
                Effect::Call {
                    id,
                    target,
                    method,
                    path,
                    body,
                    timeout_ms,
                } => {
                    if path == "/txn" {
                        self.ends_written(&body);
                    }
                    let quiet = now >= self.quiet_at;
                    let lost = !quiet && self.rng.random_bool(self.conditions.lost);
                    let late = lost && self.rng.random_bool(self.conditions.late);
                    let held_ms = self.write_is_late(&path, &body);
                    let at_once = target == Target::KvStore && self.answer_is_lost(&path, &body);
                    let aimed = held_ms.is_some() || at_once;
                    let (lost, late) = (lost || aimed, late || aimed);
                    let mut ms = self.hop() + held_ms.unwrap_or(0);
                    if late && !aimed {
                        ms += self.rng.random_range(1_000..15_000u64);
                    }
                    let slow = self.injected.slow_ms > 0 && target == Target::KvStore;
                    if slow {
                        ms += self.rng.random_range(0..self.injected.slow_ms);
                    }
                    // A watch, a call of a controller that is cut off or one to a worker may hang.
                    let hangs = match target {
                        Target::KvStore => {
                            slow || path.starts_with("/changes")
                                || self.injected.unserved.contains(&i)
                        }
                        Target::Cloud => self.is_cut_off(i),
                        Target::Worker(_) => true,
                    };
                    if at_once && self.safeguards.false_answers {
                        let body = json!({"Safra": self.state.revision}).to_string();
                        let (status, body) = (200, body.into_bytes());
                        let result = CallOutcome::Response { status, body };
                        self.after(ms, Event::Answer(i, life, id, result));
                        continue;
                    }
                    if lost || hangs {
                        let result = CallOutcome::Unanswered;
                        self.after(timeout_ms, Event::Answer(i, life, id, result));
                    }
                    // Of the lost ones, some never arrive, some do, some much later.
                    if !lost || late || self.rng.random_bool(0.5) {
                        self.after(
                            ms,
                            Event::Arrive {
                                node: i,
                                life,
                                id,
                                target,
                                method,
                                path,
                                body,
                                answered: !lost,
                            },
                        );
                    }
                }
                Effect::PeerStatus(member, hint) => {
                    self.send_to_peer(i, &member, |to| Event::StatusFor(to, hint))
                }
                Effect::PeerMessage(member, proof) => {
                    self.send_to_peer(i, &member, |to| Event::MessageFor(to, proof))
                }
            }
        }
    }

    pub(crate) fn send_to_peer(
        &mut self,
        from: usize,
        member: &Member,
        event: impl FnOnce(usize) -> Event,
    ) {
        let to = member.as_str()[1..].parse().unwrap_or(0);
        let ms = self.hop();
        if !self.mute.contains(&from) && !self.mute.contains(&to) {
            self.after(ms, event(to));
        }
    }

    /// Sends a request that no simulated user waits for: its answer only counts in the digest.
    pub fn request(&mut self, node: usize, method: &str, path: &str, body: &str) {
        let body = body.as_bytes().to_vec();
        self.ask(node, method, path, body, Asked::Nobody);
    }

    pub(crate) fn ask(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
        asked: Asked,
    ) -> bool {
        if self.nodes[node].controller.is_none() || !asked.is_heard(self.is_cut_off(node)) {
            return false;
        }
        self.next_conn += 1;
        let conn = self.next_conn;
        let life = self.nodes[node].life;
        self.asked.insert((node, life, conn), asked);
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        self.feed(node, ControllerEvent::Request(ConnectionId(conn), request));
        true
    }
}
