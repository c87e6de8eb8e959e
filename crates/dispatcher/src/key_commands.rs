//! Execution of the commands of the table of keys.

use crate::command::Command;
use crate::dispatcher::Dispatcher;
use crate::request_state::RequestStage;
use crate::response::Response;
use cleatpulley_idempotency::key_table::KeyCommand;
use cleatpulley_idempotency::record::KeyOutcome;
use cleatpulley_policy::interface::{Event as ControllerEvent, Micros, Outcome, RequestId};

impl Dispatcher {
    /// Executes the commands of the table of keys until there are no more.
    pub(crate) fn execute_key_commands(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while !self.key_commands.is_empty() {
            for command in std::mem::take(&mut self.key_commands) {
                self.execute_key_command(now, command, commands);
            }
        }
    }

    fn execute_key_command(
        &mut self,
        now: Micros,
        command: KeyCommand,
        commands: &mut Vec<Command>,
    ) {
        match command {
            KeyCommand::Write { .. } | KeyCommand::Erase { .. } => {
                commands.push(Command::PersistKey(command));
            }
            KeyCommand::Start(id) => self.start_with_key(id, commands),
            KeyCommand::CancelRun(id) => self.cancel_run(id),
            KeyCommand::Respond(id, outcome) => {
                self.respond_with_outcome(now, id, outcome, commands);
            }
            KeyCommand::Reject(id) => {
                let rejection = Response::Rejected {
                    retry_after: self.settings.max_retry_after,
                    no_failover: false,
                };
                self.reject_waiting(now, id, &rejection, commands);
            }
            KeyCommand::Promote(id) => self.promote(id),
        }
    }

    fn start_with_key(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stage = RequestStage::Running;
        self.counters.on_forwarded(request.class);
        commands.push(Command::StartRun {
            id,
            class: request.class,
            body: std::mem::take(&mut request.body),
        });
    }

    /// Cancels a run whose intent did not become durable.
    fn cancel_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stage = RequestStage::AwaitingKey;
        if request.is_settled {
            self.requests.remove(id);
        }
        self.driver.notify(ControllerEvent::RunEnded {
            id,
            outcome: Outcome::NotStarted,
            elapsed: 0,
        });
    }

    /// Responds to an attempt with the outcome of its key.
    fn respond_with_outcome(
        &mut self,
        now: Micros,
        id: RequestId,
        key_outcome: KeyOutcome,
        commands: &mut Vec<Command>,
    ) {
        // The controller was notified of the first attempt's end when its run ended. The attempts
        // that wait for the key end now.
        let is_waiting = self
            .requests
            .get(id)
            .is_some_and(|request| request.stage != RequestStage::PersistingResult);
        if is_waiting {
            let outcome = match key_outcome {
                KeyOutcome::Served(_) => Outcome::Success,
                KeyOutcome::Failed => Outcome::Failure,
            };
            self.driver.notify(ControllerEvent::RunEnded {
                id,
                outcome,
                elapsed: 0,
            });
        }
        if self.respond(now, id, response_for(key_outcome), commands) && is_waiting {
            // The request's arrival may still be pending for the controller's next step.
            self.driver.notify(ControllerEvent::Abandoned(id));
        }
        self.requests.remove(id);
    }

    pub(crate) fn reject_waiting(
        &mut self,
        now: Micros,
        id: RequestId,
        rejection: &Response,
        commands: &mut Vec<Command>,
    ) {
        if self.respond(now, id, rejection.clone(), commands) {
            self.driver.notify(ControllerEvent::Abandoned(id));
        }
        self.requests.remove(id);
    }

    /// Makes a waiting attempt the first one of its key after the previous first attempt is over.
    /// The controller decides on it as if it had just arrived.
    fn promote(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stage = RequestStage::Queued;
        request.controller_request.duplicate_of = None;
        let arrival = ControllerEvent::Arrived(request.controller_request.clone());
        self.driver.notify(ControllerEvent::Abandoned(id));
        self.driver.notify(arrival);
    }
}

pub(crate) fn response_for(outcome: KeyOutcome) -> Response {
    match outcome {
        KeyOutcome::Served(result) => Response::Served(result),
        KeyOutcome::Failed => Response::Failed,
    }
}
