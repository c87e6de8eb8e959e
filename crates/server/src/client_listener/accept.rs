//! Accepting: who gets a connection slot, and what becomes of those who get none. With an
//! admission, `cleatpulley_connection_admission` decides; without one, connections beyond the limit
//! wait with the system.

use super::client_connection::ClientConnection;
use super::client_protocol::ProtocolMachine;
use super::ClientListener;
use crate::buffered_connection::BufferedConnection;
use crate::host::{Host, Readiness};
use crate::socket_owner::SocketOwner;
use crate::tls_layer::{TlsLayer, BUSY_ALERT};
use cleatpulley_connection_admission::decision::TrustLevel;
use cleatpulley_connection_admission::Decision;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::io::{self, ErrorKind};
use std::net::IpAddr;
use std::ops::ControlFlow;

/// Connections accepted in one iteration on each listener.
const MAX_ACCEPTS: usize = 128;
/// Wait after the system had no descriptor for a new connection.
pub(super) const ACCEPT_PAUSE: Micros = 50_000;
/// Wait while rejected clients that are known take up all the room for rejected connections.
const REJECTED_PAUSE: Micros = 2_000;

/// A connection as it was accepted.
struct AcceptedConnection<H: Host> {
    number: u64,
    stream: BufferedConnection<H>,
    address: IpAddr,
    /// The reserved descriptor was freed for it: no other is left.
    is_short_of_descriptors: bool,
}

/// Whether a client gets a connection slot, and how its address is known.
enum Admitted {
    Yes(TrustLevel),
    No(TrustLevel),
}

impl<H: Host> ClientListener<H> {
    /// Accepts the connections that wait on all listeners.
    pub(super) fn accept(&mut self, now: Micros, events: &mut Vec<Event>) {
        for index in 0..self.addresses.len() {
            if now < self.acceptor.accept_at || !self.acceptor.is_accepting() {
                return;
            }
            self.accept_on(index, now, events);
        }
        if self.shutdown.is_stop_near && !self.addresses.is_empty() && !self.is_acceptable() {
            self.addresses.clear();
        }
    }

    fn accept_on(&mut self, index: usize, now: Micros, events: &mut Vec<Event>) {
        // Rejected connections have been read since the iteration that accepted them: where none of
        // them can be closed, all have pending responses. Unknown clients are then closed unread; a
        // known one is held beyond the limit, and while one is, new connections wait with the
        // system.
        let is_stuck = self.acceptor.is_rejected_full() && !self.close_oldest_rejected(events);
        if is_stuck && self.acceptor.rejected_count > self.acceptor.max_rejected() {
            self.acceptor.accept_at = now + REJECTED_PAUSE;
            return;
        }
        for _ in 0..MAX_ACCEPTS {
            if self.accept_next(index, now, is_stuck, events).is_break() {
                return;
            }
        }
    }

