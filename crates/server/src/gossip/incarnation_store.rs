//! The mark of used incarnations on the disk, in an embedded store that is open for that moment only.

#[cfg(test)]
mod stored_format;

use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, Options, Store};
use cleatpulley_membership::incarnation::{Incarnations, Mark};
use std::io;
use std::path::Path;

const KEY: &[u8] = b"incarnation";

/// The numbers of a new life; its mark is durable once this returns.
pub(super) fn begin(folder: &Path) -> io::Result<Incarnations> {
    let mut store = open(folder)?;
    let mark = store.get(0, KEY).map_err(io::Error::other)?;
    let mark = match mark.map(<[u8; 8]>::try_from) {
        Some(Ok(bytes)) => u64::from_le_bytes(bytes),
        Some(Err(bytes)) => {
            let what = format!(
                "{}: the mark has {} bytes, and no number of 8",
                folder.display(),
                bytes.len()
            );
            return Err(io::Error::other(what));
        }
        None => 0,
    };
    let (incarnations, mark) = Incarnations::begin(mark).map_err(io::Error::other)?;
    put(&mut store, mark)?;
    Ok(incarnations)
}

/// Makes a mark durable.
pub(super) fn write(folder: &Path, mark: Mark) -> io::Result<()> {
    put(&mut open(folder)?, mark)
}

fn open(folder: &Path) -> io::Result<Store<OsFolder>> {
    let (store, found) =
        Store::open(OsFolder::new(folder, true)?, Options::default()).map_err(io::Error::other)?;
    tracing::debug!("cluster: {}: {found}", folder.display());
    Ok(store)
}

fn put(store: &mut Store<OsFolder>, mark: Mark) -> io::Result<()> {
    store
        .write(Batch::default().put(KEY, &mark.0.to_le_bytes(), None))
        .map_err(io::Error::other)?;
    store.sync().map_err(io::Error::other)
}

#[cfg(test)]
mod tests {
    use super::*;
    use cleatpulley_membership::incarnation::BLOCK;

    #[test]
    fn each_start_has_numbers_of_its_own() {
        let folder = std::env::temp_dir().join(format!("cleatpulley-marks-{}", std::process::id()));
        let first = begin(&folder).expect("a folder");
        let second = begin(&folder).expect("a folder");
        assert_eq!((first.current(), second.current()), (1, BLOCK + 1));
        write(&folder, Mark(9 * BLOCK)).expect("a folder");
        assert_eq!(begin(&folder).expect("a folder").current(), 9 * BLOCK + 1);
        std::fs::remove_dir_all(&folder).expect("it was there");
    }
}
