//! Links between controllers: length-delimited messages, with a separate connection for each direction.

use super::{SocketId, Transport};
use crate::effects::ControllerEvent;
use crate::transport::socket::{ReadStatus, Socket};
use calloop::RegistrationToken;
use prost::Message;
use snowshelf_model::ids::{Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{MAX_FRAME_BYTES, PeerMessage, PeerStatus};
use std::net::{SocketAddrV4, TcpListener};

/// Unsent bytes above which a link is closed: a late status is useless, and messages are sent again.
const MAX_UNSENT_BYTES: usize = MAX_FRAME_BYTES;
/// Most bytes of a frame's length prefix.
const MAX_LENGTH_PREFIX_BYTES: usize = 10;
/// Most connections accepted in one callback, so that accepting does not delay other events.
const ACCEPT_BATCH: usize = 16;
/// Shortest time between two attempts to connect to a peer, in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 1_000;
/// Time after which an attempt to connect to a peer is abandoned, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;
/// Most bytes buffered that a peer sends on an outgoing link, on which it is expected to send nothing.
const MAX_UNEXPECTED_BYTES: usize = 1024;

/// The outgoing link to another controller, over which this controller sends its messages.
pub(super) struct PeerLink {
    address: SocketAddrV4,
    /// `None` while the link is down.
    socket: Option<PeerSocket>,
    retry_at: MonotonicMillis,
    connecting_since: MonotonicMillis,
}

/// The connection of an outgoing link, established or connecting.
struct PeerSocket {
    id: SocketId,
    socket: Socket,
    registration: RegistrationToken,
}

/// A connection opened by another controller, over which it sends its messages.
pub(super) struct PeerConnection {
    last_active_at: MonotonicMillis,
    socket: Socket,
    registration: RegistrationToken,
}

impl PeerLink {
    /// A link that is not connected yet.
    pub(super) fn new(address: SocketAddrV4) -> PeerLink {
        PeerLink {
            address,
            socket: None,
            retry_at: MonotonicMillis(0),
            connecting_since: MonotonicMillis(0),
        }
    }
}

/// The result of decoding the bytes received from a peer.
struct DecodedFrames {
    events: Vec<ControllerEvent>,
    /// Whether all complete frames could be decoded. If not, the connection must be closed.
    valid: bool,
}

/// Removes the complete frames from the bytes received and decodes them.
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
        // Both message types share the link and have distinct tags, so a frame of one type decodes to the
        // default value of the other.
        match (PeerMessage::decode(frame), PeerStatus::decode(frame)) {
            (Ok(message), _) if message != PeerMessage::default() => {
                events.push(ControllerEvent::PeerMessage(message));
            }
            (_, Ok(status)) => events.push(ControllerEvent::PeerStatus(status)),
            (_, Err(error)) => {
                tracing::info!(%error, "peer message could not be decoded");
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
            self.close_oldest_peer_if_full();
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

    /// Closes the connection that has been inactive longest if the limit is reached, so that connections left
    /// open by processes that have ended cannot block a new one.
    fn close_oldest_peer_if_full(&mut self) {
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
        let read_status = connection.socket.receive(2 * MAX_FRAME_BYTES);
        let frames = decode_frames(&mut connection.socket.input);
        if read_status != ReadStatus::Open || !frames.valid {
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

    /// Sends a message to another controller. Starts to connect the link if it is down; the message is dropped
    /// unless the link is established.
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
        // Reconnects to an unresponsive peer, whose machine may have restarted without closing the connection.
        let connect_timed_out =
            socket.connecting && now.since(link.connecting_since) > CONNECT_TIMEOUT_MS;
        if connect_timed_out || socket.unsent_bytes() > MAX_UNSENT_BYTES {
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

    /// Starts to connect a link that is down, at most once per `RECONNECT_INTERVAL_MS`.
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
            Ok(true) => socket.send() && socket.receive(MAX_UNEXPECTED_BYTES) == ReadStatus::Open,
            Err(_) => false,
        };
        if !usable && let Some(closed) = peer_socket.take() {
            self.handle.remove(closed.registration);
        }
    }
}
