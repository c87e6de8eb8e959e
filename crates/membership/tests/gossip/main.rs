//! Tests of clusters over an emulated network that loses, duplicates, reorders and blocks
//! datagrams.

mod emulated_network;
mod emulated_process;
mod failure_detection;
mod incarnations;
mod keys_and_limits;
mod partitions;
mod settings;
mod shared_metrics;
mod timelines;
