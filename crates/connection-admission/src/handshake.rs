//! Admission of TLS handshakes: which of them run, and when.
//!
//! A handshake takes CPU time that running requests need, so only so many begin a second, and only
//! so many run at a time. Known clients and resumptions, which cost less, go first, and a share of
//! both limits is reserved for them, so that a flood of full handshakes of unknown clients can't
//! take it all. The queue is bounded too, and each handshake has a deadline from the accept of its
//! connection.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `settings` | what an operator sets |
//! | `offer` | what a client offers, and the priority of its handshake |
//! | `token_buckets` | the rate limit |
//! | `wait_queue` | the handshakes that wait, by priority |
//! | `scheduler` | [`HandshakeScheduler`], which decides |

mod kind;
mod scheduler;
mod settings;
mod token_buckets;
mod wait_queue;

pub use kind::HandshakeKind;
pub use scheduler::{Counters, HandshakeDecision, HandshakeLoad, HandshakeScheduler};
pub use settings::Settings;

#[cfg(test)]
mod tests;
