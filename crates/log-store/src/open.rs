//! Opening a store: lists the folder, recovers its segments and rebuilds the index.

use crate::batch::Batch;
use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::folder_listing::FolderListing;
use crate::format::{decode_record_header, SegmentId, RECORD_HEADER_BYTES};
use crate::options::Options;
use crate::report::RecoveryReport;
use crate::segment_opening::{open_segments, OpenedSegment};
use crate::segment_recovery::{OpenMode, SegmentRecovery, UnprovenRecord};
use std::collections::BTreeSet;
use std::io::ErrorKind;

/// How often opening for reading only is tried again after a file has vanished.
const MAX_READ_ONLY_RETRIES: u32 = 5;

impl<F: FileSystem> Engine<F> {
    /// Opens a store for reading and writing.
    ///
    /// # Errors
    /// If the options are invalid, if the store is locked, if the folder contains foreign files or
    /// a newer format, or if the file system fails.
    pub(crate) fn open(mut files: F, options: Options) -> Result<(Self, RecoveryReport), Error> {
        options.validate()?;
        if !files.lock().map_err(Error::folder)? {
            return Err(Error::Locked);
        }
        let mut engine = Self::new(files, options);
        let recovered = engine.recover(OpenMode::ReadWrite)?;
        if engine.active_slot.is_none() {
            engine.create_active_segment()?;
        }
        engine.rewrite_unproven(&recovered.unproven)?;
        let mut report = recovered.report;
        report.keys = engine.index.len() as u64;
        Ok((engine, report))
    }

    /// Opens a store for reading only.
    ///
    /// # Errors
    /// As [`open`](Self::open), except that the store is not locked.
    pub(crate) fn open_read_only(files: F) -> Result<(Self, RecoveryReport), Error> {
        let mut engine = Self::new(files, Options::default());
        let mut retries = 0;
        let mut report = loop {
            match engine.recover(OpenMode::ReadOnly) {
                Ok(recovered) => break recovered.report,
                // A writer compacted segments after the folder was listed.
                Err(error) if is_file_missing(&error) && retries < MAX_READ_ONLY_RETRIES => {
                    retries += 1;
                    engine.close_segments();
                }
                Err(error) => return Err(error),
            }
        };
        engine.make_read_only();
        report.keys = engine.index.len() as u64;
        Ok((engine, report))
    }

    fn close_segments(&mut self) {
        for segment in self.segments.iter() {
            self.files.close(segment.file.handle);
        }
        self.segments.clear();
        self.index = Default::default();
    }

    fn recover(&mut self, mode: OpenMode) -> Result<Recovered, Error> {
        let mut report = RecoveryReport::default();
        let mut listing = FolderListing::read(&self.files)?;
        report.quarantined.append(&mut listing.quarantined);
        self.next_segment_id = listing
            .newest_segment_id()
            .map_or(SegmentId(1), |newest| SegmentId(newest.0 + 1));
        let mut opened = open_segments(&mut self.files, &mut listing, mode, &mut report)?;
        move_replaced_to_leftovers(&mut opened, &mut listing);
        listing.add_orphaned_hints(|id| {
            opened
                .iter()
                .any(|opened_segment| opened_segment.segment.header.id == id)
        });
        if mode == OpenMode::ReadWrite {
            self.remove_leftovers(&listing.leftovers)?;
            report.removed_leftovers = listing.leftovers.len();
        }
        let newest_id = newest_written_segment(&opened);
        let mut recovery = SegmentRecovery::new(self, mode, newest_id, listing.hint_ids, report);
        for opened_segment in opened {
            recovery.recover_segment(opened_segment.segment)?;
        }
        let recovered = recovery.finish();
        if let Some(slot) = recovered.empty_newest {
            self.remove_segment(slot)?;
        }
        self.rebuild_index(&recovered.candidates)?;
        Ok(Recovered {
            report: recovered.report,
            unproven: recovered.unproven,
        })
    }

    fn remove_leftovers(&mut self, names: &[String]) -> Result<(), Error> {
        for name in names {
            self.files
                .remove(name)
                .map_err(Error::io(name, "remove a leftover"))?;
        }
        if !names.is_empty() {
            self.files.sync_folder().map_err(Error::folder)?;
        }
        Ok(())
    }

    /// Writes the live ones of these records again, to the new segment. Guards against a sync that
    /// failed before the store was opened: the operating system's cache still has the lost data, no
    /// later sync reports the loss, and a compaction would drop the durable record that the lost
    /// one seems to replace.
    fn rewrite_unproven(&mut self, unproven: &[UnprovenRecord]) -> Result<(), Error> {
        let mut has_written = false;
        for record in unproven {
            if let Some(batch) = self.copy_of_unproven(record)? {
                self.write(batch)?;
                has_written = true;
            }
        }
        if has_written {
            self.sync()?;
        }
        Ok(())
    }

    /// A batch that writes a record again, unless it is not live or is damaged. Reading it will
    /// report the damage.
    fn copy_of_unproven(&self, record: &UnprovenRecord) -> Result<Option<Batch>, Error> {
        let location = record.location;
        if !self.index.contains(record.fingerprint, location) {
            return Ok(None);
        }
        let Some(segment) = self.segments.get(location.segment) else {
            return Ok(None);
        };
        let offset = u64::from(location.offset);
        let header = segment.read(&self.files, offset, RECORD_HEADER_BYTES)?;
        let Some(header) = decode_record_header(&header, segment.header.salt, offset) else {
            return Ok(None);
        };
        let key_offset = offset + RECORD_HEADER_BYTES as u64;
        let key = segment.read(&self.files, key_offset, header.key_len)?;
        let Ok(Some(value)) = self.get(0, &key) else {
            return Ok(None);
        };
        let expiry = (header.expiry > 0).then_some(header.expiry);
        Ok(Some(Batch::default().put(&key, &value, expiry)))
    }
}

/// The result of recovering a folder.
struct Recovered {
    report: RecoveryReport,
    unproven: Vec<UnprovenRecord>,
}

/// Moves segments that compaction replaced to the leftovers. They must not be read: tombstones that
/// shadow their records may be gone.
fn move_replaced_to_leftovers(opened: &mut Vec<OpenedSegment>, listing: &mut FolderListing) {
    let replaced: BTreeSet<SegmentId> = opened
        .iter()
        .flat_map(|opened_segment| opened_segment.replaced_ids.iter().copied())
        .collect();
    opened.retain(|opened_segment| {
        let is_replaced = replaced.contains(&opened_segment.segment.header.id);
        if is_replaced {
            listing
                .leftovers
                .push(opened_segment.segment.file.name.clone());
        }
        !is_replaced
    });
}

/// The newest segment that was not written by compaction: the only one that can have a torn tail.
fn newest_written_segment(opened: &[OpenedSegment]) -> Option<SegmentId> {
    opened
        .iter()
        .filter(|opened_segment| !opened_segment.segment.header.compacted)
        .map(|opened_segment| opened_segment.segment.header.id)
        .max()
}

fn is_file_missing(error: &Error) -> bool {
    matches!(error, Error::Io { source, .. } if source.kind() == ErrorKind::NotFound)
}
