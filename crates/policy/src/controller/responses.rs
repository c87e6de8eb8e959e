//! Final responses other than results: rejections, failures and deadlines.

use super::queue::QUEUE_TIME_SHARE;
use super::request_state::{RequestStage, RequestState};
use super::Controller;
use crate::interface::{Action, Effect, Micros, Preemption, RequestId};

/// Share of retries among arrivals above which rejected requests must not fail over: the other
/// servers are rejecting requests, too.
const NO_FAILOVER_RETRY_RATIO: f64 = 0.1;
/// Read delay above which rejected requests must not fail over, as a share of the time that queued
/// work may take: being read again elsewhere costs too much.
const NO_FAILOVER_READ_DELAY_SHARE: f64 = 0.3;
/// Minimum of the random factor applied to Retry-After. The maximum is greater by 1.
const MIN_RETRY_AFTER_JITTER: f64 = 0.5;

impl Controller {
    /// Responds to all requests whose deadline comes before the next adjustment period.
    pub(super) fn respond_to_due(&mut self, actions: &mut Vec<Action>) {
        let next_period = self.clock.now + self.clock.period;
        let due: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|request| !request.is_settled)
            .filter(|request| {
                let must_not_run =
                    request.stage == RequestStage::Queued && self.arrived_after_grace(request);
                must_not_run || next_period >= request.timing.respond_by
            })
            .map(|request| request.id)
            .collect();
        for id in due {
            let is_queued = self
                .requests
                .get(id)
                .is_some_and(|request| request.stage == RequestStage::Queued);
            if !is_queued {
                self.fail(id, actions);
            } else if let Some(request) = self.requests.remove(id) {
                self.reject(&request, actions);
            }
        }
    }

    /// Rejects a request that never ran on this server.
    pub(super) fn reject(&mut self, request: &RequestState, actions: &mut Vec<Action>) {
        let load = self.queue_load();
        let read_delay = self.arrivals.read_delay;
        let allowed_time = load.allowed_time;
        let excess = load.waiting_time + read_delay - QUEUE_TIME_SHARE * allowed_time;
        let spread = MIN_RETRY_AFTER_JITTER + self.random.next_f64();
        let recovery_time = (excess.max(0.0) * spread) as Micros;
        let lacks_key_capacity = request.caches_result && !self.keys.has_capacity;
        // Retry-After is at least one period: a request that is rejected now may be admitted in the
        // next one.
        let retry_after = if self.is_draining_without_successor() || lacks_key_capacity {
            Micros::MAX
        } else {
            recovery_time.max(self.clock.period)
        };
        let no_failover = request.is_retry
            || self.arrivals.retry_ratio > NO_FAILOVER_RETRY_RATIO
            || read_delay > NO_FAILOVER_READ_DELAY_SHARE * allowed_time;
        actions.push(Action::Reject {
            id: request.id,
            retry_after: retry_after.min(self.settings.max_retry_after),
            no_failover,
        });
        self.remove_key(request.id, actions);
    }

    /// Fails a request that may have run, or that waits for another. The resources of its run stay
    /// accounted for until the run ends.
    pub(super) fn fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail(id));
        self.settle(id, actions);
    }

    /// Records that a request needs no further response. Its run continues if it can't be preempted
    /// or is not idempotent.
    pub(super) fn settle(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.is_settled = true;
        match request.stage {
            RequestStage::Running => {
                let is_idempotent =
                    self.settings.classes[request.class].effect == Effect::Idempotent;
                if is_idempotent && self.settings.preemption != Preemption::Never {
                    actions.push(Action::Preempt(id));
                }
            }
            RequestStage::Queued => {
                self.requests.remove(id);
                self.remove_key(id, actions);
            }
            RequestStage::Sharing(original) => {
                self.requests.remove(id);
                self.requests.remove_sharing_request(original);
            }
            RequestStage::AwaitingCall | RequestStage::Calling => {}
        }
    }
}
