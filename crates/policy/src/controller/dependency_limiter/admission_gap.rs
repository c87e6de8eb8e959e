//! Bassoon gapping: each admission closes the dependency for one gap, which grows with the backlog
//! of requests that wait for a call.

use crate::interface::Micros;

/// Weight of the past in the smoothed backlog (alpha in the paper).
const BACKLOG_HISTORY_WEIGHT: f64 = 0.9;
/// The gap shrinks to no less than this share of itself in one period (the least factor in the paper).
const MIN_GROWTH_FACTOR: f64 = 0.2;
/// The shortest gap, in call latencies. It spaces nothing out, and counts as none.
const MIN_GAP_LATENCIES: f64 = 0.1;
/// The longest gap, in call latencies: one that outlives the fault by more would leave a recovered
/// dependency idle.
const MAX_GAP_LATENCIES: f64 = 2.0;

/// The gap between two admissions.
#[derive(Debug, Clone, Default)]
pub(super) struct AdmissionGap {
    /// Smoothed number of requests that wait for their call.
    backlog: f64,
    /// Length of the gap, in microseconds.
    gap: f64,
    last_admission: Micros,
    /// The last admission closed the dependency.
    is_gap_active: bool,
}

impl AdmissionGap {
    pub(super) fn backlog(&self) -> f64 {
        self.backlog
    }

    pub(super) fn gap(&self) -> f64 {
        self.gap
    }

    /// Returns whether a request of this rank is held off: the lowest rank for twice the gap, the
    /// highest for hardly any time.
    pub(super) fn is_closed(&self, now: Micros, rank: f64) -> bool {
        let since_admission = (now - self.last_admission) as f64;
        self.is_gap_active && since_admission < 2.0 * self.gap * (1.0 - rank)
    }

    /// Notes an admission.
    pub(super) fn on_admission(&mut self, now: Micros, latency: f64) {
        self.is_gap_active = self.gap > MIN_GAP_LATENCIES * latency;
        self.last_admission = now;
    }

    /// Smooths the backlog and returns by which factor the gap has to change (factor in the paper).
    ///
    /// Without faltering calls the gap does not grow: the backlog alone is no overload while the
    /// dependency keeps its pace.
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

    /// Changes the gap by a factor, within its bounds.
    pub(super) fn scale(&mut self, factor: f64, latency: f64) {
        self.gap =
            (self.gap * factor).clamp(MIN_GAP_LATENCIES * latency, MAX_GAP_LATENCIES * latency);
    }

    pub(super) fn restore(&mut self, backlog: f64, gap: f64) {
        self.backlog = backlog;
        self.gap = gap;
    }
}
