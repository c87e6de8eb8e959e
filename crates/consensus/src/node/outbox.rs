//! The sessions with other processes and the messages that wait to be sent on them.

use crate::configuration::NodeId;
use crate::message::Message;
use std::collections::BTreeSet;

/// An encoded message to be sent on the session with a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The process to send the message to.
    pub recipient: NodeId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// The messages that wait to be sent, in their order.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    connected: BTreeSet<NodeId>,
    messages: Vec<OutgoingMessage>,
}

impl Outbox {
    pub(super) fn connect(&mut self, peer: NodeId) {
        self.connected.insert(peer);
    }

    pub(super) fn disconnect(&mut self, peer: NodeId) {
        self.connected.remove(&peer);
    }

    /// Returns the processes with an established session.
    pub(super) fn connected_peers(&self) -> Vec<NodeId> {
        self.connected.iter().copied().collect()
    }

    /// Queues a message. It is dropped if there is no session with the recipient: what matters is
    /// sent again on the next one.
    pub(super) fn send(&mut self, recipient: NodeId, message: &Message) {
        if self.connected.contains(&recipient) {
            let bytes = message.encode();
            self.messages.push(OutgoingMessage { recipient, bytes });
        }
    }

    /// Removes and returns all messages.
    pub(super) fn take(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Drops all messages.
    pub(super) fn clear(&mut self) {
        self.messages.clear();
    }
}
