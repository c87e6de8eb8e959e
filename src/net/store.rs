//! The pool of connections to the store: one call at a time on each.

use super::conn::Conn;
use super::{http, line, Handle, Party};
use crate::exchange::Fact;
use crate::interface::{Micros, Outcome, RequestId};
use calloop::Readiness;
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// An idle connection is dropped well before the store closes it: a call on one that is being closed proves
/// nothing when it breaks.
const IDLE: Micros = 5_000_000;
/// Bytes of a reply read at once.
const READ_AT_ONCE: usize = 2_097_152;

struct Job {
    id: RequestId,
    made: Micros,
    until: Micros,
}

struct Channel {
    conn: Conn,
    job: Option<Job>,
    /// When it became idle.
    idle_at: Micros,
    /// Bytes of a call may have reached the store.
    connected: bool,
}

struct Waiting {
    job: Job,
    body: Vec<u8>,
}

/// The pool.
pub struct Store {
    handle: Handle,
    address: SocketAddr,
    most: usize,
    channels: HashMap<u64, Channel>,
    /// Idle channels; the last was used last.
    idle: Vec<u64>,
    busy: HashMap<RequestId, u64>,
    waiting: VecDeque<Waiting>,
    noted: Vec<u64>,
    numbers: u64,
}

impl Store {
    /// An empty pool that holds `most` connections.
    #[must_use]
    pub fn new(handle: Handle, address: SocketAddr, most: usize) -> Self {
        Self {
            handle,
            address,
            most: most.max(1),
            channels: HashMap::new(),
            idle: Vec::new(),
            busy: HashMap::new(),
            waiting: VecDeque::new(),
            noted: Vec::new(),
            numbers: 0,
        }
    }

    /// Makes a call; the one that the request had before is given up.
    pub fn call(
        &mut self,
        now: Micros,
        id: RequestId,
        body: Vec<u8>,
        timeout: Micros,
        facts: &mut Vec<Fact>,
    ) {
        self.abandon(id);
        let job = Job { id, made: now, until: now + timeout };
        self.place(now, Waiting { job, body }, facts);
    }

    fn place(&mut self, now: Micros, call: Waiting, facts: &mut Vec<Fact>) {
        let number = match self.idle.pop() {
            Some(number) => number,
            None if self.channels.len() >= self.most => {
                self.waiting.push_back(call);
                return;
            }
            None => {
                self.numbers += 1;
                match Conn::connect(&self.handle, self.address, Party::Store(self.numbers)) {
                    Ok(conn) => {
                        let channel = Channel { conn, job: None, idle_at: now, connected: false };
                        self.channels.insert(self.numbers, channel);
                        self.numbers
                    }
                    Err(e) => {
                        facts.push(ended(now, &call.job, unconnected(&e)));
                        return;
                    }
                }
            }
        };
        let Some(channel) = self.channels.get_mut(&number) else { return };
        let wait = call.job.until.saturating_sub(now).div_ceil(1_000).max(1);
        let headers = [("X-For-Request", line::rid(call.job.id)), ("X-Wait-Ms", wait.to_string())];
        let host = self.address.to_string();
        http::push_request(channel.conn.output(), "POST", "/query", &host, &headers, &call.body);
        self.busy.insert(call.job.id, number);
        channel.job = Some(call.job);
        self.noted.push(number);
    }

    /// Gives up a request's call by closing its connection. Nothing more is told of it.
    pub fn abandon(&mut self, id: RequestId) {
        if let Some(number) = self.busy.remove(&id) {
            self.channels.remove(&number);
        }
        self.waiting.retain(|call| call.job.id != id);
    }

    /// Takes note of what the event loop saw.
    pub fn note(&mut self, number: u64, readiness: Readiness) {
        if let Some(channel) = self.channels.get_mut(&number) {
            channel.conn.note(readiness);
            self.noted.push(number);
        }
    }

