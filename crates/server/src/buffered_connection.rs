//! A stream socket with its bytes on the way in and out, optionally over TLS.

mod tls_stream;

use crate::host::{Host, Readiness, Stream};
use crate::socket_owner::SocketOwner;
use crate::tls_layer::{TlsLayer, BUSY_ALERT};
use cleatpulley_tls::rustls::ServerConfig;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use tls_stream::TlsStream;

/// Bytes that are read from a socket at once. So many sent bytes may stay in the output.
const CHUNK_BYTES: usize = 16_384;
/// The capacity that an empty buffer keeps.
const KEPT_CAPACITY: usize = 4_096;

thread_local! {
    /// Bytes on their way from a socket to the input of a connection. There is one for all
    /// connections, since clearing one for each read took longer than the rest of it.
    static READ_CHUNK: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK_BYTES]);
}

/// A connection with its buffers. The event loop reports its readiness once, which is therefore
/// remembered here until a read or write uses it up.
pub struct BufferedConnection<H: Host> {
    stream: H::Stream,
    readable: bool,
    writable: bool,
    /// Bytes that were read and not consumed yet; over TLS, plain bytes.
    pub input: Vec<u8>,
    /// Bytes for the socket; over TLS, records.
    output: Vec<u8>,
    /// Bytes at the front of `output` that were sent already.
    sent: usize,
    /// Bytes sent in all.
    sent_total: u64,
    /// The peer sends no more.
    pub is_read_closed: bool,
    /// None where no TLS is spoken.
    tls: Option<Box<TlsStream>>,
}

impl<H: Host> BufferedConnection<H> {
    /// Wraps a stream that is connected or being connected.
    #[must_use]
    pub fn new(stream: H::Stream) -> Self {
        Self {
            stream,
            readable: false,
            writable: false,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            sent_total: 0,
            is_read_closed: false,
            tls: None,
        }
    }

    /// Begins to connect; the first readiness reports how that went.
    ///
    /// # Errors
    /// Those of the system; a refusal may come at once.
    pub fn connect(host: &H, address: SocketAddr, owner: SocketOwner) -> io::Result<Self> {
        host.connect(address, owner).map(Self::new)
    }

    /// Speaks TLS from here on.
    pub fn set_tls(&mut self, layer: TlsLayer) {
        self.tls = Some(Box::new(TlsStream::new(layer)));
    }

    /// Returns its TLS layer, where it speaks TLS.
    #[must_use]
    pub fn layer(&self) -> Option<&TlsLayer> {
        self.tls.as_ref().map(|tls| &tls.layer)
    }

    /// Returns its TLS layer to change it, where it speaks TLS.
    pub fn layer_mut(&mut self) -> Option<&mut TlsLayer> {
        self.tls.as_mut().map(|tls| &mut tls.layer)
    }

    /// Begins the handshake that waited for its turn, with this configuration.
    ///
    /// # Errors
    /// Where what was received breaks the protocol.
    pub fn begin_handshake(&mut self, config: Arc<ServerConfig>) -> io::Result<()> {
        if let Some(tls) = &mut self.tls {
            self.is_read_closed |= tls.layer.begin(config, &mut self.input, &mut self.output)?;
        }
        Ok(())
    }

    /// Sends a client whose handshake does not begin an alert in plain, as far as the system takes
    /// it at once.
    pub fn reject_handshake(&mut self) {
        self.output.extend_from_slice(&BUSY_ALERT);
        self.writable = true;
        let _ = self.flush();
    }

