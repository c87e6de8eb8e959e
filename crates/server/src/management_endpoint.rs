//! The management endpoint: readiness and metrics for operators, one request per connection. It is
//! served before clients in each iteration, and has connection slots of its own.

use crate::buffered_connection::BufferedConnection;
use crate::error::StartError;
use crate::host::{Host, Readiness};
use crate::socket_owner::SocketOwner;
use crate::tls_layer::{TlsLayer, TlsState};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::management::{Connection, ManagementData};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;

/// Listener number of the management endpoint. Listeners for clients have smaller numbers.
pub const LISTENER_NUMBER: usize = 1 << 16;
/// Maximum number of connections. A new one beyond it evicts the connection that has waited longest
/// without a complete request.
pub const MAX_CONNECTIONS: usize = 16;
/// Maximum number of connections accepted in one iteration, so that a flood does not delay clients.
const MAX_ACCEPTS_PER_POLL: usize = 128;
/// Delay before accepting is retried after a shortage of file descriptors.
const ACCEPT_PAUSE: Micros = 50_000;
/// Maximum number of bytes that one read leaves in the input of a connection.
const READ_LIMIT_BYTES: usize = 16_384;
/// Maximum number of reads from a connection in one iteration.
const MAX_READS_PER_POLL: usize = 4;
/// A connection accepted within this time is not evicted.
const MIN_SLOT_TIME: Micros = 500;

/// A connection of an operator.
struct OperatorConnection<H: Host> {
    stream: BufferedConnection<H>,
    protocol: Connection,
    /// The response was sent and the write side closed.
    is_finished: bool,
}

/// The listener for operators and its connections.
pub struct ManagementEndpoint<H: Host> {
    host: H,
    listener: H::Listener,
    is_acceptable: bool,
    /// Nothing is accepted before this time.
    accept_at: Micros,
    /// Ordered by number, so that the oldest comes first.
    connections: BTreeMap<u64, OperatorConnection<H>>,
    max_connections: usize,
    last_number: u64,
    /// Numbers of connections that may have bytes to read or to send.
    ready: Vec<u64>,
    /// `None` without TLS. Handshakes are not scheduled but begin immediately.
    tls: Option<Rc<RefCell<TlsState>>>,
}

