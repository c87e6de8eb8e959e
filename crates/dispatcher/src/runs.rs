//! Runs at the runtime: their calls, their ends, and what is unclear after a lost connection.

use crate::command::Command;
use crate::dispatcher::Dispatcher;
use crate::event::RuntimeCommand;
use crate::request_state::{RequestStage, RequestedCall};
use crate::response::Response;
use cleatpulley_idempotency::record::KeyOutcome;
use cleatpulley_policy::interface::{Effect, Event as ControllerEvent, Micros, Outcome, RequestId};

impl Dispatcher {
    pub(crate) fn on_call_requested(
        &mut self,
        id: RequestId,
        notice: u64,
        body: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.stage == RequestStage::Queued {
            return;
        }
        if request.stage == RequestStage::Calling {
            commands.push(Command::AbandonCall(id));
        }
        request.stage = RequestStage::AwaitingCall;
        request.is_start_uncertain = false;
        request.call = RequestedCall { notice, body };
        self.driver.notify(ControllerEvent::CallRequested(id));
    }

    pub(crate) fn on_call_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        reply: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.stage != RequestStage::Calling {
            return;
        }
        if outcome == Outcome::Success {
            request.stage = RequestStage::Running;
            commands.push(Command::ResumeWithReply { id, body: reply });
        } else {
            request.stage = RequestStage::AwaitingCall;
        }
        self.driver.notify(ControllerEvent::CallEnded {
            id,
            outcome,
            elapsed,
        });
    }

    pub(crate) fn end_run(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        result: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        let is_success = outcome == Outcome::Success;
        let Some(request) = self.requests.get_mut(id) else {
            // Nobody waits for it here any more; its result is cached all the same.
            self.end_key(now, id, key_outcome(is_success, result), commands);
            return;
        };
        if !request.stage.is_started() {
            return;
        }
        if request.stage == RequestStage::Calling {
            commands.push(Command::AbandonCall(id));
        }
        if self
            .keys
            .as_ref()
            .is_some_and(|keys| keys.table.is_started(id))
        {
            self.end_run_with_key(now, id, outcome, elapsed, result, commands);
            return;
        }
        let response = if is_success {
            Response::Served(result)
        } else {
            Response::Failed
        };
        self.respond(now, id, response, commands);
        self.requests.remove(id);
        self.driver.notify(ControllerEvent::RunEnded {
            id,
            outcome,
            elapsed,
        });
    }

    /// Ends the run of a first attempt with a key. The response follows once the result is durable;
    /// the core is free now.
    fn end_run_with_key(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        result: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            request.stage = RequestStage::PersistingResult;
            if request.is_answered {
                self.requests.remove(id);
            }
        }
        self.driver.notify(ControllerEvent::RunEnded {
            id,
            outcome,
            elapsed,
        });
        if outcome == Outcome::NotStarted {
            self.release_unstarted_key(now, id, commands);
        } else {
            let is_success = outcome == Outcome::Success;
            self.end_key(now, id, key_outcome(is_success, result), commands);
        }
    }

    /// Ends everything that was started: its end will never be reported.
    pub(crate) fn lose_runs(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let started = self
            .requests
            .ids_in_order(|request| request.stage.is_started());
        for id in started {
            self.end_run(now, id, Outcome::Interrupted, 0, Vec::new(), commands);
        }
    }

    pub(crate) fn on_command_rejected(
        &mut self,
        now: Micros,
        id: RequestId,
        command: RuntimeCommand,
        commands: &mut Vec<Command>,
    ) {
        match command {
            RuntimeCommand::Start => {
                self.end_run(now, id, Outcome::NotStarted, 0, Vec::new(), commands);
            }
            // The run ended by itself, or never was one.
            RuntimeCommand::Stop => {}
            RuntimeCommand::ResumeWithReply | RuntimeCommand::ResumeWithoutCall => {
                // The run can't go on, and nothing better is known to be done for its caller.
                if self.respond(now, id, Response::Failed, commands) {
                    self.driver.notify(ControllerEvent::Abandoned(id));
                }
            }
        }
    }

    /// Resolves a command that may or may not have reached the runtime, so that nothing runs twice:
    /// a second start may run what has run and ended, and a second reply may answer a later call.
    pub(crate) fn resolve_uncertain_command(
        &mut self,
        now: Micros,
        id: RequestId,
        command: RuntimeCommand,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.stage != RequestStage::Running {
            return;
        }
        let class = &self.settings.classes[request.class];
        let resume_without_call = Command::ResumeWithoutCall {
            id,
            notice: request.call.notice,
        };
        match command {
            RuntimeCommand::Start if request.call.notice != 0 => {}
            RuntimeCommand::Start if class.effect == Effect::Idempotent => {
                commands.push(Command::StartRun {
                    id,
                    class: request.class,
                    body: request.body.clone(),
                });
            }
            RuntimeCommand::Start => self.mark_start_uncertain(now, id, commands),
            // It names the call that is left out: harmless where the run has gone on already.
            RuntimeCommand::ResumeWithoutCall => commands.push(resume_without_call),
            RuntimeCommand::ResumeWithReply if class.weight_ratio_without_call > 0.0 => {
                commands.push(resume_without_call);
            }
            RuntimeCommand::ResumeWithReply | RuntimeCommand::Stop => {}
        }
    }

    fn mark_start_uncertain(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.is_start_uncertain = true;
        let is_answered = request.is_answered;
        if let Some(keys) = &mut self.keys {
            keys.table.mark_start_uncertain(id);
        }
        if is_answered {
            self.settle(now, id, commands);
        }
    }
}

fn key_outcome(is_success: bool, result: Vec<u8>) -> KeyOutcome {
    if is_success {
        KeyOutcome::Served(result)
    } else {
        KeyOutcome::Failed
    }
}
