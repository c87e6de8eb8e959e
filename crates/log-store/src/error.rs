//! The errors of the store.

use crate::format::FORMAT_VERSION;
use std::io;

/// Why an operation of the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation of the file system failed.
    #[error("{file}: {operation}: {source}")]
    Io {
        /// Name of the file, or `folder` for the folder itself.
        file: String,
        /// The operation that failed.
        operation: &'static str,
        /// The error of the file system.
        source: io::Error,
    },
    /// The disk is full. The write was undone as a whole; reads still work.
    #[error("{file}: the disk is full; the write was taken back")]
    DiskFull {
        /// Name of the file that could not be written.
        file: String,
    },
    /// An earlier write or sync failed in such a way that the content of the disk is unknown. The
    /// store accepts no more writes; reads still work.
    #[error("no more writes since a fault that left the log in doubt: {0}")]
    WritesDisabled(String),
    /// A record is damaged; the value of its key is unknown.
    #[error("{file}: the record at byte {offset} is damaged")]
    DamagedRecord {
        /// Name of the segment's file.
        file: String,
        /// Offset of the record in bytes.
        offset: u64,
    },
    /// A file was written by a newer version of the program.
    #[error(
        "{file}: format {version}, and this program reads up to {known}",
        known = FORMAT_VERSION
    )]
    UnsupportedVersion {
        /// Name of the file.
        file: String,
        /// Format version of the file.
        version: u32,
    },
    /// The folder contains a file that does not belong to a store.
    #[error("{file}: not a file of this store; the folder was left unchanged")]
    ForeignFile {
        /// Name of the file.
        file: String,
    },
    /// Another process has the store open for writing.
    #[error("another process has the store open")]
    Locked,
    /// The store was opened for reading only.
    #[error("the store is open for reading only")]
    ReadOnly,
    /// A size exceeds its limit.
    #[error("{what} of {size} exceeds the maximum of {max}")]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Its size.
        size: usize,
        /// The largest size allowed.
        max: usize,
    },
}

impl Error {
    /// An error of the store's folder itself.
    #[must_use]
    pub fn folder(source: io::Error) -> Self {
        Self::Io {
            file: "folder".to_owned(),
            operation: "open",
            source,
        }
    }

    /// Converts an I/O error of an operation on a file, for use in `map_err`.
    pub(crate) fn io(file: &str, operation: &'static str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull { file },
            _ => Self::Io {
                file,
                operation,
                source,
            },
        }
    }
}
