//! The events that wait to be read, and the last reported state that they are derived from.

use super::event::Event;
use crate::configuration::NodeId;
use std::collections::VecDeque;

/// The events of a node, in their order.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: VecDeque<Event>,
    leader: Option<NodeId>,
    is_lease_held: bool,
}

impl EventQueue {
    pub(super) fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    pub(super) fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Drops all events.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// Reports the leader if it has changed.
    pub(super) fn update_leader(&mut self, leader: Option<NodeId>) {
        if leader != self.leader {
            self.leader = leader;
            self.push(Event::LeaderChanged(leader));
        }
    }

    /// Reports the state of the lease if it has changed.
    pub(super) fn update_lease(&mut self, is_held: bool) {
        if is_held != self.is_lease_held {
            self.is_lease_held = is_held;
            self.push(if is_held {
                Event::LeaseAcquired
            } else {
                Event::LeaseExpired
            });
        }
    }

    /// Returns the leader that was reported last.
    pub(super) fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns whether the lease was held when its state was reported last.
    pub(super) fn is_lease_held(&self) -> bool {
        self.is_lease_held
    }
}
