//! A stream socket in the event loop, with its bytes on the way in and out.

use super::world::{Readiness, Stream, World};
use super::Party;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

const CHUNK: usize = 16_384;
/// An empty buffer keeps this capacity.
const KEPT: usize = 4_096;

thread_local! {
    /// Bytes on their way from a socket to a connection's input. One for all: clearing one for each read took longer than
    /// the rest of it.
    static READING: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK]);
}

/// A connection. Its readiness is told once, so that it is kept here until a read or write uses it up.
pub struct Conn<W: World> {
    stream: W::Stream,
    readable: bool,
    writable: bool,
    /// Bytes read and not used yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    /// The peer sends no more.
    pub ended: bool,
}

impl<W: World> Conn<W> {
    /// One that stands or is being made.
    #[must_use]
    pub fn new(stream: W::Stream) -> Self {
        let (input, output) = (Vec::new(), Vec::new());
        Self { stream, readable: false, writable: false, input, output, sent: 0, ended: false }
    }

    /// Begins to connect; the first readiness tells how that went.
    ///
    /// # Errors
    /// Those of the system; a refusal may come at once.
    pub fn connect(world: &W, to: SocketAddr, party: Party) -> io::Result<Self> {
        world.connect(to, party).map(Self::new)
    }

    /// Notes what the event loop saw.
    pub fn note(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// The error that the socket holds, such as that of a connection that failed.
    ///
    /// # Errors
    /// That error.
    pub fn check(&self) -> io::Result<()> {
        self.stream.check()
    }

    /// Reads what has come until `input` holds `most`; true when more may be there.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn read(&mut self, most: usize) -> io::Result<bool> {
        while self.readable && !self.ended {
            if self.input.len() >= most {
                return Ok(true);
            }
            let (stream, input) = (&self.stream, &mut self.input);
            let read = READING.with_borrow_mut(|chunk| {
                let read = stream.read(chunk);
                if let Ok(n) = read {
                    input.extend_from_slice(&chunk[..n]);
                }
                read
            });
            match read {
                Ok(0) => self.ended = true,
                Ok(_) => {}
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
            match self.stream.write(&self.output[self.sent..]) {
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
        self.stream.finish();
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
    use crate::real::Real;

    #[test]
    fn an_empty_buffer_gives_back_what_a_burst_took() {
        let (event_loop, listener) =
            (calloop::EventLoop::try_new(), std::net::TcpListener::bind("127.0.0.1:0"));
        let (event_loop, listener) = (event_loop.expect("an event loop"), listener.expect("a port"));
        let address = listener.local_addr().expect("an address");
        let mut conn =
            Conn::connect(&Real::new(event_loop.handle()), address, Party::Runtime).expect("it listens");
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
