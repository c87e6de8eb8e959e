//! Accuracy of the estimates at partial load.

use super::report::Report;
use cleatpulley_saturation_bench::{measure_accuracy, SeedRange};

/// A load, as a share of the throughput at saturation, and the maximum median error at that load.
struct Goal {
    load: f64,
    median_error: f64,
}

const GOALS: [Goal; 2] = [
    Goal {
        load: 0.6,
        median_error: 0.15,
    },
    Goal {
        load: 0.8,
        median_error: 0.07,
    },
];

/// The seeds that the model was calibrated with, and held-out ones.
const SEEDS: [SeedRange; 2] = [
    SeedRange {
        first: 0,
        count: 200,
    },
    SeedRange {
        first: 5_000,
        count: 100,
    },
];

/// Accepted coverage of the 90% interval.
const COVERAGES: std::ops::RangeInclusive<f64> = 0.85..=0.955;

/// Checks the median error and the coverage of the interval.
pub fn check(report: &mut Report) {
    println!(
        "throughput at saturation, 200 upstreams of several kinds, 60 s each, and 100 by other seeds"
    );
    for goal in GOALS {
        for seeds in SEEDS {
            let accuracy = measure_accuracy(goal.load, seeds);
            let figure = format!(
                "  at {:.0}% of load: median error {:.1}% (goal {:.0}%), the interval contains the truth in {:.0}% (goal 85 to 95%), {} collapsed",
                goal.load * 100.0,
                accuracy.median_error * 100.0,
                goal.median_error * 100.0,
                accuracy.coverage * 100.0,
                accuracy.collapsed,
            );
            let meets_goal = accuracy.median_error <= goal.median_error
                && COVERAGES.contains(&accuracy.coverage);
            report.check(meets_goal, figure);
        }
    }
}
