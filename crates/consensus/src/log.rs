//! The library's log on a [`Disk`]. Changes are kept in memory as well; what the library writes is gathered, and made durable
//! as a whole before anything is said that rests on it.

use crate::change::Change;
use crate::storage::{encode, Disk, Fault};
use crate::table::Table;
use crate::NodeId;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

const PROMISE: &[u8] = b"promise";
const ROUND: &[u8] = b"round";
const DECIDED: &[u8] = b"decided";
const COMPACTED: &[u8] = b"compacted";
const STOP: &[u8] = b"stop";
const TABLE: &[u8] = b"table";
const GROUP: &[u8] = b"group";
const BEGUN: &[u8] = b"begun";
const CHANGE: u8 = b'c';
const CHANGE_BYTES: usize = 10;

pub(crate) fn is_change(key: &[u8]) -> bool {
    key.len() == CHANGE_BYTES && key.starts_with(&[CHANGE, 0])
}

pub(crate) fn is_promise(key: &[u8]) -> bool {
    key == PROMISE
}

pub(crate) fn is_round(key: &[u8]) -> bool {
    key == ROUND
}

fn place(index: usize) -> Vec<u8> {
    let mut key = vec![CHANGE, 0];
    key.extend_from_slice(&(index as u64).to_be_bytes());
    key
}

/// Who agrees, and from which epoch on: the log of a group begins after the table of the one before.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Rises by one with each.
    pub number: u32,
    /// Its processes.
    pub members: Vec<NodeId>,
    /// Changes that were decided before it.
    pub base: u64,
}

#[derive(Debug)]
struct Inner<D> {
    disk: D,
    /// Changes from `compacted` on.
    changes: Vec<Change>,
    compacted: usize,
    decided: usize,
    promise: Option<Ballot>,
    round: Option<Ballot>,
    stop: Option<StopSign>,
    /// Changes before this place are in the table on the disk.
    tabled: usize,
    pending: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    fault: Option<Fault>,
}

/// The log, shared between the library and the process that makes it durable.
#[derive(Debug)]
pub struct Log<D>(Rc<RefCell<Inner<D>>>);

impl<D> Clone for Log<D> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<D: Disk> Log<D> {
    /// What a disk holds: the log, the group, the table as it was kept last, and the one with which the group began.
    ///
    /// # Errors
    /// Where it can't be read, or holds what is no log.
    pub fn open(mut disk: D) -> Result<(Self, Option<Group>, Table, Table), Fault> {
        let found = disk.load()?;
        let group: Option<Group> = read(&found, GROUP)?;
        let begun: Table = read(&found, BEGUN)?.unwrap_or_default();
        let table: Table = read(&found, TABLE)?.unwrap_or_else(|| begun.clone());
        let compacted = read::<u64>(&found, COMPACTED)?.unwrap_or(0) as usize;
        let mut changes = Vec::new();
        for (key, value) in found.iter().filter(|(key, _)| is_change(key)) {
            if *key == place(compacted + changes.len()) {
                changes.push(postcard::from_bytes(value).map_err(|e| no_log(key, &e.to_string()))?);
            } else if *key > place(compacted) {
                return Err(no_log(key, "a change is missing before it"));
            }
        }
        let decided = read::<u64>(&found, DECIDED)?.unwrap_or(0) as usize;
        let stop: Option<StopSign> = read(&found, STOP)?;
        // The sign that ends a group has a place of its own.
        if decided > compacted + changes.len() + usize::from(stop.is_some()) {
            return Err(no_log(DECIDED, "more is decided than is there"));
        }
        let base = group.as_ref().map_or(0, |group| group.base);
        let tabled = table
            .epoch
            .checked_sub(base)
            .ok_or_else(|| no_log(TABLE, "it is older than its group"))?;
        if (tabled as usize) < compacted {
            return Err(no_log(TABLE, "it is older than the log"));
        }
        let inner = Inner {
            disk,
            changes,
            compacted,
            decided,
            promise: read(&found, PROMISE)?,
            round: read(&found, ROUND)?,
            stop,
            tabled: tabled as usize,
            pending: Vec::new(),
            fault: None,
        };
        Ok((Self(Rc::new(RefCell::new(inner))), group, table, begun))
    }

    /// Makes durable what was written, with the table where the log no longer reaches back to the one that is kept.
    ///
    /// # Errors
    /// The disk's; it stays.
    pub fn flush(&self, table: &Table, base: u64) -> Result<(), Fault> {
        let mut inner = self.0.borrow_mut();
        if let Some(fault) = &inner.fault {
            return Err(fault.clone());
        }
        if inner.pending.is_empty() {
            return Ok(());
        }
        if inner.compacted > inner.tabled {
            inner.pending.push((TABLE.to_vec(), Some(bytes(table))));
            inner.tabled = (table.epoch - base) as usize;
        }
        let pending = std::mem::take(&mut inner.pending);
        let done = inner.disk.write(&pending).and_then(|()| inner.disk.sync());
        inner.fault = done.clone().err();
        done
    }

    /// Begins the log of another group, with this table before it: all of the old one goes in the same write.
    pub fn begin(&self, group: &Group, table: &Table) {
        let mut inner = self.0.borrow_mut();
        let places = inner.compacted..inner.compacted + inner.changes.len();
        let mut pending: Vec<_> = places.map(|index| (place(index), None)).collect();
        for key in [PROMISE, ROUND, DECIDED, COMPACTED, STOP, TABLE] {
            pending.push((key.to_vec(), None));
        }
        pending.push((GROUP.to_vec(), Some(bytes(group))));
        pending.push((BEGUN.to_vec(), Some(bytes(table))));
        inner.pending.extend(pending);
        (inner.changes, inner.compacted, inner.decided, inner.tabled) = (Vec::new(), 0, 0, 0);
        (inner.promise, inner.round, inner.stop) = (None, None, None);
    }

