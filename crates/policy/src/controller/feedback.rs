//! Feedback to callers: the advertised capacity, and which idle connections are closed.

use super::concurrency::BUSY_TASKS_PER_CORE;
use super::Controller;
use crate::interface::{Action, FeedbackKind, Micros};

/// The least advertised capacity: with none, no caller would notice a recovery.
const MIN_ADVERTISED_CAPACITY: f64 = 0.1;
/// Requests per parallel run that one caller may have here: one that runs, and one that is on its
/// way or queued.
const REQUESTS_PER_RUN: f64 = 2.0;
/// The feedback value is renewed when the capacity has moved by this much.
const MIN_CAPACITY_CHANGE: f64 = 0.03;
/// The idle timeout is renewed when it has changed by more than this share.
const IDLE_TIMEOUT_TOLERANCE: f64 = 0.1;

/// What callers were last advised of.
#[derive(Debug, Clone)]
pub(super) struct Feedback {
    /// The capacity that callers are to be advised of, from 0 to 1, before the read delay counts.
    pub(super) capacity: f64,
    /// The capacity that the last feedback value stood for.
    last_advertised: f64,
    /// For how long an idle connection is kept, in microseconds.
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
    /// Lowers the advertised capacity while requests wait too long, and raises it otherwise.
    pub(super) fn adjust_advertised_capacity(&mut self, elapsed: Micros) {
        let load = self.queue_load();
        let total_wait = load.waiting_time + self.arrivals.read_delay;
        let excess = (2.0 * total_wait / load.allowed_time - 1.0).clamp(-1.0, 1.0);
        let step = elapsed as f64 / (2.0 * load.allowed_time);
        let highest = self.speed().max(MIN_ADVERTISED_CAPACITY);
        let capacity = self.feedback.capacity - excess * step;
        self.feedback.capacity = capacity.clamp(MIN_ADVERTISED_CAPACITY, highest);
    }

    /// Advises callers of the capacity. It moves in small steps, so that they do not herd.
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

    /// Returns the feedback value for a capacity, in the terms of this deployment's callers.
    fn feedback_value(&self, capacity: f64) -> Option<f64> {
        let classes = self.settings.classes.len().max(1) as f64;
        match self.settings.feedback {
            FeedbackKind::Unused => None,
            FeedbackKind::Weight => Some(capacity),
            FeedbackKind::MinimumRank => Some((1.0 - capacity) * (1.0 - 1.0 / classes)),
            // All that fits, for each caller: few callers send most requests, and a fixed share
            // would keep them from cores that the others leave idle. If together they send too much,
            // the capacity falls.
            FeedbackKind::ConcurrencyAllowance => {
                Some(capacity * REQUESTS_PER_RUN * self.parallel_runs())
            }
        }
    }

    /// Has idle connections closed that are unlikely to carry another request soon.
    ///
    /// With many callers each comes too seldom. A full connection table costs cores and keeps other
    /// callers out. Under load fewer connections are closed, since opening new ones would add to it.
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
