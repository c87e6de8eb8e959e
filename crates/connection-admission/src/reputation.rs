//! Reputation: addresses become known clients when their requests are served over time.
//!
//! An address gains a point for a served request, but at most one in each [`MIN_CREDIT_INTERVAL`],
//! so that gaining reputation takes time however many requests are sent. Points decay
//! exponentially, and the number of addresses with points is limited per prefix.

use crate::address_prefix::AddressPrefix;
use crate::reputation_database::StoredReputation;
use cleatpulley_policy::interface::Micros;
use std::collections::HashMap;
use std::net::IpAddr;

/// Minimum time between two points of an address.
pub const MIN_CREDIT_INTERVAL: Micros = 100_000;
/// Number of entries sampled for the selection of the one to evict.
const EVICTION_SAMPLES: usize = 8;
/// Minimum points of an address that are stored and handed over, as a share of the threshold of
/// known addresses.
const MIN_SAVED_SHARE: f64 = 0.5;
/// An address is stored again when its points have grown by the threshold of known addresses
/// divided by this, and by at least one point.
const SAVE_STEPS_PER_THRESHOLD: f64 = 10.0;
/// Multiplier and increment of the linear congruential generator used for sampling (Knuth's MMIX).
const RANDOM_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const RANDOM_INCREMENT: u64 = 1_442_695_040_888_963_407;

/// How addresses gain reputation, and how many may have it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReputationSettings {
    /// Minimum points of a known address.
    pub known_threshold: f64,
    /// Half-life of the points.
    pub half_life: Micros,
    /// Maximum number of addresses in the table.
    pub max_addresses: usize,
    /// Maximum number of addresses in the table per prefix.
    pub max_addresses_per_prefix: usize,
}

impl ReputationSettings {
    /// Returns the points that remain after `elapsed`.
    fn decayed(&self, points: f64, elapsed: Micros) -> f64 {
        let half_lives = elapsed as f64 / self.half_life.max(1) as f64;
        points * 0.5_f64.powf(half_lives)
    }

    fn min_saved_points(&self) -> f64 {
        self.known_threshold * MIN_SAVED_SHARE
    }

    /// Returns when points have decayed below the minimum that is stored.
    fn expiry(&self, now: Micros, points: f64) -> Micros {
        let half_lives = (points / self.min_saved_points()).log2().max(0.0);
        now + (half_lives * self.half_life as f64) as Micros + 1
    }
}

/// Whether the reputation of an address is stored.
#[derive(Debug, Clone, Copy, PartialEq)]
enum SaveState {
    /// The points that were last stored; zero if none were.
    Saved(f64),
    /// The entry must be stored.
    Unsaved,
}

/// An address in the table.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    address: IpAddr,
    prefix: AddressPrefix,
    /// Points at `updated_at`.
    points: f64,
    updated_at: Micros,
    save_state: SaveState,
}

/// The addresses with points.
#[derive(Debug, Clone)]
pub struct ReputationTable {
    settings: ReputationSettings,
    entries: Vec<Entry>,
    /// Index of each address in `entries`.
    indices: HashMap<IpAddr, usize>,
    addresses_per_prefix: HashMap<AddressPrefix, usize>,
    random_state: u64,
    /// Addresses with unsaved entries, in the order in which they were marked.
    unsaved: Vec<IpAddr>,
}

