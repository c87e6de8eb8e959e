//! What a hot restart asks the server to do.

use crate::host::{HandoverChannel, Host};
use cleatpulley_hot_restart::ProcessUsage;
use std::net::{IpAddr, SocketAddr};

/// A listening socket as it came over the handover channel.
pub(super) type ReceivedSocket<H> =
    <<H as Host>::HandoverChannel as HandoverChannel>::ReceivedSocket;

/// A listening socket that the predecessor has handed over.
pub struct InheritedListener<H: Host> {
    /// The address that it listens on, as the predecessor says.
    pub address: SocketAddr,
    /// The socket.
    pub socket: ReceivedSocket<H>,
}

/// A step that the server is to take.
pub enum HotRestartStep<H: Host> {
    /// Adopt the listeners of the predecessor.
    AdoptListeners(Vec<InheritedListener<H>>),
    /// Listen on all addresses that have no listener yet.
    Listen,
    /// Accept connections from here on.
    Serve,
    /// Open the persistence of idempotency keys: the predecessor has released it, or is gone.
    OpenKeyPersistence,
    /// All predecessors together use this much of the machine.
    SetPredecessorUsage(ProcessUsage),
    /// Restore the state that the predecessor had learned, as the text of its snapshot.
    RestoreLearnedState(String),
    /// Import the reputation that addresses earned with the predecessor, in its points.
    ImportReputation(Vec<(IpAddr, f64)>),
    /// Accept no more, ask clients to close their connections, and then call
    /// [`on_connections_yielded`](super::HotRestart::on_connections_yielded).
    YieldConnections,
    /// Serve again: the successor is gone.
    ResumeServing,
    /// Close a connection without pending requests: no descriptor is left for a successor.
    FreeDescriptor,
}
