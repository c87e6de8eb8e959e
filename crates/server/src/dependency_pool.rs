//! The pool of connections to the dependency: one call at a time on each, over HTTP or AJP.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `protocol` | the protocols spoken with the dependency |
//! | `pending_call` | a call without a reply yet |
//! | `dependency_connection` | a connection, and what differs between the two protocols |

mod dependency_connection;
mod pending_call;
mod protocol;

pub use protocol::DependencyProtocol;

use crate::host::{Host, Readiness};
use cleatpulley_dispatcher::{DependencyCall, Event};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, Outcome, RequestId};
use cleatpulley_protocol::http;
use dependency_connection::DependencyConnection;
use pending_call::PendingCall;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// An idle connection is closed well before the dependency closes it: when a call breaks on one
/// that is being closed, that proves nothing.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// Limit of idle connections: calls of writes leave more of them behind than those of reads use.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// What a [`DependencyPool`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DependencyPoolUsage {
    /// Calls, those that wait for a connection among them.
    pub calls: usize,
    /// Connections.
    pub connections: usize,
}

/// The connections to the dependency, and the calls on them.
pub struct DependencyPool<H: Host> {
    host: H,
    address: SocketAddr,
    protocol: DependencyProtocol,
    max_connections: usize,
    /// Ordered by number, so that what is done to all of them is done alike in every run.
    connections: BTreeMap<u64, DependencyConnection<H>>,
    /// Numbers of idle connections; the one used last is the last.
    idle: Vec<u64>,
    /// The connection that carries the call of a request.
    busy: HashMap<RequestId, u64>,
    /// Calls that wait for a connection.
    waiting: VecDeque<PendingCall>,
    /// Numbers of connections that may have something to read or to send.
    ready: Vec<u64>,
    last_number: u64,
}

impl<H: Host> DependencyPool<H> {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(
        host: H,
        address: SocketAddr,
        protocol: DependencyProtocol,
        max_connections: usize,
    ) -> Self {
        Self {
            host,
            address,
            protocol,
            max_connections: max_connections.max(1),
            connections: BTreeMap::new(),
            idle: Vec::new(),
            busy: HashMap::new(),
            waiting: VecDeque::new(),
            ready: Vec::new(),
            last_number: 0,
        }
    }

    /// Returns the numbers of calls and connections.
    #[must_use]
    pub fn usage(&self) -> DependencyPoolUsage {
        DependencyPoolUsage {
            calls: self.busy.len() + self.waiting.len(),
            connections: self.connections.len(),
        }
    }

    /// Makes a call. The call that the request had before is abandoned.
    pub fn call(&mut self, now: Micros, call: DependencyCall, events: &mut Vec<Event>) {
        self.abandon(call.id);
        self.assign(now, PendingCall::new(now, call), events);
    }

    /// Gives the call a connection, or lets it wait for one.
    fn assign(&mut self, now: Micros, call: PendingCall, events: &mut Vec<Event>) {
        let number = match self.find_connection(now, &call) {
            Ok(Some(number)) => number,
            Ok(None) => {
                self.waiting.push_back(call);
                return;
            }
            Err(error) => {
                events.push(call.into_failure(now, connect_outcome(&error)));
                return;
            }
        };
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        self.busy.insert(call.id, number);
        connection.start_call(now, call);
        self.ready.push(number);
    }

    /// Returns a connection for a call; none where all of them carry calls.
    fn find_connection(&mut self, now: Micros, call: &PendingCall) -> io::Result<Option<u64>> {
        // Guards against a connection that the dependency has closed unnoticed: its reset does not
        // tell whether the call ran, so that a call which must not be repeated takes a fresh one.
        if call.is_repeatable {
            if let Some(number) = self.idle.pop() {
                return Ok(Some(number));
            }
        }
        self.connect(now)
    }

    /// Returns a fresh connection, in place of an idle one if need be; none where all of them carry
    /// calls.
    fn connect(&mut self, now: Micros) -> io::Result<Option<u64>> {
        if self.connections.len() >= self.max_connections {
            if self.idle.is_empty() {
                return Ok(None);
            }
            let longest_idle = self.idle.remove(0);
            self.connections.remove(&longest_idle);
        }
        self.last_number += 1;
        let number = self.last_number;
        let connection =
            DependencyConnection::connect(&self.host, now, number, self.address, &self.protocol)?;
        self.connections.insert(number, connection);
        Ok(Some(number))
    }

    /// Abandons the call of a request by closing its connection. No event follows.
    pub fn abandon(&mut self, id: RequestId) {
        let leaked = is_bug_injected(InjectedBug::CallConnectionLeaked)
            .then(|| self.busy.get(&id).copied())
            .flatten();
        if let Some(number) = leaked.or_else(|| self.busy.remove(&id)) {
            self.connections.remove(&number);
        }
        self.waiting.retain(|call| call.id != id);
    }

