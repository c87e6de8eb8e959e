//! The TLS of one connection, between the bytes of its socket and its protocol.

use cleatpulley_tls::client_hello::{self, ClientHello, MAX_RECORD_BYTES, RECORD_HEADER_BYTES};
use cleatpulley_tls::rustls::ServerConfig;
use cleatpulley_tls::session::Session;
use std::io;
use std::sync::Arc;

/// A fatal alert (internal_error, RFC 8446 section 6.2), in plain: a client that gets no handshake
/// is sent it before its connection closes. TLS has no alert for "busy"; this one makes no client
/// believe that its offer was at fault.
pub const BUSY_ALERT: [u8; 7] = [21, 3, 3, 0, 2, 2, 80];
/// Bytes that a client may send while its handshake waits for its turn.
const MAX_HELD_BYTES: usize = 65_536;

/// Why a connection breaks in its TLS.
#[derive(Debug, thiserror::Error)]
enum TlsError {
    #[error("tls: the first record is too long")]
    FirstRecordTooLong,
    #[error("tls: too much sent before the handshake could begin")]
    TooMuchHeld,
    /// What the hello or the session reports.
    #[error("{0}")]
    Protocol(String),
}

impl From<TlsError> for io::Error {
    fn from(error: TlsError) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

fn protocol_error(error: impl std::fmt::Display) -> TlsError {
    TlsError::Protocol(error.to_string())
}

/// How far the TLS of a connection has come.
pub enum TlsLayer {
    /// The first record arrives.
    Hello(Vec<u8>),
    /// The first record is complete; the handshake waits for its turn.
    Offered {
        /// The bytes received so far.
        bytes: Vec<u8>,
        /// What the client offers.
        offer: ClientHello,
        /// It was decided when the handshake runs.
        is_decided: bool,
    },
    /// The handshake runs or has ended.
    Open {
        /// The session.
        session: Box<Session>,
        /// The end of the handshake was reported.
        is_reported: bool,
    },
}

impl TlsLayer {
    /// Creates the layer of a connection that was accepted.
    #[must_use]
    pub fn new() -> Self {
        Self::Hello(Vec::new())
    }

    /// Creates the layer of a connection that this side makes.
    #[must_use]
    pub fn client(session: Session) -> Self {
        Self::open(session)
    }

    fn open(session: Session) -> Self {
        Self::Open {
            session: Box::new(session),
            is_reported: false,
        }
    }

    /// Takes bytes that were received: what they carry is appended to `plain`, what is to be sent
    /// to `output`. Returns true where the peer has announced that it sends no more.
    ///
    /// # Errors
    /// Where the peer broke the protocol; `output` may hold an alert then.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        plain: &mut Vec<u8>,
        output: &mut Vec<u8>,
    ) -> io::Result<bool> {
        match self {
            Self::Hello(held) => {
                held.extend_from_slice(bytes);
                self.parse_hello()?;
                Ok(false)
            }
            Self::Offered { bytes: held, .. } => {
                held.extend_from_slice(bytes);
                if held.len() > MAX_HELD_BYTES {
                    return Err(TlsError::TooMuchHeld.into());
                }
                Ok(false)
            }
            Self::Open { session, .. } => {
                let opened = session.decrypt(bytes, plain);
                session.take_output(output);
                Ok(opened.map_err(protocol_error)?.peer_closed)
            }
        }
    }

    fn parse_hello(&mut self) -> Result<(), TlsError> {
        let Self::Hello(held) = self else {
            return Ok(());
        };
        match client_hello::parse_client_hello(held) {
            Ok(Some(offer)) => {
                *self = Self::Offered {
                    bytes: std::mem::take(held),
                    offer,
                    is_decided: false,
                };
                Ok(())
            }
            Ok(None) if held.len() <= RECORD_HEADER_BYTES + MAX_RECORD_BYTES => Ok(()),
            Ok(None) => Err(TlsError::FirstRecordTooLong),
            Err(error) => Err(TlsError::Protocol(format!("tls: {error}"))),
        }
    }

    /// Begins the handshake, with the bytes received so far. Returns true where the peer has
    /// announced that it sends no more.
    ///
    /// # Errors
    /// Where no session can be created, or the bytes break the protocol.
    pub fn begin(
        &mut self,
        config: Arc<ServerConfig>,
        plain: &mut Vec<u8>,
        output: &mut Vec<u8>,
    ) -> io::Result<bool> {
        let Self::Offered { bytes, .. } = self else {
            return Ok(false);
        };
        let bytes = std::mem::take(bytes);
        *self = Self::open(Session::accept(config).map_err(protocol_error)?);
        self.receive(&bytes, plain, output)
    }

    /// Returns what the client offers, while it was not decided when its handshake runs.
    #[must_use]
    pub fn offer(&self) -> Option<ClientHello> {
        match self {
            Self::Offered {
                offer,
                is_decided: false,
                ..
            } => Some(offer.clone()),
            _ => None,
        }
    }

    /// It was decided when the handshake runs: [`offer`](Self::offer) returns none from here on.
    pub fn mark_decided(&mut self) {
        if let Self::Offered { is_decided, .. } = self {
            *is_decided = true;
        }
    }

    /// Returns true where nothing more is read until the handshake begins.
    #[must_use]
    pub fn holds_back(&self) -> bool {
        matches!(self, Self::Offered { .. })
    }

    /// Seals the plain bytes, where there is a session; otherwise they wait.
    pub fn seal(&mut self, plain: &mut Vec<u8>, output: &mut Vec<u8>) {
        if let Self::Open { session, .. } = self {
            if !plain.is_empty() {
                session.encrypt(plain);
                plain.clear();
            }
            session.take_output(output);
        }
    }

    /// Announces that nothing more is sent.
    pub fn close(&mut self, output: &mut Vec<u8>) {
        if let Self::Open { session, .. } = self {
            session.send_close_notify();
            session.take_output(output);
        }
    }

    /// Returns the session, once there is one.
    #[must_use]
    pub fn session(&self) -> Option<&Session> {
        match self {
            Self::Open { session, .. } => Some(session),
            Self::Hello(_) | Self::Offered { .. } => None,
        }
    }

    /// Returns true once, when the handshake has ended.
    pub fn take_established(&mut self) -> bool {
        match self {
            Self::Open {
                session,
                is_reported,
            } if !*is_reported && !session.is_handshaking() => {
                *is_reported = true;
                true
            }
            _ => false,
        }
    }

    /// Returns true while the handshake has not ended.
    #[must_use]
    pub fn is_handshaking(&self) -> bool {
        self.session().is_none_or(Session::is_handshaking)
    }
}

impl Default for TlsLayer {
    fn default() -> Self {
        Self::new()
    }
}
