//! How a process that was declared down joins again, and which of two with one name stays out.

use super::effects::Effects;
use super::payload::encode_down_notice;
use super::Membership;
use crate::event::Event;
use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;

/// Whether this process is a member, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MembershipStatus {
    /// It is.
    Member,
    /// Others have declared it down; it joins again under a new incarnation.
    DeclaredDown,
    /// Another process has its name and takes precedence; it stays out until that one is down.
    Superseded,
}

impl MembershipStatus {
    /// Notes that others have declared this process down. One that is superseded will rejoin in
    /// any case once it no longer is.
    pub(super) fn declare_down(&mut self) {
        if *self == Self::Member {
            *self = Self::DeclaredDown;
        }
    }
}

impl Membership {
    /// Notifies the sender of the last datagram if it is down as far as this process knows.
    ///
    /// Where more processes are down than are members, this process rather was cut off itself: it
    /// starts over, so that the smaller side of a partition rejoins, and not the larger one.
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

    /// Forgets all other processes, and joins again under a new incarnation.
    fn reset_and_rejoin(&mut self, now: Micros) {
        self.swim.reset();
        self.timers.clear();
        self.report_changes();
        let highest_seen = self.swim.shared.borrow().highest_seen;
        self.advance_incarnation(now, highest_seen);
    }

    /// Checks who has the name of this process, and joins again if others declared it down or have
    /// seen an incarnation that the disk did not know of.
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

    /// The member that has the name of this process and takes precedence over it.
    fn find_name_holder(&self) -> Option<Identity> {
        let own = self.identity();
        self.swim
            .members()
            .filter(|identity| identity.name == own.name)
            .filter(|identity| identity.precedence() > own.precedence())
            .max_by_key(|identity| identity.precedence())
            .cloned()
    }

    /// Stays out while another process has the name.
    fn mark_superseded(&mut self, holder: Identity) {
        if self.status == MembershipStatus::Superseded {
            return;
        }
        self.status = MembershipStatus::Superseded;
        // Once the holder is down, this process joins again with precedence over it.
        let mut shared = self.swim.shared.borrow_mut();
        shared.highest_seen = shared.highest_seen.max(holder.incarnation);
        drop(shared);
        self.events.push_back(Event::Superseded(holder));
    }

    /// Joins again under the lowest unused incarnation above `highest_seen`.
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
