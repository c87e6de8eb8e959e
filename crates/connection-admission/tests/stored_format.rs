//! Earned standing keeps its bytes in its store: the book of release 0.2 is read in full, and the same entries are still
//! written the same.
//!
//! `fixtures/standings` is the store of a book.

use cleatpulley_connection_admission::book::{Book, Entry};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

const NOW: u64 = 1_700_000_000_000_000;
const UNTIL: u64 = NOW + 3_600_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The names and bytes of a store's files, its lock left out.
fn files_of(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("the folder is there");
    let names = entries.map(|entry| {
        entry
            .expect("an entry")
            .file_name()
            .into_string()
            .expect("plain text")
    });
    let stored = names.filter(|name| name != "lock");
    stored
        .map(|name| (name.clone(), fs::read(folder.join(&name)).expect("a file")))
        .collect()
}

fn copy_of(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files_of(&fixture(name)) {
        fs::write(copy.path().join(name), bytes).expect("it is written");
    }
    copy
}

fn store(path: &Path) -> Store<OsFolder> {
    let options = Options {
        segment_bytes: 4_096,
        seed: 11,
        ..Options::default()
    };
    Store::open(OsFolder::new(path, true).expect("a folder"), options)
        .expect("it opens")
        .0
}

/// Opens a book; with the store comes what it held, the greatest first.
fn opened(path: &Path) -> (Book<OsFolder>, Vec<Entry>) {
    let options = Options {
        segment_bytes: 4_096,
        seed: 11,
        ..Options::default()
    };
    let mut book = Book::new(100);
    let files = OsFolder::new(path, true).expect("a folder");
    let entries = book
        .open(Store::open(files, options), NOW)
        .expect("it opens");
    (book, entries)
}

fn entry(address: &str, points: f64, at: u64, until: u64) -> Entry {
    Entry {
        address: address.parse().expect("an address"),
        points,
        at,
        until,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        entry("10.0.0.1", 250.5, NOW - 1, UNTIL),
        entry("2001:db8::1", 100.0, NOW - 2, UNTIL + 1),
        entry("192.0.2.7", 0.125, NOW - 3, UNTIL + 2),
    ]
}

fn write_book(path: &Path) {
    let (mut book, none) = opened(path);
    assert!(none.is_empty());
    book.add(vec![
        entry("10.0.0.1", 3.0, 1, UNTIL),
        entry("10.0.0.2", 9.0, 1, NOW - 1),
    ]);
    book.work(1);
    book.add(entries());
    book.close(1);
}

#[test]
fn opens_the_book_of_earned_standing_written_by_release_0_2() {
    let copy = copy_of("standings");
    let (_, found) = opened(copy.path());
    // The time until which an entry is kept is the store's alone.
    let expected: Vec<Entry> = entries()
        .into_iter()
        .map(|entry| Entry { until: 0, ..entry })
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn entries_expire_when_release_0_2_meant_them_to() {
    let copy = copy_of("standings");
    let store = store(copy.path());
    let living = |now| {
        let mut number = 0;
        let count = |_, _: &[u8], _: &[u8]| {
            number += 1;
            true
        };
        store.for_each_by_sequence(now, count).expect("it is read");
        number
    };
    assert_eq!(
        [
            living(0),
            living(NOW),
            living(UNTIL),
            living(UNTIL + 1),
            living(UNTIL + 2)
        ],
        [4, 3, 2, 1, 0]
    );
}

#[test]
fn writes_the_same_files_as_release_0_2() {
    let ours = tempfile::tempdir().expect("a folder");
    write_book(ours.path());
    assert_eq!(files_of(ours.path()), files_of(&fixture("standings")));
}
