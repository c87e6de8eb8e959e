//! Removing segments, or quarantining those that are damaged.

use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{hint_file_name, quarantined_file_name};
use crate::index::SegmentSlot;
use crate::segment::Segment;

impl<F: FileSystem> Engine<F> {
    /// Removes a segment together with its hint file. A damaged segment is renamed instead, so that
    /// it can be examined.
    ///
    /// # Errors
    /// If the file system fails. The segment is no longer open then, but its file may still be
    /// there.
    pub(crate) fn remove_segment(&mut self, slot: SegmentSlot) -> Result<(), Error> {
        let Some(segment) = self.segments.remove(slot) else {
            return Ok(());
        };
        self.files.close(segment.file.handle);
        if segment.has_hint() {
            let hint_name = hint_file_name(segment.header.id);
            self.files
                .remove(&hint_name)
                .map_err(Error::io(&hint_name, "remove"))?;
        }
        self.remove_segment_file(&segment)
    }

    fn remove_segment_file(&mut self, segment: &Segment) -> Result<(), Error> {
        let name = &segment.file.name;
        let removed = if segment.is_damaged {
            let quarantined_name = quarantined_file_name(segment.header.id);
            self.files.rename(name, &quarantined_name)
        } else {
            self.files.remove(name)
        };
        removed.map_err(Error::io(name, "remove"))
    }

    /// Removes a segment whose live records were copied or evicted.
    ///
    /// # Errors
    /// If the file system fails. That poisons the store: the segment would reappear at the next
    /// opening, after the tombstones that shadow its records were compacted away.
    pub(crate) fn remove_obsolete_segment(&mut self, slot: SegmentSlot) -> Result<(), Error> {
        self.remove_segment(slot)
            .map_err(|error| self.poison(error))
    }

    /// Makes all changes of file names durable.
    ///
    /// # Errors
    /// If the file system fails. That poisons the store, as it is not known then which files there
    /// are.
    pub(crate) fn sync_folder(&mut self) -> Result<(), Error> {
        self.files
            .sync_folder()
            .map_err(|source| self.poison(Error::folder(source)))
    }
}
