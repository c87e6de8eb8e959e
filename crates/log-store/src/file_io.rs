//! Reading byte ranges of files, with errors that name the file.

use crate::error::Error;
use crate::files::{FileHandle, FileSystem};

/// Bytes that are read at once where a file is read sequentially.
pub(crate) const READ_WINDOW_BYTES: usize = 262_144;

/// Reads `length` bytes at `offset`; fewer if the file ends before. `name` is the file's name, for
/// errors.
///
/// # Errors
/// If the file system fails to read.
pub(crate) fn read_range<F: FileSystem>(
    files: &F,
    file: FileHandle,
    name: &str,
    offset: u64,
    length: usize,
) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![0; length];
    let read = files
        .read_at(file, offset, &mut bytes)
        .map_err(Error::io(name, "read"))?;
    bytes.truncate(read);
    Ok(bytes)
}

/// Whether the bytes from `start` to `end` are all zero, which means that they were reserved and
/// never written.
///
/// # Errors
/// If the file system fails to read.
pub(crate) fn is_range_zero<F: FileSystem>(
    files: &F,
    file: FileHandle,
    name: &str,
    range: std::ops::Range<u64>,
) -> Result<bool, Error> {
    let mut offset = range.start;
    while offset < range.end {
        let length = READ_WINDOW_BYTES.min((range.end - offset) as usize);
        let bytes = read_range(files, file, name, offset, length)?;
        if bytes.is_empty() {
            return Ok(true);
        }
        if bytes.iter().any(|byte| *byte != 0) {
            return Ok(false);
        }
        offset += bytes.len() as u64;
    }
    Ok(true)
}
