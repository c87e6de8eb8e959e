//! Connection pool to the dependency. Each connection carries one call at a time, over HTTP or AJP.
//!
//! | module | contents |
//! | --- | --- |
//! | `protocol` | the protocols of the connections |
//! | `pending_call` | a call without a reply |
//! | `dependency_connection` | a connection, and the differences between the two protocols |

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

/// Idle time after which a connection is closed. It is well below the dependency's own timeout: a
/// call that breaks because the dependency closes its connection may or may not have run.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// Maximum number of idle connections: writes leave behind more idle connections than reads use.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Resources that a [`DependencyPool`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DependencyPoolUsage {
    /// Number of calls, including those that wait for a connection.
    pub calls: usize,
    /// Number of connections.
    pub connections: usize,
}

/// The connections to the dependency, and the calls on them.
pub struct DependencyPool<H: Host> {
    host: H,
    address: SocketAddr,
    protocol: DependencyProtocol,
    max_connections: usize,
    /// Ordered by number, so that iteration is deterministic.
    connections: BTreeMap<u64, DependencyConnection<H>>,
    /// Numbers of idle connections; the most recently used one is last.
    idle: Vec<u64>,
    /// Number of the connection that carries the call of a request.
    busy: HashMap<RequestId, u64>,
    /// Calls that wait for a connection.
    waiting: VecDeque<PendingCall>,
    /// Numbers of connections that may have bytes to read or to send.
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

    /// Makes a call. A previous call of the same request is abandoned.
    pub fn call(&mut self, now: Micros, call: DependencyCall, events: &mut Vec<Event>) {
        self.abandon(call.id);
        self.assign_connection(now, PendingCall::new(now, call), events);
    }

    /// Assigns a connection to the call, or queues the call.
    fn assign_connection(&mut self, now: Micros, call: PendingCall, events: &mut Vec<Event>) {
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

    /// Returns a connection for a call, or `None` if all connections carry calls.
    fn find_connection(&mut self, now: Micros, call: &PendingCall) -> io::Result<Option<u64>> {
        // The dependency may have closed an idle connection without this side noticing, and the
        // reset does not show whether a call ran. A call that must not be repeated therefore gets a
        // new connection.
        if call.is_repeatable {
            if let Some(number) = self.idle.pop() {
                return Ok(Some(number));
            }
        }
        self.connect(now)
    }

    /// Returns a new connection, replacing an idle one if the limit is reached; returns `None` if
    /// all connections carry calls.
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
    /// old address; calls without any byte sent are made at the new one.
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
        for number in self.connection_numbers_where(|connection| !connection.has_sent) {
            let connection = self.connections.remove(&number);
            let Some(call) = connection.and_then(|connection| connection.call) else {
                continue;
            };
            self.busy.remove(&call.id);
            self.assign_connection(now, call, events);
        }
    }

    fn connection_numbers_where(
        &self,
        predicate: impl Fn(&DependencyConnection<H>) -> bool,
    ) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Records that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Reads replies, sends calls, and fails calls past their deadline.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.serve_ready(now, events);
        self.fail_expired_calls(now, events);
        self.assign_waiting(now, events);
        self.close_idle(now);
        // Newly assigned calls are sent immediately.
        self.serve_ready(now, events);
    }

    fn serve_ready(&mut self, now: Micros, events: &mut Vec<Event>) {
        for number in std::mem::take(&mut self.ready) {
            self.serve(now, number, events);
        }
    }

    fn fail_expired_calls(&mut self, now: Micros, events: &mut Vec<Event>) {
        let is_expired = |call: &PendingCall| now >= call.deadline;
        for number in self
            .connection_numbers_where(|connection| connection.call.as_ref().is_some_and(is_expired))
        {
            self.fail(now, number, Outcome::TimedOut, events);
        }
        while let Some(call) = self.waiting.pop_front() {
            if !is_expired(&call) {
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
            self.assign_connection(now, call, events);
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

    /// Returns the earliest deadline of a call or idle timeout of a connection.
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
                    // The dependency did reply, so the failure does not indicate overload.
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

    /// Closes a connection. Its call ends with this outcome, or is retried if the failure is due to
    /// a stale connection.
    fn fail(&mut self, now: Micros, number: u64, outcome: Outcome, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.idle.retain(|idle| *idle != number);
        let is_stale = outcome == Outcome::Interrupted && connection.may_be_stale();
        let is_proven_not_run = connection.is_call_proven_not_run();
        let Some(call) = connection.call else { return };
        self.busy.remove(&call.id);
        if is_stale && call.is_repeatable && now < call.deadline {
            // The call is retried only once, on a new connection.
            let call = PendingCall {
                is_repeatable: false,
                ..call
            };
            return self.assign_connection(now, call, events);
        }
        let outcome = match outcome {
            Outcome::Interrupted if is_proven_not_run => Outcome::Unreachable,
            outcome => outcome,
        };
        events.push(call.into_failure(now, outcome));
    }
}

/// Returns the outcome of a call whose connection attempt failed. Only a refused connection
/// (ECONNREFUSED) proves that the call did not run.
fn connect_outcome(error: &io::Error) -> Outcome {
    if error.kind() == ErrorKind::ConnectionRefused {
        Outcome::Unreachable
    } else {
        Outcome::Interrupted
    }
}

#[cfg(test)]
mod tests;
