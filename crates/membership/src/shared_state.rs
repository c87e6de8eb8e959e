//! State shared by the state machine and the hooks that the SWIM library calls while it decodes a
//! datagram.

use crate::identity::Identity;
use crate::shared_metrics::SharedMetrics;
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What the hooks read and note.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// The time of the current call.
    pub(crate) now: Micros,
    /// The identity of this process.
    pub(crate) own_identity: Identity,
    /// The highest former incarnation of this process that others have seen.
    pub(crate) highest_seen: u64,
    /// Sender of the datagram that is being handled.
    pub(crate) sender: Option<Identity>,
    pub(crate) metrics: SharedMetrics,
    pub(crate) capacity: MemberCapacity,
}

/// The limit on the number of known processes.
#[derive(Debug)]
pub(crate) struct MemberCapacity {
    limit: usize,
    /// Addresses of processes that are members or were until lately.
    addresses: BTreeSet<SocketAddr>,
    /// Members that were rejected.
    rejected: u64,
}

impl SharedState {
    /// The state of a process that knows no other.
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

    /// Notes the incarnation where this is a former identity of this process: the same name at the
    /// same address. The same name at another address may be another process.
    pub(crate) fn note_former_identity(&mut self, identity: &Identity) {
        let own = &self.own_identity;
        if identity != own && identity.name == own.name && identity.address == own.address {
            self.highest_seen = self.highest_seen.max(identity.incarnation);
        }
    }

    /// Whether a member that a datagram names is known or may be added; counts it as rejected if
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

    /// Notes a process that became a member.
    pub(crate) fn add(&mut self, address: SocketAddr) {
        self.addresses.insert(address);
    }

    /// Whether no further process may be added.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.addresses.len() >= self.limit
    }

    /// Keeps only these addresses.
    pub(crate) fn reset(&mut self, addresses: BTreeSet<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Members that were rejected.
    pub(crate) fn rejected(&self) -> u64 {
        self.rejected
    }
}
