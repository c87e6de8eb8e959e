//! The state machine of a process's membership in the cluster.

mod changes;
mod effects;
mod own_metrics;
mod payload;
mod rejoin;
mod swim;
mod timers;

use crate::authentication::{AuthenticationError, KeyRing};
use crate::event::{Event, Member};
use crate::identity::{Identity, Label};
use crate::incarnation::Incarnations;
use crate::settings::{InvalidSetting, Settings};
use crate::shared_metrics::{MetricKind, SharedMetrics, RENEWAL_INTERVAL};
use cleatpulley_policy::interface::Micros;
use effects::Effects;
use foca::State;
use own_metrics::OwnMetrics;
use payload::Payload;
use rejoin::MembershipStatus;
use std::cell::Ref;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use swim::Swim;
use timers::TimerQueue;

/// Probe intervals between two announcements to contacts that are not members.
const CONTACT_PROBES: Micros = 2;

/// The state machine of a process's membership, and the other members as seen by this process.
pub struct Membership {
    swim: Swim,
    keys: KeyRing,
    incarnations: Incarnations,
    contacts: Contacts,
    timers: TimerQueue,
    /// Datagrams that the caller has not taken yet, each with its destination.
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    /// Events that the caller has not taken yet.
    events: VecDeque<Event>,
    /// Members that were last reported by events, by address.
    reported_members: BTreeMap<SocketAddr, Identity>,
    own_metrics: OwnMetrics,
    status: MembershipStatus,
    /// Whether this process has left for good.
    has_left: bool,
    rejected_datagrams: u64,
}

/// The processes through which this one joins the cluster.
#[derive(Default)]
struct Contacts {
    addresses: Vec<SocketAddr>,
    /// When this process is announced again to contacts that are not members.
    next_attempt: Micros,
}

/// Numbers of rejected datagrams and members since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rejections {
    /// Datagrams that were not authentic or had an unknown kind.
    pub datagrams: u64,
    /// Members beyond [`Settings::max_members`].
    pub members: u64,
}

