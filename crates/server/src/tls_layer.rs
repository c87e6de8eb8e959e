//! TLS on the connections of a front: the layer between a socket's bytes and what a protocol's machine reads and writes,
//! and what all connections of a front share (the setup, which is renewed in place, and the names that may ask for each
//! class). Which handshakes run is decided by `cleatpulley_connection_admission::handshake`; the session is `cleatpulley_tls`'s.

use crate::error::CertificateError;
use cleatpulley_policy::interface::Micros;
use cleatpulley_tls::hello::{self, Offer, HEAD, LONGEST_RECORD};
use cleatpulley_tls::pair::Facts;
use cleatpulley_tls::rustls::ServerConfig;
use cleatpulley_tls::session::Session;
use cleatpulley_tls::Clock;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::sync::Arc;

/// A fatal alert (internal_error, RFC 8446 section 6.2), in plain: a client that gets no handshake is told so before its
/// connection closes. TLS has no word for "busy"; this one makes no client believe that its offer was at fault.
pub const BUSY_ALERT: [u8; 7] = [21, 3, 3, 0, 2, 2, 80];
/// Bytes that a client may send while its handshake waits for its turn; what it sends beyond stays with the system.
const HELD: usize = 65_536;
/// How often the files of the certificate are looked at.
pub const WATCH: Micros = 1_000_000;
/// How often an expiry that comes near is told again.
const WARN_AGAIN: Micros = 86_400_000_000;

/// Where a connection's TLS stands.
pub enum TlsLayer {
    /// Bytes of the first record, as they come.
    Hello(Vec<u8>),
    /// The first record is whole; the handshake waits for its turn, with the bytes that came so far.
    Offered {
        /// What came.
        bytes: Vec<u8>,
        /// What it offers.
        offer: Offer,
        /// The decisions on handshakes have been asked.
        asked: bool,
    },
    /// A session, and whether the end of its handshake has been told.
    Open(Box<Session>, bool),
}

