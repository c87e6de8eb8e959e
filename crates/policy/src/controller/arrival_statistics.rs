//! What is measured of arrivals, whatever their class.

use super::request_state::RequestState;
use super::smoothing::smooth;
use crate::interface::Micros;

/// Weight of one arrival in the share of retries.
const RETRY_SAMPLE_WEIGHT: f64 = 0.03;
/// Share by which the read delay fades in a period: with nothing left to read, nothing else would
/// lower it.
const READ_DELAY_DECAY: f64 = 0.01;

/// Smoothed and fading measurements of arrivals.
#[derive(Debug, Clone)]
pub(super) struct ArrivalStatistics {
    /// First attempts of each tenant, fading over the statistics window.
    first_attempts: Vec<f64>,
    /// All arrivals, fading over the statistics window.
    arrivals: f64,
    /// Smoothed time that requests wait before they are read, in microseconds.
    pub(super) read_delay: f64,
    /// Smoothed share of retries.
    pub(super) retry_ratio: f64,
}

impl ArrivalStatistics {
    pub(super) fn new(tenant_count: usize) -> Self {
        Self {
            first_attempts: vec![0.0; tenant_count.max(1)],
            arrivals: 0.0,
            read_delay: 0.0,
            retry_ratio: 0.0,
        }
    }

    pub(super) fn first_attempts(&self, tenant: usize) -> f64 {
        self.first_attempts[tenant]
    }

    pub(super) fn arrivals(&self) -> f64 {
        self.arrivals
    }

    pub(super) fn record_read_delay(&mut self, delay: Micros) {
        self.read_delay = smooth(self.read_delay, delay as f64);
    }

    pub(super) fn record_arrival(&mut self, request: &RequestState) {
        let is_retry = f64::from(u8::from(request.is_retry));
        self.retry_ratio += RETRY_SAMPLE_WEIGHT * (is_retry - self.retry_ratio);
        self.arrivals += 1.0;
        if !request.is_retry {
            self.first_attempts[request.tenant] += 1.0;
        }
    }

    /// Lets the counts of arrivals decay by `elapsed` over the statistics window.
    pub(super) fn decay_counts(&mut self, elapsed: Micros, statistics_window: f64) {
        let remaining = (1.0 - elapsed as f64 / statistics_window).max(0.0);
        for attempts in &mut self.first_attempts {
            *attempts *= remaining;
        }
        self.arrivals *= remaining;
    }

    pub(super) fn decay_read_delay(&mut self) {
        self.read_delay *= 1.0 - READ_DELAY_DECAY;
    }
}
