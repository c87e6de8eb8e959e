//! Sorting the files of a store's folder by their names.

use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{hint_file_name, FileKind, SegmentId};
use std::collections::BTreeSet;

/// The files in a store's folder.
#[derive(Debug, Default)]
pub(crate) struct FolderListing {
    /// Identifiers of the segments, sorted.
    pub segment_ids: Vec<SegmentId>,
    /// Identifiers of the segments that have a hint file.
    pub hint_ids: BTreeSet<SegmentId>,
    /// Names of files that an interrupted operation left and that are to be removed.
    pub leftovers: Vec<String>,
    /// Names of quarantined files.
    pub quarantined: Vec<String>,
}

impl FolderListing {
    /// Lists the folder.
    ///
    /// # Errors
    /// If the folder contains a foreign file, or if the file system fails.
    pub(crate) fn read<F: FileSystem>(files: &F) -> Result<Self, Error> {
        let mut listing = Self::default();
        for name in files.list().map_err(Error::folder)? {
            match FileKind::from_name(&name) {
                FileKind::Segment(id) => listing.segment_ids.push(id),
                FileKind::Hint(id) => {
                    listing.hint_ids.insert(id);
                }
                FileKind::Unfinished => listing.leftovers.push(name),
                FileKind::Lock => {}
                FileKind::Quarantined => listing.quarantined.push(name),
                FileKind::Foreign => return Err(Error::ForeignFile { file: name }),
            }
        }
        listing.segment_ids.sort_unstable();
        Ok(listing)
    }

    pub(crate) fn newest_segment_id(&self) -> Option<SegmentId> {
        self.segment_ids.last().copied()
    }

    /// Adds the hint files without a segment to the leftovers.
    pub(crate) fn add_orphaned_hints(&mut self, has_segment: impl Fn(SegmentId) -> bool) {
        let orphaned = self.hint_ids.iter().filter(|id| !has_segment(**id));
        self.leftovers
            .extend(orphaned.map(|id| hint_file_name(*id)));
    }
}
