//! The log in memory, with the updates that the storage does not have yet.

use super::keys;
use crate::change::Change;
use crate::codec::encode;
use crate::configuration::Configuration;
use crate::storage::{KeyUpdate, StorageError};
use crate::table::Table;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, StorageOp};
use std::ops::Range;

/// The log of one configuration. An index counts all entries of the log, also trimmed ones.
#[derive(Debug)]
pub(super) struct LogState<S> {
    pub storage: S,
    /// The entries from index `compacted` on.
    pub entries: Vec<Change>,
    /// The number of entries that were trimmed.
    pub compacted: usize,
    /// The number of decided entries.
    pub decided: usize,
    /// The ballot that was promised last.
    pub promise: Option<Ballot>,
    /// The ballot of the last accepted round.
    pub accepted_round: Option<Ballot>,
    /// The stop sign that ends the log, once accepted.
    pub stop_sign: Option<StopSign>,
    /// The number of entries that the stored table has applied.
    pub stored_table_index: usize,
    /// Updates that were not written yet, in their order.
    pub unwritten: Vec<KeyUpdate>,
    /// The first failure of the storage. Nothing is written after it.
    pub failure: Option<StorageError>,
}

impl<S> LogState<S> {
    /// Performs an operation of the consensus library.
    pub(super) fn perform(&mut self, operation: StorageOp<Change>) {
        match operation {
            StorageOp::AppendEntry(entry) => self.append(vec![entry]),
            StorageOp::AppendEntries(entries) => self.append(entries),
            StorageOp::AppendOnPrefix(index, entries) => {
                self.truncate(index);
                self.append(entries);
            }
            StorageOp::SetPromise(ballot) => {
                self.promise = Some(ballot);
                self.put(keys::PROMISE, encode(&ballot));
            }
            StorageOp::SetDecidedIndex(index) => {
                self.decided = index;
                self.put(keys::DECIDED, encode(&(index as u64)));
            }
            StorageOp::SetAcceptedRound(ballot) => {
                self.accepted_round = Some(ballot);
                self.put(keys::ACCEPTED_ROUND, encode(&ballot));
            }
            // The library sends a compacted index along with each trim, which implies it.
            StorageOp::SetCompactedIdx(_) | StorageOp::SetSnapshot(_) => {}
            StorageOp::Trim(index) => self.trim(index),
            StorageOp::SetStopsign(stop_sign) => self.set_stop_sign(stop_sign),
        }
    }

    /// Returns the entries with these indexes, or none if the log does not have all of them.
    pub(super) fn entries_at(&self, indexes: Range<usize>) -> Vec<Change> {
        let start = indexes.start.checked_sub(self.compacted);
        let end = indexes.end.checked_sub(self.compacted);
        start
            .zip(end)
            .and_then(|(start, end)| self.entries.get(start..end))
            .map(<[Change]>::to_vec)
            .unwrap_or_default()
    }

    /// Replaces the log by the empty one of another configuration. The updates go into one batch,
    /// so a crash leaves either log whole.
    pub(super) fn reset(&mut self, configuration: &Configuration, initial_table: &Table) {
        for index in self.compacted..self.end() {
            self.delete(&keys::entry(index));
        }
        for key in [
            keys::PROMISE,
            keys::ACCEPTED_ROUND,
            keys::DECIDED,
            keys::COMPACTED,
            keys::STOP_SIGN,
            keys::TABLE,
        ] {
            self.delete(key);
        }
        self.put(keys::CONFIGURATION, encode(configuration));
        self.put(keys::INITIAL_TABLE, encode(initial_table));
        self.entries = Vec::new();
        self.compacted = 0;
        self.decided = 0;
        self.stored_table_index = 0;
        self.promise = None;
        self.accepted_round = None;
        self.stop_sign = None;
    }

    /// Queues the write of a value.
    pub(super) fn put(&mut self, key: &[u8], value: Vec<u8>) {
        self.unwritten.push(KeyUpdate::put(key, value));
    }

    fn delete(&mut self, key: &[u8]) {
        self.unwritten.push(KeyUpdate::delete(key));
    }

    /// Returns the index after the last entry.
    pub(super) fn end(&self) -> usize {
        self.compacted + self.entries.len()
    }

    fn append(&mut self, entries: Vec<Change>) {
        for entry in entries {
            let index = self.end();
            self.put(&keys::entry(index), encode(&entry));
            self.entries.push(entry);
        }
    }

    /// Removes the entries from this index on.
    fn truncate(&mut self, index: usize) {
        let retained = index.saturating_sub(self.compacted);
        for position in retained..self.entries.len() {
            self.delete(&keys::entry(self.compacted + position));
        }
        self.entries.truncate(retained);
    }

    /// Removes the entries before this index.
    fn trim(&mut self, index: usize) {
        let removed = index.saturating_sub(self.compacted).min(self.entries.len());
        for position in 0..removed {
            self.delete(&keys::entry(self.compacted + position));
        }
        self.entries.drain(..removed);
        self.compacted += removed;
        self.put(keys::COMPACTED, encode(&(self.compacted as u64)));
    }

    fn set_stop_sign(&mut self, stop_sign: Option<StopSign>) {
        match &stop_sign {
            Some(stop_sign) => self.put(keys::STOP_SIGN, encode(stop_sign)),
            None => self.delete(keys::STOP_SIGN),
        }
        self.stop_sign = stop_sign;
    }
}
