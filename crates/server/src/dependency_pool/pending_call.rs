//! A call of the dependency without a reply.

use cleatpulley_dispatcher::{DependencyCall, Event};
use cleatpulley_policy::interface::{Micros, Outcome, RequestId};

/// A call that waits for a connection or for its reply.
pub(super) struct PendingCall {
    pub(super) id: RequestId,
    pub(super) started_at: Micros,
    pub(super) deadline: Micros,
    pub(super) body: Vec<u8>,
    /// The call may run twice and has not been retried yet.
    pub(super) is_repeatable: bool,
}

impl PendingCall {
    pub(super) fn new(now: Micros, call: DependencyCall) -> Self {
        Self {
            id: call.id,
            started_at: now,
            deadline: now + call.timeout,
            body: call.body,
            is_repeatable: call.is_idempotent,
        }
    }

    /// Returns the milliseconds until the deadline, at least 1.
    pub(super) fn remaining_millis(&self, now: Micros) -> Micros {
        self.deadline.saturating_sub(now).div_ceil(1_000).max(1)
    }

    /// Returns the event of a call that ended without a reply.
    pub(super) fn into_failure(self, now: Micros, outcome: Outcome) -> Event {
        Event::CallEnded {
            id: self.id,
            outcome,
            elapsed: now.saturating_sub(self.started_at),
            reply: Vec::new(),
        }
    }
}
