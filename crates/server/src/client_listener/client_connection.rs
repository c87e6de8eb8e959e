//! A connection of a client: its buffers, its state machine, and its end.

use super::client_protocol::ProtocolMachine;
use crate::buffered_connection::BufferedConnection;
use crate::host::Host;
use cleatpulley_connection_admission::decision::TrustLevel;
use cleatpulley_dispatcher::IncomingRequest;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::frame::connection::DRAIN_TIMEOUT;
use cleatpulley_protocol::state_machine::{ConnectionState, Context};
use std::io;

/// Number of bytes read from a connection in one iteration, so that a busy client does not delay others.
const READ_QUANTUM_BYTES: usize = 16_384;
/// Nothing is read from a client while this many bytes to it are unsent, so that its responses do
/// not accumulate. The responses to its open requests come on top.
const MAX_UNSENT_BYTES: usize = 32_768;
/// After the write side is closed, received bytes are read and discarded for this time: closing
/// with unread bytes would reset the connection and lose responses in flight.
const LINGER_TIME: Micros = 2_000_000;
/// A rejected connection whose requests have their responses is closed after this time: twice the
/// time within which a client resends requests that crossed the close notice.
const REJECTED_LINGER_TIME: Micros = 100_000;
/// A connection that was accepted or notified to close within this time is not evicted when no slot
/// is left: its request may be in flight.
pub(super) const MIN_SLOT_TIME: Micros = 50_000;

/// A connection of a client.
pub(super) struct ClientConnection<H: Host> {
    pub(super) stream: BufferedConnection<H>,
    pub(super) machine: ProtocolMachine,
    /// Time at which the write side was closed; bytes received since are discarded.
    pub(super) lingering_since: Option<Micros>,
    /// Trust level of the client's address.
    pub(super) trust_level: TrustLevel,
    /// Names in the client's certificate, if it uses TLS.
    pub(super) certificate_names: Vec<String>,
    /// The client got no connection slot, or its certificate name has too many: it is notified to
    /// close, and the connection is closed soon after its requests have their responses.
    pub(super) is_rejected: bool,
    /// Bytes that the listener has counted for this connection's incomplete message.
    pub(super) counted_buffer_bytes: usize,
}

/// Next action on a connection after it was served.
#[derive(PartialEq)]
pub(super) enum NextAction {
    Wait,
    ReadAgain,
    Close,
}

/// Order in which connections are evicted.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// The write side is closed.
    Lingering,
    /// The client was notified to close, or the connection is lost.
    Closing,
    /// The client has not sent a complete message yet.
    Silent,
}

/// Position of a connection in the eviction order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    rank: EvictionRank,
    since: Micros,
}

impl<H: Host> ClientConnection<H> {
    pub(super) fn new(
        stream: BufferedConnection<H>,
        machine: ProtocolMachine,
        trust_level: TrustLevel,
        is_rejected: bool,
    ) -> Self {
        Self {
            stream,
            machine,
            lingering_since: None,
            trust_level,
            certificate_names: Vec::new(),
            is_rejected,
            counted_buffer_bytes: 0,
        }
    }

    /// Returns the memory of an incomplete message, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.stream.input.capacity() + self.machine.buffered_bytes()
    }

    pub(super) fn is_lingering(&self) -> bool {
        self.lingering_since.is_some()
    }

    /// Sends and reads. Complete requests are appended to `arrivals`.
    ///
    /// # Errors
    /// The error that broke the connection.
    pub(super) fn serve(
        &mut self,
        context: &Context,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> io::Result<NextAction> {
        let mut has_more = false;
        // Requests that a client sent before it reset the connection can still be read. Their responses can't
        // be delivered, and the client may have retried them elsewhere.
        self.stream.take_error()?;
        self.stream.flush()?;
        if self.stream.unsent_bytes() < MAX_UNSENT_BYTES {
            let limit = self.stream.input.len() + READ_QUANTUM_BYTES;
            has_more = self.stream.read(limit)?;
            self.receive(context, arrivals);
        }
        self.stream.flush()?;
        let now = context.now;
        if self.is_finished(now) {
            self.stream.shutdown_write();
            self.lingering_since = Some(now);
        }
        if let Some(since) = self.lingering_since {
            if self.stream.is_read_closed || now >= since + LINGER_TIME {
                return Ok(NextAction::Close);
            }
        }
        Ok(if has_more {
            NextAction::ReadAgain
        } else {
            NextAction::Wait
        })
    }

    fn receive(&mut self, context: &Context, arrivals: &mut Vec<IncomingRequest>) {
        let input = std::mem::take(&mut self.stream.input);
        let used = if self.is_lingering() {
            input.len()
        } else {
            let output = self.stream.output();
            self.machine.receive(context, &input, output, arrivals)
        };
        self.stream.input = input;
        self.stream.consume(used);
    }

    /// Notifies the client to close unless a request is partly received: the client would have to
    /// resend that request.
    pub(super) fn request_close(&mut self, context: &Context) {
        let has_incoming_request = self.machine.status().waiting_since.is_some();
        if self.is_open_and_used() && !has_incoming_request && !self.is_lingering() {
            self.machine
                .stop_accepting_requests(context, self.stream.output());
        }
    }

    /// Returns true if the connection was used and its client not notified to close yet.
    pub(super) fn is_open_and_used(&self) -> bool {
        let status = self.machine.status();
        status.state == ConnectionState::Open && status.has_received_message
    }

    /// Returns true if the connection stays open: its client was not notified to close, and it is
    /// not lost.
    pub(super) fn is_open(&self) -> bool {
        !self.is_lingering() && self.machine.status().state == ConnectionState::Open
    }

    /// Returns true if a message is partly received.
    fn has_partial_message(&self) -> bool {
        let status = self.machine.status();
        status.waiting_since.is_some()
            && (status.has_received_message || !self.stream.input.is_empty())
    }

    /// Returns the eviction order of the connection, or `None` if it must not be evicted.
    pub(super) fn eviction_order(&self, now: Micros) -> Option<EvictionOrder> {
        let status = self.machine.status();
        if status.open_requests > 0 {
            return None;
        }
        let (rank, since) = match (self.lingering_since, status.state) {
            (Some(since), _) => (EvictionRank::Lingering, since),
            (None, ConnectionState::Draining(since)) => (EvictionRank::Closing, since),
            (None, ConnectionState::Closing) => (EvictionRank::Closing, status.last_activity_at),
            (None, ConnectionState::Open) if !status.has_received_message => {
                (EvictionRank::Silent, status.waiting_since.unwrap_or(now))
            }
            (None, ConnectionState::Open) => return None,
        };
        (now >= since + MIN_SLOT_TIME).then_some(EvictionOrder { rank, since })
    }

    /// Returns true if no response is pending and no further request may arrive, so that the write
    /// side can be closed.
    pub(super) fn is_finished(&self, now: Micros) -> bool {
        let status = self.machine.status();
        let may_receive = match status.state {
            ConnectionState::Open => !self.stream.is_read_closed,
            ConnectionState::Draining(since) if self.is_rejected => {
                !self.stream.is_read_closed && now < since + REJECTED_LINGER_TIME
            }
            // A partly received message has the message timeout of the state machine to become
            // complete.
            ConnectionState::Draining(since) => {
                !self.stream.is_read_closed
                    && (now < since + DRAIN_TIMEOUT || self.has_partial_message())
            }
            ConnectionState::Closing => false,
        };
        !self.is_lingering()
            && !may_receive
            && status.open_requests == 0
            && self.stream.unsent_bytes() == 0
    }
}
