//! The management endpoint: operators ask for readiness and metrics, each on a connection of its
//! own. It is served before clients in each iteration, with connection slots that no client can
//! take.

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

/// The number of this listener. Listeners for clients have smaller ones.
pub const LISTENER_NUMBER: usize = 1 << 16;
/// Limit of connections. One more closes the connection that has waited longest without a complete
/// request.
pub const MAX_CONNECTIONS: usize = 16;
/// Connections accepted in one iteration: a flood here may not keep the clients waiting.
const MAX_ACCEPTS: usize = 128;
/// Wait after the system had no descriptor for a new connection.
const ACCEPT_PAUSE: Micros = 50_000;
/// Bytes read from a connection at once.
const READ_LIMIT: usize = 16_384;
/// A connection that was accepted within this time is not closed for the next.
const MIN_SLOT_TIME: Micros = 500;

/// A connection of an operator.
struct OperatorConnection<H: Host> {
    stream: BufferedConnection<H>,
    protocol: Connection,
    /// The write side is closed.
    is_finished: bool,
}

/// The listener and its connections.
pub struct ManagementEndpoint<H: Host> {
    host: H,
    listener: H::Listener,
    is_acceptable: bool,
    /// Nothing is accepted before this time.
    accept_at: Micros,
    /// By number, so that the oldest is the first.
    connections: BTreeMap<u64, OperatorConnection<H>>,
    max_connections: usize,
    last_number: u64,
    /// Numbers of connections that may have something to read or to send.
    ready: Vec<u64>,
    /// None without TLS. Each handshake begins at once.
    tls: Option<Rc<RefCell<TlsState>>>,
}

impl<H: Host> ManagementEndpoint<H> {
    /// Listens for operators.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub fn listen(host: H, address: SocketAddr) -> Result<Self, StartError> {
        let (listener, address) = host
            .listen(address, LISTENER_NUMBER)
            .map_err(|source| StartError::ManagementListen { address, source })?;
        tracing::info!("operators are answered on {address}");
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

    /// Speaks TLS on connections that are accepted from now on.
    pub fn set_tls(&mut self, tls: Rc<RefCell<TlsState>>) {
        self.tls = Some(tls);
    }

    /// Holds so many connections from now on; the oldest above the limit are closed.
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

    /// Notes that connections may wait to be accepted.
    pub fn on_acceptable(&mut self) {
        self.is_acceptable = true;
    }

    /// Notes that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.on_readiness(readiness);
            self.ready.push(number);
        }
    }

    /// Responds to requests, accepts, and closes. Returns true where there is more to do at once.
    pub fn poll(&mut self, now: Micros, answers: &dyn ManagementData) -> bool {
        for number in std::mem::take(&mut self.ready) {
            self.serve(now, number, answers);
        }
        // Connections that are served already come first: the next may close one without a complete
        // request.
        self.accept(now, answers);
        self.expire(now, answers);
        self.is_acceptable && now >= self.accept_at
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
            if connection.protocol.expire(now, output) {
                self.connections.remove(&number);
            } else {
                self.serve(now, number, answers);
            }
        }
    }

    /// Returns when something is to be done though no socket becomes ready.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let connections = self.connections.values();
        let deadlines = connections.map(|connection| connection.protocol.deadline());
        let is_delayed = self.is_acceptable && self.accept_at > 0;
        deadlines.chain(is_delayed.then_some(self.accept_at)).min()
    }

    fn accept(&mut self, now: Micros, answers: &dyn ManagementData) {
        for _ in 0..MAX_ACCEPTS {
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
                // Guards against a loop at full speed while descriptors are short.
                tracing::warn!(%error, "no operator's connection accepted for a while");
                self.free_connection_slot(now);
                self.accept_at = now + ACCEPT_PAUSE;
                ControlFlow::Break(())
            }
        }
    }

    fn add_connection(&mut self, now: Micros, number: u64, mut stream: BufferedConnection<H>) {
        // A request that came with its connection gets its response before the next connection can
        // close this one.
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

    /// Closes a connection that has its response, or the one that waits longest without a complete
    /// request. Returns false where there is none. Guards against operators that take all slots and
    /// ask for nothing.
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
        if connection.serve(now, answers, tls.as_deref()).is_break() {
            self.connections.remove(&number);
        }
    }
}

impl<H: Host> OperatorConnection<H> {
    /// Reads, responds and sends; breaks where the connection is over.
    fn serve(
        &mut self,
        now: Micros,
        answers: &dyn ManagementData,
        tls: Option<&TlsState>,
    ) -> ControlFlow<()> {
        self.read(now, answers, tls)?;
        if self.stream.flush().is_err() {
            return ControlFlow::Break(());
        }
        let is_sent = self.stream.unsent_bytes() == 0;
        let is_answered = self.protocol.has_responded();
        if is_answered && is_sent && !std::mem::replace(&mut self.is_finished, true) {
            self.stream.shutdown_write();
        }
        // A client that closed its side before its request was complete asks for nothing any more.
        if self.stream.is_read_closed && (!is_answered || is_sent) {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Reads all there is; what follows a request is discarded, since an edge reports it once.
    fn read(
        &mut self,
        now: Micros,
        answers: &dyn ManagementData,
        tls: Option<&TlsState>,
    ) -> ControlFlow<()> {
        loop {
            let Ok(mut has_more) = self.stream.read(READ_LIMIT) else {
                return ControlFlow::Break(());
            };
            let has_offer = self.stream.layer().and_then(TlsLayer::offer).is_some();
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
                return ControlFlow::Continue(());
            }
        }
    }
}
