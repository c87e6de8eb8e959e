//! Emulators of the peers of a matcher: the runtime, the store, the service registry, and callers
//! that speak frames or AJP.
//!
//! Each is a state machine behind [`Service`]: bytes, connection events and time in, [`Effect`]s
//! out. [`host`] runs them on loopback sockets; a simulator with a virtual clock can run them as
//! well. They implement the peer's side of the published protocols, are seeded, and can lose, delay
//! and reset.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod callers;
pub mod cluster;
pub mod datagram_proxy;
pub mod flood;
pub mod gateway_trial;
pub mod host;
pub mod keyed_retries;
pub mod matcher;
pub mod registry;
pub mod runtime;
pub mod site;
pub mod store;
pub mod target;
pub mod trial;

use cleatpulley_policy::interface::Micros;
use std::net::SocketAddr;

/// Identifies a connection of a service. Ids are never reused; accepted connections have even ids,
/// connections that the service opened have odd ones.
pub type ConnectionId = u64;

/// An I/O operation that a service requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends these bytes.
    Send(ConnectionId, Vec<u8>),
    /// Closes the connection after all pending bytes have been sent.
    Close(ConnectionId),
    /// Resets the connection at once and discards unsent bytes.
    Reset(ConnectionId),
    /// Opens a connection to this address, under an odd id that the service chose.
    Connect(ConnectionId, SocketAddr),
    /// Opens a connection to this address from the given local address.
    ConnectFrom(ConnectionId, SocketAddr, std::net::IpAddr),
}

/// A network peer as a state machine.
pub trait Service: Send {
    /// Handles a connection that is established.
    fn on_open(&mut self, _now: Micros, _connection: ConnectionId, _out: &mut Vec<Effect>) {}

    /// Handles a connection that was accepted on the service's listener of this index.
    fn on_accept(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _listener: usize,
        out: &mut Vec<Effect>,
    ) {
        self.on_open(now, connection, out);
    }

    /// Handles received bytes.
    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    );

    /// Handles a connection that ended or could not be established.
    fn on_close(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<Effect>);

    /// Runs whatever is due at `now`.
    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>);

    /// Returns the time at which [`advance`](Self::advance) is next due.
    fn next_deadline(&self) -> Option<Micros>;
}
