//! Connection admission: decides which client connections get a connection slot, independently of
//! their protocol.
//!
//! This crate does no I/O and reads no clock. The listener reports the events of its connections
//! and asks for a decision on each new one.
//!
//! | module | contents |
//! | --- | --- |
//! | [`admission`] | [`Admission`], which decides on new connections |
//! | [`settings`] | limits per address and per prefix, the share reserved for known clients |
//! | [`decision`] | decisions, reasons for a rejection, trust levels, counters |
//! | `connection_table` | connections that hold a slot, by prefix and address |
//! | `connection_rates` | limits on new connections per second |
//! | `eviction` | selection of the connection that loses its slot to a new one |
//! | [`rate_sketch`] | rate limits for any number of keys in a fixed amount of memory |
//! | [`reputation`] | reputation that addresses gain when their requests are served over time |
//! | [`reputation_database`] | persistence of reputation across restarts |
//! | [`handshake`] | scheduling of TLS handshakes |
//! | [`identity`] | limits per client certificate name |
//! | [`address_prefix`] | IP address prefixes |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod address_prefix;
pub mod admission;
mod connection_rates;
mod connection_table;
pub mod decision;
mod eviction;
pub mod handshake;
pub mod identity;
pub mod rate_sketch;
pub mod reputation;
pub mod reputation_database;
pub mod settings;

pub use admission::Admission;
pub use decision::{Decision, RejectReason};
pub use settings::Settings;
