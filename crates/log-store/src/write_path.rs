//! Writing batches into the log, and syncing it.

use crate::batch::{Batch, Change};
use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{
    encode_record, RecordHeader, RecordKind, Salt, SegmentId, MAX_BATCH_RECORDS, MAX_KEY_BYTES,
    MAX_VALUE_BYTES, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES,
};
use crate::index::{fingerprint, RecordLocation, SegmentSlot};
use crate::syncing::PendingSync;

/// Largest encoded batch in bytes.
const MAX_BATCH_BYTES: usize = 268_435_456;
/// The file of the active segment is extended ahead of writing by at most this many bytes at a
/// time.
const MAX_RESERVE_BYTES: u64 = 1_048_576;
/// The file of the active segment is extended by at most this fraction of the segment size at a
/// time.
const RESERVE_FRACTION: u64 = 8;
/// A compressed value is stored only if it saves at least this fraction of the value's size: less
/// is not worth the time to decompress it.
const MIN_COMPRESSION_GAIN_FRACTION: usize = 8;

/// A position in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LogPosition {
    segment_id: SegmentId,
    /// Size of the segment at the time, in bytes.
    size: u64,
}

/// A record that was encoded into a batch.
struct EncodedRecord {
    header: RecordHeader,
    /// Offset of the record in its segment, in bytes.
    offset: u64,
}

impl<F: FileSystem> Engine<F> {
    /// Appends a batch to the log and returns the sequence number of its last change.
    ///
    /// # Errors
    /// If the batch is too large, the disk is full, or the store accepts no writes.
    pub(crate) fn write(&mut self, batch: Batch) -> Result<u64, Error> {
        let active_slot = self.writable_slot()?;
        if batch.is_empty() {
            return Ok(self.next_sequence - 1);
        }
        let batch_bytes = validate_batch(&batch)? as u64;
        let size = self
            .segments
            .get(active_slot)
            .map_or(0, |segment| segment.file.size);
        let is_full = size + batch_bytes > self.options.segment_bytes;
        let slot = if size > SEGMENT_HEADER_BYTES as u64 && is_full {
            self.rotate_active_segment()?
        } else {
            active_slot
        };
        self.append_batch(slot, batch)
    }

    fn append_batch(&mut self, slot: SegmentSlot, batch: Batch) -> Result<u64, Error> {
        let Some(segment) = self.segments.get(slot) else {
            return Err(Error::ReadOnly);
        };
        let file = segment.file.clone();
        let salt = segment.header.salt;
        let mut bytes = std::mem::take(&mut self.encode_buffer);
        bytes.clear();
        let records = self.encode_batch(&batch, salt, file.size, &mut bytes);
        let end = file.size + bytes.len() as u64;
        self.reserve_space(slot, end);
        let appended = self.append_bytes(file.handle, &file.name, file.size, &bytes);
        self.encode_buffer = bytes;
        if let Some(segment) = self.segments.get_mut(slot) {
            match &appended {
                Ok(()) => segment.file.size = end,
                // Undoing the write truncated the file, and with it the reserved space.
                Err(_) => segment.file.reserved_size = 0,
            }
        }
        appended?;
        self.next_sequence += batch.len() as u64;
        for (record, change) in records.iter().zip(&batch.changes) {
            self.index_written_record(slot, record, &change.key)?;
        }
        Ok(self.next_sequence - 1)
    }

    /// Encodes a batch that will be appended at `start` of the segment with this `salt`.
    fn encode_batch(
        &self,
        batch: &Batch,
        salt: Salt,
        start: u64,
        output: &mut Vec<u8>,
    ) -> Vec<EncodedRecord> {
        let last = batch.len() - 1;
        let mut records = Vec::with_capacity(batch.len());
        for (position, change) in batch.changes.iter().enumerate() {
            let offset = start + output.len() as u64;
            let compressed = self.compress(change);
            let stored_value = compressed
                .as_deref()
                .or(change.value.as_deref())
                .unwrap_or_default();
            let kind = if change.value.is_some() {
                RecordKind::Put
            } else {
                RecordKind::Tombstone
            };
            let header = RecordHeader {
                starts_batch: position == 0,
                ends_batch: position == last,
                compressed: compressed.is_some(),
                follows_sync: position == 0 && self.durable_size == start,
                key_len: change.key.len(),
                value_len: stored_value.len(),
                expiry: change.expiry,
                ..RecordHeader::standalone(kind, self.next_sequence + position as u64)
            };
            encode_record(output, salt, offset, &header, &change.key, stored_value);
            records.push(EncodedRecord { header, offset });
        }
        records
    }

    /// The compressed value of a change, if it is to be stored compressed.
    fn compress(&self, change: &Change) -> Option<Vec<u8>> {
        let value = change.value.as_ref()?;
        let min_size = self.options.min_compressed_value_bytes?.max(1);
        if value.len() < min_size {
            return None;
        }
        let max_size = value.len() - value.len() / MIN_COMPRESSION_GAIN_FRACTION;
        let compressed = lz4_flex::compress_prepend_size(value);
        (compressed.len() <= max_size).then_some(compressed)
    }