impl Membership {
    /// Creates the membership of a process that has just started. Its incarnation is the current
    /// one of `incarnations`; the incarnation in `identity` is ignored.
    ///
    /// `seed` seeds the random order of probes and gossip.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn new(
        identity: Identity,
        incarnations: Incarnations,
        settings: Settings,
        keys: KeyRing,
        seed: u64,
    ) -> Result<Self, InvalidSetting> {
        settings.check()?;
        let identity = Identity {
            incarnation: incarnations.current(),
            ..identity
        };
        Ok(Self {
            swim: Swim::new(identity, settings, seed),
            keys,
            incarnations,
            contacts: Contacts::default(),
            timers: TimerQueue::default(),
            outgoing: Vec::new(),
            events: VecDeque::new(),
            reported_members: BTreeMap::new(),
            own_metrics: OwnMetrics::default(),
            status: MembershipStatus::Member,
            has_left: false,
            rejected_datagrams: 0,
        })
    }

    /// Sets the processes through which this one joins the cluster. This process is announced to
    /// each of them repeatedly until it is a member.
    pub fn join(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = Contacts {
            addresses: contacts,
            next_attempt: 0,
        };
    }

    /// Replaces the keys that authenticate datagrams.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Returns the current identity of this process.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        self.swim.foca.identity()
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    /// If the datagram is not authentic; it is ignored then.
    pub fn handle_datagram(
        &mut self,
        now: Micros,
        datagram: &[u8],
    ) -> Result<(), AuthenticationError> {
        self.swim.shared.borrow_mut().now = now;
        let payload = self
            .keys
            .verify(datagram)
            .inspect_err(|_| self.rejected_datagrams += 1)?;
        match Payload::decode(payload) {
            Some(Payload::Gossip(message)) => self.handle_gossip(now, message),
            Some(Payload::DownNotice(identity)) => {
                if identity.as_ref() == Some(self.identity()) {
                    self.status.declare_down();
                }
            }
            None => self.rejected_datagrams += 1,
        }
        Ok(())
    }

    fn handle_gossip(&mut self, now: Micros, message: &[u8]) {
        self.swim.shared.borrow_mut().sender = None;
        let mut effects = Effects::default();
        // The library ignores a message that it rejects, for example because it can't be decoded or
        // was sent by this process itself.
        let _ = self.swim.foca.handle_data(message, &mut effects);
        self.apply(now, effects);
        self.notify_sender_if_down(now);
    }

    /// Does everything that is due: probes, suspicion timeouts, gossip, announcements to contacts
    /// and renewals of metrics.
    pub fn poll(&mut self, now: Micros) {
        self.swim.shared.borrow_mut().now = now;
        self.timers.postpone_after_pause(now);
        self.run_timers(now);
        self.update_status(now);
        if now >= self.contacts.next_attempt && !self.has_left {
            self.contacts.next_attempt = now + CONTACT_PROBES * self.swim.settings.probe_interval;
            self.announce_to_contacts(now);
        }
        if now >= self.own_metrics.next_renewal {
            self.own_metrics.next_renewal = now + RENEWAL_INTERVAL;
            self.renew_metrics(now);
        }
    }

    /// Returns the next deadline, at which [`poll`](Self::poll) has to be called.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        self.timers
            .next_deadline()
            .unwrap_or(Micros::MAX)
            .min(self.contacts.next_attempt)
            .min(self.own_metrics.next_renewal)
    }

    /// Publishes a value about this process to the other members.
    pub fn publish(&mut self, now: Micros, kind: MetricKind, value: Vec<u8>) {
        self.own_metrics.set(kind, value);
        self.broadcast_metric(now, kind);
    }

    /// Leaves the cluster for good, and announces that to other members.
    pub fn leave(&mut self, now: Micros) {
        let mut effects = Effects::default();
        // Fails only if the identity does not fit into a datagram; other members then detect the
        // departure by their probes.
        let _ = self.swim.foca.leave_cluster(&mut effects);
        self.has_left = true;
        self.apply(now, effects);
    }

    /// Removes and returns the datagrams to send, each with its destination.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Removes and returns the next event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the other members by name. Of two members with the same name, only the one that
    /// takes precedence is included.
    #[must_use]
    pub fn members(&self) -> BTreeMap<Label, Member> {
        let mut members: BTreeMap<Label, Member> = BTreeMap::new();
        for member in self.swim.foca.iter_members() {
            let identity = member.id();
            if identity.name == self.identity().name {
                continue;
            }
            let takes_precedence = members
                .get(&identity.name)
                .is_none_or(|known| known.identity.precedence() < identity.precedence());
            if takes_precedence {
                let member = Member {
                    identity: identity.clone(),
                    is_suspected: member.state() == State::Suspect,
                };
                members.insert(identity.name.clone(), member);
            }
        }
        members
    }

    /// Returns the metrics published by all members, including this process.
    #[must_use]
    pub fn shared_metrics(&self) -> Ref<'_, SharedMetrics> {
        Ref::map(self.swim.shared.borrow(), |shared| &shared.metrics)
    }

    /// Returns whether this process is a member, as far as it knows.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.status == MembershipStatus::Member && !self.has_left
    }

    /// Returns the numbers of rejected datagrams and members since the start.
    #[must_use]
    pub fn rejections(&self) -> Rejections {
        Rejections {
            datagrams: self.rejected_datagrams,
            members: self.swim.shared.borrow().capacity.rejected(),
        }
    }

    fn run_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_expired(now) {
            let mut effects = Effects::default();
            // Fails only for a timer of an outdated state, which can be ignored.
            let _ = self.swim.foca.handle_timer(timer, &mut effects);
            self.apply(now, effects);
        }
    }

    /// Announces this process to the contacts that are not members.
    fn announce_to_contacts(&mut self, now: Micros) {
        let own_address = self.identity().address;
        let members: BTreeSet<SocketAddr> = self
            .swim
            .members()
            .map(|identity| identity.address)
            .collect();
        for address in self.contacts.addresses.clone() {
            if address == own_address || members.contains(&address) {
                continue;
            }
            let contact = self.swim.identity_of_contact(address);
            let mut effects = Effects::default();
            // A failed announcement is retried at the next attempt.
            let _ = self.swim.foca.announce(contact, &mut effects);
            self.apply(now, effects);
        }
    }

    /// Drops expired metrics, and publishes the metrics of this process again.
    fn renew_metrics(&mut self, now: Micros) {
        let lifetime = self.swim.settings.metric_lifetime;
        self.swim.shared.borrow_mut().metrics.expire(now, lifetime);
        for kind in self.own_metrics.kinds() {
            self.broadcast_metric(now, kind);
        }
    }

    /// Passes the metric of a kind to the library under its next version.
    fn broadcast_metric(&mut self, now: Micros, kind: MetricKind) {
        let owner = self.swim.foca.identity();
        let Some(metric) = self.own_metrics.next_version(owner, kind) else {
            return;
        };
        {
            let mut shared = self.swim.shared.borrow_mut();
            shared.now = now;
            shared.metrics.set_alive(owner);
        }
        if let Ok(bytes) = postcard::to_allocvec(&metric) {
            // The broadcast handler also merges the metric here, or drops it if its value is too
            // long, as other processes would.
            let _ = self.swim.foca.add_broadcast(&bytes);
        }
    }
}
