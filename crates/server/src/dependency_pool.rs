//! The pool of connections to the store: one call at a time on each, over HTTP or AJP.

use super::buffered_connection::BufferedConnection;
use super::host::{Host, Readiness};
use super::SocketOwner;
use cleatpulley_dispatcher::{DependencyCall, Event};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, Outcome, RequestId};
use cleatpulley_protocol::ajp::client::{self, Client, Fate};
use cleatpulley_protocol::{http, line};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// An idle connection is dropped well before the store closes it: a call on one that is being closed proves
/// nothing when it breaks.
const IDLE: Micros = 5_000_000;
/// So many idle connections are kept: calls of writes leave more behind than those of reads take up.
const KEPT: usize = 8;
/// Bytes of a reply read at once.
const READ_AT_ONCE: usize = 2_097_152;

/// How the store is called.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum DependencyProtocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// AJP/1.3.
    Ajp(client::Options),
}

struct PersistenceJob {
    id: RequestId,
    made: Micros,
    until: Micros,
    body: Vec<u8>,
    /// Making it twice does no harm, and it was made once at the most.
    repeatable: bool,
}

struct Channel<H: Host> {
    conn: BufferedConnection<H>,
    /// The state of an AJP connection; none where HTTP is spoken.
    client: Option<Client>,
    address: SocketAddr,
    job: Option<PersistenceJob>,
    /// When it became idle.
    idle_at: Micros,
    /// Bytes of a call may have reached the store.
    connected: bool,
    /// It carried a call before this one, or leads to where the store was: its end says nothing about a call.
    reused: bool,
}

/// What a [`DependencyPool`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DependencyPoolUsage {
    /// Calls, those that wait for a connection among them.
    pub calls: usize,
    /// Connections.
    pub connections: usize,
}

/// The pool.
pub struct DependencyPool<H: Host> {
    world: H,
    address: SocketAddr,
    speaks: DependencyProtocol,
    most: usize,
    /// In the order of their numbers: what is done to all of them is done alike in every run.
    channels: BTreeMap<u64, Channel<H>>,
    /// Idle channels; the last was used last.
    idle: Vec<u64>,
    busy: HashMap<RequestId, u64>,
    waiting: VecDeque<PersistenceJob>,
    noted: Vec<u64>,
    numbers: u64,
}

impl<H: Host> DependencyPool<H> {
    /// An empty pool that holds `most` connections.
    #[must_use]
    pub fn new(world: H, address: SocketAddr, speaks: DependencyProtocol, most: usize) -> Self {
        Self {
            world,
            address,
            speaks,
            most: most.max(1),
            channels: BTreeMap::new(),
            idle: Vec::new(),
            busy: HashMap::new(),
            waiting: VecDeque::new(),
            noted: Vec::new(),
            numbers: 0,
        }
    }

    /// Calls, those that wait among them, and connections.
    #[must_use]
    pub fn usage(&self) -> DependencyPoolUsage {
        DependencyPoolUsage {
            calls: self.busy.len() + self.waiting.len(),
            connections: self.channels.len(),
        }
    }

    /// Makes a call; the one that the request had before is given up.
    pub fn call(&mut self, now: Micros, call: DependencyCall, facts: &mut Vec<Event>) {
        self.abandon(call.id);
        let DependencyCall {
            id,
            body,
            timeout,
            is_idempotent: repeatable,
        } = call;
        self.place(
            now,
            PersistenceJob {
                id,
                made: now,
                until: now + timeout,
                body,
                repeatable,
            },
            facts,
        );
    }

    fn place(&mut self, now: Micros, job: PersistenceJob, facts: &mut Vec<Event>) {
        // Guards against a connection that the store has dropped unseen: its reset does not tell whether the call
        // ran, so that a call which must not be made twice takes a fresh one.
        let idle = if job.repeatable {
            self.idle.pop()
        } else {
            None
        };
        let number = match idle {
            Some(number) => number,
            None => match self.connect(now) {
                Ok(Some(number)) => number,
                Ok(None) => {
                    self.waiting.push_back(job);
                    return;
                }
                Err(e) => {
                    facts.push(ended(now, &job, unconnected(&e)));
                    return;
                }
            },
        };
        let Some(channel) = self.channels.get_mut(&number) else {
            return;
        };
        let wait = job.until.saturating_sub(now).div_ceil(1_000).max(1);
        let headers = [
            ("X-For-Request", line::rid(job.id)),
            ("X-Wait-Ms", wait.to_string()),
        ];
        if let Some(client) = &mut channel.client {
            let headers = headers
                .each_ref()
                .map(|(name, value)| (*name, value.as_str()));
            let request = client::Request {
                method: "POST",
                uri: "/query",
                headers: &headers,
                body: &job.body,
            };
            // These few headers fit into the smallest packet.
            let _ = client.request(now, &request, channel.conn.output());
        } else {
            let host = self.address.to_string();
            http::push_request(
                channel.conn.output(),
                "POST",
                "/query",
                &host,
                &headers,
                &job.body,
            );
        }
        self.busy.insert(job.id, number);
        channel.job = Some(job);
        self.noted.push(number);
    }

