//! Links to and from the other controllers: length-delimited hints, each way over a connection of its own.

use super::{Net, SockId};
use crate::effects::ControllerEvent;
use crate::transport::socket::{ReadEnd, Socket};
use calloop::RegistrationToken;
use prost::Message;
use snowshelf_model::ids::{Member, MonotonicMillis};
use snowshelf_model::protocol::peer::{MAX_FRAME, PeerMessage, PeerStatus};
use std::net::{SocketAddrV4, TcpListener};

/// Peer messages are not gathered beyond this: they are only hints.
const PEER_BACKLOG: usize = MAX_FRAME;

pub(super) struct PeerOut {
    pub(super) address: SocketAddrV4,
    pub(super) socket: Option<(SockId, Socket, RegistrationToken)>,
    pub(super) retry_at: MonotonicMillis,
    pub(super) since: MonotonicMillis,
}

pub(super) struct PeerIn {
    /// When it last said anything.
    active: MonotonicMillis,
    socket: Socket,
    fencing_token: RegistrationToken,
}

impl Net {
    pub(super) fn accept_peer(&mut self, listener: &TcpListener) {
        for _ in 0..16 {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            // Guards against links of earlier lives, whose end nobody has told of, keeping a new one out.
            if self.peers_in.len() >= self.bounds.peers
                && let Some(oldest) = self.peers_in.iter().min_by_key(|(_, p)| p.active)
            {
                let oldest = *oldest.0;
                self.drop_peer_in(oldest);
            }
            let Ok(socket) = Socket::new(stream, false) else {
                continue;
            };
            let id = self.id();
            if let Some(fencing_token) = self.register(&socket, id, Net::peer_in_ready) {
                let active = self.now();
                self.peers_in.insert(
                    id,
                    PeerIn {
                        socket,
                        fencing_token,
                        active,
                    },
                );
                self.peer_in_ready(id);
            }
        }
    }

    fn peer_in_ready(&mut self, id: SockId) {
        let now = self.now();
        let Some(peer) = self.peers_in.get_mut(&id) else {
            return;
        };
        peer.active = now;
        let end = peer.socket.fill(2 * MAX_FRAME);
        let mut inputs = Vec::new();
        let mut sound = end == ReadEnd::Open;
        loop {
            let input = &mut peer.socket.input;
            let mut view = input.as_slice();
            let Ok(size) = prost::decode_length_delimiter(&mut view) else {
                // A length takes ten bytes at most.
                sound &= input.len() < 10;
                break;
            };
            if size > MAX_FRAME {
                sound = false;
                break;
            }
            if view.len() < size {
                break;
            }
            let used = input.len() - view.len() + size;
            let frame = &view[..size];
            match (PeerMessage::decode(frame), PeerStatus::decode(frame)) {
                (Ok(proof), _) if proof != PeerMessage::default() => {
                    inputs.push(ControllerEvent::PeerMessage(proof))
                }
                (_, Ok(hint)) => inputs.push(ControllerEvent::PeerStatus(hint)),
                (_, Err(error)) => {
                    tracing::info!(%error, "peer message unreadable");
                    sound = false;
                }
            }
            input.drain(..used);
        }
        if !sound {
            self.drop_peer_in(id);
        }
        for input in inputs {
            self.feed(input);
        }
    }

    fn drop_peer_in(&mut self, id: SockId) {
        if let Some(peer) = self.peers_in.remove(&id) {
            self.handle.remove(peer.fencing_token);
        }
    }

    pub(super) fn send_peer(
        &mut self,
        member: &Member,
        message: &impl Message,
        now: MonotonicMillis,
    ) {
        let Some(out) = self.peers_out.get_mut(member) else {
            return;
        };
        if out.socket.is_none() && now >= out.retry_at {
            out.retry_at = now.plus(1_000);
            out.since = now;
            let address = out.address;
            if let Ok(socket) = Socket::connect(address) {
                let id = self.id();
                if let Some(fencing_token) = self.register(&socket, id, Net::peer_out_ready)
                    && let Some(out) = self.peers_out.get_mut(member)
                {
                    out.socket = Some((id, socket, fencing_token));
                }
            }
        }
        let Some(out) = self.peers_out.get_mut(member) else {
            return;
        };
        let Some((_, socket, _)) = &mut out.socket else {
            return;
        };
        // A silent peer is left and tried again: its machine may have come back without us.
        let stuck = socket.connecting && now.since(out.since) > 3_000;
        if stuck || socket.backlog() > PEER_BACKLOG {
            if let Some((_, _, fencing_token)) = out.socket.take() {
                self.handle.remove(fencing_token);
            }
            return;
        }
        if !socket.connecting {
            socket
                .output
                .extend_from_slice(&message.encode_length_delimited_to_vec());
            if !socket.drain()
                && let Some((_, _, fencing_token)) = out.socket.take()
            {
                self.handle.remove(fencing_token);
            }
        }
    }

    fn peer_out_ready(&mut self, id: SockId) {
        let Some(out) = self
            .peers_out
            .values_mut()
            .find(|o| o.socket.as_ref().is_some_and(|s| s.0 == id))
        else {
            return;
        };
        let Some((_, socket, _)) = &mut out.socket else {
            return;
        };
        let sound = match socket.finish_connect() {
            Ok(false) => return,
            Ok(true) => socket.drain() && socket.fill(1024) == ReadEnd::Open,
            Err(_) => false,
        };
        if !sound && let Some((_, _, fencing_token)) = out.socket.take() {
            self.handle.remove(fencing_token);
        }
    }
}