impl ReputationTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: ReputationSettings, seed: u64) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            indices: HashMap::new(),
            addresses_per_prefix: HashMap::new(),
            random_state: seed,
            unsaved: Vec::new(),
        }
    }

    fn current_points(&self, now: Micros, entry: &Entry) -> f64 {
        let elapsed = now.saturating_sub(entry.updated_at);
        self.settings.decayed(entry.points, elapsed)
    }

    /// Returns whether an address has enough points to be known.
    #[must_use]
    pub fn is_known(&self, now: Micros, address: IpAddr) -> bool {
        let Some(index) = self.indices.get(&address) else {
            return false;
        };
        self.current_points(now, &self.entries[*index]) >= self.settings.known_threshold
    }

    /// Returns the number of addresses with points.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no address has points.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Credits an address for a complete request that was served.
    pub fn credit(&mut self, now: Micros, address: IpAddr, prefix: AddressPrefix) {
        if let Some(&index) = self.indices.get(&address) {
            self.credit_entry(now, index);
            return;
        }
        if self.has_capacity_for_prefix(prefix) && self.make_room(now) {
            self.insert(Entry {
                address,
                prefix,
                points: 1.0,
                updated_at: now,
                save_state: SaveState::Saved(0.0),
            });
        }
    }

    fn credit_entry(&mut self, now: Micros, index: usize) {
        let entry = self.entries[index];
        if now < entry.updated_at + MIN_CREDIT_INTERVAL {
            return;
        }
        let points = self.current_points(now, &entry) + 1.0;
        self.entries[index] = Entry {
            points,
            updated_at: now,
            ..entry
        };
        self.mark_unsaved(index);
    }

    /// Marks an entry as unsaved if it has enough points, and enough more than were last stored.
    /// Decay alone requires no write: it is computed from the time stored with the points.
    fn mark_unsaved(&mut self, index: usize) {
        let step = (self.settings.known_threshold / SAVE_STEPS_PER_THRESHOLD).max(1.0);
        let min_points = self.settings.min_saved_points();
        let entry = &mut self.entries[index];
        let SaveState::Saved(saved_points) = entry.save_state else {
            return;
        };
        if entry.points >= min_points && entry.points >= saved_points + step {
            entry.save_state = SaveState::Unsaved;
            self.unsaved.push(entry.address);
        }
    }

    /// Returns the entries that became due for storing since the last call, and marks them as
    /// saved.
    pub fn take_unsaved(&mut self, now: Micros) -> Vec<StoredReputation> {
        let unsaved = std::mem::take(&mut self.unsaved);
        let mut stored = Vec::with_capacity(unsaved.len());
        for address in unsaved {
            let Some(&index) = self.indices.get(&address) else {
                continue;
            };
            let points = self.current_points(now, &self.entries[index]);
            self.entries[index].save_state = SaveState::Saved(points);
            stored.push(StoredReputation {
                address,
                points,
                updated_at: now,
                expires_at: self.settings.expiry(now, points),
            });
        }
        stored
    }

    /// Restores stored entries, with the points that remain now.
    pub fn restore(
        &mut self,
        now: Micros,
        stored: &[StoredReputation],
        prefix_of: impl Fn(IpAddr) -> AddressPrefix,
    ) {
        let decay_entry = |entry: &StoredReputation| {
            let elapsed = now.saturating_sub(entry.updated_at);
            (entry.address, self.settings.decayed(entry.points, elapsed))
        };
        let points: Vec<_> = stored.iter().map(decay_entry).collect();
        self.import(now, &points, prefix_of);
    }

    fn has_capacity_for_prefix(&self, prefix: AddressPrefix) -> bool {
        let count = self.addresses_per_prefix.get(&prefix).copied();
        count.unwrap_or(0) < self.settings.max_addresses_per_prefix
    }

    /// If the table is full, evicts the entry with the fewest points among a random sample. A known
    /// address is never evicted. Returns whether there is room.
    fn make_room(&mut self, now: Micros) -> bool {
        if self.entries.len() < self.settings.max_addresses {
            return true;
        }
        let mut fewest_points = self.settings.known_threshold;
        let mut victim = None;
        for _ in 0..EVICTION_SAMPLES {
            let index = self.random_index();
            let Some(entry) = self.entries.get(index) else {
                return false;
            };
            let points = self.current_points(now, entry);
            if points < fewest_points {
                fewest_points = points;
                victim = Some(index);
            }
        }
        let Some(victim) = victim else { return false };
        self.remove(victim);
        true
    }

    /// Returns a random index in `entries`.
    fn random_index(&mut self) -> usize {
        self.random_state = self
            .random_state
            .wrapping_mul(RANDOM_MULTIPLIER)
            .wrapping_add(RANDOM_INCREMENT);
        // The low bits of a linear congruential generator have short periods.
        (self.random_state >> 33) as usize % self.entries.len().max(1)
    }

    fn insert(&mut self, entry: Entry) {
        self.indices.insert(entry.address, self.entries.len());
        *self.addresses_per_prefix.entry(entry.prefix).or_default() += 1;
        self.entries.push(entry);
    }

    fn remove(&mut self, index: usize) {
        let removed = self.entries.swap_remove(index);
        self.indices.remove(&removed.address);
        if let Some(moved) = self.entries.get(index) {
            self.indices.insert(moved.address, index);
        }
        if let Some(count) = self.addresses_per_prefix.get_mut(&removed.prefix) {
            *count -= 1;
            if *count == 0 {
                self.addresses_per_prefix.remove(&removed.prefix);
            }
        }
    }

    /// Returns the addresses to hand over, those with at least half of the threshold of known
    /// addresses, with their current points, sorted by address.
    #[must_use]
    pub fn export(&self, now: Micros) -> Vec<(IpAddr, f64)> {
        let mut exported: Vec<_> = self
            .entries
            .iter()
            .map(|entry| (entry.address, self.current_points(now, entry)))
            .filter(|(_, points)| *points >= self.settings.min_saved_points())
            .collect();
        exported.sort_by_key(|(address, _)| *address);
        exported
    }

    /// Imports addresses with their current points. Skips addresses with invalid points, those
    /// already in the table, and those for which the table has no room.
    pub fn import(
        &mut self,
        now: Micros,
        imported: &[(IpAddr, f64)],
        prefix_of: impl Fn(IpAddr) -> AddressPrefix,
    ) {
        for &(address, points) in imported {
            let prefix = prefix_of(address);
            let has_room = self.entries.len() < self.settings.max_addresses
                && self.has_capacity_for_prefix(prefix);
            let is_valid = points.is_finite() && points > 0.0;
            if has_room && is_valid && !self.indices.contains_key(&address) {
                self.insert(Entry {
                    address,
                    prefix,
                    points,
                    updated_at: now,
                    save_state: SaveState::Saved(points),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
