//! The queue: the order in which requests run, and which requests are shed so that the others
//! finish in time.

use super::request_state::RequestState;
use super::Controller;
use crate::interface::{Action, Micros, RequestId};

/// Share of the slack before the latency objective that queued work may use. The rest absorbs the
/// variance of run times.
pub(super) const QUEUE_TIME_SHARE: f64 = 0.5;
/// Minimum slack for queueing, as a share of the latency objective, however long the runs of a
/// class take.
const MIN_SLACK_SHARE: f64 = 0.1;

/// The time that the queued work needs, and the time that it may take; both in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueLoad {
    /// Expected time until all queued work is started.
    pub(super) waiting_time: f64,
    /// Time allowed by the class with the least slack before its latency objective.
    pub(super) allowed_time: f64,
}

/// Position in the queue: requests that can meet their objective come first, each group by due
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    is_late: bool,
    due_at: Micros,
    id: RequestId,
}

impl Controller {
    /// Returns the ids of the queued requests in the order in which they run.
    pub(super) fn run_order(&self) -> Vec<RequestId> {
        let mut queue: Vec<QueuePosition> = self
            .requests
            .queued()
            .map(|request| self.queue_position(request))
            .collect();
        queue.sort_unstable();
        queue.into_iter().map(|position| position.id).collect()
    }

    fn queue_position(&self, request: &RequestState) -> QueuePosition {
        let is_late = self.is_late(request);
        let due_at = if is_late {
            request.timing.respond_by
        } else {
            request.timing.objective_at
        };
        QueuePosition {
            is_late,
            due_at,
            id: request.id,
        }
    }

    /// Sheds queued requests until all others can finish in time. Shedding early lets their callers
    /// still fail over to another server.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.next_to_shed() {
            let Some(request) = self.requests.remove(id) else {
                return;
            };
            self.reject(&request, actions);
        }
    }

    /// Returns the request to shed next, if any: the least urgent one among the first request that
    /// can't finish in time and those that run before it.
    fn next_to_shed(&self) -> Option<RequestId> {
        if self.can_all_finish_in_time() {
            return None;
        }
        let has_free_core = self.cores_in_use() < self.concurrency.limit();
        // Counted once: counting for each queued request would cost the square of their number.
        let parallel_runs = self.parallel_runs();
        let stall_time = self.stall_time();
        let mut work_ahead = 0.0;
        let mut least_urgency = f64::INFINITY;
        let mut least_urgent = 0;
        for id in self.run_order() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let wait = if work_ahead == 0.0 && has_free_core {
                0.0
            } else {
                work_ahead / parallel_runs + stall_time
            };
            let urgency = self.urgency(request);
            if urgency <= least_urgency {
                least_urgency = urgency;
                least_urgent = id;
            }
            if !self.can_finish_in_time(request, wait) {
                return Some(least_urgent);
            }
            work_ahead += self.run_time(request);
        }
        None
    }

    /// Returns whether each queued request would finish in time even if it ran last. This is decided
    /// without the order of the queue, since it holds for most arrivals.
    fn can_all_finish_in_time(&self) -> bool {
        let longest_wait = self.queue_load().waiting_time;
        self.requests.queued().all(|request| {
            let end = self.clock.now as f64 + longest_wait + self.run_time(request);
            end <= self.latest_useful_time(request) as f64
        })
    }

    /// Returns whether a request that starts after `wait` microseconds finishes in time. If it is
    /// the only request it may always run, so that a recovery is noticed.
    fn can_finish_in_time(&self, request: &RequestState, wait: f64) -> bool {
        let end = self.clock.now as f64 + wait + self.run_time(request);
        let latest = self.latest_useful_time(request);
        end <= latest as f64
            || self
                .requests
                .iter()
                .all(|other| other.is_settled || other.id == request.id)
    }

    /// Returns the time until which a response to the request earns any weight.
    pub(super) fn latest_useful_time(&self, request: &RequestState) -> Micros {
        if self.class(request).late_weight_ratio > 0.0 {
            request.timing.respond_by
        } else {
            request.timing.objective_at
        }
    }

    /// Returns the time that the queued work needs, and the time that it may take.
    pub(super) fn queue_load(&self) -> QueueLoad {
        let work: f64 = self
            .requests
            .queued()
            .map(|request| self.run_time(request))
            .sum();
        let waiting_time = if work > 0.0 {
            work / self.parallel_runs() + self.stall_time()
        } else {
            0.0
        };
        let allowed_time = self
            .settings
            .classes
            .iter()
            .zip(&self.class_statistics)
            .map(|(class, statistics)| {
                let objective = class.latency_objective as f64;
                let slack = objective - statistics.run_time;
                QUEUE_TIME_SHARE * slack.max(MIN_SLACK_SHARE * objective)
            })
            .fold(f64::INFINITY, f64::min);
        QueueLoad {
            waiting_time,
            allowed_time: allowed_time.max(1.0),
        }
    }
}
