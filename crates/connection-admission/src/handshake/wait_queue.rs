//! The handshakes that wait, by priority and then by the accept of their connection.

use super::kind::{HandshakeKind, Priority};
use crate::decision::ConnectionId;
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A handshake that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingHandshake {
    pub(super) id: ConnectionId,
    pub(super) kind: HandshakeKind,
    /// When its connection was accepted.
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

/// The position of a handshake in the queue; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    priority: Priority,
    accepted_at: Micros,
    id: ConnectionId,
}

/// The queue. Both of its parts hold the same handshakes.
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

    /// Returns the handshake that goes first.
    pub(super) fn first(&self) -> Option<WaitingHandshake> {
        let position = self.order.first()?;
        self.waiting.get(&position.id).copied()
    }

    /// Returns the priority of the handshake that goes last.
    pub(super) fn last_priority(&self) -> Option<Priority> {
        self.order.last().map(|position| position.priority)
    }

    /// Removes the handshake that goes last and returns its connection.
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

    /// Returns the handshakes in the order of their connections' numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingHandshake> {
        self.waiting.values()
    }
}
