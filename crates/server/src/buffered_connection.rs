//! A stream socket with input and output buffers, optionally over TLS.

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

/// Number of bytes of one read from a socket. The output buffer is compacted once it holds more
/// sent bytes than this.
const READ_CHUNK_BYTES: usize = 16_384;
/// Step by which the buffer of received bytes grows.
const BUFFER_GROWTH_BYTES: usize = 4_096;
/// Maximum capacity of an empty buffer.
const MAX_IDLE_CAPACITY_BYTES: usize = 4_096;

thread_local! {
    /// Buffer between a socket and the input of a connection. All connections share it, since
    /// zeroing a buffer for each read took longer than the rest of the read.
    static READ_CHUNK: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_CHUNK_BYTES]);
}

/// A connection with its buffers. The event loop reports readiness by edges, so it is stored here
/// until a read or write would block.
pub struct BufferedConnection<H: Host> {
    stream: H::Stream,
    readable: bool,
    writable: bool,
    /// Received bytes that are not consumed yet; plaintext over TLS.
    pub input: Vec<u8>,
    /// Bytes for the socket; TLS records over TLS.
    output: Vec<u8>,
    /// Number of bytes at the front of `output` that have been sent.
    sent_bytes: usize,
    /// Total number of bytes sent.
    total_sent_bytes: u64,
    /// The peer has closed its write side.
    pub is_read_closed: bool,
    /// `None` without TLS.
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
            sent_bytes: 0,
            total_sent_bytes: 0,
            is_read_closed: false,
            tls: None,
        }
    }

    /// Begins to connect; the first readiness event signals success or failure.
    ///
    /// # Errors
    /// Errors of the operating system; the connection may be refused immediately.
    pub fn connect(host: &H, address: SocketAddr, owner: SocketOwner) -> io::Result<Self> {
        host.connect(address, owner).map(Self::new)
    }

    /// Enables TLS on the connection.
    pub fn set_tls(&mut self, layer: TlsLayer) {
        self.tls = Some(Box::new(TlsStream::new(layer)));
    }

    /// Returns the TLS layer, if TLS is enabled.
    #[must_use]
    pub fn tls_layer(&self) -> Option<&TlsLayer> {
        self.tls.as_ref().map(|tls| &tls.layer)
    }

    /// Returns the mutable TLS layer, if TLS is enabled.
    pub fn tls_layer_mut(&mut self) -> Option<&mut TlsLayer> {
        self.tls.as_mut().map(|tls| &mut tls.layer)
    }

    /// Begins the queued handshake with this configuration.
    ///
    /// # Errors
    /// If the received bytes violate the protocol.
    pub fn begin_handshake(&mut self, config: Arc<ServerConfig>) -> io::Result<()> {
        if let Some(tls) = &mut self.tls {
            self.is_read_closed |= tls.layer.begin(config, &mut self.input, &mut self.output)?;
        }
        Ok(())
    }

    /// Sends an unencrypted alert to a client whose handshake is rejected, as far as the socket
    /// accepts it without blocking.
    pub fn reject_handshake(&mut self) {
        self.output.extend_from_slice(&BUSY_ALERT);
        self.writable = true;
        let _ = self.flush();
    }

    /// Records the readiness reported by the event loop.
    pub fn on_readiness(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// Returns the pending socket error (SO_ERROR), such as that of a failed connection attempt.
    ///
    /// # Errors
    /// The pending socket error.
    pub fn take_error(&self) -> io::Result<()> {
        self.stream.take_error()
    }

    /// Reads until `input` holds `limit` bytes, as many have been received in this call, or no more
    /// bytes are available. Returns true if more may be available.
    ///
    /// # Errors
    /// The error that broke the connection.
    pub fn read(&mut self, limit: usize) -> io::Result<bool> {
        // Over TLS, records with little data or none would otherwise be read without end.
        let mut received = 0;
        while self.readable && !self.is_read_closed {
            if self.input.len() >= limit || received >= limit {
                return Ok(true);
            }
            if self.tls_layer().is_some_and(TlsLayer::is_reading_paused) {
                // Bytes that arrive before the handshake may begin stay in the socket's receive
                // buffer.
                return Ok(false);
            }
            received += self.read_chunk()?;
        }
        Ok(false)
    }

    /// Reads once; returns the number of bytes received.
    fn read_chunk(&mut self) -> io::Result<usize> {
        let mut received = Ok(false);
        let read = READ_CHUNK.with_borrow_mut(|chunk| {
            let read = self.stream.read(chunk);
            if let Ok(length) = read {
                let bytes = &chunk[..length];
                match &mut self.tls {
                    None => {
                        reserve(&mut self.input, bytes.len());
                        self.input.extend_from_slice(bytes);
                    }
                    Some(tls) if length > 0 => {
                        received = tls.layer.receive(bytes, &mut self.input, &mut self.output);
                    }
                    Some(_) => {}
                }
            }
            read
        });
        if let Err(error) = received {
            // Sends the alert if possible.
            self.writable = true;
            let _ = self.flush();
            return Err(error);
        }
        match read {
            Ok(0) => self.is_read_closed = true,
            Ok(length) => {
                self.is_read_closed |= received.unwrap_or(false);
                return Ok(length);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.readable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        Ok(0)
    }

    /// Returns true if the socket is not known to be readable and no partial message is buffered.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        !self.readable && self.input.is_empty()
    }

    /// Removes `used` bytes from the front of `input`.
    pub fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        shrink_if_empty(&mut self.input);
        // An incomplete message does not keep the memory of a burst before it.
        if self.input.capacity() > self.input.len() + 2 * BUFFER_GROWTH_BYTES {
            self.input.shrink_to(self.input.len());
        }
    }

    /// Returns the buffer of the bytes to send with the next [`flush`](Self::flush).
    pub fn output(&mut self) -> &mut Vec<u8> {
        match &mut self.tls {
            None => &mut self.output,
            Some(tls) => &mut tls.plain_output,
        }
    }

    /// Removes `length` bytes that are followed by `bytes_after` in the buffer of [`output`](Self::output).
    /// Returns false if some of them were sent, or sealed in a TLS record.
    pub fn withdraw(&mut self, length: usize, bytes_after: usize) -> bool {
        let sent_bytes = if self.tls.is_some() {
            0
        } else {
            self.sent_bytes
        };
        let buffer = self.output();
        let Some(end) = buffer.len().checked_sub(bytes_after) else {
            return false;
        };
        match end.checked_sub(length) {
            Some(start) if start >= sent_bytes => {
                buffer.drain(start..end);
                true
            }
            _ => false,
        }
    }

    /// Returns the number of bytes not sent yet.
    #[must_use]
    pub fn unsent_bytes(&self) -> usize {
        let plain = self.tls.as_ref().map_or(0, |tls| tls.plain_output.len());
        self.output.len() - self.sent_bytes + plain
    }

    /// Sends as many bytes as the socket accepts. Returns the number of bytes sent; over TLS, the
    /// number of plaintext bytes whose records were sent completely.
    ///
    /// # Errors
    /// The error that broke the connection.
    pub fn flush(&mut self) -> io::Result<usize> {
        let unsent_start = self.total_sent_bytes - self.sent_bytes as u64;
        let Some(tls) = &mut self.tls else {
            return self.send();
        };
        tls.seal(&mut self.output, unsent_start);
        shrink_if_empty(&mut tls.plain_output);
        let sent = self.send();
        let plain_sent_bytes = match &mut self.tls {
            Some(tls) => tls.on_sent(self.total_sent_bytes),
            None => 0,
        };
        sent?;
        Ok(plain_sent_bytes)
    }

    fn send(&mut self) -> io::Result<usize> {
        let sent_before = self.sent_bytes;
        // Plaintext that waits for a TLS session is not in `output`.
        while self.writable && self.output.len() > self.sent_bytes {
            match self.stream.write(&self.output[self.sent_bytes..]) {
                Ok(length) => self.sent_bytes += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let sent = self.sent_bytes - sent_before;
        self.total_sent_bytes += sent as u64;
        if self.output.len() == self.sent_bytes {
            self.output.clear();
            shrink_if_empty(&mut self.output);
            self.sent_bytes = 0;
        } else if self.sent_bytes > READ_CHUNK_BYTES {
            self.output.drain(..self.sent_bytes);
            self.sent_bytes = 0;
        }
        Ok(sent)
    }

    /// Closes the write side; the read side stays open. Over TLS a close alert is sent first, as
    /// far as the socket accepts it without blocking.
    pub fn shutdown_write(&mut self) {
        if let Some(tls) = &mut self.tls {
            tls.layer.close(&mut self.output);
            let _ = self.flush();
        }
        self.stream.shutdown_write();
    }
}

/// Reserves room for `length` more bytes, in small steps: doubling would give an incomplete message up to twice
/// its memory.
fn reserve(buffer: &mut Vec<u8>, length: usize) {
    let needed = buffer.len() + length;
    if needed > buffer.capacity() {
        let rounded = needed.next_multiple_of(BUFFER_GROWTH_BYTES);
        buffer.reserve_exact(rounded - buffer.len());
    }
}

/// Shrinks an empty buffer that has grown. Otherwise each connection would keep the memory of its
/// largest burst until it closes.
fn shrink_if_empty(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_CAPACITY_BYTES {
        buffer.shrink_to(MAX_IDLE_CAPACITY_BYTES);
    }
}

#[cfg(test)]
mod tests;
