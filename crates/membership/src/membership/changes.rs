//! Application of the SWIM library's effects, and reports of changes in the set of members.

use super::effects::Effects;
use super::payload::encode_gossip;
use super::Membership;
use crate::event::Event;
use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Membership {
    /// Applies the effects of a call to the library.
    pub(super) fn apply(&mut self, now: Micros, effects: Effects) {
        for delayed in effects.timers {
            self.timers.start(now, delayed);
        }
        for (destination, message) in effects.gossip {
            self.send(destination, &encode_gossip(&message));
        }
        if effects.is_declared_down {
            self.status.declare_down();
        }
        if effects.members_changed {
            self.report_changes();
        }
        self.release_capacity();
    }

    /// Signs a payload and queues it as a datagram.
    pub(super) fn send(&mut self, destination: SocketAddr, payload: &[u8]) {
        self.outgoing.push((destination, self.keys.sign(payload)));
    }

    /// Reports the differences between the current members and those at the last call.
    ///
    /// The library's own notifications are not used for this, because it notifies twice when one
    /// identity replaces another.
    pub(super) fn report_changes(&mut self) {
        let current: BTreeMap<SocketAddr, Identity> = self
            .swim
            .members()
            .map(|identity| (identity.address, identity.clone()))
            .collect();
        let former = std::mem::replace(&mut self.reported_members, current);
        let mut shared = self.swim.shared.borrow_mut();
        for (address, identity) in &former {
            if self.reported_members.get(address) != Some(identity) {
                shared.metrics.set_down(identity);
                self.events.push_back(Event::Down(identity.clone()));
            }
        }
        for (address, identity) in &self.reported_members {
            if former.get(address) != Some(identity) {
                shared.capacity.add(*address);
                shared.metrics.set_alive(identity);
                self.events.push_back(Event::Up(identity.clone()));
            }
        }
    }

    /// Frees the capacity used by processes that are no longer remembered, if it is exhausted.
    fn release_capacity(&self) {
        let mut shared = self.swim.shared.borrow_mut();
        if shared.capacity.is_exhausted() {
            shared.capacity.reset(self.swim.known_addresses());
        }
    }
}
