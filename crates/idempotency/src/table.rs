//! Entries by key and by age, a structure made for keys that all live equally long.
//!
//! Entries stand in slots; an open-addressed index of slot numbers finds them by key, and a log in the order of their
//! expiry finds what is over. As every key lives for the same window, the log is a plain queue: nothing is sorted. A
//! clock that stepped back makes some entries stay longer in the log, never shorter. `cleatpulley check idempotency`
//! measures it beside a `HashMap` with a `BTreeSet` and a timing wheel.

use crate::record::ScopedKey;
use cleatpulley_policy::interface::Micros;
use hashbrown::HashTable;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Where an entry stands; never the same again once the entry is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Place {
    slot: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    entry: Option<Kept<T>>,
}

/// An entry.
#[derive(Debug)]
pub struct Kept<T> {
    /// Its key.
    pub key: ScopedKey,
    /// When it may be forgotten.
    pub expiry: Micros,
    /// What is known of it.
    pub value: T,
}

/// The table.
#[derive(Debug)]
pub struct Table<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    index: HashTable<u32>,
    log: VecDeque<Place>,
    /// Keeps callers from choosing keys that meet in the index.
    seed: u64,
}

impl<T> Table<T> {
    /// An empty one.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            index: HashTable::new(),
            log: VecDeque::new(),
            seed,
        }
    }

    /// Entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// None.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Finds a key.
    #[must_use]
    pub fn find(&self, key: &ScopedKey) -> Option<Place> {
        let hash = xxh3_64_with_seed(key.bytes(), self.seed);
        let is = |slot: &u32| self.entry_in(*slot).is_some_and(|entry| entry.key == *key);
        let slot = *self.index.find(hash, is)?;
        Some(Place {
            slot,
            generation: self.slots[slot as usize].generation,
        })
    }

    fn entry_in(&self, slot: u32) -> Option<&Kept<T>> {
        self.slots.get(slot as usize)?.entry.as_ref()
    }

    /// The entry at a place, unless it is gone.
    #[must_use]
    pub fn get(&self, place: Place) -> Option<&Kept<T>> {
        let slot = self
            .slots
            .get(place.slot as usize)
            .filter(|slot| slot.generation == place.generation)?;
        slot.entry.as_ref()
    }

    /// The same, to be changed; its key and expiry must stay.
    pub fn get_mut(&mut self, place: Place) -> Option<&mut T> {
        let slot = self
            .slots
            .get_mut(place.slot as usize)
            .filter(|s| s.generation == place.generation)?;
        slot.entry.as_mut().map(|entry| &mut entry.value)
    }

    /// Adds a key that is not there yet. It never ages out before [`age`](Self::age) is called for it.
    pub fn insert(&mut self, key: ScopedKey, expiry: Micros, value: T) -> Place {
        let hash = xxh3_64_with_seed(key.bytes(), self.seed);
        let entry = Some(Kept { key, expiry, value });
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize].entry = entry;
                slot
            }
            None => {
                self.slots.push(Slot {
                    generation: 0,
                    entry,
                });
                (self.slots.len() - 1) as u32
            }
        };
        let (slots, seed) = (&self.slots, self.seed);
        let rehash = |slot: &u32| {
            let entry = slots[*slot as usize].entry.as_ref();
            entry.map_or(0, |entry| xxh3_64_with_seed(entry.key.bytes(), seed))
        };
        self.index.insert_unique(hash, slot, rehash);
        Place {
            slot,
            generation: self.slots[slot as usize].generation,
        }
    }

    /// The entry may be forgotten then, where that is later than was told. Only before [`age`](Self::age).
    pub fn postpone(&mut self, place: Place, expiry: Micros) {
        let slot = self
            .slots
            .get_mut(place.slot as usize)
            .filter(|s| s.generation == place.generation);
        if let Some(entry) = slot.and_then(|slot| slot.entry.as_mut()) {
            entry.expiry = entry.expiry.max(expiry);
        }
    }

    /// From now on the entry ages out; once for each entry.
    pub fn age(&mut self, place: Place) {
        self.log.push_back(place);
    }

    /// Removes an entry.
    pub fn remove(&mut self, place: Place) -> Option<Kept<T>> {
        let slot = self
            .slots
            .get_mut(place.slot as usize)
            .filter(|slot| slot.generation == place.generation)?;
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        let hash = xxh3_64_with_seed(entry.key.bytes(), self.seed);
        if let Ok(found) = self.index.find_entry(hash, |slot| *slot == place.slot) {
            found.remove();
        }
        self.free.push(place.slot);
        Some(entry)
    }

    /// The oldest entry in the log that is over by now, or stands at its head though it is gone; it leaves the log.
    pub fn pop_over(&mut self, now: Micros) -> Option<Place> {
        let &place = self.log.front()?;
        if self.get(place).is_some_and(|entry| entry.expiry > now) {
            return None;
        }
        self.log.pop_front()
    }

    /// All entries, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Place, &Kept<T>)> {
        self.slots.iter().enumerate().filter_map(|(slot, found)| {
            let place = Place {
                slot: slot as u32,
                generation: found.generation,
            };
            found.entry.as_ref().map(|entry| (place, entry))
        })
    }

    /// Bytes of memory that it takes, those that the allocator adds to keys left out.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let keys: usize = self
            .slots
            .iter()
            .flat_map(|s| &s.entry)
            .map(|entry| entry.key.bytes().len())
            .sum();
        let slots = self.slots.capacity() * size_of::<Slot<T>>();
        slots
            + self.free.capacity() * 4
            + self.index.capacity() * 5
            + self.log.capacity() * 8
            + keys
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(n: u64) -> ScopedKey {
        ScopedKey::new(0, 0, &n.to_be_bytes())
    }

    #[test]
    fn a_place_is_never_another_entrys() {
        let mut table = Table::new(1);
        let first = table.insert(key(1), 10, 'a');
        assert_eq!(table.find(&key(1)), Some(first));
        assert_eq!(table.remove(first).map(|entry| entry.value), Some('a'));
        let second = table.insert(key(2), 10, 'b');
        assert_eq!(
            (second.slot, table.get(first).is_some()),
            (first.slot, false)
        );
        assert!(table.get_mut(first).is_none() && table.remove(first).is_none());
        assert_eq!(
            (table.len(), table.find(&key(1)), table.find(&key(2))),
            (1, None, Some(second))
        );
    }

    #[test]
    fn what_is_over_leaves_in_the_order_it_came_and_never_too_soon() {
        let mut table = Table::new(1);
        // The clock stepped back between the second and the third.
        for (n, expiry) in [(1, 10), (2, 20), (3, 5), (4, 30)] {
            let place = table.insert(key(n), expiry, n);
            table.age(place);
        }
        let mut over = |now| {
            let mut gone = Vec::new();
            while let Some(place) = table.pop_over(now) {
                gone.extend(table.remove(place).map(|entry| entry.value));
            }
            gone
        };
        assert_eq!(over(9), Vec::<u64>::new());
        assert_eq!(over(10), [1]);
        assert_eq!(over(29), [2, 3]);
        assert_eq!(over(30), [4]);
    }
}
