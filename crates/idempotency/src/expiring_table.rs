//! A hash table whose entries expire, for keys that all have the same lifetime.
//!
//! Entries are stored in slots. An open-addressed index of slot numbers finds them by key, and an
//! expiry log finds those that have expired. As all keys have the same lifetime, the log is a FIFO
//! queue and needs no sorting. If the clock steps back, some entries stay longer in the log, but
//! none expires too early. `cleatpulley check idempotency` compares the table's speed and memory
//! with a `HashMap` with a `BTreeSet`, and with a timing wheel.

#[cfg(test)]
mod tests;

use crate::record::ScopedKey;
use cleatpulley_policy::interface::Micros;
use hashbrown::HashTable;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Handle of an entry: its slot, and the slot's generation. After the entry is removed, its handle
/// never refers to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EntryHandle {
    slot: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot<T> {
    /// Incremented when the slot's entry is removed.
    generation: u32,
    entry: Option<TableEntry<T>>,
}

/// An entry of the table.
#[derive(Debug)]
pub struct TableEntry<T> {
    /// Key of the entry.
    pub key: ScopedKey,
    /// Time from which on the entry may be removed.
    pub expires_at: Micros,
    /// Value of the entry.
    pub value: T,
}

/// A hash table whose entries expire.
#[derive(Debug)]
pub struct ExpiringTable<T> {
    slots: Vec<Slot<T>>,
    free_slots: Vec<u32>,
    slot_by_key: HashTable<u32>,
    /// Entries whose expiry was started, in that order.
    expiry_log: VecDeque<EntryHandle>,
    /// Seed of the key hashes, so that callers can't choose keys that collide.
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
    pub fn find(&self, key: &ScopedKey) -> Option<EntryHandle> {
        let hash = hash(key, self.hash_seed);
        let has_key = |slot: &u32| {
            self.slots
                .get(*slot as usize)
                .and_then(|slot| slot.entry.as_ref())
                .is_some_and(|entry| entry.key == *key)
        };
        let slot = *self.slot_by_key.find(hash, has_key)?;
        Some(self.handle(slot))
    }

    /// Returns an entry, or `None` if it was removed.
    #[must_use]
    pub fn get(&self, handle: EntryHandle) -> Option<&TableEntry<T>> {
        let slot = self.slots.get(handle.slot as usize)?;
        if slot.generation != handle.generation {
            return None;
        }
        slot.entry.as_ref()
    }

    /// Returns a mutable reference to the value of an entry, or `None` if it was removed.
    pub fn get_mut(&mut self, handle: EntryHandle) -> Option<&mut T> {
        let entry = self.slot_mut(handle)?.entry.as_mut()?;
        Some(&mut entry.value)
    }

    /// Inserts a key that is not in the table yet. It does not expire before
    /// [`start_expiry`](Self::start_expiry) is called.
    pub fn insert(&mut self, key: ScopedKey, expires_at: Micros, value: T) -> EntryHandle {
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
        self.handle(slot)
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

    /// Postpones the expiry of an entry. Must not be called after
    /// [`start_expiry`](Self::start_expiry).
    pub fn extend_expiry(&mut self, handle: EntryHandle, expires_at: Micros) {
        let entry = self.slot_mut(handle).and_then(|slot| slot.entry.as_mut());
        if let Some(entry) = entry {
            entry.expires_at = entry.expires_at.max(expires_at);
        }
    }

    /// Appends an entry to the expiry log, so that it can expire. Must be called once for each
    /// entry, or again after [`pop_expired`](Self::pop_expired) has returned it.
    pub fn start_expiry(&mut self, handle: EntryHandle) {
        self.expiry_log.push_back(handle);
    }

    /// Removes an entry.
    pub fn remove(&mut self, handle: EntryHandle) -> Option<TableEntry<T>> {
        let slot = self.slot_mut(handle)?;
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        let hash = hash(&entry.key, self.hash_seed);
        let is_slot = |slot: &u32| *slot == handle.slot;
        if let Ok(found) = self.slot_by_key.find_entry(hash, is_slot) {
            found.remove();
        }
        self.free_slots.push(handle.slot);
        Some(entry)
    }

    /// Removes the oldest entry from the expiry log if it has expired or was removed from the
    /// table, and returns its handle.
    pub fn pop_expired(&mut self, now: Micros) -> Option<EntryHandle> {
        let &handle = self.expiry_log.front()?;
        if self.get(handle).is_some_and(|entry| entry.expires_at > now) {
            return None;
        }
        self.expiry_log.pop_front()
    }

    /// Returns all entries in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (EntryHandle, &TableEntry<T>)> {
        self.slots.iter().enumerate().filter_map(|(number, slot)| {
            let handle = EntryHandle {
                slot: number as u32,
                generation: slot.generation,
            };
            slot.entry.as_ref().map(|entry| (handle, entry))
        })
    }

    /// Returns the memory used by the table, in bytes, without the allocator's overhead for keys.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let keys: usize = self
            .iter()
            .map(|(_, entry)| entry.key.as_bytes().len())
            .sum();
        /// Size of an index entry: a slot number, and one control byte of the hash table.
        const INDEX_ENTRY_BYTES: usize = size_of::<u32>() + 1;
        self.slots.capacity() * size_of::<Slot<T>>()
            + self.free_slots.capacity() * size_of::<u32>()
            + self.slot_by_key.capacity() * INDEX_ENTRY_BYTES
            + self.expiry_log.capacity() * size_of::<EntryHandle>()
            + keys
    }

    fn handle(&self, slot: u32) -> EntryHandle {
        EntryHandle {
            slot,
            generation: self.slots[slot as usize].generation,
        }
    }

    fn slot_mut(&mut self, handle: EntryHandle) -> Option<&mut Slot<T>> {
        self.slots
            .get_mut(handle.slot as usize)
            .filter(|slot| slot.generation == handle.generation)
    }
}

fn hash(key: &ScopedKey, seed: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), seed)
}
