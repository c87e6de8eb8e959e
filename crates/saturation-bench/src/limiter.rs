//! Limiters of the requests in flight at an emulated upstream.

use cleatpulley_saturation::{Completion, ConcurrencyLimit, SaturationEstimate};

/// A limiter of the requests in flight.
#[derive(Debug, Clone)]
pub enum Limiter {
    /// No limit.
    Unlimited,
    /// A constant limit.
    Fixed(usize),
    /// The reactive limit without estimates.
    Reactive(ConcurrencyLimit),
    /// The reactive limit, adjusted by estimates.
    Predictive(ConcurrencyLimit),
}

impl Limiter {
    pub(crate) fn limit(&self) -> usize {
        match self {
            Self::Unlimited => usize::MAX,
            Self::Fixed(limit) => *limit,
            Self::Reactive(limit) | Self::Predictive(limit) => limit.limit(),
        }
    }

    pub(crate) fn on_completion(&mut self, now: u64, completion: Completion, in_flight: usize) {
        match self {
            Self::Unlimited | Self::Fixed(_) => {}
            Self::Reactive(limit) | Self::Predictive(limit) => {
                limit.on_completion(now, completion, in_flight);
            }
        }
    }

    pub(crate) fn uses_estimates(&self) -> bool {
        matches!(self, Self::Predictive(_))
    }

    pub(crate) fn set_estimate(&mut self, estimate: Option<&SaturationEstimate>) {
        if let Self::Predictive(limit) = self {
            limit.set_estimate(estimate);
        }
    }
}
