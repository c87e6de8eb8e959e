//! Rejoining of a process that was declared down, and conflicts between processes with the same
//! name.

use super::effects::Effects;
use super::payload::encode_down_notice;
use super::Membership;
use crate::event::Event;
use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;

/// Membership status of this process, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MembershipStatus {
    /// This process is a member.
    Member,
    /// Others have declared this process down; it will rejoin under a new incarnation.
    DeclaredDown,
    /// Another process has the same name and takes precedence; this process stays out of the
    /// cluster until that process is down.
    Superseded,
}

impl MembershipStatus {
    /// Notes that others have declared this process down. A superseded process needs no change, as
    /// it rejoins anyway once it is not superseded any more.
    pub(super) fn declare_down(&mut self) {
        if *self == Self::Member {
            *self = Self::DeclaredDown;
        }
    }
}

impl Membership {
    /// Notifies the sender of the last datagram if this process considers it down.
    ///
    /// If more processes are down than are members, probably this process itself was isolated. It
    /// rejoins then instead, so that the smaller side of a partition rejoins, not the larger one.
    pub(super) fn notify_sender_if_down(&mut self, now: Micros) {
        let Some(sender) = self.swim.shared.borrow_mut().sender.take() else {
            return;
        };
        if !self.swim.is_down(&sender) {
            return;
        }
        if self.swim.has_lost_majority() {
            self.reset_and_rejoin(now);
        } else if let Ok(notice) = encode_down_notice(&sender) {
            self.send(sender.address, &notice);
        }
    }

    /// Forgets all other processes, and rejoins under a new incarnation.
    fn reset_and_rejoin(&mut self, now: Micros) {
        self.swim.reset();
        self.timers.clear();
        self.report_changes();
        let highest_seen = self.swim.shared.borrow().highest_seen;
        self.advance_incarnation(now, highest_seen);
    }

    /// Checks whether another process has the name of this one. If not, rejoins if others have
    /// declared this process down, or have seen an incarnation that is missing on its disk.
    pub(super) fn update_status(&mut self, now: Micros) {
        if let Some(holder) = self.find_name_holder() {
            self.mark_superseded(holder);
            return;
        }
        if self.status == MembershipStatus::Superseded {
            self.status = MembershipStatus::DeclaredDown;
        }
        let highest_seen = self.swim.shared.borrow().highest_seen;
        let has_to_rejoin = self.status == MembershipStatus::DeclaredDown
            || self.incarnations.is_behind(highest_seen);
        if has_to_rejoin && !self.has_left {
            self.status = MembershipStatus::Member;
            self.advance_incarnation(now, highest_seen);
        }
    }

    /// Returns the member that has the name of this process and takes precedence over it.
    fn find_name_holder(&self) -> Option<Identity> {
        let own = self.identity();
        self.swim
            .members()
            .filter(|identity| identity.name == own.name)
            .filter(|identity| identity.precedence() > own.precedence())
            .max_by_key(|identity| identity.precedence())
            .cloned()
    }

    /// Stays out of the cluster while `holder` has the name of this process.
    fn mark_superseded(&mut self, holder: Identity) {
        if self.status == MembershipStatus::Superseded {
            return;
        }
        self.status = MembershipStatus::Superseded;
        // Once the holder is down, this process rejoins with precedence over it.
        let mut shared = self.swim.shared.borrow_mut();
        shared.highest_seen = shared.highest_seen.max(holder.incarnation);
        drop(shared);
        self.events.push_back(Event::Superseded(holder));
    }

    /// Rejoins under the lowest unused incarnation above `highest_seen`.
    fn advance_incarnation(&mut self, now: Micros, highest_seen: u64) {
        match self.incarnations.advance_past(highest_seen) {
            Ok(mark) => self.events.extend(mark.map(Event::PersistMark)),
            Err(_) => {
                self.has_left = true;
                self.events.push_back(Event::IncarnationsExhausted);
                return;
            }
        }
        let incarnation = self.incarnations.current();
        let identity = Identity {
            incarnation,
            ..self.identity().clone()
        };
        self.swim.shared.borrow_mut().own_identity = identity.clone();
        let mut effects = Effects::default();
        let changed = self.swim.foca.change_identity(identity, &mut effects);
        if changed.is_ok() {
            self.events.push_back(Event::Rejoined(incarnation));
            self.own_metrics.restart_versions(now);
            self.contacts.next_attempt = now;
        }
        self.apply(now, effects);
    }
}
