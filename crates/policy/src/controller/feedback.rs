//! Feedback to callers: the advertised capacity, and the idle timeout of connections.

use super::concurrency::BUSY_TASKS_PER_CORE;
use super::Controller;
use crate::interface::{Action, FeedbackKind, Micros};

/// Minimum advertised capacity. With none, no caller would send requests and notice a recovery.
const MIN_ADVERTISED_CAPACITY: f64 = 0.1;
/// Allowance of outstanding requests per parallel run: one that runs, and one in transit or queued.
const REQUESTS_PER_RUN: f64 = 2.0;
/// Change of the capacity from which the feedback value is updated.
const MIN_CAPACITY_CHANGE: f64 = 0.03;
/// Relative change above which the idle timeout is updated.
const IDLE_TIMEOUT_TOLERANCE: f64 = 0.1;

/// The feedback that callers received last.
#[derive(Debug, Clone)]
pub(super) struct Feedback {
    /// Capacity to advertise, from 0 to 1, before the read delay is deducted.
    pub(super) capacity: f64,
    /// Capacity that was advertised last, from 0 to 1.
    last_advertised: f64,
    /// Time for which an idle connection is kept open, in microseconds.
    idle_timeout: f64,
}

impl Feedback {
    pub(super) fn new(client_idle_timeout: Micros) -> Self {
        Self {
            capacity: 1.0,
            last_advertised: 1.0,
            idle_timeout: client_idle_timeout as f64,
        }
    }
}

impl Controller {
    /// Lowers the capacity to advertise while requests wait too long, and raises it otherwise.
    pub(super) fn adjust_advertised_capacity(&mut self, elapsed: Micros) {
        let load = self.queue_load();
        let total_wait = load.waiting_time + self.arrivals.read_delay;
        let excess = (2.0 * total_wait / load.allowed_time - 1.0).clamp(-1.0, 1.0);
        let step = elapsed as f64 / (2.0 * load.allowed_time);
        let highest = self.speed().max(MIN_ADVERTISED_CAPACITY);
        let capacity = self.feedback.capacity - excess * step;
        self.feedback.capacity = capacity.clamp(MIN_ADVERTISED_CAPACITY, highest);
    }

    /// Advertises the capacity to callers. It changes in small steps, which prevents herding.
    pub(super) fn advertise_capacity(&mut self, actions: &mut Vec<Action>) {
        let capacity = self.capacity_to_advertise();
        let last = self.feedback.last_advertised;
        let is_unchanged = (capacity - last).abs() < MIN_CAPACITY_CHANGE;
        if is_unchanged && (capacity < 1.0) == (last < 1.0) {
            return;
        }
        self.feedback.last_advertised = capacity;
        if let Some(value) = self.feedback_value(capacity) {
            actions.push(Action::SetFeedback(value));
        }
    }

    fn capacity_to_advertise(&self) -> f64 {
        if self.is_draining_without_successor() {
            return 0.0;
        }
        let delay_share = self.arrivals.read_delay / self.queue_load().allowed_time;
        (self.feedback.capacity * (1.0 - delay_share)).max(MIN_ADVERTISED_CAPACITY)
    }

    /// Returns the feedback value for a capacity, as the callers of this deployment interpret it.
    fn feedback_value(&self, capacity: f64) -> Option<f64> {
        let classes = self.settings.classes.len().max(1) as f64;
        match self.settings.feedback {
            FeedbackKind::Unused => None,
            FeedbackKind::Weight => Some(capacity),
            FeedbackKind::MinimumRank => Some((1.0 - capacity) * (1.0 - 1.0 / classes)),
            // Each caller may use the whole capacity: few callers send most of the requests, and a
            // fixed share would keep them from cores that the others leave idle. If all callers
            // together send too much, the capacity falls.
            FeedbackKind::ConcurrencyAllowance => {
                Some(capacity * REQUESTS_PER_RUN * self.parallel_runs())
            }
        }
    }

    /// Adjusts the idle timeout so that connections unlikely to carry another request soon are
    /// closed.
    ///
    /// With many callers each one rarely reuses its connection. A full connection table costs CPU
    /// time and keeps other callers out. Under load fewer connections are closed, since opening new
    /// ones would add to the load.
    pub(super) fn adjust_idle_timeout(&mut self, actions: &mut Vec<Action>) {
        let client_timeout = self.settings.client_idle_timeout as f64;
        let callers = f64::from(self.settings.callers);
        let interval = callers * self.statistics_window() / self.arrivals.arrivals().max(1.0);
        let cores = f64::from(self.settings.cores.max(1));
        let runnable = self.concurrency.runnable.unwrap_or(0.0);
        let load = (runnable / cores / BUSY_TASKS_PER_CORE).max(1.0);
        let reuse_chance = (load * client_timeout / interval.max(1.0)).min(1.0);
        let timeout = client_timeout * reuse_chance.powi(2);
        let last = self.feedback.idle_timeout;
        let is_shorter = timeout < (1.0 - IDLE_TIMEOUT_TOLERANCE) * last;
        let is_longer = timeout > (1.0 + IDLE_TIMEOUT_TOLERANCE) * last;
        if is_shorter || is_longer {
            self.feedback.idle_timeout = timeout;
            let timeout = (timeout as Micros).max(self.clock.period);
            actions.push(Action::CloseIdleConnections(timeout));
        }
    }
}
