//! The connections of clients and proxies. Accepting, connection slots, idle timeouts, overload,
//! draining and lingering are the same for every protocol and live here; what the bytes mean is
//! known to the
//! [`ConnectionStateMachine`](cleatpulley_protocol::state_machine::ConnectionStateMachine) of each
//! connection.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `client_protocol` | the protocol spoken on an address |
//! | `listening_address` | an address, with its listening socket |
//! | `client_connection` | a connection: its bytes, its machine, and when it is over |
//! | `machine_context` | what is passed to all machines |
//! | `listen` | listening on addresses |
//! | `acceptor`, `accept` | who gets a connection slot, and what becomes of those who get none |
//! | `sweeper`, `eviction` | giving up connection slots, idle timeouts |
//! | `tls_handshakes`, `handshakes` | handshakes, and what the names of certificates permit |
//! | `draining` | what clients are notified of: a successor or a shutdown |

mod accept;
mod acceptor;
mod client_connection;
mod client_protocol;
mod draining;
mod eviction;
mod handshakes;
mod listen;
mod listening_address;
mod machine_context;
mod sweeper;
mod tls_handshakes;

pub use client_protocol::ClientProtocol;

use crate::host::{Host, Readiness};
use crate::tls_layer::TlsState;
use acceptor::Acceptor;
use cleatpulley_connection_admission::handshake::HandshakeScheduler;
use cleatpulley_connection_admission::identity::IdentityLimiter;
use cleatpulley_connection_admission::Admission;
use cleatpulley_dispatcher::{ClientStream, Event, IncomingRequest, Response};
use cleatpulley_policy::interface::Micros;
use client_connection::{ClientConnection, NextAction};
use listening_address::ListeningAddress;
use machine_context::MachineContext;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use sweeper::Sweeper;
use tls_handshakes::TlsHandshakes;

/// What a [`ClientListener`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientListenerUsage {
    /// Listening sockets.
    pub listeners: usize,
    /// Connections.
    pub connections: usize,
    /// Requests that are open on the connections.
    pub open_requests: usize,
}

/// Why an address can't be listened on.
#[derive(Debug)]
pub struct ListenFailure {
    /// The address.
    pub address: SocketAddr,
    /// What the system reported.
    pub error: io::Error,
}

/// What clients were notified of the shutdown. The stop may come without a drain before it, and a drain
/// may follow after its notice.
#[derive(Default)]
struct ShutdownNotices {
    /// They are to use other servers.
    has_begun: bool,
    /// The stop is near: no new request is accepted.
    is_stop_near: bool,
}

/// The listeners and their connections.
pub struct ClientListener<H: Host> {
    host: H,
    addresses: Vec<ListeningAddress<H>>,
    /// Ordered by number, so that what is done to all of them is done alike in every run.
    connections: BTreeMap<u64, ClientConnection<H>>,
    last_number: u64,
    context: MachineContext,
    acceptor: Acceptor<H>,
    sweeper: Sweeper,
    tls: TlsHandshakes,
    shutdown: ShutdownNotices,
    /// Numbers of connections that may have something to read or to send.
    ready: Vec<u64>,
    /// Numbers of connections with more to read than one iteration reads: no edge will report that
    /// again.
    has_more: Vec<u64>,
    /// Requests of the connection that is being read.
    arrivals: Vec<IncomingRequest>,
}

