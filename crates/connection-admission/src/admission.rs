//! Decisions on new connections.

use crate::address_prefix::AddressPrefix;
use crate::connection_rates::ConnectionRates;
use crate::connection_table::ConnectionTable;
use crate::decision::{ConnectionId, Counters, Decision, RejectReason, TrustLevel};
use crate::eviction::NewConnection;
use crate::reputation::ReputationTable;
use crate::reputation_database::StoredReputation;
use crate::settings::Settings;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::IpAddr;

pub use crate::eviction::FIRST_MESSAGE_GRACE_PERIOD;

/// Decides which connections of a process get a slot. Owns the connection table, the rate limits on
/// new connections and the reputation table.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    rates: ConnectionRates,
    reputation: Option<ReputationTable>,
    connections: ConnectionTable,
    /// Counters of the decisions.
    pub counters: Counters,
}

impl Admission {
    /// Creates an instance without connections and without reputation.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        Self {
            rates: ConnectionRates::new(&settings, now),
            reputation: settings
                .reputation
                .map(|reputation| ReputationTable::new(reputation, settings.seed)),
            connections: ConnectionTable::default(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Returns the prefix by which an address is grouped.
    #[must_use]
    pub fn prefix_of(&self, address: IpAddr) -> AddressPrefix {
        let lengths = self.settings.prefix_lengths;
        lengths.prefix_of(address.to_canonical())
    }

    /// Returns the current trust level of the client at an address.
    #[must_use]
    pub fn trust_level(&self, now: Micros, address: IpAddr) -> TrustLevel {
        let allowlist = &self.settings.allowlist;
        if allowlist.iter().any(|prefix| prefix.contains(address)) {
            return TrustLevel::Allowlisted;
        }
        match &self.reputation {
            Some(reputation) if reputation.is_known(now, address.to_canonical()) => {
                TrustLevel::Reputable
            }
            _ => TrustLevel::Unknown,
        }
    }

    /// Returns the reputation table; `None` if addresses don't gain reputation.
    #[must_use]
    pub fn reputation(&self) -> Option<&ReputationTable> {
        self.reputation.as_ref()
    }

    /// Returns the number of connections that hold a slot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection holds a slot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory used by the rate limits on new connections, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.rates.memory_bytes()
    }

    /// Decides on a new connection from an address, given `max_slots` slots. `is_idle` returns
    /// whether a connection has no pending response. An admitted connection holds its slot once
    /// [`on_admitted`](Self::on_admitted) is called.
    pub fn decide(
        &mut self,
        now: Micros,
        address: IpAddr,
        max_slots: usize,
        is_idle: impl Fn(ConnectionId) -> bool,
    ) -> Decision {
        let address = address.to_canonical();
        let new = NewConnection {
            arrived_at: now,
            address,
            prefix: self.prefix_of(address),
            trust_level: self.trust_level(now, address),
        };
        let decision = self.decide_on(&new, max_slots, is_idle);
        self.counters.record(decision);
        decision
    }

    fn decide_on(
        &mut self,
        new: &NewConnection,
        max_slots: usize,
        is_idle: impl Fn(ConnectionId) -> bool,
    ) -> Decision {
        if new.trust_level != TrustLevel::Allowlisted {
            if let Err(reason) = self.check_limits(new) {
                return Decision::Reject(reason);
            }
        }
        if self.has_free_slot(new.trust_level, max_slots) {
            return Decision::Admit(new.trust_level);
        }
        match self.connections.select_victim(new, is_idle) {
            Some(victim) => Decision::EvictAndAdmit {
                victim,
                trust_level: new.trust_level,
            },
            None => Decision::Reject(RejectReason::Full),
        }
    }

    /// Checks the configured limits, which apply even while slots are free.
    fn check_limits(&mut self, new: &NewConnection) -> Result<(), RejectReason> {
        self.check_slot_limits(new)?;
        self.rates
            .try_acquire(new.arrived_at, new.address, new.prefix)
    }

