//! Errors of starting a server and of reloading its configuration, keys or certificate.

use std::io;
use std::net::SocketAddr;

/// Error of starting a server.
///
/// Converts into an [`io::Error`] that wraps this error and has the kind of its cause.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listening socket for clients could not be created.
    #[error("listen: {address}: {source}")]
    Listen {
        /// Listening address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process listens on the address and does not support a handover.
    #[error("listen: {address}: another process listens there and hands nothing over")]
    AddressInUse {
        /// Listening address.
        address: SocketAddr,
    },
    /// The listening socket of the management endpoint could not be created.
    #[error("mgmt: {address}: {source}")]
    ManagementListen {
        /// Listening address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The certificate of the listeners is unusable.
    #[error(transparent)]
    Certificate(#[from] CertificateError),
}

/// Error of loading a certificate and its key.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct CertificateError {
    /// The faulty file and the error in it, as reported by the certificate source.
    pub reason: String,
}

/// Error of reloading the configuration or keys. The cause names file and key.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ReloadError(#[from] Box<dyn std::error::Error + Send + Sync>);

impl From<String> for ReloadError {
    fn from(cause: String) -> Self {
        Self(cause.into())
    }
}

impl From<String> for CertificateError {
    fn from(reason: String) -> Self {
        Self { reason }
    }
}

impl From<StartError> for io::Error {
    fn from(error: StartError) -> Self {
        let kind = match &error {
            StartError::Listen { source, .. } | StartError::ManagementListen { source, .. } => {
                source.kind()
            }
            StartError::AddressInUse { .. } => io::ErrorKind::AddrInUse,
            StartError::Certificate(_) => io::ErrorKind::InvalidInput,
        };
        Self::new(kind, error)
    }
}