    /// A fresh connection, in the place of an idle one if need be; none where all places are taken by calls.
    fn connect(&mut self, now: Micros) -> io::Result<Option<u64>> {
        if self.channels.len() >= self.most {
            if self.idle.is_empty() {
                return Ok(None);
            }
            self.channels.remove(&self.idle.remove(0));
        }
        self.numbers += 1;
        let conn = BufferedConnection::connect(
            &self.world,
            self.address,
            SocketOwner::Dependency(self.numbers),
        )?;
        let client = match &self.speaks {
            DependencyProtocol::Http => None,
            DependencyProtocol::Ajp(options) => {
                let server = (self.address.ip().to_string(), self.address.port());
                Some(Client::new(
                    client::Options {
                        server,
                        ..options.clone()
                    },
                    now,
                ))
            }
        };
        let (address, job) = (self.address, None);
        let channel = Channel {
            conn,
            client,
            address,
            job,
            idle_at: now,
            connected: false,
            reused: false,
        };
        self.channels.insert(self.numbers, channel);
        Ok(Some(self.numbers))
    }

    /// Gives up a request's call by closing its connection. Nothing more is told of it.
    pub fn abandon(&mut self, id: RequestId) {
        let leaked = is_bug_injected(InjectedBug::CallConnectionLeaked)
            .then(|| self.busy.get(&id).copied())
            .flatten();
        if let Some(number) = leaked.or_else(|| self.busy.remove(&id)) {
            self.channels.remove(&number);
        }
        self.waiting.retain(|job| job.id != id);
    }

