//! Writing: batches into the log, syncs, and the segment that is written to.

use crate::compact::Job;
use crate::error::Error;
use crate::files::{Files, Handle};
use crate::format::{
    push_record, segment_name, Kind, RecordHead, SegmentHead, LARGEST_BATCH, LARGEST_VALUE,
    LONGEST_KEY, RECORD_HEAD, SEGMENT_HEAD,
};
use crate::index::Place;
use crate::reader::WINDOW;
use crate::store::{print_of, Batch, Segment, Store, Syncing};
use std::io::{self, ErrorKind};

/// The file of the active segment is extended by so many bytes at a time.
const RESERVE: u64 = 1_048_576;
/// Bytes of the largest batch.
const LARGEST_WRITE: usize = 268_435_456;

impl<F: Files> Store<F> {
    /// Puts a batch into the log; readers see it at once, and [`sync`](Self::sync) makes it durable. Returns the
    /// sequence number of its last change.
    ///
    /// # Errors
    /// Where it is too large, the disk is full (it was taken back whole then) or the store takes no writes.
    pub fn write(&mut self, batch: Batch) -> Result<u64, Error> {
        self.writable()?;
        if batch.0.is_empty() {
            return Ok(self.next_seq - 1);
        }
        let mut needed = 0;
        for change in &batch.0 {
            let size = change.value.as_ref().map_or(0, Vec::len);
            bound("a key", change.key.len(), LONGEST_KEY)?;
            bound("a value", size, LARGEST_VALUE)?;
            needed += RECORD_HEAD + change.key.len() + size;
        }
        bound("a batch", batch.0.len(), LARGEST_BATCH)?;
        bound("a batch's bytes", needed, LARGEST_WRITE)?;
        let mut slot = self.writable()?;
        let size = self.segment(slot).map_or(0, |segment| segment.size);
        if size > SEGMENT_HEAD as u64 && size + needed as u64 > self.options.segment_bytes {
            slot = self.rotate()?;
        }
        self.append(slot, batch)
    }

    fn append(&mut self, slot: u16, batch: Batch) -> Result<u64, Error> {
        let Some(segment) = self.segment(slot) else {
            return Err(Error::ReadOnly);
        };
        let (file, salt, begin) = (segment.file, segment.head.salt, segment.size);
        let name = segment.name.clone();
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.clear();
        let last = batch.0.len() - 1;
        let mut heads = Vec::with_capacity(batch.0.len());
        for (i, change) in batch.0.iter().enumerate() {
            let offset = begin + bytes.len() as u64;
            let mut packed = None;
            if let (Some(value), Some(from)) = (&change.value, self.options.compress_from) {
                if value.len() >= from.max(1) {
                    packed = Some(lz4_flex::compress_prepend_size(value));
                    // What saves little is not worth the time to unpack it.
                    packed = packed.filter(|packed| packed.len() <= value.len() - value.len() / 8);
                }
            }
            let stored = packed
                .as_deref()
                .or(change.value.as_deref())
                .unwrap_or_default();
            let head = RecordHead {
                kind: if change.value.is_some() {
                    Kind::Put
                } else {
                    Kind::Delete
                },
                first: i == 0,
                last: i == last,
                compressed: packed.is_some(),
                synced: i == 0 && self.durable == begin,
                key_len: change.key.len(),
                value_len: stored.len(),
                expiry: change.expiry,
                seq: self.next_seq + i as u64,
                sum: 0,
            };
            push_record(&mut bytes, salt, offset, &head, &change.key, stored);
            heads.push((head, offset));
        }
        let end = begin + bytes.len() as u64;
        let step = (self.options.segment_bytes / 8).min(RESERVE);
        let reserved = self.segment(slot).map_or(0, |segment| segment.reserved);
        // It saves time and no more: a disk that refuses it may still take the write.
        if end > reserved && self.files.reserve(file, end + step).is_ok() {
            if let Some(segment) = self.segment_mut(slot) {
                segment.reserved = end + step;
            }
        }
        let written = self.append_bytes(file, &name, begin, &bytes);
        self.buffer = bytes;
        if let Some(segment) = self.segment_mut(slot) {
            match &written {
                Ok(()) => segment.size = end,
                // What was taken back took the reserve along.
                Err(_) => segment.reserved = 0,
            }
        }
        written?;
        self.next_seq += batch.0.len() as u64;
        for ((head, offset), change) in heads.into_iter().zip(batch.0) {
            let print = print_of(&change.key);
            // A read that fails here leaves the index behind the log: opening again mends that.
            let older = self.find(&change.key).map_err(|e| self.poison(e))?;
            if let Some((at, older)) = older {
                self.forget(print, at, older.size());
            }
            if let Some(segment) = self.segment_mut(slot) {
                segment.note(head.seq);
                if head.kind == Kind::Delete {
                    segment.deletes += head.size() as u64;
                }
            }
            if head.kind == Kind::Put {
                self.enter(
                    print,
                    Place::new(slot, offset as u32, head.size()),
                    head.size(),
                );
            }
        }
        Ok(self.next_seq - 1)
    }