impl<H: Host> ManagementEndpoint<H> {
    /// Listens for operators.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn listen(host: H, address: SocketAddr) -> Result<Self, StartError> {
        let (listener, address) = host
            .listen(address, LISTENER_NUMBER)
            .map_err(|source| StartError::ManagementListen { address, source })?;
        tracing::info!("management endpoint serves on {address}");
        Ok(Self {
            host,
            listener,
            is_acceptable: true,
            accept_at: 0,
            connections: BTreeMap::new(),
            max_connections: MAX_CONNECTIONS,
            last_number: 0,
            ready: Vec::new(),
            tls: None,
        })
    }

    /// Enables TLS on connections accepted from now on.
    pub fn set_tls(&mut self, tls: Rc<RefCell<TlsState>>) {
        self.tls = Some(tls);
    }

    /// Sets the connection limit; the oldest connections above it are closed.
    pub fn set_connection_limit(&mut self, max_connections: usize) {
        self.max_connections = max_connections.max(1);
        while self.connections.len() > self.max_connections {
            self.connections.pop_first();
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Records that connections may be pending.
    pub fn on_acceptable(&mut self) {
        self.is_acceptable = true;
    }

    /// Records that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Responds to requests, accepts and closes. Returns true if there is more to do immediately.
    pub fn poll(&mut self, now: Micros, answers: &dyn ManagementData) -> bool {
        for number in std::mem::take(&mut self.ready) {
            self.serve(now, number, answers);
        }
        // Existing connections are served first: a new one may evict a connection without a
        // complete request.
        self.accept(now, answers);
        self.expire(now, answers);
        !self.ready.is_empty() || (self.is_acceptable && now >= self.accept_at)
    }

    fn expire(&mut self, now: Micros, answers: &dyn ManagementData) {
        let expired: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| now >= connection.protocol.deadline())
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            let output = connection.stream.output();
            if connection.protocol.handle_timeout(now, output) {
                self.connections.remove(&number);
            } else {
                self.serve(now, number, answers);
            }
        }
    }

    /// Returns when [`poll`](Self::poll) is to be called next if no socket becomes ready.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let connections = self.connections.values();
        let deadlines = connections.map(|connection| connection.protocol.deadline());
        let is_delayed = self.is_acceptable && self.accept_at > 0;
        deadlines.chain(is_delayed.then_some(self.accept_at)).min()
    }

    fn accept(&mut self, now: Micros, answers: &dyn ManagementData) {
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            if self.accept_next(now, answers).is_break() {
                return;
            }
        }
    }

    fn accept_next(&mut self, now: Micros, answers: &dyn ManagementData) -> ControlFlow<()> {
        if !self.is_acceptable || now < self.accept_at {
            return ControlFlow::Break(());
        }
        if self.connections.len() >= self.max_connections && !self.free_connection_slot(now) {
            self.accept_at = now + MIN_SLOT_TIME;
            return ControlFlow::Break(());
        }
        let number = self.last_number + 1;
        let owner = SocketOwner::Management(number);
        match self.host.accept(&self.listener, owner) {
            Ok((stream, _)) => {
                self.last_number = number;
                self.add_connection(now, number, BufferedConnection::new(stream));
                self.serve(now, number, answers);
                ControlFlow::Continue(())
            }
            Err(error) => self.on_accept_failed(now, &error),
        }
    }

    fn on_accept_failed(&mut self, now: Micros, error: &io::Error) -> ControlFlow<()> {
        match error.kind() {
            ErrorKind::WouldBlock => {
                self.is_acceptable = false;
                ControlFlow::Break(())
            }
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => ControlFlow::Continue(()),
            _ => {
                // The delay prevents a busy loop while file descriptors are short.
                tracing::warn!(%error, "failed to accept a management connection; pausing");
                self.free_connection_slot(now);
                self.accept_at = now + ACCEPT_PAUSE;
                ControlFlow::Break(())
            }
        }
    }

    fn add_connection(&mut self, now: Micros, number: u64, mut stream: BufferedConnection<H>) {
        // A request that arrived with its connection gets its response before a new connection can
        // evict this one.
        stream.on_readiness(Readiness {
            readable: true,
            writable: true,
        });
        if self.tls.is_some() {
            stream.set_tls(TlsLayer::new());
        }
        let connection = OperatorConnection {
            stream,
            protocol: Connection::new(now),
            is_finished: false,
        };
        self.connections.insert(number, connection);
    }

    /// Closes a connection whose response was sent, or the one that has waited longest without a
    /// complete request. Returns false if there is none. Otherwise peers that send no request could
    /// take all slots.
    fn free_connection_slot(&mut self, now: Micros) -> bool {
        if is_bug_injected(InjectedBug::ManagementStarved) {
            return false;
        }
        let eviction_order = |(number, connection): (&u64, &OperatorConnection<H>)| {
            let is_done =
                connection.protocol.has_responded() && connection.stream.unsent_bytes() == 0;
            let is_evictable = is_done || now >= connection.protocol.accepted_at() + MIN_SLOT_TIME;
            is_evictable.then_some((!is_done, *number))
        };
        let evictable = self.connections.iter().filter_map(eviction_order);
        let Some((_, number)) = evictable.min() else {
            return false;
        };
        self.connections.remove(&number).is_some()
    }

    fn serve(&mut self, now: Micros, number: u64, answers: &dyn ManagementData) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let tls = self.tls.as_ref().map(|tls| tls.borrow());
        match connection.serve(now, answers, tls.as_deref()) {
            ControlFlow::Break(()) => drop(self.connections.remove(&number)),
            ControlFlow::Continue(true) => self.ready.push(number),
            ControlFlow::Continue(false) => {}
        }
    }
}

impl<H: Host> OperatorConnection<H> {
    /// Reads, responds and sends; breaks if the connection has ended. Returns true if more can be read
    /// at once.
    fn serve(
        &mut self,
        now: Micros,
        answers: &dyn ManagementData,
        tls: Option<&TlsState>,
    ) -> ControlFlow<(), bool> {
        let has_more = self.read(now, answers, tls)?;
        if self.stream.flush().is_err() {
            return ControlFlow::Break(());
        }
        let is_sent = self.stream.unsent_bytes() == 0;
        let has_response = self.protocol.has_responded();
        if has_response && is_sent && !std::mem::replace(&mut self.is_finished, true) {
            self.stream.shutdown_write();
        }
        // A client that closed its write side before its request was complete gets no response.
        if self.stream.is_read_closed && (!has_response || is_sent) {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(has_more)
    }

    /// Reads until the socket would block, but only so often that a client that sends without pause
    /// does not keep the event loop. Returns true if more can be read at once. Bytes after a request are
    /// discarded.
    fn read(
        &mut self,
        now: Micros,
        answers: &dyn ManagementData,
        tls: Option<&TlsState>,
    ) -> ControlFlow<(), bool> {
        for _ in 0..MAX_READS_PER_POLL {
            let Ok(mut has_more) = self.stream.read(READ_LIMIT_BYTES) else {
                return ControlFlow::Break(());
            };
            let has_offer = self.stream.tls_layer().and_then(TlsLayer::offer).is_some();
            if let Some(tls) = tls.filter(|_| has_offer) {
                if self.stream.begin_handshake(tls.config()).is_err() {
                    return ControlFlow::Break(());
                }
                has_more = true;
            }
            let input = std::mem::take(&mut self.stream.input);
            let output = self.stream.output();
            let used = self.protocol.receive(now, &input, output, answers);
            self.stream.input = input;
            self.stream.consume(used);
            if !has_more {
                return ControlFlow::Continue(false);
            }
        }
        ControlFlow::Continue(true)
    }
}

#[cfg(test)]
mod tests;
