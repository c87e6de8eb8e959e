//! The link to the runtime: outgoing commands, incoming notices, and recovery after a lost
//! connection.
//!
//! | module | contents |
//! | --- | --- |
//! | `outgoing` | outgoing lines, and tracking of which the runtime has read |
//! | `notices` | decoding of the runtime's notices into events |

mod notices;
mod outgoing;

use crate::buffered_connection::BufferedConnection;
use crate::host::{Host, Readiness};
use crate::socket_owner::SocketOwner;
use cleatpulley_dispatcher::{Event, RuntimeCommand};
use cleatpulley_policy::interface::{Micros, RequestId};
use cleatpulley_protocol::runtime_line;
use outgoing::{OutgoingLine, OutgoingLines, SentCommand};
use std::io;
use std::net::SocketAddr;

/// Time after an address change at which the old link is closed even if the runtime has not
/// confirmed that it read all commands.
const DRAIN_TIMEOUT: Micros = 500_000;
/// Delay between connection attempts.
const RECONNECT_INTERVAL: Micros = 50_000;
/// Maximum length of a line. Longer input without a line end is discarded.
const MAX_LINE_BYTES: usize = 262_144;
/// Maximum number of bytes read in one iteration, so that a busy link does not delay others.
const READ_LIMIT_BYTES: usize = 262_144;
/// Maximum number of lines that the runtime has not confirmed; beyond it, no gauges are requested.
const MAX_UNREAD_LINES: usize = 4_096;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    /// The runtime has not responded to `sync` yet; no other line is sent before it does.
    Syncing,
    /// The runtime is up and accepts commands.
    Ready,
    /// The address of the runtime has changed: no more lines are sent. The link is closed once the
    /// gauges with this mark have been received, or at the deadline.
    Draining { mark: u64, deadline: Micros },
}

/// A connection to the runtime.
struct Link<H: Host> {
    stream: BufferedConnection<H>,
    state: LinkState,
}

/// Marks of the requests for gauges, which the runtime echoes with the gauges. An echoed mark
/// proves that the runtime has read all lines before its request.
#[derive(Debug, Default)]
struct Marks {
    last_sent: u64,
    last_confirmed: u64,
    /// The gauges with this mark follow all notices that the runtime had pending when the link was
    /// established.
    barrier: u64,
}

/// The link to the runtime, with the state that outlives a lost connection.
pub struct RuntimeLink<H: Host> {
    host: H,
    address: SocketAddr,
    /// Names of the request classes, by index.
    class_names: Vec<String>,
    /// Names of the gauges, in the order in which the runtime sends them.
    gauge_names: Vec<String>,
    link: Option<Link<H>>,
    /// Time of the next connection attempt, while there is no connection.
    reconnect_at: Micros,
    /// No failure has been logged since a link was last ready.
    is_healthy: bool,
    /// Uptime of the runtime at its last response to `sync`.
    uptime: Micros,
    /// Number of the last notice read.
    last_notice: u64,
    /// Commands of earlier connections that the runtime may or may not have read. They are reported
    /// once the barrier mark has been received.
    uncertain_commands: Vec<SentCommand>,
    marks: Marks,
    outgoing: OutgoingLines,
}

impl<H: Host> RuntimeLink<H> {
    /// Creates a link that connects with the first [`poll`](Self::poll).
    #[must_use]
    pub fn new(
        host: H,
        address: SocketAddr,
        class_names: Vec<String>,
        gauge_names: Vec<String>,
    ) -> Self {
        Self {
            host,
            address,
            class_names,
            gauge_names,
            link: None,
            reconnect_at: 0,
            is_healthy: true,
            uptime: 0,
            last_notice: 0,
            uncertain_commands: Vec::new(),
            marks: Marks::default(),
            outgoing: OutgoingLines::default(),
        }
    }

