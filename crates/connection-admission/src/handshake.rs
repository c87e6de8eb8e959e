//! Scheduling of TLS handshakes.
//!
//! Handshakes compete with requests for CPU time, so both the rate at which they begin and the
//! number that run concurrently are limited. Known clients and resumptions, which cost less, take
//! precedence, and a share of both limits is reserved for them, so that a flood of full handshakes
//! of unknown clients can't use up the limits. The queue of waiting handshakes is bounded, and each
//! handshake must end within a timeout from the accept of its connection.
//!
//! | module | contents |
//! | --- | --- |
//! | `settings` | limits on handshakes |
//! | `kind` | kinds of handshakes, and their priorities |
//! | `token_buckets` | rate limit |
//! | `wait_queue` | waiting handshakes, by priority |
//! | `scheduler` | [`HandshakeScheduler`], which decides on handshakes |

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
