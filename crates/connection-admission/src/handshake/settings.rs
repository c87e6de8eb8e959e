//! What an operator sets.

use cleatpulley_policy::interface::Micros;

/// The limits on TLS handshakes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Full handshakes that may begin a second.
    pub per_second: f64,
    /// Full handshakes that may begin at once.
    pub burst: f64,
    /// Handshakes that may run at a time.
    pub max_running: usize,
    /// What a resumption takes of the rate, where a full handshake takes 1.
    pub resumed_cost: f64,
    /// Share of the rate and of the running handshakes reserved for known clients and resumptions.
    pub reserved_share: f64,
    /// Time from the accept of the connection to the end of the handshake.
    pub timeout: Micros,
    /// Handshakes that may wait in the queue.
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
    /// Returns the share that full handshakes of unknown clients may take.
    pub(super) fn unreserved_share(&self) -> f64 {
        1.0 - self.reserved_share
    }

    /// Returns the number of handshakes that may run at a time, at least one.
    pub(super) fn running_limit(&self) -> usize {
        self.max_running.max(1)
    }

    /// Returns the number of full handshakes of unknown clients that may run at a time, at least
    /// one.
    pub(super) fn unreserved_running_limit(&self) -> usize {
        let share = self.unreserved_share() * self.running_limit() as f64;
        share.floor().max(1.0) as usize
    }
}
