//! Opening a store: which files are its own, what to read of them, and the index from all that counts.

use crate::compact;
use crate::error::Error;
use crate::files::{Files, Handle};
use crate::format::{
    hint_name, named, record_head, segment_head, segment_name, Head, Kind, Named, RecordHead,
    RECORD_HEAD, SEGMENT_HEAD,
};
use crate::hint;
use crate::index::{Index, Place};
use crate::reader::{Reader, Step, WINDOW};
use crate::recover::{Found, Judge, Kept};
use crate::scan::{self, Next};
use crate::store::{print_of, Batch, Segment, Store};
use std::collections::BTreeSet;

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
    /// Reads what is there; appends to `unproven` the places of records that may not be durable, whatever is synced.
    pub(crate) fn recover(
        &mut self,
        writer: bool,
        unproven: &mut Vec<(u32, Place)>,
    ) -> Result<Found, Error> {
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
        let replaced: BTreeSet<u64> = opened
            .iter()
            .flat_map(|one| one.replaces.iter().copied())
            .collect();
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
                self.files
                    .remove(name)
                    .map_err(Error::io(name, "remove a leftover"))?;
            }
            if !leftovers.is_empty() {
                self.files.sync_folder().map_err(Error::folder)?;
            }
            found.leftovers = leftovers.len();
        }
        let newest = opened
            .iter()
            .filter(|one| !one.segment.head.compacted)
            .map(|one| one.segment.head.id)
            .max();
        let (mut claims, mut empty) = (Vec::new(), None);
        for one in opened {
            let id = one.segment.head.id;
            let slot = self.add_segment(one.segment)?;
            found.segments += 1;
            let hinted = hints.contains(&id)
                && Some(id) != newest
                && self.read_hint(slot, &mut claims, &mut found)?;
            if !hinted {
                let proven =
                    self.read_segment(slot, Some(id) == newest, writer, &mut claims, &mut found)?;
                let after = |claim: &&Claim| {
                    claim.put
                        && claim.place.segment == slot
                        && u64::from(claim.place.offset) >= proven
                };
                unproven.extend(
                    claims
                        .iter()
                        .filter(after)
                        .map(|claim| (claim.print, claim.place)),
                );
            }
            if let Some(segment) = self.segment_mut(slot) {
                segment.sealed = true;
                segment.hinted = hinted;
                let (size, max_seq) = (segment.size, segment.max_seq);
                self.next_seq = self.next_seq.max(max_seq + 1);
                if writer && Some(id) == newest && size == SEGMENT_HEAD as u64 {
                    empty = Some(slot);
                }
            }
        }
        // Nothing was ever written to it, and nothing may be: a sync of it may have failed before this start, after which
        // the system forgets what was written there and reports no error for it any more.
        if let Some(slot) = empty {
            compact::take_out(self, slot)?;
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
        let size = self
            .files
            .size(file)
            .map_err(Error::io(&name, "look at the size"))?;
        let bytes = self.read(file, &name, 0, SEGMENT_HEAD)?;
        let head = match segment_head(&bytes) {
            Head::Good(head) if head.id == id => head,
            Head::Newer(version) => {
                return Err(Error::Newer {
                    file: name,
                    version,
                })
            }
            _ => {
                self.files.close(file);
                // A crash while it was created: nothing in it can have been acknowledged.
                if last && size <= SEGMENT_HEAD as u64 {
                    return Ok(Some(Err(name)));
                }
                if writer {
                    let aside = format!("{id:016x}.damaged");
                    self.files
                        .rename(&name, &aside)
                        .map_err(Error::io(&name, "set aside"))?;
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
                    let ids = bytes[RECORD_HEAD..]
                        .chunks_exact(8)
                        .filter_map(|c| c.first_chunk::<8>());
                    replaces = ids.map(|c| u64::from_le_bytes(*c)).collect();
                }
            }
        }
        segment.sealed = true;
        Ok(Some(Ok(Opened { segment, replaces })))
    }

    /// The record at this place, if there is a good one.
    fn read_good(
        &self,
        segment: &Segment,
        at: &mut u64,
    ) -> Result<Option<(RecordHead, Vec<u8>)>, Error> {
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

    fn read_hint(
        &mut self,
        slot: u16,
        claims: &mut Vec<Claim>,
        found: &mut Found,
    ) -> Result<bool, Error> {
        let Some(segment) = self.segment(slot) else {
            return Ok(false);
        };
        let (head, size) = (segment.head, segment.size);
        let name = hint_name(head.id);
        let Ok(file) = self.files.open(&name) else {
            return Ok(false);
        };
        let length = self
            .files
            .size(file)
            .map_err(Error::io(&name, "look at the size"))?;
        let bytes = self.read(
            file,
            &name,
            0,
            usize::try_from(length).unwrap_or(usize::MAX),
        );
        self.files.close(file);
        let bytes = bytes?;
        let Some(entries) = hint::read(&bytes, &head, size) else {
            return Ok(false);
        };
        claims.reserve(entries.number());
        let Some(segment) = self.segment_mut(slot) else {
            return Ok(false);
        };
        for entry in entries.iter() {
            found.records += 1;
            let place = Place::new(slot, entry.offset, entry.size as usize);
            claim(
                segment,
                claims,
                entry.kind,
                entry.seq,
                place,
                entry.size as usize,
                entry.key,
            );
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
    ) -> Result<u64, Error> {
        let Some(segment) = self.segment(slot) else {
            return Ok(u64::MAX);
        };
        let (file, name, size) = (segment.file, segment.name.clone(), segment.size);
        let mut judge = Judge::new(newest, SEGMENT_HEAD as u64);
        let mut kept = Vec::new();
        let mut reader = Reader::new(SEGMENT_HEAD as u64);
        loop {
            let Some(segment) = self.segment(slot) else {
                return Ok(u64::MAX);
            };
            match reader.next(self, segment)? {
                Step::Record(record) => {
                    found.records += 1;
                    let key = reader.key(&record).to_vec();
                    let offset = reader.offset;
                    reader.skip(record.size());
                    judge.record(
                        Kept {
                            head: record,
                            offset,
                            key,
                        },
                        &mut kept,
                    );
                }
                Step::Damaged(bytes) => {
                    judge.damage(reader.offset, bytes as u64);
                    reader.skip(bytes);
                }
                Step::End => break,
            }
            let Some(segment) = self.segment_mut(slot) else {
                return Ok(u64::MAX);
            };
            for one in kept.drain(..) {
                let place = Place::new(slot, one.offset as u32, one.head.size());
                claim(
                    segment,
                    claims,
                    one.head.kind,
                    one.head.seq,
                    place,
                    one.head.size(),
                    &one.key,
                );
            }
        }
        let proven = if newest { judge.proven() } else { u64::MAX };
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
                self.files
                    .truncate(file, cut)
                    .map_err(Error::io(&name, "cut the torn end"))?;
                self.files.sync(file).map_err(Error::io(&name, "sync"))?;
            }
        } else if newest && writer {
            // What was read may never have been synced; from here on it counts.
            self.files.sync(file).map_err(Error::io(&name, "sync"))?;
        }
        Ok(proven)
    }

    /// Writes what may not be durable once more, to the new segment. Guards against a sync that failed before this
    /// start: the system's cache still shows what it lost, no later sync reports it, and a compaction would drop the
    /// durable record that it seems to replace.
    pub(crate) fn rewrite_unproven(&mut self, unproven: &[(u32, Place)]) -> Result<(), Error> {
        let mut again = false;
        for (print, place) in unproven {
            if !self.index.contains(*print, *place) {
                continue;
            }
            let Some(segment) = self.segment(place.segment) else {
                continue;
            };
            let (file, name, salt) = (segment.file, segment.name.clone(), segment.head.salt);
            let offset = u64::from(place.offset);
            let head = self.read(file, &name, offset, RECORD_HEAD)?;
            let Some(head) = record_head(&head, salt, offset) else {
                continue;
            };
            let key = self.read(file, &name, offset + RECORD_HEAD as u64, head.key_len)?;
            // One that was damaged meanwhile is told of when it is read.
            let Ok(Some(value)) = self.get(0, &key) else {
                continue;
            };
            let expiry = (head.expiry > 0).then_some(head.expiry);
            self.write(Batch::default().put(&key, &value, expiry))?;
            again = true;
        }
        if again {
            self.sync()?;
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
        let mut order: Vec<u64> = claims
            .iter()
            .enumerate()
            .map(|(i, claim)| u64::from(claim.print) << 32 | i as u64)
            .collect();
        order.sort_unstable();
        let claim_at = |number: u64| claims[(number & 0xFFFF_FFFF) as usize];
        let mut entries = Vec::with_capacity(claims.len());
        let mut from = 0;
        while from < order.len() {
            let print = (order[from] >> 32) as u32;
            let number = order[from..]
                .iter()
                .take_while(|other| *other >> 32 == u64::from(print))
                .count();
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
        let Some(segment) = self.segment(claim.place.segment) else {
            return Ok(Vec::new());
        };
        let offset = u64::from(claim.place.offset);
        let size = RECORD_HEAD + claim.key_len as usize;
        let mut bytes = self.read(segment.file, &segment.name, offset, size)?;
        bytes.drain(..RECORD_HEAD.min(bytes.len()));
        Ok(bytes)
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
    claims.push(Claim {
        seq,
        place,
        print,
        size: size as u32,
        key_len,
        put,
    });
}
