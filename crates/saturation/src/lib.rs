//! Where an upstream will saturate, from what one process sees of it: when work was sent, when it ended.
//!
//! [`Seen`] counts, for each number of requests in hand, how long it stood and how many ended meanwhile: natural fluctuations show
//! the curve of throughput over concurrency long before the mean load comes near its end. [`curve`] fits the family
//! `min(n, c) / (1 + s (min(n, c) - 1) + k n (n - 1))` to it: a number of servers, and contention and coherence as in the universal
//! scalability law. What comes out is a rate with an interval: where the data can't tell, the interval is wide.
//!
//! ```
//! use cleatpulley_saturation::{Limits, Upstream};
//!
//! let mut ledger = Upstream::new(Limits::default());
//! // One at a time, each for 10 ms: it ends 100 a second, whatever waits.
//! for call in 0..2_000u64 {
//!     let sent_as = ledger.sent(call * 10_000);
//!     ledger.ended(call * 10_000 + 10_000, sent_as, 10_000);
//! }
//! let told = ledger.predict(20_000_000);
//! assert!(told.little < 0.1, "what came, ended and stood agrees");
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bound;
pub mod curve;
mod seen;
mod upstream;

pub use curve::Curve;
pub use seen::Seen;
pub use upstream::{Limits, Prediction, Upstream};