impl<H: Host> ClientListener<H> {
    /// Creates a listener without addresses, for at most so many connections.
    #[must_use]
    pub fn new(host: H, class_names: Vec<String>, max_connections: usize) -> Self {
        Self {
            host,
            addresses: Vec::new(),
            connections: BTreeMap::new(),
            last_number: 0,
            context: MachineContext {
                class_names,
                is_healthy: true,
                feedback: None,
            },
            acceptor: Acceptor::new(max_connections),
            sweeper: Sweeper::default(),
            tls: TlsHandshakes::default(),
            shutdown: ShutdownNotices::default(),
            ready: Vec::new(),
            has_more: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Speaks TLS on the addresses that it is configured for, later ones among them.
    pub fn set_tls(&mut self, now: Micros, tls: Rc<RefCell<TlsState>>) {
        let handshakes = tls.borrow().options().handshakes;
        let identities = tls.borrow().options().identities.clone();
        for address in &mut self.addresses {
            address.is_secure = tls.borrow().is_enabled_for(&address.protocol);
        }
        self.tls = TlsHandshakes {
            state: Some(tls),
            handshakes: handshakes.map(|settings| HandshakeScheduler::new(settings, now)),
            identities: identities.map(|settings| IdentityLimiter::new(settings, now)),
        };
    }

    /// Returns the admission of handshakes, where there is one.
    #[must_use]
    pub fn handshakes(&self) -> Option<&HandshakeScheduler> {
        self.tls.handshakes.as_ref()
    }

    /// Lets this admission decide who gets a connection slot. Without one, connections beyond the
    /// limit wait with the system.
    pub fn set_admission(&mut self, admission: Admission) {
        self.acceptor.admission = Some(admission);
        self.acceptor.reserve_descriptor(&self.host);
    }

    /// Returns the admission of connections, where there is one.
    #[must_use]
    pub fn admission(&self) -> Option<&Admission> {
        self.acceptor.admission.as_ref()
    }

    /// Returns the admission of connections, to import what another process has learned.
    pub fn admission_mut(&mut self) -> Option<&mut Admission> {
        self.acceptor.admission.as_mut()
    }

    /// Holds so many connections from now on. Those above the limit are closed where they have no
    /// open request.
    pub fn set_connection_limit(
        &mut self,
        now: Micros,
        max_connections: usize,
        events: &mut Vec<Event>,
    ) {
        self.acceptor.max_connections = max_connections.max(1);
        while self.connections.len() > self.acceptor.max_connections
            && self.free_connection_slot(now, events)
        {}
    }

    /// Closes a connection without open requests, if there is one, because no descriptor is left.
    /// Nothing is accepted until `reserved_until`. Guards against the next connection that waits,
    /// which would get the descriptor before the process that it is meant for.
    pub fn free_slot(&mut self, now: Micros, reserved_until: Micros, events: &mut Vec<Event>) {
        self.free_connection_slot(now, events);
        self.acceptor.accept_at = self.acceptor.accept_at.max(reserved_until);
    }

    /// Accepts nothing until [`resume_accepting`](Self::resume_accepting) is called.
    pub fn pause_accepting(&mut self) {
        self.acceptor.pause();
    }

    /// Accepts connections, again or for the first time.
    pub fn resume_accepting(&mut self) {
        self.acceptor.resume();
        for address in &mut self.addresses {
            address.is_acceptable = address.listener.is_some();
        }
    }

    /// Returns the numbers of listeners, connections and open requests.
    #[must_use]
    pub fn usage(&self) -> ClientListenerUsage {
        let listeners = self.addresses.iter();
        let connections = self.connections.values();
        ClientListenerUsage {
            listeners: listeners
                .filter(|address| address.listener.is_some())
                .count(),
            connections: self.connections.len(),
            open_requests: connections
                .map(|connection| connection.machine.status().open_requests)
                .sum(),
        }
    }

    /// Returns the number of descriptors that are reserved.
    #[must_use]
    pub fn reserved_descriptors(&self) -> usize {
        usize::from(self.acceptor.reserved_descriptor.is_some())
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Notes that connections may wait to be accepted on a listener.
    pub fn on_acceptable(&mut self, index: usize) {
        if let Some(address) = self.addresses.get_mut(index) {
            address.is_acceptable = true;
        }
    }

    /// Notes that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Sets the value that all responses carry from now on.
    pub fn set_feedback(&mut self, value: f64) {
        self.context.feedback = Some(value);
    }

    /// Sets how health checks are answered from now on.
    pub fn set_health(&mut self, is_healthy: bool) {
        self.context.is_healthy = is_healthy;
    }

    /// Closes connections that are idle for this time, in microseconds, from now on.
    pub fn set_idle_timeout(&mut self, idle_timeout: Micros) {
        self.sweeper.idle_timeout = Some(idle_timeout);
    }

    /// Responds to a request. A connection that is gone needs no response.
    pub fn respond(&mut self, now: Micros, client: ClientStream, response: &Response) {
        let number = client.connection;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let context = self.context.at(now, number);
        let output = connection.stream.output();
        let is_responded = connection
            .machine
            .respond(&context, client.stream, response, output);
        if !is_responded {
            return;
        }
        self.ready.push(number);
        if let (Some(admission), Response::Served(_)) = (&mut self.acceptor.admission, response) {
            admission.on_request_served(now, number);
        }
    }

    fn set_all_acceptable(&mut self) {
        for address in &mut self.addresses {
            address.is_acceptable = true;
        }
    }

    /// Accepts, reads, sends and closes. Returns true where more can be read at once.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<Event>) -> bool {
        self.accept(now, events);
        self.poll_handshakes(now, events);
        let mut ready = std::mem::take(&mut self.ready);
        ready.append(&mut self.has_more);
        ready.sort_unstable();
        ready.dedup();
        for number in ready {
            self.serve(now, number, events);
        }
        // After reading: a pause of the machine is no silence of the clients.
        if self.sweeper.is_due(now) {
            self.sweep(now, events);
        }
        !self.has_more.is_empty() || (self.is_acceptable() && now >= self.acceptor.accept_at)
    }

    /// Reads and sends on a connection, and closes it where it is over.
    fn serve(&mut self, now: Micros, number: u64, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let context = self.context.at(now, number);
        let next_action = connection.serve(&context, &mut self.arrivals);
        if connection.machine.status().has_received_message {
            if let Some(admission) = &mut self.acceptor.admission {
                admission.on_first_message(number);
            }
        }
        if self.acceptor.is_yielding() {
            connection.send_away(&context);
            self.ready.push(number);
        }
        self.poll_handshake(now, number, events);
        self.forward_arrivals(number, events);
        self.report_cancelled(number, events);
        match next_action {
            Ok(NextAction::Wait) => {}
            Ok(NextAction::ReadAgain) => self.has_more.push(number),
            Ok(NextAction::Close) => self.close(number, events),
            Err(error) => {
                tracing::debug!(%error, "front end connection {number}: closed");
                self.close(number, events);
            }
        }
    }

    /// Reports the requests that the client has cancelled, after those that came with them.
    fn report_cancelled(&mut self, number: u64, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let cancelled = connection.machine.take_cancelled_streams().into_iter();
        events.extend(cancelled.map(|stream| {
            Event::RequestCancelled(ClientStream {
                connection: number,
                stream,
            })
        }));
    }

    /// Sends the responses of this iteration.
    pub fn flush(&mut self, now: Micros, events: &mut Vec<Event>) {
        let mut ready = std::mem::take(&mut self.ready);
        ready.sort_unstable();
        ready.dedup();
        for number in ready {
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            if connection.stream.flush().is_err() {
                self.close(number, events);
            } else if connection.is_finished(now) {
                self.ready.push(number);
            }
        }
    }

    /// Returns when something is to be done though no socket becomes ready.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let accept_at = self.acceptor.accept_at;
        let accept_at = (self.is_acceptable() && accept_at > 0).then_some(accept_at);
        let handshake_at = self
            .handshakes()
            .and_then(HandshakeScheduler::next_deadline);
        [accept_at, handshake_at]
            .into_iter()
            .flatten()
            .fold(self.sweeper.sweep_at, Micros::min)
    }

    fn is_acceptable(&self) -> bool {
        let mut addresses = self.addresses.iter();
        self.acceptor.is_accepting() && addresses.any(|address| address.is_acceptable)
    }

    fn close(&mut self, number: u64, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.acceptor.on_closed(number, connection.is_rejected);
        if connection.machine.status().open_requests > 0 {
            events.push(Event::ConnectionLost(number));
        }
        self.tls.on_closed(number);
        self.set_all_acceptable();
    }
}

#[cfg(test)]
mod tests;
