//! The connections that hold a slot, and the number of slots per prefix and address of unknown
//! clients.

use crate::address_prefix::AddressPrefix;
use crate::decision::{ConnectionId, TrustLevel};
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A connection that holds a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Connection {
    pub(crate) address: IpAddr,
    pub(crate) prefix: AddressPrefix,
    pub(crate) trust_level: TrustLevel,
    admitted_at: Micros,
    /// Whether it has sent a complete message.
    has_sent_message: bool,
}

/// The connections of unknown clients in one prefix.
#[derive(Debug, Default)]
struct PrefixGroup {
    /// Number of slots held by these connections.
    slots: usize,
    connections: BTreeMap<IpAddr, BTreeSet<ConnectionId>>,
}

/// A prefix with the number of slots held by its unknown clients, ordered by that number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PrefixBySlots {
    slots: usize,
    prefix: AddressPrefix,
}

/// A connection that has not sent a complete message yet, ordered by trust level and admission
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SilentConnection {
    trust_level: TrustLevel,
    admitted_at: Micros,
    id: ConnectionId,
}

/// Number of slots held by the unknown clients of an address and of its prefix.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SlotUsage {
    pub(crate) address_slots: usize,
    pub(crate) prefix_slots: usize,
}

/// All connections that hold a slot.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: HashMap<ConnectionId, Connection>,
    groups: HashMap<AddressPrefix, PrefixGroup>,
    prefixes_by_slots: BTreeSet<PrefixBySlots>,
    silent: BTreeSet<SilentConnection>,
    allowlisted_count: usize,
    reputable_count: usize,
}

impl ConnectionTable {
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// Returns the number of connections of allowlisted clients.
    pub(crate) fn allowlisted_count(&self) -> usize {
        self.allowlisted_count
    }

    /// Returns the number of connections of clients with reputation.
    pub(crate) fn reputable_count(&self) -> usize {
        self.reputable_count
    }

    pub(crate) fn slot_usage(&self, address: IpAddr, prefix: AddressPrefix) -> SlotUsage {
        let Some(group) = self.groups.get(&prefix) else {
            return SlotUsage::default();
        };
        let ids = group.connections.get(&address);
        SlotUsage {
            address_slots: ids.map_or(0, BTreeSet::len),
            prefix_slots: group.slots,
        }
    }

    /// Returns the prefixes whose unknown clients hold more than `slots` slots, the one with the
    /// most slots first.
    pub(crate) fn prefixes_with_more_slots(
        &self,
        slots: usize,
    ) -> impl Iterator<Item = AddressPrefix> + '_ {
        self.prefixes_by_slots
            .iter()
            .rev()
            .take_while(move |entry| entry.slots > slots)
            .map(|entry| entry.prefix)
    }

    /// Returns the connections of unknown clients in a prefix, grouped by address, the address with
    /// the most connections first.
    pub(crate) fn addresses_by_slots(&self, prefix: AddressPrefix) -> Vec<&BTreeSet<ConnectionId>> {
        let Some(group) = self.groups.get(&prefix) else {
            return Vec::new();
        };
        let mut addresses: Vec<_> = group.connections.values().collect();
        addresses.sort_by_key(|ids| std::cmp::Reverse(ids.len()));
        addresses
    }

    /// Returns whether a connection holds a slot but has not sent a complete message yet.
    pub(crate) fn is_silent(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| !connection.has_sent_message)
    }

    /// Returns the silent connection of a trust level that was admitted first, if its admission
    /// time satisfies `is_old_enough`.
    pub(crate) fn longest_silent(
        &self,
        trust_level: TrustLevel,
        is_old_enough: impl FnOnce(Micros) -> bool,
    ) -> Option<ConnectionId> {
        let lower_bound = SilentConnection {
            trust_level,
            admitted_at: 0,
            id: 0,
        };
        let oldest = self.silent.range(lower_bound..).next()?;
        let is_match = oldest.trust_level == trust_level && is_old_enough(oldest.admitted_at);
        is_match.then_some(oldest.id)
    }

    pub(crate) fn insert(
        &mut self,
        now: Micros,
        id: ConnectionId,
        address: IpAddr,
        prefix: AddressPrefix,
        trust_level: TrustLevel,
    ) {
        let connection = Connection {
            address,
            prefix,
            trust_level,
            admitted_at: now,
            has_sent_message: false,
        };
        if self.connections.insert(id, connection).is_some() {
            return;
        }
        self.silent.insert(SilentConnection {
            trust_level,
            admitted_at: now,
            id,
        });
        match trust_level {
            TrustLevel::Allowlisted => self.allowlisted_count += 1,
            TrustLevel::Reputable => self.reputable_count += 1,
            TrustLevel::Unknown => self.insert_into_group(id, address, prefix),
        }
    }

    fn insert_into_group(&mut self, id: ConnectionId, address: IpAddr, prefix: AddressPrefix) {
        let group = self.groups.entry(prefix).or_default();
        self.prefixes_by_slots.remove(&PrefixBySlots {
            slots: group.slots,
            prefix,
        });
        group.slots += 1;
        group.connections.entry(address).or_default().insert(id);
        self.prefixes_by_slots.insert(PrefixBySlots {
            slots: group.slots,
            prefix,
        });
    }

    /// Records that a connection has sent its first complete message.
    pub(crate) fn mark_message_sent(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.has_sent_message {
            return;
        }
        connection.has_sent_message = true;
        self.silent.remove(&SilentConnection {
            trust_level: connection.trust_level,
            admitted_at: connection.admitted_at,
            id,
        });
    }

    /// Raises the trust level of a connection to allowlisted.
    pub(crate) fn set_allowlisted(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id).copied() else {
            return;
        };
        if connection.trust_level == TrustLevel::Allowlisted {
            return;
        }
        self.remove(id);
        self.insert(
            connection.admitted_at,
            id,
            connection.address,
            connection.prefix,
            TrustLevel::Allowlisted,
        );
        if connection.has_sent_message {
            self.mark_message_sent(id);
        }
    }

    /// Frees the slot of a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.silent.remove(&SilentConnection {
            trust_level: connection.trust_level,
            admitted_at: connection.admitted_at,
            id,
        });
        match connection.trust_level {
            TrustLevel::Allowlisted => self.allowlisted_count -= 1,
            TrustLevel::Reputable => self.reputable_count -= 1,
            TrustLevel::Unknown => {
                self.remove_from_group(id, connection.address, connection.prefix);
            }
        }
    }

    fn remove_from_group(&mut self, id: ConnectionId, address: IpAddr, prefix: AddressPrefix) {
        let Some(group) = self.groups.get_mut(&prefix) else {
            return;
        };
        self.prefixes_by_slots.remove(&PrefixBySlots {
            slots: group.slots,
            prefix,
        });
        group.slots -= 1;
        if let Some(ids) = group.connections.get_mut(&address) {
            ids.remove(&id);
            if ids.is_empty() {
                group.connections.remove(&address);
            }
        }
        if group.slots == 0 {
            self.groups.remove(&prefix);
        } else {
            self.prefixes_by_slots.insert(PrefixBySlots {
                slots: group.slots,
                prefix,
            });
        }
    }
}
