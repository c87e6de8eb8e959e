//! Maintenance in bounded steps: compaction, hint files and eviction.

mod compaction;
mod copied_chunk;
mod eviction;
mod hint_writing;
mod job;
mod output_file;
mod status;

pub(crate) use job::MaintenanceJob;
