//! The state machine: what the caller calls, and the order of what a poll does.

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

/// Probe intervals between two attempts to reach contacts that are not members.
const CONTACT_PROBES: Micros = 2;

/// The members of the cluster, as far as this process knows.
pub struct Membership {
    swim: Swim,
    keys: KeyRing,
    incarnations: Incarnations,
    contacts: Contacts,
    timers: TimerQueue,
    /// Datagrams that the caller has not taken yet, by destination.
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    /// Events that the caller has not taken yet.
    events: VecDeque<Event>,
    /// The members that events have reported, by address.
    reported_members: BTreeMap<SocketAddr, Identity>,
    own_metrics: OwnMetrics,
    status: MembershipStatus,
    /// Whether this process has left for good.
    has_left: bool,
    rejected_datagrams: u64,
}

/// The processes that this one joins by.
#[derive(Default)]
struct Contacts {
    addresses: Vec<SocketAddr>,
    /// When those that are not members are contacted again.
    next_attempt: Micros,
}

/// What was rejected since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rejections {
    /// Datagrams that were not authentic, or of an unknown kind.
    pub datagrams: u64,
    /// Members beyond the limit of the settings.
    pub members: u64,
}

impl Membership {
    /// A process that has just started. Its incarnation is the current one of `incarnations`, and
    /// that of `identity` is ignored.
    ///
    /// `seed` seeds the random order of probes and gossip.
    ///
    /// # Errors
    /// The first setting that is invalid.
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

    /// Sets the processes to join by. Each is contacted again and again until it is a member.
    pub fn join(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = Contacts {
            addresses: contacts,
            next_attempt: 0,
        };
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// The current identity of this process.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        self.swim.foca.identity()
    }

    /// Handles a datagram that was received.
    ///
    /// # Errors
    /// When the datagram is not authentic; it has changed nothing then.
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
        // A message that can't be decoded or has no use, such as an own one that was sent back,
        // changes nothing.
        let _ = self.swim.foca.handle_data(message, &mut effects);
        self.apply(now, effects);
        self.notify_sender_if_down(now);
    }

    /// Does all that is due: probes, suspicions that time out, gossip, contacts and renewals.
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

    /// The time at which [`poll`](Self::poll) next has something to do.
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

    /// Leaves the cluster: tells other members that this process is down, and joins no more.
    pub fn leave(&mut self, now: Micros) {
        let mut effects = Effects::default();
        // It fails only where the identity does not fit a datagram, and other members then find
        // out by their probes.
        let _ = self.swim.foca.leave_cluster(&mut effects);
        self.has_left = true;
        self.apply(now, effects);
    }

    /// Takes the datagrams to send, each with its destination.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The other members by name; of two with one name the one that takes precedence.
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

    /// The metrics that members have published, this process included.
    #[must_use]
    pub fn shared_metrics(&self) -> Ref<'_, SharedMetrics> {
        Ref::map(self.swim.shared.borrow(), |shared| &shared.metrics)
    }

    /// Whether this process is a member, as far as it knows.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.status == MembershipStatus::Member && !self.has_left
    }

    /// What was rejected since the start.
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
            // It fails for a timer of a state that has passed, which needs nothing more.
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
            // One that fails is tried again at the next attempt.
            let _ = self.swim.foca.announce(contact, &mut effects);
            self.apply(now, effects);
        }
    }

    /// Drops metrics that have expired, and publishes the own ones again.
    fn renew_metrics(&mut self, now: Micros) {
        let lifetime = self.swim.settings.metric_lifetime;
        self.swim.shared.borrow_mut().metrics.expire(now, lifetime);
        for kind in self.own_metrics.kinds() {
            self.broadcast_metric(now, kind);
        }
    }

    /// Hands the metric of a kind to the library under its next version.
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
            // The handler of broadcasts merges the metric here too, and drops it, as other
            // processes would, where its value is too long.
            let _ = self.swim.foca.add_broadcast(&bytes);
        }
    }
}
