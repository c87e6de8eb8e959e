//! The link to the runtime: commands out, notices in, and the way back after a break.

use super::buffered_connection::BufferedConnection;
use super::host::{Host, Readiness};
use super::SocketOwner;
use cleatpulley_dispatcher::{Event, RuntimeCommand};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Gauges, Micros, Outcome, RequestId};
use cleatpulley_protocol::line::{self, Notice};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The old link is left this long after a move, even if the runtime has not proved that it read all commands.
const LEAVING: Micros = 500_000;
/// Wait before a link is tried again.
const RETRY: Micros = 50_000;
/// No line is longer; what is can't be told apart from what follows it.
const LONGEST_LINE: usize = 262_144;
/// Lines read in one turn of the loop, so that a full link blocks nobody.
const READ_AT_ONCE: usize = 262_144;

/// A runtime that says to be younger than it said before by more than this was started again; less is a clock's whim.
const YOUNGER: Micros = 1_000_000;
/// Lines that the runtime may leave unread before no more gauges are asked for.
const MOST_FLYING: usize = 4_096;

/// A command that may have to be settled after a break.
#[derive(Debug, Clone, Copy)]
struct Sent {
    id: RequestId,
    order: RuntimeCommand,
}

/// One line on its way out.
struct Outgoing {
    line: Vec<u8>,
    sent: Option<Sent>,
    /// The mark of a question for gauges.
    mark: Option<u64>,
}

/// The link and what it has to remember across breaks.
pub struct RuntimeLink<H: Host> {
    world: H,
    address: SocketAddr,
    routes: Vec<String>,
    gauge_names: Vec<String>,
    conn: Option<BufferedConnection<H>>,
    /// `sync` was answered on this link.
    synced: bool,
    /// How long the runtime had been up when it answered last.
    age: Micros,
    /// Commands sent on earlier links and not settled; they wait for the load with this mark.
    doubtful: Vec<Sent>,
    barrier: u64,
    retry_at: Micros,
    /// The link goes to another address than the runtime's: it is left once the load with this mark has come, or
    /// at this time.
    leaving: Option<(u64, Micros)>,
    /// The last notice read.
    last: u64,
    marks: u64,
    /// The last mark that came back.
    confirmed: u64,
    /// Lines that no byte was sent of yet, which another link may carry.
    queue: VecDeque<Outgoing>,
    /// Lines handed to the system on this link, with their ends in the bytes of the link, until a load proves
    /// that they were read.
    flying: VecDeque<(u64, Outgoing)>,
    handed: u64,
    written: u64,
    well: bool,
}

impl<H: Host> RuntimeLink<H> {
    /// A link that is tried at once.
    #[must_use]
    pub fn new(
        world: H,
        address: SocketAddr,
        routes: Vec<String>,
        gauge_names: Vec<String>,
    ) -> Self {
        Self {
            world,
            address,
            routes,
            gauge_names,
            conn: None,
            synced: false,
            age: 0,
            doubtful: Vec::new(),
            barrier: 0,
            retry_at: 0,
            leaving: None,
            last: 0,
            marks: 0,
            confirmed: 0,
            queue: VecDeque::new(),
            flying: VecDeque::new(),
            handed: 0,
            written: 0,
            well: true,
        }
    }

