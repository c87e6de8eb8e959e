//! Statistics of each request class.

use super::smoothing::smooth;
use crate::interface::{Class, Micros};
use crate::learned_state::LearnedClass;

/// Assumed time of a run before the first one was measured, as a share of the latency objective.
const INITIAL_RUN_OBJECTIVE_SHARE: f64 = 0.25;
/// Factor by which a run is assumed to take longer on a cold server.
const COLD_RUN_TIME_FACTOR: f64 = 2.0;
/// Share of the run time that scales with the work hint. The rest does not: waiting times do not
/// grow with the work, and hints are imprecise.
const HINT_WEIGHT: f64 = 0.5;
/// Lower bound of the relative size by which a run time is normalized.
const MIN_RELATIVE_SIZE: f64 = 0.1;

/// Statistics of the requests of one class.
#[derive(Debug, Clone)]
pub(super) struct ClassStatistics {
    /// Smoothed time of a run of typical size, calls included, in microseconds.
    pub(super) run_time: f64,
    /// Smoothed hint of the expected work, in microseconds; 0 before the first hint.
    expected_work: f64,
    /// Longest time to its deadline that a first attempt arrived with; 0 before the first one.
    longest_remaining_time: Micros,
}

impl ClassStatistics {
    pub(super) fn new(class: &Class, cold_start: bool) -> Self {
        let share = if cold_start {
            COLD_RUN_TIME_FACTOR * INITIAL_RUN_OBJECTIVE_SHARE
        } else {
            INITIAL_RUN_OBJECTIVE_SHARE
        };
        Self {
            run_time: (share * class.latency_objective as f64).max(1.0),
            expected_work: 0.0,
            longest_remaining_time: 0,
        }
    }

    /// Estimates the time between the client's first attempt and this one.
    ///
    /// A retry with less remaining time than a first attempt is older by at least the difference.
    /// For a retry with more, the client timeout over all attempts is the reference.
    pub(super) fn estimate_age(
        &mut self,
        remaining: Micros,
        is_retry: bool,
        client_timeout: Micros,
    ) -> Micros {
        if !is_retry {
            self.longest_remaining_time = self.longest_remaining_time.max(remaining);
            return 0;
        }
        let longest = self.longest_remaining_time;
        let initial_time = if remaining > longest && longest > 0 {
            client_timeout
        } else {
            longest
        };
        initial_time.saturating_sub(remaining)
    }

    /// Returns the size of a request relative to the typical size of its class; 1 where it has no
    /// hint.
    pub(super) fn relative_size(&mut self, expected_work: Option<Micros>) -> f64 {
        let Some(work) = expected_work else {
            return 1.0;
        };
        self.expected_work = if self.expected_work > 0.0 {
            smooth(self.expected_work, work as f64)
        } else {
            work as f64
        };
        HINT_WEIGHT * work as f64 / self.expected_work + (1.0 - HINT_WEIGHT)
    }

    /// Returns the work of a request of this relative size, in microseconds.
    pub(super) fn work(&self, relative_size: f64) -> f64 {
        relative_size * self.expected_work.max(1.0)
    }

    /// Records the time of a successful run.
    pub(super) fn on_run_completed(&mut self, elapsed: Micros, relative_size: f64) {
        let time_at_typical_size = elapsed as f64 / relative_size.max(MIN_RELATIVE_SIZE);
        self.run_time = smooth(self.run_time, time_at_typical_size).max(1.0);
    }

    pub(super) fn to_learned(&self) -> LearnedClass {
        LearnedClass {
            run_time: self.run_time,
            expected_work: self.expected_work,
            longest_remaining_time: self.longest_remaining_time,
        }
    }

    pub(super) fn restore(&mut self, learned: &LearnedClass) {
        self.run_time = learned.run_time;
        self.expected_work = learned.expected_work;
        self.longest_remaining_time = learned.longest_remaining_time;
    }
}
