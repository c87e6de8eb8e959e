//! The durable key-value storage below the log.

mod log_store;

pub use log_store::open_log_store;

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// A write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyUpdate {
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

impl KeyUpdate {
    /// Returns an update that stores a value.
    #[must_use]
    pub fn put(key: &[u8], value: Vec<u8>) -> Self {
        Self {
            key: key.to_vec(),
            value: Some(value),
        }
    }

    /// Returns an update that removes a key.
    #[must_use]
    pub fn delete(key: &[u8]) -> Self {
        Self {
            key: key.to_vec(),
            value: None,
        }
    }
}

/// What the log requires of a storage: values under keys, atomic batches, durability after a sync.
pub trait DurableStorage {
    /// Returns all keys and their values.
    ///
    /// # Errors
    ///
    /// Returns why the storage can't be read.
    fn load(&mut self) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, StorageError>;

    /// Writes a batch atomically: after a crash either all of its updates are there or none.
    ///
    /// # Errors
    ///
    /// Returns why the storage can't be written.
    fn write(&mut self, updates: &[KeyUpdate]) -> Result<(), StorageError>;

    /// Makes all batches written so far durable.
    ///
    /// # Errors
    ///
    /// Returns why durability can't be guaranteed.
    fn sync(&mut self) -> Result<(), StorageError>;
}

/// An operation of the storage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorageOperation {
    /// Opening the storage.
    Open,
    /// [`DurableStorage::load`].
    Load,
    /// [`DurableStorage::write`].
    Write,
    /// [`DurableStorage::sync`].
    Sync,
}

impl fmt::Display for StorageOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Open => "open",
            Self::Load => "load",
            Self::Write => "write",
            Self::Sync => "sync",
        })
    }
}

/// A failed operation of the storage, with its cause. A node whose storage has failed once sends
/// nothing more, since it could promise what it would not remember.
#[derive(Debug, Clone, thiserror::Error)]
#[error("storage operation failed: {operation}")]
pub struct StorageError {
    /// The operation that failed.
    pub operation: StorageOperation,
    /// The error of the storage itself; shared, since the log reports it again on each flush.
    #[source]
    cause: Arc<dyn Error + Send + Sync>,
}

impl StorageError {
    /// Wraps an error of a storage.
    #[must_use]
    pub fn new(operation: StorageOperation, cause: impl Error + Send + Sync + 'static) -> Self {
        Self {
            operation,
            cause: Arc::new(cause),
        }
    }
}
