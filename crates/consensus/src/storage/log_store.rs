//! The embedded log-structured store as [`DurableStorage`].

use super::{DurableStorage, KeyUpdate, StorageError, StorageOperation};
use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::{Batch, Options, Store};
use std::collections::BTreeMap;

/// The time passed to the store, which drops values that expired before it. Values of the log never
/// expire.
const NO_EXPIRY_TIME: u64 = 0;

impl<F: FileSystem> DurableStorage for Store<F> {
    fn load(&mut self) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, StorageError> {
        let mut values = BTreeMap::new();
        self.for_each_by_sequence(NO_EXPIRY_TIME, |_, key, value| {
            values.insert(key.to_vec(), value.to_vec());
            true
        })
        .map_err(|error| StorageError::new(StorageOperation::Load, error))?;
        Ok(values)
    }

    fn write(&mut self, updates: &[KeyUpdate]) -> Result<(), StorageError> {
        let mut batch = Batch::default();
        for update in updates {
            batch = match &update.value {
                Some(value) => batch.put(&update.key, value, None),
                None => batch.delete(&update.key),
            };
        }
        Store::write(self, batch)
            .map_err(|error| StorageError::new(StorageOperation::Write, error))?;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        Store::sync(self).map_err(|error| StorageError::new(StorageOperation::Sync, error))
    }
}

/// Opens an embedded store for a log.
///
/// # Errors
///
/// Returns why the store can't be opened.
pub fn open_log_store<F: FileSystem>(files: F) -> Result<Store<F>, StorageError> {
    let (store, recovery) = Store::open(files, Options::default())
        .map_err(|error| StorageError::new(StorageOperation::Open, error))?;
    tracing::debug!(%recovery, "consensus log store opened");
    Ok(store)
}
