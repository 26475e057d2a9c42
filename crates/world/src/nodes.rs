//! The controllers: their lives, what they are fed and what they ask for.

use super::*;

impl World {
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
        ops.drains.enabled = self.weather.drains && !node.old;
        ops.drains.budget = self.budget;
        ops.graphs.enabled = self.weather.graphs && !node.old;
        if self.weather.calendar && !node.old {
            ops.calendar.enabled = true;
            ops.calendar.capacity = ["a", "b"]
                .map(|zone| KnownCapacity {
                    zone: zone.into(),
                    model: "s".into(),
                    machines: 3,
                })
                .into();
        }
        node.controller = Some(Controller::new(
            settings(i, self.team_limit),
            ops,
            Millis(1),
        ));
        let life = node.life;
        self.after(1, Event::Tick(i, life));
    }

    pub(crate) fn feed(&mut self, i: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let life = node.life;
        let clock = Millis(now - node.started + 1);
        let Some(controller) = &mut node.controller else {
            return;
        };
        // One clock is slow, one right, one fast.
        let skew = if self.weather.calendar || self.weather.graphs {
            SKEW_MS * i as u64
        } else {
            SKEW_MS
        };
        let wall = booking::BEGAN - SKEW_MS + skew + now;
        let outputs = controller.handle(input, clock, wall);
        for output in outputs {
            match output {
                Output::Respond(conn, response) => {
                    self.hop();
                    if let Some(asked) = self.asked.remove(&(i, life, conn.0)) {
                        self.answered((i, conn.0), asked, response.status, response.body);
                    }
                }
                Output::Call {
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
                    let lost = !quiet && self.rng.random_bool(self.weather.lost);
                    let late = lost && self.rng.random_bool(self.weather.late);
                    let held_ms = self.write_is_late(&path, &body);
                    let (lost, late) = (lost || held_ms.is_some(), late || held_ms.is_some());
                    let mut ms = self.hop() + held_ms.unwrap_or(0);
                    if late && held_ms.is_none() {
                        ms += self.rng.random_range(1_000..15_000u64);
                    }
                    let slow = self.ails.slow_ms > 0 && target == Target::State;
                    if slow {
                        ms += self.rng.random_range(0..self.ails.slow_ms);
                    }
                    // A watch, or a call of a controller that is cut off, may hang.
                    let hangs =
                        slow || path.starts_with("/changes") || self.ails.unserved.contains(&i);
                    if lost || (hangs && target == Target::State) {
                        let result = CallResult::Lost;
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
                Output::Hint(member, hint) => {
                    self.send_to_peer(i, &member, |to| Event::HintFor(to, hint))
                }
                Output::Proof(member, proof) => {
                    self.send_to_peer(i, &member, |to| Event::ProofFor(to, proof))
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

    pub(crate) fn ask(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
        asked: Asked,
    ) -> bool {
        if self.nodes[node].controller.is_none() {
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
        self.feed(node, Input::Request(ConnId(conn), request));
        true
    }
}
