//! Limit on the number of requests in flight at one upstream.
//!
//! The limit is reactive (AIMD): additive increase while latencies are acceptable, multiplicative
//! decrease when they are too long. An estimate of the saturation point adjusts the limit only
//! within fixed factors of the reactive one, and only if its interval is narrow, so that a missing
//! or wrong estimate does little harm.

use crate::completion::Completion;
use crate::saturation_estimate::SaturationEstimate;
use cleatpulley_policy::interface::Micros;

/// Maximum ratio of the upper to the lower end of an estimate's interval for the estimate to be
/// used.
const MAX_INTERVAL_RATIO: f64 = 1.6;
/// Predicted limit as a multiple of the concurrency at saturation: a short queue keeps the servers
/// busy.
const QUEUE_FACTOR: f64 = 1.25;
/// Minimum predicted limit, as a multiple of the reactive one.
const MIN_PREDICTED_FACTOR: f64 = 0.5;
/// Maximum predicted limit, as a multiple of the reactive one.
const MAX_PREDICTED_FACTOR: f64 = 2.0;
/// Latency that indicates overload, as a multiple of the uncontended one.
const OVERLOAD_LATENCY_FACTOR: f64 = 2.5;
/// Factor of a multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum time between two decreases, in mean latencies: requests sent before a decrease still
/// complete late.
const DECREASE_INTERVAL_LATENCIES: Micros = 2;
/// Maximum concurrency at which a request counts as uncontended.
const UNCONTENDED_CONCURRENCY: usize = 2;
/// Smoothing weight of one request in the uncontended latency.
const UNCONTENDED_WEIGHT: f64 = 0.02;
/// Smoothing weight of one request in the recent latency.
const RECENT_WEIGHT: f64 = 0.05;
/// Initial reactive limit.
const INITIAL_LIMIT: f64 = 4.0;

/// An adaptive limit on the number of requests in flight.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    reactive: f64,
    /// Smoothed latency of uncontended requests, in microseconds; 0 before the first completion.
    uncontended_latency: f64,
    /// Smoothed latency of all requests, in microseconds.
    recent_latency: f64,
    last_decrease: Micros,
    predicted: Option<f64>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            reactive: INITIAL_LIMIT,
            uncontended_latency: 0.0,
            recent_latency: 0.0,
            last_decrease: 0,
            predicted: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Adjusts the reactive limit after a completion, before which `in_flight` requests were in
    /// flight.
    pub fn on_completion(&mut self, now: Micros, completion: Completion, in_flight: usize) {
        self.smooth_latencies(completion);
        if self.recent_latency > OVERLOAD_LATENCY_FACTOR * self.uncontended_latency {
            self.decrease(now);
        } else if in_flight as f64 + 1.0 >= self.reactive {
            self.reactive += 1.0 / self.reactive;
        }
    }

    fn smooth_latencies(&mut self, completion: Completion) {
        let latency = completion.latency as f64;
        if self.uncontended_latency == 0.0 {
            self.uncontended_latency = latency;
            self.recent_latency = latency;
        }
        if completion.concurrency <= UNCONTENDED_CONCURRENCY {
            self.uncontended_latency += UNCONTENDED_WEIGHT * (latency - self.uncontended_latency);
        }
        self.recent_latency += RECENT_WEIGHT * (latency - self.recent_latency);
    }

    fn decrease(&mut self, now: Micros) {
        let interval = DECREASE_INTERVAL_LATENCIES * self.recent_latency as Micros;
        if now >= self.last_decrease + interval {
            self.reactive = (self.reactive * DECREASE_FACTOR).max(1.0);
            self.last_decrease = now;
        }
    }

    /// Sets the current estimate. Without one, or with a wide interval, the limit is purely
    /// reactive.
    pub fn set_estimate(&mut self, estimate: Option<&SaturationEstimate>) {
        self.predicted = estimate
            .filter(|estimate| estimate.high <= MAX_INTERVAL_RATIO * estimate.low)
            .map(|estimate| (QUEUE_FACTOR * estimate.concurrency).ceil() + 1.0);
    }

    /// Returns the maximum number of requests in flight, at least 1.
    #[must_use]
    pub fn limit(&self) -> usize {
        let limit = match self.predicted {
            Some(predicted) => predicted.clamp(
                MIN_PREDICTED_FACTOR * self.reactive,
                MAX_PREDICTED_FACTOR * self.reactive,
            ),
            None => self.reactive,
        };
        limit.max(1.0) as usize
    }
}
