//! TLS on the connections of clients and operators.
//!
//! | module | contents |
//! | --- | --- |
//! | `layer` | the TLS layer of one connection, between its socket and its protocol |
//! | `options` | where TLS is enabled, and with which certificate |
//! | `state` | state shared by all connections: the certificate in use and its renewal |
//!
//! `cleatpulley_connection_admission::handshake` schedules the handshakes; `cleatpulley_tls`
//! implements the session.

mod layer;
mod options;
mod state;

pub use layer::{TlsLayer, BUSY_ALERT};
pub use options::{CertificateSource, LoadedCertificate, TlsOptions};
pub use state::{RenewalCounts, TlsState, CERTIFICATE_CHECK_INTERVAL};
