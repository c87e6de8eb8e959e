//! This server's quota of concurrent calls, as a mean over a time window.

use super::USABLE_SHARE;
use crate::interface::Micros;

/// Maximum budget, as a share of the quota's call time per window. Small compared with the bursts
/// that a mean over the window tolerates anyway.
const BURST_SHARE: f64 = 0.1;

/// The time during which a call occupied the dependency.
#[derive(Debug, Clone, Copy)]
struct CallSpan {
    made_at: Micros,
    released_at: Micros,
}

/// The quota of call time and its usage.
#[derive(Debug, Clone)]
pub(super) struct CallQuota {
    /// Mean number of concurrent calls allowed over the window, less the headroom.
    mean_concurrency: f64,
    window: Micros,
    /// Remaining call time, in microseconds; negative when overdrawn.
    budget: f64,
    /// Calls that ended within the last window.
    recent: Vec<CallSpan>,
}

impl CallQuota {
    pub(super) fn new(mean_concurrency: f64, window: Micros) -> Self {
        Self {
            mean_concurrency,
            window,
            budget: 0.0,
            recent: Vec::new(),
        }
    }

    /// Returns the maximum number of calls in flight.
    pub(super) fn max_concurrency(&self) -> f64 {
        self.mean_concurrency.max(1.0)
    }

    /// Returns the call time that the full quota, headroom included, allows per window, in
    /// microseconds.
    pub(super) fn call_time_per_window(&self) -> f64 {
        self.mean_concurrency / USABLE_SHARE * self.window as f64
    }

    pub(super) fn is_within_budget(&self) -> bool {
        self.budget >= 0.0
    }

    /// Returns the number of calls that occupy the dependency: those in flight, and abandoned ones
    /// that it still works on.
    pub(super) fn concurrency(&self, now: Micros, in_flight: usize) -> usize {
        let lingering = self
            .recent
            .iter()
            .filter(|call| call.released_at > now)
            .count();
        in_flight + lingering
    }

    /// Returns the remaining call time of the last window, in microseconds, where the quota is
    /// below one concurrent call.
    ///
    /// This protects a dependency that becomes slow, when the calls of all servers last as long as
    /// their timeouts allow.
    pub(super) fn remaining_time(&self, now: Micros) -> Option<f64> {
        let window_start = now.saturating_sub(self.window);
        let used: Micros = self
            .recent
            .iter()
            .map(|call| {
                call.released_at
                    .saturating_sub(call.made_at.max(window_start))
            })
            .sum();
        (self.mean_concurrency < 1.0).then(|| self.call_time_per_window() - used as f64)
    }

    pub(super) fn record_call(&mut self, made_at: Micros, released_at: Micros) {
        self.recent.push(CallSpan {
            made_at,
            released_at,
        });
    }

    /// Refills the budget for a period of length `elapsed`, less the call time used in it.
    pub(super) fn adjust(&mut self, now: Micros, elapsed: Micros, in_flight: usize) {
        self.recent
            .retain(|call| call.released_at + self.window > now);
        let unused_concurrency = self.mean_concurrency - self.concurrency(now, in_flight) as f64;
        let gained = unused_concurrency * elapsed as f64;
        let max_budget = BURST_SHARE * self.mean_concurrency * self.window as f64;
        self.budget = (self.budget + gained).min(max_budget);
    }
}
