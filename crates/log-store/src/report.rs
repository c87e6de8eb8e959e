//! What the store reports to its caller: recovery, checks, statistics.

use std::fmt;

/// A damaged range of a segment: name of the file, offset in bytes, length in bytes.
pub type DamagedRange = (String, u64, u64);

/// Most damaged ranges that are listed, so that memory stays bounded. Further ones are left out.
pub(crate) const MAX_LISTED_DAMAGE: usize = 1_000;

/// Adds a damaged range to a list. A range that continues the last one is merged with it.
pub(crate) fn push_damaged_range(
    ranges: &mut Vec<DamagedRange>,
    file: &str,
    offset: u64,
    length: u64,
) {
    if let Some((last_file, last_offset, last_length)) = ranges.last_mut() {
        if last_file == file && *last_offset + *last_length == offset {
            *last_length += length;
            return;
        }
    }
    if ranges.len() < MAX_LISTED_DAMAGE {
        ranges.push((file.to_owned(), offset, length));
    }
}

/// What recovery found when the store was opened. Its `Display` form is a summary in one line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Number of segments that were opened.
    pub segments: usize,
    /// Number of those segments whose records were read from a hint file.
    pub segments_with_hint: usize,
    /// Number of intact records that were read.
    pub records_read: u64,
    /// Number of keys that have a value.
    pub keys: u64,
    /// Bytes of the torn tail of the newest segment, left by a crash.
    pub torn_tail_bytes: u64,
    /// Damaged ranges inside segments; at most 1,000 are listed.
    pub damaged_ranges: Vec<DamagedRange>,
    /// Names of files that cannot be read and were quarantined under this name.
    pub quarantined: Vec<String>,
    /// Number of files of interrupted operations that were removed.
    pub removed_leftovers: usize,
}

impl RecoveryReport {
    /// Adds a damaged range.
    pub(crate) fn add_damage(&mut self, file: &str, offset: u64, length: u64) {
        push_damaged_range(&mut self.damaged_ranges, file, offset, length);
    }
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} keys in {} segments ({} by hints), {} records read",
            self.keys, self.segments, self.segments_with_hint, self.records_read
        )?;
        if self.torn_tail_bytes > 0 {
            write!(
                f,
                "; a torn tail of {} bytes was truncated",
                self.torn_tail_bytes
            )?;
        }
        if self.removed_leftovers > 0 {
            write!(
                f,
                "; {} unfinished files were removed",
                self.removed_leftovers
            )?;
        }
        for (file, offset, length) in &self.damaged_ranges {
            write!(f, "; {file}: {length} bytes at {offset} are damaged")?;
        }
        for file in &self.quarantined {
            write!(f, "; {file}: can't be read, set aside")?;
        }
        Ok(())
    }
}

/// Result of [`Store::verify`](crate::Store::verify).
#[derive(Debug, Clone, Default)]
pub struct CheckReport {
    /// Number of intact records.
    pub records_read: u64,
    /// Bytes that were read.
    pub bytes: u64,
    /// Damaged ranges; at most 1,000 are listed.
    pub damaged_ranges: Vec<DamagedRange>,
}

/// Statistics of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of keys that have a value, including expired ones that compaction has not dropped
    /// yet.
    pub keys: u64,
    /// Number of segments.
    pub segments: u64,
    /// Total size of all segments in bytes.
    pub bytes: u64,
    /// Total size of live records in bytes.
    pub live_bytes: u64,
    /// Memory of the index in bytes.
    pub index_bytes: u64,
    /// Number of expired records that were dropped since the store was opened.
    pub expired_records: u64,
    /// Number of live records that were evicted to respect the size limit since the store was
    /// opened.
    pub evicted_records: u64,
    /// Number of segments that compaction replaced since the store was opened.
    pub compacted_segments: u64,
    /// Number of syncs since the store was opened.
    pub syncs: u64,
}

/// Whether there is more maintenance to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceStatus {
    /// There is nothing to do at the moment.
    Idle,
    /// There may be more to do: call [`Store::run_maintenance_step`](crate::Store::run_maintenance_step) again.
    MoreToDo,
}
