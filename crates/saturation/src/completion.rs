//! The completion of a request.

use cleatpulley_policy::interface::Micros;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// A request that completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Requests that were in flight once it had been sent, itself included.
    pub concurrency: usize,
    /// Time from its sending to its completion.
    pub latency: Micros,
}
