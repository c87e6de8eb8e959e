//! This server's quota of calls, as a mean over a window of time.

use super::USABLE_SHARE;
use crate::interface::Micros;

/// Share of the window by which the mean may run ahead of the quota: little in comparison with what
/// the mean forgives.
const BURST_SHARE: f64 = 0.1;

/// When a call occupied the dependency.
#[derive(Debug, Clone, Copy)]
struct CallSpan {
    made_at: Micros,
    released_at: Micros,
}

/// The quota and what was used of it.
#[derive(Debug, Clone)]
pub(super) struct CallQuota {
    /// Concurrent calls, as a mean over the window, with a margin taken off.
    mean_concurrency: f64,
    window: Micros,
    /// Call time that the quota still allows, in microseconds; negative where it was overdrawn.
    budget: f64,
    /// The calls that ended within the last window.
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

    /// The most calls that may ever be in flight at a time.
    pub(super) fn max_concurrency(&self) -> f64 {
        self.mean_concurrency.max(1.0)
    }

    /// The call time of one window that the quota without its margin stands for, in microseconds.
    pub(super) fn call_time_per_window(&self) -> f64 {
        self.mean_concurrency / USABLE_SHARE * self.window as f64
    }

    pub(super) fn is_within_budget(&self) -> bool {
        self.budget >= 0.0
    }

    /// Returns how many calls occupy the dependency: those in flight and those that linger there.
    pub(super) fn concurrency(&self, now: Micros, in_flight: usize) -> usize {
        let lingering = self
            .recent
            .iter()
            .filter(|call| call.released_at > now)
            .count();
        in_flight + lingering
    }

    /// Returns the call time that is left of the last window, in microseconds, where the quota is
    /// below one call.
    ///
    /// This protects a dependency that turns slow, when all servers at once make calls as long as
    /// they may.
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

    /// Refills the budget for the time `elapsed`, less what the calls of that time used.
    pub(super) fn adjust(&mut self, now: Micros, elapsed: Micros, in_flight: usize) {
        self.recent
            .retain(|call| call.released_at + self.window > now);
        let unused_concurrency = self.mean_concurrency - self.concurrency(now, in_flight) as f64;
        let gained = unused_concurrency * elapsed as f64;
        let max_budget = BURST_SHARE * self.mean_concurrency * self.window as f64;
        self.budget = (self.budget + gained).min(max_budget);
    }
}
