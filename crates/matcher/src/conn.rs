//! A stream socket in the event loop, with its bytes on the way in and out.

use super::{Handle, Party};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

const CHUNK: usize = 16_384;
/// An empty buffer keeps this capacity.
const KEPT: usize = 4_096;

/// A connection. It is watched for edges, so that readiness is kept here until a read or write uses it up.
pub struct Conn {
    socket: Rc<TcpStream>,
    handle: Handle,
    token: RegistrationToken,
    readable: bool,
    writable: bool,
    /// Bytes read and not used yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    /// The peer sends no more.
    pub ended: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl Conn {
    /// Watches a connected socket, or one that is about to be.
    ///
    /// # Errors
    /// Those of the system.
    pub fn new(handle: &Handle, socket: TcpStream, party: Party) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |readiness, _, node| {
                node.ready(party, readiness);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Self {
            socket,
            handle: handle.clone(),
            token,
            readable: false,
            writable: false,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            ended: false,
        })
    }

    /// Begins to connect; the first readiness tells how that went.
    ///
    /// # Errors
    /// Those of the system; a refusal may come at once.
    pub fn connect(handle: &Handle, to: SocketAddr, party: Party) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Self::new(handle, socket.into(), party)
    }

    /// Notes what the event loop saw.
    pub fn note(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
        self.writable |= readiness.writable || readiness.error;
    }

    /// The error that the socket holds, such as that of a connection that failed.
    ///
    /// # Errors
    /// That error.
    pub fn check(&self) -> io::Result<()> {
        self.socket.take_error()?.map_or(Ok(()), Err)
    }

    /// Reads what has come until `input` holds `most`; true when more may be there.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn read(&mut self, most: usize) -> io::Result<bool> {
        let mut chunk = [0; CHUNK];
        while self.readable && !self.ended {
            if self.input.len() >= most {
                return Ok(true);
            }
            match (&*self.socket).read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Drops so many bytes from the front of `input`.
    pub fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        trim(&mut self.input);
    }

    /// Bytes to be sent with the next [`flush`](Self::flush).
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes not sent yet.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.output.len() - self.sent
    }

    /// Sends what the system takes; returns how many bytes that were.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn flush(&mut self) -> io::Result<usize> {
        let before = self.sent;
        while self.writable && self.unsent() > 0 {
            match (&*self.socket).write(&self.output[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let written = self.sent - before;
        if self.unsent() == 0 {
            self.output.clear();
            trim(&mut self.output);
            self.sent = 0;
        } else if self.sent > CHUNK {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
        Ok(written)
    }

    /// Sends no more; what the peer still sends can be read.
    pub fn finish(&self) {
        // A peer that is gone already is no failure.
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Gives back what an empty buffer has grown to. Guards against connections that each hold, for as long as they
/// stand, what their largest burst took.
fn trim(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > KEPT {
        buffer.shrink_to(KEPT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_empty_buffer_gives_back_what_a_burst_took() {
        let (event_loop, listener) =
            (calloop::EventLoop::try_new(), std::net::TcpListener::bind("127.0.0.1:0"));
        let (event_loop, listener) = (event_loop.expect("an event loop"), listener.expect("a port"));
        let address = listener.local_addr().expect("an address");
        let mut conn = Conn::connect(&event_loop.handle(), address, Party::Runtime).expect("it listens");
        conn.input = vec![0; 65_536];
        conn.consume(65_535);
        assert_eq!(conn.input.len(), 1);
        conn.consume(1);
        assert!(conn.input.capacity() <= KEPT);
        conn.output().extend_from_slice(&[0; 65_536]);
        conn.sent = 65_536;
        conn.flush().expect("nothing to send");
        assert!(conn.output.capacity() <= KEPT);
    }
}
