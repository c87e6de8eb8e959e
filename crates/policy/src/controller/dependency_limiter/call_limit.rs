//! The limit on concurrent calls: additive increase, multiplicative decrease (AIMD).

use crate::interface::Micros;

/// A limit that grows by about one per round of timely calls, and is halved when calls are
/// degraded.
#[derive(Debug, Clone)]
pub(super) struct CallLimit {
    limit: f64,
    minimum: f64,
    maximum: f64,
    /// Whether the last ended call indicated a degraded dependency.
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

    /// Adjusts the limit after the end of a call. It is halved at most once per call latency.
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
