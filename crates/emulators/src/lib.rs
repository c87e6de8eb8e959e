//! Stand-ins for what a matcher talks to: the runtime, the store, the directory, and callers by frames and by AJP.
//!
//! Each is a state machine behind [`Service`]: bytes, connections and time in, [`Effect`]s out. [`host`] puts them
//! on loopback sockets; a virtual clock may drive them as well. They speak the published protocols from the other
//! side, are seeded, and can lose, delay and reset.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod callers;
pub mod cluster;
pub mod directory;
pub mod flood;
pub mod host;
pub mod keyed;
pub mod matcher;
pub mod relay;
pub mod runtime;
pub mod site;
pub mod store;
pub mod target;
pub mod trial;
pub mod wires;

use cleatpulley_policy::interface::Micros;
use std::net::SocketAddr;

/// A connection of a service, by a number that is never used again: even where it was accepted, odd where the
/// service dialled it.
pub type Link = u64;

/// What a service wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send these bytes.
    Send(Link, Vec<u8>),
    /// Close, after all has been sent.
    Close(Link),
    /// Reset at once, with what was not sent.
    Reset(Link),
    /// Open a connection; the service chose an odd number for it.
    Dial(Link, SocketAddr),
    /// The same, from this address of the host's.
    DialFrom(Link, SocketAddr, std::net::IpAddr),
}

/// A party as a state machine.
pub trait Service: Send {
    /// A connection stands.
    fn opened(&mut self, _now: Micros, _link: Link, _out: &mut Vec<Effect>) {}

    /// A connection stands that came to this of the service's doors, counted from 0.
    fn opened_at(&mut self, now: Micros, link: Link, _door: usize, out: &mut Vec<Effect>) {
        self.opened(now, link, out);
    }

    /// Bytes came.
    fn received(&mut self, now: Micros, link: Link, bytes: &[u8], out: &mut Vec<Effect>);

    /// A connection is over, or could not be made.
    fn closed(&mut self, now: Micros, link: Link, out: &mut Vec<Effect>);

    /// Time has passed.
    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>);

    /// When [`advance`](Self::advance) has something to do next.
    fn next(&self) -> Option<Micros>;
}
