//! Compatibility of the stored format of reputation: a store written by release 0.2 is read in
//! full, and the same entries are written as the same bytes.
//!
//! `fixtures/standings` is a store written by release 0.2.

use cleatpulley_connection_admission::reputation_database::{ReputationDatabase, StoredReputation};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

const NOW: u64 = 1_700_000_000_000_000;
const EXPIRES_AT: u64 = NOW + 3_600_000_000;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Returns the names and bytes of a store's files, except its lock.
fn read_files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let names = entries.map(|entry| {
        entry
            .expect("a readable folder entry")
            .file_name()
            .into_string()
            .expect("a UTF-8 name")
    });
    let stored = names.filter(|name| name != "lock");
    stored
        .map(|name| {
            (
                name.clone(),
                fs::read(folder.join(&name)).expect("a readable file"),
            )
        })
        .collect()
}

fn copy_fixture(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("a temporary folder");
    for (name, bytes) in read_files(&fixture_path(name)) {
        fs::write(copy.path().join(name), bytes).expect("the file is written");
    }
    copy
}

fn options() -> Options {
    Options {
        segment_bytes: 4_096,
        seed: 11,
        ..Options::default()
    }
}

fn open_store(path: &Path) -> Store<OsFolder> {
    Store::open(
        OsFolder::new(path, true).expect("the folder opens"),
        options(),
    )
    .expect("the store opens")
    .0
}

/// Opens a database and returns it with its loaded entries.
fn open_database(path: &Path) -> (ReputationDatabase<OsFolder>, Vec<StoredReputation>) {
    let mut database = ReputationDatabase::new(100);
    let folder = OsFolder::new(path, true).expect("the folder opens");
    let entries = database
        .open(Store::open(folder, options()), NOW)
        .expect("the store opens");
    (database, entries)
}

fn entry(address: &str, points: f64, updated_at: u64, expires_at: u64) -> StoredReputation {
    StoredReputation {
        address: address.parse().expect("a valid address"),
        points,
        updated_at,
        expires_at,
    }
}

fn entries() -> Vec<StoredReputation> {
    vec![
        entry("10.0.0.1", 250.5, NOW - 1, EXPIRES_AT),
        entry("2001:db8::1", 100.0, NOW - 2, EXPIRES_AT + 1),
        entry("192.0.2.7", 0.125, NOW - 3, EXPIRES_AT + 2),
    ]
}

fn write_database(path: &Path) {
    let (mut database, no_entries) = open_database(path);
    assert!(no_entries.is_empty());
    database.enqueue(vec![
        entry("10.0.0.1", 3.0, 1, EXPIRES_AT),
        entry("10.0.0.2", 9.0, 1, NOW - 1),
    ]);
    database.flush(1);
    database.enqueue(entries());
    database.close(1);
}

#[test]
fn opens_the_reputation_written_by_release_0_2() {
    let copy = copy_fixture("standings");
    let (_, loaded) = open_database(copy.path());
    // The expiry of an entry is not loaded.
    let expected: Vec<StoredReputation> = entries()
        .into_iter()
        .map(|entry| StoredReputation {
            expires_at: 0,
            ..entry
        })
        .collect();
    assert_eq!(loaded, expected);
}

#[test]
fn entries_expire_at_the_time_written_by_release_0_2() {
    let copy = copy_fixture("standings");
    let store = open_store(copy.path());
    let unexpired = |now| {
        let mut count = 0;
        let visit = |_, _: &[u8], _: &[u8]| {
            count += 1;
            true
        };
        store
            .for_each_by_sequence(now, visit)
            .expect("the store is read");
        count
    };
    assert_eq!(
        [
            unexpired(0),
            unexpired(NOW),
            unexpired(EXPIRES_AT),
            unexpired(EXPIRES_AT + 1),
            unexpired(EXPIRES_AT + 2)
        ],
        [4, 3, 2, 1, 0]
    );
}

#[test]
fn writes_the_same_files_as_release_0_2() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_database(folder.path());
    assert_eq!(
        read_files(folder.path()),
        read_files(&fixture_path("standings"))
    );
}
