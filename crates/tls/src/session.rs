//! A TLS session as a state machine: ciphertext in, plaintext out, and the other way, with nothing read or written by
//! itself. The same for both sides; what a peer may make it hold is bounded here.

use rustls::pki_types::ServerName;
use rustls::{
    ClientConfig, ClientConnection, Connection, HandshakeKind, ServerConfig, ServerConnection,
};
use std::io::{self, Read, Write};
use std::sync::Arc;

/// Bytes that a handshake may take from the peer: a chain of a few certificates and a large hello.
pub const MAX_HANDSHAKE_BYTES: usize = 65_536;
/// Bytes of records that carry nothing for us (empty ones, key updates, warnings, a refused renegotiation) that are
/// taken in a row after the handshake; one more closes the connection.
pub const MAX_BYTES_WITHOUT_DATA: usize = 32_768;

/// Why a session ends on the peer's account. Where the protocol has an alert, it waits in [`Session::take_output`].
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// What rustls found.
    #[error("tls: {0}")]
    Protocol(#[from] rustls::Error),
    /// The handshake took more bytes than it may.
    #[error("tls: the handshake took more than {MAX_HANDSHAKE_BYTES} bytes")]
    HandshakeTooLong,
    /// Records that carry nothing came on and on.
    #[error("tls: {MAX_BYTES_WITHOUT_DATA} bytes of records that carry nothing")]
    TooManyBytesWithoutData,
    /// The name to connect to is none.
    #[error("tls: {0:?} is no name to connect to")]
    InvalidServerName(String),
}

/// What [`decrypt`](Session::decrypt) came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecryptOutcome {
    /// The peer has said that it sends no more (close_notify).
    pub peer_closed: bool,
    /// The handshake ended with these bytes.
    pub handshake_completed: bool,
}

/// One side of a connection.
pub struct Session {
    inner: Connection,
    /// Bytes taken during the handshake.
    handshake: usize,
    /// Bytes taken since the last that carried something.
    useless: usize,
}

impl Session {
    /// The server's side of a connection that was accepted.
    ///
    /// # Errors
    /// Where rustls can't make one with what it shares.
    pub fn accept(config: Arc<ServerConfig>) -> Result<Self, SessionError> {
        Ok(Self::new(Connection::Server(ServerConnection::new(
            config,
        )?)))
    }

    /// The client's side of a connection to a server of this name (a host's name or an address).
    ///
    /// # Errors
    /// Where the name is none, or rustls can't make one.
    pub fn connect(config: Arc<ClientConfig>, name: &str) -> Result<Self, SessionError> {
        let server = ServerName::try_from(name.to_owned())
            .map_err(|_| SessionError::InvalidServerName(name.to_owned()))?;
        Ok(Self::new(Connection::Client(ClientConnection::new(
            config, server,
        )?)))
    }

    fn new(mut inner: Connection) -> Self {
        // What is written is bounded by whoever writes it; a short write would lose an answer here.
        inner.set_buffer_limit(None);
        Self {
            inner,
            handshake: 0,
            useless: 0,
        }
    }

    /// Takes what came from the peer and appends what it carried. Whatever comes of it, [`take_output`](Self::take_output) may
    /// have bytes to send: the handshake's, or an alert.
    ///
    /// # Errors
    /// Where the peer broke the protocol or the bounds; the session is over then.
    pub fn decrypt(
        &mut self,
        mut cipher: &[u8],
        plain: &mut Vec<u8>,
    ) -> Result<DecryptOutcome, SessionError> {
        let mut opened = DecryptOutcome::default();
        let handshaking = self.inner.is_handshaking();
        while !cipher.is_empty() {
            let before = cipher.len();
            match self.inner.read_tls(&mut cipher) {
                Ok(_) => {}
                // Its buffer is full of what it has not handed out; that is done below.
                Err(e) if e.kind() == io::ErrorKind::Other && before == cipher.len() => {}
                Err(e) => {
                    return Err(SessionError::Protocol(rustls::Error::General(
                        e.to_string(),
                    )))
                }
            }
            let taken = before - cipher.len();
            let state = self.inner.process_new_packets()?;
            if self.inner.is_handshaking() {
                self.handshake += taken;
                if self.handshake > MAX_HANDSHAKE_BYTES {
                    return Err(SessionError::HandshakeTooLong);
                }
            }
            let came = state.plaintext_bytes_to_read();
            let start = plain.len();
            if came > 0 {
                plain.resize(start + came, 0);
                let read = self.inner.reader().read(&mut plain[start..]).unwrap_or(0);
                plain.truncate(start + read);
            }
            if state.peer_has_closed() {
                opened.peer_closed = true;
            }
            if plain.len() > start {
                self.useless = 0;
            } else if !self.inner.is_handshaking() && !handshaking {
                self.useless += taken;
                if self.useless > MAX_BYTES_WITHOUT_DATA {
                    return Err(SessionError::TooManyBytesWithoutData);
                }
            }
            if taken == 0 && came == 0 {
                if opened.peer_closed {
                    // What comes after the peer's last word is nobody's.
                    break;
                }
                // Nothing moves: rustls takes no more until it is read, and nothing is there to read.
                return Err(SessionError::Protocol(rustls::Error::General(
                    "no progress".to_owned(),
                )));
            }
        }
        opened.handshake_completed = handshaking && !self.inner.is_handshaking();
        Ok(opened)
    }

    /// Sends this; before the end of the handshake it waits for it.
    pub fn encrypt(&mut self, plain: &[u8]) {
        // Without a limit on the buffer, writing takes everything.
        let _ = self.inner.writer().write_all(plain);
    }

    /// Appends what is to be sent to the peer.
    pub fn take_output(&mut self, cipher: &mut Vec<u8>) {
        while self.inner.wants_write() {
            match self.inner.write_tls(cipher) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
    }

    /// Whether there is something for [`take_output`](Self::take_output).
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.inner.wants_write()
    }

    /// Says that nothing more is sent (close_notify); it goes out with the next [`take_output`](Self::take_output).
    pub fn send_close_notify(&mut self) {
        self.inner.send_close_notify();
    }

    /// The handshake is not over.
    #[must_use]
    pub fn is_handshaking(&self) -> bool {
        self.inner.is_handshaking()
    }

    /// The handshake resumed an earlier session.
    #[must_use]
    pub fn is_resumed(&self) -> bool {
        self.inner.handshake_kind() == Some(HandshakeKind::Resumed)
    }

    /// The version agreed on, as `1.2` or `1.3`.
    #[must_use]
    pub fn protocol_version(&self) -> Option<&'static str> {
        self.inner.protocol_version().map(|version| match version {
            rustls::ProtocolVersion::TLSv1_3 => "1.3",
            rustls::ProtocolVersion::TLSv1_2 => "1.2",
            _ => "?",
        })
    }

    /// The names that the peer's certificate was issued for, where it showed one; it was checked against the roots.
    #[must_use]
    pub fn peer_names(&self) -> Vec<String> {
        let chain = self.inner.peer_certificates();
        chain
            .and_then(|chain| chain.first())
            .map(|end| crate::certificate::certificate_names(end))
            .unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
