//! The persisted mark of used incarnations, in an embedded store that is open only while it is read
//! or written.

#[cfg(test)]
mod stored_format;

use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, Options, Store};
use cleatpulley_membership::incarnation::{IncarnationMark, Incarnations};
use std::io;
use std::path::{Path, PathBuf};

/// Key of the mark in the store.
const MARK_KEY: &[u8] = b"incarnation";

/// The value in the store is not a mark.
#[derive(Debug, thiserror::Error)]
#[error("{}: the incarnation mark has {length} bytes instead of 8", folder.display())]
struct MalformedMark {
    folder: PathBuf,
    length: usize,
}

/// Reserves the incarnations of a starting process. Their mark is durable on return.
pub(super) fn reserve_incarnations(folder: &Path) -> io::Result<Incarnations> {
    let mut store = open_store(folder)?;
    let mark = read_mark(&store, folder)?;
    let (incarnations, mark) = Incarnations::start_after(mark).map_err(io::Error::other)?;
    write_mark_synced(&mut store, mark)?;
    Ok(incarnations)
}

/// Writes a mark durably.
pub(super) fn write_mark(folder: &Path, mark: IncarnationMark) -> io::Result<()> {
    write_mark_synced(&mut open_store(folder)?, mark)
}

fn open_store(folder: &Path) -> io::Result<Store<OsFolder>> {
    let (store, report) =
        Store::open(OsFolder::new(folder, true)?, Options::default()).map_err(io::Error::other)?;
    tracing::debug!(folder = %folder.display(), %report, "cluster: opened the incarnation store");
    Ok(store)
}

/// Returns the mark, or 0 if there is none yet.
fn read_mark(store: &Store<OsFolder>, folder: &Path) -> io::Result<u64> {
    let Some(bytes) = store.get(0, MARK_KEY).map_err(io::Error::other)? else {
        return Ok(0);
    };
    let bytes = <[u8; 8]>::try_from(bytes).map_err(|bytes| {
        io::Error::other(MalformedMark {
            folder: folder.to_owned(),
            length: bytes.len(),
        })
    })?;
    Ok(u64::from_le_bytes(bytes))
}

fn write_mark_synced(store: &mut Store<OsFolder>, mark: IncarnationMark) -> io::Result<()> {
    store
        .write(Batch::default().put(MARK_KEY, &mark.0.to_le_bytes(), None))
        .map_err(io::Error::other)?;
    store.sync().map_err(io::Error::other)
}

#[cfg(test)]
mod tests;
