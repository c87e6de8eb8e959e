//! The emulator: whole matchers, their fronts, links, pool and keeper, on a virtual clock and a virtual network. Faults
//! and habits come from a seed; the rules are checked after each step from books that are not the program's; any failure
//! is played again from its seed, and shrunk.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission_rules;
pub mod event_queue;
mod faults;
pub mod front_end;
pub mod handover;
pub mod host;
mod machine;
mod metrics_poller;
mod misbehaving_clients;
pub mod network;
pub mod plan;
mod reputation_storage;
mod rollout;
mod rules;
pub mod seeds;
pub mod service_endpoint;
pub mod simulation;
