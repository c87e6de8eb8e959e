//! Fits a curve to observations, and estimates the saturation point.
//!
//! At a constant concurrency, completions occur at a constant rate, so that their count at a level
//! is approximately Poisson distributed with mean throughput times time. For each shape of a curve,
//! the maximum likelihood scale has a closed form. The shapes on a grid are weighted by their
//! likelihood, and the throughput at saturation is estimated by quantiles of these weights. Unlike
//! gradient-based optimization, this needs no initial value and no stopping criterion.

use crate::concurrency_statistics::{ConcurrencyStatistics, LevelStatistics};
use crate::throughput_curve::{CurveShape, ThroughputCurve};

/// Values of the contention on the grid.
const CONTENTIONS: [f64; 7] = [0.0, 0.01, 0.03, 0.07, 0.15, 0.3, 0.5];
/// Values of the coherence on the grid.
const COHERENCES: [f64; 8] = [0.0, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 3e-2];
/// All numbers of servers up to this one are on the grid; above it they form a geometric series.
const EXACT_SERVERS: usize = 12;
/// Minimum ratio of the geometric series of numbers of servers.
const MIN_SERVERS_RATIO: f64 = 1.12;
/// Maximum number of steps in that series. The ratio is raised to meet it, so that the time of a
/// fit is bounded.
const MAX_SERIES_STEPS: f64 = 24.0;
/// Maximum number of servers on the grid, as a multiple of the highest observed concurrency; more
/// servers make no difference to the observations.
const MAX_SERVERS_PER_CONCURRENCY: f64 = 3.0;
/// Lower bound of the maximum number of servers on the grid.
const MAX_SERVERS_LOWER_BOUND: f64 = 4.0;
/// Weight of the log-likelihood in the interval. Requests in flight together tend to complete
/// together, so that their counts carry less information than independent ones; at full weight the
/// interval would be too narrow.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Weight of the log-likelihood in the median. A lower one is biased towards many servers if the
/// observations are not conclusive.
const MEDIAN_WEIGHT: f64 = 1.0;
/// Quantiles at the ends of the interval.
const INTERVAL_QUANTILES: [f64; 2] = [0.05, 0.95];
/// Half of the relative distance between neighbours on the grid, by which the interval is widened.
const GRID_MARGIN: f64 = 0.02;
/// Minimum number of completions for an estimate.
const MIN_COMPLETIONS: f64 = 50.0;
/// Lower bound of the relative variance of latencies.
const MIN_RELATIVE_VARIANCE: f64 = 1e-4;
/// Lower bound of a squared mean latency used as a divisor, in seconds squared.
const MIN_LATENCY_SQUARE: f64 = 1e-18;

/// An estimate of the saturation point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SaturationEstimate {
    /// The most likely curve.
    pub curve: ThroughputCurve,
    /// Median of the throughput at saturation, in completions per second.
    pub throughput: f64,
    /// Lower end of the 90% interval of the throughput at saturation.
    pub low: f64,
    /// Upper end of that interval.
    pub high: f64,
    /// Number of requests in flight at the saturation point of the most likely curve.
    pub concurrency: f64,
}

/// A curve on the grid.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    curve: ThroughputCurve,
    /// Throughput at the saturation point of the curve.
    peak_throughput: f64,
    log_likelihood: f64,
}

/// Estimates the saturation point. Returns `None` if fewer than 50 requests completed.
#[must_use]
pub fn estimate_saturation(statistics: &ConcurrencyStatistics) -> Option<SaturationEstimate> {
    let observations = Observations::from_statistics(statistics);
    if observations.completions < MIN_COMPLETIONS {
        return None;
    }
    let mut candidates = evaluate_grid(&observations, statistics.highest_concurrency());
    candidates.sort_by(|a, b| a.peak_throughput.total_cmp(&b.peak_throughput));
    let best = candidates
        .iter()
        .max_by(|a, b| a.log_likelihood.total_cmp(&b.log_likelihood))?;
    let quantile = |weight, share| quantile(&candidates, best.log_likelihood, weight, share);
    let [low, high] = INTERVAL_QUANTILES.map(|share| quantile(INTERVAL_WEIGHT, share));
    Some(SaturationEstimate {
        curve: best.curve,
        throughput: quantile(MEDIAN_WEIGHT, 0.5),
        low: low * (1.0 - GRID_MARGIN),
        high: high * (1.0 + GRID_MARGIN),
        concurrency: best.curve.peak().concurrency,
    })
}

