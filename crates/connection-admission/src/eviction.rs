//! Eviction: which connection gives its slot to a new one when all slots are held.
//!
//! A connection with a pending request is never evicted. Unknown clients share the slots fairly: the
//! prefix that holds the most gives to one that holds less, and within a prefix the address.

use crate::address_prefix::AddressPrefix;
use crate::connection_table::{ConnectionTable, SlotUsage};
use crate::decision::{ConnectionId, TrustLevel};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::IpAddr;

/// A silent connection admitted less than this ago is not evicted for its silence: its first
/// message may be on its way.
pub const FIRST_MESSAGE_GRACE_PERIOD: Micros = 50_000;

/// A connection that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewConnection {
    pub(crate) arrived_at: Micros,
    pub(crate) address: IpAddr,
    pub(crate) prefix: AddressPrefix,
    pub(crate) trust_level: TrustLevel,
}

impl ConnectionTable {
    /// Returns the connection whose slot goes to a new one, if any; `is_idle` tells whether a
    /// connection has no pending request.
    pub(crate) fn select_victim(
        &self,
        new: &NewConnection,
        is_idle: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        if new.trust_level == TrustLevel::Unknown {
            self.victim_for_unknown(new, &is_idle)
        } else if is_bug_injected(InjectedBug::UnknownAddressKept) {
            None
        } else {
            self.victim_for_known(new, &is_idle)
        }
    }

    /// A known client gets the slot of an unknown one: of the one silent for longest, else of an
    /// idle one. Where no unknown one can be evicted, it gets that of a client known no better that
    /// has been silent for long; otherwise a named client with many silent connections would keep
    /// the others out.
    fn victim_for_known(
        &self,
        new: &NewConnection,
        is_idle: &impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        self.silent_too_long(new.arrived_at, TrustLevel::Unknown)
            .or_else(|| {
                self.prefixes_with_more_slots(0)
                    .find_map(|prefix| self.cheapest_in_prefix(prefix, 0, is_idle))
            })
            .or_else(|| self.silent_too_long(new.arrived_at, TrustLevel::Reputable))
            .or_else(|| {
                self.silent_too_long(new.arrived_at, TrustLevel::Allowlisted)
                    .filter(|_| new.trust_level == TrustLevel::Allowlisted)
            })
    }

    /// An unknown client gets a slot of a prefix, or within its own prefix of an address, that
    /// would still hold no less than its own; where none holds that much, the slot of the client
    /// silent for longest.
    fn victim_for_unknown(
        &self,
        new: &NewConnection,
        is_idle: &impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let SlotUsage {
            address_slots,
            prefix_slots,
        } = self.slot_usage(new.address, new.prefix);
        // Where all connections of the greatest prefix owe responses, the next one gives.
        self.prefixes_with_more_slots(prefix_slots + 1)
            .filter(|_| !is_bug_injected(InjectedBug::PrefixQuotaStuck))
            .find_map(|prefix| self.cheapest_in_prefix(prefix, 0, is_idle))
            .or_else(|| self.cheapest_in_prefix(new.prefix, address_slots + 1, is_idle))
            .or_else(|| self.silent_too_long(new.arrived_at, TrustLevel::Unknown))
    }

    /// Returns the connection silent for longest among those known in this way, unless it was
    /// admitted just now.
    fn silent_too_long(&self, now: Micros, trust_level: TrustLevel) -> Option<ConnectionId> {
        self.longest_silent(trust_level, |admitted_at| {
            now >= admitted_at + FIRST_MESSAGE_GRACE_PERIOD
        })
    }

    /// Returns the connection of a prefix that costs least to evict: of the address with the most
    /// slots one that is silent, else one that is idle. Only addresses with more than `slots` slots
    /// give one.
    fn cheapest_in_prefix(
        &self,
        prefix: AddressPrefix,
        slots: usize,
        is_idle: &impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let addresses = self.addresses_by_slots(prefix);
        addresses
            .into_iter()
            .take_while(|ids| ids.len() > slots)
            .find_map(|ids| {
                let silent = ids.iter().find(|id| self.is_silent(**id));
                silent
                    .or_else(|| ids.iter().find(|id| is_idle(**id)))
                    .copied()
            })
    }
}
