//! Why a server can't be started, or what it reads again can't be used.

use std::io;
use std::net::SocketAddr;

/// Why a server can't be started.
///
/// It is passed on as an [`io::Error`] of the kind of its cause, with this error inside.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listening socket of an address for clients can't be had.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// Another process listens on the address and is not one to take over from.
    #[error("listen: {address}: another process listens there and hands nothing over")]
    AddressInUse {
        /// The address.
        address: SocketAddr,
    },
    /// The listening socket of the management endpoint can't be had.
    #[error("mgmt: {address}: {source}")]
    ManagementListen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The certificate of the listeners can't be used.
    #[error(transparent)]
    Certificate(#[from] CertificateError),
}

/// Why a certificate and its key can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct CertificateError {
    /// The file at fault and what is wrong with it, as its source reports it.
    pub reason: String,
}

/// Why a configuration or keys could not be read again. The cause names file and key.
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
