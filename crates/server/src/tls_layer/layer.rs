//! The TLS layer of one connection, between its socket and its protocol.

use cleatpulley_tls::client_hello::{self, ClientHello, MAX_RECORD_BYTES, RECORD_HEADER_BYTES};
use cleatpulley_tls::rustls::ServerConfig;
use cleatpulley_tls::session::Session;
use std::io;
use std::sync::Arc;

/// Unencrypted fatal alert (internal_error, RFC 8446 section 6.2), sent to a client whose handshake
/// is rejected before its connection closes. TLS has no alert for "busy"; this one does not blame
/// the client's offer.
pub const BUSY_ALERT: [u8; 7] = [21, 3, 3, 0, 2, 2, 80];
/// Maximum number of bytes buffered while a handshake is queued.
const MAX_BUFFERED_BYTES: usize = 65_536;

/// Error of the TLS layer that breaks the connection.
#[derive(Debug, thiserror::Error)]
enum TlsError {
    #[error("tls: the first record is too long")]
    FirstRecordTooLong,
    #[error("tls: too many bytes received before the handshake could begin")]
    TooMuchBuffered,
    /// Error of parsing the client hello or of the session.
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

/// State of the TLS layer of a connection.
pub enum TlsLayer {
    /// The first record is incomplete.
    Hello(Vec<u8>),
    /// The first record is complete; the handshake is queued.
    Offered {
        /// Bytes received so far.
        bytes: Vec<u8>,
        /// Offer of the client.
        offer: ClientHello,
        /// The handshake was scheduled.
        is_decided: bool,
    },
    /// The handshake is running or has ended.
    Open {
        /// TLS session.
        session: Box<Session>,
        /// The completion of the handshake was reported.
        is_completion_reported: bool,
    },
}

impl TlsLayer {
    /// Creates the layer of an accepted connection.
    #[must_use]
    pub fn new() -> Self {
        Self::Hello(Vec::new())
    }

    /// Creates the layer of an outgoing connection.
    #[must_use]
    pub fn client(session: Session) -> Self {
        Self::open(session)
    }

    fn open(session: Session) -> Self {
        Self::Open {
            session: Box::new(session),
            is_completion_reported: false,
        }
    }

    /// Handles received bytes: appends the plaintext to `plain` and the bytes to send to `output`.
    /// Returns true if the peer has sent a close alert.
    ///
    /// # Errors
    /// If the peer violated the protocol; `output` may then hold an alert.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        plain: &mut Vec<u8>,
        output: &mut Vec<u8>,
    ) -> io::Result<bool> {
        match self {
            Self::Hello(buffered) => {
                buffered.extend_from_slice(bytes);
                self.parse_client_hello()?;
                Ok(false)
            }
            Self::Offered {
                bytes: buffered, ..
            } => {
                buffered.extend_from_slice(bytes);
                if buffered.len() > MAX_BUFFERED_BYTES {
                    return Err(TlsError::TooMuchBuffered.into());
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

    fn parse_client_hello(&mut self) -> Result<(), TlsError> {
        let Self::Hello(buffered) = self else {
            return Ok(());
        };
        match client_hello::parse_client_hello(buffered) {
            Ok(Some(offer)) => {
                *self = Self::Offered {
                    bytes: std::mem::take(buffered),
                    offer,
                    is_decided: false,
                };
                Ok(())
            }
            Ok(None) if buffered.len() <= RECORD_HEADER_BYTES + MAX_RECORD_BYTES => Ok(()),
            Ok(None) => Err(TlsError::FirstRecordTooLong),
            Err(error) => Err(TlsError::Protocol(format!("tls: {error}"))),
        }
    }

    /// Begins the handshake with the bytes received so far. Returns true if the peer has sent a
    /// close alert.
    ///
    /// # Errors
    /// If no session can be created, or the bytes violate the protocol.
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

    /// Returns the offer of the client while its handshake is not scheduled yet.
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

    /// Records that the handshake was scheduled: [`offer`](Self::offer) returns `None` from now on.
    pub fn mark_offer_decided(&mut self) {
        if let Self::Offered { is_decided, .. } = self {
            *is_decided = true;
        }
    }

    /// Returns true if nothing more is read until the handshake begins.
    #[must_use]
    pub fn is_reading_paused(&self) -> bool {
        matches!(self, Self::Offered { .. })
    }

    /// Seals the plaintext if there is a session; otherwise it stays in `plain`.
    pub fn seal(&mut self, plain: &mut Vec<u8>, output: &mut Vec<u8>) {
        if let Self::Open { session, .. } = self {
            if !plain.is_empty() {
                session.encrypt(plain);
                plain.clear();
            }
            session.take_output(output);
        }
    }

    /// Appends a close alert to `output`.
    pub fn close(&mut self, output: &mut Vec<u8>) {
        if let Self::Open { session, .. } = self {
            session.send_close_notify();
            session.take_output(output);
        }
    }

    /// Returns the session, if there is one yet.
    #[must_use]
    pub fn session(&self) -> Option<&Session> {
        match self {
            Self::Open { session, .. } => Some(session),
            Self::Hello(_) | Self::Offered { .. } => None,
        }
    }

    /// Returns true once, after the handshake has completed.
    pub fn take_handshake_completion(&mut self) -> bool {
        match self {
            Self::Open {
                session,
                is_completion_reported,
            } if !*is_completion_reported && !session.is_handshaking() => {
                *is_completion_reported = true;
                true
            }
            _ => false,
        }
    }

    /// Returns true while the handshake has not completed.
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