    /// The store is at this address from now on. Calls on their way may still be answered at the old one; those
    /// that no byte was sent of are made at the new one.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr, facts: &mut Vec<Event>) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        for number in std::mem::take(&mut self.idle) {
            self.channels.remove(&number);
        }
        let unsent: Vec<_> = self
            .channels
            .iter()
            .filter(|(_, c)| !c.connected)
            .map(|(n, _)| *n)
            .collect();
        self.channels
            .values_mut()
            .for_each(|channel| channel.reused = true);
        for number in unsent {
            let Some(job) = self
                .channels
                .remove(&number)
                .and_then(|channel| channel.job)
            else {
                continue;
            };
            self.busy.remove(&job.id);
            self.place(now, job, facts);
        }
    }

    /// Takes note of what the event loop saw.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(channel) = self.channels.get_mut(&number) {
            channel.conn.on_readiness(readiness);
            self.noted.push(number);
        }
    }

    /// Reads replies, sends calls, and gives up what takes too long.
    pub fn poll(&mut self, now: Micros, facts: &mut Vec<Event>) {
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
        while self.waiting.front().is_some_and(|job| now >= job.until) {
            if let Some(job) = self.waiting.pop_front() {
                facts.push(ended(now, &job, Outcome::TimedOut));
            }
        }
        while !self.waiting.is_empty() && (!self.idle.is_empty() || self.channels.len() < self.most)
        {
            if let Some(job) = self.waiting.pop_front() {
                self.place(now, job, facts);
            }
        }
        while let Some(&number) = self.idle.first() {
            if self
                .channels
                .get(&number)
                .is_some_and(|c| now < c.idle_at + IDLE)
            {
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
    pub fn next_deadline(&self) -> Option<Micros> {
        let jobs = self
            .channels
            .values()
            .filter_map(|c| c.job.as_ref().map(|job| job.until));
        let waiting = self.waiting.front().map(|job| job.until);
        let idle = self
            .idle
            .first()
            .and_then(|n| self.channels.get(n))
            .map(|c| c.idle_at + IDLE);
        jobs.chain(waiting).chain(idle).min()
    }

    fn serve(&mut self, now: Micros, number: u64, facts: &mut Vec<Event>) {
        let Some(channel) = self.channels.get_mut(&number) else {
            return;
        };
        let reply = match channel.exchange(now) {
            Ok(Some(reply)) => reply,
            Ok(None)
                if channel.conn.ended
                    || (channel.job.is_none() && !channel.conn.input.is_empty()) =>
            {
                self.fail(now, number, Outcome::Interrupted, facts);
                return;
            }
            Ok(None) => return,
            Err(e) => {
                let outcome = match e.kind() {
                    // The store did answer: this says nothing about its load.
                    ErrorKind::InvalidData => Outcome::Failure,
                    _ if channel.connected => Outcome::Interrupted,
                    _ => unconnected(&e),
                };
                self.fail(now, number, outcome, facts);
                return;
            }
        };
        let Some(job) = channel.job.take() else {
            return;
        };
        self.busy.remove(&job.id);
        let outcome = match (reply.status, reply.not_run) {
            (200, _) => Outcome::Success,
            (503, true) => Outcome::Overloaded,
            (409, true) => Outcome::NotStarted,
            (504, _) => Outcome::TimedOut,
            _ => Outcome::Failure,
        };
        // Bytes beyond the reply belong to no call: nobody knows what would come before the next reply.
        let spent = reply.closes || channel.conn.ended || !channel.conn.input.is_empty();
        if spent || channel.address != self.address || self.idle.len() >= KEPT {
            self.channels.remove(&number);
        } else {
            channel.idle_at = now;
            channel.reused = true;
            self.idle.push(number);
        }
        let elapsed = now.saturating_sub(job.made);
        facts.push(Event::CallEnded {
            id: job.id,
            outcome,
            elapsed,
            reply: reply.body,
        });
    }

    /// Drops a channel; the call that it carried ends so, or is made again where that is due to the channel.
    fn fail(&mut self, now: Micros, number: u64, outcome: Outcome, facts: &mut Vec<Event>) {
        let Some(channel) = self.channels.remove(&number) else {
            return;
        };
        self.idle.retain(|n| *n != number);
        let Some(job) = channel.job else { return };
        self.busy.remove(&job.id);
        // Guards against a connection that the store closed or forgot while it was idle: the call most likely
        // never ran, and it is no sign of a store in trouble. Once: the next connection is a fresh one.
        let stale =
            channel.reused && outcome == Outcome::Interrupted && channel.conn.input.is_empty();
        // An AJP connection tells more: a call that can't have been read whole never ran.
        let fate = channel
            .client
            .as_ref()
            .map(|client| client.fate(channel.conn.unsent()));
        let outcome = match outcome {
            Outcome::Interrupted if fate == Some(Fate::NeverRan) => Outcome::Unreachable,
            outcome => outcome,
        };
        if stale && job.repeatable && now < job.until {
            self.place(
                now,
                PersistenceJob {
                    repeatable: false,
                    ..job
                },
                facts,
            );
        } else {
            facts.push(ended(now, &job, outcome));
        }
    }
}

impl<H: Host> Channel<H> {
    /// Sends what waits and reads the reply, which counts once it is whole, even if the connection broke after it.
    fn exchange(&mut self, now: Micros) -> io::Result<Option<http::Reply>> {
        let conn = &mut self.conn;
        if !self.connected {
            conn.take_error()?;
        }
        let sent = conn.flush();
        self.connected |= sent.as_ref().is_ok_and(|sent| *sent > 0);
        let read = conn.read(READ_AT_ONCE);
        if self.job.is_some() {
            let reply = match &mut self.client {
                None => http::parse(&conn.input, conn.ended).inspect(|reply| {
                    if let Some(reply) = reply {
                        conn.input.drain(..reply.size);
                    }
                }),
                Some(client) => ajp_reply(client, conn, now),
            };
            if let Some(reply) = reply.map_err(|e| io::Error::new(ErrorKind::InvalidData, e))? {
                // Whatever broke shows again with the next use.
                conn.ended |= sent.is_err() || read.is_err();
                return Ok(Some(reply));
            }
        }
        sent.and(read).map(|_| None)
    }
}

/// Reads on in an AJP reply, and sends what of the call the server asks for.
fn ajp_reply<H: Host>(
    client: &mut Client,
    conn: &mut BufferedConnection<H>,
    now: Micros,
) -> Result<Option<http::Reply>, String> {
    let input = std::mem::take(&mut conn.input);
    let taken = client.receive(now, &input, conn.output());
    conn.input = input;
    conn.consume(taken.map_err(|e| e.to_string())?);
    // A connection that broke shows with the next use.
    let _ = conn.flush();
    Ok(client.take().map(|reply| http::Reply {
        status: reply.status,
        not_run: reply.not_run(),
        closes: !reply.reuse,
        body: reply.body,
        size: 0,
    }))
}

fn ended(now: Micros, job: &PersistenceJob, outcome: Outcome) -> Event {
    Event::CallEnded {
        id: job.id,
        outcome,
        elapsed: now.saturating_sub(job.made),
        reply: Vec::new(),
    }
}

/// Only a refused connection proves that no call ran.
fn unconnected(e: &io::Error) -> Outcome {
    if e.kind() == ErrorKind::ConnectionRefused {
        Outcome::Unreachable
    } else {
        Outcome::Interrupted
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::os_host::OsHost;

    /// Guards against more connections than the pool may hold; what waits too long was not answered either.
    #[test]
    fn calls_beyond_the_pool_wait_and_run_out_of_time() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let event_loop = calloop::EventLoop::try_new().expect("an event loop");
        let mut store = DependencyPool::new(
            OsHost::new(event_loop.handle()),
            listener.local_addr().expect("an address"),
            DependencyProtocol::Http,
            2,
        );
        let mut facts = Vec::new();
        for id in 1..=4 {
            let call = DependencyCall {
                id,
                body: Vec::new(),
                timeout: 1_000 * id,
                is_idempotent: true,
            };
            store.call(0, call, &mut facts);
        }
        assert_eq!((store.channels.len(), store.waiting.len()), (2, 2));
        store.abandon(3);
        assert_eq!(store.next_deadline(), Some(1_000));
        store.poll(1_500, &mut facts);
        let told = |facts: &[Event]| -> Vec<_> {
            let of = |fact: &Event| match fact {
                Event::CallEnded {
                    id,
                    outcome,
                    elapsed,
                    ..
                } => (*id, *outcome, *elapsed),
                other => panic!("{other:?}"),
            };
            facts.iter().map(of).collect()
        };
        assert_eq!(told(&facts), [(1, Outcome::TimedOut, 1_500)]);
        assert_eq!(
            (store.channels.len(), store.waiting.len()),
            (2, 0),
            "the place is taken by the next"
        );
        facts.clear();
        store.poll(4_000, &mut facts);
        let mut ends = told(&facts);
        ends.sort_by_key(|end| end.0);
        assert_eq!(
            ends,
            [(2, Outcome::TimedOut, 4_000), (4, Outcome::TimedOut, 4_000)]
        );
        assert_eq!((store.channels.len(), store.busy.len()), (0, 0));
    }

    /// Guards against connections that the store forgot while they were idle: a read's call is made once more on
    /// a fresh one, and neither the run nor the controller hears of it.
    #[test]
    fn a_call_on_a_stale_connection_is_made_again_once() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let event_loop = calloop::EventLoop::try_new().expect("an event loop");
        let mut store = DependencyPool::new(
            OsHost::new(event_loop.handle()),
            listener.local_addr().expect("an address"),
            DependencyProtocol::Http,
            2,
        );
        let mut facts = Vec::new();
        store.call(
            0,
            DependencyCall {
                id: 1,
                body: Vec::new(),
                timeout: 9_000,
                is_idempotent: true,
            },
            &mut facts,
        );
        store
            .channels
            .values_mut()
            .for_each(|channel| channel.reused = true);
        store.fail(10, 1, Outcome::Interrupted, &mut facts);
        assert!(facts.is_empty() && store.busy.len() == 1 && store.channels.keys().eq(&[2]));
        assert_eq!(
            store.next_deadline(),
            Some(9_000),
            "the time left is the same"
        );
        store
            .channels
            .values_mut()
            .for_each(|channel| channel.reused = true);
        store.fail(20, 2, Outcome::Interrupted, &mut facts);
        assert!(matches!(
            facts[..],
            [Event::CallEnded {
                id: 1,
                outcome: Outcome::Interrupted,
                elapsed: 20,
                ..
            }]
        ));
        assert!(store.channels.is_empty() && store.busy.is_empty());
    }
}
