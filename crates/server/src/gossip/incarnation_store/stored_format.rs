//! The mark of used incarnations keeps its key and encoding: a process continues after the mark
//! that release 0.2 wrote.
//!
//! `tests/fixtures/incarnation` is the store of a process after its second start.

use super::{open_store, reserve_incarnations, write_mark, MARK_KEY};
use cleatpulley_membership::incarnation::{IncarnationMark, INCARNATION_BLOCK_SIZE};
use std::fs;
use std::path::Path;
use tempfile::TempDir;

fn copy_fixture(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("folder is usable");
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    for entry in fs::read_dir(fixture).expect("fixture exists") {
        let entry = entry.expect("folder entry is readable");
        fs::copy(entry.path(), copy.path().join(entry.file_name())).expect("file is copied");
    }
    copy
}

fn read_stored_mark(folder: &Path) -> Option<Vec<u8>> {
    open_store(folder)
        .expect("store opens")
        .get(0, b"incarnation")
        .expect("mark is readable")
}

#[test]
fn continues_after_the_mark_written_by_release_0_2() {
    let copy = copy_fixture("incarnation");
    assert_eq!(MARK_KEY, b"incarnation");
    assert_eq!(
        read_stored_mark(copy.path()),
        Some(vec![0, 0, 2, 0, 0, 0, 0, 0])
    );
    assert_eq!(
        reserve_incarnations(copy.path())
            .expect("folder is usable")
            .current(),
        2 * 65_536 + 1
    );
    assert_eq!(
        read_stored_mark(copy.path()),
        Some(vec![0, 0, 3, 0, 0, 0, 0, 0])
    );
}

#[test]
fn writes_the_mark_as_release_0_2_does() {
    let folder = tempfile::tempdir().expect("folder is usable");
    write_mark(folder.path(), IncarnationMark(0x0102_0304_0506_0708)).expect("folder is usable");
    assert_eq!(
        read_stored_mark(folder.path()),
        Some(vec![8, 7, 6, 5, 4, 3, 2, 1])
    );
    assert_eq!(INCARNATION_BLOCK_SIZE, 65_536);
}