    /// Notes the first group.
    pub fn note_group(&self, group: &Group) {
        self.0
            .borrow_mut()
            .pending
            .push((GROUP.to_vec(), Some(bytes(group))));
    }

    /// The disk, as it is: for models and tests that crash it.
    pub fn disk<T>(&self, look: impl FnOnce(&D) -> T) -> T {
        look(&self.0.borrow().disk)
    }

    /// Lets a test change the disk.
    pub fn disk_mut<T>(&self, change: impl FnOnce(&mut D) -> T) -> T {
        change(&mut self.0.borrow_mut().disk)
    }

    /// The changes from a place on, up to another.
    #[must_use]
    pub fn changes(&self, from: usize, to: usize) -> Vec<Change> {
        let inner = self.0.borrow();
        let (from, to) = (
            from.saturating_sub(inner.compacted),
            to.saturating_sub(inner.compacted),
        );
        inner
            .changes
            .get(from..to.min(inner.changes.len()))
            .map(<[Change]>::to_vec)
            .unwrap_or_default()
    }
}

impl<D> Inner<D> {
    fn put(&mut self, key: &[u8], value: Vec<u8>) {
        self.pending.push((key.to_vec(), Some(value)));
    }

    fn append(&mut self, changes: Vec<Change>) {
        for change in changes {
            let index = self.compacted + self.changes.len();
            self.pending.push((place(index), Some(encode(&change))));
            self.changes.push(change);
        }
    }

    fn cut(&mut self, from: usize) {
        let keep = from.saturating_sub(self.compacted);
        for index in keep..self.changes.len() {
            self.pending.push((place(self.compacted + index), None));
        }
        self.changes.truncate(keep);
    }

    fn trim(&mut self, to: usize) {
        let gone = to.saturating_sub(self.compacted).min(self.changes.len());
        for index in 0..gone {
            self.pending.push((place(self.compacted + index), None));
        }
        self.changes.drain(..gone);
        self.compacted += gone;
        let compacted = bytes(&(self.compacted as u64));
        self.put(COMPACTED, compacted);
    }

    fn apply(&mut self, op: StorageOp<Change>) {
        match op {
            StorageOp::AppendEntry(change) => self.append(vec![change]),
            StorageOp::AppendEntries(changes) => self.append(changes),
            StorageOp::AppendOnPrefix(from, changes) => {
                self.cut(from);
                self.append(changes);
            }
            StorageOp::SetPromise(ballot) => {
                self.promise = Some(ballot);
                self.put(PROMISE, bytes(&ballot));
            }
            StorageOp::SetDecidedIndex(index) => {
                self.decided = index;
                self.put(DECIDED, bytes(&(index as u64)));
            }
            StorageOp::SetAcceptedRound(ballot) => {
                self.round = Some(ballot);
                self.put(ROUND, bytes(&ballot));
            }
            // The library's trim says both; the first tells where it ends.
            StorageOp::SetCompactedIdx(_) | StorageOp::SetSnapshot(_) => {}
            StorageOp::Trim(index) => self.trim(index),
            StorageOp::SetStopsign(stop) => {
                let value = stop.as_ref().map(bytes);
                self.pending.push((STOP.to_vec(), value));
                self.stop = stop;
            }
        }
    }
}

/// Never an error: the library would end the process by one. The disk's are met where the log is made durable.
impl<D: Disk> Storage<Change> for Log<D> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Change>>) -> StorageResult<()> {
        let mut inner = self.0.borrow_mut();
        ops.into_iter().for_each(|op| inner.apply(op));
        Ok(())
    }

    fn append_entry(&mut self, entry: Change) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntry(entry)])
    }

    fn append_entries(&mut self, entries: Vec<Change>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendEntries(entries)])
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Change>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::AppendOnPrefix(from_idx, entries)])
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetPromise(n_prom)])
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetDecidedIndex(ld)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().decided)
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetAcceptedRound(na)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Change>> {
        let inner = self.0.borrow();
        let range = from
            .checked_sub(inner.compacted)
            .zip(to.checked_sub(inner.compacted));
        Ok(range
            .and_then(|(from, to)| inner.changes.get(from..to))
            .map(<[Change]>::to_vec)
            .unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().changes.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Change>> {
        let inner = self.0.borrow();
        let from = from.checked_sub(inner.compacted);
        Ok(from
            .and_then(|from| inner.changes.get(from..))
            .map(<[Change]>::to_vec)
            .unwrap_or_default())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().promise)
    }

    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::SetStopsign(s)])
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().stop.clone())
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.write_atomically(vec![StorageOp::Trim(idx)])
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().compacted)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(
    found: &std::collections::BTreeMap<Vec<u8>, Vec<u8>>,
    key: &[u8],
) -> Result<Option<T>, Fault> {
    let Some(value) = found.get(key) else {
        return Ok(None);
    };
    postcard::from_bytes(value)
        .map(Some)
        .map_err(|e| no_log(key, &e.to_string()))
}

fn no_log(key: &[u8], why: &str) -> Fault {
    Fault(format!("the agreed log: {}: {why}", key.escape_ascii()))
}
