//! The store: writes, reads, syncs, opening. What to believe, what to compact and what to drop is decided in
//! `recover` and `choose`; the index knows no files.

use crate::choose::{self, Sealed};
use crate::compact::Job;
use crate::error::Error;
use crate::files::{Files, Handle, SyncTask};
use crate::format::{
    body_is_good, hint_name, named, push_record, record_head, segment_head, segment_name, Head, Kind, Named,
    RecordHead, SegmentHead, LARGEST_BATCH, LARGEST_VALUE, LONGEST_KEY, RECORD_HEAD, SEGMENT_HEAD,
};
use crate::hint;
use crate::index::{Index, Place};
use crate::recover::{Found, Judge, Kept};
use crate::scan::{self, Next};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};

/// Bytes that are read at once where a segment is read through.
pub(crate) const WINDOW: usize = 262_144;
/// A segment may be set to so many bytes: offsets have 32 bits, and a batch comes on top.
const SEGMENTS: std::ops::RangeInclusive<u64> = 4_096..=1_073_741_824;
/// The file of the active segment is extended by so many bytes at a time.
const RESERVE: u64 = 1_048_576;
/// Bytes of the largest batch.
const LARGEST_WRITE: usize = 268_435_456;

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
        Self { segment_bytes: 67_108_864, max_bytes: None, compress_from: None, seed: 0 }
    }
}

#[derive(Debug, Clone)]
struct Change {
    key: Vec<u8>,
    /// None deletes.
    value: Option<Vec<u8>>,
    expiry: u64,
}

/// Changes that count all or not at all.
#[derive(Debug, Clone, Default)]
pub struct Batch(Vec<Change>);

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
        self.0.push(Change { key: key.to_vec(), value: Some(value.to_vec()), expiry });
    }

    /// Adds a delete.
    pub fn push_delete(&mut self, key: &[u8]) {
        self.0.push(Change { key: key.to_vec(), value: None, expiry: 0 });
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
    segment: u64,
    upto: u64,
    task: Option<SyncTask>,
    result: io::Result<()>,
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
    random: SmallRng,
    next_seq: u64,
    /// Offset in the active segment up to which all is durable.
    durable: u64,
    poisoned: Option<String>,
    buffer: Vec<u8>,
}

/// The fingerprint of a key.
pub(crate) fn print_of(key: &[u8]) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(key) >> 32) as u32
}

/// A record that counts, if nothing newer has its key.
#[derive(Debug, Clone, Copy)]
struct Claim {
    seq: u64,
    place: Place,
    print: u32,
    size: u32,
    key_len: u16,
    put: bool,
}