    /// Notes what the event loop saw.
    pub fn on_readiness(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// Returns the error that the socket holds, such as that of a failed attempt to connect.
    ///
    /// # Errors
    /// That error.
    pub fn take_error(&self) -> io::Result<()> {
        self.stream.take_error()
    }

    /// Reads until `input` holds `limit` bytes or nothing more has arrived. Returns true where more
    /// may be there.
    ///
    /// # Errors
    /// Why the connection broke.
    pub fn read(&mut self, limit: usize) -> io::Result<bool> {
        while self.readable && !self.is_read_closed {
            if self.input.len() >= limit {
                return Ok(true);
            }
            if self.layer().is_some_and(TlsLayer::holds_back) {
                // What arrives before the handshake may begin stays with the system.
                return Ok(false);
            }
            self.read_chunk()?;
        }
        Ok(false)
    }

    fn read_chunk(&mut self) -> io::Result<()> {
        let mut received = Ok(false);
        let read = READ_CHUNK.with_borrow_mut(|chunk| {
            let read = self.stream.read(chunk);
            if let Ok(length) = read {
                let bytes = &chunk[..length];
                match &mut self.tls {
                    None => self.input.extend_from_slice(bytes),
                    Some(tls) if length > 0 => {
                        received = tls.layer.receive(bytes, &mut self.input, &mut self.output);
                    }
                    Some(_) => {}
                }
            }
            read
        });
        if let Err(error) = received {
            // An alert is sent where that is possible.
            self.writable = true;
            let _ = self.flush();
            return Err(error);
        }
        match read {
            Ok(0) => self.is_read_closed = true,
            Ok(_) => self.is_read_closed |= received.unwrap_or(false),
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.readable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Returns true where nothing is known to wait unread and no partial message is held.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        !self.readable && self.input.is_empty()
    }

    /// Drops so many bytes from the front of `input`.
    pub fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        trim(&mut self.input);
    }

    /// Returns the buffer of bytes to be sent with the next [`flush`](Self::flush).
    pub fn output(&mut self) -> &mut Vec<u8> {
        match &mut self.tls {
            None => &mut self.output,
            Some(tls) => &mut tls.plain_output,
        }
    }

    /// Returns the number of bytes that were not sent yet.
    #[must_use]
    pub fn unsent_bytes(&self) -> usize {
        let plain = self.tls.as_ref().map_or(0, |tls| tls.plain_output.len());
        self.output.len() - self.sent + plain
    }

    /// Sends what the system takes. Returns how many bytes that were; over TLS, how many plain
    /// bytes were sent completely.
    ///
    /// # Errors
    /// Why the connection broke.
    pub fn flush(&mut self) -> io::Result<usize> {
        let unsent_start = self.sent_total - self.sent as u64;
        let Some(tls) = &mut self.tls else {
            return self.send();
        };
        tls.seal(&mut self.output, unsent_start);
        trim(&mut tls.plain_output);
        let sent = self.send();
        let plain_sent = match &mut self.tls {
            Some(tls) => tls.on_sent(self.sent_total),
            None => 0,
        };
        sent?;
        Ok(plain_sent)
    }

    fn send(&mut self) -> io::Result<usize> {
        let sent_before = self.sent;
        // Plain bytes that wait for a TLS session are not among these.
        while self.writable && self.output.len() > self.sent {
            match self.stream.write(&self.output[self.sent..]) {
                Ok(length) => self.sent += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let sent = self.sent - sent_before;
        self.sent_total += sent as u64;
        if self.output.len() == self.sent {
            self.output.clear();
            trim(&mut self.output);
            self.sent = 0;
        } else if self.sent > CHUNK_BYTES {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
        Ok(sent)
    }

    /// Closes the write side; what the peer still sends can be read. Over TLS the peer is notified
    /// first, as far as the system takes that at once.
    pub fn shutdown_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.layer.close(&mut self.output);
            let _ = self.flush();
        }
        self.stream.shutdown_write();
    }
}

/// Gives back the capacity that an empty buffer has grown to. Guards against connections that each
/// hold, for as long as they last, what their largest burst took.
fn trim(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > KEPT_CAPACITY {
        buffer.shrink_to(KEPT_CAPACITY);
    }
}

#[cfg(test)]
mod tests;
