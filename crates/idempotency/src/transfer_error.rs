//! Errors of the export and import of key ranges.

use crate::fence::FenceError;
use std::io;

/// Name and version of the export format, in the header of each file.
pub(crate) const EXPORT_FORMAT: &str = "cleatpulley results 1";

/// The reason why an export or import failed.
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
    /// The file is not a valid or complete export.
    #[error("line {line}: {source}")]
    Format {
        /// Number of the line, from 1.
        line: usize,
        /// The error in that line.
        source: FormatError,
    },
}

/// The error in a line of an export.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The line is not UTF-8.
    #[error("not valid UTF-8")]
    NotUtf8,
    /// The file has fewer than two lines.
    #[error("header or footer is missing")]
    TooShort,
    /// The first line is not a header.
    #[error("invalid header: {0}")]
    InvalidHeader(#[source] serde_json::Error),
    /// The file has another format or version.
    #[error("format is {0:?}, expected {EXPORT_FORMAT:?}")]
    UnknownFormat(String),
    /// The last line is not a footer.
    #[error("invalid footer, the file is truncated: {0}")]
    InvalidFooter(#[source] serde_json::Error),
    /// The footer does not match the lines before it.
    #[error("number of entries or checksum does not match: the file is damaged")]
    ChecksumMismatch,
    /// The line is not an entry.
    #[error(transparent)]
    InvalidEntry(serde_json::Error),
    /// The key can't be decoded, or is outside the range of the header.
    #[error("key: malformed, or outside the range")]
    InvalidKey,
    /// The record can't be decoded.
    #[error("record: malformed")]
    InvalidRecord,
}
