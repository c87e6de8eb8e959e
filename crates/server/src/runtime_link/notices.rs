//! Decoding of the runtime's notices into events.

use super::{LinkState, RuntimeLink, MAX_LINE_BYTES};
use crate::host::Host;
use cleatpulley_dispatcher::{Event, RuntimeCommand};
use cleatpulley_policy::interface::{Gauges, Micros, Outcome};
use cleatpulley_protocol::runtime_line::{self, Notice};

/// A runtime whose uptime has decreased by more than this was restarted; a smaller difference is
/// clock error.
const RESTART_MARGIN: Micros = 1_000_000;

/// Error of a line of the runtime that is skipped.
#[derive(Debug, thiserror::Error)]
enum NoticeError {
    /// The line can't be decoded; contains the error of the codec.
    #[error("{0}")]
    Malformed(String),
    #[error("call request without a notice number")]
    CallWithoutNumber,
    #[error("nack of unknown command {0:?}")]
    UnknownCommand(String),
    #[error("unknown notice kind {0:?}")]
    UnknownKind(String),
}

impl From<String> for NoticeError {
    fn from(reason: String) -> Self {
        Self::Malformed(reason)
    }
}

impl<H: Host> RuntimeLink<H> {
    /// Handles all complete lines of the input.
    pub(super) fn read_lines(&mut self, events: &mut Vec<Event>) {
        let Some(link) = &mut self.link else { return };
        let mut input = std::mem::take(&mut link.stream.input);
        let mut used = 0;
        while let Some(length) = input[used..].iter().position(|byte| *byte == b'\n') {
            let line = &input[used..used + length];
            used += length + 1;
            if line.is_empty() {
                continue;
            }
            if let Err(error) = self.read_line(line, events) {
                tracing::warn!(%error, "runtime: malformed line skipped");
            }
        }
        input.drain(..used);
        if input.len() > MAX_LINE_BYTES {
            tracing::warn!(
                bytes = input.len(),
                "runtime: line beyond the maximum length skipped"
            );
            input.clear();
        }
        if let Some(link) = &mut self.link {
            link.stream.input = input;
        }
    }

    fn read_line(&mut self, line: &[u8], events: &mut Vec<Event>) -> Result<(), NoticeError> {
        let notice = Notice::decode(line)?;
        if let Some(number) = notice.number {
            // A new link repeats notices that may have arrived on the old one.
            if number <= self.last_notice {
                return Ok(());
            }
            self.last_notice = number;
        }
        match &*notice.kind {
            "ready" => self.on_ready(&notice, events),
            "end" => self.on_run_ended(&notice, events)?,
            "wants" => self.on_call_requested(&notice, events)?,
            "load" => self.on_gauges(&notice, events),
            "nack" => on_command_rejected(&notice, events)?,
            "info" => {}
            other => return Err(NoticeError::UnknownKind(other.to_owned())),
        }
        Ok(())
    }

    /// Handles the runtime's response to `sync`.
    fn on_ready(&mut self, notice: &Notice, events: &mut Vec<Event>) {
        let uptime = notice.duration();
        tracing::info!("runtime: {}, up for {} ms", notice.status, uptime / 1_000);
        let previous_uptime = std::mem::replace(&mut self.uptime, uptime);
        if previous_uptime > uptime + RESTART_MARGIN {
            // The runtime is another process: the runs of the previous one are lost, with their
            // notices.
            tracing::warn!("runtime: restarted; its previous runs are lost");
            self.last_notice = 0;
            self.uncertain_commands.clear();
            events.push(Event::RuntimeReplaced);
        }
        if let Some(link) = &mut self.link {
            if link.state == LinkState::Syncing {
                link.state = LinkState::Ready;
            }
        }
        self.is_healthy = true;
        events.push(Event::RuntimeReady(uptime));
        // The gauges follow all notices that the runtime had pending for this process.
        self.read_gauges();
        self.marks.barrier = self.marks.last_sent;
    }

    fn on_run_ended(
        &mut self,
        notice: &Notice,
        events: &mut Vec<Event>,
    ) -> Result<(), NoticeError> {
        let id = notice.request_id()?;
        let mut outcome = match &*notice.status {
            "fine" => Outcome::Success,
            "fault" => Outcome::Failure,
            "broken_off" => Outcome::Cancelled,
            "late" => Outcome::NotStarted,
            other => {
                tracing::warn!(
                    status = other,
                    "runtime: unknown run status counts as a failure"
                );
                Outcome::Failure
            }
        };
        // A result that can't be decoded must not reach a client, but the run has ended
        // nevertheless.
        let result = notice.body().unwrap_or_else(|error| {
                tracing::warn!(request = %runtime_line::format_request_id(id), %error, "runtime: malformed result; the run counts as a failure");
                outcome = Outcome::Failure;
                Vec::new()
            });
        self.uncertain_commands.retain(|command| command.id != id);
        events.push(Event::RunEnded {
            id,
            outcome,
            elapsed: notice.duration(),
            result,
        });
        Ok(())
    }

    fn on_call_requested(
        &mut self,
        notice: &Notice,
        events: &mut Vec<Event>,
    ) -> Result<(), NoticeError> {
        let id = notice.request_id()?;
        let number = notice.number.ok_or(NoticeError::CallWithoutNumber)?;
        self.uncertain_commands.retain(|command| command.id != id);
        events.push(Event::CallRequested {
            id,
            notice: number,
            body: notice.body()?,
        });
        Ok(())
    }

    fn on_gauges(&mut self, notice: &Notice, events: &mut Vec<Event>) {
        let find_gauge = |name: &str| {
            let index = self.gauge_names.iter().position(|gauge| gauge == name)?;
            notice.gauges.get(index).copied()
        };
        events.push(Event::Gauges(Gauges {
            runnable: find_gauge("runnable"),
            memory: find_gauge("mem_used"),
        }));
        if let Some(mark) = notice.gauges_mark() {
            self.confirm(mark, events);
        }
    }

    /// Handles the confirmation that the runtime has read all lines up to the gauge request with
    /// this mark.
    pub(super) fn confirm(&mut self, mark: u64, events: &mut Vec<Event>) {
        self.marks.last_confirmed = self.marks.last_confirmed.max(mark);
        self.outgoing.confirm(mark);
        if mark >= self.marks.barrier {
            let uncertain_commands = std::mem::take(&mut self.uncertain_commands);
            events.extend(
                uncertain_commands
                    .into_iter()
                    .map(|sent| Event::CommandUncertain {
                        id: sent.id,
                        command: sent.command,
                    }),
            );
        }
    }
}

fn on_command_rejected(notice: &Notice, events: &mut Vec<Event>) -> Result<(), NoticeError> {
    let id = notice.request_id()?;
    let command = match &*notice.status {
        "start" => RuntimeCommand::Start,
        "give" => RuntimeCommand::ResumeWithReply,
        "omit" => RuntimeCommand::ResumeWithoutCall,
        "stop" => RuntimeCommand::Stop,
        other => return Err(NoticeError::UnknownCommand(other.to_owned())),
    };
    let name = &*notice.status;
    tracing::warn!(command = name, request = %runtime_line::format_request_id(id), "runtime: command rejected");
    events.push(Event::CommandRejected { id, command });
    Ok(())
}
