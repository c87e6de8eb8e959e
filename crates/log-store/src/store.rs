//! The store: what it holds, reading, and maintenance; `opening` and `writing` have the rest. What to believe, what to
//! compact and what to drop is decided in `recover` and `choose`; the index knows no files.

use crate::choose::{self, Sealed};
use crate::compact::Job;
use crate::error::Error;
use crate::files::{Files, Handle, SyncTask};
use crate::format::{
    body_is_good, record_head, Kind, RecordHead, SegmentHead, RECORD_HEAD, SEGMENT_HEAD,
};
use crate::index::{Index, Place};
use crate::reader::{Reader, Step, WINDOW};
use crate::recover::Found;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{self, ErrorKind};

/// A segment may be set to so many bytes: offsets have 32 bits, and a batch comes on top.
const SEGMENTS: std::ops::RangeInclusive<u64> = 4_096..=1_073_741_824;

/// How a store is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// A segment is sealed beyond so many bytes.
    pub segment_bytes: u64,
    /// Files together may have so many bytes; beyond that the oldest records are dropped, a segment at a time.
    pub max_bytes: Option<u64>,
    /// Values of so many bytes and more are compressed, where that saves an eighth.
    pub compress_from: Option<usize>,
    /// Mixed into the salts of segments; two stores need not differ.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 67_108_864,
            max_bytes: None,
            compress_from: None,
            seed: 0,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub key: Vec<u8>,
    /// None deletes.
    pub value: Option<Vec<u8>>,
    pub expiry: u64,
}

/// Changes that count all or not at all.
#[derive(Debug, Clone, Default)]
pub struct Batch(pub(crate) Vec<Change>);

impl Batch {
    /// Adds a value; it expires at this time, in microseconds.
    #[must_use]
    pub fn put(mut self, key: &[u8], value: &[u8], expiry: Option<u64>) -> Self {
        self.push_put(key, value, expiry);
        self
    }

    /// Adds a delete.
    #[must_use]
    pub fn delete(mut self, key: &[u8]) -> Self {
        self.push_delete(key);
        self
    }

    /// Adds a value.
    pub fn push_put(&mut self, key: &[u8], value: &[u8], expiry: Option<u64>) {
        let expiry = expiry.map_or(0, |at| at.max(1));
        self.0.push(Change {
            key: key.to_vec(),
            value: Some(value.to_vec()),
            expiry,
        });
    }

    /// Adds a delete.
    pub fn push_delete(&mut self, key: &[u8]) {
        self.0.push(Change {
            key: key.to_vec(),
            value: None,
            expiry: 0,
        });
    }

    /// Changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// No change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[derive(Debug)]
pub(crate) struct Segment {
    pub head: SegmentHead,
    pub file: Handle,
    pub name: String,
    pub size: u64,
    /// The file was extended to here: syncing what is written below that need not record a new size.
    pub reserved: u64,
    pub live: u64,
    pub deletes: u64,
    pub min_seq: u64,
    pub max_seq: u64,
    pub sealed: bool,
    pub hinted: bool,
    pub damaged: bool,
}

impl Segment {
    pub(crate) fn new(head: SegmentHead, file: Handle, name: String, size: u64) -> Self {
        Self {
            head,
            file,
            name,
            size,
            reserved: 0,
            live: 0,
            deletes: 0,
            min_seq: u64::MAX,
            max_seq: 0,
            sealed: false,
            hinted: false,
            damaged: false,
        }
    }

    pub(crate) fn note(&mut self, seq: u64) {
        self.min_seq = self.min_seq.min(seq);
        self.max_seq = self.max_seq.max(seq);
    }
}

/// Figures of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Keys that have a value, expired ones among them until they are met.
    pub keys: u64,
    /// Segments.
    pub segments: u64,
    /// Bytes of all segments.
    pub bytes: u64,
    /// Bytes of live records.
    pub live: u64,
    /// Bytes of memory of the index.
    pub index_bytes: u64,
    /// Records that expired and were dropped, since the store was opened.
    pub expired: u64,
    /// Records that were dropped for the bound on size.
    pub evicted: u64,
    /// Segments that compaction replaced.
    pub compacted: u64,
    /// Syncs.
    pub syncs: u64,
}

