//! Connections of workers, users and probes: who is let in, what is asked on them, who is let go of.

use super::{Net, SockId};
use crate::effects::{ControllerEvent, Response};
use crate::transport::http::{self, Parsed};
use crate::transport::socket::{ReadEnd, Socket};
use calloop::RegistrationToken;
use snowshelf_connections::limits::KEPT_BYTES;
use snowshelf_connections::table::{Admission, ClientKind};
use snowshelf_model::ids::{ConnectionId, MonotonicMillis};
use std::net::TcpListener;

/// A connection on which nothing happens for so long is closed.
const IDLE_MS: u64 = 60_000;
/// A request must be complete within this time of its first byte.
const SLOW_MS: u64 = 10_000;
/// After so long a user whose request was given up on may come again, in seconds.
const GIVEN_UP_S: u64 = 2;

pub(super) struct Served {
    socket: Socket,
    fencing_token: RegistrationToken,
    waiting: Option<ConnectionId>,
    close: bool,
    active: MonotonicMillis,
    /// Bytes held of a request that has come in part only.
    underway: usize,
}

impl Net {
    pub(super) fn accept(&mut self, listener: &TcpListener) {
        // A bounded number at a time: the other work goes on in between.
        for _ in 0..64 {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let id = self.id();
            match self.connections.enter(id, self.now()) {
                Admission::In => {}
                Admission::InsteadOf(other) => self.drop_served(other),
                // At once, so that the other side can go elsewhere.
                Admission::Refused => continue,
            }
            let Ok(socket) = Socket::new(stream, false) else {
                self.connections.leaves(id);
                continue;
            };
            if let Some(fencing_token) = self.register(&socket, id, Net::served_ready) {
                let served = Served {
                    socket,
                    fencing_token,
                    waiting: None,
                    close: false,
                    active: self.now(),
                    underway: 0,
                };
                self.served.insert(id, served);
                self.served_ready(id);
            } else {
                self.connections.leaves(id);
            }
        }
    }

    fn served_ready(&mut self, id: SockId) {
        let now = self.now();
        let Some(conn) = self.served.get_mut(&id) else {
            return;
        };
        conn.active = now;
        if !conn.socket.drain() {
            self.drop_served(id);
            return;
        }
        let most = http::MAX_HEAD + http::MAX_BODY + 16 * 1024;
        let end = conn.socket.fill(most);
        if end != ReadEnd::Open {
            // Whoever has closed waits for no answer.
            self.drop_served(id);
            return;
        }
        self.next_request(id);
    }

    fn next_request(&mut self, id: SockId) {
        let Some(conn) = self.served.get_mut(&id) else {
            return;
        };
        if conn.waiting.is_some() || conn.socket.input.is_empty() || conn.close {
            return;
        }
        match http::parse_request(&conn.socket.input) {
            Parsed::Partial => self.await_rest(id),
            Parsed::Whole(request, used, close) => {
                conn.socket.input.drain(..used);
                conn.close = close;
                self.underway_bytes -= std::mem::take(&mut conn.underway);
                self.connections.asks(id, ClientKind::of(&request.path));
                self.next += 1;
                let request_id = ConnectionId(self.next);
                conn.waiting = Some(request_id);
                self.waiting.insert(request_id, id);
                self.feed(ControllerEvent::Request(request_id, request));
            }
            Parsed::Bad(status) => {
                let response = Response::error(status, "the request cannot be read");
                self.turn_away(id, &response);
            }
        }
    }

    /// Part of a request has come. Together such parts are bounded: whoever passes that is told to come again.
    fn await_rest(&mut self, id: SockId) {
        let Some(conn) = self.served.get_mut(&id) else {
            return;
        };
        let held = conn.socket.input.len();
        self.underway_bytes = self.underway_bytes + held - conn.underway;
        conn.underway = held;
        if self.connections.gives_up(self.underway_bytes) {
            let response = Response::later(503, "too much is underway", GIVEN_UP_S);
            self.turn_away(id, &response);
        }
    }

    /// Answers without a request, or with a part of one, and closes.
    fn turn_away(&mut self, id: SockId, response: &Response) {
        if let Some(conn) = self.served.get_mut(&id) {
            conn.close = true;
            conn.socket.input = Vec::new();
            self.underway_bytes -= std::mem::take(&mut conn.underway);
            http::write_response(&mut conn.socket.output, response, true);
            self.finish_write(id);
        }
    }

    pub(super) fn respond(&mut self, conn: ConnectionId, response: &Response) {
        let now = self.now();
        let Some(id) = self.waiting.remove(&conn) else {
            return;
        };
        let Some(served) = self.served.get_mut(&id) else {
            return;
        };
        served.waiting = None;
        served.close |= self.connections.ends(id);
        self.connections.answered(id, now);
        let close = served.close;
        http::write_response(&mut served.socket.output, response, close);
        let more = !served.socket.input.is_empty();
        self.finish_write(id);
        if more {
            self.handle.insert_idle(move |net| net.next_request(id));
        }
    }

    fn finish_write(&mut self, id: SockId) {
        let Some(served) = self.served.get_mut(&id) else {
            return;
        };
        let sound = served.socket.drain();
        served.socket.give_back(KEPT_BYTES);
        if !sound || (served.close && served.socket.flushed() && served.waiting.is_none()) {
            self.drop_served(id);
        }
    }

    fn drop_served(&mut self, id: SockId) {
        if let Some(served) = self.served.remove(&id) {
            self.handle.remove(served.fencing_token);
            self.connections.leaves(id);
            self.underway_bytes -= served.underway;
            if let Some(conn) = served.waiting {
                self.waiting.remove(&conn);
            }
        }
    }

    /// Closes connections on which nothing happens.
    pub(super) fn sweep_served(&mut self, now: MonotonicMillis) {
        let idle: Vec<SockId> = self
            .served
            .iter()
            .filter(|(_, s)| {
                let quiet = now.since(s.active);
                s.waiting.is_none()
                    && (quiet > IDLE_MS || (!s.socket.input.is_empty() && quiet > SLOW_MS))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.drop_served(id);
        }
    }
}
