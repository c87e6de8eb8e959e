//! Accuracy of the estimates over many upstreams.

use crate::experiment::{run_experiment, to_micros, Experiment};
use crate::upstream_kind::UpstreamKind;

/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 60.0;
/// Maximum error by Little's law of an upstream in a steady state.
const MAX_LITTLES_LAW_ERROR: f64 = 0.1;
/// Separates the seed of a run from the seed that its upstream is generated from.
const RUN_SEED_MASK: u64 = 0xACC;

/// Consecutive seeds, one for each upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// Number of seeds.
    pub count: u64,
}

/// Accuracy of the estimated throughput at saturation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Accuracy {
    /// Median relative error.
    pub median_error: f64,
    /// Share of the estimates whose interval contains the true throughput.
    pub coverage: f64,
    /// Number of upstreams excluded because they collapsed, as detected by Little's law: the
    /// throughput of some decreases with concurrency, and they may never recover from an overload.
    pub collapsed: u64,
}

/// Measures the accuracy of the estimates at a load, given as a share of the throughput at
/// saturation.
#[must_use]
pub fn measure_accuracy(load: f64, seeds: SeedRange) -> Accuracy {
    let mut errors = Vec::new();
    let mut covered = 0;
    let mut collapsed = 0;
    for seed in seeds.first..seeds.first + seeds.count {
        let kind = UpstreamKind::random(seed);
        let true_throughput = kind.saturation_throughput();
        let arrival_rate = |_| load * true_throughput;
        let experiment = Experiment::new(kind, &arrival_rate, RUN_SECONDS, seed ^ RUN_SEED_MASK);
        let mut outcome = run_experiment(experiment, |_, _| ());
        let prediction = outcome.model.predict(to_micros(RUN_SECONDS));
        let is_steady = prediction.littles_law_error <= MAX_LITTLES_LAW_ERROR;
        let Some(estimate) = prediction.estimate.filter(|_| is_steady) else {
            collapsed += 1;
            continue;
        };
        errors.push((estimate.throughput / true_throughput - 1.0).abs());
        covered += u64::from(estimate.low <= true_throughput && true_throughput <= estimate.high);
    }
    errors.sort_by(f64::total_cmp);
    let median_error = errors.get(errors.len() / 2);
    Accuracy {
        median_error: median_error.copied().unwrap_or(f64::INFINITY),
        coverage: covered as f64 / errors.len().max(1) as f64,
        collapsed,
    }
}
