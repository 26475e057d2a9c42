//! Links to and from the other controllers: length-delimited messages, each direction over a connection of its own.

use super::{SocketId, Transport};
use crate::effects::ControllerEvent;
use crate::transport::socket::{ReadEnd, Socket};
use calloop::RegistrationToken;
use prost::Message;
use snowshelf_model::ids::{Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{MAX_FRAME_BYTES, PeerMessage, PeerStatus};
use std::net::{SocketAddrV4, TcpListener};

/// A link with more unsent bytes is closed: a late status is of no use, and messages are repeated.
const MAX_BACKLOG_BYTES: usize = MAX_FRAME_BYTES;
/// Most bytes of a length prefix.
const MAX_LENGTH_PREFIX_BYTES: usize = 10;
/// Connections accepted at once: other work goes on in between.
const ACCEPT_BATCH: usize = 16;
/// The least time between two attempts to connect to a peer, in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 1_000;
/// A connection that is not established within this time is given up, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;
/// Most bytes buffered of what a peer sends on a link that only this controller writes to.
const MAX_UNEXPECTED_BYTES: usize = 1024;

/// The way to one other controller: the connection over which this controller sends its messages.
pub(super) struct PeerLink {
    address: SocketAddrV4,
    socket: Option<PeerSocket>,
    retry_at: MonotonicMillis,
    connecting_since: MonotonicMillis,
}

/// An open connection of a link.
struct PeerSocket {
    id: SocketId,
    socket: Socket,
    registration: RegistrationToken,
}

/// A connection that another controller has opened, over which it sends its messages.
pub(super) struct PeerConnection {
    last_active_at: MonotonicMillis,
    socket: Socket,
    registration: RegistrationToken,
}

impl PeerLink {
    /// A link that is not connected yet.
    pub(super) fn to(address: SocketAddrV4) -> PeerLink {
        PeerLink {
            address,
            socket: None,
            retry_at: MonotonicMillis(0),
            connecting_since: MonotonicMillis(0),
        }
    }
}

/// What was decoded of the bytes received from a peer.
struct DecodedFrames {
    events: Vec<ControllerEvent>,
    /// Whether all of it could be decoded; otherwise the connection is of no more use.
    valid: bool,
}

/// Takes the complete frames off the bytes received and decodes them.
fn decode_frames(input: &mut Vec<u8>) -> DecodedFrames {
    let mut events = Vec::new();
    let mut valid = true;
    loop {
        let mut rest = input.as_slice();
        let Ok(size) = prost::decode_length_delimiter(&mut rest) else {
            valid &= input.len() < MAX_LENGTH_PREFIX_BYTES;
            break;
        };
        if size > MAX_FRAME_BYTES {
            valid = false;
            break;
        }
        if rest.len() < size {
            break;
        }
        let consumed = input.len() - rest.len() + size;
        let frame = &rest[..size];
        // Both kinds share the link, and their tags differ: a frame of the other kind decodes to the default.
        match (PeerMessage::decode(frame), PeerStatus::decode(frame)) {
            (Ok(message), _) if message != PeerMessage::default() => {
                events.push(ControllerEvent::PeerMessage(message));
            }
            (_, Ok(status)) => events.push(ControllerEvent::PeerStatus(status)),
            (_, Err(error)) => {
                tracing::info!(%error, "peer message unreadable");
                valid = false;
            }
        }
        input.drain(..consumed);
    }
    DecodedFrames { events, valid }
}

impl Transport {
    pub(super) fn accept_peers(&mut self, listener: &TcpListener) {
        for _ in 0..ACCEPT_BATCH {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            self.make_room_for_peer();
            let Ok(socket) = Socket::new(stream, false) else {
                continue;
            };
            let id = self.next_socket_id();
            if let Some(registration) = self.register(&socket, id, Transport::peer_readable) {
                let connection = PeerConnection {
                    last_active_at: self.now(),
                    socket,
                    registration,
                };
                self.peer_connections.insert(id, connection);
                self.peer_readable(id);
            }
        }
    }

    /// Closes the longest inactive connection if there are too many: those of processes that have ended without
    /// closing them must not keep a new one out.
    fn make_room_for_peer(&mut self) {
        if self.peer_connections.len() < self.limits.max_peers {
            return;
        }
        let connections = self.peer_connections.iter();
        let oldest = connections.min_by_key(|(_, connection)| connection.last_active_at);
        if let Some((id, _)) = oldest {
            let id = *id;
            self.drop_peer_connection(id);
        }
    }

    fn peer_readable(&mut self, id: SocketId) {
        let now = self.now();
        let Some(connection) = self.peer_connections.get_mut(&id) else {
            return;
        };
        connection.last_active_at = now;
        let end = connection.socket.receive(2 * MAX_FRAME_BYTES);
        let frames = decode_frames(&mut connection.socket.input);
        if end != ReadEnd::Open || !frames.valid {
            self.drop_peer_connection(id);
        }
        for event in frames.events {
            self.handle_event(event);
        }
    }

    fn drop_peer_connection(&mut self, id: SocketId) {
        if let Some(connection) = self.peer_connections.remove(&id) {
            self.handle.remove(connection.registration);
        }
    }

    /// Sends a message to another controller if the link to it is up; connects it otherwise.
    pub(super) fn send_to_peer(
        &mut self,
        member: &Member,
        message: &impl Message,
        now: MonotonicMillis,
    ) {
        self.connect_peer(member, now);
        let Some(link) = self.peer_links.get_mut(member) else {
            return;
        };
        let Some(PeerSocket { socket, .. }) = &mut link.socket else {
            return;
        };
        // A silent peer is connected to anew: its machine may have restarted without closing the connection.
        let stuck = socket.connecting && now.since(link.connecting_since) > CONNECT_TIMEOUT_MS;
        if stuck || socket.backlog() > MAX_BACKLOG_BYTES {
            self.disconnect_peer(member);
            return;
        }
        if !socket.connecting {
            let bytes = message.encode_length_delimited_to_vec();
            socket.output.extend_from_slice(&bytes);
            if !socket.send() {
                self.disconnect_peer(member);
            }
        }
    }

    /// Starts to connect a link that is down, unless it was tried just before.
    fn connect_peer(&mut self, member: &Member, now: MonotonicMillis) {
        let Some(link) = self.peer_links.get_mut(member) else {
            return;
        };
        if link.socket.is_some() || now < link.retry_at {
            return;
        }
        link.retry_at = now.plus(RECONNECT_INTERVAL_MS);
        link.connecting_since = now;
        let Ok(socket) = Socket::connect(link.address) else {
            return;
        };
        let id = self.next_socket_id();
        let registration = self.register(&socket, id, Transport::peer_link_ready);
        if let Some(registration) = registration
            && let Some(link) = self.peer_links.get_mut(member)
        {
            link.socket = Some(PeerSocket {
                id,
                socket,
                registration,
            });
        }
    }

    fn disconnect_peer(&mut self, member: &Member) {
        let link = self.peer_links.get_mut(member);
        if let Some(peer_socket) = link.and_then(|link| link.socket.take()) {
            self.handle.remove(peer_socket.registration);
        }
    }

    fn peer_link_ready(&mut self, id: SocketId) {
        let links = self.peer_links.values_mut();
        let mut sockets = links.map(|link| &mut link.socket);
        let Some(peer_socket) =
            sockets.find(|socket| socket.as_ref().is_some_and(|open| open.id == id))
        else {
            return;
        };
        let Some(PeerSocket { socket, .. }) = peer_socket else {
            return;
        };
        let usable = match socket.finish_connect() {
            Ok(false) => return,
            Ok(true) => socket.send() && socket.receive(MAX_UNEXPECTED_BYTES) == ReadEnd::Open,
            Err(_) => false,
        };
        if !usable && let Some(closed) = peer_socket.take() {
            self.handle.remove(closed.registration);
        }
    }
}
