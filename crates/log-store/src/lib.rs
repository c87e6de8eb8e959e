//! A small embedded key-value store underneath all durable state: a log of segments, an index in memory, compaction
//! in bounded steps, and recovery that always ends.
//!
//! Acknowledged means synced: [`Store::write`] puts a batch into the log, [`Store::sync`] makes all that was written
//! before it durable. The store reaches the disk through [`files::Files`] only, and has no clock: whoever calls it
//! says what time it is.
//!
//! ```no_run
//! use cleatpulley_log_store::{files::Folder, Batch, Options, Store};
//!
//! # fn main() -> Result<(), cleatpulley_log_store::Error> {
//! let folder = Folder::new("kept", true).map_err(cleatpulley_log_store::Error::folder)?;
//! let (mut store, found) = Store::open(folder, Options::default())?;
//! println!("{found}");
//! store.write(Batch::default().put(b"key", b"value", None))?;
//! store.sync()?;
//! assert_eq!(store.get(0, b"key")?.as_deref(), Some(&b"value"[..]));
//! # Ok(())
//! # }
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod choose;
mod compact;
pub mod error;
pub mod files;
pub mod format;
pub mod hint;
pub mod index;
pub mod memory;
mod opening;
mod reader;
pub mod recover;
pub mod scan;
mod store;
mod writing;

pub use error::Error;
pub use recover::Found;
pub use store::{Batch, Checked, Options, Stats, Store, Syncing, Work};
