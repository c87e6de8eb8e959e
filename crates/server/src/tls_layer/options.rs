//! Options of TLS: where it is enabled, and with which certificate.

use crate::error::CertificateError;
use cleatpulley_connection_admission::{handshake, identity};
use cleatpulley_policy::interface::Micros;
use cleatpulley_tls::certificate::CertificateInfo;
use cleatpulley_tls::rustls::{ClientConfig, ServerConfig};
use cleatpulley_tls::Clock;
use std::fmt;
use std::sync::Arc;

/// A loaded certificate with its key.
#[derive(Debug, Clone)]
pub struct LoadedCertificate {
    /// Session configuration with the certificate.
    pub config: Arc<ServerConfig>,
    /// Names, serial number and validity of the certificate.
    pub facts: CertificateInfo,
}

/// Source of the certificate: files, or memory in tests.
pub trait CertificateSource {
    /// Returns a value that changes when a file does, derived for example from modification times
    /// and lengths.
    fn stamp(&self) -> u64;

    /// Reads the certificate and its key.
    ///
    /// # Errors
    /// The faulty file and the error in it.
    fn load(&self) -> Result<LoadedCertificate, CertificateError>;

    /// Returns the session configuration of a client of a server that uses this certificate too. It
    /// accepts no other certificate.
    ///
    /// # Errors
    /// The faulty file and the error in it.
    fn client_config(&self) -> Result<Arc<ClientConfig>, CertificateError>;
}

/// TLS options of the listeners of a server.
#[derive(Clone)]
pub struct TlsOptions {
    /// Source of the certificate.
    pub certificates: Arc<dyn CertificateSource>,
    /// Enables TLS on listeners for frames.
    pub frames: bool,
    /// Enables TLS on listeners for AJP.
    pub ajp: bool,
    /// Enables TLS on the management endpoint.
    pub mgmt: bool,
    /// Certificate names that may use a request class, indexed by class; `None` permits all.
    pub permits: Vec<Option<Vec<String>>>,
    /// Settings of handshake scheduling; without it each handshake begins immediately.
    pub handshakes: Option<handshake::Settings>,
    /// Settings of known clients and limits by certificate name.
    pub identities: Option<identity::Settings>,
    /// Time before the certificate's expiry from which a warning is logged, in microseconds.
    pub warn_before: Micros,
    /// Clock for checking certificates, set by the server.
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