    /// Extends the segment's file if a write up to `end` would exceed the reserved space. This only
    /// saves time: a disk that refuses it may still accept the write.
    fn reserve_space(&mut self, slot: SegmentSlot, end: u64) {
        let step = (self.options.segment_bytes / RESERVE_FRACTION).min(MAX_RESERVE_BYTES);
        let Some(segment) = self.segments.get_mut(slot) else {
            return;
        };
        let file = &mut segment.file;
        if end > file.reserved_size && self.files.reserve(file.handle, end + step).is_ok() {
            file.reserved_size = end + step;
        }
    }

    /// Makes the index point to a record that was just written.
    fn index_written_record(
        &mut self,
        slot: SegmentSlot,
        record: &EncodedRecord,
        key: &[u8],
    ) -> Result<(), Error> {
        let fingerprint = fingerprint(key);
        let header = &record.header;
        let size = header.size();
        // If this read fails, the index lacks what the log has. Opening the store again rebuilds
        // it.
        let previous = self.find(key).map_err(|error| self.poison(error))?;
        if let Some(previous) = previous {
            self.remove_from_index(fingerprint, previous.location, previous.size);
        }
        if let Some(segment) = self.segments.get_mut(slot) {
            segment.usage.include_sequence(header.sequence);
            if header.kind == RecordKind::Tombstone {
                segment.usage.tombstone_bytes += size as u64;
            }
        }
        if header.kind == RecordKind::Put {
            let location = RecordLocation::new(slot, record.offset as u32, size);
            self.add_to_index(fingerprint, location, size);
        }
        Ok(())
    }

    /// Makes everything that was written so far durable.
    ///
    /// # Errors
    /// If the file system fails to sync, which poisons the store, or if the store accepts no
    /// writes.
    pub(crate) fn sync(&mut self) -> Result<(), Error> {
        let file = self.writable_segment()?.file.clone();
        if self.durable_size == file.size {
            return Ok(());
        }
        self.stats.syncs += 1;
        if let Err(source) = self.files.sync(file.handle) {
            let error = Error::io(&file.name, "sync")(source);
            return Err(self.poison(error));
        }
        self.durable_size = file.size;
        Ok(())
    }

    /// Begins a sync that may run on another thread; `None` if everything is durable.
    ///
    /// # Errors
    /// If the file system fails, or if the store accepts no writes.
    pub(crate) fn begin_sync(&mut self) -> Result<Option<PendingSync>, Error> {
        let segment = self.writable_segment()?;
        let file = segment.file.clone();
        let segment_id = segment.header.id;
        if self.durable_size == file.size {
            return Ok(None);
        }
        self.stats.syncs += 1;
        let task = self
            .files
            .sync_task(file.handle)
            .map_err(Error::io(&file.name, "sync"))?;
        Ok(Some(PendingSync::new(segment_id, file.size, task)))
    }

    /// Takes the result of a sync that has run.
    ///
    /// # Errors
    /// If the sync failed, which poisons the store, or if the store accepts no writes.
    pub(crate) fn complete_sync(&mut self, syncing: PendingSync) -> Result<(), Error> {
        let segment = self.writable_segment()?;
        let name = segment.file.name.clone();
        let is_active_segment = segment.header.id == syncing.segment_id;
        let size = syncing.size;
        if let Err(source) = syncing.into_result() {
            let error = Error::io(&name, "sync")(source);
            return Err(self.poison(error));
        }
        // A segment that is no longer active was synced when it was sealed.
        if is_active_segment {
            self.durable_size = self.durable_size.max(size);
        }
        Ok(())
    }

    /// The end of the log: everything written so far is before it.
    pub(crate) fn log_end(&self) -> LogPosition {
        let active = self.active_slot.and_then(|slot| self.segments.get(slot));
        active.map_or(
            LogPosition {
                segment_id: SegmentId(0),
                size: 0,
            },
            |segment| LogPosition {
                segment_id: segment.header.id,
                size: segment.file.size,
            },
        )
    }

    /// Whether everything before this position is durable. A segment that is no longer active was
    /// synced when it was sealed.
    pub(crate) fn is_durable(&self, position: LogPosition) -> bool {
        self.log_end().segment_id != position.segment_id || self.durable_size >= position.size
    }
}

/// Checks a batch against the limits and returns its size in bytes, encoded without compression.
fn validate_batch(batch: &Batch) -> Result<usize, Error> {
    let mut encoded_bytes = 0;
    for change in &batch.changes {
        let value_len = change.value.as_ref().map_or(0, Vec::len);
        check_limit("a key", change.key.len(), MAX_KEY_BYTES)?;
        check_limit("a value", value_len, MAX_VALUE_BYTES)?;
        encoded_bytes += RECORD_HEADER_BYTES + change.key.len() + value_len;
    }
    check_limit("a batch", batch.len(), MAX_BATCH_RECORDS)?;
    check_limit("a batch's bytes", encoded_bytes, MAX_BATCH_BYTES)?;
    Ok(encoded_bytes)
}

fn check_limit(what: &'static str, size: usize, max: usize) -> Result<(), Error> {
    if size > max {
        return Err(Error::TooLarge { what, size, max });
    }
    Ok(())
}
