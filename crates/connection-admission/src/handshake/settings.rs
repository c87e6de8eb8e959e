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
    pub at_once: usize,
    /// What a resumption takes of the rate, where a full handshake takes 1.
    pub resumed_cost: f64,
    /// Share of the rate and of the running handshakes reserved for known clients and resumptions.
    pub reserve: f64,
    /// Time from the accept of the connection to the end of the handshake.
    pub deadline: Micros,
    /// Handshakes that may wait in the queue.
    pub waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_second: 500.0,
            burst: 50.0,
            at_once: 32,
            resumed_cost: 0.25,
            reserve: 0.25,
            deadline: 3_000_000,
            waiting: 256,
        }
    }
}

impl Settings {
    /// Returns the share that full handshakes of unknown clients may take.
    pub(super) fn unreserved_share(&self) -> f64 {
        1.0 - self.reserve
    }

    /// Returns the number of handshakes that may run at a time, at least one.
    pub(super) fn max_running(&self) -> usize {
        self.at_once.max(1)
    }

    /// Returns the number of full handshakes of unknown clients that may run at a time, at least
    /// one.
    pub(super) fn max_running_unreserved(&self) -> usize {
        let share = self.unreserved_share() * self.max_running() as f64;
        share.floor().max(1.0) as usize
    }
}
