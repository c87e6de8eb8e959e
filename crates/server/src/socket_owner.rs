//! The adapter that a socket belongs to.

/// The adapter that a socket belongs to, with the connection's number where the adapter has
/// several.
#[derive(Debug, Clone, Copy)]
pub enum SocketOwner {
    /// A connection of a client or proxy, by its number.
    ClientConnection(u64),
    /// The connection to the runtime.
    Runtime,
    /// A connection to the dependency, by its number.
    Dependency(u64),
    /// A connection to the service registry, by its number.
    Registry(u64),
    /// A connection to the management endpoint, by its number.
    Management(u64),
    /// The handover channel to the predecessor.
    Predecessor,
    /// The handover channel to the successor.
    Successor,
    /// A connection of a gateway to a target, by its number.
    GatewayTarget(u64),
}
