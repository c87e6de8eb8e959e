//! The index: from a key's fingerprint to the place of its record. Made for the job: twelve bytes an entry, sorted by
//! fingerprint within one run of slots, so that it grows in one pass and no key is kept in memory. Whether a place
//! really holds the key is for the caller to see: two keys may share a fingerprint.

/// The place of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// Which of the open segments.
    pub segment: u16,
    /// Offset in it; never 0.
    pub offset: u32,
    /// Bytes of the record in units of eight, rounded up; the largest stands for that and more.
    pub units: u16,
}

impl Place {
    /// The place of a record of this size.
    #[must_use]
    pub fn new(segment: u16, offset: u32, size: usize) -> Self {
        Self {
            segment,
            offset,
            units: u16::try_from(size.div_ceil(8)).unwrap_or(u16::MAX),
        }
    }

    fn pack(self) -> u64 {
        u64::from(self.segment) << 48 | u64::from(self.offset) << 16 | u64::from(self.units)
    }

    fn unpack(packed: u64) -> Self {
        Self {
            segment: (packed >> 48) as u16,
            offset: (packed >> 16) as u32,
            units: packed as u16,
        }
    }
}

/// Slots beyond the last home, so that a run never wraps.
const SLACK: usize = 64;
const SMALLEST: usize = 64;
/// The table grows beyond this share of slots taken, in percent.
const FULL: usize = 86;

/// The table. Entries of one fingerprint stand next to each other.
#[derive(Debug)]
pub struct Index {
    prints: Vec<u32>,
    /// 0 marks an empty slot.
    places: Vec<u64>,
    homes: usize,
    len: usize,
}

impl Default for Index {
    fn default() -> Self {
        Self::with_homes(SMALLEST, SLACK)
    }
}

impl Index {
    fn with_homes(homes: usize, slack: usize) -> Self {
        let slots = homes + slack;
        Self {
            prints: vec![0; slots],
            places: vec![0; slots],
            homes,
            len: 0,
        }
    }

