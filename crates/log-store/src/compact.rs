//! Maintenance in bounded steps: compaction, hints, and dropping the oldest segment.
//!
//! Compaction copies what lives in its victims, in the order of sequence numbers, into a file under another name. The
//! index points to the copies at once, as both are readable; the file gets its name only when it is durable, and says
//! which segments it replaces, so that a crash at any moment leaves the old, or both, and never a part.

use crate::choose::may_hide;
use crate::error::Error;
use crate::files::{Files, Handle};
use crate::format::{
    hint_name, push_record, segment_name, unfinished_name, Kind, RecordHead, SegmentHead,
    SEGMENT_HEAD,
};
use crate::hint::{trailer, Writer};
use crate::index::Place;
use crate::reader::{Reader, Step};
use crate::store::{print_of, Batch, Segment, Store};

/// Bytes that are written between two syncs of a file under way: each sync is short then.
const SYNC_EVERY: u64 = 262_144;

/// A segment that is being rewritten.
pub(crate) struct Victim {
    slot: u16,
    reader: Reader,
    next: Option<RecordHead>,
}

/// A file that is written under a name of its own until it is whole.
pub(crate) struct Output {
    file: Handle,
    name: String,
    size: u64,
    synced: u64,
}

/// An entry that points to a copy now.
pub(crate) struct Moved {
    print: u32,
    from: Place,
    to: Place,
    size: usize,
}

/// Maintenance under way.
pub(crate) enum Job {
    /// Rewrites segments into one.
    Compact {
        victims: Vec<Victim>,
        /// The segment that is being written, which readers use already.
        slot: u16,
        output: Output,
        moved: Vec<Moved>,
        /// What has to be durable in the active segment before the victims go, once all is copied: a value that was
        /// left out for a newer one must not be lost with that in a crash.
        needs: Option<(u64, u64)>,
        /// The copies are durable under their name; the victims are to go.
        named: bool,
    },
    /// Writes a segment's hint.
    Hint {
        slot: u16,
        reader: Reader,
        writer: Writer,
        output: Output,
    },
    /// Drops a segment with all that lives in it.
    Evict { slot: u16, reader: Reader },
}

impl Job {
    pub(crate) fn evict(slot: u16) -> Self {
        Self::Evict {
            slot,
            reader: Reader::new(SEGMENT_HEAD as u64),
        }
    }

    pub(crate) fn hint<F: Files>(store: &mut Store<F>, slot: u16) -> Result<Self, Error> {
        let id = store.segment(slot).map_or(0, |segment| segment.head.id);
        let name = format!("{}.tmp", hint_name(id));
        let file = store
            .files
            .create(&name)
            .map_err(Error::io(&name, "create"))?;
        let output = Output {
            file,
            name,
            size: 0,
            synced: 0,
        };
        Ok(Self::Hint {
            slot,
            reader: Reader::new(SEGMENT_HEAD as u64),
            writer: Writer::default(),
            output,
        })
    }

    pub(crate) fn compact<F: Files>(store: &mut Store<F>, slots: Vec<u16>) -> Result<Self, Error> {
        let id = store.next_id;
        store.next_id += 1;
        let name = unfinished_name(id);
        let head = SegmentHead {
            id,
            salt: store.new_salt(id),
            compacted: true,
        };
        let ids = slots
            .iter()
            .filter_map(|slot| store.segment(*slot))
            .map(|segment| segment.head.id);
        let replaces: Vec<u8> = ids.flat_map(u64::to_le_bytes).collect();
        let mut bytes = head.encode().to_vec();
        let record = RecordHead {
            kind: Kind::Replaces,
            first: true,
            last: true,
            compressed: false,
            synced: false,
            key_len: 0,
            value_len: replaces.len(),
            expiry: 0,
            seq: 0,
            sum: 0,
        };
        push_record(
            &mut bytes,
            head.salt,
            SEGMENT_HEAD as u64,
            &record,
            &[],
            &replaces,
        );
        let file = store
            .files
            .create(&name)
            .map_err(Error::io(&name, "create"))?;
        let size = bytes.len() as u64;
        let begun = store.append_bytes(file, &name, 0, &bytes);
        let begun =
            begun.and_then(|()| store.add_segment(Segment::new(head, file, name.clone(), size)));
        let slot = match begun {
            Ok(slot) => slot,
            Err(e) => {
                store.files.close(file);
                let _ = store.files.remove(&name);
                return Err(e);
            }
        };
        let victim = |slot| Victim {
            slot,
            reader: Reader::new(SEGMENT_HEAD as u64),
            next: None,
        };
        let output = Output {
            file,
            name,
            size,
            synced: 0,
        };
        Ok(Self::Compact {
            victims: slots.into_iter().map(victim).collect(),
            slot,
            output,
            moved: Vec::new(),
            needs: None,
            named: false,
        })
    }

