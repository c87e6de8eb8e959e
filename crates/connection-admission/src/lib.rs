//! Connection admission: which connections get a connection slot, whatever protocol they speak. No
//! I/O and no clock: the listener notifies of what happened to connections, and asks what to do
//! with the next one.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`admission`] | [`Admission`], which decides on new connections |
//! | [`settings`] | per-address and per-prefix limits, the reserve for known clients |
//! | [`decision`] | what is decided, why a connection is rejected, and counters of both |
//! | `connection_table` | the connections that have a slot, by prefix and address |
//! | `connection_rates` | the limits on new connections a second |
//! | `eviction` | which connection gives its slot to a new one |
//! | [`rate_sketch`] | rate limits for any number of keys in memory of a fixed size |
//! | [`reputation`] | clients that are known because their requests were answered over time |
//! | [`reputation_database`] | that reputation in an embedded store, across restarts |
//! | [`handshake`] | which TLS handshakes run, and when |
//! | [`identity`] | clients known by the names of their certificate, and their limits |
//! | [`address_prefix`] | addresses and their prefixes |

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