    fn accept_next(
        &mut self,
        index: usize,
        now: Micros,
        is_stuck: bool,
        events: &mut Vec<Event>,
    ) -> ControlFlow<()> {
        if !self.addresses[index].is_acceptable {
            return ControlFlow::Break(());
        }
        // Connections beyond the limit wait with the system, where they cost nothing; but where it
        // matters who comes, a known client may wait behind them, and only accepting shows that.
        let is_full = self.connections.len() >= self.acceptor.max_connections;
        if is_full && self.acceptor.admission.is_none() && !self.free_connection_slot(now, events) {
            self.acceptor.accept_at = now + ACCEPT_PAUSE;
            return ControlFlow::Break(());
        }
        // Rejected connections of this iteration are read first.
        if !is_stuck && self.acceptor.is_rejected_full() && !self.close_oldest_rejected(events) {
            return ControlFlow::Break(());
        }
        let Some(accepted) = self.accept_connection(index, now, events)? else {
            return ControlFlow::Continue(());
        };
        let is_short_of_descriptors = accepted.is_short_of_descriptors;
        self.assign_slot(index, now, accepted, is_stuck, events);
        if is_short_of_descriptors {
            self.acceptor.reserve_descriptor(&self.host);
        }
        if self.acceptor.rejected_count > self.acceptor.max_rejected() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Accepts one connection; none where its client is gone already.
    fn accept_connection(
        &mut self,
        index: usize,
        now: Micros,
        events: &mut Vec<Event>,
    ) -> ControlFlow<(), Option<AcceptedConnection<H>>> {
        let number = self.last_number + 1;
        let owner = SocketOwner::ClientConnection(number);
        let entry = &mut self.addresses[index];
        let Some(listener) = &entry.listener else {
            entry.is_acceptable = false;
            return ControlFlow::Break(());
        };
        let mut accepted = self.host.accept(listener, owner);
        let is_failed = accepted.as_ref().is_err_and(|error| !is_transient(error));
        let is_short_of_descriptors = is_failed && self.acceptor.free_reserved_descriptor();
        if is_short_of_descriptors {
            // The client may be known or not, and only accepting shows that. The system reports
            // that it has no descriptor also where nobody waits.
            accepted = self.host.accept(listener, owner);
        }
        match accepted {
            Ok((stream, address)) => {
                self.last_number = number;
                ControlFlow::Continue(Some(AcceptedConnection {
                    number,
                    stream: BufferedConnection::new(stream),
                    address,
                    is_short_of_descriptors,
                }))
            }
            Err(error) => {
                self.on_accept_failed(index, now, &error, events)?;
                ControlFlow::Continue(None)
            }
        }
    }

    /// Breaks where nothing more is to be accepted on the listener.
    fn on_accept_failed(
        &mut self,
        index: usize,
        now: Micros,
        error: &io::Error,
        events: &mut Vec<Event>,
    ) -> ControlFlow<()> {
        if !is_transient(error) {
            self.pause_after_failure(now, error, events);
            return ControlFlow::Break(());
        }
        self.acceptor.reserve_descriptor(&self.host);
        if error.kind() == ErrorKind::WouldBlock {
            self.addresses[index].is_acceptable = false;
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Guards against a loop at full speed while descriptors are short.
    fn pause_after_failure(&mut self, now: Micros, error: &io::Error, events: &mut Vec<Event>) {
        tracing::warn!(%error, "no connection accepted for a while");
        self.free_connection_slot(now, events);
        self.acceptor.reserve_descriptor(&self.host);
        self.acceptor.accept_at = now + ACCEPT_PAUSE;
        if is_bug_injected(InjectedBug::AcceptNotResumed) {
            self.acceptor.accept_at = Micros::MAX;
        }
    }

    /// Gives a connection its slot, or rejects it.
    fn assign_slot(
        &mut self,
        index: usize,
        now: Micros,
        accepted: AcceptedConnection<H>,
        is_stuck: bool,
        events: &mut Vec<Event>,
    ) {
        let entry = &self.addresses[index];
        let machine = entry.protocol.create_machine(now, accepted.address);
        let is_secure = entry.is_secure;
        match self.admit(now, &accepted, events) {
            Admitted::Yes(known) => self.add_connection(now, accepted, machine, known, is_secure),
            // Before a handshake there are no requests: the alert is all that can be sent.
            Admitted::No(_) if is_secure => {
                let mut stream = accepted.stream;
                stream.output().extend_from_slice(&BUSY_ALERT);
                flush_unread(&mut stream);
            }
            Admitted::No(known) => self.reject(now, accepted, machine, known, is_stuck),
        }
    }

    fn add_connection(
        &mut self,
        now: Micros,
        accepted: AcceptedConnection<H>,
        mut machine: ProtocolMachine,
        known: TrustLevel,
        is_secure: bool,
    ) {
        let AcceptedConnection {
            number,
            mut stream,
            address,
            ..
        } = accepted;
        if is_secure {
            stream.set_tls(TlsLayer::new());
            self.tls.on_accepted(now, number);
        }
        if let Some(admission) = &mut self.acceptor.admission {
            admission.on_admitted(now, number, address, known);
        }
        let context = self.context.at(now, number);
        if self.shutdown.has_begun {
            machine.begin_shutdown(&context, stream.output());
        }
        if self.shutdown.is_stop_near {
            machine.stop_accepting_requests(&context, stream.output());
        }
        let connection = ClientConnection::new(stream, machine, known, false);
        self.connections.insert(number, connection);
    }

    /// Asks a connection without a slot to close, where its protocol can, and holds it until what
    /// came on it has its response.
    fn reject(
        &mut self,
        now: Micros,
        accepted: AcceptedConnection<H>,
        mut machine: ProtocolMachine,
        known: TrustLevel,
        is_stuck: bool,
    ) {
        let AcceptedConnection {
            number, mut stream, ..
        } = accepted;
        machine.stop_accepting_requests(&self.context.at(now, number), stream.output());
        if (accepted.is_short_of_descriptors || is_stuck) && known == TrustLevel::Unknown {
            // Nothing is read of it: its requests have failed, and are not rejected. For a known
            // client the reserved descriptor is worth having.
            return flush_unread(&mut stream);
        }
        // What came with the connection is read and gets its response: closing would lose it, and a
        // request with an idempotency key among it may have run before.
        stream.on_readiness(Readiness {
            readable: true,
            writable: true,
        });
        let connection = ClientConnection::new(stream, machine, known, true);
        self.connections.insert(number, connection);
        self.acceptor.rejected_count += 1;
        self.ready.push(number);
    }

    /// Closes the oldest rejected connection without a pending response; returns false where there
    /// is none. Guards against a flood that holds its connections, which would keep them for as
    /// long as what they sent is read away, while nothing is accepted.
    fn close_oldest_rejected(&mut self, events: &mut Vec<Event>) -> bool {
        // What came on it has its response, or is discarded once the write side is closed: closing
        // loses nothing.
        let has_pending = |connection: &ClientConnection<H>| {
            let is_unread = !connection.is_lingering() && !connection.stream.is_drained();
            connection.machine.status().open_requests > 0
                || connection.stream.unsent_bytes() > 0
                || is_unread
        };
        let oldest = self
            .connections
            .iter()
            .find(|(_, connection)| connection.is_rejected && !has_pending(connection))
            .map(|(number, _)| *number);
        let Some(number) = oldest else {
            return false;
        };
        self.close(number, events);
        true
    }

    /// Decides whether a client gets a connection slot; another may lose its own to it.
    fn admit(
        &mut self,
        now: Micros,
        accepted: &AcceptedConnection<H>,
        events: &mut Vec<Event>,
    ) -> Admitted {
        let address = accepted.address;
        let slot_count = self.acceptor.slot_count(accepted.is_short_of_descriptors);
        let Some(admission) = &mut self.acceptor.admission else {
            return Admitted::Yes(TrustLevel::Unknown);
        };
        let connections = &self.connections;
        let may_lose_slot = |number: u64| {
            let connection = connections.get(&number);
            connection.is_some_and(|connection| {
                let status = connection.machine.status();
                let is_unused = connection.is_lingering()
                    || !status.has_received_message
                    || status.waiting_since.is_none();
                status.open_requests == 0 && is_unused
            })
        };
        match admission.decide(now, address, slot_count, may_lose_slot) {
            Decision::Admit(known) => Admitted::Yes(known),
            Decision::EvictAndAdmit {
                victim: number,
                trust_level: known,
            } => {
                self.close(number, events);
                Admitted::Yes(known)
            }
            Decision::Reject(reason) => {
                let known = admission.trust_level(now, address);
                tracing::debug!(%address, ?reason, "a connection gets no slot");
                Admitted::No(known)
            }
        }
    }
}

/// Returns true where no descriptor is short: nobody waits, or the client that waited is gone.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}

/// Sends the output as far as the system takes it at once; nothing is read.
fn flush_unread<H: Host>(stream: &mut BufferedConnection<H>) {
    stream.on_readiness(Readiness {
        readable: false,
        writable: true,
    });
    let _ = stream.flush();
}