    /// Does about so many bytes of it; what is left of it, if anything. On a fault everything is as before it began.
    pub(crate) fn step<F: Files>(
        mut self,
        store: &mut Store<F>,
        now: u64,
        budget: usize,
    ) -> Result<Option<Self>, Error> {
        let over = match &mut self {
            Self::Compact {
                victims,
                named: true,
                ..
            } => drop_victims(store, victims),
            Self::Compact {
                victims,
                slot,
                output,
                moved,
                needs,
                named,
            } => {
                let copied = compact_step(store, victims, *slot, output, moved, now, budget);
                copied.and_then(|over| {
                    if over {
                        let needed = *needs.get_or_insert_with(|| store.written());
                        if store.is_durable(needed) {
                            finish(store, *slot, output)?;
                            *named = true;
                        } else {
                            store.sync()?;
                        }
                    }
                    Ok(false)
                })
            }
            Self::Hint {
                slot,
                reader,
                writer,
                output,
            } => hint_step(store, *slot, reader, writer, output, budget),
            Self::Evict { slot, reader } => evict_step(store, *slot, reader, budget),
        };
        match over {
            Ok(true) => Ok(None),
            Ok(false) => Ok(Some(self)),
            Err(e) => {
                self.abort(store);
                Err(e)
            }
        }
    }

    /// Takes back what a job that did not end has done.
    pub(crate) fn abort<F: Files>(self, store: &mut Store<F>) {
        match self {
            Self::Compact {
                slot,
                output,
                moved,
                ..
            } => {
                // Named already: the folder's fate is unknown, and the copies are whole. They stay.
                if store.segment(slot).is_none_or(|segment| segment.sealed) {
                    return;
                }
                for Moved {
                    print,
                    from,
                    to,
                    size,
                } in moved
                {
                    if store.index.replace(print, to, from) {
                        if let Some(segment) = store.segment_mut(from.segment) {
                            segment.live += size as u64;
                        }
                    }
                }
                if let Some(place) = store.segments.get_mut(usize::from(slot)) {
                    *place = None;
                }
                store.files.close(output.file);
                let _ = store.files.remove(&output.name);
            }
            Self::Hint { output, .. } => {
                store.files.close(output.file);
                let _ = store.files.remove(&output.name);
            }
            Self::Evict { .. } => {}
        }
    }
}

/// The lowest sequence numbers of all segments but those that go.
fn staying<F: Files>(store: &Store<F>, goes: impl Fn(u16) -> bool) -> Vec<u64> {
    let segments = store
        .segments
        .iter()
        .enumerate()
        .filter(|(slot, _)| !goes(*slot as u16));
    segments
        .filter_map(|(_, segment)| segment.as_ref().map(|segment| segment.min_seq))
        .collect()
}

/// Appends to an output; syncs it where enough has come together. True where it synced: that is work enough for a step.
fn put<F: Files>(store: &mut Store<F>, output: &mut Output, bytes: &[u8]) -> Result<(), Error> {
    store.append_bytes(output.file, &output.name, output.size, bytes)?;
    output.size += bytes.len() as u64;
    Ok(())
}

fn sync<F: Files>(store: &mut Store<F>, output: &mut Output) -> Result<(), Error> {
    store.stats.syncs += 1;
    store
        .files
        .sync(output.file)
        .map_err(Error::io(&output.name, "sync"))?;
    output.synced = output.size;
    Ok(())
}