    /// Reads replies, sends calls, and gives up what takes too long.
    pub fn turn(&mut self, now: Micros, facts: &mut Vec<Fact>) {
        for number in std::mem::take(&mut self.noted) {
            self.serve(now, number, facts);
        }
        let late: Vec<_> = self
            .channels
            .iter()
            .filter(|(_, c)| c.job.as_ref().is_some_and(|job| now >= job.until))
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.fail(now, number, Outcome::TimedOut, facts);
        }
        while self.waiting.front().is_some_and(|call| now >= call.job.until) {
            if let Some(call) = self.waiting.pop_front() {
                facts.push(ended(now, &call.job, Outcome::TimedOut));
            }
        }
        while !self.waiting.is_empty() && (!self.idle.is_empty() || self.channels.len() < self.most) {
            if let Some(call) = self.waiting.pop_front() {
                self.place(now, call, facts);
            }
        }
        while let Some(&number) = self.idle.first() {
            if self.channels.get(&number).is_some_and(|c| now < c.idle_at + IDLE) {
                break;
            }
            self.idle.remove(0);
            self.channels.remove(&number);
        }
        // What was placed just now is sent in this turn.
        for number in std::mem::take(&mut self.noted) {
            self.serve(now, number, facts);
        }
    }

    /// When something is to be given up.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let jobs = self.channels.values().filter_map(|c| c.job.as_ref().map(|job| job.until));
        let waiting = self.waiting.front().map(|call| call.job.until);
        let idle = self.idle.first().and_then(|n| self.channels.get(n)).map(|c| c.idle_at + IDLE);
        jobs.chain(waiting).chain(idle).min()
    }

    fn serve(&mut self, now: Micros, number: u64, facts: &mut Vec<Fact>) {
        let Some(channel) = self.channels.get_mut(&number) else { return };
        let reply = match channel.exchange() {
            Ok(Some(reply)) => reply,
            Ok(None) if channel.conn.ended || (channel.job.is_none() && !channel.conn.input.is_empty()) => {
                self.fail(now, number, Outcome::Broken, facts);
                return;
            }
            Ok(None) => return,
            Err(e) => {
                let outcome = if channel.connected { Outcome::Broken } else { unconnected(&e) };
                self.fail(now, number, outcome, facts);
                return;
            }
        };
        let Some(job) = channel.job.take() else { return };
        self.busy.remove(&job.id);
        let outcome = match (reply.status, reply.not_run) {
            (200, _) => Outcome::Success,
            (503, true) => Outcome::Overloaded,
            (409, true) => Outcome::Void,
            (504, _) => Outcome::TimedOut,
            _ => Outcome::Failure,
        };
        if reply.closes || channel.conn.ended || !channel.conn.input.is_empty() {
            self.channels.remove(&number);
        } else {
            channel.idle_at = now;
            self.idle.push(number);
        }
        let elapsed = now.saturating_sub(job.made);
        facts.push(Fact::CallEnded { id: job.id, outcome, elapsed, reply: reply.body });
    }

    /// Drops a channel; the call that it carried ends so.
    fn fail(&mut self, now: Micros, number: u64, outcome: Outcome, facts: &mut Vec<Fact>) {
        let Some(channel) = self.channels.remove(&number) else { return };
        self.idle.retain(|n| *n != number);
        if let Some(job) = channel.job {
            self.busy.remove(&job.id);
            facts.push(ended(now, &job, outcome));
        }
    }
}

impl Channel {
    fn exchange(&mut self) -> io::Result<Option<http::Reply>> {
        let conn = &mut self.conn;
        if !self.connected {
            conn.check()?;
        }
        let sent = conn.flush()?;
        self.connected |= sent > 0;
        conn.read(READ_AT_ONCE)?;
        if self.job.is_none() {
            return Ok(None);
        }
        let reply = http::parse(&conn.input, conn.ended).map_err(io::Error::other)?;
        if let Some(reply) = &reply {
            conn.input.drain(..reply.size);
        }
        Ok(reply)
    }
}

fn ended(now: Micros, job: &Job, outcome: Outcome) -> Fact {
    Fact::CallEnded { id: job.id, outcome, elapsed: now.saturating_sub(job.made), reply: Vec::new() }
}

/// Only a refused connection proves that no call ran.
fn unconnected(e: &io::Error) -> Outcome {
    if e.kind() == ErrorKind::ConnectionRefused {
        Outcome::Unreachable
    } else {
        Outcome::Broken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against more connections than the pool may hold; what waits too long was not answered either.
    #[test]
    fn calls_beyond_the_pool_wait_and_run_out_of_time() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let event_loop = calloop::EventLoop::try_new().expect("an event loop");
        let mut store = Store::new(event_loop.handle(), listener.local_addr().expect("an address"), 2);
        let mut facts = Vec::new();
        for id in 1..=4 {
            store.call(0, id, Vec::new(), 1_000 * id, &mut facts);
        }
        assert_eq!((store.channels.len(), store.waiting.len()), (2, 2));
        store.abandon(3);
        assert_eq!(store.next(), Some(1_000));
        store.turn(1_500, &mut facts);
        let told = |facts: &[Fact]| -> Vec<_> {
            let of = |fact: &Fact| match fact {
                Fact::CallEnded { id, outcome, elapsed, .. } => (*id, *outcome, *elapsed),
                other => panic!("{other:?}"),
            };
            facts.iter().map(of).collect()
        };
        assert_eq!(told(&facts), [(1, Outcome::TimedOut, 1_500)]);
        assert_eq!((store.channels.len(), store.waiting.len()), (2, 0), "the place is taken by the next");
        facts.clear();
        store.turn(4_000, &mut facts);
        let mut ends = told(&facts);
        ends.sort_by_key(|end| end.0);
        assert_eq!(ends, [(2, Outcome::TimedOut, 4_000), (4, Outcome::TimedOut, 4_000)]);
        assert_eq!((store.channels.len(), store.busy.len()), (0, 0));
    }
}
