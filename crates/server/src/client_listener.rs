//! The connections of clients and proxies. Accepting, connection slots, idle timeouts, overload,
//! draining and lingering are the same for every protocol and are handled here; the
//! [`ConnectionStateMachine`](cleatpulley_protocol::state_machine::ConnectionStateMachine) of each
//! connection implements its protocol.
//!
//! | module | contents |
//! | --- | --- |
//! | `client_protocol` | the protocol of a listening address |
//! | `listening_address` | a listening address with its socket |
//! | `client_connection` | a connection: its buffers, its state machine, and its end |
//! | `machine_context` | context shared by all state machines |
//! | `listen` | listening on addresses |
//! | `acceptor`, `accept` | assignment of connection slots, and rejected connections |
//! | `buffer_limit` | limit on the memory of incomplete messages |
//! | `sweeper`, `eviction` | eviction of connections, idle timeouts |
//! | `tls_handshakes`, `handshakes` | TLS handshakes, and permissions by certificate names |
//! | `draining` | notices to clients about a successor or a shutdown |

mod accept;
mod acceptor;
mod buffer_limit;
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

/// Number of events in one iteration after which no further connection is served, so that the requests
/// of many clients are handled, and the responses sent, before more of them are read.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Number of connections with more to read after which no further one is served in the same iteration. Their
/// messages may be no requests and cause no events.
const MAX_BUSY_CONNECTIONS_PER_POLL: usize = 32;
/// Maximum number of bytes of all incomplete messages, unless another limit is set.
const DEFAULT_MAX_BUFFERED_BYTES: usize = 32_000_000;

/// Resources that a [`ClientListener`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientListenerUsage {
    /// Number of listening sockets.
    pub listeners: usize,
    /// Number of connections.
    pub connections: usize,
    /// Number of open requests on the connections.
    pub open_requests: usize,
}

/// Error of listening on an address.
#[derive(Debug)]
pub struct ListenFailure {
    /// Listening address.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub error: io::Error,
}

/// Notices of the shutdown that clients have received. A stop notice may come without a drain
/// notice, and a drain notice may follow a stop notice.
#[derive(Default)]
struct ShutdownNotices {
    /// Clients were notified to use other servers.
    has_begun: bool,
    /// Clients were notified that the stop is near; no new request is accepted.
    is_stop_near: bool,
}

/// The listeners for clients and their connections.
pub struct ClientListener<H: Host> {
    host: H,
    addresses: Vec<ListeningAddress<H>>,
    /// Ordered by number, so that iteration is deterministic.
    connections: BTreeMap<u64, ClientConnection<H>>,
    last_number: u64,
    context: MachineContext,
    acceptor: Acceptor<H>,
    sweeper: Sweeper,
    tls: TlsHandshakes,
    shutdown: ShutdownNotices,
    /// Numbers of connections that may have bytes to read or to send.
    ready: Vec<u64>,
    /// Numbers of connections with more to read than one iteration reads: no further edge reports
    /// them.
    has_more: Vec<u64>,
    /// The connection to begin with, if the last iteration did not serve all that were ready.
    next_to_serve: Option<u64>,
    /// Bytes of all incomplete messages.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
    /// Requests received on the connection that is being read.
    arrivals: Vec<IncomingRequest>,
}

