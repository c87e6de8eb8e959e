//! State shared by the state machine and the hooks that the SWIM library calls while it handles a
//! datagram.

use crate::identity::Identity;
use crate::shared_metrics::SharedMetrics;
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// State that the hooks read and update.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// The time of the current call.
    pub(crate) now: Micros,
    /// The identity of this process.
    pub(crate) own_identity: Identity,
    /// The highest former incarnation of this process that other processes have seen.
    pub(crate) highest_seen: u64,
    /// Sender of the current datagram.
    pub(crate) sender: Option<Identity>,
    pub(crate) metrics: SharedMetrics,
    pub(crate) capacity: MemberCapacity,
}

/// The limit on the number of known processes.
#[derive(Debug)]
pub(crate) struct MemberCapacity {
    limit: usize,
    /// Addresses of members, and of former members that are still remembered.
    addresses: BTreeSet<SocketAddr>,
    /// Number of times that a member was rejected.
    rejected: u64,
}

impl SharedState {
    /// Creates the state of a process that knows no other processes.
    pub(crate) fn new(own_identity: Identity, member_limit: usize) -> Self {
        Self {
            now: 0,
            own_identity,
            highest_seen: 0,
            sender: None,
            metrics: SharedMetrics::default(),
            capacity: MemberCapacity {
                limit: member_limit,
                addresses: BTreeSet::new(),
                rejected: 0,
            },
        }
    }

    /// Notes the incarnation of an identity if it is a former one of this process: the same name at
    /// the same address. The same name at another address may be another process.
    pub(crate) fn note_former_identity(&mut self, identity: &Identity) {
        let own = &self.own_identity;
        if identity != own && identity.name == own.name && identity.address == own.address {
            self.highest_seen = self.highest_seen.max(identity.incarnation);
        }
    }

    /// Returns whether a member in a datagram is known or may be added. Counts it as rejected if
    /// not.
    pub(crate) fn admit(&mut self, member: &Identity) -> bool {
        self.note_former_identity(member);
        self.capacity.admit(member.address)
    }
}

impl MemberCapacity {
    fn admit(&mut self, address: SocketAddr) -> bool {
        if self.addresses.contains(&address) || !self.is_exhausted() {
            return true;
        }
        self.rejected += 1;
        false
    }

    /// Adds the address of a process that became a member.
    pub(crate) fn add(&mut self, address: SocketAddr) {
        self.addresses.insert(address);
    }

    /// Returns whether no further process may be added.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.addresses.len() >= self.limit
    }

    /// Replaces the known addresses.
    pub(crate) fn reset(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Returns the number of times that a member was rejected.
    pub(crate) fn rejected(&self) -> u64 {
        self.rejected
    }
}
