//! What is measured of each class of requests.

use super::smoothing::smooth;
use crate::interface::{Class, Micros};
use crate::learned_state::LearnedClass;

/// Share of a class's latency objective that a run is assumed to take before one was measured.
const INITIAL_RUN_OBJECTIVE_SHARE: f64 = 0.25;
/// By how much more a run is assumed to take on a server that is still cold.
const COLD_RUN_TIME_FACTOR: f64 = 2.0;
/// Share of a run's time that scales with the hint of its work: waiting times do not grow with
/// work, and hints are rough.
const HINT_WEIGHT: f64 = 0.5;
/// Relative size at which the time of a small run still counts.
const MIN_RELATIVE_SIZE: f64 = 0.1;

/// Measurements of the requests of one class.
#[derive(Debug, Clone)]
pub(super) struct ClassStatistics {
    /// Smoothed time of a run of usual size, calls included, in microseconds.
    pub(super) run_time: f64,
    /// Smoothed hint of the expected work, in microseconds; 0 before the first.
    expected_work: f64,
    /// The longest remaining time that a first attempt arrived with; 0 before the first.
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

    /// Estimates how long before this attempt the client's first attempt was made.
    ///
    /// A retry with less time left than a first attempt is at least so much older. One with more
    /// has what is left of the time that its client waits over all attempts.
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

    /// Returns a request's size relative to the usual one of its class; 1 where there is no hint.
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

    /// Returns the work of a request of this size, in microseconds.
    pub(super) fn work(&self, relative_size: f64) -> f64 {
        relative_size * self.expected_work.max(1.0)
    }

    /// Takes the time of a successful run into account.
    pub(super) fn on_run_completed(&mut self, elapsed: Micros, relative_size: f64) {
        let time_at_usual_size = elapsed as f64 / relative_size.max(MIN_RELATIVE_SIZE);
        self.run_time = smooth(self.run_time, time_at_usual_size).max(1.0);
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
