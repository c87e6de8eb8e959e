//! An embedded log-structured key-value store: a log of segments, an in-memory index, compaction in
//! bounded steps, and recovery that always terminates. All durable state of the project is stored
//! in it.
//!
//! [`Store::write`] appends a batch to the log, and [`Store::sync`] makes everything written before
//! it durable; only then may a write be acknowledged. The store accesses the disk only through
//! [`files::FileSystem`] and has no clock: the caller passes the current time, in microseconds.
//!
//! ```no_run
//! use cleatpulley_log_store::{files::OsFolder, Batch, Options, Store};
//!
//! # fn main() -> Result<(), cleatpulley_log_store::Error> {
//! let folder = OsFolder::new("data", true).map_err(cleatpulley_log_store::Error::folder)?;
//! let (mut store, report) = Store::open(folder, Options::default())?;
//! println!("{report}");
//! store.write(Batch::default().put(b"key", b"value", None))?;
//! store.sync()?;
//! assert_eq!(store.get(0, b"key")?.as_deref(), Some(&b"value"[..]));
//! # Ok(())
//! # }
//! ```
//!
//! # Structure
//!
//! From the bottom up; a file uses only files that are earlier in this list:
//!
//! - `files`, `simulated_folder`: the file system interface, its real and its simulated implementation
//! - `format`, `hint`, `scan`, `index`: encodings and the index, without I/O
//! - `error`: errors
//! - `compaction_policy`, `recovery`: what to compact or evict, and what to retain after a crash;
//!   decisions without I/O
//! - `options`, `batch`, `report`, `syncing`: what callers pass in and get back
//! - `file_io`, `segment`, `segment_table`, `segment_reader`, `segment_cursor`: segments and how
//!   they are read
//! - `engine`: the state of an open store
//! - `read_path`, `write_path`, `active_segment`, `segment_removal`, `index_rebuild`: operations on
//!   that state
//! - `folder_listing`, `segment_recovery`, `segment_opening`, `open`: recovering that state from a
//!   folder
//! - `maintenance`: compaction, hint files and eviction as jobs that are done step by step
//! - `store`: the public interface

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod active_segment;
mod batch;
pub mod compaction_policy;
mod engine;
pub mod error;
mod file_io;
pub mod files;
mod folder_listing;
pub mod format;
pub mod hint;
pub mod index;
mod index_rebuild;
mod maintenance;
mod open;
mod options;
mod read_path;
pub mod recovery;
mod report;
pub mod scan;
mod segment;
mod segment_cursor;
mod segment_opening;
mod segment_reader;
mod segment_recovery;
mod segment_removal;
mod segment_table;
pub mod simulated_folder;
mod store;
mod syncing;
mod write_path;

pub use batch::Batch;
pub use error::Error;
pub use options::Options;
pub use report::{CheckReport, DamagedRange, MaintenanceStatus, RecoveryReport, Stats};
pub use store::Store;
pub use syncing::PendingSync;
