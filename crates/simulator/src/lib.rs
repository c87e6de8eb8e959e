//! Simulator: whole matchers with their front ends, runtime links, connection pools and
//! persistence, on a virtual clock and a virtual network. Faults and habits are drawn from a seed.
//! After each step the rules are checked against records that are not the program's own. Any
//! failure can be replayed from its seed, and shrunk.

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
