//! Leaky buckets for any number of keys in memory of a fixed size: a count-min sketch whose cells leak. A key's level is the
//! least of its cells; a key that came is added to those cells alone that stand at it. What is read is never less than a
//! bucket of the key's own would tell, so that nobody gets more than the cap; those who share all their cells with
//! busy keys get less.

use cleatpulley_policy::interface::Micros;

const ROWS: usize = 4;

/// How many a second, and how many at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// A second.
    pub per_second: f64,
    /// At once, at least one.
    pub burst: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    level: f32,
    /// In milliseconds since the beginning.
    at: u32,
}

/// The buckets.
#[derive(Debug, Clone)]
pub struct Rates {
    /// What leaks in a millisecond, and what fits.
    per_ms: f32,
    burst: f32,
    begin: Micros,
    mask: usize,
    cells: Vec<Cell>,
}

impl Rates {
    /// Empty ones, of a power of two of cells in each of four rows.
    #[must_use]
    pub fn new(rate: Rate, width: usize, begin: Micros) -> Self {
        let width = width.clamp(16, 1 << 24).next_power_of_two();
        let (per_ms, burst) = ((rate.per_second / 1e3) as f32, rate.burst.max(1.0) as f32);
        Self {
            per_ms,
            burst,
            begin,
            mask: width - 1,
            cells: vec![Cell::default(); ROWS * width],
        }
    }

    /// Bytes that it takes, however many keys there are.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.cells.len() * size_of::<Cell>()
    }

    /// Where a key, whose bits are evenly spread, stands; nothing is counted.
    #[inline]
    #[must_use]
    pub fn look(&self, now: Micros, key: u64) -> Look {
        let at = (now.saturating_sub(self.begin) / 1_000) as u32;
        let mut look = Look {
            at,
            places: [0; ROWS],
            levels: [0.0; ROWS],
            least: f32::MAX,
        };
        for row in 0..ROWS {
            // Sixteen bits of the key on their own for each row, and all of it mixed once more where rows are wider.
            let spread = key
                .rotate_left(16 * row as u32)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                >> 32;
            look.places[row] = row * (self.mask + 1) + (spread as usize & self.mask);
            let cell = self.cells[look.places[row]];
            let leaked = at.wrapping_sub(cell.at) as f32 * self.per_ms;
            look.levels[row] = (cell.level - leaked).max(0.0);
            look.least = look.least.min(look.levels[row]);
        }
        look
    }

    /// There is room for one more of the key that was looked at.
    #[must_use]
    pub fn has_room(&self, look: &Look) -> bool {
        look.least + 1.0 <= self.burst
    }

    /// Counts one more of the key that was looked at just now.
    pub fn put(&mut self, look: &Look) {
        for (place, level) in look.places.iter().zip(look.levels) {
            self.cells[*place] = Cell {
                level: level.max(look.least + 1.0),
                at: look.at,
            };
        }
    }

    /// One more of this key; false where it is one too many, which then counts for nothing.
    pub fn take(&mut self, now: Micros, key: u64) -> bool {
        let look = self.look(now, key);
        let room = self.has_room(&look);
        if room {
            self.put(&look);
        }
        room
    }
}

/// Where a key stands.
#[derive(Debug, Clone, Copy)]
pub struct Look {
    at: u32,
    places: [usize; ROWS],
    levels: [f32; ROWS],
    least: f32,
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashMap;

    const SECOND: Micros = 1_000_000;

    fn key(n: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(&n.to_be_bytes(), 7)
    }

    #[test]
    fn a_key_gets_its_burst_and_then_its_rate() {
        let mut rates = Rates::new(
            Rate {
                per_second: 10.0,
                burst: 5.0,
            },
            1_024,
            100,
        );
        let mut at = |now| (0..20).filter(|_| rates.take(now, key(1))).count();
        assert_eq!(at(100), 5);
        assert_eq!(at(100 + SECOND / 5), 2, "two have leaked");
        assert_eq!(at(100 + 10 * SECOND), 5, "no more than the burst");
        assert!(
            rates.take(100, key(2)),
            "a clock that steps back, and another key"
        );
    }

    /// What is let in of each key, beside a bucket of its own.
    #[test]
    fn nobody_gets_more_than_a_bucket_of_its_own_would_give() {
        let rate = Rate {
            per_second: 2.0,
            burst: 3.0,
        };
        let mut rates = Rates::new(rate, 256, 0);
        let mut own: HashMap<u64, (f64, Micros)> = HashMap::new();
        let (mut less, mut all) = (0, 0);
        for n in 0..40_000_u64 {
            let now = n * 500;
            let who = n.wrapping_mul(n) % 97;
            let (level, at) = own.get(&who).copied().unwrap_or_default();
            let level = (level - (now - at) as f64 / 1e6 * rate.per_second).max(0.0);
            let exact = level + 1.0 <= rate.burst;
            if rates.take(now, key(who)) {
                // Milliseconds and single precision make the difference.
                assert!(
                    level + 1.0 <= rate.burst + 0.02,
                    "{who} at {now} stands at {level}"
                );
                own.insert(who, (level + 1.0, now));
            } else {
                less += u32::from(exact);
            }
            all += u32::from(exact);
        }
        assert!(
            less * 20 < all,
            "{less} of {all} were kept out by others' keys"
        );
    }

    #[test]
    fn memory_does_not_grow_with_keys() {
        let mut rates = Rates::new(
            Rate {
                per_second: 1.0,
                burst: 2.0,
            },
            4_096,
            0,
        );
        let before = rates.memory();
        (0..100_000).for_each(|n| {
            rates.take(0, key(n));
        });
        assert_eq!((rates.memory(), before), (4 * 4_096 * 8, 4 * 4_096 * 8));
    }
}