fn broken(what: impl fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl TlsLayer {
    /// That of a connection accepted now.
    #[must_use]
    pub fn new() -> Self {
        Self::Hello(Vec::new())
    }

    /// That of a connection this side makes.
    #[must_use]
    pub fn client(session: Session) -> Self {
        Self::Open(Box::new(session), false)
    }

    /// Takes bytes that were read: what they carry is appended to `plain`, what is to be sent to `out`. True where the
    /// peer said that it sends no more.
    ///
    /// # Errors
    /// Where the peer broke the protocol; an alert may wait in `out` then.
    pub fn take(
        &mut self,
        bytes: &[u8],
        plain: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> io::Result<bool> {
        match self {
            Self::Hello(held) => {
                held.extend_from_slice(bytes);
                match hello::peek(held) {
                    Ok(Some(offer)) => {
                        let bytes = std::mem::take(held);
                        *self = Self::Offered {
                            bytes,
                            offer,
                            asked: false,
                        };
                        Ok(false)
                    }
                    Ok(None) if held.len() <= HEAD + LONGEST_RECORD => Ok(false),
                    Ok(None) => Err(broken("tls: a first record longer than any")),
                    Err(e) => Err(broken(format!("tls: {e}"))),
                }
            }
            Self::Offered { bytes: held, .. } => {
                held.extend_from_slice(bytes);
                if held.len() > HELD {
                    return Err(broken(
                        "tls: too much sent before the handshake could begin",
                    ));
                }
                Ok(false)
            }
            Self::Open(session, _) => {
                let opened = session.open(bytes, plain);
                session.output(out);
                Ok(opened.map_err(broken)?.closed)
            }
        }
    }

    /// The handshake begins, with what came so far.
    ///
    /// # Errors
    /// Where no session can be made, or what came breaks the protocol.
    pub fn begin(
        &mut self,
        config: Arc<ServerConfig>,
        plain: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> io::Result<bool> {
        let Self::Offered { bytes, .. } = self else {
            return Ok(false);
        };
        let bytes = std::mem::take(bytes);
        *self = Self::Open(Box::new(Session::accept(config).map_err(broken)?), false);
        self.take(&bytes, plain, out)
    }

    /// What the first record offered, where its handshake has not been decided on yet.
    #[must_use]
    pub fn offer(&self) -> Option<Offer> {
        match self {
            Self::Offered {
                offer,
                asked: false,
                ..
            } => Some(offer.clone()),
            _ => None,
        }
    }

    /// The decisions on handshakes have been asked.
    pub fn asked(&mut self) {
        if let Self::Offered { asked, .. } = self {
            *asked = true;
        }
    }

    /// Nothing more is read until the handshake begins.
    #[must_use]
    pub fn holds_back(&self) -> bool {
        matches!(self, Self::Offered { .. })
    }

    /// Seals what is to be sent, where there is a session; otherwise it waits.
    pub fn seal(&mut self, plain: &mut Vec<u8>, out: &mut Vec<u8>) {
        if let Self::Open(session, _) = self {
            if !plain.is_empty() {
                session.seal(plain);
                plain.clear();
            }
            session.output(out);
        }
    }

    /// Says that nothing more is sent.
    pub fn close(&mut self, out: &mut Vec<u8>) {
        if let Self::Open(session, _) = self {
            session.close();
            session.output(out);
        }
    }

    /// The session, once there is one.
    #[must_use]
    pub fn session(&self) -> Option<&Session> {
        match self {
            Self::Open(session, _) => Some(session),
            _ => None,
        }
    }

    /// True once, when the handshake has ended.
    pub fn established(&mut self) -> bool {
        match self {
            Self::Open(session, told) if !*told && !session.is_handshaking() => {
                *told = true;
                true
            }
            _ => false,
        }
    }

    /// The handshake has not ended.
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

/// What a setup was made of.
#[derive(Debug, Clone)]
pub struct LoadedCertificate {
    /// The setup.
    pub config: Arc<ServerConfig>,
    /// What the certificate says.
    pub facts: Facts,
}

/// Where the certificate comes from: the program reads the files, the emulator has them in memory.
pub trait CertificateSource {
    /// Something that changes when a file does, such as their times and lengths.
    fn stamp(&self) -> u64;

    /// Reads the files and makes a setup of them.
    ///
    /// # Errors
    /// The file at fault and why.
    fn load(&self) -> Result<LoadedCertificate, String>;
}

/// TLS on a matcher's fronts.
#[derive(Clone)]
pub struct TlsOptions {
    /// Where the certificate comes from.
    pub certificates: Arc<dyn CertificateSource>,
    /// Where it is spoken: frames, AJP, the operators' address.
    pub frames: bool,
    /// AJP.
    pub ajp: bool,
    /// The operators' address.
    pub mgmt: bool,
    /// By class: the names of client certificates that may ask for it; none where anyone may.
    pub permits: Vec<Option<Vec<String>>>,
    /// Which handshakes run, and when; without it each begins at once.
    pub handshakes: Option<cleatpulley_connection_admission::handshake::Settings>,
    /// Callers known by their certificate's names, and caps by name.
    pub identities: Option<cleatpulley_connection_admission::identity::Settings>,
    /// An expiry within so long is warned of.
    pub warn_before: Micros,
    /// The clock that certificates are judged by; the matcher sets it.
    pub clock: Clock,
}

impl fmt::Debug for TlsOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TlsFront")
            .field("frames", &self.frames)
            .field("ajp", &self.ajp)
            .field("mgmt", &self.mgmt)
            .field("handshakes", &self.handshakes)
            .finish_non_exhaustive()
    }
}

/// What the connections of the fronts share, and the watch over the files.
pub struct TlsState {
    options: TlsOptions,
    config: RefCell<LoadedCertificate>,
    stamp: u64,
    look_at: Micros,
    warned_at: Option<Micros>,
    /// Renewals taken, and those refused.
    pub renewals: (u64, u64),
}

impl TlsState {
    /// Reads the certificate a first time.
    ///
    /// # Errors
    /// What is wrong with it: without it, nothing is spoken.
    pub fn new(options: TlsOptions, now: Micros) -> Result<Self, CertificateError> {
        options.clock.set(now);
        let stamp = options.certificates.stamp();
        let loaded = options
            .certificates
            .load()
            .map_err(|reason| CertificateError { reason })?;
        let facts = &loaded.facts;
        tracing::info!(
            "tls: certificate {} of {} in use, valid until {} (Unix seconds)",
            facts.serial,
            facts.names.join(", "),
            facts.not_after
        );
        let mut tls = Self {
            options,
            config: RefCell::new(loaded),
            stamp,
            look_at: now + WATCH,
            warned_at: None,
            renewals: (0, 0),
        };
        tls.warn(now);
        Ok(tls)
    }

    /// The options it was made with.
    #[must_use]
    pub fn options(&self) -> &TlsOptions {
        &self.options
    }

    /// The setup for a handshake that begins now.
    #[must_use]
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.borrow().config)
    }

    /// What the certificate in use says.
    #[must_use]
    pub fn facts(&self) -> Facts {
        self.config.borrow().facts.clone()
    }

    /// Whether a caller of these names may ask for this class.
    #[must_use]
    pub fn permits(&self, class: usize, names: &[String]) -> bool {
        match self.options.permits.get(class) {
            Some(Some(allowed)) => names.iter().any(|name| allowed.contains(name)),
            _ => true,
        }
    }

    /// Sets the clock, and reads the files again where they changed or where `now` is asked for (SIGHUP). A faulty pair
    /// changes nothing; connections that stand go on with what they have.
    pub fn poll(&mut self, now: Micros, asked: bool) {
        self.options.clock.set(now);
        if !asked && now < self.look_at {
            return;
        }
        self.look_at = now + WATCH;
        let stamp = self.options.certificates.stamp();
        if !asked && stamp == self.stamp {
            self.warn(now);
            return;
        }
        self.stamp = stamp;
        match self.options.certificates.load() {
            Ok(loaded) => {
                let facts = &loaded.facts;
                tracing::info!(
                    "tls: certificate {} of {} in use, valid until {} (Unix seconds)",
                    facts.serial,
                    facts.names.join(", "),
                    facts.not_after
                );
                *self.config.borrow_mut() = loaded;
                self.renewals.0 += 1;
                self.warned_at = None;
            }
            Err(fault) => {
                tracing::error!("tls: the certificate in use stays: {fault}");
                self.renewals.1 += 1;
            }
        }
        self.warn(now);
    }

    /// Seconds until the certificate in use expires.
    #[must_use]
    pub fn left(&self, now: Micros) -> i64 {
        self.config.borrow().facts.left(now / 1_000_000)
    }

    fn warn(&mut self, now: Micros) {
        let left = self.left(now);
        let near = left * 1_000_000 < self.options.warn_before as i64;
        if near && self.warned_at.is_none_or(|at| now >= at + WARN_AGAIN) {
            self.warned_at = Some(now);
            tracing::warn!(
                "tls: the certificate in use expires in {} days ({left} s)",
                left.div_euclid(86_400)
            );
        }
    }
}
