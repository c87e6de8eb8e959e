//! Compatibility of the stored format: a store and an export of release 0.2 are read completely, and the same operations
//! still write the same bytes.
//!
//! `fixtures/store` is a store with records and fences, `fixtures/entries.txt` lists the key and value of each of its
//! entries as hexadecimal digits, and `fixtures/export.jsonl` is the export of all its keys.

use cleatpulley_idempotency::fence::{Fence, KeyRange};
use cleatpulley_idempotency::hex::{from_hex, to_hex};
use cleatpulley_idempotency::journal::{for_each_record, Journal, OpenedJournal};
use cleatpulley_idempotency::key_table::KeyCommand;
use cleatpulley_idempotency::record::{request_digest, KeyOutcome, KeyRecord, ScopedKey};
use cleatpulley_idempotency::transfer::{export, export_unfenced, import};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// The current time in all tests, in microseconds.
const NOW: u64 = 1_700_000_000_000_000;
/// Expiry time of the first record.
const EXPIRY: u64 = NOW + 600_000_000;
/// The epoch of the export.
const EPOCH: u64 = 9;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Returns the names and bytes of a store's files, except for its lock.
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

fn copy_of_store() -> TempDir {
    let copy = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files_of(&fixture("store")) {
        fs::write(copy.path().join(name), bytes).expect("it is written");
    }
    copy
}

fn options() -> Options {
    Options {
        segment_bytes: 4_096,
        min_compressed_value_bytes: Some(64),
        seed: 5,
        ..Options::default()
    }
}

fn folder(path: &Path) -> OsFolder {
    OsFolder::new(path, true).expect("a folder")
}

fn journal(path: &Path) -> Journal<OsFolder> {
    Journal::open(folder(path), options(), NOW)
        .expect("it opens")
        .journal
}

fn served(body: &[u8], result: &[u8]) -> KeyRecord {
    KeyRecord::Completed {
        digest: request_digest(3, body),
        outcome: KeyOutcome::Served(result.to_vec()),
    }
}

/// Returns the keys that have not expired, each with its record and expiry time.
fn records() -> Vec<(ScopedKey, KeyRecord, u64)> {
    vec![
        (
            ScopedKey::new(1, 3, b"seat-1"),
            served(b"body 1", b"{\"seat\":1}"),
            EXPIRY,
        ),
        (
            ScopedKey::new(1, 3, b"seat-2"),
            served(b"body 2", &b"a long result ".repeat(20)),
            EXPIRY + 1,
        ),
        (
            ScopedKey::new(2, 3, b"seat-1"),
            KeyRecord::Intent {
                digest: request_digest(3, b"body 3"),
            },
            EXPIRY + 2,
        ),
        (
            ScopedKey::new(2, 4, b"\x00\xff"),
            KeyRecord::Completed {
                digest: request_digest(4, b"body 4"),
                outcome: KeyOutcome::Failed,
            },
            EXPIRY + 3,
        ),
        (
            ScopedKey::new(u64::MAX, 0, b""),
            served(b"", b""),
            EXPIRY + 4,
        ),
    ]
}

/// Returns the fences, in the order in which they are set.
fn fences() -> Vec<Fence> {
    vec![
        Fence {
            range: KeyRange::of_owner(7),
            epoch: 2,
            is_owned: true,
        },
        Fence {
            range: KeyRange {
                start: vec![0x80],
                end: vec![0x90, 0x01],
            },
            epoch: 3,
            is_owned: false,
        },
        Fence {
            range: KeyRange::of_owner(u64::MAX),
            epoch: 4,
            is_owned: true,
        },
    ]
}

fn write_store(path: &Path) {
    let mut journal = journal(path);
    let erased = ScopedKey::new(3, 3, b"never-ran");
    let expired = ScopedKey::new(3, 3, b"expired");
    let first = ScopedKey::new(1, 3, b"seat-1");
    let intent = KeyRecord::Intent {
        digest: request_digest(3, b"body 1"),
    };
    let mut written = vec![
        (first, intent.clone(), EXPIRY),
        (erased.clone(), intent.clone(), EXPIRY),
    ];
    written.push((expired, intent, NOW - 1));
    written.extend(records());
    for (sequence, (key, record, expiry)) in written.into_iter().enumerate() {
        let sequence = sequence as u64 + 1;
        journal
            .write(&KeyCommand::Write {
                sequence,
                key,
                record,
                expires_at: expiry,
            })
            .expect("it is written");
    }
    journal
        .write(&KeyCommand::Erase { key: erased })
        .expect("it is written");
    journal.sync().expect("it is durable");
    journal
        .set_fence(Fence {
            range: KeyRange::of_owner(7),
            epoch: 1,
            is_owned: false,
        })
        .expect("it is set");
    for fence in fences() {
        journal.set_fence(fence).expect("it is set");
    }
    journal.close().expect("it closes");
}

