//! Reading a log back from its storage.

use super::durable::DurableLog;
use super::error::LogError;
use super::keys;
use super::state::LogState;
use crate::change::Change;
use crate::configuration::Configuration;
use crate::storage::DurableStorage;
use crate::table::Table;
use omnipaxos::storage::StopSign;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A log with what its storage held besides the entries.
#[derive(Debug)]
pub struct RecoveredLog<S> {
    /// The log.
    pub log: DurableLog<S>,
    /// The current configuration; `None` if the storage was empty.
    pub configuration: Option<Configuration>,
    /// The table as it was stored last. Entries of the log may be decided beyond it.
    pub table: Table,
    /// The table that the log of the current configuration started from.
    pub initial_table: Table,
}

impl<S: DurableStorage> RecoveredLog<S> {
    /// Reads a log back from its storage.
    ///
    /// # Errors
    ///
    /// Returns an error where the storage can't be read, or holds a log that is damaged or
    /// contradicts itself.
    pub fn open(mut storage: S) -> Result<Self, LogError> {
        let records = Records(storage.load()?);
        let configuration: Option<Configuration> = records.decode(keys::CONFIGURATION)?;
        let initial_table: Table = records.decode(keys::INITIAL_TABLE)?.unwrap_or_default();
        let table = records
            .decode(keys::TABLE)?
            .unwrap_or_else(|| initial_table.clone());
        let compacted = records.decode_index(keys::COMPACTED)?;
        let entries = records.decode_entries(compacted)?;
        let decided = records.decode_index(keys::DECIDED)?;
        let stop_sign: Option<StopSign> = records.decode(keys::STOP_SIGN)?;
        let state = LogState {
            storage,
            stored_table_index: applied_entries(&table, configuration.as_ref())?,
            entries,
            compacted,
            decided,
            promise: records.decode(keys::PROMISE)?,
            accepted_round: records.decode(keys::ACCEPTED_ROUND)?,
            stop_sign,
            unwritten: Vec::new(),
            failure: None,
        };
        check(&state)?;
        Ok(Self {
            log: DurableLog::new(state),
            configuration,
            table,
            initial_table,
        })
    }
}

/// Returns how many entries of the current configuration's log the table has applied.
fn applied_entries(
    table: &Table,
    configuration: Option<&Configuration>,
) -> Result<usize, LogError> {
    let epoch = table.epoch;
    let base = configuration.map_or(0, |configuration| configuration.base_epoch);
    match epoch.checked_sub(base) {
        Some(applied) => Ok(applied as usize),
        None => Err(LogError::TableBeforeConfiguration { epoch, base }),
    }
}

/// Checks that the parts of a log fit together.
fn check<S>(state: &LogState<S>) -> Result<(), LogError> {
    // The stop sign occupies an index of its own, after the last entry.
    let stop_sign_entries = usize::from(state.stop_sign.is_some());
    let end = state.compacted + state.entries.len() + stop_sign_entries;
    if state.decided > end {
        return Err(LogError::DecidedBeyondEnd {
            decided: state.decided,
            end,
        });
    }
    if state.stored_table_index < state.compacted {
        return Err(LogError::TableBeforeLog {
            applied: state.stored_table_index,
            compacted: state.compacted,
        });
    }
    Ok(())
}

/// The keys of a storage with their values.
struct Records(BTreeMap<Vec<u8>, Vec<u8>>);

impl Records {
    /// Decodes the value of a key, if there is one.
    fn decode<T: DeserializeOwned>(&self, key: &[u8]) -> Result<Option<T>, LogError> {
        self.0
            .get(key)
            .map(|value| decode_value(key, value))
            .transpose()
    }

    /// Decodes an index into the log; 0 if there is none.
    fn decode_index(&self, key: &[u8]) -> Result<usize, LogError> {
        let index: Option<u64> = self.decode(key)?;
        Ok(index.unwrap_or(0) as usize)
    }

    /// Decodes the entries from this index on, which have to be there without a gap.
    fn decode_entries(&self, compacted: usize) -> Result<Vec<Change>, LogError> {
        let first_key = keys::entry(compacted);
        let mut entries = Vec::new();
        for (key, value) in self.0.iter().filter(|(key, _)| keys::is_entry(key)) {
            let next_index = compacted + entries.len();
            if *key == keys::entry(next_index) {
                entries.push(decode_value(key, value)?);
            } else if *key > first_key {
                return Err(LogError::MissingEntry {
                    missing_index: next_index,
                });
            }
        }
        Ok(entries)
    }
}

fn decode_value<T: DeserializeOwned>(key: &[u8], value: &[u8]) -> Result<T, LogError> {
    postcard::from_bytes(value).map_err(|source| LogError::Malformed {
        key: key.to_vec(),
        source,
    })
}