    /// A connection to it stands or is being made.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.conn.is_some()
    }

    /// Whether the runtime is up and the link stands.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.synced
    }

    /// The runtime is at this address from now on. A link that stands is left once all commands that it carried
    /// are proved to have been read, so that none of them is in doubt; later ones wait for the next link.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        self.retry_at = now;
        // One that is being left is proved by the mark it was left with: nothing more is sent on it, so that a later mark
        // would never come back, and all would wait for the time to run out.
        if self.leaving.is_some() {
            return;
        }
        if self.synced {
            self.read_gauges();
            match self.send() {
                Ok(()) => self.leaving = Some((self.marks, now + LEAVING)),
                Err(e) => self.lose(now, &e.to_string()),
            }
        } else {
            self.conn = None;
        }
    }

    /// Starts a run.
    pub fn start(&mut self, id: RequestId, class: usize, body: &[u8]) {
        let route = self.routes.get(class).map_or("", String::as_str);
        self.push(
            line::start(id, route, body),
            Some(Sent {
                id,
                order: RuntimeCommand::Start,
            }),
            None,
        );
    }

    /// Hands over the reply to a call.
    pub fn resume_with_reply(&mut self, id: RequestId, body: &[u8]) {
        self.push(
            line::give(id, body),
            Some(Sent {
                id,
                order: RuntimeCommand::ResumeWithReply,
            }),
            None,
        );
    }

    /// Leaves out a call.
    pub fn resume_without_call(&mut self, id: RequestId, notice: u64) {
        self.push(
            line::omit(id, notice),
            Some(Sent {
                id,
                order: RuntimeCommand::ResumeWithoutCall,
            }),
            None,
        );
    }

    /// Stops a run.
    pub fn stop(&mut self, id: RequestId) {
        self.push(
            line::stop(id),
            Some(Sent {
                id,
                order: RuntimeCommand::Stop,
            }),
            None,
        );
    }

    /// Asks for the gauges; while no link stands there is nobody to ask.
    pub fn read_gauges(&mut self) {
        // A runtime that does not answer is not asked without end.
        if self.synced && self.flying.len() < MOST_FLYING {
            self.marks += 1;
            self.push(line::gauges(self.marks), None, Some(self.marks));
        }
    }

    fn push(&mut self, line: Vec<u8>, sent: Option<Sent>, mark: Option<u64>) {
        self.queue.push_back(Outgoing { line, sent, mark });
    }

    /// Takes note of what the event loop saw.
    pub fn on_readiness(&mut self, readiness: Readiness) {
        if let Some(conn) = &mut self.conn {
            conn.on_readiness(readiness);
        }
    }

    /// Reads what has come, sends what waits, and mends the link. True when there is more to read.
    pub fn poll(&mut self, now: Micros, facts: &mut Vec<Event>) -> bool {
        if self.conn.is_none() && now >= self.retry_at {
            self.connect(now);
        }
        let Some(conn) = &mut self.conn else {
            return false;
        };
        let read = conn.read(READ_AT_ONCE);
        let ended = conn.ended;
        self.read_lines(facts);
        let sent = self.send();
        if self
            .leaving
            .is_some_and(|(mark, until)| mark <= self.confirmed || now >= until)
        {
            tracing::info!("runtime: moves to {}", self.address);
            self.well = false;
            self.lose(now, "it has moved");
            self.retry_at = now;
            return true;
        }
        match (read, sent) {
            (Ok(more), Ok(())) if !ended => more,
            (Err(e), _) | (_, Err(e)) => {
                self.lose(now, &e.to_string());
                false
            }
            _ => {
                self.lose(now, "closed by the runtime");
                false
            }
        }
    }

    /// When the link is to be tried again.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.conn.is_none() {
            return Some(self.retry_at);
        }
        self.leaving.map(|(_, until)| until)
    }

    fn connect(&mut self, now: Micros) {
        match BufferedConnection::connect(&self.world, self.address, SocketOwner::Runtime) {
            Ok(mut conn) => {
                conn.output().extend_from_slice(&line::sync(self.last));
                self.handed = conn.unsent() as u64;
                self.written = 0;
                self.conn = Some(conn);
            }
            Err(e) => self.lose(now, &e.to_string()),
        }
    }

    /// Sorts the commands of a link that broke: what was not handed over can be sent on the next one, what was
    /// is in doubt until the notices up to then are read.
    fn lose(&mut self, now: Micros, why: &str) {
        // Once: the next tries follow each other fast.
        if self.well {
            tracing::warn!("runtime: no link, trying again: {why}");
        }
        self.well = false;
        self.conn = None;
        self.leaving = None;
        self.synced = false;
        self.retry_at = now + RETRY;
        for (end, outgoing) in std::mem::take(&mut self.flying).into_iter().rev() {
            let begin = end - outgoing.line.len() as u64;
            if begin >= self.written || is_bug_injected(InjectedBug::StartResent) {
                self.queue.push_front(outgoing);
            } else {
                self.doubtful.extend(outgoing.sent);
            }
        }
        self.queue.retain(|outgoing| {
            outgoing.mark.is_none() && !is_bug_injected(InjectedBug::CommandQueueLost)
        });
    }

    /// Hands over lines one after the other, as far as the system takes them.
    fn send(&mut self) -> std::io::Result<()> {
        let Some(conn) = &mut self.conn else {
            return Ok(());
        };
        // Nothing but `sync` is sent before the runtime is up, and nothing more on a link that is being left.
        while self.synced && self.leaving.is_none() {
            let Some(outgoing) = self.queue.pop_front() else {
                break;
            };
            conn.output().extend_from_slice(&outgoing.line);
            self.handed += outgoing.line.len() as u64;
            self.flying.push_back((self.handed, outgoing));
        }
        self.written += conn.flush()? as u64;
        Ok(())
    }

    fn read_lines(&mut self, facts: &mut Vec<Event>) {
        let Some(conn) = &mut self.conn else { return };
        let mut input = std::mem::take(&mut conn.input);
        let mut used = 0;
        while let Some(length) = input[used..].iter().position(|b| *b == b'\n') {
            let line = &input[used..used + length];
            used += length + 1;
            if line.is_empty() {
                continue;
            }
            if let Err(fault) = self.read_line(line, facts) {
                tracing::warn!("runtime: odd line skipped: {fault}");
            }
        }
        input.drain(..used);
        if input.len() > LONGEST_LINE {
            tracing::warn!(
                "runtime: a line without an end, {} bytes passed over",
                input.len()
            );
            input.clear();
        }
        if let Some(conn) = &mut self.conn {
            conn.input = input;
        }
    }

    fn read_line(&mut self, line: &[u8], facts: &mut Vec<Event>) -> Result<(), String> {
        let notice = Notice::decode(line)?;
        if let Some(number) = notice.no {
            // A new link tells again what the old one may have told.
            if number <= self.last {
                return Ok(());
            }
            self.last = number;
        }
        match &*notice.t {
            "ready" => {
                tracing::info!(
                    "runtime: {}, up for {} ms",
                    notice.status,
                    notice.time() / 1_000
                );
                // One that is younger than it was is another process: what ran there is gone with the notices of it.
                if std::mem::replace(&mut self.age, notice.time()) > notice.time() + YOUNGER {
                    tracing::warn!("runtime: it was started again; what ran there has no end");
                    self.last = 0;
                    self.doubtful.clear();
                    facts.push(Event::RuntimeReplaced);
                }
                self.synced = true;
                self.well = true;
                facts.push(Event::RuntimeReady(notice.time()));
                // Answered after all notices that the runtime had for us.
                self.read_gauges();
                self.barrier = self.marks;
            }
            "end" => {
                let id = notice.request()?;
                let mut outcome = match &*notice.status {
                    "fine" => Outcome::Success,
                    "fault" => Outcome::Failure,
                    "broken_off" => Outcome::Cancelled,
                    "late" => Outcome::NotStarted,
                    other => {
                        tracing::warn!("runtime: unknown end {other:?} taken for a fault");
                        Outcome::Failure
                    }
                };
                // A result that can't be read must not be told to anyone, but the run is over all the same.
                let result = notice.body().unwrap_or_else(|fault| {
                    tracing::warn!("runtime: result of {} lost: {fault}", line::rid(id));
                    outcome = Outcome::Failure;
                    Vec::new()
                });
                self.doubtful.retain(|sent| sent.id != id);
                facts.push(Event::RunEnded {
                    id,
                    outcome,
                    elapsed: notice.time(),
                    result,
                });
            }
            "wants" => {
                let id = notice.request()?;
                let number = notice.no.ok_or("a call without a number")?;
                self.doubtful.retain(|sent| sent.id != id);
                facts.push(Event::CallRequested {
                    id,
                    notice: number,
                    body: notice.body()?,
                });
            }
            "load" => {
                let find = |name: &str| {
                    let place = self.gauge_names.iter().position(|n| n == name)?;
                    notice.v.get(place).copied()
                };
                facts.push(Event::Gauges(Gauges {
                    runnable: find("runnable"),
                    memory: find("mem_used"),
                }));
                if let Some(mark) = notice.mark() {
                    self.confirm(mark, facts);
                }
            }
            "nack" => {
                let id = notice.request()?;
                let order = match &*notice.status {
                    "start" => RuntimeCommand::Start,
                    "give" => RuntimeCommand::ResumeWithReply,
                    "omit" => RuntimeCommand::ResumeWithoutCall,
                    "stop" => RuntimeCommand::Stop,
                    other => return Err(format!("nack of {other:?}")),
                };
                tracing::warn!(
                    "runtime: {} of {} not carried out",
                    notice.status,
                    line::rid(id)
                );
                facts.push(Event::CommandRejected { id, command: order });
            }
            "info" => {}
            other => return Err(format!("unknown kind {other:?}")),
        }
        Ok(())
    }

    /// The runtime has read all lines up to the one with this mark.
    fn confirm(&mut self, mark: u64, facts: &mut Vec<Event>) {
        self.confirmed = self.confirmed.max(mark);
        if let Some(place) = self.flying.iter().position(|(_, o)| o.mark == Some(mark)) {
            self.flying.drain(..=place);
        }
        if mark >= self.barrier {
            let doubtful = std::mem::take(&mut self.doubtful);
            let told = doubtful.into_iter().map(|s| Event::CommandUncertain {
                id: s.id,
                command: s.order,
            });
            facts.extend(told);
        }
    }
}

#[cfg(test)]
mod tests;
