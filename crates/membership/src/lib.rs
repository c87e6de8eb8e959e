//! Who is there: gossip with suspicion, after SWIM, among the processes of an installation.
//!
//! A [`Membership`] is a state machine: datagrams and time go in, datagrams and [`Event`]s come out, and it has no sockets
//! and no clock. What it tells is a hint and never a fact: a wrong suspicion costs capacity, so nothing that a rule rests on
//! may follow from it alone.
//!
//! - [`identity`]: a process by name, address, role, zone, host and an incarnation that never comes twice.
//! - [`incarnation`]: how that is kept across restarts and lost disks.
//! - [`figures`]: small values of each process with a version and an age, merged in any order.
//! - [`seal`]: the shared key that every datagram is authenticated by, and its rotation.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bounds;
mod core;
pub mod figures;
pub mod identity;
pub mod incarnation;
pub mod seal;

pub use crate::core::{Event, Member, Membership, Settings};
pub use figures::{Figure, Kind};
pub use identity::{Identity, Label, Role};
