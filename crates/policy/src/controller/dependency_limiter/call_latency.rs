//! The latency of calls, and its baseline.

use super::super::smoothing::smooth;
use crate::interface::Micros;

/// Share of the tightest latency objective that a call is assumed to take before one was measured.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.1;
/// Calls falter when their smoothed latency is this multiple of the baseline.
const DEGRADED_LATENCY_FACTOR: f64 = 2.0;
/// Weight of one call in the baseline: a passing fault does not move it, a lasting change does.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.002;
/// Weight by which the latency returns to the baseline during one latency without calls: nothing
/// else would correct it.
const IDLE_DECAY_WEIGHT: f64 = 0.25;

/// Smoothed latency of calls, in microseconds.
#[derive(Debug, Clone)]
pub(super) struct CallLatency {
    smoothed: f64,
    /// The latency that is usual; 0 before the first reply.
    baseline: f64,
    /// When a call was last in flight, or the latency last faded.
    idle_since: Micros,
    /// Shorter latencies than one period differ by chance.
    period: Micros,
}

impl CallLatency {
    pub(super) fn new(tightest_objective: Micros, period: Micros) -> Self {
        Self {
            smoothed: (INITIAL_OBJECTIVE_SHARE * tightest_objective as f64).max(1.0),
            baseline: 0.0,
            idle_since: 0,
            period,
        }
    }

    pub(super) fn smoothed(&self) -> f64 {
        self.smoothed
    }

    pub(super) fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Returns whether calls take much longer than usual.
    pub(super) fn is_degraded(&self) -> bool {
        self.smoothed > DEGRADED_LATENCY_FACTOR * self.baseline.max(self.period as f64)
    }

    pub(super) fn on_reply(&mut self, elapsed: Micros) {
        self.record(elapsed);
        let baseline = if self.baseline > 0.0 {
            self.baseline
        } else {
            elapsed as f64
        };
        self.baseline = baseline + BASELINE_SAMPLE_WEIGHT * (elapsed as f64 - baseline);
    }

    pub(super) fn on_timeout(&mut self, elapsed: Micros) {
        self.record(elapsed);
    }

    fn record(&mut self, elapsed: Micros) {
        self.smoothed = smooth(self.smoothed, elapsed as f64).max(1.0);
    }

    /// Moves a high latency back towards the baseline while no call is in flight.
    pub(super) fn decay(&mut self, now: Micros, in_flight: usize) {
        let is_idle = now >= self.idle_since + self.smoothed as Micros;
        if in_flight > 0 {
            self.idle_since = now;
        } else if is_idle && self.smoothed > self.baseline && self.baseline > 0.0 {
            self.smoothed += IDLE_DECAY_WEIGHT * (self.baseline - self.smoothed);
            self.idle_since = now;
        }
    }

    pub(super) fn restore(&mut self, smoothed: f64, baseline: f64) {
        self.smoothed = smoothed;
        self.baseline = baseline;
    }
}