/// What a full check found.
#[derive(Debug, Clone, Default)]
pub struct Checked {
    /// Good records.
    pub records: u64,
    /// Bytes that were read.
    pub bytes: u64,
    /// Damage: file, offset, bytes.
    pub damaged: Vec<(String, u64, u64)>,
}

/// Whether there is more maintenance to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Nothing for now.
    Idle,
    /// Call again.
    More,
}

/// A sync that may run on another thread.
pub struct Syncing {
    pub(crate) segment: u64,
    pub(crate) upto: u64,
    pub(crate) task: Option<SyncTask>,
    pub(crate) result: io::Result<()>,
}

impl Syncing {
    /// Runs it; [`Store::end_sync`] takes the result.
    pub fn run(&mut self) {
        if let Some(task) = self.task.take() {
            self.result = task();
        }
    }
}

/// The store.
pub struct Store<F: Files> {
    pub(crate) files: F,
    pub(crate) options: Options,
    pub(crate) segments: Vec<Option<Segment>>,
    pub(crate) active: Option<u16>,
    pub(crate) index: Index,
    pub(crate) next_id: u64,
    pub(crate) stats: Stats,
    pub(crate) job: Option<Job>,
    pub(crate) random: SmallRng,
    pub(crate) next_seq: u64,
    /// Offset in the active segment up to which all is durable.
    pub(crate) durable: u64,
    pub(crate) poisoned: Option<String>,
    pub(crate) buffer: Vec<u8>,
}

/// The fingerprint of a key.
pub(crate) fn print_of(key: &[u8]) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key) >> 32) as u32
}

impl<F: Files> Store<F> {
    /// Opens a store for reading and writing; an empty folder becomes one.
    ///
    /// # Errors
    /// Where another has it open, where the folder holds what is not the store's or a newer format, or where the
    /// system refuses. Damage is no error: it is told in what was found.
    pub fn open(mut files: F, options: Options) -> Result<(Self, Found), Error> {
        if !SEGMENTS.contains(&options.segment_bytes) {
            let (size, most) = (options.segment_bytes as usize, *SEGMENTS.end() as usize);
            return Err(Error::TooLarge {
                what: "a segment",
                size,
                most,
            });
        }
        if !files.lock().map_err(Error::folder)? {
            return Err(Error::Locked);
        }
        let mut store = Self::empty(files, options);
        let mut unproven = Vec::new();
        let mut found = store.recover(true, &mut unproven)?;
        if store.active.is_none() {
            store.create_segment()?;
        }
        store.rewrite_unproven(&unproven)?;
        found.keys = store.index.len() as u64;
        Ok((store, found))
    }

    /// Opens a store for reading only, also beside its writer; it shows what was there at this moment.
    ///
    /// # Errors
    /// As [`open`](Self::open).
    pub fn open_read_only(files: F) -> Result<(Self, Found), Error> {
        let mut store = Self::empty(files, Options::default());
        let mut tries = 0;
        loop {
            match store.recover(false, &mut Vec::new()) {
                // A writer beside it compacted meanwhile: what was listed is gone.
                Err(Error::Io { source, .. })
                    if source.kind() == ErrorKind::NotFound && tries < 5 =>
                {
                    tries += 1;
                    store
                        .segments
                        .iter()
                        .flatten()
                        .for_each(|segment| store.files.close(segment.file));
                    store.segments.clear();
                    store.index = Index::default();
                }
                Err(e) => return Err(e),
                Ok(mut found) => {
                    store.active = None;
                    store.poisoned = None;
                    found.keys = store.index.len() as u64;
                    return Ok((store, found));
                }
            }
        }
    }

