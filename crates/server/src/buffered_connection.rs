//! A stream socket in the event loop, with its bytes on the way in and out.

use super::host::{Host, Readiness, Stream};
use super::tls_layer::TlsLayer;
use super::SocketOwner;
use std::cell::RefCell;
use std::collections::VecDeque;
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
pub struct BufferedConnection<H: Host> {
    stream: H::Stream,
    readable: bool,
    writable: bool,
    /// Bytes read and not used yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    /// The peer sends no more.
    pub ended: bool,
    /// TLS, where it is spoken: `input` and what [`output`](Self::output) gives are then the plain bytes.
    layer: Option<Box<TlsLayer>>,
    /// Plain bytes to be sealed with the next [`flush`](Self::flush).
    plain: Vec<u8>,
    /// Over TLS: bytes sent in all, and where in them the plain bytes sealed so far end. What has been handed to the
    /// system counts in plain bytes: a caller that asks whether a request may have arrived means those.
    sent_in_all: u64,
    sealed: VecDeque<(u64, u64)>,
    plain_in_all: u64,
    plain_sent: u64,
}

impl<H: Host> BufferedConnection<H> {
    /// One that stands or is being made.
    #[must_use]
    pub fn new(stream: H::Stream) -> Self {
        let (input, output) = (Vec::new(), Vec::new());
        let (layer, plain, sealed) = (None, Vec::new(), VecDeque::new());
        Self {
            stream,
            readable: false,
            writable: false,
            input,
            output,
            sent: 0,
            ended: false,
            layer,
            plain,
            sent_in_all: 0,
            sealed,
            plain_in_all: 0,
            plain_sent: 0,
        }
    }

    /// Speaks TLS from here on.
    pub fn set_tls(&mut self, layer: TlsLayer) {
        self.layer = Some(Box::new(layer));
    }

    /// Its TLS, where it speaks it.
    #[must_use]
    pub fn layer(&self) -> Option<&TlsLayer> {
        self.layer.as_deref()
    }

    /// The same, to be changed.
    pub fn layer_mut(&mut self) -> Option<&mut TlsLayer> {
        self.layer.as_deref_mut()
    }

    /// Tells a client whose handshake does not begin so, in plain, as far as the system takes it at once.
    pub fn refuse_tls(&mut self) {
        self.output.extend_from_slice(&super::tls_layer::BUSY_ALERT);
        self.writable = true;
        let _ = self.flush();
    }

    /// The handshake begins with this setup, where it waited for its turn.
    ///
    /// # Errors
    /// Where what came breaks the protocol.
    pub fn begin(
        &mut self,
        config: std::sync::Arc<cleatpulley_tls::rustls::ServerConfig>,
    ) -> io::Result<()> {
        let Some(layer) = self.layer.as_deref_mut() else {
            return Ok(());
        };
        let closed = layer.begin(config, &mut self.input, &mut self.output);
        self.ended |= closed?;
        Ok(())
    }

    /// Begins to connect; the first readiness tells how that went.
    ///
    /// # Errors
    /// Those of the system; a refusal may come at once.
    pub fn connect(world: &H, to: SocketAddr, party: SocketOwner) -> io::Result<Self> {
        world.connect(to, party).map(Self::new)
    }

    /// Notes what the event loop saw.
    pub fn on_readiness(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// The error that the socket holds, such as that of a connection that failed.
    ///
    /// # Errors
    /// That error.
    pub fn take_error(&self) -> io::Result<()> {
        self.stream.take_error()
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
            if self.layer.as_deref().is_some_and(TlsLayer::holds_back) {
                // What comes before the handshake may begin stays with the system.
                return Ok(false);
            }
            let (stream, input, layer, output) = (
                &self.stream,
                &mut self.input,
                &mut self.layer,
                &mut self.output,
            );
            let mut closed = Ok(false);
            let read = READING.with_borrow_mut(|chunk| {
                let read = stream.read(chunk);
                if let Ok(n) = read {
                    match layer {
                        None => input.extend_from_slice(&chunk[..n]),
                        Some(layer) if n > 0 => closed = layer.take(&chunk[..n], input, output),
                        Some(_) => {}
                    }
                }
                read
            });
            if let Err(e) = closed {
                // An alert goes out where it can.
                self.writable = true;
                let _ = self.flush();
                return Err(e);
            }
            match read {
                Ok(0) => self.ended = true,
                Ok(_) => self.ended |= closed.unwrap_or(false),
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Nothing is known to wait unread, and no part of a message is held.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        !self.readable && self.input.is_empty()
    }

    /// Drops so many bytes from the front of `input`.
    pub fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        trim(&mut self.input);
    }

    /// Bytes to be sent with the next [`flush`](Self::flush).
    pub fn output(&mut self) -> &mut Vec<u8> {
        match self.layer {
            None => &mut self.output,
            Some(_) => &mut self.plain,
        }
    }

    /// Bytes not sent yet.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.output.len() - self.sent + self.plain.len()
    }

    /// Sends what the system takes; returns how many bytes that were, over TLS how many plain bytes were sent whole.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn flush(&mut self) -> io::Result<usize> {
        let Some(layer) = self.layer.as_deref_mut() else {
            return self.send();
        };
        let sealing = self.plain.len() as u64;
        layer.seal(&mut self.plain, &mut self.output);
        trim(&mut self.plain);
        if sealing > 0 && self.plain.is_empty() {
            self.plain_in_all += sealing;
            let end = self.sent_in_all + (self.output.len() - self.sent) as u64;
            self.sealed.push_back((end, self.plain_in_all));
        }
        let written = self.send();
        let before = self.plain_sent;
        while let Some(&(_, upto)) = self
            .sealed
            .front()
            .filter(|(end, _)| *end <= self.sent_in_all)
        {
            self.plain_sent = upto;
            self.sealed.pop_front();
        }
        written?;
        Ok(usize::try_from(self.plain_sent - before).unwrap_or(usize::MAX))
    }

    fn send(&mut self) -> io::Result<usize> {
        let before = self.sent;
        // Plain bytes that wait for a session are not among these.
        while self.writable && self.output.len() > self.sent {
            match self.stream.write(&self.output[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let written = self.sent - before;
        self.sent_in_all += written as u64;
        if self.output.len() == self.sent {
            self.output.clear();
            trim(&mut self.output);
            self.sent = 0;
        } else if self.sent > CHUNK {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
        Ok(written)
    }

    /// Sends no more; what the peer still sends can be read. Over TLS the peer is told so first, as far as the system
    /// takes it at once.
    pub fn shutdown_write(&mut self) {
        if let Some(layer) = self.layer.as_deref_mut() {
            layer.close(&mut self.output);
            let _ = self.flush();
        }
        self.stream.shutdown_write();
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
    use crate::os_host::OsHost;

    #[test]
    fn an_empty_buffer_gives_back_what_a_burst_took() {
        let (event_loop, listener) = (
            calloop::EventLoop::try_new(),
            std::net::TcpListener::bind("127.0.0.1:0"),
        );
        let (event_loop, listener) = (
            event_loop.expect("an event loop"),
            listener.expect("a port"),
        );
        let address = listener.local_addr().expect("an address");
        let mut conn = BufferedConnection::connect(
            &OsHost::new(event_loop.handle()),
            address,
            SocketOwner::Runtime,
        )
        .expect("it listens");
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
