//! A non-blocking TCP connection with its buffers, made for edge-triggered readiness.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::rc::Rc;

/// Bytes received by one system call at the most.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A non-blocking connection and what is buffered on it.
pub struct Socket {
    /// The stream, shared with the event loop that watches it.
    pub stream: Rc<TcpStream>,
    /// Bytes received and not consumed yet.
    pub input: Vec<u8>,
    /// Bytes to send; the first `sent` of them have been sent.
    pub output: Vec<u8>,
    sent: usize,
    /// Whether the connection is not established yet.
    pub connecting: bool,
}

/// The state of a connection after all available bytes were received.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadEnd {
    /// More may follow.
    Open,
    /// The other side has closed it.
    Closed,
    /// It failed, or more was received than allowed.
    Failed,
}

impl Socket {
    /// Makes an accepted or connected stream non-blocking.
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

    /// Starts to connect, without waiting for the connection to be established.
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

    /// Whether a connection that was started is established now; an error if it failed.
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

    /// Receives all available bytes, until more than `max_bytes` are buffered.
    pub fn receive(&mut self, max_bytes: usize) -> ReadEnd {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            if self.input.len() > max_bytes {
                return ReadEnd::Failed;
            }
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => return ReadEnd::Closed,
                Ok(size) => self.input.extend_from_slice(&chunk[..size]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadEnd::Open,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadEnd::Failed,
            }
        }
    }

    /// Sends what the kernel takes of the output; false if the connection failed.
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

    /// Frees empty buffers of more than `retained_bytes`: most connections are idle most of the time.
    pub fn shrink_buffers(&mut self, retained_bytes: usize) {
        for buffer in [&mut self.input, &mut self.output] {
            if buffer.is_empty() && buffer.capacity() > retained_bytes {
                *buffer = Vec::new();
            }
        }
    }

    /// Whether all of the output has been sent.
    #[must_use]
    pub fn flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Bytes of the output that have not been sent.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.output.len() - self.sent
    }
}

/// Linux's error number for a connection that is being established.
const EINPROGRESS: i32 = 115;