    fn empty(files: F, options: Options) -> Self {
        let random = SmallRng::seed_from_u64(options.seed);
        Self {
            files,
            options,
            segments: Vec::new(),
            active: None,
            index: Index::default(),
            next_id: 1,
            stats: Stats::default(),
            job: None,
            random,
            next_seq: 1,
            durable: 0,
            poisoned: None,
            buffer: Vec::new(),
        }
    }

    pub(crate) fn segment(&self, slot: u16) -> Option<&Segment> {
        self.segments.get(usize::from(slot))?.as_ref()
    }

    pub(crate) fn segment_mut(&mut self, slot: u16) -> Option<&mut Segment> {
        self.segments.get_mut(usize::from(slot))?.as_mut()
    }

    /// Takes a free slot for a segment.
    pub(crate) fn add_segment(&mut self, segment: Segment) -> Result<u16, Error> {
        let slot = match self.segments.iter().position(Option::is_none) {
            Some(slot) => slot,
            None => {
                self.segments.push(None);
                self.segments.len() - 1
            }
        };
        let small = u16::try_from(slot).map_err(|_| Error::TooLarge {
            what: "a number of segments",
            size: slot,
            most: usize::from(u16::MAX),
        })?;
        self.segments[slot] = Some(segment);
        Ok(small)
    }

    pub(crate) fn new_salt(&mut self, id: u64) -> u64 {
        self.random.random::<u64>() ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }

    pub(crate) fn writable(&self) -> Result<u16, Error> {
        if let Some(why) = &self.poisoned {
            return Err(Error::Poisoned(why.clone()));
        }
        self.active.ok_or(Error::ReadOnly)
    }

    pub(crate) fn poison(&mut self, e: Error) -> Error {
        if self.poisoned.is_none() {
            self.poisoned = Some(e.to_string());
        }
        e
    }

    /// Why the store takes no more writes, if so.
    #[must_use]
    pub fn poisoned(&self) -> Option<&str> {
        self.poisoned.as_deref()
    }

    pub(crate) fn enter(&mut self, print: u32, place: Place, size: usize) {
        self.index.insert(print, place);
        if let Some(segment) = self.segment_mut(place.segment) {
            segment.live += size as u64;
        }
    }

    pub(crate) fn forget(&mut self, print: u32, place: Place, size: usize) {
        if self.index.remove(print, place) {
            if let Some(segment) = self.segment_mut(place.segment) {
                segment.live = segment.live.saturating_sub(size as u64);
            }
        }
    }

    // Reading.

    pub(crate) fn read(
        &self,
        file: Handle,
        name: &str,
        offset: u64,
        size: usize,
    ) -> Result<Vec<u8>, Error> {
        let mut bytes = vec![0; size];
        let have = self
            .files
            .read_at(file, offset, &mut bytes)
            .map_err(Error::io(name, "read"))?;
        bytes.truncate(have);
        Ok(bytes)
    }

    /// The place and header of a key's record. One whose header is damaged counts as the key's: its fingerprint is
    /// the key's, and what it held is lost anyway.
    pub(crate) fn find(&self, key: &[u8]) -> Result<Option<(Place, RecordHead)>, Error> {
        let mut damaged = None;
        for place in self.index.find(print_of(key)) {
            let Some(segment) = self.segment(place.segment) else {
                continue;
            };
            let offset = u64::from(place.offset);
            let bytes = self.read(segment.file, &segment.name, offset, RECORD_HEAD + key.len())?;
            match record_head(&bytes, segment.head.salt, offset) {
                Some(head) if head.key_len == key.len() && bytes[RECORD_HEAD..] == *key => {
                    return Ok(Some((place, head)));
                }
                Some(_) => {}
                None => {
                    let lost = RecordHead {
                        kind: Kind::Put,
                        first: true,
                        last: true,
                        compressed: false,
                        synced: false,
                        key_len: 0,
                        value_len: (usize::from(place.units) * 8).saturating_sub(RECORD_HEAD),
                        expiry: 0,
                        seq: 0,
                        sum: 0,
                    };
                    damaged = Some((place, lost));
                }
            }
        }
        Ok(damaged)
    }

