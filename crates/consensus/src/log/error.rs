//! Why a log can't be recovered.

use crate::change::Epoch;
use crate::storage::StorageError;

/// A log that can't be recovered from its storage.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The storage can't be read.
    #[error("the storage of the log can't be read")]
    Storage(#[from] StorageError),
    /// A stored value can't be decoded.
    #[error("the value of key {} can't be decoded", .key.escape_ascii())]
    Malformed {
        /// The key.
        key: Vec<u8>,
        /// Why the value can't be decoded.
        #[source]
        source: postcard::Error,
    },
    /// An entry is missing between others.
    #[error("entry {missing_index} is missing, but later ones exist")]
    MissingEntry {
        /// The index of the first entry that is missing.
        missing_index: usize,
    },
    /// More entries are recorded as decided than the log has.
    #[error("{decided} entries are decided, but the log ends at {end}")]
    DecidedBeyondEnd {
        /// The number of decided entries.
        decided: usize,
        /// The index after the last entry, the stop sign included.
        end: usize,
    },
    /// The stored table is older than the configuration.
    #[error("the table of epoch {epoch} is older than its configuration, which starts at {base}")]
    TableBeforeConfiguration {
        /// The epoch of the table.
        epoch: Epoch,
        /// The epoch that the configuration starts at.
        base: Epoch,
    },
    /// Entries that the stored table lacks were trimmed.
    #[error("the table has {applied} entries applied, but {compacted} were trimmed from the log")]
    TableBeforeLog {
        /// The number of entries of the log that the table has applied.
        applied: usize,
        /// The number of entries that were trimmed.
        compacted: usize,
    },
}