/// A segment that was opened and not read yet.
struct Opened {
    segment: Segment,
    replaces: Vec<u64>,
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
            return Err(Error::TooLarge { what: "a segment", size, most });
        }
        if !files.lock().map_err(Error::folder)? {
            return Err(Error::Locked);
        }
        let mut store = Self::empty(files, options);
        let mut found = store.recover(true)?;
        if store.active.is_none() {
            store.create_segment()?;
        }
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
            match store.recover(false) {
                // A writer beside it compacted meanwhile: what was listed is gone.
                Err(Error::Io { source, .. }) if source.kind() == ErrorKind::NotFound && tries < 5 => {
                    tries += 1;
                    store.segments.iter().flatten().for_each(|segment| store.files.close(segment.file));
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

    fn writable(&self) -> Result<u16, Error> {
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

    // Opening.

    fn recover(&mut self, writer: bool) -> Result<Found, Error> {
        let mut found = Found::default();
        let names = self.files.list().map_err(Error::folder)?;
        let (mut ids, mut hints) = (Vec::new(), BTreeSet::new());
        let mut leftovers = Vec::new();
        for name in names {
            match named(&name) {
                Named::Segment(id) => ids.push(id),
                Named::Hint(id) => {
                    hints.insert(id);
                }
                Named::Unfinished => leftovers.push(name),
                Named::Lock => {}
                Named::Quarantined => found.quarantined.push(name),
                Named::Foreign => return Err(Error::Foreign { file: name }),
            }
        }
        ids.sort_unstable();
        self.next_id = ids.last().map_or(1, |last| last + 1);
        let mut opened = Vec::new();
        let newest_id = ids.last().copied();
        for id in ids {
            match self.open_segment(id, Some(id) == newest_id, writer, &mut found)? {
                Some(Ok(one)) => opened.push(one),
                Some(Err(unborn)) => leftovers.push(unborn),
                None => {}
            }
        }
        // What compaction replaced may still be there: it must not be read, as its deletes are perhaps gone.
        let replaced: BTreeSet<u64> = opened.iter().flat_map(|one| one.replaces.iter().copied()).collect();
        opened.retain(|one| {
            let stays = !replaced.contains(&one.segment.head.id);
            if !stays {
                leftovers.push(one.segment.name.clone());
            }
            stays
        });
        leftovers.extend(
            hints
                .iter()
                .filter(|id| !opened.iter().any(|o| o.segment.head.id == **id))
                .map(|id| hint_name(*id)),
        );
        if writer {
            for name in &leftovers {
                self.files.remove(name).map_err(Error::io(name, "remove a leftover"))?;
            }
            if !leftovers.is_empty() {
                self.files.sync_folder().map_err(Error::folder)?;
            }
            found.leftovers = leftovers.len();
        }
        let newest =
            opened.iter().filter(|one| !one.segment.head.compacted).map(|one| one.segment.head.id).max();
        let mut claims = Vec::new();
        for one in opened {
            let id = one.segment.head.id;
            let slot = self.add_segment(one.segment)?;
            found.segments += 1;
            let hinted =
                hints.contains(&id) && Some(id) != newest && self.read_hint(slot, &mut claims, &mut found)?;
            if !hinted {
                self.read_segment(slot, Some(id) == newest, writer, &mut claims, &mut found)?;
            }
            if let Some(segment) = self.segment_mut(slot) {
                segment.sealed = true;
                segment.hinted = hinted;
                let (size, max_seq) = (segment.size, segment.max_seq);
                self.next_seq = self.next_seq.max(max_seq + 1);
                if writer && Some(id) == newest && size == SEGMENT_HEAD as u64 {
                    // Nothing was ever written to it: no need for another.
                    if let Some(segment) = self.segment_mut(slot) {
                        segment.sealed = false;
                    }
                    self.active = Some(slot);
                    self.durable = SEGMENT_HEAD as u64;
                }
            }
        }
        self.settle(claims)?;
        Ok(found)
    }

    /// Opens a segment: none where it was set aside, its name alone where it was never written.
    fn open_segment(
        &mut self,
        id: u64,
        last: bool,
        writer: bool,
        found: &mut Found,
    ) -> Result<Option<Result<Opened, String>>, Error> {
        let name = segment_name(id);
        let file = self.files.open(&name).map_err(Error::io(&name, "open"))?;
        let size = self.files.size(file).map_err(Error::io(&name, "look at the size"))?;
        let bytes = self.read(file, &name, 0, SEGMENT_HEAD)?;
        let head = match segment_head(&bytes) {
            Head::Good(head) if head.id == id => head,
            Head::Newer(version) => return Err(Error::Newer { file: name, version }),
            _ => {
                self.files.close(file);
                // A crash while it was created: nothing in it can have been acknowledged.
                if last && size <= SEGMENT_HEAD as u64 {
                    return Ok(Some(Err(name)));
                }
                if writer {
                    let aside = format!("{id:016x}.damaged");
                    self.files.rename(&name, &aside).map_err(Error::io(&name, "set aside"))?;
                    found.quarantined.push(aside);
                } else {
                    found.quarantined.push(name);
                }
                return Ok(None);
            }
        };
        let mut segment = Segment::new(head, file, name, size);
        let mut replaces = Vec::new();
        if head.compacted {
            let mut at = SEGMENT_HEAD as u64;
            if let Some((record, bytes)) = self.read_good(&segment, &mut at)? {
                if record.kind == Kind::Replaces {
                    let ids = bytes[RECORD_HEAD..].chunks_exact(8).filter_map(|c| c.first_chunk::<8>());
                    replaces = ids.map(|c| u64::from_le_bytes(*c)).collect();
                }
            }
        }
        segment.sealed = true;
        Ok(Some(Ok(Opened { segment, replaces })))
    }

    /// The record at this place, if there is a good one.
    fn read_good(&self, segment: &Segment, at: &mut u64) -> Result<Option<(RecordHead, Vec<u8>)>, Error> {
        let mut have = 4_096;
        loop {
            let bytes = self.read(segment.file, &segment.name, *at, have)?;
            match scan::next(&bytes, segment.head.salt, *at, bytes.len() < have) {
                Next::Record(head) => {
                    *at += head.size() as u64;
                    return Ok(Some((head, bytes[..head.size()].to_vec())));
                }
                Next::More(needed) => have = needed.max(have + 1),
                Next::Damaged(_) | Next::End => return Ok(None),
            }
        }
    }

    pub(crate) fn read(&self, file: Handle, name: &str, offset: u64, size: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = vec![0; size];
        let have = self.files.read_at(file, offset, &mut bytes).map_err(Error::io(name, "read"))?;
        bytes.truncate(have);
        Ok(bytes)
    }

    fn read_hint(&mut self, slot: u16, claims: &mut Vec<Claim>, found: &mut Found) -> Result<bool, Error> {
        let Some(segment) = self.segment(slot) else { return Ok(false) };
        let (head, size) = (segment.head, segment.size);
        let name = hint_name(head.id);
        let Ok(file) = self.files.open(&name) else { return Ok(false) };
        let length = self.files.size(file).map_err(Error::io(&name, "look at the size"))?;
        let bytes = self.read(file, &name, 0, usize::try_from(length).unwrap_or(usize::MAX));
        self.files.close(file);
        let bytes = bytes?;
        let Some(entries) = hint::read(&bytes, &head, size) else { return Ok(false) };
        claims.reserve(entries.number());
        let Some(segment) = self.segment_mut(slot) else { return Ok(false) };
        for entry in entries.iter() {
            found.records += 1;
            let place = Place::new(slot, entry.offset, entry.size as usize);
            claim(segment, claims, entry.kind, entry.seq, place, entry.size as usize, entry.key);
        }
        found.hinted += 1;
        Ok(true)
    }

    fn read_segment(
        &mut self,
        slot: u16,
        newest: bool,
        writer: bool,
        claims: &mut Vec<Claim>,
        found: &mut Found,
    ) -> Result<(), Error> {
        let Some(segment) = self.segment(slot) else { return Ok(()) };
        let (head, file, name, size) = (segment.head, segment.file, segment.name.clone(), segment.size);
        let mut judge = Judge::new(newest, SEGMENT_HEAD as u64);
        let mut kept = Vec::new();
        let mut reader = Reader::new(SEGMENT_HEAD as u64);
        loop {
            match reader.next(self, file, &name, head.salt, size)? {
                Step::Record(record) => {
                    found.records += 1;
                    let key = reader.key(&record).to_vec();
                    let offset = reader.offset;
                    reader.skip(record.size());
                    judge.record(Kept { head: record, offset, key }, &mut kept);
                }
                Step::Damaged(bytes) => {
                    judge.damage(reader.offset, bytes as u64);
                    reader.skip(bytes);
                }
                Step::End => break,
            }
            let Some(segment) = self.segment_mut(slot) else { return Ok(()) };
            for one in kept.drain(..) {
                let place = Place::new(slot, one.offset as u32, one.head.size());
                claim(segment, claims, one.head.kind, one.head.seq, place, one.head.size(), &one.key);
            }
        }
        let (cut, damage) = judge.end(size);
        for (offset, bytes) in &damage {
            found.damage(&name, *offset, *bytes);
        }
        if let Some(segment) = self.segment_mut(slot) {
            segment.damaged = !damage.is_empty();
            segment.size = cut;
        }
        if cut < size {
            if !self.is_blank(file, &name, cut, size)? {
                found.torn += size - cut;
            }
            if writer {
                // Durable before anything is written after it: else this end might come back behind newer records.
                self.files.truncate(file, cut).map_err(Error::io(&name, "cut the torn end"))?;
                self.files.sync(file).map_err(Error::io(&name, "sync"))?;
            }
        } else if newest && writer {
            // What was read may never have been synced; from here on it counts.
            self.files.sync(file).map_err(Error::io(&name, "sync"))?;
        }
        Ok(())
    }

    /// Whether nothing was ever written there: it was only reserved.
    fn is_blank(&self, file: Handle, name: &str, from: u64, to: u64) -> Result<bool, Error> {
        let mut at = from;
        while at < to {
            let bytes = self.read(file, name, at, WINDOW.min((to - at) as usize))?;
            if bytes.is_empty() || bytes.iter().any(|byte| *byte != 0) {
                return Ok(bytes.is_empty());
            }
            at += bytes.len() as u64;
        }
        Ok(true)
    }

    /// Builds the index from all records that count: of those with one key the newest. Keys are compared on the disk,
    /// and only where two fingerprints agree.
    fn settle(&mut self, claims: Vec<Claim>) -> Result<(), Error> {
        // Plain numbers sort several times as fast as the claims themselves.
        let mut order: Vec<u64> =
            claims.iter().enumerate().map(|(i, claim)| u64::from(claim.print) << 32 | i as u64).collect();
        order.sort_unstable();
        let claim_at = |number: u64| claims[(number & 0xFFFF_FFFF) as usize];
        let mut entries = Vec::with_capacity(claims.len());
        let mut from = 0;
        while from < order.len() {
            let print = (order[from] >> 32) as u32;
            let number = order[from..].iter().take_while(|other| *other >> 32 == u64::from(print)).count();
            let group = &order[from..from + number];
            from += number;
            let alone = [(Vec::new(), claim_at(group[0]))];
            let mut newest: Vec<(Vec<u8>, Claim)> = Vec::new();
            if number > 1 {
                for claim in group.iter().map(|number| claim_at(*number)) {
                    let key = self.key_at(&claim)?;
                    match newest.iter_mut().find(|(other, _)| *other == key) {
                        Some((_, other)) if other.seq >= claim.seq => {}
                        Some((_, other)) => *other = claim,
                        None => newest.push((key, claim)),
                    }
                }
            }
            let kept = if number > 1 { &newest[..] } else { &alone[..] };
            for (_, claim) in kept.iter().filter(|(_, claim)| claim.put) {
                entries.push((print, claim.place));
                if let Some(segment) = self.segment_mut(claim.place.segment) {
                    segment.live += u64::from(claim.size);
                }
            }
        }
        self.index = Index::build(&entries);
        Ok(())
    }

    /// The key of a record; of one whose header is damaged since its hint was written, none that any other has.
    fn key_at(&self, claim: &Claim) -> Result<Vec<u8>, Error> {
        let Some(segment) = self.segment(claim.place.segment) else { return Ok(Vec::new()) };
        let offset = u64::from(claim.place.offset);
        let size = RECORD_HEAD + claim.key_len as usize;
        let mut bytes = self.read(segment.file, &segment.name, offset, size)?;
        bytes.drain(..RECORD_HEAD.min(bytes.len()));
        Ok(bytes)
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

    /// The place and header of a key's record. One whose header is damaged counts as the key's: its fingerprint is
    /// the key's, and what it held is lost anyway.
    pub(crate) fn find(&self, key: &[u8]) -> Result<Option<(Place, RecordHead)>, Error> {
        let mut damaged = None;
        for place in self.index.find(print_of(key)) {
            let Some(segment) = self.segment(place.segment) else { continue };
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
            let Some(segment) = self.segment(place.segment) else { continue };
            let offset = u64::from(place.offset);
            let mut bytes = self.read(segment.file, &segment.name, offset, usize::from(place.units) * 8)?;
            let lost = || Error::Damaged { file: segment.name.clone(), offset };
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
                return lz4_flex::decompress_size_prepended(&bytes).map(Some).map_err(|_| lost());
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
    pub fn by_age(&self, now: u64, mut each: impl FnMut(u64, &[u8], &[u8]) -> bool) -> Result<(), Error> {
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
                    let Some(segment) = self.segment(*slot) else { break };
                    let (file, name) = (segment.file, &segment.name);
                    match reader.next(self, file, name, segment.head.salt, segment.size)? {
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
                match reader.next(self, segment.file, &segment.name, segment.head.salt, segment.size)? {
                    Step::Record(record) => {
                        checked.records += 1;
                        reader.skip(record.size());
                    }
                    Step::Damaged(bytes) => {
                        let mut found =
                            Found { damaged: std::mem::take(&mut checked.damaged), ..Found::default() };
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

    // Writing.

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
        let Some(segment) = self.segment(slot) else { return Err(Error::ReadOnly) };
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
            let stored = packed.as_deref().or(change.value.as_deref()).unwrap_or_default();
            let head = RecordHead {
                kind: if change.value.is_some() { Kind::Put } else { Kind::Delete },
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
                self.enter(print, Place::new(slot, offset as u32, head.size()), head.size());
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
            let taken = self.files.append(file, begin + written as u64, &bytes[written..]);
            let fault = match taken {
                Ok(0) => Error::Full { file: name.to_owned() },
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
        let Some(segment) = self.segment(slot) else { return Err(Error::ReadOnly) };
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
        let Some(segment) = self.segment(slot) else { return Err(Error::ReadOnly) };
        let (file, size, id) = (segment.file, segment.size, segment.head.id);
        if self.durable == size {
            return Ok(None);
        }
        let name = segment.name.clone();
        self.stats.syncs += 1;
        let task = self.files.sync_task(file).map_err(Error::io(&name, "sync"))?;
        let result = Err(io::Error::other("the sync was never run"));
        Ok(Some(Syncing { segment: id, upto: size, task: Some(task), result }))
    }

    /// Takes the result of a sync: what was written before it began is durable.
    ///
    /// # Errors
    /// As [`sync`](Self::sync).
    pub fn end_sync(&mut self, done: Syncing) -> Result<(), Error> {
        let slot = self.writable()?;
        let Some(segment) = self.segment(slot) else { return Err(Error::ReadOnly) };
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
        let Some(slot) = self.active else { return Ok(()) };
        let Some(segment) = self.segment_mut(slot).filter(|segment| segment.reserved > segment.size) else {
            return Ok(());
        };
        segment.reserved = 0;
        let (file, size, name) = (segment.file, segment.size, segment.name.clone());
        // Not durable before it is synced again, whatever was written.
        self.durable = self.durable.min(size.saturating_sub(1));
        self.files.truncate(file, size).map_err(Error::io(&name, "give back the reserve"))
    }

    fn create_segment(&mut self) -> Result<u16, Error> {
        let id = self.next_id;
        self.next_id += 1;
        let name = segment_name(id);
        let head = SegmentHead { id, salt: self.new_salt(id), compacted: false };
        let file = self.files.create(&name).map_err(Error::io(&name, "create"))?;
        let begun = self
            .append_bytes(file, &name, 0, &head.encode())
            // Durable before any record: a crash leaves no segment without a head.
            .and_then(|()| self.files.sync(file).map_err(Error::io(&name, "sync")))
            .and_then(|()| self.files.sync_folder().map_err(Error::io(&name, "sync the folder")));
        if let Err(e) = begun {
            self.files.close(file);
            // Guards against an empty segment that comes back and is taken for the newest, while this one is
            // written on: its torn end would then be believed.
            let gone = self.files.remove(&name).and_then(|()| self.files.sync_folder());
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
        let Some(segment) = self.segment(slot) else { return Ok(()) };
        if segment.size == SEGMENT_HEAD as u64 {
            return Ok(());
        }
        self.trim()?;
        self.sync()?;
        let Some(segment) = self.segment(slot) else { return Ok(()) };
        let (file, begin, salt, name) = (segment.file, segment.size, segment.head.salt, segment.name.clone());
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
        let Some(job) = self.job.take() else { return Ok(Work::Idle) };
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
        let total = self.segments.iter().flatten().map(|segment| segment.size).sum();
        if let Some(slot) = choose::oldest_beyond(&known, total, self.options.max_bytes) {
            return Ok(Some(Job::evict(slot)));
        }
        let victims = choose::victims(&known, self.options.segment_bytes);
        if !victims.is_empty() {
            return Job::compact(self, victims).map(Some);
        }
        let unhinted = self
            .segments
            .iter()
            .position(|s| s.as_ref().is_some_and(|s| s.sealed && !s.hinted && !s.damaged));
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
            let named = |s: &Option<Segment>| s.as_ref().is_some_and(|s| s.sealed && s.name == *name);
            let Some(slot) = self.segments.iter().position(named) else { continue };
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

/// Enters a record into its segment's books and among those that count.
fn claim(
    segment: &mut Segment,
    claims: &mut Vec<Claim>,
    kind: Kind,
    seq: u64,
    place: Place,
    size: usize,
    key: &[u8],
) {
    let put = match kind {
        Kind::Put => true,
        Kind::Delete => {
            segment.deletes += size as u64;
            false
        }
        Kind::Replaces | Kind::Mark => return,
    };
    segment.note(seq);
    let (print, key_len) = (print_of(key), key.len() as u16);
    claims.push(Claim { seq, place, print, size: size as u32, key_len, put });
}

fn bound(what: &'static str, size: usize, most: usize) -> Result<(), Error> {
    if size > most {
        return Err(Error::TooLarge { what, size, most });
    }
    Ok(())
}

/// What stands next in a segment.
pub(crate) enum Step {
    Record(RecordHead),
    Damaged(usize),
    End,
}

/// Reads through a segment, a window at a time.
pub(crate) struct Reader {
    pub offset: u64,
    window: Vec<u8>,
    /// Offset of the window's first byte.
    at: u64,
}

impl Reader {
    pub(crate) fn new(offset: u64) -> Self {
        Self { offset, window: Vec::new(), at: offset }
    }

    pub(crate) fn next<F: Files>(
        &mut self,
        store: &Store<F>,
        file: Handle,
        name: &str,
        salt: u64,
        size: u64,
    ) -> Result<Step, Error> {
        let mut needed = 1;
        loop {
            let from = (self.offset - self.at) as usize;
            let have = self.window.len().saturating_sub(from);
            let left = size.saturating_sub(self.offset);
            let at_end = have as u64 >= left;
            if have >= needed || at_end {
                let bytes = &self.window[from.min(self.window.len())..];
                let bytes = &bytes[..bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX))];
                match scan::next(bytes, salt, self.offset, at_end) {
                    Next::Record(head) => return Ok(Step::Record(head)),
                    Next::Damaged(bytes) => return Ok(Step::Damaged(bytes)),
                    Next::End => return Ok(Step::End),
                    Next::More(more) => needed = more.max(have + 1),
                }
            }
            let wanted = (needed.max(WINDOW) as u64).min(left) as usize;
            self.window = store.read(file, name, self.offset, wanted)?;
            self.at = self.offset;
            if self.window.len() < wanted {
                // The file is shorter than it was: what is there is all.
                return match scan::next(&self.window, salt, self.offset, true) {
                    Next::Record(head) => Ok(Step::Record(head)),
                    Next::Damaged(bytes) => Ok(Step::Damaged(bytes)),
                    _ => Ok(Step::End),
                };
            }
        }
    }

    /// Key and value as they are stored, of the record that came last.
    pub(crate) fn body(&self, head: &RecordHead) -> &[u8] {
        let from = (self.offset - self.at) as usize;
        &self.window[from + RECORD_HEAD..from + head.size()]
    }

    pub(crate) fn key(&self, head: &RecordHead) -> &[u8] {
        &self.body(head)[..head.key_len]
    }

    pub(crate) fn skip(&mut self, bytes: usize) {
        self.offset += bytes as u64;
    }
}
