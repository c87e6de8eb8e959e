//! Stand-ins for what a matcher talks to: the runtime, the store, the directory, and callers by frames and by AJP.
//!
//! Each is a state machine behind [`Service`]: bytes, connections and time in, [`Effect`]s out. [`host`] puts them
//! on loopback sockets; a virtual clock may drive them as well. They speak the published protocols from the other
//! side, are seeded, and can lose, delay and reset.

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

/// A connection of a service, by a number that is never used again: even where it was accepted, odd where the
/// service dialled it.
pub type ConnectionId = u64;

/// What a service wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send these bytes.
    Send(ConnectionId, Vec<u8>),
    /// Close, after all has been sent.
    Close(ConnectionId),
    /// Reset at once, with what was not sent.
    Reset(ConnectionId),
    /// Open a connection; the service chose an odd number for it.
    Connect(ConnectionId, SocketAddr),
    /// The same, from this address of the host's.
    ConnectFrom(ConnectionId, SocketAddr, std::net::IpAddr),
}

/// A party as a state machine.
pub trait Service: Send {
    /// A connection stands.
    fn on_open(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Vec<Effect>) {}

    /// A connection stands that came to this of the service's doors, counted from 0.
    fn on_accept(&mut self, now: Micros, link: ConnectionId, _door: usize, out: &mut Vec<Effect>) {
        self.on_open(now, link, out);
    }

    /// Bytes came.
    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>);

    /// A connection is over, or could not be made.
    fn on_close(&mut self, now: Micros, link: ConnectionId, out: &mut Vec<Effect>);

    /// Time has passed.
    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>);

    /// When [`advance`](Self::advance) has something to do next.
    fn next_deadline(&self) -> Option<Micros>;
}
