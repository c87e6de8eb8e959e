//! The priority of requests, and the rank threshold below which arrivals are rejected.

use super::queue::QUEUE_TIME_SHARE;
use super::request_state::RequestState;
use super::Controller;
use crate::interface::Micros;
use std::collections::VecDeque;

/// Number of recent arrivals that a rank is computed from. Gives ranks a resolution of 2 %.
const RECENT_ARRIVALS: usize = 64;
/// Relative difference up to which priorities count as equal.
const PRIORITY_TOLERANCE: f64 = 0.001;
/// Minimum share of its urgency that a request keeps after its latency objective.
const MIN_LATE_URGENCY_RATIO: f64 = 0.01;

/// Filter that rejects arrivals by their rank among recent ones.
#[derive(Debug, Clone)]
pub(super) struct PriorityFilter {
    /// Rank below which arrivals are rejected while others wait, from 0 to 1.
    pub(super) threshold: f64,
    /// Priorities of the most recent arrivals.
    recent: VecDeque<f64>,
}

impl PriorityFilter {
    pub(super) fn new() -> Self {
        Self {
            threshold: 0.0,
            recent: VecDeque::with_capacity(RECENT_ARRIVALS),
        }
    }

    pub(super) fn record_arrival(&mut self, priority: f64) {
        self.recent.push_back(priority);
        if self.recent.len() > RECENT_ARRIVALS {
            self.recent.pop_front();
        }
    }

    /// Returns the share of recent arrivals with lower priority. `rank_in_class` gives the position
    /// among those with equal priority.
    fn rank(&self, priority: f64, rank_in_class: f64) -> f64 {
        let lower = self
            .recent
            .iter()
            .filter(|other| **other < priority * (1.0 - PRIORITY_TOLERANCE))
            .count() as f64;
        let equal = self
            .recent
            .iter()
            .filter(|other| (**other / priority - 1.0).abs() <= PRIORITY_TOLERANCE)
            .count() as f64;
        (lower + equal * rank_in_class) / self.recent.len().max(1) as f64
    }
}

impl Controller {
    /// Returns the weight earned per microsecond of run time, including the requests that share the
    /// response. The weight is reduced for a tenant that exceeds its quota by more than random
    /// variation.
    pub(super) fn priority(&self, request: &RequestState) -> f64 {
        let weight = request.value.weight
            * f64::from(1 + request.sharing_requests)
            * self.quota_factor(request.tenant);
        weight / self.run_time(request).max(1.0)
    }

    /// Returns whether a run started now would end after the latency objective.
    pub(super) fn is_late(&self, request: &RequestState) -> bool {
        self.clock.now as f64 + self.run_time(request) > request.timing.objective_at as f64
    }

    /// Returns the priority, reduced where the response would come after the latency objective.
    pub(super) fn urgency(&self, request: &RequestState) -> f64 {
        let weight_ratio = if self.is_late(request) {
            self.class(request)
                .late_weight_ratio
                .max(MIN_LATE_URGENCY_RATIO)
        } else {
            1.0
        };
        self.priority(request) * weight_ratio
    }

    /// Returns the mean weight ratio of a tenant's requests, which is 1 within its quota.
    fn quota_factor(&self, tenant: usize) -> f64 {
        let Some(tenant_settings) = self.settings.tenants.get(tenant) else {
            return 1.0;
        };
        let quota = tenant_settings.quota_per_second;
        let attempts = self.arrivals.first_attempts(tenant);
        let servers = f64::from(self.settings.servers.max(1));
        let rate = attempts * servers * 1e6 / self.statistics_window();
        let tolerance = 1.0 / attempts.max(1.0).sqrt();
        if quota <= 0.0 || rate <= quota * (1.0 + tolerance) {
            return 1.0;
        }
        let quota_share = quota / rate;
        quota_share + (1.0 - quota_share) * self.settings.over_quota_weight_ratio
    }

    /// Returns the window over which arrivals are counted, in microseconds: the longest client
    /// timeout.
    pub(super) fn statistics_window(&self) -> f64 {
        let longest_timeout = self
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout)
            .max()
            .unwrap_or(0);
        longest_timeout.max(1_000_000) as f64
    }

    /// Returns the rank of a request among recent arrivals, from 0 to 1.
    pub(super) fn rank(&self, request: &RequestState) -> f64 {
        self.priority_filter
            .rank(self.priority(request), request.value.rank_in_class)
    }

    /// Raises the rank threshold while the queued work needs more than the allowed time, and lowers
    /// it otherwise.
    pub(super) fn adjust_rank_threshold(&mut self, elapsed: Micros) {
        let load = self.queue_load();
        let excess =
            (QUEUE_TIME_SHARE * load.waiting_time / load.allowed_time - 1.0).clamp(-1.0, 1.0);
        let step = elapsed as f64 / (2.0 * load.allowed_time);
        let threshold = &mut self.priority_filter.threshold;
        *threshold = (*threshold + excess * step).clamp(0.0, 1.0);
    }
}
