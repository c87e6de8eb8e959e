//! The active segment: creating it, sealing it, and ending it when the store is closed.

use crate::engine::Engine;
use crate::error::Error;
use crate::files::{FileHandle, FileSystem};
use crate::format::{
    encode_record, segment_file_name, RecordHeader, RecordKind, SegmentHeader, SEGMENT_HEADER_BYTES,
};
use crate::index::SegmentSlot;
use crate::segment::Segment;

impl<F: FileSystem> Engine<F> {
    /// Creates a segment and makes it the active one.
    ///
    /// # Errors
    /// If the file system fails. The new file is removed then; if that fails too, the store is
    /// poisoned.
    pub(crate) fn create_active_segment(&mut self) -> Result<SegmentSlot, Error> {
        let id = self.allocate_segment_id();
        let name = segment_file_name(id);
        let header = SegmentHeader {
            id,
            salt: self.generate_salt(id),
            compacted: false,
        };
        let file = self
            .files
            .create(&name)
            .map_err(Error::io(&name, "create"))?;
        if let Err(error) = self.write_segment_header(file, &name, &header) {
            self.discard_new_segment(file, &name);
            return Err(error);
        }
        let size = SEGMENT_HEADER_BYTES as u64;
        let segment = Segment::new(header, file, name, size);
        let slot = self.segments.insert(segment)?;
        self.active_slot = Some(slot);
        self.durable_size = size;
        Ok(slot)
    }

    /// Writes the header of a new segment and makes it durable before any record is written, so
    /// that a crash leaves no segment without a header.
    fn write_segment_header(
        &mut self,
        file: FileHandle,
        name: &str,
        header: &SegmentHeader,
    ) -> Result<(), Error> {
        self.append_bytes(file, name, 0, &header.encode())?;
        self.files.sync(file).map_err(Error::io(name, "sync"))?;
        self.files
            .sync_folder()
            .map_err(Error::io(name, "sync the folder"))
    }

    /// Removes a new segment that could not be made durable. Guards against an empty segment that
    /// reappears after a crash and is taken for the newest, while records are still appended to the
    /// present one: the torn tail of that one would then be trusted.
    fn discard_new_segment(&mut self, file: FileHandle, name: &str) {
        self.files.close(file);
        let removed = self
            .files
            .remove(name)
            .and_then(|()| self.files.sync_folder());
        if let Err(source) = removed {
            self.poison(Error::io(name, "remove a new segment")(source));
        }
    }

    /// Makes the active segment durable, seals it and creates the next one.
    ///
    /// # Errors
    /// If the file system fails. The segment stays active then.
    pub(crate) fn rotate_active_segment(&mut self) -> Result<SegmentSlot, Error> {
        self.release_reserved_space()?;
        self.sync()?;
        let sealed_slot = self.active_slot;
        let slot = self.create_active_segment()?;
        if let Some(segment) = sealed_slot.and_then(|sealed| self.segments.get_mut(sealed)) {
            segment.seal();
        }
        Ok(slot)
    }

    /// Truncates the active segment's file to the end of its last record. The next sync makes that
    /// durable.
    fn release_reserved_space(&mut self) -> Result<(), Error> {
        let active = self.active_slot;
        let Some(segment) = active.and_then(|slot| self.segments.get_mut(slot)) else {
            return Ok(());
        };
        if segment.file.reserved_size <= segment.file.size {
            return Ok(());
        }
        segment.file.reserved_size = 0;
        let file = segment.file.clone();
        // The segment does not count as durable until it is synced again, whatever was written to
        // it.
        self.durable_size = self.durable_size.min(file.size.saturating_sub(1));
        self.files
            .truncate(file.handle, file.size)
            .map_err(Error::io(&file.name, "release the reserved space"))
    }

    /// Makes the active segment durable, ends it with a sync mark and seals it, so that the next
    /// opening trusts each of its records individually. Returns the sealed segment, or `None` if it
    /// has no records.
    ///
    /// # Errors
    /// If the file system fails, or if the store accepts no writes.
    pub(crate) fn seal_with_sync_mark(&mut self) -> Result<Option<SegmentSlot>, Error> {
        let slot = self.writable_slot()?;
        let Some(segment) = self.segments.get(slot) else {
            return Ok(None);
        };
        if segment.file.size == SEGMENT_HEADER_BYTES as u64 {
            return Ok(None);
        }
        let file = segment.file.clone();
        let salt = segment.header.salt;
        self.release_reserved_space()?;
        self.sync()?;
        let header = RecordHeader {
            follows_sync: true,
            ..RecordHeader::standalone(RecordKind::SyncMark, self.next_sequence)
        };
        let mut mark = Vec::new();
        encode_record(&mut mark, salt, file.size, &header, &[], &[]);
        self.append_bytes(file.handle, &file.name, file.size, &mark)?;
        self.files
            .sync(file.handle)
            .map_err(Error::io(&file.name, "sync"))?;
        if let Some(segment) = self.segments.get_mut(slot) {
            segment.file.size += mark.len() as u64;
            segment.seal();
        }
        Ok(Some(slot))
    }
}
