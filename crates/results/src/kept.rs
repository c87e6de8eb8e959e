//! Histories on an embedded store: carries out what [`History`] decides. One sync covers all that waits for one.

use crate::history::{Bounds, Effect, History, Verdict};
use crate::record::{Outcome, Record, ScopedKey};
use cleatpulley_keep::files::Files;
use cleatpulley_keep::{Batch, Error, Found, Options, Store, Syncing, Work};
use cleatpulley_policy::interface::{Micros, RequestId};

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Act {
    /// Start a request.
    Start(RequestId),
    /// Answer a try.
    Tell(RequestId, Outcome),
    /// Turn a try away; its key never ran.
    TurnAway(RequestId),
}

/// A sync under way.
pub struct Flush {
    syncing: Syncing,
    ticket: u64,
}

impl Flush {
    /// Runs it, on any thread.
    pub fn run(&mut self) {
        self.syncing.run();
    }
}

/// Histories and their store.
pub struct Kept<F: Files> {
    store: Store<F>,
    history: History,
    effects: Vec<Effect>,
    /// The last ticket that was written, and the last that is durable.
    written: u64,
    durable: u64,
}

impl<F: Files> Kept<F> {
    /// Opens the store and takes up what it holds: before this returns no keyed request may be taken.
    ///
    /// # Errors
    /// The store's.
    pub fn open(files: F, options: Options, bounds: Bounds, now: Micros) -> Result<(Self, Found), Error> {
        let (store, found) = Store::open(files, options)?;
        let mut history = History::new(bounds);
        store.by_age(now, |_, key, value| {
            let expiry = value.first_chunk().map(|bytes| u64::from_be_bytes(*bytes));
            let record = value.get(8..).and_then(Record::decode);
            if let (Some(key), Some(expiry), Some(record)) = (ScopedKey::from_bytes(key), expiry, record) {
                history.recover(key, record, expiry);
            }
            true
        })?;
        Ok((Self { store, history, effects: Vec::new(), written: 0, durable: 0 }, found))
    }

    /// The histories.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// A try with a key has come.
    pub fn arrive(&mut self, now: Micros, id: RequestId, key: &ScopedKey, digest: u128) -> Verdict {
        self.history.arrive(now, id, key, digest)
    }

    /// The controller wants a first try run.
    pub fn run(&mut self, id: RequestId, acts: &mut Vec<Act>) {
        self.history.run(id, &mut self.effects);
        self.carry_out(acts);
    }

    /// The run of a first try is over.
    pub fn ended(&mut self, id: RequestId, outcome: Outcome, acts: &mut Vec<Act>) {
        self.history.ended(id, outcome, &mut self.effects);
        self.carry_out(acts);
    }

    /// The controller turned a try away.
    pub fn turned_away(&mut self, id: RequestId, acts: &mut Vec<Act>) {
        self.history.turned_away(id, &mut self.effects);
        self.carry_out(acts);
    }

    /// A try's caller is gone, or was answered by its due time.
    pub fn left(&mut self, id: RequestId) {
        self.history.left(id);
    }

    /// Whether a start reached the runtime will never be known.
    pub fn doubtful(&mut self, id: RequestId, acts: &mut Vec<Act>) {
        self.history.doubtful(id, &mut self.effects);
        self.carry_out(acts);
    }

    fn carry_out(&mut self, acts: &mut Vec<Act>) {
        let mut turns = 0;
        while !self.effects.is_empty() && turns < 4 {
            turns += 1;
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Write { ticket, key, record, expiry } => {
                        let value = [&expiry.to_be_bytes()[..], &record.encode()].concat();
                        match self.store.write(Batch::default().put(key.bytes(), &value, Some(expiry))) {
                            Ok(_) => self.written = ticket,
                            Err(_) => self.history.set_well(false, &mut self.effects),
                        }
                    }
                    // Not durable: what a crash brings back is an intent, and that never runs.
                    Effect::Erase { key } => drop(self.store.write(Batch::default().delete(key.bytes()))),
                    Effect::Start(id) => acts.push(Act::Start(id)),
                    Effect::Tell(id, outcome) => acts.push(Act::Tell(id, outcome)),
                    Effect::TurnAway(id) => acts.push(Act::TurnAway(id)),
                }
            }
        }
    }

    /// Something waits to be durable.
    #[must_use]
    pub fn waits(&self) -> bool {
        self.written > self.durable
    }

    /// Makes all that waits durable, here and now.
    pub fn flush(&mut self, acts: &mut Vec<Act>) {
        if !self.waits() {
            return;
        }
        let ticket = self.written;
        let synced = self.store.sync();
        self.settle(ticket, synced.is_ok(), acts);
    }

    /// Begins to make all that waits durable; [`end_flush`](Self::end_flush) takes it back. None where nothing waits.
    pub fn begin_flush(&mut self, acts: &mut Vec<Act>) -> Option<Flush> {
        if !self.waits() {
            return None;
        }
        let ticket = self.written;
        match self.store.begin_sync() {
            Ok(Some(syncing)) => Some(Flush { syncing, ticket }),
            Ok(None) => {
                self.settle(ticket, true, acts);
                None
            }
            Err(_) => {
                self.settle(ticket, false, acts);
                None
            }
        }
    }

    /// Takes the result of a flush.
    pub fn end_flush(&mut self, flush: Flush, acts: &mut Vec<Act>) {
        let synced = self.store.end_sync(flush.syncing);
        self.settle(flush.ticket, synced.is_ok(), acts);
    }

    fn settle(&mut self, ticket: u64, synced: bool, acts: &mut Vec<Act>) {
        if synced {
            self.durable = self.durable.max(ticket);
            self.history.durable(ticket, &mut self.effects);
        } else {
            self.durable = self.written;
            self.history.set_well(false, &mut self.effects);
        }
        self.carry_out(acts);
    }

    /// Does a piece of the store's maintenance, and forgets what is past its window.
    ///
    /// # Errors
    /// The store's; nothing is lost by them.
    pub fn maintain(&mut self, now: Micros, budget: usize) -> Result<Work, Error> {
        self.history.expire(now);
        self.store.maintain(now, budget)
    }

    /// Closes the store well.
    ///
    /// # Errors
    /// The store's.
    pub fn close(self) -> Result<(), Error> {
        self.store.close()
    }
}
