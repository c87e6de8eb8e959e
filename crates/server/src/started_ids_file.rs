//! File in the handover folder with the ids of requests that a process may have run. The process that takes
//! over the clients reads it, so that it does not run them again. Earlier releases neither write nor read it.
//!
//! The file begins with [`MAGIC`]. Each entry is an id and the time at which it is forgotten, in Unix
//! microseconds, as little-endian numbers of 8 bytes.

use crate::host::HandoverAddress;
use cleatpulley_dispatcher::StartedId;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;

/// Identifies the format and its version.
const MAGIC: &[u8; 8] = b"ran-ids1";
/// Bytes of an id or a time.
const NUMBER_BYTES: usize = 8;
/// Bytes of an entry.
const ENTRY_BYTES: usize = 2 * NUMBER_BYTES;
/// Maximum length of a file that is read.
const MAX_FILE_BYTES: u64 = 4_000_000;
/// File mode: only the same user may read it.
const FILE_MODE: u32 = 0o600;

/// Replaces the file.
///
/// # Errors
/// Errors of the operating system.
pub(crate) fn save(address: &HandoverAddress, started_ids: &[StartedId]) -> io::Result<()> {
    let path = file_path(address);
    let unfinished = path.with_extension("ids.new");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(FILE_MODE)
        .open(&unfinished)?;
    file.write_all(&encode(started_ids))?;
    drop(file);
    fs::rename(unfinished, path)
}

/// Reads the file; returns no ids if there is none.
///
/// # Errors
/// Errors of the operating system, or [`io::ErrorKind::InvalidData`] if the file is malformed.
pub(crate) fn load(address: &HandoverAddress) -> io::Result<Vec<StartedId>> {
    let path = file_path(address);
    match fs::metadata(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(_) => {}
    }
    decode(&fs::read(path)?).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn file_path(address: &HandoverAddress) -> PathBuf {
    let name = format!("cleatpulley-{}-{}.ids", address.name, address.address);
    address.folder.join(name.replace('/', "_"))
}

fn encode(started_ids: &[StartedId]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for started in started_ids {
        bytes.extend_from_slice(&started.id.to_le_bytes());
        bytes.extend_from_slice(&started.expires_at.to_le_bytes());
    }
    bytes
}

fn decode(bytes: &[u8]) -> Option<Vec<StartedId>> {
    let entries = bytes.strip_prefix(MAGIC)?;
    if entries.len() % ENTRY_BYTES != 0 {
        return None;
    }
    entries
        .chunks_exact(ENTRY_BYTES)
        .map(decode_entry)
        .collect()
}

fn decode_entry(entry: &[u8]) -> Option<StartedId> {
    let (id, expires_at) = entry.split_at(NUMBER_BYTES);
    Some(StartedId {
        id: u64::from_le_bytes(id.try_into().ok()?),
        expires_at: u64::from_le_bytes(expires_at.try_into().ok()?),
    })
}

#[cfg(test)]
mod tests;
