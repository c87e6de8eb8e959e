//! The link to the runtime: commands out, notices in, and recovery after the link broke.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `outgoing` | lines on their way, and which of them the runtime has read for certain |
//! | `notices` | the notices of the runtime, as events |

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

/// After a change of address the old link is closed after this time, even where the runtime has not
/// proved that it read all commands.
const DEPARTURE_TIMEOUT: Micros = 500_000;
/// Wait before a link is tried again.
const RECONNECT_INTERVAL: Micros = 50_000;
/// A longer line can't be told apart from what follows it.
const MAX_LINE_BYTES: usize = 262_144;
/// Bytes read in one iteration, so that a full link blocks nobody.
const READ_LIMIT: usize = 262_144;
/// While the runtime leaves more lines unread than this, no gauges are asked for.
const MAX_UNREAD_LINES: usize = 4_096;

/// How far a link has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    /// The runtime has not answered `sync` yet; no other line is sent before that.
    Syncing,
    /// The runtime is up and takes commands.
    Ready,
    /// The runtime has another address by now: no more lines are sent. The link is closed once the
    /// gauges with this mark have come back, or at the deadline.
    Departing { mark: u64, deadline: Micros },
}

/// A connection to the runtime.
struct Link<H: Host> {
    stream: BufferedConnection<H>,
    state: LinkState,
}

/// Marks of the requests for gauges, which come back with the gauges. They prove that the runtime
/// has read all lines before them.
#[derive(Debug, Default)]
struct Marks {
    last_sent: u64,
    last_confirmed: u64,
    /// The gauges with this mark follow all notices that the runtime had when the link began.
    barrier: u64,
}

/// The link to the runtime, and what it remembers when a connection breaks.
pub struct RuntimeLink<H: Host> {
    host: H,
    address: SocketAddr,
    /// Names of the request classes, by index.
    class_names: Vec<String>,
    /// Names of the gauges, in the order in which the runtime sends them.
    gauge_names: Vec<String>,
    link: Option<Link<H>>,
    /// When a connection is tried next, while there is none.
    reconnect_at: Micros,
    /// No failure was logged since a link was last ready.
    is_healthy: bool,
    /// How long the runtime had been up when it answered `sync` last.
    uptime: Micros,
    /// The number of the last notice that was read.
    last_notice: u64,
    /// Commands of earlier connections that the runtime may have read or not. They are settled once
    /// the mark of the barrier has come back.
    uncertain_commands: Vec<SentCommand>,
    marks: Marks,
    outgoing: OutgoingLines,
}

impl<H: Host> RuntimeLink<H> {
    /// Creates a link that is connected with the first [`poll`](Self::poll).
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

    /// Returns true while there is a connection, or one is being made.
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

    /// Changes the address of the runtime. A link that is ready is closed once the runtime is
    /// proved to have read all commands on it, so that none of them is uncertain; later commands
    /// wait for the next link.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        self.reconnect_at = now;
        match self.state() {
            Some(LinkState::Ready) => self.begin_departure(now),
            // It keeps the mark that it departs with: nothing more is sent on it, so that a later
            // mark would never come back.
            Some(LinkState::Departing { .. }) => {}
            Some(LinkState::Syncing) | None => self.link = None,
        }
    }

    fn begin_departure(&mut self, now: Micros) {
        self.read_gauges();
        if let Err(error) = self.send() {
            return self.on_link_lost(now, &error);
        }
        if let Some(link) = &mut self.link {
            link.state = LinkState::Departing {
                mark: self.marks.last_sent,
                deadline: now + DEPARTURE_TIMEOUT,
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
        let line = runtime_line::encode_call_reply(id, body);
        self.push_command(line, id, RuntimeCommand::ResumeWithReply);
    }

    /// Resumes a run without making its call, which the runtime asked for with this notice.
    pub fn resume_without_call(&mut self, id: RequestId, notice: u64) {
        let line = runtime_line::encode_call_omission(id, notice);
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

    /// Asks for the gauges; without effect while the link is not ready.
    pub fn read_gauges(&mut self) {
        // A runtime that does not answer is not asked without end.
        if self.is_ready() && self.outgoing.in_flight_count() < MAX_UNREAD_LINES {
            self.marks.last_sent += 1;
            self.outgoing.push(OutgoingLine {
                line: runtime_line::encode_gauges_request(self.marks.last_sent),
                command: None,
                mark: Some(self.marks.last_sent),
            });
        }
    }

    /// Notes that the connection has become readable or writable.
    pub fn on_readiness(&mut self, readiness: Readiness) {
        if let Some(link) = &mut self.link {
            link.stream.on_readiness(readiness);
        }
    }

    /// Reads what has arrived, sends what waits, and connects again where that is due. Returns true
    /// where there is more to read.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<Event>) -> bool {
        if self.link.is_none() && now >= self.reconnect_at {
            self.connect(now);
        }
        let Some(link) = &mut self.link else {
            return false;
        };
        let read = link.stream.read(READ_LIMIT);
        let has_ended = link.stream.is_read_closed;
        self.read_lines(events);
        let sent = self.send();
        if self.has_departed(now) {
            tracing::info!(address = %self.address, "runtime: moves to another address");
            self.is_healthy = false;
            self.on_link_lost(now, &"it has moved");
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

    fn has_departed(&self, now: Micros) -> bool {
        match self.state() {
            Some(LinkState::Departing { mark, deadline }) => {
                mark <= self.marks.last_confirmed || now >= deadline
            }
            Some(LinkState::Syncing | LinkState::Ready) | None => false,
        }
    }

    /// Returns when a connection is tried again, or the old one is closed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        match self.state() {
            None => Some(self.reconnect_at),
            Some(LinkState::Departing { deadline, .. }) => Some(deadline),
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

    /// Sorts the commands of a link that broke: those that were not sent go to the next link, the
    /// others are uncertain until the notices up to then are read.
    fn on_link_lost(&mut self, now: Micros, reason: &dyn std::fmt::Display) {
        // Logged once, since the next attempts follow each other fast.
        if self.is_healthy {
            tracing::warn!(%reason, "runtime: no link, trying again");
        }
        self.is_healthy = false;
        self.link = None;
        self.reconnect_at = now + RECONNECT_INTERVAL;
        let uncertain_commands = self.outgoing.on_connection_lost();
        self.uncertain_commands.extend(uncertain_commands);
    }

    /// Sends the lines that wait, as far as the system takes them.
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
