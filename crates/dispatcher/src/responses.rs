//! Final responses: each request gets exactly one, by its deadline and before the process stops.

use crate::command::Command;
use crate::dispatcher::Dispatcher;
use crate::request_state::RequestStage;
use crate::request_trace;
use crate::response::Response;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Event as ControllerEvent, Micros, Outcome, RequestId};

impl Dispatcher {
    /// Responds to a request unless it already has a response. Returns whether it did.
    pub(crate) fn respond(
        &mut self,
        now: Micros,
        id: RequestId,
        response: Response,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if request.is_settled {
            return false;
        }
        self.counters.on_response(request.class, &response);
        request_trace::responded(now, id, request, &response);
        commands.push(Command::Respond {
            client: request.client,
            response,
        });
        self.settle(now, id, commands);
        true
    }

    /// Records that a request needs no further response. A queued request is removed, and a call is
    /// abandoned; a run continues to its end.
    pub(crate) fn settle(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.is_settled = true;
        self.deadlines.remove(request.respond_by, id);
        let has_key = request.has_key;
        match request.stage {
            RequestStage::Queued | RequestStage::PersistingResult | RequestStage::AwaitingKey => {
                self.requests.remove(id);
            }
            // Whether the run still starts depends on the attempts that wait for it.
            RequestStage::PersistingIntent => {}
            RequestStage::Calling => {
                request.stage = RequestStage::AwaitingCall;
                commands.push(Command::AbandonCall(id));
            }
            RequestStage::Running if request.is_start_uncertain => {
                // If the run does not exist, its core would never be released.
                self.requests.remove(id);
                self.driver.notify(ControllerEvent::RunEnded {
                    id,
                    outcome: Outcome::Cancelled,
                    elapsed: 0,
                });
            }
            RequestStage::Running | RequestStage::AwaitingCall => {}
        }
        if has_key {
            self.detach_from_key(now, id, commands);
        }
    }

    /// Begins to shut down. Every request gets its response before the process stops, including
    /// those unknown to the controller, which wait for a result to become durable or to be loaded.
    pub(crate) fn begin_shutdown(&mut self, stop_at: Micros, event: ControllerEvent) {
        // Later than the controller's own limit, since the controller can give a more specific
        // response.
        let latest = stop_at.saturating_sub(self.settings.response_slack);
        for deadline in self.deadlines.cap_all(latest) {
            if let Some(request) = self.requests.get_mut(deadline.id) {
                request.respond_by = deadline.respond_by;
            }
        }
        self.driver.notify(event);
    }

    /// Returns the time at which the dispatcher itself responds to a request with this deadline. A
    /// request that was read shortly before the stop gets no extra slack.
    pub(crate) fn expires_at(&self, respond_by: Micros) -> Micros {
        self.deadlines
            .cap(respond_by)
            .saturating_add(self.expiry_grace())
    }

    /// Returns the time after a deadline within which the controller may still respond. The other
    /// half of the slack is left for sending the response.
    fn expiry_grace(&self) -> Micros {
        let injected_delay = if is_bug_injected(InjectedBug::DeadlinesLate) {
            250_000
        } else {
            0
        };
        self.settings.response_slack / 2 + injected_delay
    }

    /// Responds to the requests that the controller did not respond to in time.
    pub(crate) fn respond_to_expired(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while let Some(deadline) = self.deadlines.first() {
            if self.expires_at(deadline.respond_by) > now {
                return;
            }
            self.driver.notify(ControllerEvent::Abandoned(deadline.id));
            let response = if is_bug_injected(InjectedBug::RejectedAfterRun) {
                Response::Rejected {
                    retry_after: 0,
                    no_failover: false,
                }
            } else {
                Response::Expired
            };
            self.respond(now, deadline.id, response, commands);
        }
    }
}
