//! The cached results of a range of keys as a file: exported behind a fence, imported completely or
//! not at all.
//!
//! A text file of JSON lines: a head with format, range and epoch; one line per key; and a foot with
//! their number and a checksum of all lines before it. A line has what the store has of a key: the
//! key, its expiry, and its record as hex digits.

use crate::fence::{Fence, KeyRange};
use crate::hex::{from_hex, to_hex};
use crate::journal::{encode_value, for_each_record, Journal};
use crate::record::{KeyRecord, ScopedKey};
use crate::transfer_error::FORMAT;
use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::Batch;
use cleatpulley_policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use xxhash_rust::xxh3::Xxh3;

pub use crate::transfer_error::{FormatError, TransferError};

/// Keys that are imported in one batch.
const BATCH_SIZE: usize = 1_000;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    format: String,
    range: KeyRange,
    epoch: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    key: String,
    #[serde(rename = "expiry")]
    expires_at: Micros,
    record: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Foot {
    entries: usize,
    checksum: String,
}

/// Moves a range away and writes it to `output`: from the fence on this store admits no new key of
/// it. Returns how many keys were written.
///
/// No key of the range may be pending, which is sure where no server uses the store.
///
/// # Errors
/// Where a later move is known, or something can't be written; the fence may be set then, and the
/// same epoch can't be used again.
pub fn export<F: FileSystem>(
    journal: &mut Journal<F>,
    now: Micros,
    range: &KeyRange,
    epoch: u64,
    output: &mut impl Write,
) -> Result<usize, TransferError> {
    journal.set_fence(Fence {
        range: range.clone(),
        epoch,
        is_owned: false,
    })?;
    copy(journal, now, range, epoch, output)
}

/// Writes the cached results of a range to `output`, and changes nothing. Returns how many keys were
/// written.
///
/// # Errors
/// Where something can't be read or written.
pub fn copy<F: FileSystem>(
    journal: &mut Journal<F>,
    now: Micros,
    range: &KeyRange,
    epoch: u64,
    output: &mut impl Write,
) -> Result<usize, TransferError> {
    let mut checksum = Xxh3::new();
    let head = Head {
        format: FORMAT.to_owned(),
        range: range.clone(),
        epoch,
    };
    write_line(output, &mut checksum, &head)?;
    let mut entries = 0;
    let mut result = Ok(());
    for_each_record(journal.store_mut(), now, |key, record, expires_at| {
        if !range.contains(&key) || result.is_err() {
            return;
        }
        let line = Line {
            key: to_hex(key.as_bytes()),
            expires_at,
            record: to_hex(&record.encode()),
        };
        result = write_line(output, &mut checksum, &line);
        entries += 1;
    })?;
    result?;
    let foot = Foot {
        entries,
        checksum: checksum_text(&checksum),
    };
    write_line(output, &mut checksum, &foot)?;
    output.flush()?;
    Ok(entries)
}

fn write_line(
    output: &mut impl Write,
    checksum: &mut Xxh3,
    line: &impl Serialize,
) -> io::Result<()> {
    let text = serde_json::to_string(line)?;
    checksum.update(text.as_bytes());
    writeln!(output, "{text}")
}

fn checksum_text(checksum: &Xxh3) -> String {
    format!("{:016x}", checksum.digest())
}

/// Takes a range over: first all its keys, then the fence that admits new ones. Expired keys are
/// left out. The file is read completely before anything is written. Returns how many keys were
/// taken over.
///
/// # Errors
/// Where the file is not complete, a later move is known, or the store can't be written. A store
/// that fails halfway may have some of the keys, which harms nobody: the range is not admitted, and
/// the import can be repeated.
pub fn import<F: FileSystem>(
    journal: &mut Journal<F>,
    now: Micros,
    input: &mut impl BufRead,
) -> Result<usize, TransferError> {
    let export = read(input)?;
    let fence = Fence {
        range: export.head.range,
        epoch: export.head.epoch,
        is_owned: true,
    };
    journal.fences().clone().set(fence.clone())?;
    let mut imported = 0;
    for entries in export.entries.chunks(BATCH_SIZE) {
        let mut batch = Batch::default();
        for entry in entries.iter().filter(|entry| entry.expires_at > now) {
            let value = encode_value(entry.expires_at, &entry.record);
            batch.add_put(entry.key.as_bytes(), &value, Some(entry.expires_at));
            imported += 1;
        }
        journal.store_mut().write(batch)?;
    }
    journal.store_mut().sync()?;
    journal.set_fence(fence)?;
    Ok(imported)
}

/// An export that was read completely.
struct Export {
    head: Head,
    entries: Vec<ExportedKey>,
}

struct ExportedKey {
    key: ScopedKey,
    expires_at: Micros,
    record: KeyRecord,
}

fn read(input: &mut impl BufRead) -> Result<Export, TransferError> {
    let lines = read_lines(input)?;
    let [head, entries @ .., foot] = &lines[..] else {
        return Err(format_error(1, FormatError::TooShort));
    };
    let head = read_head(head).map_err(|source| format_error(1, source))?;
    check_foot(foot, &lines[..lines.len() - 1])
        .map_err(|source| format_error(lines.len(), source))?;
    let entries = entries
        .iter()
        .enumerate()
        .map(|(index, text)| {
            // The head is line 1.
            read_entry(text, &head.range).map_err(|source| format_error(index + 2, source))
        })
        .collect::<Result<_, _>>()?;
    Ok(Export { head, entries })
}

fn format_error(line: usize, source: FormatError) -> TransferError {
    TransferError::Format { line, source }
}

fn read_lines(input: &mut impl BufRead) -> Result<Vec<String>, TransferError> {
    let mut lines = Vec::new();
    for line in input.lines() {
        let number = lines.len() + 1;
        let line = line.map_err(|error| match error.kind() {
            io::ErrorKind::InvalidData => format_error(number, FormatError::NoText),
            _ => TransferError::Io(error),
        })?;
        lines.push(line);
    }
    Ok(lines)
}

fn read_head(text: &str) -> Result<Head, FormatError> {
    let head: Head = serde_json::from_str(text).map_err(FormatError::Head)?;
    if head.format != FORMAT {
        return Err(FormatError::UnknownFormat(head.format));
    }
    Ok(head)
}

/// Checks the foot against the head and entries before it.
fn check_foot(text: &str, lines: &[String]) -> Result<(), FormatError> {
    let foot: Foot = serde_json::from_str(text).map_err(FormatError::Foot)?;
    let mut checksum = Xxh3::new();
    for line in lines {
        checksum.update(line.as_bytes());
    }
    let entries = lines.len() - 1;
    if foot.entries != entries || foot.checksum != checksum_text(&checksum) {
        return Err(FormatError::Checksum);
    }
    Ok(())
}

fn read_entry(text: &str, range: &KeyRange) -> Result<ExportedKey, FormatError> {
    let line: Line = serde_json::from_str(text).map_err(FormatError::Entry)?;
    let key = from_hex(&line.key)
        .and_then(|bytes| ScopedKey::from_bytes(&bytes))
        .filter(|key| range.contains(key))
        .ok_or(FormatError::Key)?;
    let record = from_hex(&line.record)
        .and_then(|bytes| KeyRecord::decode(&bytes))
        .ok_or(FormatError::Record)?;
    Ok(ExportedKey {
        key,
        expires_at: line.expires_at,
        record,
    })
}
