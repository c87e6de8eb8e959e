//! The kept results of a range of keys as a file: exported behind a fence, imported whole or not at all.
//!
//! A text file of JSON lines: a head with format, range and epoch; a line a key; a foot with their number and a checksum
//! of all lines before it. An entry is what the store has of it: key, expiry and record as hex digits.

use crate::fence::{from_hex, to_hex, Fence, Range, Refused};
use crate::journal::{self, Journal};
use crate::record::{Record, ScopedKey};
use cleatpulley_log_store::files::Files;
use cleatpulley_log_store::Batch;
use cleatpulley_policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use xxhash_rust::xxh3::Xxh3;

/// The form of the file.
const FORMAT: &str = "cleatpulley results 1";
/// Entries that are imported in one batch.
const BATCH: usize = 1_000;

/// Why keys could not be moved.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store's fault.
    #[error(transparent)]
    Store(#[from] cleatpulley_log_store::Error),
    /// The move is refused.
    #[error(transparent)]
    Refused(#[from] Refused),
    /// The file can't be read or written.
    #[error("the file can't be read or written: {0}")]
    File(#[from] std::io::Error),
    /// The file is no export, or not a whole one.
    #[error("line {line}: {what}")]
    Form {
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        what: String,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    format: String,
    range: Range,
    epoch: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    key: String,
    expiry: Micros,
    record: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Foot {
    entries: usize,
    checksum: String,
}

/// Gives a range away: from the fence on this store admits no new key of it. Returns how many keys were written.
/// Nothing of the range may be open, which is sure where no matcher uses the store.
///
/// # Errors
/// Where a later move is known, or something can't be written; the fence may stand then, and the same epoch can't be
/// used again.
pub fn export<F: Files>(
    journal: &mut Journal<F>,
    now: Micros,
    range: &Range,
    epoch: u64,
    out: &mut impl Write,
) -> Result<usize, Error> {
    journal.fence(Fence {
        range: range.clone(),
        epoch,
        here: false,
    })?;
    copy(journal, now, range, epoch, out)
}

/// Writes what is kept of a range, and changes nothing.
///
/// # Errors
/// Where something can't be read or written.
pub fn copy<F: Files>(
    journal: &mut Journal<F>,
    now: Micros,
    range: &Range,
    epoch: u64,
    out: &mut impl Write,
) -> Result<usize, Error> {
    let mut sum = Xxh3::new();
    let put = |out: &mut dyn Write, sum: Option<&mut Xxh3>, text: String| -> std::io::Result<()> {
        if let Some(sum) = sum {
            sum.update(text.as_bytes());
        }
        writeln!(out, "{text}")
    };
    let json = |value: serde_json::Result<String>| value.map_err(std::io::Error::other);
    let head = Head {
        format: FORMAT.to_owned(),
        range: range.clone(),
        epoch,
    };
    put(out, Some(&mut sum), json(serde_json::to_string(&head))?)?;
    let (mut entries, mut failed) = (0, None);
    journal::each(journal.store(), now, |key, record, expiry| {
        if !range.contains(&key) || failed.is_some() {
            return;
        }
        let line = Line {
            key: to_hex(key.bytes()),
            expiry,
            record: to_hex(&record.encode()),
        };
        let written =
            json(serde_json::to_string(&line)).and_then(|text| put(out, Some(&mut sum), text));
        match written {
            Ok(()) => entries += 1,
            Err(e) => failed = Some(e),
        }
    })?;
    if let Some(e) = failed {
        return Err(e.into());
    }
    let foot = Foot {
        entries,
        checksum: format!("{:016x}", sum.digest()),
    };
    put(out, None, json(serde_json::to_string(&foot))?)?;
    out.flush()?;
    Ok(entries)
}

/// Takes a range over: all its keys first, then the fence that lets new ones in. What has expired is left out. The file
/// is read whole before anything is written. Returns how many keys were taken.
///
/// # Errors
/// Where the file is not whole, a later move is known or the store refuses. A store that refuses halfway may have some
/// of the keys, which harms nobody: the range is not admitted, and the import can be made again.
pub fn import<F: Files>(
    journal: &mut Journal<F>,
    now: Micros,
    input: &mut impl BufRead,
) -> Result<usize, Error> {
    let (head, entries) = read(input)?;
    let fence = Fence {
        range: head.range,
        epoch: head.epoch,
        here: true,
    };
    journal.fences().clone().set(fence.clone())?;
    let mut taken = 0;
    for some in entries.chunks(BATCH) {
        let mut batch = Batch::default();
        for (key, expiry, record) in some.iter().filter(|(_, expiry, _)| *expiry > now) {
            batch.push_put(key.bytes(), &journal::value(*expiry, record), Some(*expiry));
            taken += 1;
        }
        journal.store().write(batch)?;
    }
    journal.store().sync()?;
    journal.fence(fence)?;
    Ok(taken)
}

type Entries = Vec<(ScopedKey, Micros, Record)>;

fn read(input: &mut impl BufRead) -> Result<(Head, Entries), Error> {
    let wrong = |line: usize, what: &str| Error::Form {
        line,
        what: what.to_owned(),
    };
    let mut lines = Vec::new();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| match e.kind() {
            std::io::ErrorKind::InvalidData => wrong(number + 1, "no text"),
            _ => Error::File(e),
        })?;
        lines.push(line);
    }
    let [first, entries @ .., last] = &lines[..] else {
        return Err(wrong(1, "no head and foot"));
    };
    let head: Head = serde_json::from_str(first).map_err(|e| wrong(1, &format!("no head: {e}")))?;
    if head.format != FORMAT {
        return Err(wrong(
            1,
            &format!("the format is {:?} and not {FORMAT:?}", head.format),
        ));
    }
    let number = lines.len();
    let foot: Foot = serde_json::from_str(last)
        .map_err(|e| wrong(number, &format!("no foot, the file is cut: {e}")))?;
    let mut sum = Xxh3::new();
    lines[..number - 1]
        .iter()
        .for_each(|line| sum.update(line.as_bytes()));
    if foot.entries != entries.len() || foot.checksum != format!("{:016x}", sum.digest()) {
        return Err(wrong(
            number,
            "number or checksum don't fit: the file is damaged",
        ));
    }
    let mut read = Vec::with_capacity(entries.len());
    for (place, text) in entries.iter().enumerate() {
        let line: Line =
            serde_json::from_str(text).map_err(|e| wrong(place + 2, &e.to_string()))?;
        let key = from_hex(&line.key).and_then(|bytes| ScopedKey::from_bytes(&bytes));
        let key = key.filter(|key| head.range.contains(key));
        let record = from_hex(&line.record).and_then(|bytes| Record::decode(&bytes));
        match (key, record) {
            (Some(key), Some(record)) => read.push((key, line.expiry, record)),
            (None, _) => return Err(wrong(place + 2, "key: none, or outside the range")),
            (_, None) => return Err(wrong(place + 2, "record: it can't be read")),
        }
    }
    Ok((head, read))
}