    /// Returns true while there is a connection or a connection attempt.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.link.is_some()
    }

    /// Returns true while the runtime is up and connected.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state()
            .is_some_and(|state| state != LinkState::Syncing)
    }

    fn state(&self) -> Option<LinkState> {
        self.link.as_ref().map(|link| link.state)
    }

    /// Changes the address of the runtime. A ready link is closed once the runtime has confirmed
    /// that it read all commands on it, so that none of them is uncertain; later commands wait for
    /// the next link.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        self.reconnect_at = now;
        match self.state() {
            Some(LinkState::Ready) => self.begin_drain(now),
            // The link keeps its mark: nothing more is sent on it, so a later mark would never be
            // received.
            Some(LinkState::Draining { .. }) => {}
            Some(LinkState::Syncing) | None => self.link = None,
        }
    }

    fn begin_drain(&mut self, now: Micros) {
        self.read_gauges();
        if let Err(error) = self.send() {
            return self.on_link_lost(now, &error);
        }
        if let Some(link) = &mut self.link {
            link.state = LinkState::Draining {
                mark: self.marks.last_sent,
                deadline: now + DRAIN_TIMEOUT,
            };
        }
    }

    /// Starts a run.
    pub fn start(&mut self, id: RequestId, class: usize, body: &[u8]) {
        let class_name = self.class_names.get(class).map_or("", String::as_str);
        let line = runtime_line::encode_start(id, class_name, body);
        self.push_command(line, id, RuntimeCommand::Start);
    }

    /// Resumes a run with the reply to its call.
    pub fn resume_with_reply(&mut self, id: RequestId, body: &[u8]) {
        let line = runtime_line::encode_resume_with_reply(id, body);
        self.push_command(line, id, RuntimeCommand::ResumeWithReply);
    }

    /// Resumes a run without making the call that the runtime requested with this notice.
    pub fn resume_without_call(&mut self, id: RequestId, notice: u64) {
        let line = runtime_line::encode_resume_without_call(id, notice);
        self.push_command(line, id, RuntimeCommand::ResumeWithoutCall);
    }

    /// Stops a run.
    pub fn stop(&mut self, id: RequestId) {
        self.push_command(runtime_line::encode_stop(id), id, RuntimeCommand::Stop);
    }

    fn push_command(&mut self, line: Vec<u8>, id: RequestId, command: RuntimeCommand) {
        self.outgoing.push(OutgoingLine {
            line,
            command: Some(SentCommand { id, command }),
            mark: None,
        });
    }

    /// Requests the gauges; has no effect while the link is not ready.
    pub fn read_gauges(&mut self) {
        // Limits the unconfirmed requests to a runtime that does not respond.
        if self.is_ready() && self.outgoing.in_flight_count() < MAX_UNREAD_LINES {
            self.marks.last_sent += 1;
            self.outgoing.push(OutgoingLine {
                line: runtime_line::encode_gauges_request(self.marks.last_sent),
                command: None,
                mark: Some(self.marks.last_sent),
            });
        }
    }

    /// Records that the connection has become readable or writable.
    pub fn on_readiness(&mut self, readiness: Readiness) {
        if let Some(link) = &mut self.link {
            link.stream.on_readiness(readiness);
        }
    }

    /// Reads available bytes, sends pending lines, and reconnects if due. Returns true if there is
    /// more to read.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<Event>) -> bool {
        if self.link.is_none() && now >= self.reconnect_at {
            self.connect(now);
        }
        let Some(link) = &mut self.link else {
            return false;
        };
        let read = link.stream.read(READ_LIMIT_BYTES);
        let has_ended = link.stream.is_read_closed;
        self.read_lines(events);
        let sent = self.send();
        if self.is_drained(now) {
            tracing::info!(address = %self.address, "runtime: reconnecting to a new address");
            self.is_healthy = false;
            self.on_link_lost(now, &"address changed");
            self.reconnect_at = now;
            return true;
        }
        match (read, sent) {
            (Ok(has_more), Ok(())) if !has_ended => return has_more,
            (Err(error), _) | (_, Err(error)) => self.on_link_lost(now, &error),
            _ => self.on_link_lost(now, &"closed by the runtime"),
        }
        false
    }

    fn is_drained(&self, now: Micros) -> bool {
        match self.state() {
            Some(LinkState::Draining { mark, deadline }) => {
                mark <= self.marks.last_confirmed || now >= deadline
            }
            Some(LinkState::Syncing | LinkState::Ready) | None => false,
        }
    }

    /// Returns when the next connection attempt is due, or a draining link is closed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        match self.state() {
            None => Some(self.reconnect_at),
            Some(LinkState::Draining { deadline, .. }) => Some(deadline),
            Some(LinkState::Syncing | LinkState::Ready) => None,
        }
    }

    fn connect(&mut self, now: Micros) {
        match BufferedConnection::connect(&self.host, self.address, SocketOwner::Runtime) {
            Ok(mut stream) => {
                stream
                    .output()
                    .extend_from_slice(&runtime_line::encode_sync(self.last_notice));
                self.outgoing.on_connected(stream.unsent_bytes() as u64);
                self.link = Some(Link {
                    stream,
                    state: LinkState::Syncing,
                });
            }
            Err(error) => self.on_link_lost(now, &error),
        }
    }

    /// Handles a lost link: unsent commands go to the next link, the others are uncertain until all
    /// pending notices have been read.
    fn on_link_lost(&mut self, now: Micros, reason: &dyn std::fmt::Display) {
        // Logged once, since the next attempts follow in short intervals.
        if self.is_healthy {
            tracing::warn!(%reason, "runtime: no link, trying again");
        }
        self.is_healthy = false;
        self.link = None;
        self.reconnect_at = now + RECONNECT_INTERVAL;
        let uncertain_commands = self.outgoing.on_connection_lost();
        self.uncertain_commands.extend(uncertain_commands);
    }

    /// Sends the queued lines as far as the socket accepts them.
    fn send(&mut self) -> io::Result<()> {
        let Some(link) = &mut self.link else {
            return Ok(());
        };
        if link.state == LinkState::Ready {
            self.outgoing.write_all(link.stream.output());
        }
        let sent = link.stream.flush()?;
        self.outgoing.on_sent(sent as u64);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
