//! The in-memory index: from a key's fingerprint to the location of its record.
//!
//! Entries take twelve bytes and stand sorted by fingerprint in one table with linear probing, so
//! that the table grows in one pass. Keys are not in memory: two keys may share a fingerprint, and
//! the caller has to compare the key on disk.

#[cfg(test)]
mod tests;

/// Position of a segment in the table of open segments. Unlike a segment's identifier it is reused.
pub type SegmentSlot = u16;

/// Granularity in bytes of the record sizes in the index.
const SIZE_UNIT_BYTES: usize = 8;

/// The fingerprint of a key: the upper half of its 64-bit hash.
#[must_use]
pub fn fingerprint(key: &[u8]) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key) >> 32) as u32
}

/// The location of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordLocation {
    /// Slot of the record's segment.
    pub segment: SegmentSlot,
    /// Offset of the record in the segment, in bytes; never 0.
    pub offset: u32,
    /// Size of the record in units of eight bytes, rounded up. `u16::MAX` stands for that size and
    /// any larger one.
    pub size_units: u16,
}

impl RecordLocation {
    /// The location of a record of `size` bytes.
    #[must_use]
    pub fn new(segment: SegmentSlot, offset: u32, size: usize) -> Self {
        Self {
            segment,
            offset,
            size_units: u16::try_from(size.div_ceil(SIZE_UNIT_BYTES)).unwrap_or(u16::MAX),
        }
    }

    /// Size of the record in bytes, rounded up to the granularity of the index; a lower bound for
    /// the largest records.
    #[must_use]
    pub fn approximate_size(&self) -> usize {
        usize::from(self.size_units) * SIZE_UNIT_BYTES
    }

    fn pack(self) -> u64 {
        u64::from(self.segment) << 48 | u64::from(self.offset) << 16 | u64::from(self.size_units)
    }

    fn unpack(packed: u64) -> Self {
        Self {
            segment: (packed >> 48) as u16,
            offset: (packed >> 16) as u32,
            size_units: packed as u16,
        }
    }
}

/// Cells after the last home cell, so that a probe never wraps around.
const OVERFLOW_CELLS: usize = 64;
/// Home cells of the smallest table.
const MIN_HOME_CELLS: usize = 64;
/// The table grows beyond this load, in percent of its home cells.
const MAX_LOAD_PERCENT: usize = 86;
/// Load of a table that is built from a known number of entries, in percent.
const BUILD_LOAD_PERCENT: usize = MAX_LOAD_PERCENT - 10;
/// Content of an empty cell. No packed location equals it, as offsets are never 0.
const EMPTY: u64 = 0;

/// The index. Entries with the same fingerprint are adjacent.
#[derive(Debug)]
pub struct Index {
    fingerprints: Vec<u32>,
    /// Packed locations, [`EMPTY`] for an empty cell.
    locations: Vec<u64>,
    home_cells: usize,
    len: usize,
}

impl Default for Index {
    fn default() -> Self {
        Self::with_cells(MIN_HOME_CELLS, OVERFLOW_CELLS)
    }
}

impl Index {
    fn with_cells(home_cells: usize, overflow_cells: usize) -> Self {
        let cells = home_cells + overflow_cells;
        Self {
            fingerprints: vec![0; cells],
            locations: vec![EMPTY; cells],
            home_cells,
            len: 0,
        }
    }

    /// Builds an index from entries that are sorted by fingerprint, in one pass.
    #[must_use]
    pub fn build(entries: &[(u32, RecordLocation)]) -> Self {
        let home_cells = (entries.len() * 100 / BUILD_LOAD_PERCENT).max(MIN_HOME_CELLS);
        Self::lay_out(home_cells, || entries.iter().copied())
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory of the index in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.fingerprints.capacity() * size_of::<u32>()
            + self.locations.capacity() * size_of::<u64>()
    }