fn compact_step<F: Files>(
    store: &mut Store<F>,
    victims: &mut [Victim],
    slot: u16,
    output: &mut Output,
    moved: &mut Vec<Moved>,
    now: u64,
    budget: usize,
) -> Result<bool, Error> {
    if output.size - output.synced >= SYNC_EVERY {
        sync(store, output)?;
        return Ok(false);
    }
    let staying = staying(store, |other| {
        other == slot || victims.iter().any(|victim| victim.slot == other)
    });
    let salt = store.segment(slot).map_or(0, |segment| segment.head.salt);
    let mut bytes = Vec::new();
    let mut copies = Vec::new();
    let mut deletes = 0;
    let mut read = 0;
    let mut over = false;
    while read < budget.max(1) {
        for victim in victims.iter_mut() {
            peek(store, victim)?;
        }
        let next = victims.iter_mut().filter(|victim| victim.next.is_some());
        let Some(victim) = next.min_by_key(|victim| victim.next.map_or(u64::MAX, |head| head.seq))
        else {
            over = true;
            break;
        };
        let Some(head) = victim.next.take() else {
            break;
        };
        let size = head.size();
        read += size;
        let from = Place::new(victim.slot, victim.reader.offset as u32, size);
        let body = victim.reader.body(&head);
        let (key, value) = body.split_at(head.key_len);
        let print = print_of(key);
        let live = head.kind == Kind::Put && store.index.contains(print, from);
        let expired = live && head.expired(now);
        let hides =
            (head.kind == Kind::Delete || expired) && may_hide(head.seq, staying.iter().copied());
        let offset = output.size + bytes.len() as u64;
        // Each counts by itself from here on: its batch was whole, or it would not be here.
        let copy = RecordHead {
            first: true,
            last: true,
            synced: false,
            ..head
        };
        if live && !expired {
            push_record(&mut bytes, salt, offset, &copy, key, value);
            copies.push((
                head.seq,
                Moved {
                    print,
                    from,
                    to: Place::new(slot, offset as u32, size),
                    size,
                },
            ));
        } else if hides {
            // An older value in another segment must stay hidden.
            let delete = RecordHead {
                kind: Kind::Delete,
                value_len: 0,
                compressed: false,
                expiry: 0,
                ..copy
            };
            push_record(&mut bytes, salt, offset, &delete, key, &[]);
            deletes += delete.size() as u64;
            if let Some(segment) = store.segment_mut(slot) {
                segment.note(head.seq);
            }
        }
        victim.reader.skip(size);
        if expired {
            store.forget(print, from, size);
            store.stats.expired += 1;
        }
    }
    put(store, output, &bytes)?;
    if let Some(segment) = store.segment_mut(slot) {
        segment.size = output.size;
        segment.deletes += deletes;
        copies.iter().for_each(|(seq, _)| segment.note(*seq));
    }
    for (_, copy) in copies {
        if store.index.replace(copy.print, copy.from, copy.to) {
            for (at, add) in [(copy.from.segment, false), (copy.to.segment, true)] {
                if let Some(segment) = store.segment_mut(at) {
                    let size = copy.size as u64;
                    segment.live = if add {
                        segment.live + size
                    } else {
                        segment.live.saturating_sub(size)
                    };
                }
            }
            moved.push(copy);
        }
    }
    if !over {
        return Ok(false);
    }
    if output.synced < output.size {
        sync(store, output)?;
        return Ok(false);
    }
    Ok(true)
}

fn peek<F: Files>(store: &mut Store<F>, victim: &mut Victim) -> Result<(), Error> {
    while victim.next.is_none() {
        let Some(segment) = store.segment(victim.slot) else {
            return Ok(());
        };
        match victim.reader.next(store, segment)? {
            Step::Record(head) => victim.next = Some(head),
            Step::Damaged(bytes) => {
                victim.reader.skip(bytes);
                if let Some(segment) = store.segment_mut(victim.slot) {
                    segment.damaged = true;
                }
            }
            Step::End => return Ok(()),
        }
    }
    Ok(())
}

/// The copies are durable: they get their name, and only then the victims may go.
fn finish<F: Files>(store: &mut Store<F>, slot: u16, output: &mut Output) -> Result<(), Error> {
    let Some(id) = store.segment(slot).map(|segment| segment.head.id) else {
        return Ok(());
    };
    let name = segment_name(id);
    store
        .files
        .rename(&output.name, &name)
        .map_err(Error::io(&name, "give the name"))?;
    if let Some(segment) = store.segment_mut(slot) {
        segment.name = name;
        segment.sealed = true;
    }
    sync_folder(store)
}

/// What names exist is not known after a fault here, so that no more may be written.
fn sync_folder<F: Files>(store: &mut Store<F>) -> Result<(), Error> {
    store
        .files
        .sync_folder()
        .map_err(|e| store.poison(Error::folder(e)))
}

fn drop_victims<F: Files>(store: &mut Store<F>, victims: &[Victim]) -> Result<bool, Error> {
    for victim in victims {
        drop_segment(store, victim.slot)?;
        store.stats.compacted += 1;
    }
    // Guards against a victim that comes back after the segment that says it was replaced is itself gone.
    sync_folder(store)?;
    Ok(true)
}

