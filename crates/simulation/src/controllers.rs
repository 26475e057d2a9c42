//! Controllers: start, inputs, and the delivery of their outputs.

use super::*;

impl Simulation {
    /// Restarts a controller so that it takes over settings that the test has changed.
    pub fn restart_controller(&mut self, node: usize) {
        self.restart(node);
    }

    /// Starts a new incarnation of a controller.
    pub(crate) fn restart(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        node.incarnation += 1;
        node.started_at = now;
        let mut ops = OperatorSettings {
            hold_format: node.previous_version,
            ..OperatorSettings::default()
        };
        ops.drains.enabled = self.conditions.drains && !node.previous_version;
        ops.drains.budget = self.budget;
        ops.graphs.enabled = self.conditions.graphs && !node.previous_version;
        if self.conditions.calendar && !node.previous_version {
            ops.calendar.enabled = true;
            ops.calendar.capacity = ["a", "b"]
                .map(|zone| KnownCapacity {
                    zone: zone.into(),
                    model: "s".into(),
                    machines: 3,
                })
                .into();
        }
        let limit_factor = if self.safeguards.halve_team_limits {
            0.5
        } else {
            1.0
        };
        node.controller = Some(Controller::new(
            settings(i, limit_factor * self.team_limit),
            ops,
            MonotonicMillis(1),
        ));
        let incarnation = node.incarnation;
        self.schedule_after(1, Event::Tick(i, incarnation));
    }

    /// Passes an input to a controller and delivers its outputs.
    pub(crate) fn deliver(&mut self, i: usize, input: ControllerEvent) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let incarnation = node.incarnation;
        let monotonic = MonotonicMillis(now - node.started_at + 1);
        let Some(controller) = &mut node.controller else {
            return;
        };
        // With a calendar or DAG runs the first clock is slow, the second one right and the third one fast, by
        // the largest allowed skew. Otherwise all clocks are right.
        let skew = if self.conditions.calendar || self.conditions.graphs {
            MAX_CLOCK_SKEW_MS * i as u64
        } else {
            MAX_CLOCK_SKEW_MS
        };
        let wall_clock = calendar::WALL_CLOCK_START_MS - MAX_CLOCK_SKEW_MS + skew + now;
        let outputs = controller.handle(input, monotonic, wall_clock);
        for output in outputs {
            self.digest.add(now, i, &output);
            match output {
                Effect::Respond(conn, response) => {
                    self.network_delay_ms();
                    let pending = self.pending.remove(&(i, incarnation, conn.0));
                    if let Some(pending) =
                        pending.filter(|a| a.is_delivered(self.is_partitioned(i)))
                    {
                        self.handle_response((i, conn.0), pending, response.status, response.body);
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
                        self.completions_written(&body);
                    }
                    let faults_over = now >= self.faults_end_at;
                    let lost = !faults_over && self.rng.random_bool(self.conditions.lost_share);
                    let late = lost && self.rng.random_bool(self.conditions.late_share);
                    let late_write_ms = self.late_write_delay_ms(&path, &body);
                    let response_lost =
                        target == Target::KvStore && self.is_kv_response_lost(&path, &body);
                    let targeted = late_write_ms.is_some() || response_lost;
                    let (lost, late) = (lost || targeted, late || targeted);
                    let mut ms = self.network_delay_ms() + late_write_ms.unwrap_or(0);
                    if late && !targeted {
                        ms += self.rng.random_range(1_000..15_000u64);
                    }
                    let slow = self.injected.kv_delay_ms > 0 && target == Target::KvStore;
                    if slow {
                        ms += self.rng.random_range(0..self.injected.kv_delay_ms);
                    }
                    // A watch, a call to a slow or unreachable key-value store, a call of a partitioned
                    // controller and a call to a worker can hang. They fail at their timeout.
                    let hangs = match target {
                        Target::KvStore => {
                            slow || path.starts_with("/changes")
                                || self.injected.kv_unreachable.contains(&i)
                        }
                        Target::Cloud => self.is_partitioned(i),
                        Target::Worker(_) => true,
                    };
                    if response_lost && self.safeguards.acknowledge_unapplied_txns {
                        let body = json!({"Safra": self.kv_store.revision}).to_string();
                        let (status, body) = (200, body.into_bytes());
                        let result = CallOutcome::Response { status, body };
                        self.schedule_after(ms, Event::CallDone(i, incarnation, id, result));
                        continue;
                    }
                    if lost || hangs {
                        let result = CallOutcome::Unanswered;
                        self.schedule_after(
                            timeout_ms,
                            Event::CallDone(i, incarnation, id, result),
                        );
                    }
                    // Half of the lost calls never arrive unless they are late; those that arrive get no
                    // response.
                    if !lost || late || self.rng.random_bool(0.5) {
                        self.schedule_after(
                            ms,
                            Event::CallArrives {
                                node: i,
                                incarnation,
                                id,
                                target,
                                method,
                                path,
                                body,
                                response_delivered: !lost,
                            },
                        );
                    }
                }
                Effect::PeerStatus(member, status) => {
                    self.send_to_peer(i, &member, |to| Event::PeerStatusArrives(to, status))
                }
                Effect::PeerMessage(member, message) => {
                    self.send_to_peer(i, &member, |to| Event::PeerMessageArrives(to, message))
                }
            }
        }
    }

    /// Sends a message to another controller unless one of the two is isolated.
    pub(crate) fn send_to_peer(
        &mut self,
        from: usize,
        member: &Member,
        event: impl FnOnce(usize) -> Event,
    ) {
        let to = member.as_str()[1..].parse().unwrap_or(0);
        let ms = self.network_delay_ms();
        if !self.isolated_from_peers.contains(&from) && !self.isolated_from_peers.contains(&to) {
            self.schedule_after(ms, event(to));
        }
    }

    /// Sends a request without a user who waits for the response. The response only counts in the digest.
    pub fn send_ignored_request(&mut self, node: usize, method: &str, path: &str, body: &str) {
        let body = body.as_bytes().to_vec();
        self.send_request(node, method, path, body, PendingRequest::Ignored);
    }

    /// Sends a request to a controller. Returns `false` if it does not arrive.
    pub(crate) fn send_request(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
        pending: PendingRequest,
    ) -> bool {
        if self.nodes[node].controller.is_none() || !pending.is_delivered(self.is_partitioned(node))
        {
            return false;
        }
        self.next_connection += 1;
        let conn = self.next_connection;
        let incarnation = self.nodes[node].incarnation;
        self.pending.insert((node, incarnation, conn), pending);
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        self.deliver(node, ControllerEvent::Request(ConnectionId(conn), request));
        true
    }
}