/// Returns the weighted quantile of the candidates' peak throughputs at `share`. The weights are
/// the likelihoods relative to the best one, raised to a power.
fn quantile(candidates: &[Candidate], best_log_likelihood: f64, power: f64, share: f64) -> f64 {
    let weight = |candidate: &Candidate| {
        let relative = candidate.log_likelihood - best_log_likelihood;
        (power * relative).exp()
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut sum = 0.0;
    let quantile_candidate = candidates.iter().find(|candidate| {
        sum += weight(candidate);
        sum >= share * total
    });
    quantile_candidate
        .or(candidates.last())
        .map_or(0.0, |candidate| candidate.peak_throughput)
}

/// Evaluates all curves on the grid.
fn evaluate_grid(observations: &Observations, highest_concurrency: f64) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    let mut speedups = vec![0.0; observations.levels.len()];
    for servers in servers_on_grid(highest_concurrency) {
        for contention in CONTENTIONS {
            for coherence in COHERENCES {
                let shape = CurveShape {
                    servers,
                    contention,
                    coherence,
                };
                candidates.push(observations.evaluate(shape, &mut speedups));
            }
        }
    }
    candidates
}

/// Returns the numbers of servers on the grid: all small ones, then a geometric series.
fn servers_on_grid(highest_concurrency: f64) -> Vec<f64> {
    let max_servers =
        (MAX_SERVERS_PER_CONCURRENCY * highest_concurrency).max(MAX_SERVERS_LOWER_BOUND);
    let bounded_ratio = (max_servers / EXACT_SERVERS as f64).powf(1.0 / MAX_SERIES_STEPS);
    let ratio = MIN_SERVERS_RATIO.max(bounded_ratio);
    let mut grid: Vec<f64> = (1..=EXACT_SERVERS)
        .map(|servers| servers as f64)
        .filter(|servers| *servers <= max_servers)
        .collect();
    let mut servers = EXACT_SERVERS as f64 * ratio;
    while servers <= max_servers {
        grid.push(servers);
        servers *= ratio;
    }
    grid
}

/// The observations that a curve is fitted to.
struct Observations {
    /// The observed levels with at least one request in flight.
    levels: Vec<LevelStatistics>,
    completions: f64,
    /// Relative variance of latencies, pooled over the levels.
    relative_latency_variance: f64,
}

impl Observations {
    fn from_statistics(statistics: &ConcurrencyStatistics) -> Self {
        let levels: Vec<LevelStatistics> = statistics.busy_levels().copied().collect();
        Self {
            completions: levels.iter().map(|level| level.completions).sum(),
            relative_latency_variance: relative_latency_variance(&levels),
            levels,
        }
    }

    /// Scales a shape to the observations, and computes its likelihood. `speedups` is a scratch
    /// buffer with one element per level.
    fn evaluate(&self, shape: CurveShape, speedups: &mut [f64]) -> Candidate {
        let mut expected_per_scale = 0.0;
        for (level, speedup) in self.levels.iter().zip(speedups.iter_mut()) {
            *speedup = shape.speedup(level.concurrency());
            expected_per_scale += level.seconds * *speedup;
        }
        let curve = ThroughputCurve {
            single_throughput: self.completions / expected_per_scale,
            shape,
        };
        let log_likelihood = self.completion_log_likelihood(curve.single_throughput, speedups)
            + self.latency_log_likelihood(curve.single_throughput, speedups);
        Candidate {
            curve,
            peak_throughput: curve.peak().throughput,
            log_likelihood,
        }
    }

    /// Returns the log-likelihood of the Poisson counts of completions, up to a constant that is
    /// the same for all curves.
    fn completion_log_likelihood(&self, single_throughput: f64, speedups: &[f64]) -> f64 {
        self.levels
            .iter()
            .zip(speedups)
            .map(|(level, speedup)| level.completions * (single_throughput * speedup).ln())
            .sum::<f64>()
    }

    /// Returns the log-likelihood of the mean latencies, up to a constant that is the same for all
    /// curves. By Little's law the latency of a request sent as the n-th in flight is n divided by
    /// the throughput at n, whether it waits for a server or shares one. Latencies with a low
    /// variance carry more information than counts.
    fn latency_log_likelihood(&self, single_throughput: f64, speedups: &[f64]) -> f64 {
        let squared_errors = self
            .levels
            .iter()
            .zip(speedups)
            .filter(|(level, _)| level.latency_samples > 0.0)
            .map(|(level, speedup)| {
                let expected = level.concurrency() / (single_throughput * speedup);
                level.latency_samples * (level.mean_latency() / expected - 1.0).powi(2)
            });
        -squared_errors.sum::<f64>() / (2.0 * self.relative_latency_variance)
    }
}

/// Returns the relative variance of latencies, pooled over the levels because a single one may have
/// too few requests.
fn relative_latency_variance(levels: &[LevelStatistics]) -> f64 {
    let mut latency_samples: f64 = 0.0;
    let mut squared_deviations = 0.0;
    for level in levels {
        let mean = level.mean_latency();
        let deviations = if level.latency_samples >= 2.0 {
            level.latency_square_sum - level.latency_sum * mean
        } else {
            0.0
        };
        latency_samples += level.latency_samples;
        squared_deviations += deviations.max(0.0) / (mean * mean).max(MIN_LATENCY_SQUARE);
    }
    (squared_deviations / latency_samples.max(1.0)).max(MIN_RELATIVE_VARIANCE)
}
