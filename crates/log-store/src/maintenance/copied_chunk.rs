//! The records that one step of a compaction copies.

use crate::compaction_policy::may_shadow_older;
use crate::engine::Engine;
use crate::files::FileSystem;
use crate::format::{encode_record, RecordHeader, RecordKind, Salt};
use crate::index::{fingerprint, RecordLocation, SegmentSlot};
use crate::segment_cursor::CursorRecord;

/// An index entry that points to a copy now.
pub(super) struct MovedRecord {
    pub fingerprint: u32,
    pub old_location: RecordLocation,
    pub new_location: RecordLocation,
    /// Size of the record in bytes.
    pub size: usize,
}

/// What copying depends on, and what does not change within a step.
pub(super) struct CopyContext {
    /// Slot of the new segment.
    pub output_slot: SegmentSlot,
    /// Salt of the new segment.
    pub salt: Salt,
    /// Offset in the new segment where the chunk begins, in bytes.
    pub start: u64,
    /// The present time in microseconds.
    pub now: u64,
    /// Lowest sequence numbers of the segments that remain.
    pub remaining_min_sequences: Vec<u64>,
}

/// The records that one step copies.
pub(super) struct CopiedChunk {
    context: CopyContext,
    /// The encoded records.
    pub bytes: Vec<u8>,
    /// The records that were copied, without tombstones.
    pub copies: Vec<MovedRecord>,
    /// Sequence numbers of all records in the chunk.
    pub sequences: Vec<u64>,
    /// Bytes of the tombstones in the chunk.
    pub tombstone_bytes: u64,
}

impl CopiedChunk {
    pub(super) fn new(context: CopyContext) -> Self {
        Self {
            context,
            bytes: Vec::new(),
            copies: Vec::new(),
            sequences: Vec::new(),
            tombstone_bytes: 0,
        }
    }

    /// Copies a record if it is live, replaces it by a tombstone if it has to shadow an older one,
    /// or drops it.
    pub(super) fn push<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        record: &CursorRecord<'_>,
    ) {
        let header = &record.header;
        let is_live = engine.is_live(record);
        let is_expired = is_live && header.is_expired(self.context.now);
        if is_live && !is_expired {
            self.push_copy(record);
        } else if (header.kind == RecordKind::Tombstone || is_expired)
            && self.may_shadow_older(header.sequence)
        {
            self.push_tombstone(record);
        }
        if is_expired {
            engine.remove_from_index(fingerprint(record.key), record.location, header.size());
            engine.stats.expired_records += 1;
        }
    }

    fn may_shadow_older(&self, sequence: u64) -> bool {
        may_shadow_older(
            sequence,
            self.context.remaining_min_sequences.iter().copied(),
        )
    }

    fn push_copy(&mut self, record: &CursorRecord<'_>) {
        let size = record.header.size();
        let offset = self.next_offset();
        let header = standalone(&record.header);
        self.encode(&header, record.key, record.stored_value);
        self.copies.push(MovedRecord {
            fingerprint: fingerprint(record.key),
            old_location: record.location,
            new_location: RecordLocation::new(self.context.output_slot, offset as u32, size),
            size,
        });
    }

    fn push_tombstone(&mut self, record: &CursorRecord<'_>) {
        let header = RecordHeader {
            kind: RecordKind::Tombstone,
            value_len: 0,
            compressed: false,
            expiry: 0,
            ..standalone(&record.header)
        };
        self.encode(&header, record.key, &[]);
        self.tombstone_bytes += header.size() as u64;
    }

    fn encode(&mut self, header: &RecordHeader, key: &[u8], stored_value: &[u8]) {
        let offset = self.next_offset();
        encode_record(
            &mut self.bytes,
            self.context.salt,
            offset,
            header,
            key,
            stored_value,
        );
        self.sequences.push(header.sequence);
    }

    /// Offset in the new segment of the next record, in bytes.
    fn next_offset(&self) -> u64 {
        self.context.start + self.bytes.len() as u64
    }
}

/// The header as that of a batch of one record: the batch that the record came from was complete,
/// or the record would not have been retained.
fn standalone(header: &RecordHeader) -> RecordHeader {
    RecordHeader {
        starts_batch: true,
        ends_batch: true,
        follows_sync: false,
        ..*header
    }
}
