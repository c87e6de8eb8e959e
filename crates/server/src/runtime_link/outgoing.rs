//! Lines on their way to the runtime, and which of them it has read for certain.

use cleatpulley_dispatcher::RuntimeCommand;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::RequestId;
use std::collections::VecDeque;

/// A command that may have to be settled after a connection broke.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentCommand {
    pub(super) id: RequestId,
    pub(super) command: RuntimeCommand,
}

/// A line for the runtime.
pub(super) struct OutgoingLine {
    pub(super) line: Vec<u8>,
    /// The command that it carries, if any.
    pub(super) command: Option<SentCommand>,
    /// The mark of a request for gauges.
    pub(super) mark: Option<u64>,
}

/// A line that was written to the connection, until the runtime is proved to have read it.
struct InFlightLine {
    /// Where the line ends in the bytes of the connection.
    end: u64,
    line: OutgoingLine,
}

/// The lines, in their order.
#[derive(Default)]
pub(super) struct OutgoingLines {
    /// Lines that no byte was sent of, which another connection may carry.
    queue: VecDeque<OutgoingLine>,
    in_flight: VecDeque<InFlightLine>,
    /// Bytes written to the output of the connection so far.
    written_bytes: u64,
    /// Bytes of the connection that the system has taken so far.
    sent_bytes: u64,
}

impl OutgoingLines {
    pub(super) fn push(&mut self, line: OutgoingLine) {
        self.queue.push_back(line);
    }

    /// Returns the number of lines that the runtime may not have read yet.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Begins with a new connection, whose output holds this many bytes already.
    pub(super) fn on_connected(&mut self, written_bytes: u64) {
        self.written_bytes = written_bytes;
        self.sent_bytes = 0;
    }

    /// Writes all lines of the queue to the output of the connection.
    pub(super) fn write_all(&mut self, output: &mut Vec<u8>) {
        for line in self.queue.drain(..) {
            output.extend_from_slice(&line.line);
            self.written_bytes += line.line.len() as u64;
            self.in_flight.push_back(InFlightLine {
                end: self.written_bytes,
                line,
            });
        }
    }

    /// The system has taken more bytes of the output.
    pub(super) fn on_sent(&mut self, sent_bytes: u64) {
        self.sent_bytes += sent_bytes;
    }

    /// The runtime has read all lines up to the request for gauges with this mark.
    pub(super) fn confirm(&mut self, mark: u64) {
        let confirmed = self
            .in_flight
            .iter()
            .position(|in_flight| in_flight.line.mark == Some(mark));
        if let Some(index) = confirmed {
            self.in_flight.drain(..=index);
        }
    }

    /// The connection broke: lines that no byte was sent of go back to the queue, without requests
    /// for gauges. Returns the commands that the runtime may have read or not, the last one first.
    pub(super) fn on_connection_lost(&mut self) -> Vec<SentCommand> {
        let mut uncertain_commands = Vec::new();
        for InFlightLine { end, line } in std::mem::take(&mut self.in_flight).into_iter().rev() {
            let begin = end - line.line.len() as u64;
            if begin >= self.sent_bytes || is_bug_injected(InjectedBug::StartResent) {
                self.queue.push_front(line);
            } else {
                uncertain_commands.extend(line.command);
            }
        }
        self.queue
            .retain(|line| line.mark.is_none() && !is_bug_injected(InjectedBug::CommandQueueLost));
        uncertain_commands
    }
}
