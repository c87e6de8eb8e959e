//! Statistics of arrivals over all classes.

use super::request_state::RequestState;
use super::smoothing::smooth;
use crate::interface::Micros;

/// Weight of one arrival in the smoothed share of retries.
const RETRY_SAMPLE_WEIGHT: f64 = 0.03;
/// Share by which the read delay decays in each period. Without arrivals nothing else would lower
/// it.
const READ_DELAY_DECAY: f64 = 0.01;

/// Smoothed and decaying statistics of arrivals.
#[derive(Debug, Clone)]
pub(super) struct ArrivalStatistics {
    /// Number of first attempts by tenant, decaying over the statistics window.
    first_attempts: Vec<f64>,
    /// Number of arrivals, decaying over the statistics window.
    arrivals: f64,
    /// Smoothed time between the arrival of a request and its read, in microseconds.
    pub(super) read_delay: f64,
    /// Smoothed share of retries among the arrivals, from 0 to 1.
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

    /// Decays the counts of arrivals for a period of length `elapsed`. The window is in
    /// microseconds.
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