    /// Entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// No entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes of memory.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.prints.capacity() * 4 + self.places.capacity() * 8
    }

    fn home(&self, print: u32) -> usize {
        ((u64::from(print) * self.homes as u64) >> 32) as usize
    }

    /// The slot of the first entry with this fingerprint, or of the first that comes after it.
    fn seek(&self, print: u32) -> usize {
        let mut slot = self.home(print);
        while slot < self.places.len() && self.places[slot] != 0 && self.prints[slot] < print {
            slot += 1;
        }
        slot
    }

    /// The places of all entries with this fingerprint.
    pub fn find(&self, print: u32) -> impl Iterator<Item = Place> + '_ {
        let from = self.seek(print);
        let slots = from..self.places.len();
        slots
            .take_while(move |slot| self.places[*slot] != 0 && self.prints[*slot] == print)
            .map(|slot| Place::unpack(self.places[slot]))
    }

    /// Whether there is an entry with this fingerprint and place.
    #[must_use]
    pub fn contains(&self, print: u32, place: Place) -> bool {
        self.find(print).any(|other| other == place)
    }

    fn slot_of(&self, print: u32, place: Place) -> Option<usize> {
        let from = self.seek(print);
        let packed = place.pack();
        (from..self.places.len())
            .take_while(|slot| self.places[*slot] != 0 && self.prints[*slot] == print)
            .find(|slot| self.places[*slot] == packed)
    }

    /// Adds an entry.
    pub fn insert(&mut self, print: u32, place: Place) {
        if (self.len + 1) * 100 > self.homes * FULL {
            self.grow();
        }
        while !self.try_insert(print, place.pack()) {
            self.grow();
        }
        self.len += 1;
    }

    /// Shifts what comes after it by one slot, up to the next empty one.
    fn try_insert(&mut self, print: u32, packed: u64) -> bool {
        let slot = self.seek(print);
        let Some(empty) = (slot..self.places.len()).find(|slot| self.places[*slot] == 0) else {
            return false;
        };
        self.prints.copy_within(slot..empty, slot + 1);
        self.places.copy_within(slot..empty, slot + 1);
        self.prints[slot] = print;
        self.places[slot] = packed;
        true
    }

    fn grow(&mut self) {
        let homes = (self.homes + self.homes / 2).max(SMALLEST);
        *self = Self::laid_out(homes, || self.iter());
    }

    /// A table of entries that come in the order of their fingerprints, in one pass.
    #[must_use]
    pub fn build(entries: &[(u32, Place)]) -> Self {
        let homes = (entries.len() * 100 / (FULL - 10)).max(SMALLEST);
        Self::laid_out(homes, || entries.iter().copied())
    }

    fn laid_out<E: Iterator<Item = (u32, Place)>>(homes: usize, entries: impl Fn() -> E) -> Self {
        let mut slack = SLACK;
        'again: loop {
            let mut table = Self::with_homes(homes, slack);
            let mut next = 0;
            for (print, place) in entries() {
                let slot = table.home(print).max(next);
                // The last slot stays empty: there is room for one more entry wherever it belongs.
                if slot + 1 >= table.places.len() {
                    // Many fingerprints at the upper end: more room after it.
                    slack *= 2;
                    continue 'again;
                }
                table.prints[slot] = print;
                table.places[slot] = place.pack();
                next = slot + 1;
                table.len += 1;
            }
            return table;
        }
    }

    /// Lets an entry point elsewhere; false where it is not there.
    pub fn replace(&mut self, print: u32, from: Place, to: Place) -> bool {
        match self.slot_of(print, from) {
            Some(slot) => {
                self.places[slot] = to.pack();
                true
            }
            None => false,
        }
    }

    /// Removes an entry; false where it is not there.
    pub fn remove(&mut self, print: u32, place: Place) -> bool {
        let Some(slot) = self.slot_of(print, place) else {
            return false;
        };
        // What was shifted away from its home moves back.
        let mut end = slot + 1;
        while end < self.places.len() && self.places[end] != 0 && self.home(self.prints[end]) < end
        {
            end += 1;
        }
        self.prints.copy_within(slot + 1..end, slot);
        self.places.copy_within(slot + 1..end, slot);
        self.places[end - 1] = 0;
        self.len -= 1;
        true
    }

    /// All entries, in the order of their fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = (u32, Place)> + '_ {
        let taken = self
            .prints
            .iter()
            .zip(&self.places)
            .filter(|(_, packed)| **packed != 0);
        taken.map(|(print, packed)| (*print, Place::unpack(*packed)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeSet;

    fn place(n: u32) -> Place {
        Place::new((n % 7) as u16, n + 1, 8 * (n as usize % 100))
    }

    /// Against a plain set, with few fingerprints (long runs, the upper end among them) and with many.
    #[test]
    fn it_holds_what_a_plain_set_holds() {
        for prints in [4_u32, 300, u32::MAX] {
            let mut random = SmallRng::seed_from_u64(u64::from(prints));
            let (mut index, mut plain) = (Index::default(), BTreeSet::new());
            for n in 0..6_000 {
                let print = u32::MAX - random.random_range(0..prints);
                if random.random_range(0..3) == 0 {
                    let some = plain
                        .iter()
                        .nth(random.random_range(0..plain.len().max(1)))
                        .copied();
                    if let Some((print, at)) = some {
                        plain.remove(&(print, at));
                        assert!(index.remove(print, at) && !index.contains(print, at));
                    }
                } else {
                    plain.insert((print, place(n)));
                    index.insert(print, place(n));
                    assert!(index.contains(print, place(n)));
                }
                assert_eq!(index.len(), plain.len());
            }
            let all: BTreeSet<_> = index.iter().collect();
            assert_eq!(all, plain);
            assert!(index.iter().map(|entry| entry.0).is_sorted());
            for (print, at) in &plain {
                assert!(index.replace(*print, *at, place(9_999_999)));
                assert!(!index.remove(*print, *at));
                assert!(index.replace(*print, place(9_999_999), *at));
            }
            assert!(!index.remove(1, place(1)));
            let entries: Vec<_> = plain.iter().copied().collect();
            let mut built = Index::build(&entries);
            assert!(built.iter().eq(entries.iter().copied()) && built.len() == plain.len());
            built.insert(u32::MAX, place(9_999_999));
            assert!(built.contains(u32::MAX, place(9_999_999)));
        }
    }

    #[test]
    fn it_takes_few_bytes_a_key() {
        let mut index = Index::default();
        let mut random = SmallRng::seed_from_u64(1);
        for n in 0..100_000 {
            index.insert(random.random(), place(n));
        }
        let each = index.bytes() as f64 / 100_000.0;
        assert!(each < 24.0, "{each}");
    }
}