    /// The value of a key, unless it has expired by now.
    ///
    /// # Errors
    /// Where the record is damaged or can't be read.
    pub fn get(&self, now: u64, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        let mut damaged = None;
        for place in self.index.find(print_of(key)) {
            let Some(segment) = self.segment(place.segment) else {
                continue;
            };
            let offset = u64::from(place.offset);
            let mut bytes = self.read(
                segment.file,
                &segment.name,
                offset,
                usize::from(place.units) * 8,
            )?;
            let lost = || Error::Damaged {
                file: segment.name.clone(),
                offset,
            };
            let Some(head) = record_head(&bytes, segment.head.salt, offset) else {
                damaged = Some(lost());
                continue;
            };
            if bytes.len() < head.size() {
                bytes = self.read(segment.file, &segment.name, offset, head.size())?;
            }
            bytes.truncate(head.size());
            if bytes.len() < head.size() || !body_is_good(&head, &bytes[RECORD_HEAD..]) {
                damaged = Some(lost());
                continue;
            }
            if bytes[RECORD_HEAD..RECORD_HEAD + head.key_len] != *key {
                continue;
            }
            if head.expired(now) {
                return Ok(None);
            }
            bytes.drain(..RECORD_HEAD + head.key_len);
            if head.compressed {
                return lz4_flex::decompress_size_prepended(&bytes)
                    .map(Some)
                    .map_err(|_| lost());
            }
            return Ok(Some(bytes));
        }
        damaged.map_or(Ok(None), Err)
    }

    /// Goes through all that is live at this time, the oldest first: sequence number, key and value. Damaged records
    /// are passed over. It ends early where `each` says false.
    ///
    /// # Errors
    /// Where the system refuses to read.
    pub fn by_age(
        &self,
        now: u64,
        mut each: impl FnMut(u64, &[u8], &[u8]) -> bool,
    ) -> Result<(), Error> {
        // Sequence numbers rise within a segment: the next of all is the lowest of their next ones.
        let mut readers: Vec<(u16, Reader, Option<RecordHead>)> = Vec::new();
        for (slot, segment) in self.segments.iter().enumerate() {
            if segment.is_some() {
                readers.push((slot as u16, Reader::new(SEGMENT_HEAD as u64), None));
            }
        }
        loop {
            for (slot, reader, head) in &mut readers {
                while head.is_none() {
                    let Some(segment) = self.segment(*slot) else {
                        break;
                    };
                    match reader.next(self, segment)? {
                        Step::Record(record) => *head = Some(record),
                        Step::Damaged(bytes) => reader.skip(bytes),
                        Step::End => break,
                    }
                }
            }
            let next = readers.iter_mut().filter(|reader| reader.2.is_some());
            let Some((slot, reader, head)) =
                next.min_by_key(|reader| reader.2.map_or(u64::MAX, |head| head.seq))
            else {
                return Ok(());
            };
            let Some(record) = head.take() else { continue };
            let place = Place::new(*slot, reader.offset as u32, record.size());
            let key = reader.key(&record);
            let live = record.kind == Kind::Put && self.index.contains(print_of(key), place);
            if live && !record.expired(now) {
                let stored = &reader.body(&record)[record.key_len..];
                let goes_on = if record.compressed {
                    lz4_flex::decompress_size_prepended(stored)
                        .is_ok_and(|value| each(record.seq, key, &value))
                } else {
                    each(record.seq, key, stored)
                };
                if !goes_on {
                    return Ok(());
                }
            }
            reader.skip(record.size());
        }
    }