/// Takes a segment out of the folder; one with damage is set aside, for whoever wants to look at it. Where that fails
/// no more is written: the segment would come back at the next opening, after what hid its records was compacted away.
fn drop_segment<F: Files>(store: &mut Store<F>, slot: u16) -> Result<(), Error> {
    take_out(store, slot).map_err(|e| store.poison(e))
}

pub(crate) fn take_out<F: Files>(store: &mut Store<F>, slot: u16) -> Result<(), Error> {
    let Some(segment) = store
        .segments
        .get_mut(usize::from(slot))
        .and_then(Option::take)
    else {
        return Ok(());
    };
    store.files.close(segment.file);
    let id = segment.head.id;
    if segment.hinted {
        let name = hint_name(id);
        store
            .files
            .remove(&name)
            .map_err(Error::io(&name, "remove"))?;
    }
    let gone = if segment.damaged {
        store
            .files
            .rename(&segment.name, &format!("{id:016x}.damaged"))
    } else {
        store.files.remove(&segment.name)
    };
    gone.map_err(Error::io(&segment.name, "remove"))
}

fn hint_step<F: Files>(
    store: &mut Store<F>,
    slot: u16,
    reader: &mut Reader,
    writer: &mut Writer,
    output: &mut Output,
    budget: usize,
) -> Result<bool, Error> {
    if output.size - output.synced >= SYNC_EVERY {
        sync(store, output)?;
        return Ok(false);
    }
    let begin = reader.offset;
    let mut bytes = Vec::new();
    let mut over = false;
    while reader.offset - begin < budget.max(1) as u64 {
        let Some(segment) = store.segment(slot) else {
            return Ok(true);
        };
        match reader.next(store, segment)? {
            Step::Record(head) => {
                let offset = reader.offset as u32;
                bytes.extend(
                    writer
                        .push(&head, offset, reader.key(&head))
                        .unwrap_or_default(),
                );
                reader.skip(head.size());
            }
            Step::Damaged(_) => {
                // A hint would hide the damage from the next opening.
                if let Some(segment) = store.segment_mut(slot) {
                    segment.damaged = true;
                }
                store.files.close(output.file);
                store
                    .files
                    .remove(&output.name)
                    .map_err(Error::io(&output.name, "remove"))?;
                return Ok(true);
            }
            Step::End => {
                over = true;
                break;
            }
        }
    }
    if over {
        let Some(segment) = store.segment(slot) else {
            return Ok(true);
        };
        let end = trailer(&segment.head, segment.size, writer.entries);
        let id = segment.head.id;
        bytes.extend(writer.take_block());
        bytes.extend_from_slice(&end);
        put(store, output, &bytes)?;
        sync(store, output)?;
        store.files.close(output.file);
        let name = hint_name(id);
        store
            .files
            .rename(&output.name, &name)
            .map_err(Error::io(&name, "give the name"))?;
        if let Some(segment) = store.segment_mut(slot) {
            segment.hinted = true;
        }
        return Ok(true);
    }
    put(store, output, &bytes)?;
    Ok(false)
}

fn evict_step<F: Files>(
    store: &mut Store<F>,
    slot: u16,
    reader: &mut Reader,
    budget: usize,
) -> Result<bool, Error> {
    let begin = reader.offset;
    let staying = staying(store, |other| other == slot);
    let mut hiding = Batch::default();
    let mut over = false;
    while reader.offset - begin < budget.max(1) as u64 {
        let Some(segment) = store.segment(slot) else {
            return Ok(true);
        };
        match reader.next(store, segment)? {
            Step::Record(head) => {
                let key = reader.key(&head);
                let print = print_of(key);
                let place = Place::new(slot, reader.offset as u32, head.size());
                let live = head.kind == Kind::Put && store.index.contains(print, place);
                if (live || head.kind == Kind::Delete)
                    && may_hide(head.seq, staying.iter().copied())
                {
                    // A delete of an older key must go on hiding it, and a value that goes must not bring an older
                    // one back.
                    if live || store.find(key)?.is_none() {
                        hiding.push_delete(key);
                    }
                }
                if live {
                    store.forget(print, place, head.size());
                    store.stats.evicted += 1;
                }
                reader.skip(head.size());
            }
            Step::Damaged(bytes) => reader.skip(bytes),
            Step::End => {
                over = true;
                break;
            }
        }
    }
    if !hiding.is_empty() {
        store.write(hiding)?;
    }
    if over {
        store.sync()?;
        drop_segment(store, slot)?;
        // Guards against its return after a delete that hid something in it was compacted away.
        sync_folder(store)?;
    }
    Ok(over)
}
