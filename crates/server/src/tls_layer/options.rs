//! Where TLS is spoken, and with which certificate.

use crate::error::CertificateError;
use cleatpulley_connection_admission::{handshake, identity};
use cleatpulley_policy::interface::Micros;
use cleatpulley_tls::certificate::CertificateInfo;
use cleatpulley_tls::rustls::ServerConfig;
use cleatpulley_tls::Clock;
use std::fmt;
use std::sync::Arc;

/// A certificate with its key, ready for use.
#[derive(Debug, Clone)]
pub struct LoadedCertificate {
    /// The configuration of a session with it.
    pub config: Arc<ServerConfig>,
    /// What the certificate says.
    pub facts: CertificateInfo,
}

/// Where the certificate comes from: files, or the memory of a test.
pub trait CertificateSource {
    /// Returns a value that changes when a file does, such as one of their times and lengths.
    fn stamp(&self) -> u64;

    /// Reads the certificate and its key.
    ///
    /// # Errors
    /// The file at fault and why.
    fn load(&self) -> Result<LoadedCertificate, CertificateError>;
}

/// TLS on the listeners of a server.
#[derive(Clone)]
pub struct TlsOptions {
    /// Where the certificate comes from.
    pub certificates: Arc<dyn CertificateSource>,
    /// Whether it is spoken where clients send frames.
    pub frames: bool,
    /// Whether it is spoken where proxies send AJP.
    pub ajp: bool,
    /// Whether it is spoken at the management endpoint.
    pub mgmt: bool,
    /// By request class: the certificate names that may use it; none where all may.
    pub permits: Vec<Option<Vec<String>>>,
    /// Which handshakes run, and when; without it each begins at once.
    pub handshakes: Option<handshake::Settings>,
    /// Clients known by their certificate names, and limits by name.
    pub identities: Option<identity::Settings>,
    /// An expiry within this time is warned of, in microseconds.
    pub warn_before: Micros,
    /// The clock that certificates are checked by, which the server sets.
    pub clock: Clock,
}

impl fmt::Debug for TlsOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TlsOptions")
            .field("frames", &self.frames)
            .field("ajp", &self.ajp)
            .field("mgmt", &self.mgmt)
            .field("handshakes", &self.handshakes)
            .finish_non_exhaustive()
    }
}
