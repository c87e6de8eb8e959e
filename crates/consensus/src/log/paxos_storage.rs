//! The consensus library's view of the log.

use super::durable::DurableLog;
use crate::change::Change;
use crate::storage::DurableStorage;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};

/// No operation returns an error, since the library panics on one: writes only reach memory here,
/// and a failure of the storage is reported by [`DurableLog::flush`].
impl<S: DurableStorage> Storage<Change> for DurableLog<S> {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Change>>) -> StorageResult<()> {
        let mut state = self.state_mut();
        for operation in operations {
            state.perform(operation);
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Change) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntry(entry)])
    }

    fn append_entries(&mut self, entries: Vec<Change>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntries(entries)])
    }

    fn append_on_prefix(&mut self, index: usize, entries: Vec<Change>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendOnPrefix(index, entries)])
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetPromise(ballot)])
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetDecidedIndex(index)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.state().decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetAcceptedRound(ballot)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Change>> {
        Ok(self.state().entries_at(from..to))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.state().entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Change>> {
        let state = self.state();
        Ok(state.entries_at(from..state.end()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().promise)
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetStopsign(stop_sign)])
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.state().stop_sign.clone())
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::Trim(index)])
    }

    /// Does nothing: each trim implies its compacted index.
    fn set_compacted_idx(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.state().compacted)
    }

    /// Does nothing: the library's snapshots are not used.
    fn set_snapshot(&mut self, _snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