    /// Changes the address of the dependency. Calls in flight may still get their reply from the
    /// old one; those that no byte was sent of are made at the new one.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr, events: &mut Vec<Event>) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        for number in std::mem::take(&mut self.idle) {
            self.connections.remove(&number);
        }
        for connection in self.connections.values_mut() {
            connection.is_reused = true;
        }
        for number in self.numbers_where(|connection| !connection.has_sent) {
            let connection = self.connections.remove(&number);
            let Some(call) = connection.and_then(|connection| connection.call) else {
                continue;
            };
            self.busy.remove(&call.id);
            self.assign(now, call, events);
        }
    }

    fn numbers_where(&self, predicate: impl Fn(&DependencyConnection<H>) -> bool) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Notes that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Reads replies, sends calls, and fails those that are past their deadline.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.serve_ready(now, events);
        self.fail_late_calls(now, events);
        self.assign_waiting(now, events);
        self.close_idle(now);
        // Calls that were assigned just now are sent at once.
        self.serve_ready(now, events);
    }

    fn serve_ready(&mut self, now: Micros, events: &mut Vec<Event>) {
        for number in std::mem::take(&mut self.ready) {
            self.serve(now, number, events);
        }
    }

    fn fail_late_calls(&mut self, now: Micros, events: &mut Vec<Event>) {
        let is_late = |call: &PendingCall| now >= call.deadline;
        for number in self.numbers_where(|connection| connection.call.as_ref().is_some_and(is_late))
        {
            self.fail(now, number, Outcome::TimedOut, events);
        }
        while let Some(call) = self.waiting.pop_front() {
            if !is_late(&call) {
                self.waiting.push_front(call);
                break;
            }
            events.push(call.into_failure(now, Outcome::TimedOut));
        }
    }

    fn assign_waiting(&mut self, now: Micros, events: &mut Vec<Event>) {
        while !self.idle.is_empty() || self.connections.len() < self.max_connections {
            let Some(call) = self.waiting.pop_front() else {
                return;
            };
            self.assign(now, call, events);
        }
    }

    fn close_idle(&mut self, now: Micros) {
        while let Some(&number) = self.idle.first() {
            let connection = self.connections.get(&number);
            if connection.is_some_and(|connection| now < connection.idle_since + IDLE_TIMEOUT) {
                break;
            }
            self.idle.remove(0);
            self.connections.remove(&number);
        }
    }

    /// Returns when a call is late or an idle connection is to be closed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let calls = self.connections.values();
        let calls = calls.filter_map(|connection| connection.call.as_ref());
        let waiting = self.waiting.front();
        let longest_idle = self.idle.first();
        let idle = longest_idle.and_then(|number| self.connections.get(number));
        calls
            .chain(waiting)
            .map(|call| call.deadline)
            .chain(idle.map(|connection| connection.idle_since + IDLE_TIMEOUT))
            .min()
    }

    /// Sends and reads on a connection.
    fn serve(&mut self, now: Micros, number: u64, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        match connection.send_and_receive(now) {
            Ok(Some(reply)) => self.on_reply(now, number, reply, events),
            Ok(None) if connection.is_unusable() => {
                self.fail(now, number, Outcome::Interrupted, events);
            }
            Ok(None) => {}
            Err(error) => {
                let outcome = match error.kind() {
                    // The dependency did reply: this says nothing about its load.
                    ErrorKind::InvalidData => Outcome::Failure,
                    _ if connection.has_sent => Outcome::Interrupted,
                    _ => connect_outcome(&error),
                };
                self.fail(now, number, outcome, events);
            }
        }
    }

    fn on_reply(
        &mut self,
        now: Micros,
        number: u64,
        reply: http::Response,
        events: &mut Vec<Event>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(call) = connection.call.take() else {
            return;
        };
        self.busy.remove(&call.id);
        let outcome = match (reply.status, reply.not_run) {
            (200, _) => Outcome::Success,
            (503, true) => Outcome::Overloaded,
            (409, true) => Outcome::NotStarted,
            (504, _) => Outcome::TimedOut,
            _ => Outcome::Failure,
        };
        let is_reusable = !reply.closes_connection
            && connection.is_reusable()
            && connection.address == self.address
            && self.idle.len() < MAX_IDLE_CONNECTIONS;
        if is_reusable {
            connection.idle_since = now;
            connection.is_reused = true;
            self.idle.push(number);
        } else {
            self.connections.remove(&number);
        }
        events.push(Event::CallEnded {
            id: call.id,
            outcome,
            elapsed: now.saturating_sub(call.started_at),
            reply: reply.body,
        });
    }

    /// Closes a connection. The call on it ends with this outcome, or is made again where the
    /// failure is due to the connection.
    fn fail(&mut self, now: Micros, number: u64, outcome: Outcome, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.idle.retain(|idle| *idle != number);
        let is_stale = outcome == Outcome::Interrupted && connection.may_be_stale();
        let never_ran = connection.has_call_never_run();
        let Some(call) = connection.call else { return };
        self.busy.remove(&call.id);
        if is_stale && call.is_repeatable && now < call.deadline {
            // Only once: the next connection is a fresh one.
            let call = PendingCall {
                is_repeatable: false,
                ..call
            };
            return self.assign(now, call, events);
        }
        let outcome = match outcome {
            Outcome::Interrupted if never_ran => Outcome::Unreachable,
            outcome => outcome,
        };
        events.push(call.into_failure(now, outcome));
    }
}

/// Returns the outcome of a call that had no connection. Only a refused connection proves that the
/// call did not run.
fn connect_outcome(error: &io::Error) -> Outcome {
    if error.kind() == ErrorKind::ConnectionRefused {
        Outcome::Unreachable
    } else {
        Outcome::Interrupted
    }
}

#[cfg(test)]
mod tests;
