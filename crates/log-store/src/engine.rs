//! The state of an open store, and the basic operations on it that all others share.

use crate::compaction_policy::CompactionCandidate;
use crate::error::Error;
use crate::files::{FileHandle, FileSystem};
use crate::format::{Salt, SegmentId};
use crate::index::{Index, RecordLocation, SegmentSlot};
use crate::options::Options;
use crate::report::Stats;
use crate::segment::Segment;
use crate::segment_table::SegmentTable;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::ErrorKind;

/// Odd number that spreads segment identifiers over the bits of a salt: 2^64 divided by the golden
/// ratio.
const SALT_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The state of an open store.
pub(crate) struct Engine<F: FileSystem> {
    pub files: F,
    pub options: Options,
    pub segments: SegmentTable,
    pub index: Index,
    /// Counters since the store was opened; the other fields are computed when they are asked for.
    pub stats: Stats,
    pub next_segment_id: SegmentId,
    /// Slot of the segment that is written to; `None` if the store is open for reading only.
    pub active_slot: Option<SegmentSlot>,
    pub next_sequence: u64,
    /// Everything before this offset of the active segment is durable.
    pub durable_size: u64,
    /// Buffer for encoding batches, reused.
    pub encode_buffer: Vec<u8>,
    /// Message of the error after which the content of the disk is unknown.
    write_fault: Option<String>,
    random: SmallRng,
}

impl<F: FileSystem> Engine<F> {
    /// A store without segments, which accepts no writes.
    pub(crate) fn new(files: F, options: Options) -> Self {
        let random = SmallRng::seed_from_u64(options.seed);
        Self {
            files,
            options,
            segments: SegmentTable::default(),
            index: Index::default(),
            stats: Stats::default(),
            next_segment_id: SegmentId(1),
            active_slot: None,
            next_sequence: 1,
            durable_size: 0,
            encode_buffer: Vec::new(),
            write_fault: None,
            random,
        }
    }

    /// Allocates the identifier of a new segment.
    pub(crate) fn allocate_segment_id(&mut self) -> SegmentId {
        let id = self.next_segment_id;
        self.next_segment_id = SegmentId(id.0 + 1);
        id
    }

    /// A salt for the segment with this identifier.
    pub(crate) fn generate_salt(&mut self, segment_id: SegmentId) -> Salt {
        Salt(self.random.random::<u64>() ^ segment_id.0.wrapping_mul(SALT_MULTIPLIER))
    }

    /// Slot of the segment that is written to.
    ///
    /// # Errors
    /// If the store accepts no writes.
    pub(crate) fn writable_slot(&self) -> Result<SegmentSlot, Error> {
        if let Some(fault) = &self.write_fault {
            return Err(Error::WritesDisabled(fault.clone()));
        }
        self.active_slot.ok_or(Error::ReadOnly)
    }

    /// The segment that is written to.
    ///
    /// # Errors
    /// If the store accepts no writes.
    pub(crate) fn writable_segment(&self) -> Result<&Segment, Error> {
        let slot = self.writable_slot()?;
        self.segments.get(slot).ok_or(Error::ReadOnly)
    }

    /// Rejects all writes from now on because of this error, and returns the error.
    pub(crate) fn poison(&mut self, error: Error) -> Error {
        if self.write_fault.is_none() {
            self.write_fault = Some(error.to_string());
        }
        error
    }

    /// Why the store rejects writes, if it does.
    pub(crate) fn write_fault(&self) -> Option<&str> {
        self.write_fault.as_deref()
    }

    /// Makes the store accept no writes because it is open for reading only.
    pub(crate) fn make_read_only(&mut self) {
        self.active_slot = None;
        self.write_fault = None;
    }

    /// Adds a record to the index and to the live bytes of its segment.
    pub(crate) fn add_to_index(&mut self, fingerprint: u32, location: RecordLocation, size: usize) {
        self.index.insert(fingerprint, location);
        self.add_live_bytes(location.segment, size);
    }

    /// Removes a record from the index and from the live bytes of its segment, if it is there.
    pub(crate) fn remove_from_index(
        &mut self,
        fingerprint: u32,
        location: RecordLocation,
        size: usize,
    ) {
        if self.index.remove(fingerprint, location) {
            self.subtract_live_bytes(location.segment, size);
        }
    }

    pub(crate) fn add_live_bytes(&mut self, slot: SegmentSlot, size: usize) {
        if let Some(segment) = self.segments.get_mut(slot) {
            segment.usage.live_bytes += size as u64;
        }
    }

    pub(crate) fn subtract_live_bytes(&mut self, slot: SegmentSlot, size: usize) {
        if let Some(segment) = self.segments.get_mut(slot) {
            let usage = &mut segment.usage;
            usage.live_bytes = usage.live_bytes.saturating_sub(size as u64);
        }
    }

    /// Appends bytes to a file at `offset`, its end: either all of them or none.
    ///
    /// # Errors
    /// If the file system fails to write. The file is truncated to `offset` then; if that fails
    /// too, the store is poisoned.
    pub(crate) fn append_bytes(
        &mut self,
        file: FileHandle,
        name: &str,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), Error> {
        let Err(error) = self.try_append_bytes(file, name, offset, bytes) else {
            return Ok(());
        };
        // A part of a record must not stay where the next one is to begin.
        if let Err(source) = self.files.truncate(file, offset) {
            let error = Error::io(name, "undo a write")(source);
            return Err(self.poison(error));
        }
        Err(error)
    }

    fn try_append_bytes(
        &mut self,
        file: FileHandle,
        name: &str,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), Error> {
        let mut written = 0;
        while written < bytes.len() {
            let position = offset + written as u64;
            match self.files.append(file, position, &bytes[written..]) {
                Ok(0) => {
                    return Err(Error::DiskFull {
                        file: name.to_owned(),
                    })
                }
                Ok(length) => written += length,
                Err(source) if source.kind() == ErrorKind::Interrupted => {}
                Err(source) => return Err(Error::io(name, "write")(source)),
            }
        }
        Ok(())
    }

    /// Statistics of the store.
    pub(crate) fn stats(&self) -> Stats {
        Stats {
            keys: self.index.len() as u64,
            segments: self.segments.iter().count() as u64,
            bytes: self.total_bytes(),
            live_bytes: self
                .segments
                .iter()
                .map(|segment| segment.usage.live_bytes)
                .sum(),
            index_bytes: self.index.memory_bytes() as u64,
            ..self.stats
        }
    }

    /// Total size of all segments in bytes.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.file.size).sum()
    }

    /// What the compaction policy needs to know about all segments.
    pub(crate) fn compaction_candidates(&self) -> Vec<CompactionCandidate> {
        let candidate = |(slot, segment): (SegmentSlot, &Segment)| CompactionCandidate {
            slot,
            size: segment.file.size,
            live_bytes: segment.usage.live_bytes,
            tombstone_bytes: segment.usage.tombstone_bytes,
            min_sequence: segment.usage.min_sequence,
            max_sequence: segment.usage.max_sequence,
            is_sealed: segment.is_sealed(),
        };
        self.segments.iter_slots().map(candidate).collect()
    }

    /// Lowest sequence numbers of all segments except those for which `is_removed` holds.
    pub(crate) fn min_sequences_except(
        &self,
        is_removed: impl Fn(SegmentSlot) -> bool,
    ) -> Vec<u64> {
        self.segments
            .iter_slots()
            .filter(|(slot, _)| !is_removed(*slot))
            .map(|(_, segment)| segment.usage.min_sequence)
            .collect()
    }
}
