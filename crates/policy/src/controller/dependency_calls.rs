//! Calls to the dependency: which are made, in which order, and which are skipped or abandoned.

use super::queue::QUEUE_TIME_SHARE;
use super::request_state::{RequestStage, RequestState};
use super::Controller;
use crate::interface::{Action, Effect, Micros, Outcome, RequestId};

/// Timeout of a call, as a multiple of the smoothed call latency.
const CALL_TIMEOUT_LATENCIES: f64 = 8.0;
/// Minimum timeout of a call, in adjustment periods.
const MIN_CALL_TIMEOUT_PERIODS: f64 = 2.0;

impl Controller {
    /// Returns whether more calls are in flight or wait with at least the request's priority than
    /// the dependency serves in half the time that remains until the request's latency objective.
    pub(super) fn is_call_queue_too_long(&self, request: &RequestState) -> bool {
        let priority = self.priority(request);
        let remaining = request.timing.objective_at.saturating_sub(self.clock.now) as f64;
        let rounds = (QUEUE_TIME_SHARE * remaining / self.dependency.call_latency()).max(1.0);
        let ahead = self
            .requests
            .iter()
            .filter(|other| match other.stage {
                RequestStage::Calling => true,
                RequestStage::AwaitingCall => self.priority(other) >= priority,
                RequestStage::Queued | RequestStage::Running | RequestStage::Sharing(_) => false,
            })
            .count();
        ahead as f64 > self.dependency.call_limit() * rounds
    }

    /// Makes waiting calls by priority while the limiter has capacity. Calls that would end too
    /// late are skipped where the class allows it; requests past their useful time fail.
    pub(super) fn make_calls(&mut self, actions: &mut Vec<Action>) {
        let mut in_flight = self.calls_in_flight();
        let mut calls_ahead = 0.0;
        for id in self.call_order() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let objective_at = request.timing.objective_at;
            let latest = self.latest_useful_time(request);
            let can_skip = self.class(request).weight_ratio_without_call > 0.0;
            let rounds = calls_ahead / self.dependency.call_limit() + 1.0;
            let end = self.clock.now as f64 + rounds * self.dependency.call_latency();
            if can_skip && end > objective_at as f64 {
                self.requests.set_stage(id, RequestStage::Running);
                actions.push(Action::SkipCall(id));
            } else if self.clock.now > latest {
                self.fail(id, actions);
            } else if self.dependency.has_capacity(self.clock.now, in_flight) {
                in_flight += 1;
                self.make_call(id, actions);
            } else {
                calls_ahead += 1.0;
            }
        }
    }

    /// Returns the ids of the requests that wait for their call, highest priority first.
    fn call_order(&self) -> Vec<RequestId> {
        let mut waiting: Vec<(f64, RequestId)> = self
            .requests
            .iter()
            .filter(|request| request.stage == RequestStage::AwaitingCall && !request.is_settled)
            .map(|request| (self.priority(request), request.id))
            .collect();
        waiting.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    fn make_call(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stage = RequestStage::Calling;
        request.call_made_at = self.clock.now;
        let timing = request.timing;
        let effect = self.settings.classes[request.class].effect;
        let timeout = self.call_timeout(timing.objective_at, timing.respond_by, effect);
        actions.push(Action::Call { id, timeout });
    }

    /// Returns the timeout of a call that is made now. It leaves time to respond, and stays within
    /// the remaining call time where the quota is below one concurrent call.
    fn call_timeout(&self, objective_at: Micros, respond_by: Micros, effect: Effect) -> Micros {
        let now = self.clock.now;
        let period = self.clock.period;
        // A reply that takes longer is assumed to be lost.
        let reply_timeout = (CALL_TIMEOUT_LATENCIES * self.dependency.call_latency())
            .max(MIN_CALL_TIMEOUT_PERIODS * period as f64) as Micros;
        // A call that can't be repeated is waited for until its reply would no longer meet the
        // latency objective.
        let useful_time = if effect == Effect::Idempotent {
            0
        } else {
            objective_at.saturating_sub(now)
        };
        let timeout = respond_by
            .saturating_sub(now + period)
            .min(reply_timeout.max(useful_time))
            .max(1);
        let within_quota = match self.dependency.remaining_call_time(now) {
            Some(remaining) => {
                (remaining as Micros).saturating_sub(self.settings.abandoned_call_linger)
            }
            None => timeout,
        };
        timeout.min(within_quota).max(1)
    }

    pub(super) fn on_call_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let linger = self.settings.abandoned_call_linger;
        self.dependency
            .on_call_ended(self.clock.now, outcome, elapsed, linger);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if outcome == Outcome::Success {
            request.stage = RequestStage::Running;
            return;
        }
        request.stage = RequestStage::AwaitingCall;
        let never_took_effect = matches!(
            outcome,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::NotStarted
        );
        let is_idempotent = self.settings.classes[request.class].effect == Effect::Idempotent;
        if !is_idempotent && !never_took_effect {
            // The call may have taken effect and must not be repeated.
            self.fail(id, actions);
        }
    }
}
