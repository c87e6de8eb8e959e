//! Decides when a failed instance may be started again: with an exponential delay per generation, and with at most a
//! fixed number of restarts of the whole fleet within a sliding window.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Delays and budget of restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartPolicy {
    /// Delay after the first failure; it doubles with each further failure in a row.
    #[serde(rename = "first")]
    pub initial_delay: Micros,
    /// Maximum delay.
    #[serde(rename = "most")]
    pub max_delay: Micros,
    /// Maximum number of restarts of the whole fleet within `budget_window`.
    pub budget: usize,
    /// Length of the sliding window for `budget`.
    #[serde(rename = "within")]
    pub budget_window: Micros,
}

/// Failures in a row of each generation, and the recent restarts of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RestartBackoff {
    policy: RestartPolicy,
    seed: u64,
    /// Number of random values drawn for the jitter.
    draws: u64,
    /// For each generation, the number of failures in a row and the earliest time of the next start.
    streaks: BTreeMap<u32, (u32, Micros)>,
    /// Times of the restarts within the budget window, ascending.
    #[serde(rename = "spent")]
    recent_restarts: VecDeque<Micros>,
}

impl RestartBackoff {
    /// Creates the backoff of a fleet without failures.
    #[must_use]
    pub fn new(policy: RestartPolicy, seed: u64) -> Self {
        Self {
            policy,
            seed,
            draws: 0,
            streaks: BTreeMap::new(),
            recent_restarts: VecDeque::new(),
        }
    }

    /// Records a failure of an instance of `generation`.
    pub fn on_failure(&mut self, now: Micros, generation: u32) {
        self.draws += 1;
        let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) >> 11;
        // The jitter is between half of the delay and all of it, so that instances that failed together are not started
        // together.
        let jitter = 0.5 + draw as f64 / (1_u64 << 54) as f64;
        let streak = self.streaks.entry(generation).or_default();
        streak.0 = streak.0.saturating_add(1);
        let doubled = self
            .policy
            .initial_delay
            .saturating_mul(1 << (streak.0 - 1).min(40));
        let delay = doubled.min(self.policy.max_delay) as f64 * jitter;
        streak.1 = streak.1.max(now.saturating_add(delay as Micros));
    }

    /// Records that an instance of `generation` became warm, which resets the delay.
    pub fn on_success(&mut self, generation: u32) {
        self.streaks.remove(&generation);
    }

    /// Returns the number of failures in a row of `generation`.
    #[must_use]
    pub fn consecutive_failures(&self, generation: u32) -> u32 {
        self.streaks.get(&generation).map_or(0, |streak| streak.0)
    }

    /// Returns the earliest time, not before `now`, at which an instance of `generation` may be started.
    #[must_use]
    pub fn earliest_start(&self, now: Micros, generation: u32) -> Micros {
        let Some(&(_, delayed_until)) = self.streaks.get(&generation) else {
            return now;
        };
        let used = self
            .recent_restarts
            .iter()
            .filter(|at| **at + self.policy.budget_window > now)
            .count();
        let budget_from = match used.checked_sub(self.policy.budget) {
            // The budget allows another restart once enough of the recent ones have left the window.
            Some(excess) => self
                .recent_restarts
                .iter()
                .filter(|at| **at + self.policy.budget_window > now)
                .nth(excess)
                .map_or(now, |at| at + self.policy.budget_window),
            None => now,
        };
        now.max(delayed_until).max(budget_from)
    }

    /// Records a start of an instance of `generation`; it uses the budget if the generation failed before.
    pub fn on_start(&mut self, now: Micros, generation: u32) {
        if self.streaks.contains_key(&generation) {
            self.recent_restarts.push_back(now);
        }
        while self
            .recent_restarts
            .front()
            .is_some_and(|at| at + self.policy.budget_window <= now)
        {
            self.recent_restarts.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const POLICY: RestartPolicy = RestartPolicy {
        initial_delay: 100,
        max_delay: 1_000,
        budget: 3,
        budget_window: 10_000,
    };

    #[test]
    fn delay_doubles_up_to_the_maximum_and_is_reset_by_success() {
        let mut backoff = RestartBackoff::new(POLICY, 7);
        assert_eq!(backoff.earliest_start(5, 1), 5);
        for (n, max_delay) in [100, 200, 400, 800, 1_000, 1_000].into_iter().enumerate() {
            let now = 100_000 * (n as u64 + 1);
            backoff.on_failure(now, 1);
            let delay = backoff.earliest_start(now, 1) - now;
            assert!(
                delay * 2 >= max_delay && delay <= max_delay,
                "{delay} of {max_delay}"
            );
            assert_eq!(
                backoff.earliest_start(now, 2),
                now,
                "another generation is not delayed"
            );
        }
        backoff.on_success(1);
        assert_eq!(
            (
                backoff.earliest_start(5, 1),
                backoff.consecutive_failures(1)
            ),
            (5, 0)
        );
    }

    #[test]
    fn all_generations_share_the_restart_budget() {
        let mut backoff = RestartBackoff::new(POLICY, 7);
        (0..3).for_each(|generation| backoff.on_failure(0, generation));
        for n in 0..3 {
            assert!(backoff.earliest_start(1_000 + n, n as u32) <= 1_000 + n);
            backoff.on_start(1_000 + n, n as u32);
        }
        // The first of the three restarts leaves the window at 11,000.
        assert_eq!(backoff.earliest_start(2_000, 1), 11_000);
        assert_eq!(backoff.earliest_start(11_000, 1), 11_000);
    }
}