    fn check_slot_limits(&self, new: &NewConnection) -> Result<(), RejectReason> {
        let max_address_slots = self.settings.address_limits.slots;
        let max_prefix_slots = self.settings.prefix_limits.slots;
        // Saves the lookup in the common case.
        if max_address_slots.is_none() && max_prefix_slots.is_none() {
            return Ok(());
        }
        let usage = self.connections.slot_usage(new.address, new.prefix);
        if max_address_slots.is_some_and(|max| usage.address_slots >= max) {
            return Err(RejectReason::AddressSlots);
        }
        if max_prefix_slots.is_some_and(|max| usage.prefix_slots >= max) {
            return Err(RejectReason::PrefixSlots);
        }
        Ok(())
    }

    /// Returns whether a slot is free that is not reserved for clients of a higher trust level.
    fn has_free_slot(&self, trust_level: TrustLevel, max_slots: usize) -> bool {
        let reserve_share = self.settings.reserved_share.clamp(0.0, 1.0);
        let reserve = (reserve_share * max_slots as f64) as usize;
        let reputation_reserve = reserve / 2;
        let allowlist_reserve = reserve - reputation_reserve;
        let free_for_allowlisted =
            allowlist_reserve.saturating_sub(self.connections.allowlisted_count());
        let free_for_reputable =
            reputation_reserve.saturating_sub(self.connections.reputable_count());
        let reserved_for_others = match trust_level {
            TrustLevel::Allowlisted => 0,
            TrustLevel::Reputable => free_for_allowlisted,
            TrustLevel::Unknown => free_for_allowlisted + free_for_reputable,
        };
        self.connections.len() + reserved_for_others < max_slots
    }

    /// Gives an admitted connection its slot.
    pub fn on_admitted(
        &mut self,
        now: Micros,
        id: ConnectionId,
        address: IpAddr,
        trust_level: TrustLevel,
    ) {
        let address = address.to_canonical();
        let prefix = self.prefix_of(address);
        self.connections
            .insert(now, id, address, prefix, trust_level);
    }

    /// Handles the first complete message of a connection.
    pub fn on_first_message(&mut self, id: ConnectionId) {
        self.connections.mark_message_sent(id);
    }

    /// Credits the reputation of a connection's client for a complete request that was served.
    pub fn on_request_served(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let Some(reputation) = &mut self.reputation else {
            return;
        };
        if connection.trust_level != TrustLevel::Allowlisted {
            reputation.credit(now, connection.address, connection.prefix);
        }
    }

    /// Handles the identification of a connection's client as allowlisted; from now on its slot
    /// counts towards the allowlisted ones.
    pub fn on_allowlisted(&mut self, id: ConnectionId) {
        self.connections.set_allowlisted(id);
    }

    /// Handles the close of a connection, which frees its slot.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.remove(id);
    }

    /// Returns the addresses with enough reputation to be handed over to a successor process, with
    /// their points.
    #[must_use]
    pub fn export_reputation(&self, now: Micros) -> Vec<(IpAddr, f64)> {
        self.reputation
            .as_ref()
            .map_or_else(Vec::new, |reputation| reputation.export(now))
    }

    /// Returns the reputation that became due for storing since the last call.
    pub fn take_unsaved_reputation(&mut self, now: Micros) -> Vec<StoredReputation> {
        self.reputation
            .as_mut()
            .map_or_else(Vec::new, |reputation| reputation.take_unsaved(now))
    }

    /// Restores stored reputation.
    pub fn restore_reputation(&mut self, now: Micros, entries: &[StoredReputation]) {
        if is_bug_injected(InjectedBug::ReputationLost) {
            return;
        }
        let lengths = self.settings.prefix_lengths;
        if let Some(reputation) = &mut self.reputation {
            reputation.restore(now, entries, |address| lengths.prefix_of(address));
        }
    }

    /// Imports reputation that a predecessor process handed over.
    pub fn import_reputation(&mut self, now: Micros, points: &[(IpAddr, f64)]) {
        let lengths = self.settings.prefix_lengths;
        if let Some(reputation) = &mut self.reputation {
            reputation.import(now, points, |address| lengths.prefix_of(address));
        }
    }
}
