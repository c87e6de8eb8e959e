//! TLS on the connections of clients and operators.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `layer` | the TLS of one connection, between the bytes of its socket and its protocol |
//! | `options` | where TLS is spoken, and with which certificate |
//! | `state` | what all connections share: the certificate in use, which is renewed in place |
//!
//! Which handshakes run is decided by `cleatpulley_connection_admission::handshake`; the session is
//! that of `cleatpulley_tls`.

mod layer;
mod options;
mod state;

pub use layer::{TlsLayer, BUSY_ALERT};
pub use options::{CertificateSource, LoadedCertificate, TlsOptions};
pub use state::{RenewalCounts, TlsState, CERTIFICATE_CHECK_INTERVAL};
