//! Connections of workers, users and probes: admission, requests and responses, and closing.

use super::{SocketId, Transport};
use crate::effects::{ControllerEvent, Response};
use crate::transport::http::{self, Parsed};
use crate::transport::socket::{READ_CHUNK_BYTES, ReadStatus, Socket};
use calloop::RegistrationToken;
use snowshelf_connections::limits::RETAINED_BUFFER_BYTES;
use snowshelf_connections::table::{Admission, ClientKind};
use snowshelf_model::ids::{ConnectionId, MonotonicMillis};
use std::net::{TcpListener, TcpStream};

/// Time without activity after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time without progress of a partial request after which its connection is closed, in milliseconds.
const PARTIAL_REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Seconds after which a client may retry whose partial request was aborted.
const ABORTED_RETRY_AFTER_S: u64 = 2;
/// Most connections accepted in one callback, so that accepting does not delay other events.
const ACCEPT_BATCH: usize = 64;
/// Most bytes received and not consumed: the largest request, and the start of the next one.
const MAX_INPUT_BYTES: usize =
    http::MAX_HEAD_BYTES + http::MAX_REQUEST_BODY_BYTES + READ_CHUNK_BYTES;

/// A connection opened by a client.
pub(super) struct ClientConnection {
    socket: Socket,
    registration: RegistrationToken,
    /// The request that awaits the controller's response; at most one per connection.
    request: Option<ConnectionId>,
    /// Whether to close the connection after the response.
    close: bool,
    last_active_at: MonotonicMillis,
    /// Bytes of this connection that are counted in the transport's `partial_bytes`.
    partial_bytes: usize,
}

impl ClientConnection {
    fn is_idle(&self, now: MonotonicMillis) -> bool {
        let idle_ms = now.since(self.last_active_at);
        let partial = !self.socket.input.is_empty();
        self.request.is_none()
            && (idle_ms > IDLE_TIMEOUT_MS || (partial && idle_ms > PARTIAL_REQUEST_TIMEOUT_MS))
    }
}

impl Transport {
    pub(super) fn accept_clients(&mut self, listener: &TcpListener) {
        for _ in 0..ACCEPT_BATCH {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let id = self.next_socket_id();
            match self.connections.admit(id, self.now()) {
                Admission::Admitted => {}
                Admission::Replaces(other) => self.drop_client(other),
                // Dropping the stream closes it at once, so that the client can try another controller.
                Admission::Refused => continue,
            }
            if !self.register_client(id, stream) {
                self.connections.remove(id);
            }
        }
    }

    /// Registers an admitted connection with the event loop. Returns false if that fails.
    fn register_client(&mut self, id: SocketId, stream: TcpStream) -> bool {
        let Ok(socket) = Socket::new(stream, false) else {
            return false;
        };
        let Some(registration) = self.register(&socket, id, Transport::client_ready) else {
            return false;
        };
        let client = ClientConnection {
            socket,
            registration,
            request: None,
            close: false,
            last_active_at: self.now(),
            partial_bytes: 0,
        };
        self.clients.insert(id, client);
        self.client_ready(id);
        true
    }

    fn client_ready(&mut self, id: SocketId) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.last_active_at = now;
        if !client.socket.send() {
            self.drop_client(id);
            return;
        }
        if client.socket.receive(MAX_INPUT_BYTES) != ReadStatus::Open {
            // A client that has closed the connection does not wait for a response.
            self.drop_client(id);
            return;
        }
        self.dispatch_next_request(id);
    }

    /// Passes the next request on a connection to the controller, unless an earlier one awaits its response.
    fn dispatch_next_request(&mut self, id: SocketId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.request.is_some() || client.socket.input.is_empty() || client.close {
            return;
        }
        match http::parse_request(&client.socket.input) {
            Parsed::Partial => self.track_partial_request(id),
            Parsed::Complete {
                message: request,
                consumed,
                close,
            } => {
                client.socket.input.drain(..consumed);
                client.close = close;
                self.partial_bytes -= std::mem::take(&mut client.partial_bytes);
                let kind = ClientKind::from_path(&request.path);
                self.connections.request_started(id, kind);
                self.last_id += 1;
                let request_id = ConnectionId(self.last_id);
                client.request = Some(request_id);
                self.awaiting_response.insert(request_id, id);
                self.handle_event(ControllerEvent::Request(request_id, request));
            }
            Parsed::Invalid(status) => {
                let response = Response::error(status, "the request cannot be read");
                self.respond_and_close(id, &response);
            }
        }
    }

    /// Accounts for the memory of a partial request. Aborts the request if all partial requests together
    /// exceed the limit.
    fn track_partial_request(&mut self, id: SocketId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let received = client.socket.input.len();
        self.partial_bytes = self.partial_bytes + received - client.partial_bytes;
        client.partial_bytes = received;
        if self.connections.aborts_partial(self.partial_bytes) {
            let response =
                Response::retry_later(503, "too much is underway", ABORTED_RETRY_AFTER_S);
            self.respond_and_close(id, &response);
        }
    }

    /// Responds to a request that was not passed to the controller, and closes the connection.
    fn respond_and_close(&mut self, id: SocketId, response: &Response) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.close = true;
            client.socket.input = Vec::new();
            self.partial_bytes -= std::mem::take(&mut client.partial_bytes);
            http::write_response(&mut client.socket.output, response, true);
            self.flush_client(id);
        }
    }

    /// Sends the controller's response to a request. Does nothing if the client has disconnected.
    pub(super) fn respond(&mut self, request: ConnectionId, response: &Response) {
        let now = self.now();
        let Some(id) = self.awaiting_response.remove(&request) else {
            return;
        };
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.request = None;
        client.close |= self.connections.closes_after_response(id);
        self.connections.request_finished(id, now);
        http::write_response(&mut client.socket.output, response, client.close);
        let pipelined = !client.socket.input.is_empty();
        self.flush_client(id);
        if pipelined {
            self.handle
                .insert_idle(move |transport| transport.dispatch_next_request(id));
        }
    }

    fn flush_client(&mut self, id: SocketId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let sent = client.socket.send();
        client.socket.shrink_buffers(RETAINED_BUFFER_BYTES);
        let finished = client.close && client.socket.is_flushed() && client.request.is_none();
        if !sent || finished {
            self.drop_client(id);
        }
    }

    fn drop_client(&mut self, id: SocketId) {
        if let Some(client) = self.clients.remove(&id) {
            self.handle.remove(client.registration);
            self.connections.remove(id);
            self.partial_bytes -= client.partial_bytes;
            if let Some(request) = client.request {
                self.awaiting_response.remove(&request);
            }
        }
    }

    /// Closes connections that are idle, or whose partial request makes no progress.
    pub(super) fn close_idle_clients(&mut self, now: MonotonicMillis) {
        let idle: Vec<SocketId> = self
            .clients
            .iter()
            .filter(|(_, client)| client.is_idle(now))
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.drop_client(id);
        }
    }
}
