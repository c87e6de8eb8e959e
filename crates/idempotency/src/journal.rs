//! Histories on an embedded store: writes what [`History`](crate::history::History) decides, and reads it back. One
//! sync covers all that was written before it. Whoever owns it decides on which thread it runs.

use crate::fence::{Fence, Fences};
use crate::history::{Effect, Recovered};
use crate::record::{Outcome, Record, ScopedKey};
use cleatpulley_log_store::files::Files;
use cleatpulley_log_store::{Batch, Error, Found, Options, Stats, Store, Work};
use cleatpulley_policy::interface::Micros;
use cleatpulley_policy::plant::{planted, Bug};

/// Keys of the store that are no keys of requests are shorter than those: a fence's number behind this.
const FENCE: &[u8] = b"fence";
/// Written and synced to see whether a disk takes writes again.
const PROBE: &[u8] = b"probe";

/// Histories in a store.
pub struct Journal<F: Files> {
    store: Store<F>,
    fences: Fences,
    /// The last ticket that was written, and the last that is durable.
    written: u64,
    durable: u64,
}

impl<F: Files> Journal<F> {
    /// Opens the store and reads what it holds.
    ///
    /// # Errors
    /// The store's.
    pub fn open(
        files: F,
        options: Options,
        now: Micros,
    ) -> Result<(Self, Recovered, Found), Error> {
        let seed = options.seed;
        let (store, found) = Store::open(files, options)?;
        let recovered = read(&store, now, seed)?;
        let fences = recovered.fences.clone();
        Ok((
            Self {
                store,
                fences,
                written: 0,
                durable: 0,
            },
            recovered,
            found,
        ))
    }

    /// Writes what a history decided; all else is the caller's.
    ///
    /// # Errors
    /// The store's: then nothing of it counts as written.
    pub fn write(&mut self, effect: &Effect) -> Result<(), Error> {
        match effect {
            Effect::Write {
                ticket,
                key,
                record,
                expiry,
            } => {
                self.store.write(Batch::default().put(
                    key.bytes(),
                    &value(*expiry, record),
                    Some(*expiry),
                ))?;
                self.written = *ticket;
            }
            // Not durable by itself: what a crash brings back is an intent, and that never runs.
            Effect::Erase { key } => {
                self.store.write(Batch::default().delete(key.bytes()))?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Something waits to be durable.
    #[must_use]
    pub fn waits(&self) -> bool {
        self.written > self.durable
    }

    /// Makes all that waits durable; returns the last ticket that is.
    ///
    /// # Errors
    /// The store's: then it takes no more writes, and what waited must not be believed to be durable.
    pub fn flush(&mut self) -> Result<u64, Error> {
        let ticket = self.written;
        if self.waits() {
            if !planted(Bug::SyncSkipped) {
                self.store.sync()?;
            }
            self.durable = ticket;
        }
        Ok(ticket)
    }

    /// How a key ended, where the store has that.
    ///
    /// # Errors
    /// Where it is damaged or can't be read.
    pub fn recall(&self, now: Micros, key: &ScopedKey) -> Result<Option<Outcome>, Error> {
        let Some(bytes) = self.store.get(now, key.bytes())? else {
            return Ok(None);
        };
        Ok(match bytes.get(8..).and_then(Record::decode) {
            Some(Record::Finished { outcome, .. }) => Some(outcome),
            _ => None,
        })
    }

    /// Sets a fence, durably.
    ///
    /// # Errors
    /// Where a later move is known, or the store refuses.
    pub fn fence(&mut self, fence: Fence) -> Result<(), crate::transfer::Error> {
        let mut fences = self.fences.clone();
        fences.set(fence)?;
        let mut batch = Batch::default();
        for number in 0..self.fences.all().len().max(fences.all().len()) {
            let key = [FENCE, &(number as u32).to_be_bytes()].concat();
            match fences.all().get(number) {
                // What was read from JSON can be written as such.
                Some(fence) => {
                    batch.push_put(&key, &serde_json::to_vec(fence).unwrap_or_default(), None)
                }
                None => batch.push_delete(&key),
            }
        }
        self.store.write(batch)?;
        self.store.sync()?;
        self.fences = fences;
        Ok(())
    }

    /// The fences that are set.
    #[must_use]
    pub fn fences(&self) -> &Fences {
        &self.fences
    }

    /// Whether the disk takes writes and syncs.
    ///
    /// # Errors
    /// The store's.
    pub fn probe(&mut self) -> Result<(), Error> {
        self.store.write(Batch::default().delete(PROBE))?;
        self.store.sync()
    }

    /// Does a piece of the store's maintenance.
    ///
    /// # Errors
    /// The store's; nothing is lost by them.
    pub fn maintain(&mut self, now: Micros, budget: usize) -> Result<Work, Error> {
        self.store.maintain(now, budget)
    }

    /// Figures of the store.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// The store.
    pub fn store(&mut self) -> &mut Store<F> {
        &mut self.store
    }

    /// Closes the store well.
    ///
    /// # Errors
    /// The store's.
    pub fn close(self) -> Result<(), Error> {
        self.store.close()
    }
}

/// What stands in the store under a key.
pub(crate) fn value(expiry: Micros, record: &Record) -> Vec<u8> {
    [&expiry.to_be_bytes()[..], &record.encode()].concat()
}

/// Goes through all keys of requests that live, the oldest first.
///
/// # Errors
/// The store's.
pub fn each<F: Files>(
    store: &Store<F>,
    now: Micros,
    mut each: impl FnMut(ScopedKey, Record, Micros),
) -> Result<(), Error> {
    store.by_age(now, |_, key, value| {
        let expiry = value.first_chunk().map(|bytes| u64::from_be_bytes(*bytes));
        let record = value.get(8..).and_then(Record::decode);
        if let (Some(key), Some(record), Some(expiry)) =
            (ScopedKey::from_bytes(key), record, expiry)
        {
            each(key, record, expiry);
        }
        true
    })
}

/// Reads what a store holds.
///
/// # Errors
/// The store's.
pub fn read<F: Files>(store: &Store<F>, now: Micros, seed: u64) -> Result<Recovered, Error> {
    let mut recovered = Recovered::new(seed);
    each(store, now, |key, record, expiry| {
        recovered.add(key, &record, expiry)
    })?;
    for number in 0..u32::MAX {
        let key = [FENCE, &number.to_be_bytes()].concat();
        let Some(text) = store.get(now, &key)? else {
            break;
        };
        if let Ok(fence) = serde_json::from_slice(&text) {
            // Those that stand together were set together.
            let _ = recovered.fences.set(fence);
        }
    }
    Ok(recovered)
}