    /// Figures.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let segments = self.segments.iter().flatten();
        Stats {
            keys: self.index.len() as u64,
            segments: segments.clone().count() as u64,
            bytes: segments.clone().map(|segment| segment.size).sum(),
            live: segments.map(|segment| segment.live).sum(),
            index_bytes: self.index.bytes() as u64,
            ..self.stats
        }
    }

    /// Reads everything and says what is damaged; `progress` hears of bytes read and bytes in all.
    ///
    /// # Errors
    /// Where the system refuses to read.
    pub fn check(&self, mut progress: impl FnMut(u64, u64)) -> Result<Checked, Error> {
        let mut checked = Checked::default();
        let total = self.stats().bytes;
        for segment in self.segments.iter().flatten() {
            let mut reader = Reader::new(SEGMENT_HEAD as u64);
            loop {
                let begin = reader.offset;
                match reader.next(self, segment)? {
                    Step::Record(record) => {
                        checked.records += 1;
                        reader.skip(record.size());
                    }
                    Step::Damaged(bytes) => {
                        let mut found = Found {
                            damaged: std::mem::take(&mut checked.damaged),
                            ..Found::default()
                        };
                        found.damage(&segment.name, begin, bytes as u64);
                        checked.damaged = found.damaged;
                        reader.skip(bytes);
                    }
                    Step::End => break,
                }
                checked.bytes += reader.offset - begin;
                if checked.records.is_multiple_of(4_096) {
                    progress(checked.bytes, total);
                }
            }
        }
        progress(total, total);
        Ok(checked)
    }

    // Maintenance.

    fn known(&self) -> Vec<Sealed> {
        let known = |(slot, segment): (usize, &Option<Segment>)| {
            let segment = segment.as_ref()?;
            Some(Sealed {
                slot: slot as u16,
                size: segment.size,
                live: segment.live,
                deletes: segment.deletes,
                min_seq: segment.min_seq,
                max_seq: segment.max_seq,
                sealed: segment.sealed,
            })
        };
        self.segments.iter().enumerate().filter_map(known).collect()
    }

    /// Does a piece of maintenance of about so many bytes: hints, compaction, dropping what is beyond the bound.
    ///
    /// # Errors
    /// Where the system refuses; a compaction that fails leaves everything as it was.
    pub fn maintain(&mut self, now: u64, budget: usize) -> Result<Work, Error> {
        self.writable()?;
        if self.job.is_none() {
            self.job = self.next_job()?;
        }
        let Some(job) = self.job.take() else {
            return Ok(Work::Idle);
        };
        match job.step(self, now, budget) {
            Ok(next) => {
                self.job = next;
                Ok(Work::More)
            }
            Err(e) => Err(e),
        }
    }

    fn next_job(&mut self) -> Result<Option<Job>, Error> {
        let known = self.known();
        let total = self
            .segments
            .iter()
            .flatten()
            .map(|segment| segment.size)
            .sum();
        if let Some(slot) = choose::oldest_beyond(&known, total, self.options.max_bytes) {
            return Ok(Some(Job::evict(slot)));
        }
        let victims = choose::victims(&known, self.options.segment_bytes);
        if !victims.is_empty() {
            return Job::compact(self, victims).map(Some);
        }
        let unhinted = self.segments.iter().position(|s| {
            s.as_ref()
                .is_some_and(|s| s.sealed && !s.hinted && !s.damaged)
        });
        match unhinted {
            Some(slot) => Job::hint(self, slot as u16).map(Some),
            None => Ok(None),
        }
    }

    /// Rewrites these sealed segments, damaged ones for instance: what is good in them is copied, and files with damage
    /// are set aside. Returns how many were rewritten.
    ///
    /// # Errors
    /// As [`maintain`](Self::maintain).
    pub fn rewrite(&mut self, now: u64, names: &[String]) -> Result<usize, Error> {
        self.writable()?;
        self.abort_job();
        let mut rewritten = 0;
        for name in names {
            let named =
                |s: &Option<Segment>| s.as_ref().is_some_and(|s| s.sealed && s.name == *name);
            let Some(slot) = self.segments.iter().position(named) else {
                continue;
            };
            let mut job = Some(Job::compact(self, vec![slot as u16])?);
            while let Some(going) = job.take() {
                job = going.step(self, now, WINDOW)?;
            }
            rewritten += 1;
        }
        Ok(rewritten)
    }

    /// Gives up a piece of maintenance that is under way; everything is as before it.
    pub(crate) fn abort_job(&mut self) {
        if let Some(job) = self.job.take() {
            job.abort(self);
        }
    }
}
