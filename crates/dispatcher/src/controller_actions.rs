//! Execution of the controller's actions.

use crate::command::{Command, DependencyCall};
use crate::dispatcher::Dispatcher;
use crate::request_state::RequestStage;
use crate::request_trace;
use crate::response::Response;
use cleatpulley_policy::interface::{Action, Effect, Micros, RequestId};

impl Dispatcher {
    pub(crate) fn execute_action(
        &mut self,
        now: Micros,
        action: Action,
        commands: &mut Vec<Command>,
    ) {
        match action {
            Action::Run(id) => self.start_run(now, id, commands),
            Action::Reject {
                id,
                retry_after,
                no_failover,
            } => {
                let rejection = Response::Rejected {
                    retry_after,
                    no_failover,
                };
                self.reject(now, id, rejection, commands);
            }
            Action::Fail(id) => self.fail(now, id, commands),
            Action::Call { id, timeout } => self.make_call(id, timeout, commands),
            Action::SkipCall(id) => self.skip_call(id, commands),
            Action::Preempt(id) => self.preempt(id, commands),
            Action::ShareResponse(id) => self.share_response(now, id, commands),
            Action::SetTimer { at, token } => self.timers.set(at, token),
            Action::SetFeedback(value) => {
                request_trace::feedback_changed(now, value);
                commands.push(Command::SetFeedback(value));
            }
            Action::CloseIdleConnections(timeout) => {
                commands.push(Command::CloseIdleConnections(timeout));
            }
            Action::SetHealth { healthy, .. } => commands.push(Command::SetHealth(healthy)),
            // The table of keys itself determines the lifetime of keys.
            Action::InsertKey { .. } | Action::RemoveKey(_) => {}
        }
    }

    fn start_run(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.stage != RequestStage::Queued {
            return;
        }
        if request.has_key {
            self.run_with_key(now, id, commands);
            return;
        }
        request.stage = RequestStage::Running;
        request_trace::started(now, id);
        let is_idempotent = self.settings.classes[request.class].effect == Effect::Idempotent;
        let body = if is_idempotent {
            request.body.clone()
        } else {
            std::mem::take(&mut request.body)
        };
        self.counters.on_forwarded(request.class);
        self.started_ids.on_started(now, id);
        commands.push(Command::StartRun {
            id,
            class: request.class,
            body,
        });
    }

    /// Rejects a request if it is known that it never ran, and fails it otherwise.
    fn reject(
        &mut self,
        now: Micros,
        id: RequestId,
        rejection: Response,
        commands: &mut Vec<Command>,
    ) {
        if !self.requests.has_stage(id, RequestStage::Queued) {
            self.respond(now, id, Response::Failed, commands);
        } else if !self.reject_with_key(now, id, &rejection, commands) {
            self.respond(now, id, rejection, commands);
        }
    }

    fn fail(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        // The controller fails requests shortly before their deadline, so that the response is in
        // time.
        let latest = self.driver.last_step_at + self.settings.response_slack;
        let is_due = self
            .requests
            .get(id)
            .is_some_and(|request| latest >= request.respond_by);
        let response = if is_due {
            Response::Expired
        } else {
            Response::Failed
        };
        self.respond(now, id, response, commands);
    }

    fn make_call(&mut self, id: RequestId, timeout: Micros, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.stage != RequestStage::AwaitingCall || request.is_settled {
            return;
        }
        request.stage = RequestStage::Calling;
        let is_idempotent = self.settings.classes[request.class].effect == Effect::Idempotent;
        commands.push(Command::MakeCall(DependencyCall {
            id,
            body: request.call.body.clone(),
            timeout,
            is_idempotent,
        }));
    }

    fn skip_call(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.stage == RequestStage::AwaitingCall {
            request.stage = RequestStage::Running;
            commands.push(Command::ResumeWithoutCall {
                id,
                notice: request.call.notice,
            });
        }
    }

    /// Stops the run of a request that has its response. The run of a request with a key is never
    /// stopped, since later attempts get its result.
    fn preempt(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let is_running = request.stage == RequestStage::Running;
        if is_running && request.is_settled && !request.has_key {
            commands.push(Command::StopRun(id));
        }
    }

    /// Makes a request with a key wait for the outcome of its key. Requests without a key share no
    /// responses and fail.
    fn share_response(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        match self.requests.get_mut(id) {
            Some(request) if request.has_key => {
                if request.stage == RequestStage::Queued {
                    request.stage = RequestStage::AwaitingKey;
                }
            }
            _ => self.fail(now, id, commands),
        }
    }
}
