//! Graceful shutdown: the drain grace period, the time by which all responses are sent, and
//! takeover by a successor.

use super::request_state::RequestState;
use super::Controller;
use crate::interface::{Action, Micros};

/// Multiple of the response slack by which the last response precedes the stop of the process.
const STOP_MARGIN_SLACKS: u64 = 2;

/// State of a shutdown in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shutdown {
    /// End of the drain grace period. Requests that reach the machine later must not run.
    last_arrival: Micros,
    /// Time by which every request must have its response.
    stop_at: Micros,
    /// Whether a successor has taken over, in which case callers need not use other servers.
    is_replaced: bool,
}

impl Controller {
    /// Begins to shut down. A repeated notice changes the stop time, but not the end of the grace
    /// period.
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

    /// Returns whether this server drains without a successor, so that callers have to use other
    /// servers.
    pub(super) fn is_draining_without_successor(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| !shutdown.is_replaced)
    }

    /// Returns whether the request reached the machine after the drain grace period, so that it
    /// must not run.
    pub(super) fn arrived_after_grace(&self, request: &RequestState) -> bool {
        self.shutdown
            .is_some_and(|shutdown| request.timing.arrived_at > shutdown.last_arrival)
    }

    /// Returns the earlier of a deadline and the time by which all responses are due.
    pub(super) fn cap_at_stop(&self, deadline: Micros) -> Micros {
        self.shutdown
            .map_or(deadline, |shutdown| deadline.min(shutdown.stop_at))
    }
}
