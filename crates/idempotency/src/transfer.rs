//! Export of a range of keys to a file, with a fence, and import of such a file, completely or not
//! at all.
//!
//! An export is a text file of JSON lines: a header with format, range and epoch; one line per key;
//! and a footer with the number of keys and a checksum of all lines before it. The line of a key
//! has the key, its expiry time, and its record; key and record are hexadecimal digits.

use crate::fence::{Fence, KeyRange};
use crate::hex::{from_hex, to_hex};
use crate::journal::{encode_value, for_each_record, Journal};
use crate::record::{KeyRecord, ScopedKey};
use crate::transfer_error::EXPORT_FORMAT;
use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::Batch;
use cleatpulley_policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use xxhash_rust::xxh3::Xxh3;

pub use crate::transfer_error::{FormatError, TransferError};

/// Number of keys that are imported in one batch of the store.
const KEYS_PER_BATCH: usize = 1_000;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExportHeader {
    format: String,
    range: KeyRange,
    epoch: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExportLine {
    key: String,
    #[serde(rename = "expiry")]
    expires_at: Micros,
    record: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExportFooter {
    entries: usize,
    checksum: String,
}

/// Moves a range away and writes its keys to `output`: sets a fence, so that this store admits no
/// new key of the range. Returns the number of keys written.
///
/// No key of the range may be pending, which holds when no server uses the store.
///
/// # Errors
/// If a later move is known, or the store or `output` can't be written. The fence may have been set
/// then, so that the same epoch can't be used again.
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
    export_unfenced(journal, now, range, epoch, output)
}

/// Writes the keys of a range to `output` without a fence: the store is not changed. Returns the
/// number of keys written.
///
/// # Errors
/// If the store can't be read or `output` can't be written.
pub fn export_unfenced<F: FileSystem>(
    journal: &mut Journal<F>,
    now: Micros,
    range: &KeyRange,
    epoch: u64,
    output: &mut impl Write,
) -> Result<usize, TransferError> {
    let mut checksum = Xxh3::new();
    let header = ExportHeader {
        format: EXPORT_FORMAT.to_owned(),
        range: range.clone(),
        epoch,
    };
    write_line(output, &mut checksum, &header)?;
    let mut entries = 0;
    let mut result = Ok(());
    for_each_record(journal.store_mut(), now, |key, record, expires_at| {
        if !range.contains(&key) || result.is_err() {
            return;
        }
        let line = ExportLine {
            key: to_hex(key.as_bytes()),
            expires_at,
            record: to_hex(&record.encode()),
        };
        result = write_line(output, &mut checksum, &line);
        entries += 1;
    })?;
    result?;
    let footer = ExportFooter {
        entries,
        checksum: checksum_text(&checksum),
    };
    write_line(output, &mut checksum, &footer)?;
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

/// Imports a range: first its keys, then the fence that makes this store their owner. Expired keys
/// are skipped. The file is read completely before anything is written. Returns the number of keys
/// imported.
///
/// # Errors
/// If the file is incomplete, a later move is known, or the store can't be written. A store that
/// fails halfway may have some of the keys, which does no harm: new keys of the range are not
/// admitted, and the import can be repeated.
pub fn import<F: FileSystem>(
    journal: &mut Journal<F>,
    now: Micros,
    input: &mut impl BufRead,
) -> Result<usize, TransferError> {
    let export = read_export(input)?;
    let fence = Fence {
        range: export.header.range,
        epoch: export.header.epoch,
        is_owned: true,
    };
    journal.fences().clone().set(fence.clone())?;
    let mut imported = 0;
    for entries in export.entries.chunks(KEYS_PER_BATCH) {
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
    header: ExportHeader,
    entries: Vec<ExportedKey>,
}

struct ExportedKey {
    key: ScopedKey,
    expires_at: Micros,
    record: KeyRecord,
}

fn read_export(input: &mut impl BufRead) -> Result<Export, TransferError> {
    let lines = read_lines(input)?;
    let [header, entries @ .., footer] = &lines[..] else {
        return Err(format_error(1, FormatError::TooShort));
    };
    let header = read_header(header).map_err(|source| format_error(1, source))?;
    check_footer(footer, &lines[..lines.len() - 1])
        .map_err(|source| format_error(lines.len(), source))?;
    let entries = entries
        .iter()
        .enumerate()
        .map(|(index, text)| {
            // The header is line 1.
            read_entry(text, &header.range).map_err(|source| format_error(index + 2, source))
        })
        .collect::<Result<_, _>>()?;
    Ok(Export { header, entries })
}

fn format_error(line: usize, source: FormatError) -> TransferError {
    TransferError::Format { line, source }
}

fn read_lines(input: &mut impl BufRead) -> Result<Vec<String>, TransferError> {
    let mut lines = Vec::new();
    for line in input.lines() {
        let number = lines.len() + 1;
        let line = line.map_err(|error| match error.kind() {
            io::ErrorKind::InvalidData => format_error(number, FormatError::NotUtf8),
            _ => TransferError::Io(error),
        })?;
        lines.push(line);
    }
    Ok(lines)
}

fn read_header(text: &str) -> Result<ExportHeader, FormatError> {
    let header: ExportHeader = serde_json::from_str(text).map_err(FormatError::InvalidHeader)?;
    if header.format != EXPORT_FORMAT {
        return Err(FormatError::UnknownFormat(header.format));
    }
    Ok(header)
}

/// Checks the footer against the header and entries before it.
fn check_footer(text: &str, lines: &[String]) -> Result<(), FormatError> {
    let footer: ExportFooter = serde_json::from_str(text).map_err(FormatError::InvalidFooter)?;
    let mut checksum = Xxh3::new();
    for line in lines {
        checksum.update(line.as_bytes());
    }
    let entries = lines.len() - 1;
    if footer.entries != entries || footer.checksum != checksum_text(&checksum) {
        return Err(FormatError::ChecksumMismatch);
    }
    Ok(())
}

fn read_entry(text: &str, range: &KeyRange) -> Result<ExportedKey, FormatError> {
    let line: ExportLine = serde_json::from_str(text).map_err(FormatError::InvalidEntry)?;
    let key = from_hex(&line.key)
        .and_then(|bytes| ScopedKey::from_bytes(&bytes))
        .filter(|key| range.contains(key))
        .ok_or(FormatError::InvalidKey)?;
    let record = from_hex(&line.record)
        .and_then(|bytes| KeyRecord::decode(&bytes))
        .ok_or(FormatError::InvalidRecord)?;
    Ok(ExportedKey {
        key,
        expires_at: line.expires_at,
        record,
    })
}
