//! The settings of a store.

use crate::error::Error;
use std::ops::RangeInclusive;

/// Segment sizes that can be set, in bytes. Offsets have 32 bits, and the last batch may exceed the
/// set size.
const SEGMENT_BYTES_RANGE: RangeInclusive<u64> = 4_096..=1_073_741_824;

/// Segment size in bytes unless set otherwise.
const DEFAULT_SEGMENT_BYTES: u64 = 67_108_864;

/// The settings of a store.
#[derive(Debug, Clone)]
pub struct Options {
    /// Size in bytes beyond which a segment is sealed and the next one is begun.
    pub segment_bytes: u64,
    /// Limit of the total size of all segments in bytes. Beyond it the oldest records are evicted,
    /// one segment at a time.
    pub max_total_bytes: Option<u64>,
    /// Values of at least this many bytes are compressed if that saves an eighth of their size.
    pub min_compressed_value_bytes: Option<usize>,
    /// Seed of the salts of segments. Stores may have the same seed.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
            max_total_bytes: None,
            min_compressed_value_bytes: None,
            seed: 0,
        }
    }
}

impl Options {
    /// Checks that the segment size is within its range.
    pub(crate) fn validate(&self) -> Result<(), Error> {
        if SEGMENT_BYTES_RANGE.contains(&self.segment_bytes) {
            return Ok(());
        }
        Err(Error::TooLarge {
            what: "a segment",
            size: self.segment_bytes as usize,
            max: *SEGMENT_BYTES_RANGE.end() as usize,
        })
    }
}
