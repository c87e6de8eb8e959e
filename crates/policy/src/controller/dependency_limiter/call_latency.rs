//! The smoothed latency of calls, and its baseline.

use super::super::smoothing::smooth;
use crate::interface::Micros;

/// Assumed latency before the first call was measured, as a share of the tightest latency
/// objective.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.1;
/// Multiple of the baseline above which the smoothed latency counts as degraded.
const DEGRADED_LATENCY_FACTOR: f64 = 2.0;
/// Weight of one call in the baseline. Low enough that only a lasting change moves the baseline,
/// and a transient fault does not.
const BASELINE_SAMPLE_WEIGHT: f64 = 0.002;
/// Weight by which the smoothed latency returns to the baseline after one call latency without
/// calls. Without calls nothing else would correct it.
const IDLE_DECAY_WEIGHT: f64 = 0.25;

/// Smoothed latency of calls, in microseconds.
#[derive(Debug, Clone)]
pub(super) struct CallLatency {
    smoothed: f64,
    /// Long-term latency; 0 before the first reply.
    baseline: f64,
    /// Last time at which a call was in flight or the latency decayed.
    idle_since: Micros,
    /// Lower bound of the baseline when detecting degradation: differences between latencies below
    /// one period are noise.
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

    /// Returns whether calls take much longer than the baseline.
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

    /// Moves an elevated latency back towards the baseline while no call is in flight.
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
