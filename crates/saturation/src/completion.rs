//! Completions of requests.

use cleatpulley_policy::interface::Micros;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// The completion of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Number of requests in flight right after this one was sent, including itself.
    pub concurrency: usize,
    /// Time from the sending of the request to its completion.
    pub latency: Micros,
}
