//! The limit on concurrent calls: additive increase, multiplicative decrease.

use crate::interface::Micros;

/// A limit that grows by about one in a round of good calls, and is halved when calls falter.
#[derive(Debug, Clone)]
pub(super) struct CallLimit {
    limit: f64,
    minimum: f64,
    maximum: f64,
    /// The last call that ended faltered.
    is_degraded: bool,
    halved_at: Micros,
}

impl CallLimit {
    pub(super) fn new(initial: f64, minimum: f64, maximum: f64) -> Self {
        Self {
            limit: initial.min(maximum),
            minimum: minimum.max(1.0),
            maximum,
            is_degraded: false,
            halved_at: 0,
        }
    }

    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    pub(super) fn is_degraded(&self) -> bool {
        self.is_degraded
    }

    /// Adjusts the limit to the end of a call; at most one halving per call latency.
    pub(super) fn on_call_ended(&mut self, now: Micros, is_degraded: bool, latency: f64) {
        self.is_degraded = is_degraded;
        if !is_degraded {
            self.limit = (self.limit + 1.0 / self.limit).min(self.maximum);
        } else if now >= self.halved_at + latency as Micros {
            self.limit = (self.limit / 2.0).max(self.minimum);
            self.halved_at = now;
        }
    }

    pub(super) fn restore(&mut self, limit: f64) {
        self.limit = limit.min(self.maximum);
    }
}
