//! The protocols spoken with the dependency.

use cleatpulley_protocol::ajp::client;

/// The protocol spoken with the dependency.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum DependencyProtocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// AJP/1.3.
    Ajp(client::Options),
}
