//! What can go wrong, each with its place.

use std::io;

/// A fault of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused something.
    #[error("{file}: {doing}: {source}")]
    Io {
        /// The file, or the folder.
        file: String,
        /// What was being done.
        doing: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// No room: the write was taken back whole, and reads go on.
    #[error("{file}: the disk is full; the write was taken back")]
    Full {
        /// The file.
        file: String,
    },
    /// A write or sync failed so that nobody knows what the disk holds: no more writes, reads go on.
    #[error("no more writes since a fault that left the log in doubt: {0}")]
    Poisoned(String),
    /// A record is damaged; its key's value is not known.
    #[error("{file}: the record at byte {offset} is damaged")]
    Damaged {
        /// The file.
        file: String,
        /// Offset of the record.
        offset: u64,
    },
    /// Written by a newer version.
    #[error("{file}: format {version}, and this program reads up to {known}", known = crate::format::VERSION)]
    Newer {
        /// The file.
        file: String,
        /// Its version.
        version: u32,
    },
    /// Something in the folder is not the store's.
    #[error("{file}: not a file of this store; nothing was touched")]
    Foreign {
        /// The file.
        file: String,
    },
    /// Another has it open for writing.
    #[error("another process has the store open")]
    Locked,
    /// It was opened for reading only.
    #[error("the store is open for reading only")]
    ReadOnly,
    /// Beyond a bound.
    #[error("{what} of {size} where {most} are the most")]
    TooLarge {
        /// What.
        what: &'static str,
        /// How large.
        size: usize,
        /// How large it may be.
        most: usize,
    },
}

impl Error {
    /// A fault of the folder itself.
    #[must_use]
    pub fn folder(source: io::Error) -> Self {
        Self::Io {
            file: "folder".to_owned(),
            doing: "open",
            source,
        }
    }

    pub(crate) fn io(file: &str, doing: &'static str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io {
                file,
                doing,
                source,
            },
        }
    }
}
