//! Rate limits for any number of keys in a fixed amount of memory: a count-min sketch whose cells
//! are leaky buckets.
//!
//! A key has one cell in each row, and its level is the lowest level of these cells. An event
//! raises only those cells that are below the new level (conservative update). The level that is
//! read is never below that of an exact bucket for the key, so no key exceeds its rate; a key that
//! shares all its cells with busy keys gets less than its rate.

use cleatpulley_policy::interface::Micros;

/// Number of rows of the sketch, and of cells per key.
const ROWS: usize = 4;
/// Minimum width of the sketch, in cells per row.
const MIN_WIDTH: usize = 16;
/// Maximum width of the sketch, in cells per row.
const MAX_WIDTH: usize = 1 << 24;
/// 2^64 divided by the golden ratio, for Knuth's multiplicative hashing.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in events per second.
    pub per_second: f64,
    /// Maximum number of events at once, at least one.
    pub burst: f64,
}

/// A leaky bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    /// Number of events in the bucket at `updated_at_ms`.
    level: f32,
    /// Time of the last update, in milliseconds since the creation of the sketch.
    updated_at_ms: u32,
}

/// A sketch of leaky buckets for all keys.
#[derive(Debug, Clone)]
pub struct RateSketch {
    leak_per_ms: f32,
    burst: f32,
    created_at: Micros,
    /// Number of cells per row, a power of two, minus one.
    column_mask: usize,
    /// The cells in row-major order.
    cells: Vec<Cell>,
}

impl RateSketch {
    /// Creates a sketch of empty buckets with `width` cells per row, rounded up to a power of two.
    #[must_use]
    pub fn new(limit: RateLimit, width: usize, now: Micros) -> Self {
        let width = width.clamp(MIN_WIDTH, MAX_WIDTH).next_power_of_two();
        Self {
            leak_per_ms: (limit.per_second / 1e3) as f32,
            burst: limit.burst.max(1.0) as f32,
            created_at: now,
            column_mask: width - 1,
            cells: vec![Cell::default(); ROWS * width],
        }
    }

    /// Returns the memory used by the cells in bytes, which does not depend on the number of keys.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.cells.len() * size_of::<Cell>()
    }

    /// Reads the level of a key without counting an event. The bits of the key must be uniformly
    /// distributed.
    #[inline]
    #[must_use]
    pub fn read(&self, now: Micros, key: u64) -> BucketReading {
        let now_ms = (now.saturating_sub(self.created_at) / 1_000) as u32;
        let mut reading = BucketReading {
            read_at_ms: now_ms,
            cell_indices: [0; ROWS],
            cell_levels: [0.0; ROWS],
            level: f32::MAX,
        };
        for row in 0..ROWS {
            let index = self.cell_index(row, key);
            let cell = self.cells[index];
            let leaked = now_ms.wrapping_sub(cell.updated_at_ms) as f32 * self.leak_per_ms;
            let cell_level = (cell.level - leaked).max(0.0);
            reading.cell_indices[row] = index;
            reading.cell_levels[row] = cell_level;
            reading.level = reading.level.min(cell_level);
        }
        reading
    }

    /// Returns the index of a key's cell in a row. Each row uses a different sixteen bits of the
    /// key; the multiplication mixes in the other bits for rows of more than 2^16 columns.
    #[inline]
    fn cell_index(&self, row: usize, key: u64) -> usize {
        let rotated = key.rotate_left(16 * row as u32);
        let hash = rotated.wrapping_mul(HASH_MULTIPLIER) >> 32;
        let column = hash as usize & self.column_mask;
        row * (self.column_mask + 1) + column
    }

    /// Returns whether the limit permits another event of the reading's key.
    #[must_use]
    pub fn has_capacity(&self, reading: &BucketReading) -> bool {
        reading.level + 1.0 <= self.burst
    }

    /// Counts an event of the reading's key. The sketch must not have changed since the reading.
    pub fn record(&mut self, reading: &BucketReading) {
        let new_level = reading.level + 1.0;
        for (index, cell_level) in reading.cell_indices.iter().zip(reading.cell_levels) {
            self.cells[*index] = Cell {
                level: cell_level.max(new_level),
                updated_at_ms: reading.read_at_ms,
            };
        }
    }

    /// Counts an event of a key if the limit permits it. Returns whether it does.
    pub fn try_acquire(&mut self, now: Micros, key: u64) -> bool {
        let reading = self.read(now, key);
        let is_permitted = self.has_capacity(&reading);
        if is_permitted {
            self.record(&reading);
        }
        is_permitted
    }
}

/// The level of a key at one time, with the levels of its cells.
#[derive(Debug, Clone, Copy)]
pub struct BucketReading {
    read_at_ms: u32,
    cell_indices: [usize; ROWS],
    cell_levels: [f32; ROWS],
    /// The lowest of the cell levels.
    level: f32,
}
