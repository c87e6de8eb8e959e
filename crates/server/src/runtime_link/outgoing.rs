//! Outgoing lines to the runtime, and tracking of which it has read.

use cleatpulley_dispatcher::RuntimeCommand;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::RequestId;
use std::collections::VecDeque;

/// A command whose delivery may be uncertain after a lost connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentCommand {
    pub(super) id: RequestId,
    pub(super) command: RuntimeCommand,
}

/// A line to send to the runtime.
pub(super) struct OutgoingLine {
    pub(super) line: Vec<u8>,
    /// Command in the line, if any.
    pub(super) command: Option<SentCommand>,
    /// Mark of a gauge request.
    pub(super) mark: Option<u64>,
}

/// A line that was written to the connection and not confirmed by the runtime yet.
struct InFlightLine {
    /// End offset of the line in the bytes of the connection.
    end: u64,
    line: OutgoingLine,
}

/// Outgoing lines in order.
#[derive(Default)]
pub(super) struct OutgoingLines {
    /// Lines without any byte sent; the next connection may send them.
    queue: VecDeque<OutgoingLine>,
    in_flight: VecDeque<InFlightLine>,
    /// Number of bytes written to the output of the connection.
    written_bytes: u64,
    /// Number of bytes that the socket has accepted.
    sent_bytes: u64,
}

impl OutgoingLines {
    pub(super) fn push(&mut self, line: OutgoingLine) {
        self.queue.push_back(line);
    }

    /// Returns the number of lines that the runtime has not confirmed yet.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Handles a new connection, whose output already holds `written_bytes` bytes.
    pub(super) fn on_connected(&mut self, written_bytes: u64) {
        self.written_bytes = written_bytes;
        self.sent_bytes = 0;
    }

    /// Writes all queued lines to the output of the connection.
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

    /// Handles that the socket has accepted more bytes of the output.
    pub(super) fn on_sent(&mut self, sent_bytes: u64) {
        self.sent_bytes += sent_bytes;
    }

    /// Handles the confirmation that the runtime has read all lines up to the gauge request with
    /// this mark.
    pub(super) fn confirm(&mut self, mark: u64) {
        let confirmed = self
            .in_flight
            .iter()
            .position(|in_flight| in_flight.line.mark == Some(mark));
        if let Some(index) = confirmed {
            self.in_flight.drain(..=index);
        }
    }

    /// Handles a lost connection: lines without any byte sent go back to the queue, except gauge
    /// requests. Returns the commands that the runtime may or may not have read, the last one
    /// first.
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
