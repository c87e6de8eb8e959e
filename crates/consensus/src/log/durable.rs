//! The handle of the durable log.

use super::keys;
use super::state::LogState;
use crate::change::{Change, Epoch};
use crate::codec::encode;
use crate::configuration::Configuration;
use crate::storage::{DurableStorage, StorageError};
use crate::table::Table;
use std::cell::{Ref, RefCell, RefMut};
use std::ops::Range;
use std::rc::Rc;

/// The durable log of a node.
///
/// A clone is another handle of the same log: the consensus library writes through one, the node
/// makes the writes durable through another. Writes are kept in memory until
/// [`flush`](Self::flush).
#[derive(Debug)]
pub struct DurableLog<S>(Rc<RefCell<LogState<S>>>);

impl<S> Clone for DurableLog<S> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<S> DurableLog<S> {
    pub(super) fn new(state: LogState<S>) -> Self {
        Self(Rc::new(RefCell::new(state)))
    }

    pub(super) fn state(&self) -> Ref<'_, LogState<S>> {
        self.0.borrow()
    }

    pub(super) fn state_mut(&self) -> RefMut<'_, LogState<S>> {
        self.0.borrow_mut()
    }

    /// Replaces the log by the empty one of another configuration, which starts from this table.
    /// Durable after the next [`flush`](Self::flush), as a whole.
    pub fn reset(&self, configuration: &Configuration, initial_table: &Table) {
        self.state_mut().reset(configuration, initial_table);
    }

    /// Records the configuration that a new group starts with. Durable after the next
    /// [`flush`](Self::flush).
    pub fn record_configuration(&self, configuration: &Configuration) {
        self.state_mut()
            .put(keys::CONFIGURATION, encode(configuration));
    }

    /// Calls a function with the storage, as for tests that copy what a crash would leave.
    pub fn with_storage<T>(&self, inspect: impl FnOnce(&S) -> T) -> T {
        inspect(&self.state().storage)
    }

    /// Calls a function that may change the storage, as for tests that inject a fault.
    pub fn with_storage_mut<T>(&self, change: impl FnOnce(&mut S) -> T) -> T {
        change(&mut self.state_mut().storage)
    }

    /// Returns the entries that the log still has of this range of indexes.
    #[must_use]
    pub fn entries(&self, indexes: Range<usize>) -> Vec<Change> {
        let state = self.state();
        let start = indexes.start.saturating_sub(state.compacted);
        let end = indexes.end.saturating_sub(state.compacted);
        state
            .entries
            .get(start..end.min(state.entries.len()))
            .map(<[Change]>::to_vec)
            .unwrap_or_default()
    }
}

impl<S: DurableStorage> DurableLog<S> {
    /// Makes all writes so far durable, as one batch. Where the log was trimmed beyond the stored
    /// table, the table is part of the batch; `base_epoch` is that of the current configuration.
    ///
    /// # Errors
    ///
    /// Returns the failure of the storage, and the same one on each call after it.
    pub fn flush(&self, table: &Table, base_epoch: Epoch) -> Result<(), StorageError> {
        let mut state = self.state_mut();
        if let Some(failure) = &state.failure {
            return Err(failure.clone());
        }
        if state.unwritten.is_empty() {
            return Ok(());
        }
        if state.compacted > state.stored_table_index {
            state.put(keys::TABLE, encode(table));
            state.stored_table_index = (table.epoch - base_epoch) as usize;
        }
        let updates = std::mem::take(&mut state.unwritten);
        let written = state.storage.write(&updates);
        let result = written.and_then(|()| state.storage.sync());
        state.failure = result.clone().err();
        result
    }
}
