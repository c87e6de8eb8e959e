//! Limits on TLS handshakes.

use cleatpulley_policy::interface::Micros;

/// The limits on TLS handshakes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Maximum rate of full handshakes per second.
    pub per_second: f64,
    /// Maximum number of full handshakes that begin at once.
    pub burst: f64,
    /// Maximum number of handshakes that run concurrently.
    pub max_running: usize,
    /// Cost of a resumption relative to a full handshake, in the rate limit.
    pub resumed_cost: f64,
    /// Share of the rate and of the concurrency reserved for known clients and resumptions.
    pub reserved_share: f64,
    /// Maximum time from the accept of the connection to the end of the handshake.
    pub timeout: Micros,
    /// Maximum number of handshakes in the queue.
    pub max_waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_second: 500.0,
            burst: 50.0,
            max_running: 32,
            resumed_cost: 0.25,
            reserved_share: 0.25,
            timeout: 3_000_000,
            max_waiting: 256,
        }
    }
}

impl Settings {
    /// Returns the share of the limits that full handshakes of unknown clients may use.
    pub(super) fn unreserved_share(&self) -> f64 {
        1.0 - self.reserved_share
    }

    /// Returns the maximum number of handshakes that run concurrently, at least one.
    pub(super) fn running_limit(&self) -> usize {
        self.max_running.max(1)
    }

    /// Returns the maximum number of full handshakes of unknown clients that run concurrently, at
    /// least one.
    pub(super) fn unreserved_running_limit(&self) -> usize {
        let share = self.unreserved_share() * self.running_limit() as f64;
        share.floor().max(1.0) as usize
    }
}
