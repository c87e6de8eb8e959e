//! Opening segment files: reads their headers, and which segments the compacted ones replace.

use crate::error::Error;
use crate::file_io::read_range;
use crate::files::{FileHandle, FileSystem};
use crate::folder_listing::FolderListing;
use crate::format::{
    decode_segment_header, quarantined_file_name, segment_file_name, DecodedSegmentHeader,
    RecordKind, SegmentHeader, SegmentId, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES,
};
use crate::report::RecoveryReport;
use crate::scan::{scan_record, ScanResult};
use crate::segment::Segment;
use crate::segment_recovery::OpenMode;

/// Bytes that are read at first to find the first record of a segment; more if it is larger.
const FIRST_RECORD_READ_BYTES: usize = 4_096;

/// A segment that was opened and whose records were not read yet.
pub(crate) struct OpenedSegment {
    pub segment: Segment,
    /// Identifiers of the segments that it replaces.
    pub replaced_ids: Vec<SegmentId>,
}

/// Result of opening one segment file.
enum OpenOutcome {
    Opened(OpenedSegment),
    /// Its creation was interrupted by a crash: nothing in it can have been acknowledged.
    NeverWritten(String),
    Quarantined,
}

/// Opens all listed segments. Adds those that were never written to the listing's leftovers, and
/// quarantines those whose header is damaged.
///
/// # Errors
/// If a segment has a newer format, or if the file system fails.
pub(crate) fn open_segments<F: FileSystem>(
    files: &mut F,
    listing: &mut FolderListing,
    mode: OpenMode,
    report: &mut RecoveryReport,
) -> Result<Vec<OpenedSegment>, Error> {
    let mut opened = Vec::new();
    let newest_id = listing.newest_segment_id();
    for id in &listing.segment_ids {
        let is_newest = Some(*id) == newest_id;
        match open_segment(files, *id, is_newest, mode, report)? {
            OpenOutcome::Opened(segment) => opened.push(segment),
            OpenOutcome::NeverWritten(name) => listing.leftovers.push(name),
            OpenOutcome::Quarantined => {}
        }
    }
    Ok(opened)
}

fn open_segment<F: FileSystem>(
    files: &mut F,
    id: SegmentId,
    is_newest: bool,
    mode: OpenMode,
    report: &mut RecoveryReport,
) -> Result<OpenOutcome, Error> {
    let name = segment_file_name(id);
    let file = files.open(&name).map_err(Error::io(&name, "open"))?;
    let size = files.size(file).map_err(Error::io(&name, "get the size"))?;
    let bytes = read_range(files, file, &name, 0, SEGMENT_HEADER_BYTES)?;
    match decode_segment_header(&bytes) {
        DecodedSegmentHeader::Valid(header) if header.id == id => {
            let segment = sealed_segment(header, file, name, size);
            let replaced_ids = read_replaced_ids(files, &segment)?;
            Ok(OpenOutcome::Opened(OpenedSegment {
                segment,
                replaced_ids,
            }))
        }
        DecodedSegmentHeader::UnsupportedVersion(version) => Err(Error::UnsupportedVersion {
            file: name,
            version,
        }),
        DecodedSegmentHeader::Valid(_) | DecodedSegmentHeader::Damaged => {
            files.close(file);
            if is_newest && size <= SEGMENT_HEADER_BYTES as u64 {
                return Ok(OpenOutcome::NeverWritten(name));
            }
            quarantine(files, id, name, mode, report)?;
            Ok(OpenOutcome::Quarantined)
        }
    }
}

fn sealed_segment(header: SegmentHeader, file: FileHandle, name: String, size: u64) -> Segment {
    let mut segment = Segment::new(header, file, name, size);
    segment.seal();
    segment
}

/// Renames a segment without an intact header, unless the store is open for reading only.
fn quarantine<F: FileSystem>(
    files: &mut F,
    id: SegmentId,
    name: String,
    mode: OpenMode,
    report: &mut RecoveryReport,
) -> Result<(), Error> {
    if mode == OpenMode::ReadOnly {
        report.quarantined.push(name);
        return Ok(());
    }
    let quarantined_name = quarantined_file_name(id);
    files
        .rename(&name, &quarantined_name)
        .map_err(Error::io(&name, "quarantine"))?;
    report.quarantined.push(quarantined_name);
    Ok(())
}

/// Identifiers of the segments that a compacted segment replaces.
fn read_replaced_ids<F: FileSystem>(files: &F, segment: &Segment) -> Result<Vec<SegmentId>, Error> {
    if !segment.header.compacted {
        return Ok(Vec::new());
    }
    let offset = SEGMENT_HEADER_BYTES as u64;
    let salt = segment.header.salt;
    let mut length = FIRST_RECORD_READ_BYTES;
    loop {
        let bytes = segment.read(files, offset, length)?;
        match scan_record(&bytes, salt, offset, bytes.len() < length) {
            ScanResult::Record(header) if header.kind == RecordKind::Replaces => {
                return Ok(decode_ids(&bytes[RECORD_HEADER_BYTES..header.size()]));
            }
            ScanResult::NeedMore(needed) => length = needed.max(length + 1),
            ScanResult::Record(_) | ScanResult::Damaged(_) | ScanResult::End => {
                return Ok(Vec::new());
            }
        }
    }
}

fn decode_ids(bytes: &[u8]) -> Vec<SegmentId> {
    let chunks = bytes.chunks_exact(size_of::<u64>());
    chunks
        .filter_map(|chunk| chunk.first_chunk())
        .map(|chunk| SegmentId(u64::from_le_bytes(*chunk)))
        .collect()
}
