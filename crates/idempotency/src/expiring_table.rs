//! A table that finds entries by key and by age, made for keys that all live equally long.
//!
//! Entries stand in slots. An open-addressed index of slot numbers finds them by key, and a log in
//! the order of their expiry finds those that have expired. As every key lives for the same window,
//! the log is a plain queue, and nothing is sorted. A clock that stepped back makes some entries
//! stay longer in the log, never shorter. `cleatpulley check idempotency` measures the table beside
//! a `HashMap` with a `BTreeSet` and a timing wheel.

#[cfg(test)]
mod tests;

use crate::record::ScopedKey;
use cleatpulley_policy::interface::Micros;
use hashbrown::HashTable;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Where an entry stands. It never names another entry once its own is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Location {
    slot: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot<T> {
    /// Rises whenever the entry is removed.
    generation: u32,
    entry: Option<TableEntry<T>>,
}

/// An entry of the table.
#[derive(Debug)]
pub struct TableEntry<T> {
    /// Its key.
    pub key: ScopedKey,
    /// When it may be removed.
    pub expires_at: Micros,
    /// Its value.
    pub value: T,
}

/// The table.
#[derive(Debug)]
pub struct ExpiringTable<T> {
    slots: Vec<Slot<T>>,
    free_slots: Vec<u32>,
    slot_by_key: HashTable<u32>,
    /// The entries that expire, in their order.
    expiry_log: VecDeque<Location>,
    /// Mixed into hashes, so that callers can't choose keys that collide.
    hash_seed: u64,
}

impl<T> ExpiringTable<T> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(hash_seed: u64) -> Self {
        Self {
            slots: Vec::new(),
            free_slots: Vec::new(),
            slot_by_key: HashTable::new(),
            expiry_log: VecDeque::new(),
            hash_seed,
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slot_by_key.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slot_by_key.is_empty()
    }

    /// Finds the entry of a key.
    #[must_use]
    pub fn find(&self, key: &ScopedKey) -> Option<Location> {
        let hash = hash(key, self.hash_seed);
        let has_key = |slot: &u32| {
            self.slots
                .get(*slot as usize)
                .and_then(|slot| slot.entry.as_ref())
                .is_some_and(|entry| entry.key == *key)
        };
        let slot = *self.slot_by_key.find(hash, has_key)?;
        Some(self.location(slot))
    }

    /// Returns an entry, unless it was removed.
    #[must_use]
    pub fn get(&self, location: Location) -> Option<&TableEntry<T>> {
        let slot = self.slots.get(location.slot as usize)?;
        if slot.generation != location.generation {
            return None;
        }
        slot.entry.as_ref()
    }

    /// Returns the value of an entry to change, unless the entry was removed.
    pub fn get_mut(&mut self, location: Location) -> Option<&mut T> {
        let entry = self.slot_mut(location)?.entry.as_mut()?;
        Some(&mut entry.value)
    }

    /// Inserts a key that is not in the table yet. It does not expire before
    /// [`start_expiry`](Self::start_expiry).
    pub fn insert(&mut self, key: ScopedKey, expires_at: Micros, value: T) -> Location {
        let hash_of_key = hash(&key, self.hash_seed);
        let entry = TableEntry {
            key,
            expires_at,
            value,
        };
        let slot = self.fill_slot(entry);
        let slots = &self.slots;
        let hash_seed = self.hash_seed;
        let hash_of_slot = |slot: &u32| {
            let entry = slots[*slot as usize].entry.as_ref();
            entry.map_or(0, |entry| hash(&entry.key, hash_seed))
        };
        self.slot_by_key
            .insert_unique(hash_of_key, slot, hash_of_slot);
        self.location(slot)
    }

    fn fill_slot(&mut self, entry: TableEntry<T>) -> u32 {
        if let Some(slot) = self.free_slots.pop() {
            self.slots[slot as usize].entry = Some(entry);
            return slot;
        }
        self.slots.push(Slot {
            generation: 0,
            entry: Some(entry),
        });
        (self.slots.len() - 1) as u32
    }

    /// Moves the expiry of an entry to a later time. Only before
    /// [`start_expiry`](Self::start_expiry).
    pub fn extend_expiry(&mut self, location: Location, expires_at: Micros) {
        let entry = self.slot_mut(location).and_then(|slot| slot.entry.as_mut());
        if let Some(entry) = entry {
            entry.expires_at = entry.expires_at.max(expires_at);
        }
    }

    /// Lets an entry expire from now on. To be called once for each entry.
    pub fn start_expiry(&mut self, location: Location) {
        self.expiry_log.push_back(location);
    }

    /// Removes an entry.
    pub fn remove(&mut self, location: Location) -> Option<TableEntry<T>> {
        let slot = self.slot_mut(location)?;
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        let hash = hash(&entry.key, self.hash_seed);
        let is_slot = |slot: &u32| *slot == location.slot;
        if let Ok(found) = self.slot_by_key.find_entry(hash, is_slot) {
            found.remove();
        }
        self.free_slots.push(location.slot);
        Some(entry)
    }

    /// Removes the oldest entry from the expiry log where it has expired or was removed, and returns
    /// where it stands.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Location> {
        let &location = self.expiry_log.front()?;
        if self
            .get(location)
            .is_some_and(|entry| entry.expires_at > now)
        {
            return None;
        }
        self.expiry_log.pop_front()
    }

    /// Returns all entries, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Location, &TableEntry<T>)> {
        self.slots.iter().enumerate().filter_map(|(number, slot)| {
            let location = Location {
                slot: number as u32,
                generation: slot.generation,
            };
            slot.entry.as_ref().map(|entry| (location, entry))
        })
    }

    /// Returns the memory of the table, in bytes, without what the allocator adds to keys.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let keys: usize = self
            .iter()
            .map(|(_, entry)| entry.key.as_bytes().len())
            .sum();
        /// A slot number and a byte of the index.
        const INDEX_ENTRY: usize = size_of::<u32>() + 1;
        self.slots.capacity() * size_of::<Slot<T>>()
            + self.free_slots.capacity() * size_of::<u32>()
            + self.slot_by_key.capacity() * INDEX_ENTRY
            + self.expiry_log.capacity() * size_of::<Location>()
            + keys
    }

    fn location(&self, slot: u32) -> Location {
        Location {
            slot,
            generation: self.slots[slot as usize].generation,
        }
    }

    fn slot_mut(&mut self, location: Location) -> Option<&mut Slot<T>> {
        self.slots
            .get_mut(location.slot as usize)
            .filter(|slot| slot.generation == location.generation)
    }
}

fn hash(key: &ScopedKey, seed: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), seed)
}
