//! Queue of waiting handshakes, ordered by priority and then by the accept time of the connection.

use super::kind::{HandshakeKind, Priority};
use crate::decision::ConnectionId;
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A handshake in the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingHandshake {
    pub(super) id: ConnectionId,
    pub(super) kind: HandshakeKind,
    /// Accept time of the connection.
    pub(super) accepted_at: Micros,
}

impl WaitingHandshake {
    fn position(&self) -> QueuePosition {
        QueuePosition {
            priority: self.kind.priority(),
            accepted_at: self.accepted_at,
            id: self.id,
        }
    }
}

/// The position of a handshake in the queue; the lowest value begins first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    priority: Priority,
    accepted_at: Micros,
    id: ConnectionId,
}

/// The queue. Both collections hold the same handshakes.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    pub(super) order: BTreeSet<QueuePosition>,
    pub(super) waiting: BTreeMap<ConnectionId, WaitingHandshake>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Returns the handshake at the front of the queue.
    pub(super) fn first(&self) -> Option<WaitingHandshake> {
        let position = self.order.first()?;
        self.waiting.get(&position.id).copied()
    }

    /// Returns the priority of the handshake at the back of the queue.
    pub(super) fn last_priority(&self) -> Option<Priority> {
        self.order.last().map(|position| position.priority)
    }

    /// Removes the handshake at the back of the queue and returns its connection.
    pub(super) fn pop_last(&mut self) -> Option<ConnectionId> {
        let position = self.order.pop_last()?;
        self.waiting.remove(&position.id);
        Some(position.id)
    }

    pub(super) fn insert(&mut self, handshake: WaitingHandshake) {
        self.order.insert(handshake.position());
        self.waiting.insert(handshake.id, handshake);
    }

    pub(super) fn remove(&mut self, id: ConnectionId) {
        if let Some(handshake) = self.waiting.remove(&id) {
            self.order.remove(&handshake.position());
        }
    }

    /// Returns the handshakes in the order of their connection identifiers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingHandshake> {
        self.waiting.values()
    }
}