    /// Appends bytes whole or not at all.
    pub(crate) fn append_bytes(
        &mut self,
        file: Handle,
        name: &str,
        begin: u64,
        bytes: &[u8],
    ) -> Result<(), Error> {
        let mut written = 0;
        while written < bytes.len() {
            let taken = self
                .files
                .append(file, begin + written as u64, &bytes[written..]);
            let fault = match taken {
                Ok(0) => Error::Full {
                    file: name.to_owned(),
                },
                Ok(n) => {
                    written += n;
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => Error::io(name, "write")(e),
            };
            // Half a record must not stay where the next one is to begin.
            if let Err(e) = self.files.truncate(file, begin) {
                let e = Error::io(name, "take back a write")(e);
                return Err(self.poison(e));
            }
            return Err(fault);
        }
        Ok(())
    }

    /// Makes all that was written so far durable.
    ///
    /// # Errors
    /// Where the system says that it did not: nobody knows then what the disk holds, and the store takes no more
    /// writes.
    pub fn sync(&mut self) -> Result<(), Error> {
        let slot = self.writable()?;
        let Some(segment) = self.segment(slot) else {
            return Err(Error::ReadOnly);
        };
        let (file, size) = (segment.file, segment.size);
        if self.durable == size {
            return Ok(());
        }
        let name = segment.name.clone();
        self.stats.syncs += 1;
        match self.files.sync(file) {
            Ok(()) => {
                self.durable = size;
                Ok(())
            }
            Err(e) => {
                let e = Error::io(&name, "sync")(e);
                Err(self.poison(e))
            }
        }
    }

    /// How far the log has come: the active segment and its size.
    pub(crate) fn written(&self) -> (u64, u64) {
        let active = self.active.and_then(|slot| self.segment(slot));
        active.map_or((0, 0), |segment| (segment.head.id, segment.size))
    }

    /// What was written up to there is durable: a segment that was left for another was synced then.
    pub(crate) fn is_durable(&self, (id, size): (u64, u64)) -> bool {
        self.written().0 != id || self.durable >= size
    }

    /// Begins a sync of all that was written so far, to be run anywhere; none where all is durable.
    ///
    /// # Errors
    /// As [`sync`](Self::sync).
    pub fn begin_sync(&mut self) -> Result<Option<Syncing>, Error> {
        let slot = self.writable()?;
        let Some(segment) = self.segment(slot) else {
            return Err(Error::ReadOnly);
        };
        let (file, size, id) = (segment.file, segment.size, segment.head.id);
        if self.durable == size {
            return Ok(None);
        }
        let name = segment.name.clone();
        self.stats.syncs += 1;
        let task = self
            .files
            .sync_task(file)
            .map_err(Error::io(&name, "sync"))?;
        let result = Err(io::Error::other("the sync was never run"));
        Ok(Some(Syncing {
            segment: id,
            upto: size,
            task: Some(task),
            result,
        }))
    }

    /// Takes the result of a sync: what was written before it began is durable.
    ///
    /// # Errors
    /// As [`sync`](Self::sync).
    pub fn end_sync(&mut self, done: Syncing) -> Result<(), Error> {
        let slot = self.writable()?;
        let Some(segment) = self.segment(slot) else {
            return Err(Error::ReadOnly);
        };
        let (same, name) = (segment.head.id == done.segment, segment.name.clone());
        if let Err(e) = done.result {
            let e = Error::io(&name, "sync")(e);
            return Err(self.poison(e));
        }
        // Another segment than that was synced when it was sealed.
        if same {
            self.durable = self.durable.max(done.upto);
        }
        Ok(())
    }

    /// Seals the active segment, durable as a whole, and begins another.
    fn rotate(&mut self) -> Result<u16, Error> {
        self.trim()?;
        self.sync()?;
        let old = self.active;
        let slot = self.create_segment()?;
        if let Some(segment) = old.and_then(|old| self.segment_mut(old)) {
            segment.sealed = true;
        }
        Ok(slot)
    }

    /// Gives back what was reserved and not used; the next sync makes it durable.
    fn trim(&mut self) -> Result<(), Error> {
        let Some(slot) = self.active else {
            return Ok(());
        };
        let Some(segment) = self
            .segment_mut(slot)
            .filter(|segment| segment.reserved > segment.size)
        else {
            return Ok(());
        };
        segment.reserved = 0;
        let (file, size, name) = (segment.file, segment.size, segment.name.clone());
        // Not durable before it is synced again, whatever was written.
        self.durable = self.durable.min(size.saturating_sub(1));
        self.files
            .truncate(file, size)
            .map_err(Error::io(&name, "give back the reserve"))
    }

    pub(crate) fn create_segment(&mut self) -> Result<u16, Error> {
        let id = self.next_id;
        self.next_id += 1;
        let name = segment_name(id);
        let head = SegmentHead {
            id,
            salt: self.new_salt(id),
            compacted: false,
        };
        let file = self
            .files
            .create(&name)
            .map_err(Error::io(&name, "create"))?;
        let begun = self
            .append_bytes(file, &name, 0, &head.encode())
            // Durable before any record: a crash leaves no segment without a head.
            .and_then(|()| self.files.sync(file).map_err(Error::io(&name, "sync")))
            .and_then(|()| {
                self.files
                    .sync_folder()
                    .map_err(Error::io(&name, "sync the folder"))
            });
        if let Err(e) = begun {
            self.files.close(file);
            // Guards against an empty segment that comes back and is taken for the newest, while this one is
            // written on: its torn end would then be believed.
            let gone = self
                .files
                .remove(&name)
                .and_then(|()| self.files.sync_folder());
            if let Err(other) = gone {
                self.poison(Error::io(&name, "take back a new segment")(other));
            }
            return Err(e);
        }
        let slot = self.add_segment(Segment::new(head, file, name, SEGMENT_HEAD as u64))?;
        self.active = Some(slot);
        self.durable = SEGMENT_HEAD as u64;
        Ok(slot)
    }

    /// Makes all durable and marks that it is, so that the next opening trusts each record by itself.
    ///
    /// # Errors
    /// As [`sync`](Self::sync).
    pub fn close(mut self) -> Result<(), Error> {
        self.abort_job();
        let slot = self.writable()?;
        let Some(segment) = self.segment(slot) else {
            return Ok(());
        };
        if segment.size == SEGMENT_HEAD as u64 {
            return Ok(());
        }
        self.trim()?;
        self.sync()?;
        let Some(segment) = self.segment(slot) else {
            return Ok(());
        };
        let (file, begin, salt, name) = (
            segment.file,
            segment.size,
            segment.head.salt,
            segment.name.clone(),
        );
        let head = RecordHead {
            kind: Kind::Mark,
            first: true,
            last: true,
            compressed: false,
            synced: true,
            key_len: 0,
            value_len: 0,
            expiry: 0,
            seq: self.next_seq,
            sum: 0,
        };
        let mut bytes = Vec::new();
        push_record(&mut bytes, salt, begin, &head, &[], &[]);
        self.append_bytes(file, &name, begin, &bytes)?;
        self.files.sync(file).map_err(Error::io(&name, "sync"))?;
        if let Some(segment) = self.segment_mut(slot) {
            segment.size += bytes.len() as u64;
            segment.sealed = true;
        }
        // With its hint the next opening need not read its values. Without it everything is there all the same.
        let mut job = Job::hint(&mut self, slot).ok();
        while let Some(going) = job.take() {
            job = going.step(&mut self, 0, WINDOW).unwrap_or_default();
        }
        Ok(())
    }
}

fn bound(what: &'static str, size: usize, most: usize) -> Result<(), Error> {
    if size > most {
        return Err(Error::TooLarge { what, size, most });
    }
    Ok(())
}
