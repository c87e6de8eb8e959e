//! Admission: whether an arriving request is queued, rejected, or waits for another one.

use super::request_state::{RequestStage, RequestState, RequestTiming, RequestValue};
use super::{requires_call, Controller};
use crate::interface::{Action, Effect, Micros, Request, RequestId, Settings};

/// Maximum number of live requests.
const MAX_REQUESTS: usize = 2_048;

impl Controller {
    pub(super) fn on_arrival(&mut self, request: &Request, actions: &mut Vec<Action>) {
        self.arrivals.record_read_delay(request.read_delay);
        let mut state = self.new_request_state(request);
        self.arrivals.record_arrival(&state);
        let priority = self.priority(&state);
        self.priority_filter.record_arrival(priority);
        if let Some(original) = request.duplicate_of {
            if self.try_share_response(&mut state, original, actions) {
                self.add_sharing_request(state, actions);
                return;
            }
        }
        if self.is_rejected(&state) {
            self.reject(&state, actions);
            return;
        }
        let id = state.id;
        self.requests.insert(state);
        self.shed(actions);
        self.on_admission(id, request, actions);
    }

    fn new_request_state(&mut self, request: &Request) -> RequestState {
        let class = &self.settings.classes[request.class];
        let statistics = &mut self.class_statistics[request.class];
        let now = self.clock.now;
        let arrived_at = now.saturating_sub(request.read_delay);
        let respond_by = request
            .respond_by
            .unwrap_or(arrived_at + class.client_timeout)
            .max(now);
        let remaining = respond_by - arrived_at.min(respond_by);
        let age = statistics.estimate_age(remaining, request.is_retry, class.client_timeout);
        let relative_size = statistics.relative_size(request.expected_work);
        let stretch = class.latency_objective_stretch * request.expected_work.unwrap_or(0) as f64;
        let objective_at = (arrived_at + class.latency_objective + stretch as Micros)
            .saturating_sub(age)
            .min(respond_by);
        let work = statistics.work(relative_size);
        let value = RequestValue {
            weight: class.priority_weight * self.settings.weighted_work(work),
            relative_size,
            rank_in_class: self.settings.rank_in_class(request.rank),
        };
        RequestState {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            is_retry: request.is_retry,
            caches_result: request.caches_result,
            memory_kb: request.memory_kb,
            timing: RequestTiming {
                arrived_at,
                respond_by: self.cap_at_stop(respond_by),
                objective_at,
            },
            value,
            stage: RequestStage::Queued,
            is_settled: false,
            sharing_requests: 0,
            call_made_at: 0,
        }
    }

    /// Makes a repeated request wait for the outcome of its original. Returns false where it has to
    /// be admitted on its own.
    ///
    /// The repeated request is not run a second time, since an original that is not known to be
    /// queued may have run. An original with an idempotency key that is still queued is replaced by
    /// its retry, since only the caller of the retry still waits; where results are cached, both
    /// wait.
    fn try_share_response(
        &mut self,
        request: &mut RequestState,
        original: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_idempotent = self.class(request).effect == Effect::Idempotent;
        let is_replaceable = !is_idempotent && !request.caches_result;
        match self.requests.get_mut(original) {
            Some(state) if state.stage == RequestStage::Sharing(request.id) => return false,
            Some(state) if state.stage == RequestStage::Queued && is_replaceable => {
                self.replace_original(original, actions);
                return false;
            }
            Some(state) => state.sharing_requests += 1,
            None => {}
        }
        request.stage = RequestStage::Sharing(original);
        actions.push(Action::ShareResponse(request.id));
        true
    }

    /// Rejects a queued original in favour of its retry.
    fn replace_original(&mut self, original: RequestId, actions: &mut Vec<Action>) {
        self.keys.remove(original);
        self.requests.remove(original);
        actions.push(Action::Reject {
            id: original,
            retry_after: 0,
            no_failover: true,
        });
    }

    /// Adds a request that waits for another's outcome. If memory is short it fails instead of
    /// being rejected, since its original may have run.
    fn add_sharing_request(&mut self, request: RequestState, actions: &mut Vec<Action>) {
        let id = request.id;
        let lacks_room = self.has_too_many_requests() || self.exceeds_memory(request.memory_kb);
        let must_fail = request.caches_result && lacks_room;
        self.requests.insert(request);
        if must_fail {
            self.fail(id, actions);
        }
    }

    /// Returns whether no further request is taken in. Each decision goes through all requests, however
    /// little work and memory they claim.
    fn has_too_many_requests(&self) -> bool {
        self.requests.len() >= MAX_REQUESTS
    }

    fn is_rejected(&self, request: &RequestState) -> bool {
        let class = self.class(request);
        let needs_key = request.caches_result || class.effect == Effect::Deduplicated;
        let key_kb = if needs_key {
            self.settings.key_entry_kb
        } else {
            0.0
        };
        let rank = self.rank(request);
        let lacks_key_capacity = request.caches_result && !self.keys.has_capacity;
        let lacks_call_capacity = requires_call(class)
            && (self.dependency.is_closed(self.clock.now, rank)
                || self.is_call_queue_too_long(request));
        self.has_too_many_requests()
            || self.arrived_after_grace(request)
            || lacks_key_capacity
            || self.exceeds_memory(request.memory_kb + key_kb)
            || lacks_call_capacity
            || (self.would_wait() && rank < self.priority_filter.threshold)
    }

    /// Returns whether an arrival would have to wait, behind queued work or for a free core. If
    /// not, the rank threshold does not apply, since it would leave cores idle.
    fn would_wait(&self) -> bool {
        self.cores_in_use() >= self.concurrency.limit() || self.requests.has_queued()
    }

    /// Records the admission of a request, unless it was shed immediately.
    fn on_admission(&mut self, id: RequestId, request: &Request, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id) else {
            return;
        };
        let class = &self.settings.classes[state.class];
        let key_lifetime = self.key_lifetime(state, request);
        if class.calls_dependency {
            self.dependency.on_admission(self.clock.now);
        }
        if key_lifetime > 0 {
            self.insert_key(id, key_lifetime, actions);
        }
    }

    /// Returns the lifetime of the request's entry in the table of keys; 0 where it gets none.
    fn key_lifetime(&self, state: &RequestState, request: &Request) -> Micros {
        let class = self.class(state);
        let sharing_time = self.settings.shared_response_lifetime;
        let is_shared_read = sharing_time > 0 && request.has_subject && !request.is_write;
        match class.effect {
            Effect::Deduplicated => {
                let window_end = state.timing.arrived_at + class.deduplication_window;
                (window_end + self.clock.period).saturating_sub(self.clock.now)
            }
            Effect::Idempotent if is_shared_read => {
                state.timing.respond_by.saturating_sub(self.clock.now) + sharing_time
            }
            Effect::Idempotent | Effect::AtMostOnce => 0,
        }
    }
}

impl Settings {
    /// Returns the factor of the priority weight for a request with this much work.
    fn weighted_work(&self, work: f64) -> f64 {
        if self.weight_by_work {
            work
        } else {
            1.0
        }
    }

    /// Returns the rank of a request within its class, given its overall rank. Classes divide the
    /// overall ranks into bands of equal size.
    fn rank_in_class(&self, rank: f64) -> f64 {
        (rank * self.classes.len() as f64).fract()
    }
}
