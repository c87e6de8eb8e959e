//! The connections to the predecessor and to the successor, and the listening socket for
//! successors.

use super::step::{InheritedListener, ReceivedSocket};
use crate::host::{HandoverAddress, HandoverChannel as _, Host};
use cleatpulley_hot_restart::predecessor::Predecessor;
use cleatpulley_hot_restart::successor::Successor;
use cleatpulley_hot_restart::Message;
use cleatpulley_policy::interface::Micros;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Listener number under which the event loop reports pending successors. Listeners for clients
/// have smaller numbers.
pub const LISTENER_NUMBER: usize = (1 << 16) + 1;

/// Delay before a successor is accepted after a shortage of file descriptors.
pub(crate) const ACCEPT_RETRY_INTERVAL: Micros = 20_000;
/// Delay before listening for successors, or reserving a descriptor for one, is retried.
const LISTEN_RETRY_INTERVAL: Micros = 500_000;

/// The connection to the predecessor, which this process takes over from.
pub(super) struct PredecessorConnection<H: Host> {
    /// State machine of the successor's side.
    pub(super) protocol: Successor,
    /// `None` once the predecessor is lost.
    pub(super) channel: Option<H::HandoverChannel>,
    /// Sockets received with the message that is being handled.
    pub(super) received_sockets: Vec<ReceivedSocket<H>>,
}

impl<H: Host> PredecessorConnection<H> {
    pub(super) fn send(&self, message: &Message) -> io::Result<()> {
        let channel = self.channel.as_ref().ok_or(ErrorKind::NotConnected)?;
        channel.send(&message.encode(), &[])
    }

    /// Takes the sockets received with the current message and pairs them with these addresses.
    pub(super) fn take_listeners(
        &mut self,
        addresses: Vec<SocketAddr>,
    ) -> Vec<InheritedListener<H>> {
        let sockets = std::mem::take(&mut self.received_sockets);
        addresses
            .into_iter()
            .zip(sockets)
            .map(|(address, socket)| InheritedListener { address, socket })
            .collect()
    }
}

/// The connection to the successor, which takes over from this process.
pub(super) struct SuccessorConnection<H: Host> {
    /// State machine of the predecessor's side.
    pub(super) protocol: Predecessor,
    /// `None` while there is no successor.
    pub(super) channel: Option<H::HandoverChannel>,
}

impl<H: Host> SuccessorConnection<H> {
    pub(super) fn channel(&self) -> io::Result<&H::HandoverChannel> {
        let channel = self.channel.as_ref();
        channel.ok_or_else(|| ErrorKind::NotConnected.into())
    }

    /// Sends a message. A usage report is dropped if the channel is full, since the next one
    /// follows soon.
    pub(super) fn send(&self, message: &Message) -> io::Result<()> {
        match self.channel()?.send(&message.encode(), &[]) {
            Err(error)
                if error.kind() == ErrorKind::WouldBlock
                    && matches!(message, Message::UsageReport(_)) =>
            {
                Ok(())
            }
            sent => sent,
        }
    }
}

/// The socket on which this process listens for successors.
pub(super) struct SuccessorListener<H: Host> {
    pub(super) socket: Option<H::SuccessorListener>,
    /// When listening is retried after a failure.
    pub(super) retry_listen_at: Option<Micros>,
    /// A successor may be pending.
    pub(super) is_acceptable: bool,
    /// No successor is accepted before this time.
    pub(super) accept_at: Micros,
    /// File descriptor reserved for a successor that connects when all others are in use.
    pub(super) reserved_descriptor: Option<H::ReservedDescriptor>,
    /// Earliest time to reserve the next descriptor.
    reserve_at: Micros,
}

impl<H: Host> Default for SuccessorListener<H> {
    fn default() -> Self {
        Self {
            socket: None,
            retry_listen_at: None,
            is_acceptable: false,
            accept_at: 0,
            reserved_descriptor: None,
            reserve_at: 0,
        }
    }
}

impl<H: Host> SuccessorListener<H> {
    pub(super) fn listen(&mut self, host: &H, address: &HandoverAddress) {
        // The previous socket is closed first, since the new one takes over its path.
        self.socket = None;
        match host.listen_for_successors(address, LISTENER_NUMBER) {
            Ok(socket) => {
                self.socket = Some(socket);
                self.is_acceptable = true;
            }
            Err(error) => {
                tracing::warn!(%error, "upgrade: no successor can be met yet");
                self.retry_listen_at = Some(host.now() + LISTEN_RETRY_INTERVAL);
            }
        }
    }

    /// Reserves a file descriptor. If client connections held all of them when a successor
    /// connects, the successor would listen in parallel to this process.
    pub(super) fn reserve_descriptor(&mut self, host: &H, now: Micros) {
        let is_needed = self.socket.is_some() && self.reserved_descriptor.is_none();
        if is_needed && now >= self.reserve_at {
            self.reserved_descriptor = host.reserve_descriptor().ok();
            self.reserve_at = now + LISTEN_RETRY_INTERVAL;
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Micros> {
        let is_delayed = self.is_acceptable && self.accept_at > 0;
        let accept_at = is_delayed.then_some(self.accept_at);
        [accept_at, self.retry_listen_at]
            .into_iter()
            .flatten()
            .min()
    }

    pub(super) fn descriptor_count(&self) -> usize {
        usize::from(self.socket.is_some()) + usize::from(self.reserved_descriptor.is_some())
    }
}
