//! Why the keys of a range could not be moved.

use crate::fence::FenceError;
use std::io;

/// The format of the file, with its version.
pub(crate) const FORMAT: &str = "cleatpulley results 1";

/// Why keys could not be moved.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] cleatpulley_log_store::Error),
    /// The fence can't be set.
    #[error(transparent)]
    Fence(#[from] FenceError),
    /// The file can't be read or written.
    #[error("the file can't be read or written: {0}")]
    Io(#[from] io::Error),
    /// The file is no export, or not a complete one.
    #[error("line {line}: {source}")]
    Format {
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        source: FormatError,
    },
}

/// What is wrong with a line of an export.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// It is not UTF-8.
    #[error("no text")]
    NoText,
    /// The file has fewer than two lines.
    #[error("no head and foot")]
    TooShort,
    /// The first line is no head.
    #[error("no head: {0}")]
    Head(#[source] serde_json::Error),
    /// The file has another format or version.
    #[error("the format is {0:?} and not {FORMAT:?}")]
    UnknownFormat(String),
    /// The last line is no foot.
    #[error("no foot, the file is cut: {0}")]
    Foot(#[source] serde_json::Error),
    /// The foot contradicts the lines before it.
    #[error("number or checksum don't fit: the file is damaged")]
    Checksum,
    /// The line is no entry.
    #[error(transparent)]
    Entry(serde_json::Error),
    /// The key can't be read, or is outside the range of the head.
    #[error("key: none, or outside the range")]
    Key,
    /// The record can't be read.
    #[error("record: it can't be read")]
    Record,
}
