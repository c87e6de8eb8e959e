//! Model of one upstream: observations that decay over time, regime changes and predictions.

use crate::completion::{Completion, MICROS_PER_SECOND};
use crate::concurrency_statistics::ConcurrencyStatistics;
use crate::saturation_estimate::{estimate_saturation, SaturationEstimate};
use crate::throughput_history::ThroughputHistory;
use cleatpulley_policy::interface::Micros;

/// Variance of the completions in a window, relative to that of a Poisson count: completions that
/// occur together vary more.
const OVERDISPERSION: f64 = 2.0;
/// Lower bound of the expected completions that the variance is computed from.
const MIN_EXPECTED_COMPLETIONS: f64 = 4.0;
/// Minimum relative difference from the expected completions in a regime change.
const MIN_REGIME_DIFFERENCE: f64 = 0.2;

/// Settings of the decay of observations and of the detection of regime changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelSettings {
    /// Half-life of the weight of an observation.
    pub half_life: Micros,
    /// Length of a window. Each window is compared with the observations before it.
    pub window: Micros,
    /// Minimum difference of a window's completions from the expected ones in a regime change, in
    /// standard deviations.
    pub regime_change_sigmas: f64,
}

impl Default for ModelSettings {
    fn default() -> Self {
        Self {
            half_life: 60_000_000,
            window: 2_000_000,
            regime_change_sigmas: 6.0,
        }
    }
}

/// A prediction for an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Estimate of the saturation point, if there were enough observations.
    pub estimate: Option<SaturationEstimate>,
    /// Throughput of the latest window, in completions per second.
    pub throughput: f64,
    /// Relative difference between the mean number of requests in flight and throughput times mean
    /// latency, which are equal in a steady state by Little's law. A large value means that
    /// requests accumulate, and that the estimate does not describe a steady state.
    pub littles_law_error: f64,
    /// Unused share of the throughput at saturation.
    pub headroom: Option<f64>,
    /// Time to saturation at the current trend of the throughput, in seconds; `None` if it does not
    /// rise.
    pub seconds_to_saturation: Option<f64>,
    /// Number of regime changes since the model was created.
    pub regime_changes: u32,
}

/// The model of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamModel {
    settings: ModelSettings,
    /// Observations of the current regime before the current window.
    history: ConcurrencyStatistics,
    /// Observations of the current window.
    window: ConcurrencyStatistics,
    window_start: Micros,
    in_flight: usize,
    /// Time of the latest event or prediction; 0 before the first one.
    last_update: Micros,
    throughputs: ThroughputHistory,
    regime_changes: u32,
}

impl UpstreamModel {
    /// Creates a model without observations.
    #[must_use]
    pub fn new(settings: ModelSettings) -> Self {
        Self {
            settings,
            history: ConcurrencyStatistics::default(),
            window: ConcurrencyStatistics::default(),
            window_start: 0,
            in_flight: 0,
            last_update: 0,
            throughputs: ThroughputHistory::default(),
            regime_changes: 0,
        }
    }

    /// Handles the sending of a request. Returns the number of requests in flight including it, for
    /// its [`Completion`].
    pub fn on_request_sent(&mut self, now: Micros) -> usize {
        self.advance_time(now);
        self.in_flight += 1;
        self.in_flight
    }

    /// Handles the completion of a request.
    pub fn on_completion(&mut self, now: Micros, completion: Completion) {
        self.advance_time(now);
        let latency_seconds = completion.latency as f64 / MICROS_PER_SECOND;
        self.window.add_completion(self.in_flight);
        self.window
            .add_latency(completion.concurrency, latency_seconds);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns all observations of the current regime, which can be merged with those of other
    /// processes.
    #[must_use]
    pub fn statistics(&self) -> ConcurrencyStatistics {
        let mut statistics = self.history.clone();
        statistics.merge(&self.window);
        statistics
    }

    /// Predicts the saturation point.
    pub fn predict(&mut self, now: Micros) -> Prediction {
        self.advance_time(now);
        let statistics = self.statistics();
        let estimate = estimate_saturation(&statistics);
        let throughput = self.throughputs.latest().max(0.0);
        let window_seconds = self.settings.window as f64 / MICROS_PER_SECOND;
        let trend = self.throughputs.trend(window_seconds);
        let headroom = estimate
            .map(|estimate| (1.0 - trend.level.max(throughput) / estimate.throughput).max(0.0));
        let seconds_to_saturation = estimate
            .filter(|_| trend.slope > 0.0)
            .map(|estimate| ((estimate.throughput - trend.level) / trend.slope).max(0.0));
        Prediction {
            estimate,
            throughput,
            littles_law_error: littles_law_error(&statistics),
            headroom,
            seconds_to_saturation,
            regime_changes: self.regime_changes,
        }
    }

    /// Adds the time since the latest update to the window, and ends the window when its length is
    /// reached.
    fn advance_time(&mut self, now: Micros) {
        if self.last_update == 0 {
            self.last_update = now;
            self.window_start = now;
        }
        let elapsed = now.saturating_sub(self.last_update) as f64 / MICROS_PER_SECOND;
        self.window.add_time(self.in_flight, elapsed);
        self.last_update = self.last_update.max(now);
        if self.last_update >= self.window_start + self.settings.window {
            self.end_window();
        }
    }

    /// Compares the window with the history, and adds it to the history.
    fn end_window(&mut self) {
        let length = self.last_update.saturating_sub(self.window_start) as f64;
        self.throughputs.push(self.window.totals().throughput());
        if self.is_regime_change() {
            // Observations of the previous regime don't apply to the new one.
            self.history = ConcurrencyStatistics::default();
            self.regime_changes += 1;
        } else {
            let remaining_weight = 0.5f64.powf(length / self.settings.half_life as f64);
            self.history.scale(remaining_weight);
        }
        let window = std::mem::take(&mut self.window);
        self.history.merge(&window);
        self.window_start = self.last_update;
    }

    /// Returns whether the completions in the window differ significantly from those that the
    /// history predicts at the same concurrency.
    ///
    /// At a concurrency above the highest one in the history, the throughput at the highest one is
    /// expected: the curve is unknown beyond it, which must not cause a false alarm.
    fn is_regime_change(&self) -> bool {
        let Some(estimate) = estimate_saturation(&self.history) else {
            return false;
        };
        let highest = self.history.highest_concurrency();
        let expected: f64 = self
            .window
            .busy_levels()
            .map(|level| {
                let concurrency = level.concurrency().min(highest);
                level.seconds * estimate.curve.throughput(concurrency)
            })
            .sum();
        let completions: f64 = self
            .window
            .busy_levels()
            .map(|level| level.completions)
            .sum();
        let deviation = (OVERDISPERSION * expected.max(MIN_EXPECTED_COMPLETIONS)).sqrt();
        let is_significant =
            (completions - expected).abs() > self.settings.regime_change_sigmas * deviation;
        let relative_difference = (completions / expected.max(1.0) - 1.0).abs();
        is_significant && relative_difference > MIN_REGIME_DIFFERENCE
    }
}

/// Returns the relative difference between the mean number of requests in flight and throughput
/// times mean latency.
fn littles_law_error(statistics: &ConcurrencyStatistics) -> f64 {
    let expected = statistics.totals().throughput() * statistics.mean_latency();
    if expected > 0.0 {
        (statistics.mean_concurrency() / expected - 1.0).abs()
    } else {
        0.0
    }
}
