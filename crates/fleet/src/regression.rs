//! Detects that a new generation performs worse than the old one: the shares of rejected, failed and late requests are
//! compared over the same period, with enough samples that the difference is not random.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of requests of an instance by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests served in time.
    pub served: u64,
    /// Requests served too late to be of full use.
    pub late: u64,
    /// Rejected requests.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed requests.
    pub failed: u64,
}

impl RequestCounts {
    /// Returns the number of requests over all outcomes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.served + self.late + self.rejected + self.failed
    }

    fn zip(self, other: Self, with: fn(u64, u64) -> u64) -> Self {
        Self {
            served: with(self.served, other.served),
            late: with(self.late, other.late),
            rejected: with(self.rejected, other.rejected),
            failed: with(self.failed, other.failed),
        }
    }

    /// Returns the sum of both counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the requests counted since `baseline`.
    #[must_use]
    pub fn since(self, baseline: Self) -> Self {
        self.zip(baseline, u64::saturating_sub)
    }
}

/// Thresholds above which a new generation counts as worse than the old one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RegressionThresholds {
    /// Minimum number of requests of each generation; with fewer nothing is compared.
    #[serde(rename = "samples")]
    pub min_samples: u64,
    /// Maximum increase of the share of rejected requests.
    #[serde(rename = "refused")]
    pub max_rejected_increase: f64,
    /// Maximum increase of the share of failed requests.
    #[serde(rename = "failed")]
    pub max_failed_increase: f64,
    /// Maximum increase of the share of late requests.
    #[serde(rename = "late")]
    pub max_late_increase: f64,
    /// Number of standard errors by which an increase has to exceed its maximum.
    #[serde(rename = "errors")]
    pub standard_errors: f64,
}

/// The metric in which a new generation is worse, with its share in both generations.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Regression {
    /// The metric that increased.
    #[serde(rename = "what")]
    pub metric: Metric,
    /// The share of such requests in the new generation.
    #[serde(rename = "new")]
    pub new_share: f64,
    /// The share of such requests in the old generation.
    #[serde(rename = "old")]
    pub old_share: f64,
}

/// A request outcome whose share is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Rejected requests.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed requests.
    Failed,
    /// Late responses.
    Late,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let metric = match self.metric {
            Metric::Rejected => "rejected",
            Metric::Failed => "failed",
            Metric::Late => "late",
        };
        write!(
            f,
            "{:.1}% of requests are {metric}, {:.1}% in the old generation",
            100.0 * self.new_share,
            100.0 * self.old_share
        )
    }
}

/// Returns the first metric in which the new generation is worse than the old one, if any.
#[must_use]
pub fn detect_regression(
    new: RequestCounts,
    old: RequestCounts,
    thresholds: &RegressionThresholds,
) -> Option<Regression> {
    if new.total() < thresholds.min_samples.max(1) || old.total() < thresholds.min_samples.max(1) {
        return None;
    }
    let metrics = [
        (
            Metric::Failed,
            new.failed,
            old.failed,
            thresholds.max_failed_increase,
        ),
        (
            Metric::Rejected,
            new.rejected,
            old.rejected,
            thresholds.max_rejected_increase,
        ),
        (
            Metric::Late,
            new.late,
            old.late,
            thresholds.max_late_increase,
        ),
    ];
    metrics
        .into_iter()
        .find_map(|(metric, new_count, old_count, max_increase)| {
            let (new_total, old_total) = (new.total() as f64, old.total() as f64);
            let (new_share, old_share) =
                (new_count as f64 / new_total, old_count as f64 / old_total);
            let standard_error = (new_share * (1.0 - new_share) / new_total
                + old_share * (1.0 - old_share) / old_total)
                .sqrt();
            (new_share - old_share - max_increase > thresholds.standard_errors * standard_error)
                .then_some(Regression {
                    metric,
                    new_share,
                    old_share,
                })
        })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    const THRESHOLDS: RegressionThresholds = RegressionThresholds {
        min_samples: 200,
        max_rejected_increase: 0.05,
        max_failed_increase: 0.01,
        max_late_increase: 0.05,
        standard_errors: 3.0,
    };

    fn sample_counts(random: &mut SmallRng, total: u64, rejected_share: f64) -> RequestCounts {
        let rejected = (0..total)
            .filter(|_| random.random_bool(rejected_share))
            .count() as u64;
        RequestCounts {
            served: total - rejected,
            rejected,
            ..RequestCounts::default()
        }
    }

    #[test]
    fn detects_a_real_increase_but_not_random_variation() {
        let mut random = SmallRng::seed_from_u64(3);
        let mut detected = [0, 0];
        for _ in 0..500 {
            // Compared again and again with the same share as the old generation, and with far more than the allowed
            // increase.
            let old = sample_counts(&mut random, 2_000, 0.20);
            detected[0] += u32::from(
                detect_regression(sample_counts(&mut random, 2_000, 0.20), old, &THRESHOLDS)
                    .is_some(),
            );
            detected[1] += u32::from(
                detect_regression(sample_counts(&mut random, 2_000, 0.34), old, &THRESHOLDS)
                    .is_some(),
            );
        }
        assert_eq!(detected[0], 0);
        assert!(detected[1] > 490, "{detected:?}");
    }

    #[test]
    fn does_not_compare_fewer_requests_than_the_minimum() {
        let bad = RequestCounts {
            failed: 199,
            ..RequestCounts::default()
        };
        let good = RequestCounts {
            served: 10_000,
            ..RequestCounts::default()
        };
        assert_eq!(detect_regression(bad, good, &THRESHOLDS), None);
        let bad = RequestCounts { failed: 200, ..bad };
        assert_eq!(
            detect_regression(bad, good, &THRESHOLDS).map(|regression| regression.metric),
            Some(Metric::Failed)
        );
        assert_eq!(detect_regression(good, bad, &THRESHOLDS), None);
    }
}
