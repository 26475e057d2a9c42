//! A non-blocking TCP connection with its buffers, for edge-triggered readiness events.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::rc::Rc;

/// Most bytes received by one system call.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A non-blocking connection with its receive and send buffers.
pub struct Socket {
    /// The stream, shared with the event loop, which polls it for readiness.
    pub stream: Rc<TcpStream>,
    /// Bytes received but not consumed yet.
    pub input: Vec<u8>,
    /// Bytes to send, of which the first `sent` have been sent already.
    pub output: Vec<u8>,
    sent: usize,
    /// Whether the connection is still being established.
    pub connecting: bool,
}

/// The state of a connection after all available bytes have been received.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadStatus {
    /// The connection is open; more bytes may follow.
    Open,
    /// The other side has closed the connection.
    Closed,
    /// The connection failed, or more bytes than allowed were received.
    Failed,
}

impl Socket {
    /// Wraps an accepted or connected stream and makes it non-blocking.
    pub fn new(stream: TcpStream, connecting: bool) -> std::io::Result<Socket> {
        stream.set_nonblocking(true)?;
        let _ = stream.set_nodelay(true);
        Ok(Socket {
            stream: Rc::new(stream),
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            connecting,
        })
    }

    /// Starts to connect to an address without waiting for the connection to be established.
    pub fn connect(address: SocketAddrV4) -> std::io::Result<Socket> {
        use socket2::{Domain, Protocol, Type};
        let socket = socket2::Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => Socket::new(socket.into(), false),
            Err(error)
                if error.kind() == ErrorKind::WouldBlock
                    || error.raw_os_error() == Some(EINPROGRESS) =>
            {
                Socket::new(socket.into(), true)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether the connection is established by now; an error if connecting failed.
    pub fn finish_connect(&mut self) -> std::io::Result<bool> {
        if !self.connecting {
            return Ok(true);
        }
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connecting = false;
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Receives all available bytes. Fails if more than `max_bytes` are buffered.
    pub fn receive(&mut self, max_bytes: usize) -> ReadStatus {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            if self.input.len() > max_bytes {
                return ReadStatus::Failed;
            }
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => return ReadStatus::Closed,
                Ok(size) => self.input.extend_from_slice(&chunk[..size]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadStatus::Open,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Failed,
            }
        }
    }

    /// Sends as much of the output as the kernel accepts. Returns false if the connection failed.
    #[must_use]
    pub fn send(&mut self) -> bool {
        if self.connecting {
            return true;
        }
        while self.sent < self.output.len() {
            match (&*self.stream).write(&self.output[self.sent..]) {
                Ok(0) => return false,
                Ok(size) => self.sent += size,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.output.clear();
        self.sent = 0;
        true
    }

    /// Frees empty buffers with a capacity of more than `retained_bytes`, because most connections are idle
    /// most of the time.
    pub fn shrink_buffers(&mut self, retained_bytes: usize) {
        for buffer in [&mut self.input, &mut self.output] {
            if buffer.is_empty() && buffer.capacity() > retained_bytes {
                *buffer = Vec::new();
            }
        }
    }

    /// Whether all of the output has been sent.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Number of bytes of the output that have not been sent yet.
    #[must_use]
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.sent
    }
}

/// The error number on Linux for a non-blocking connect that is still in progress.
const EINPROGRESS: i32 = 115;
