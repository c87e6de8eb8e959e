//! Graceful shutdown: the grace after the notice, the stop, and a successor that takes over.

use super::request_state::RequestState;
use super::Controller;
use crate::interface::{Action, Micros};

/// Times of response slack by which everything is answered before the stop.
const STOP_MARGIN_SLACKS: u64 = 2;

/// A shutdown that has begun.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shutdown {
    /// Requests that reached the machine later must not run.
    last_arrival: Micros,
    /// Every request has its response by then.
    stop_at: Micros,
    /// A successor has taken over: callers are not sent elsewhere.
    is_replaced: bool,
}

impl Controller {
    /// Begins to shut down. A further notice moves the stop; the grace counts from the first.
    pub(super) fn begin_shutdown(
        &mut self,
        stop_at: Micros,
        is_replaced: bool,
        actions: &mut Vec<Action>,
    ) {
        let slack = self.settings.response_slack.max(self.clock.period);
        let stop_at = stop_at.saturating_sub(STOP_MARGIN_SLACKS * slack);
        let last_arrival = match self.shutdown {
            Some(earlier) => earlier.last_arrival,
            None => self.clock.now + self.settings.drain_grace,
        };
        self.shutdown = Some(Shutdown {
            last_arrival,
            stop_at,
            is_replaced,
        });
        for request in self.requests.iter_mut() {
            request.timing.respond_by = request.timing.respond_by.min(stop_at);
        }
        if !is_replaced {
            actions.push(Action::SetHealth {
                healthy: false,
                from_state: true,
            });
        }
    }

    /// Returns whether callers have to use other servers.
    pub(super) fn is_draining_without_successor(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| !shutdown.is_replaced)
    }

    /// Returns whether the request reached the machine after the grace, so that it must not run.
    pub(super) fn arrived_after_grace(&self, request: &RequestState) -> bool {
        self.shutdown
            .is_some_and(|shutdown| request.timing.arrived_at > shutdown.last_arrival)
    }

    /// Returns a deadline, or the stop where that comes first.
    pub(super) fn cap_at_stop(&self, deadline: Micros) -> Micros {
        self.shutdown
            .map_or(deadline, |shutdown| deadline.min(shutdown.stop_at))
    }
}
