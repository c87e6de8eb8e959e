//! The emulator: whole matchers, their fronts, links, pool and keeper, on a virtual clock and a virtual network. Faults
//! and habits come from a seed; the rules are checked after each step from books that are not the program's; any failure
//! is played again from its seed, and shrunk.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod crowd;
mod faults;
pub mod front;
pub mod hall;
pub mod host;
mod inspector;
mod machine;
pub mod net;
pub mod parties;
pub mod plan;
pub mod queue;
mod rollout;
mod rude;
mod rules;
pub mod seeds;
mod shelf;
pub mod sim;
