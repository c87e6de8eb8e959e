//! Listening addresses for clients.

use super::client_protocol::ClientProtocol;
use crate::host::Host;
use std::net::SocketAddr;

/// A listening address with its socket.
pub(super) struct ListeningAddress<H: Host> {
    pub(super) address: SocketAddr,
    /// `None` before a socket is adopted, and after only other processes accept on the address.
    pub(super) listener: Option<H::Listener>,
    pub(super) protocol: ClientProtocol,
    /// Connections may be pending.
    pub(super) is_acceptable: bool,
    /// TLS is enabled.
    pub(super) is_secure: bool,
}
