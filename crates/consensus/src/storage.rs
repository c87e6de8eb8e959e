//! Where the log lies: an embedded store, or memory, or memory that forgets what a faulty disk would.

use crate::change::Change;
use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::{Batch, Options, Store};
use std::collections::BTreeMap;

/// What a log needs of a disk: values under keys, written together, durable after a sync.
pub trait Disk {
    /// All that is there.
    ///
    /// # Errors
    /// Why it can't be read.
    fn load(&mut self) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, Fault>;

    /// Writes these, where none removes; all or nothing of it is found again.
    ///
    /// # Errors
    /// Why it can't.
    fn write(&mut self, changes: &[(Vec<u8>, Option<Vec<u8>>)]) -> Result<(), Fault>;

    /// Makes durable what was written.
    ///
    /// # Errors
    /// Why it can't.
    fn sync(&mut self) -> Result<(), Fault>;
}

/// The disk's fault. A process that has one promises nothing any more.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Fault(pub String);

impl<F: FileSystem> Disk for Store<F> {
    fn load(&mut self) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, Fault> {
        let mut found = BTreeMap::new();
        self.for_each_by_sequence(0, |_, key, value| {
            found.insert(key.to_vec(), value.to_vec());
            true
        })
        .map_err(|e| Fault(e.to_string()))?;
        Ok(found)
    }

    fn write(&mut self, changes: &[(Vec<u8>, Option<Vec<u8>>)]) -> Result<(), Fault> {
        let batch = changes
            .iter()
            .fold(Batch::default(), |batch, (key, value)| match value {
                Some(value) => batch.put(key, value, None),
                None => batch.delete(key),
            });
        Store::write(self, batch)
            .map(|_| ())
            .map_err(|e| Fault(e.to_string()))
    }

    fn sync(&mut self) -> Result<(), Fault> {
        Store::sync(self).map_err(|e| Fault(e.to_string()))
    }
}

/// Opens an embedded store for a log.
///
/// # Errors
/// Why it can't be opened.
pub fn open<F: FileSystem>(files: F) -> Result<Store<F>, Fault> {
    let (store, found) =
        Store::open(files, Options::default()).map_err(|e| Fault(e.to_string()))?;
    tracing::debug!("agreed log: {found}");
    Ok(store)
}

/// What a faulty disk loses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Loses {
    /// Nothing that was synced.
    #[default]
    Nothing,
    /// Syncs do nothing: what was written since the start is lost with the process.
    Syncs,
    /// The last promise is not written.
    Promises,
    /// Nor the round in which was accepted.
    Rounds,
    /// Nor the newest change in the log.
    Newest,
}

/// Values in memory, for tests and models: what is durable outlives a crash, and a fault can be injected.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Forgetful {
    durable: BTreeMap<Vec<u8>, Vec<u8>>,
    written: BTreeMap<Vec<u8>, Option<Vec<u8>>>,
    /// What it loses.
    pub loses: Loses,
    /// Writes fail from now on.
    pub fails: bool,
}

impl Forgetful {
    /// An empty one with this fault.
    #[must_use]
    pub fn that(loses: Loses) -> Self {
        Self {
            loses,
            ..Self::default()
        }
    }

    /// What a process finds that starts after a crash.
    #[must_use]
    pub fn crash(mut self) -> Self {
        self.written.clear();
        self
    }
}

impl Disk for Forgetful {
    fn load(&mut self) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, Fault> {
        Ok(self.durable.clone())
    }

    fn write(&mut self, changes: &[(Vec<u8>, Option<Vec<u8>>)]) -> Result<(), Fault> {
        if self.fails {
            return Err(Fault("the disk is full".to_owned()));
        }
        let newest = changes
            .iter()
            .map(|(key, _)| key)
            .filter(|key| crate::log::is_change(key))
            .max()
            .cloned();
        for (key, value) in changes {
            let lost = match self.loses {
                Loses::Promises => crate::log::is_promise(key),
                Loses::Rounds => crate::log::is_round(key),
                Loses::Newest => value.is_some() && Some(key) == newest.as_ref(),
                Loses::Nothing | Loses::Syncs => false,
            };
            if !lost {
                self.written.insert(key.clone(), value.clone());
            }
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Fault> {
        if self.loses == Loses::Syncs {
            return Ok(());
        }
        for (key, value) in std::mem::take(&mut self.written) {
            match value {
                Some(value) => self.durable.insert(key, value),
                None => self.durable.remove(&key),
            };
        }
        Ok(())
    }
}

/// The changes of a log, as bytes and back.
pub(crate) fn encode(change: &Change) -> Vec<u8> {
    postcard::to_allocvec(change).unwrap_or_default()
}
