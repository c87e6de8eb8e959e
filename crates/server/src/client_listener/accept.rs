//! Accepting connections and assigning connection slots. With an admission,
//! `cleatpulley_connection_admission` decides; without one, connections beyond the limit wait in
//! the accept queue of the system.

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

/// Maximum number of connections accepted in one iteration on each listener.
const MAX_ACCEPTS_PER_POLL: usize = 128;
/// Delay before accepting is retried after a shortage of file descriptors.
pub(super) const ACCEPT_PAUSE: Micros = 50_000;
/// Delay before accepting is retried while rejected connections of known clients are at their
/// maximum.
const REJECTED_PAUSE: Micros = 2_000;

/// A newly accepted connection.
struct AcceptedConnection<H: Host> {
    number: u64,
    stream: BufferedConnection<H>,
    address: IpAddr,
    /// The connection uses the reserved file descriptor: no other is left.
    is_short_of_descriptors: bool,
}

/// Decision whether a client gets a connection slot, with the trust level of its address.
enum SlotDecision {
    Granted(TrustLevel),
    Denied(TrustLevel),
}

impl<H: Host> ClientListener<H> {
    /// Accepts the pending connections of all listeners.
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
        // Rejected connections have been read since the iteration that accepted them: if none of
        // them can be closed, all have pending responses. Connections of unknown clients are then
        // closed without reading; one of a known client is kept beyond the limit, and meanwhile new
        // connections wait in the accept queue of the system.
        let has_no_room_for_rejected =
            self.acceptor.is_rejected_full() && !self.close_oldest_rejected(events);
        if has_no_room_for_rejected && self.acceptor.rejected_count > self.acceptor.max_rejected() {
            self.acceptor.accept_at = now + REJECTED_PAUSE;
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            if self
                .accept_next(index, now, has_no_room_for_rejected, events)
                .is_break()
            {
                return;
            }
        }
    }

    fn accept_next(
        &mut self,
        index: usize,
        now: Micros,
        has_no_room_for_rejected: bool,
        events: &mut Vec<Event>,
    ) -> ControlFlow<()> {
        if !self.addresses[index].is_acceptable {
            return ControlFlow::Break(());
        }
        // Connections beyond the limit wait in the accept queue of the system, where they cost
        // nothing. With an admission they are accepted, since a known client may wait behind
        // unknown ones.
        let is_full = self.connections.len() >= self.acceptor.max_connections;
        if is_full && self.acceptor.admission.is_none() && !self.free_connection_slot(now, events) {
            self.acceptor.accept_at = now + ACCEPT_PAUSE;
            return ControlFlow::Break(());
        }
        // Rejected connections of this iteration have to be read first.
        if !has_no_room_for_rejected
            && self.acceptor.is_rejected_full()
            && !self.close_oldest_rejected(events)
        {
            return ControlFlow::Break(());
        }
        let Some(accepted) = self.accept_connection(index, now, events)? else {
            return ControlFlow::Continue(());
        };
        let is_short_of_descriptors = accepted.is_short_of_descriptors;
        self.assign_slot(index, now, accepted, has_no_room_for_rejected, events);
        if is_short_of_descriptors {
            self.acceptor.reserve_descriptor(&self.host);
        }
        if self.acceptor.rejected_count > self.acceptor.max_rejected() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Accepts one connection; returns `None` if its client has disconnected already.
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
            // Only accepting shows whether the client is known. The system reports a shortage of
            // descriptors even if no connection is pending.
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

    /// Handles an accept error; breaks if nothing more can be accepted on the listener.
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

    /// Pauses accepting, to prevent a busy loop while file descriptors are short.
    fn pause_after_failure(&mut self, now: Micros, error: &io::Error, events: &mut Vec<Event>) {
        tracing::warn!(%error, "no connection accepted for a while");
        self.free_connection_slot(now, events);
        self.acceptor.reserve_descriptor(&self.host);
        self.acceptor.accept_at = now + ACCEPT_PAUSE;
        if is_bug_injected(InjectedBug::AcceptNotResumed) {
            self.acceptor.accept_at = Micros::MAX;
        }
    }

    /// Assigns a slot to a connection, or rejects it.
    fn assign_slot(
        &mut self,
        index: usize,
        now: Micros,
        accepted: AcceptedConnection<H>,
        has_no_room_for_rejected: bool,
        events: &mut Vec<Event>,
    ) {
        let entry = &self.addresses[index];
        let machine = entry.protocol.create_machine(now, accepted.address);
        let is_secure = entry.is_secure;
        match self.admit(now, &accepted, events) {
            SlotDecision::Granted(trust_level) => {
                self.add_connection(now, accepted, machine, trust_level, is_secure);
            }
            // There are no requests before the handshake, so only the alert can be sent.
            SlotDecision::Denied(_) if is_secure => {
                let mut stream = accepted.stream;
                stream.output().extend_from_slice(&BUSY_ALERT);
                flush_unread(&mut stream);
            }
            SlotDecision::Denied(trust_level) => self.reject(
                now,
                accepted,
                machine,
                trust_level,
                has_no_room_for_rejected,
            ),
        }
    }

    fn add_connection(
        &mut self,
        now: Micros,
        accepted: AcceptedConnection<H>,
        mut machine: ProtocolMachine,
        trust_level: TrustLevel,
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
            admission.on_admitted(now, number, address, trust_level);
        }
        let context = self.context.for_connection(now, number);
        if self.shutdown.has_begun {
            machine.begin_shutdown(&context, stream.output());
        }
        if self.shutdown.is_stop_near {
            machine.stop_accepting_requests(&context, stream.output());
        }
        let connection = ClientConnection::new(stream, machine, trust_level, false);
        self.connections.insert(number, connection);
    }

    /// Notifies a client without a slot to close, if its protocol allows, and keeps the connection
    /// until its requests have their responses.
    fn reject(
        &mut self,
        now: Micros,
        accepted: AcceptedConnection<H>,
        mut machine: ProtocolMachine,
        trust_level: TrustLevel,
        has_no_room_for_rejected: bool,
    ) {
        let AcceptedConnection {
            number, mut stream, ..
        } = accepted;
        machine.stop_accepting_requests(&self.context.for_connection(now, number), stream.output());
        if (accepted.is_short_of_descriptors || has_no_room_for_rejected)
            && trust_level == TrustLevel::Unknown
        {
            // Nothing is read from the connection, so its requests fail without being rejected.
            // Only a known client may keep the reserved descriptor.
            return flush_unread(&mut stream);
        }
        // Requests that arrived with the connection are read and get their responses: closing would
        // lose them, and one with an idempotency key may have run before.
        stream.on_readiness(Readiness {
            readable: true,
            writable: true,
        });
        let connection = ClientConnection::new(stream, machine, trust_level, true);
        self.connections.insert(number, connection);
        self.acceptor.rejected_count += 1;
        self.ready.push(number);
    }

    /// Closes the oldest rejected connection without a pending response; returns false if there is
    /// none. Otherwise a flood of clients that keep their connections open would block accepting
    /// for the linger time.
    fn close_oldest_rejected(&mut self, events: &mut Vec<Event>) -> bool {
        // Closing loses nothing: all requests have their responses, or are discarded because the
        // write side is closed.
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

    /// Decides whether a client gets a connection slot; another connection may be evicted for it.
    fn admit(
        &mut self,
        now: Micros,
        accepted: &AcceptedConnection<H>,
        events: &mut Vec<Event>,
    ) -> SlotDecision {
        let address = accepted.address;
        let slot_count = self.acceptor.slot_count(accepted.is_short_of_descriptors);
        let Some(admission) = &mut self.acceptor.admission else {
            return SlotDecision::Granted(TrustLevel::Unknown);
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
            Decision::Admit(trust_level) => SlotDecision::Granted(trust_level),
            Decision::EvictAndAdmit {
                victim: number,
                trust_level,
            } => {
                self.close(number, events);
                SlotDecision::Granted(trust_level)
            }
            Decision::Reject(reason) => {
                let trust_level = admission.trust_level(now, address);
                tracing::debug!(%address, ?reason, "connection rejected without a slot");
                SlotDecision::Denied(trust_level)
            }
        }
    }
}

/// Returns true if the error is not a shortage of descriptors: no connection is pending, or its
/// client has disconnected.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}

/// Sends the output as far as the socket accepts it without blocking; nothing is read.
fn flush_unread<H: Host>(stream: &mut BufferedConnection<H>) {
    stream.on_readiness(Readiness {
        readable: false,
        writable: true,
    });
    let _ = stream.flush();
}