fn exported(journal: &mut Journal<OsFolder>) -> String {
    let mut out = Vec::new();
    export_unfenced(journal, NOW, &KeyRange::all(), EPOCH, &mut out).expect("it is written");
    String::from_utf8(out).expect("text")
}

/// Returns the entries of a store, one line each.
fn entries(store: &Store<OsFolder>) -> String {
    let mut lines = String::new();
    let read = store.for_each_by_sequence(NOW, |_, key, value| {
        lines += &format!("{} {}\n", to_hex(key), to_hex(value));
        true
    });
    read.expect("it is read");
    lines
}

#[test]
fn opens_the_store_written_by_release_0_2_with_all_records_and_fences() {
    let copy = copy_of_store();
    let OpenedJournal {
        mut journal,
        recovered,
        recovery_report,
    } = Journal::open(folder(copy.path()), options(), NOW).expect("it opens");
    assert!(
        recovery_report.damaged_ranges.is_empty()
            && recovery_report.quarantined.is_empty()
            && recovery_report.torn_tail_bytes == 0,
        "{recovery_report}"
    );
    assert_eq!(
        (recovered.len(), recovered.completed, recovered.unknown),
        (5, 4, 1)
    );
    assert_eq!(recovered.fences.as_slice(), fences());
    assert_eq!(journal.fences().as_slice(), fences());
    let mut read = Vec::new();
    for_each_record(journal.store_mut(), NOW, |key, record, expiry| {
        read.push((key, record, expiry));
    })
    .expect("it is read");
    assert_eq!(read, records());
    for (key, record, _) in records() {
        let outcome = match record {
            KeyRecord::Completed { outcome, .. } => Some(outcome),
            KeyRecord::Intent { .. } => None,
        };
        assert_eq!(
            journal.load_outcome(NOW, &key).expect("it is read"),
            outcome,
            "{key:?}"
        );
    }
    assert_eq!(
        journal
            .load_outcome(NOW, &ScopedKey::new(3, 3, b"never-ran"))
            .expect("it is read"),
        None
    );
}

#[test]
fn keys_and_values_in_the_store_have_the_bytes_of_release_0_2() {
    let expected = fs::read_to_string(fixture("entries.txt")).expect("a list");
    let copy = copy_of_store();
    assert_eq!(entries(journal(copy.path()).store_mut()), expected);
    let directory = tempfile::tempdir().expect("a folder");
    write_store(directory.path());
    assert_eq!(entries(journal(directory.path()).store_mut()), expected);
    for (key, record, expiry) in records() {
        let line = format!(
            "{} {:016x}{}\n",
            to_hex(key.as_bytes()),
            expiry,
            to_hex(&record.encode())
        );
        assert!(expected.contains(&line), "{line}");
        let value = line
            .trim()
            .split(' ')
            .nth(1)
            .and_then(from_hex)
            .expect("hex digits");
        assert_eq!(KeyRecord::decode(&value[8..]), Some(record));
    }
}

#[test]
fn writes_the_same_files_as_release_0_2() {
    let directory = tempfile::tempdir().expect("a folder");
    write_store(directory.path());
    let (written, recorded) = (files_of(directory.path()), files_of(&fixture("store")));
    assert!(
        written.keys().eq(recorded.keys()),
        "{:?} and {:?}",
        written.keys(),
        recorded.keys()
    );
    for (name, bytes) in written {
        assert_eq!(to_hex(&bytes), to_hex(&recorded[&name]), "{name}");
    }
}

#[test]
fn exports_the_same_text_as_release_0_2() {
    let expected = fs::read_to_string(fixture("export.jsonl")).expect("an export");
    let copy = copy_of_store();
    let mut journal = journal(copy.path());
    assert_eq!(exported(&mut journal), expected);
    let mut out = Vec::new();
    let number =
        export(&mut journal, NOW, &KeyRange::all(), EPOCH, &mut out).expect("it is written");
    assert_eq!(
        (number, String::from_utf8(out).expect("text")),
        (5, expected)
    );
}

#[test]
fn imports_the_export_of_release_0_2() {
    let expected = fs::read_to_string(fixture("export.jsonl")).expect("an export");
    let directory = tempfile::tempdir().expect("a folder");
    let mut journal = journal(directory.path());
    assert_eq!(
        import(&mut journal, NOW, &mut expected.as_bytes()).expect("a complete export"),
        5
    );
    assert_eq!(
        journal.fences().as_slice(),
        [Fence {
            range: KeyRange::all(),
            epoch: EPOCH,
            is_owned: true
        }]
    );
    let mut read = Vec::new();
    for_each_record(journal.store_mut(), NOW, |key, record, expiry| {
        read.push((key, record, expiry));
    })
    .expect("it is read");
    assert_eq!(read, records());
    assert_eq!(exported(&mut journal), expected);
}
