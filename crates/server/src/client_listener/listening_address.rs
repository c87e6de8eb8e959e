//! The addresses that clients connect to.

use super::client_protocol::ClientProtocol;
use crate::host::Host;
use std::net::SocketAddr;

/// An address, with its listening socket.
pub(super) struct ListeningAddress<H: Host> {
    pub(super) address: SocketAddr,
    /// None before there is one, and once only other processes accept there.
    pub(super) listener: Option<H::Listener>,
    pub(super) protocol: ClientProtocol,
    /// Connections may wait to be accepted.
    pub(super) is_acceptable: bool,
    /// TLS is spoken.
    pub(super) is_secure: bool,
}
