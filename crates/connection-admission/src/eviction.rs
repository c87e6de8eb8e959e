//! Eviction: selects the connection that loses its slot to a new one when no slot is free.
//!
//! A connection with a pending request is never evicted. Unknown clients share the slots fairly:
//! the prefix with the most slots loses one to a prefix with fewer, and within a prefix the same
//! holds for addresses. A connection that has not sent a complete message yet is called *silent*.

use crate::address_prefix::AddressPrefix;
use crate::connection_table::{ConnectionTable, SlotUsage};
use crate::decision::{ConnectionId, TrustLevel};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::IpAddr;

/// Time from the admission of a connection until it may be evicted for being silent: its first
/// message may still be in transit.
pub const FIRST_MESSAGE_GRACE_PERIOD: Micros = 50_000;

/// A new connection that needs a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewConnection {
    pub(crate) arrived_at: Micros,
    pub(crate) address: IpAddr,
    pub(crate) prefix: AddressPrefix,
    pub(crate) trust_level: TrustLevel,
}

impl ConnectionTable {
    /// Returns the connection to evict for a new one, if any. `is_idle` returns whether a
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

    /// Returns the victim for a known client: the longest silent unknown client, else an idle
    /// unknown one, else the longest silent client of at most the same trust level. Without the
    /// last rule an allowlisted client with many silent connections would block the other known
    /// clients.
    fn victim_for_known(
        &self,
        new: &NewConnection,
        is_idle: &impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        self.longest_silent_after_grace_period(new.arrived_at, TrustLevel::Unknown)
            .or_else(|| {
                self.prefixes_with_more_slots(0)
                    .find_map(|prefix| self.victim_in_prefix(prefix, 0, is_idle))
            })
            .or_else(|| {
                self.longest_silent_after_grace_period(new.arrived_at, TrustLevel::Reputable)
            })
            .or_else(|| {
                self.longest_silent_after_grace_period(new.arrived_at, TrustLevel::Allowlisted)
                    .filter(|_| new.trust_level == TrustLevel::Allowlisted)
            })
    }

    /// Returns the victim for an unknown client: a connection of a prefix, or of an address in the
    /// same prefix, that holds no fewer slots than the new client's after the eviction, else the
    /// longest silent connection of an unknown client.
    fn victim_for_unknown(
        &self,
        new: &NewConnection,
        is_idle: &impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let SlotUsage {
            address_slots,
            prefix_slots,
        } = self.slot_usage(new.address, new.prefix);
        // If all connections of the largest prefix have pending requests, the next one is tried.
        self.prefixes_with_more_slots(prefix_slots + 1)
            .filter(|_| !is_bug_injected(InjectedBug::PrefixQuotaStuck))
            .find_map(|prefix| self.victim_in_prefix(prefix, 0, is_idle))
            .or_else(|| self.victim_in_prefix(new.prefix, address_slots + 1, is_idle))
            .or_else(|| self.longest_silent_after_grace_period(new.arrived_at, TrustLevel::Unknown))
    }

    /// Returns the longest silent connection of a trust level, if its grace period has passed.
    fn longest_silent_after_grace_period(
        &self,
        now: Micros,
        trust_level: TrustLevel,
    ) -> Option<ConnectionId> {
        self.longest_silent(trust_level, |admitted_at| {
            now >= admitted_at + FIRST_MESSAGE_GRACE_PERIOD
        })
    }

    /// Returns the victim within a prefix: a silent connection of the address with the most slots,
    /// else an idle one. Considers only addresses with more than `slots` slots.
    fn victim_in_prefix(
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