impl<H: Host> ClientListener<H> {
    /// Creates a listener without addresses, for at most `max_connections` connections.
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
            next_to_serve: None,
            buffered_bytes: 0,
            max_buffered_bytes: DEFAULT_MAX_BUFFERED_BYTES,
            arrivals: Vec::new(),
        }
    }

    /// Enables TLS on the addresses that it is configured for, including addresses added later.
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

    /// Returns the handshake scheduler, if there is one.
    #[must_use]
    pub fn handshakes(&self) -> Option<&HandshakeScheduler> {
        self.tls.handshakes.as_ref()
    }

    /// Sets the admission that assigns connection slots. Without one, connections beyond the limit
    /// wait in the accept queue of the system.
    pub fn set_admission(&mut self, admission: Admission) {
        self.acceptor.admission = Some(admission);
        self.acceptor.reserve_descriptor(&self.host);
    }

    /// Returns the connection admission, if there is one.
    #[must_use]
    pub fn admission(&self) -> Option<&Admission> {
        self.acceptor.admission.as_ref()
    }

    /// Returns the mutable connection admission, if there is one.
    pub fn admission_mut(&mut self) -> Option<&mut Admission> {
        self.acceptor.admission.as_mut()
    }

    /// Sets the connection limit. Connections above it are closed if they have no open request.
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

    /// Closes a connection without open requests, if there is one, to free a file descriptor.
    /// Nothing is accepted until `reserved_until`: otherwise a pending connection would get the
    /// descriptor before the process that it is meant for.
    pub fn free_slot(&mut self, now: Micros, reserved_until: Micros, events: &mut Vec<Event>) {
        self.free_connection_slot(now, events);
        self.acceptor.accept_at = self.acceptor.accept_at.max(reserved_until);
    }

    /// Stops accepting until [`resume_accepting`](Self::resume_accepting) is called.
    pub fn pause_accepting(&mut self) {
        self.acceptor.pause();
    }

    /// Starts or resumes accepting.
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

    /// Returns the number of reserved file descriptors.
    #[must_use]
    pub fn reserved_descriptors(&self) -> usize {
        usize::from(self.acceptor.reserved_descriptor.is_some())
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Records that connections may be pending on a listener.
    pub fn on_acceptable(&mut self, index: usize) {
        if let Some(address) = self.addresses.get_mut(index) {
            address.is_acceptable = true;
        }
    }

    /// Records that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Sets the feedback value that all later responses carry.
    pub fn set_feedback(&mut self, value: f64) {
        self.context.feedback = Some(value);
    }

    /// Sets the result of later health checks.
    pub fn set_health(&mut self, is_healthy: bool) {
        self.context.is_healthy = is_healthy;
    }

    /// Sets the idle timeout of connections, in microseconds.
    pub fn set_idle_timeout(&mut self, idle_timeout: Micros) {
        self.sweeper.idle_timeout = Some(idle_timeout);
    }

    /// Responds to a request. The response is dropped if the connection has closed.
    pub fn respond(&mut self, now: Micros, client: ClientStream, response: &Response) {
        let number = client.connection;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let context = self.context.for_connection(now, number);
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

    /// Accepts connections, reads, sends and closes. Returns true if more can be read immediately.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<Event>) -> bool {
        self.accept(now, events);
        self.poll_handshakes(now, events);
        self.serve_ready(now, events);
        // Swept after reading, so that a pause of the machine does not count as idle time of
        // clients.
        if self.sweeper.is_due(now) {
            self.sweep(now, events);
        }
        !self.has_more.is_empty() || (self.is_acceptable() && now >= self.acceptor.accept_at)
    }

    /// Serves the ready connections by ascending number, up to a number of events and of busy connections. The
    /// next call begins with those that are left.
    fn serve_ready(&mut self, now: Micros, events: &mut Vec<Event>) {
        let mut ready = std::mem::take(&mut self.ready);
        ready.append(&mut self.has_more);
        ready.sort_unstable();
        ready.dedup();
        let next = self.next_to_serve.take().unwrap_or(0);
        let already_served = ready.partition_point(|number| *number < next);
        ready.rotate_left(already_served);
        let max_events = events.len() + MAX_EVENTS_PER_POLL;
        let mut ready = ready.into_iter();
        for number in ready.by_ref() {
            if events.len() >= max_events || self.has_more.len() >= MAX_BUSY_CONNECTIONS_PER_POLL {
                self.next_to_serve = Some(number);
                self.has_more.push(number);
                break;
            }
            self.serve(now, number, events);
        }
        self.has_more.extend(ready);
    }

    /// Reads and sends on a connection, and closes it if it has ended.
    fn serve(&mut self, now: Micros, number: u64, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let context = self.context.for_connection(now, number);
        let next_action = connection.serve(&context, &mut self.arrivals);
        if connection.machine.status().has_received_message {
            if let Some(admission) = &mut self.acceptor.admission {
                admission.on_first_message(number);
            }
        }
        if self.acceptor.is_yielding() {
            connection.request_close(&context);
            self.ready.push(number);
        }
        self.poll_handshake(now, number, events);
        self.forward_arrivals(number, events);
        self.report_cancelled(number, events);
        self.limit_buffers(now, number);
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

    /// Reports the requests that the client has cancelled, after the requests received with them.
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

    /// Returns when [`poll`](Self::poll) is to be called next if no socket becomes ready.
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
        self.buffered_bytes -= connection.counted_buffer_bytes;
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
