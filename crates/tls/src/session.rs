//! A TLS session as a state machine for both sides: takes ciphertext and returns plaintext, and the
//! other way round, without I/O. What a peer can make it buffer is bounded here.

use rustls::pki_types::ServerName;
use rustls::{
    ClientConfig, ClientConnection, Connection, HandshakeKind, ServerConfig, ServerConnection,
};
use std::io::{self, Read, Write};
use std::sync::Arc;

/// Maximum number of bytes of a handshake received from the peer; enough for a chain of a few
/// certificates and a large ClientHello.
pub const MAX_HANDSHAKE_BYTES: usize = 65_536;
/// Maximum number of consecutive bytes, after the handshake, of records without application data
/// (empty records, key updates, warnings, a rejected renegotiation); more of them end the session.
pub const MAX_BYTES_WITHOUT_DATA: usize = 32_768;

/// Why a session failed. If the protocol has an alert for it, [`Session::take_output`] returns it.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// An error reported by rustls.
    #[error("tls: {0}")]
    Protocol(#[from] rustls::Error),
    /// The handshake exceeded its limit of bytes.
    #[error("tls: the handshake took more than {MAX_HANDSHAKE_BYTES} bytes")]
    HandshakeTooLong,
    /// Too many consecutive records without application data.
    #[error("tls: {MAX_BYTES_WITHOUT_DATA} consecutive bytes of records without data")]
    TooManyBytesWithoutData,
    /// The name of the server is invalid.
    #[error("tls: invalid server name {0:?}")]
    InvalidServerName(String),
}

/// The result of [`decrypt`](Session::decrypt).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecryptOutcome {
    /// Whether the peer has sent close_notify, after which it sends no data.
    pub peer_closed: bool,
    /// Whether the handshake was completed by these bytes.
    pub handshake_completed: bool,
}

/// One side of a connection.
pub struct Session {
    inner: Connection,
    /// Number of bytes received during the handshake.
    handshake_bytes: usize,
    /// Number of bytes received since the last application data.
    bytes_without_data: usize,
}

impl Session {
    /// Creates the server side of an accepted connection.
    ///
    /// # Errors
    /// Returns an error if rustls can't create a session with the configuration.
    pub fn accept(config: Arc<ServerConfig>) -> Result<Self, SessionError> {
        Ok(Self::new(Connection::Server(ServerConnection::new(
            config,
        )?)))
    }

    /// Creates the client side of a connection to a server with this name (a host name or an
    /// address).
    ///
    /// # Errors
    /// Returns an error if the name is invalid, or rustls can't create a session.
    pub fn connect(config: Arc<ClientConfig>, name: &str) -> Result<Self, SessionError> {
        let server = ServerName::try_from(name.to_owned())
            .map_err(|_| SessionError::InvalidServerName(name.to_owned()))?;
        Ok(Self::new(Connection::Client(ClientConnection::new(
            config, server,
        )?)))
    }

    fn new(mut inner: Connection) -> Self {
        // The caller bounds what it writes; a partial write would lose a response here.
        inner.set_buffer_limit(None);
        Self {
            inner,
            handshake_bytes: 0,
            bytes_without_data: 0,
        }
    }

    /// Decrypts bytes received from the peer and appends the plaintext. Afterwards, also on an
    /// error, [`take_output`](Self::take_output) may have bytes to send: those of the handshake, or
    /// an alert.
    ///
    /// # Errors
    /// Returns an error if the peer violated the protocol or a limit; the session is over then.
    pub fn decrypt(
        &mut self,
        mut ciphertext: &[u8],
        plaintext: &mut Vec<u8>,
    ) -> Result<DecryptOutcome, SessionError> {
        let mut outcome = DecryptOutcome::default();
        let was_handshaking = self.inner.is_handshaking();
        while !ciphertext.is_empty() {
            let before = ciphertext.len();
            match self.inner.read_tls(&mut ciphertext) {
                Ok(_) => {}
                // The buffer of rustls is full of unread plaintext, which is read below.
                Err(e) if e.kind() == io::ErrorKind::Other && before == ciphertext.len() => {}
                Err(e) => {
                    return Err(SessionError::Protocol(rustls::Error::General(
                        e.to_string(),
                    )))
                }
            }
            let consumed = before - ciphertext.len();
            let state = self.inner.process_new_packets()?;
            if self.inner.is_handshaking() {
                self.handshake_bytes += consumed;
                if self.handshake_bytes > MAX_HANDSHAKE_BYTES {
                    return Err(SessionError::HandshakeTooLong);
                }
            }
            let plaintext_bytes = state.plaintext_bytes_to_read();
            let start = plaintext.len();
            if plaintext_bytes > 0 {
                plaintext.resize(start + plaintext_bytes, 0);
                let read = self
                    .inner
                    .reader()
                    .read(&mut plaintext[start..])
                    .unwrap_or(0);
                plaintext.truncate(start + read);
            }
            if state.peer_has_closed() {
                outcome.peer_closed = true;
            }
            if plaintext.len() > start {
                self.bytes_without_data = 0;
            } else if !self.inner.is_handshaking() && !was_handshaking {
                self.bytes_without_data += consumed;
                if self.bytes_without_data > MAX_BYTES_WITHOUT_DATA {
                    return Err(SessionError::TooManyBytesWithoutData);
                }
            }
            if consumed == 0 && plaintext_bytes == 0 {
                if outcome.peer_closed {
                    // Data after close_notify are discarded.
                    break;
                }
                // No progress is possible: rustls accepts no input until its plaintext is read, and
                // there is none.
                return Err(SessionError::Protocol(rustls::Error::General(
                    "no progress".to_owned(),
                )));
            }
        }
        outcome.handshake_completed = was_handshaking && !self.inner.is_handshaking();
        Ok(outcome)
    }

    /// Encrypts data to be sent; before the end of the handshake they are buffered.
    pub fn encrypt(&mut self, plaintext: &[u8]) {
        // Can't fail: the buffer has no limit.
        let _ = self.inner.writer().write_all(plaintext);
    }

    /// Appends the bytes to be sent to the peer.
    pub fn take_output(&mut self, ciphertext: &mut Vec<u8>) {
        while self.inner.wants_write() {
            match self.inner.write_tls(ciphertext) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
    }

    /// Returns whether [`take_output`](Self::take_output) has bytes to send.
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.inner.wants_write()
    }

    /// Sends close_notify, which the next [`take_output`](Self::take_output) returns.
    pub fn send_close_notify(&mut self) {
        self.inner.send_close_notify();
    }

    /// Returns whether the handshake is not completed yet.
    #[must_use]
    pub fn is_handshaking(&self) -> bool {
        self.inner.is_handshaking()
    }

    /// Returns whether the handshake resumed an earlier session.
    #[must_use]
    pub fn is_resumed(&self) -> bool {
        self.inner.handshake_kind() == Some(HandshakeKind::Resumed)
    }

    /// Returns the negotiated version, as `1.2` or `1.3`.
    #[must_use]
    pub fn protocol_version(&self) -> Option<&'static str> {
        self.inner.protocol_version().map(|version| match version {
            rustls::ProtocolVersion::TLSv1_3 => "1.3",
            rustls::ProtocolVersion::TLSv1_2 => "1.2",
            _ => "?",
        })
    }

    /// Returns the names that the peer's certificate was issued for, if it has one; it was verified
    /// against the roots.
    #[must_use]
    pub fn peer_names(&self) -> Vec<String> {
        let chain = self.inner.peer_certificates();
        chain
            .and_then(|chain| chain.first())
            .map(|leaf| crate::certificate::certificate_names(leaf))
            .unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
