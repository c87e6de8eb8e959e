//! Steps that a hot restart requests from the server.

use crate::host::{HandoverChannel, Host};
use cleatpulley_hot_restart::ProcessUsage;
use std::net::{IpAddr, SocketAddr};

/// A listening socket received over the handover channel.
pub(super) type ReceivedSocket<H> =
    <<H as Host>::HandoverChannel as HandoverChannel>::ReceivedSocket;

/// A listening socket that the predecessor has handed over.
pub struct InheritedListener<H: Host> {
    /// Address that the socket listens on, as stated by the predecessor.
    pub address: SocketAddr,
    /// The received socket.
    pub socket: ReceivedSocket<H>,
}

/// A step that the server has to execute.
pub enum HotRestartStep<H: Host> {
    /// Adopt the listeners of the predecessor.
    AdoptListeners(Vec<InheritedListener<H>>),
    /// Listen on all addresses that have no listener yet.
    Listen,
    /// Accept connections from here on.
    Serve,
    /// Open the persistence of idempotency keys: the predecessor has released it or was lost.
    OpenKeyPersistence,
    /// Set the machine resources that all predecessors use together.
    SetPredecessorUsage(ProcessUsage),
    /// Restore the learned state of the predecessor from the text of its snapshot.
    RestoreLearnedState(String),
    /// Import the reputation that addresses earned with the predecessor, in points.
    ImportReputation(Vec<(IpAddr, f64)>),
    /// Stop accepting, notify clients to close their connections, and then call
    /// [`on_connections_yielded`](super::HotRestart::on_connections_yielded).
    YieldConnections,
    /// Resume serving: the successor was lost.
    ResumeServing,
    /// Close a connection without open requests to free a file descriptor for a successor.
    FreeDescriptor,
}
