//! A connection of a client: its bytes, its state machine, and when it is over.

use super::client_protocol::ProtocolMachine;
use crate::buffered_connection::BufferedConnection;
use crate::host::Host;
use cleatpulley_connection_admission::decision::TrustLevel;
use cleatpulley_dispatcher::IncomingRequest;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::frame::connection::DRAIN_TIMEOUT;
use cleatpulley_protocol::state_machine::{ConnectionState, Context};
use std::io;

/// Bytes read from a connection in one iteration, so that a busy client blocks nobody.
const READ_LIMIT: usize = 65_536;
/// A client that leaves so many bytes unread is not read from: its responses would pile up here.
/// The responses to its open requests come on top.
const MAX_UNSENT_BYTES: usize = 32_768;
/// After the write side is closed, what the client sent before is read away for this time: closing
/// over unread bytes would take back responses on their way.
const LINGER_TIME: Micros = 2_000_000;
/// A rejected connection is closed after this time, once what came on it has its response: twice
/// the time within which a client repeats what crossed the notice to close.
const REJECTED_LINGER_TIME: Micros = 100_000;
/// Where no connection slot is left, a connection that was accepted or asked to close within this
/// time keeps its slot: what it sent may be on its way.
pub(super) const MIN_SLOT_TIME: Micros = 50_000;

/// A connection of a client.
pub(super) struct ClientConnection<H: Host> {
    pub(super) stream: BufferedConnection<H>,
    pub(super) machine: ProtocolMachine,
    /// Since when the write side is closed; what still arrives is discarded.
    pub(super) lingering_since: Option<Micros>,
    /// How its address is known.
    pub(super) known: TrustLevel,
    /// The names of its certificate, where it spoke TLS.
    pub(super) certificate_names: Vec<String>,
    /// It got no connection slot, or its name has too many: it is asked to close, and closed soon
    /// after what came on it has its response.
    pub(super) is_rejected: bool,
}

/// What is to be done with a connection that was served.
#[derive(PartialEq)]
pub(super) enum NextAction {
    Wait,
    ReadAgain,
    Close,
}

/// In which order connections give up their slots.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Its write side is closed.
    Lingering,
    /// It was asked to close, or is lost.
    Closing,
    /// It never sent a complete message.
    Silent,
}

/// When a connection may give up its slot for another.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    rank: EvictionRank,
    since: Micros,
}

impl<H: Host> ClientConnection<H> {
    pub(super) fn new(
        stream: BufferedConnection<H>,
        machine: ProtocolMachine,
        known: TrustLevel,
        is_rejected: bool,
    ) -> Self {
        Self {
            stream,
            machine,
            lingering_since: None,
            known,
            certificate_names: Vec::new(),
            is_rejected,
        }
    }

    pub(super) fn is_lingering(&self) -> bool {
        self.lingering_since.is_some()
    }

    /// Sends and reads. Requests that are complete are appended to `arrivals`.
    ///
    /// # Errors
    /// Why the connection broke.
    pub(super) fn serve(
        &mut self,
        context: &Context,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> io::Result<NextAction> {
        let mut has_more = false;
        self.stream.flush()?;
        if self.stream.unsent_bytes() < MAX_UNSENT_BYTES {
            has_more = self.stream.read(READ_LIMIT)?;
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

    /// Asks the client to close where no request is on its way. Guards a request that is being
    /// written: the client could only send it again.
    pub(super) fn send_away(&mut self, context: &Context) {
        let has_request_on_its_way = self.machine.status().waiting_since.is_some();
        if self.is_open_and_used() && !has_request_on_its_way && !self.is_lingering() {
            self.machine
                .stop_accepting_requests(context, self.stream.output());
        }
    }

    /// Returns true where the connection was used and not asked to close yet.
    pub(super) fn is_open_and_used(&self) -> bool {
        let status = self.machine.status();
        status.state == ConnectionState::Open && status.has_received_message
    }

    /// Returns true where the connection stays: it was not asked to close, nor is it lost.
    pub(super) fn is_open(&self) -> bool {
        !self.is_lingering() && self.machine.status().state == ConnectionState::Open
    }

    /// Returns true where a part of a message has arrived.
    fn has_partial_message(&self) -> bool {
        let status = self.machine.status();
        status.waiting_since.is_some()
            && (status.has_received_message || !self.stream.input.is_empty())
    }

    /// Returns when the connection may give up its slot; none where it may not.
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

    /// Returns true where no response is pending and no request may arrive any more, so that the
    /// write side is to be closed.
    pub(super) fn is_finished(&self, now: Micros) -> bool {
        let status = self.machine.status();
        let may_receive = match status.state {
            ConnectionState::Open => !self.stream.is_read_closed,
            ConnectionState::Draining(since) if self.is_rejected => {
                !self.stream.is_read_closed && now < since + REJECTED_LINGER_TIME
            }
            // A message of which a part had arrived by then has the machine's time to be complete.
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
