//! Bassoon gapping: each admission closes the dependency for a gap that grows with the backlog of
//! requests that wait for a call.

use crate::interface::Micros;

/// Weight of the previous value in the smoothed backlog (alpha in the paper on Bassoon gapping).
const BACKLOG_HISTORY_WEIGHT: f64 = 0.9;
/// Minimum factor by which the gap changes in one period (the lower bound of phi in the paper).
const MIN_GROWTH_FACTOR: f64 = 0.2;
/// Minimum gap, in call latencies. A gap of this length has no effect and counts as none.
const MIN_GAP_LATENCIES: f64 = 0.1;
/// Maximum gap, in call latencies. A longer one would leave the dependency idle after it recovered
/// from a fault.
const MAX_GAP_LATENCIES: f64 = 2.0;

/// The minimum time between two admissions.
#[derive(Debug, Clone, Default)]
pub(super) struct AdmissionGap {
    /// Smoothed number of requests that wait for their call.
    backlog: f64,
    /// Length of the gap, in microseconds.
    gap: f64,
    last_admission: Micros,
    /// Whether the last admission closed the dependency.
    is_gap_active: bool,
}

impl AdmissionGap {
    pub(super) fn backlog(&self) -> f64 {
        self.backlog
    }

    pub(super) fn gap(&self) -> f64 {
        self.gap
    }

    /// Returns whether a request of this rank is blocked. Rank 0 is blocked for twice the gap, rank
    /// 1 not at all.
    pub(super) fn is_closed(&self, now: Micros, rank: f64) -> bool {
        let since_admission = (now - self.last_admission) as f64;
        self.is_gap_active && since_admission < 2.0 * self.gap * (1.0 - rank)
    }

    /// Records an admission. `latency` is the call latency, in microseconds.
    pub(super) fn on_admission(&mut self, now: Micros, latency: f64) {
        self.is_gap_active = self.gap > MIN_GAP_LATENCIES * latency;
        self.last_admission = now;
    }

    /// Smooths the backlog and returns the factor by which the gap has to change (phi in the
    /// paper).
    ///
    /// The gap does not grow unless calls are degraded: a backlog alone is no overload while the
    /// dependency keeps its usual latency.
    pub(super) fn growth_factor(
        &mut self,
        backlog: usize,
        call_limit: f64,
        is_degraded: bool,
    ) -> f64 {
        self.backlog =
            BACKLOG_HISTORY_WEIGHT * self.backlog + (1.0 - BACKLOG_HISTORY_WEIGHT) * backlog as f64;
        let factor = (self.backlog / call_limit.max(1.0)).max(MIN_GROWTH_FACTOR);
        if is_degraded {
            factor
        } else {
            factor.min(1.0)
        }
    }

    /// Multiplies the gap by `factor`, within its bounds.
    pub(super) fn scale(&mut self, factor: f64, latency: f64) {
        self.gap =
            (self.gap * factor).clamp(MIN_GAP_LATENCIES * latency, MAX_GAP_LATENCIES * latency);
    }

    pub(super) fn restore(&mut self, backlog: f64, gap: f64) {
        self.backlog = backlog;
        self.gap = gap;
    }
}