    /// Iterates over the locations of all entries with this fingerprint.
    pub fn find(&self, fingerprint: u32) -> impl Iterator<Item = RecordLocation> + '_ {
        self.matching_cells(fingerprint)
            .map(|cell| RecordLocation::unpack(self.locations[cell]))
    }

    /// Whether there is an entry with this fingerprint and location.
    #[must_use]
    pub fn contains(&self, fingerprint: u32, location: RecordLocation) -> bool {
        self.find(fingerprint).any(|other| other == location)
    }

    /// Iterates over all entries, sorted by fingerprint.
    pub fn iter(&self) -> impl Iterator<Item = (u32, RecordLocation)> + '_ {
        let cells = self.fingerprints.iter().zip(&self.locations);
        let entries = cells.filter(|(_, packed)| **packed != EMPTY);
        entries.map(|(fingerprint, packed)| (*fingerprint, RecordLocation::unpack(*packed)))
    }

    /// Adds an entry.
    pub fn insert(&mut self, fingerprint: u32, location: RecordLocation) {
        if (self.len + 1) * 100 > self.home_cells * MAX_LOAD_PERCENT {
            self.grow();
        }
        while !self.try_insert(fingerprint, location.pack()) {
            self.grow();
        }
        self.len += 1;
    }

    /// Changes the location of an entry. Returns `false` if there is no such entry.
    pub fn replace(
        &mut self,
        fingerprint: u32,
        old_location: RecordLocation,
        new_location: RecordLocation,
    ) -> bool {
        match self.cell_of(fingerprint, old_location) {
            Some(cell) => {
                self.locations[cell] = new_location.pack();
                true
            }
            None => false,
        }
    }

    /// Removes an entry. Returns `false` if there is no such entry.
    pub fn remove(&mut self, fingerprint: u32, location: RecordLocation) -> bool {
        let Some(cell) = self.cell_of(fingerprint, location) else {
            return false;
        };
        // The entries after it that were displaced from their home cells move back by one.
        let mut end = cell + 1;
        while end < self.locations.len() && self.is_displaced(end) {
            end += 1;
        }
        self.fingerprints.copy_within(cell + 1..end, cell);
        self.locations.copy_within(cell + 1..end, cell);
        self.locations[end - 1] = EMPTY;
        self.len -= 1;
        true
    }

    fn home_cell(&self, fingerprint: u32) -> usize {
        ((u64::from(fingerprint) * self.home_cells as u64) >> 32) as usize
    }

    fn is_displaced(&self, cell: usize) -> bool {
        self.locations[cell] != EMPTY && self.home_cell(self.fingerprints[cell]) < cell
    }

    /// The cell of the first entry with this fingerprint, or the cell where such an entry belongs.
    fn seek(&self, fingerprint: u32) -> usize {
        let mut cell = self.home_cell(fingerprint);
        while cell < self.locations.len()
            && self.locations[cell] != EMPTY
            && self.fingerprints[cell] < fingerprint
        {
            cell += 1;
        }
        cell
    }

    fn matching_cells(&self, fingerprint: u32) -> impl Iterator<Item = usize> + '_ {
        let cells = self.seek(fingerprint)..self.locations.len();
        cells.take_while(move |cell| {
            self.locations[*cell] != EMPTY && self.fingerprints[*cell] == fingerprint
        })
    }

    fn cell_of(&self, fingerprint: u32, location: RecordLocation) -> Option<usize> {
        let packed = location.pack();
        self.matching_cells(fingerprint)
            .find(|cell| self.locations[*cell] == packed)
    }

    /// Inserts by shifting the entries up to the next empty cell by one. Returns `false` if there
    /// is no empty cell.
    fn try_insert(&mut self, fingerprint: u32, packed: u64) -> bool {
        let cell = self.seek(fingerprint);
        let Some(empty) = (cell..self.locations.len()).find(|cell| self.locations[*cell] == EMPTY)
        else {
            return false;
        };
        self.fingerprints.copy_within(cell..empty, cell + 1);
        self.locations.copy_within(cell..empty, cell + 1);
        self.fingerprints[cell] = fingerprint;
        self.locations[cell] = packed;
        true
    }

    fn grow(&mut self) {
        let home_cells = (self.home_cells + self.home_cells / 2).max(MIN_HOME_CELLS);
        *self = Self::lay_out(home_cells, || self.iter());
    }

    /// Lays out a table, with as many overflow cells as the entries need.
    fn lay_out<E: Iterator<Item = (u32, RecordLocation)>>(
        home_cells: usize,
        entries: impl Fn() -> E,
    ) -> Self {
        let mut overflow_cells = OVERFLOW_CELLS;
        loop {
            if let Some(table) = Self::try_lay_out(home_cells, overflow_cells, entries()) {
                return table;
            }
            // Many fingerprints at the upper end need more cells after the last home cell.
            overflow_cells *= 2;
        }
    }

    fn try_lay_out(
        home_cells: usize,
        overflow_cells: usize,
        entries: impl Iterator<Item = (u32, RecordLocation)>,
    ) -> Option<Self> {
        let mut table = Self::with_cells(home_cells, overflow_cells);
        let mut first_free_cell = 0;
        for (fingerprint, location) in entries {
            let cell = table.home_cell(fingerprint).max(first_free_cell);
            // The last cell stays empty: one more entry can be inserted wherever it belongs.
            if cell + 1 >= table.locations.len() {
                return None;
            }
            table.fingerprints[cell] = fingerprint;
            table.locations[cell] = location.pack();
            table.len += 1;
            first_free_cell = cell + 1;
        }
        Some(table)
    }
}
