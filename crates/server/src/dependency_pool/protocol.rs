//! The protocols of connections to the dependency.

use cleatpulley_protocol::ajp::client;

/// The protocol of connections to the dependency.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum DependencyProtocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// AJP/1.3.
    Ajp(client::Options),
}
