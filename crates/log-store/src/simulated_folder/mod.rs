//! A simulated folder in memory that can fail and crash like a disk, for tests and for
//! deterministic simulation.
//!
//! At a crash, what was written and not synced survives, is lost or is torn: each write by itself
//! and in any combination, as determined by a seed. The same holds for files that were created,
//! renamed or removed since the folder was last synced.

mod disk;
mod fault;
mod folder;
mod inode;

pub use fault::Fault;
pub use folder::SimulatedFolder;
