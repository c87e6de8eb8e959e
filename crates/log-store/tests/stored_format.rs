//! Compatibility of the stored format: stores that release 0.2 wrote are read completely, and the same operations still
//! write the same files byte for byte.
//!
//! `fixtures/closed` was compacted and closed, with a hint file for each segment; `fixtures/open` is a copy of a store that
//! was still open. The text files of the same names list the live records: key, expiry time and value, keys and values as
//! hex digits. The salts of segments come from the store's random number generator: another generator changes the written
//! files, but not their format.

use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, MaintenanceStatus, Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// The time of all reads, in microseconds.
const NOW: u64 = 2_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The names and bytes of a store's files, except its lock file.
fn read_files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let names = entries.map(|entry| {
        entry
            .expect("the entry is read")
            .file_name()
            .into_string()
            .expect("the name is UTF-8")
    });
    let stored = names.filter(|name| name != "lock");
    stored
        .map(|name| {
            (
                name.clone(),
                fs::read(folder.join(&name)).expect("the file is read"),
            )
        })
        .collect()
}

fn copy_fixture(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("the folder is created");
    for (name, bytes) in read_files(&fixture(name)) {
        fs::write(copy.path().join(name), bytes).expect("the write succeeds");
    }
    copy
}

fn options() -> Options {
    Options {
        segment_bytes: 4_096,
        max_total_bytes: None,
        min_compressed_value_bytes: Some(64),
        seed: 7,
    }
}

fn folder(path: &Path) -> OsFolder {
    OsFolder::new(path, true).expect("the folder is created")
}

fn open_store(path: &Path) -> Store<OsFolder> {
    Store::open(folder(path), options())
        .expect("the store opens")
        .0
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte =
        |position: usize| u8::from_str_radix(&hex[position..position + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// The records of a list that are live at `now`.
fn expected_content(name: &str, now: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let text = fs::read_to_string(fixture(name)).expect("the list is read");
    let mut records = BTreeMap::new();
    for line in text.lines() {
        let fields: Vec<&str> = line.split(' ').collect();
        let [key, expiry, value] = fields[..] else {
            panic!("malformed line {line:?}")
        };
        let expiry: u64 = expiry.parse().expect("the expiry time is a number");
        if expiry == 0 || expiry > now {
            records.insert(decode_hex(key), decode_hex(value));
        }
    }
    records
}

/// The live content of a store, read both by sequence number and by key.
fn content(store: &Store<OsFolder>, now: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let mut records = BTreeMap::new();
    let result = store.for_each_by_sequence(now, |_, key, value| {
        assert!(
            records.insert(key.to_vec(), value.to_vec()).is_none(),
            "key {} occurs twice",
            key.escape_ascii()
        );
        true
    });
    result.expect("the store is read");
    for (key, value) in &records {
        assert_eq!(
            store.get(now, key).expect("the record is read").as_ref(),
            Some(value)
        );
    }
    records
}

fn key(number: u64) -> Vec<u8> {
    format!("key-{number:02}").into_bytes()
}

/// Every third value is compressible text, the others are pseudo-random bytes.
fn value(number: u64, version: u64) -> Vec<u8> {
    if number.is_multiple_of(3) {
        return format!("value {number} of version {version}; ")
            .repeat(5)
            .into_bytes();
    }
    let mut state = number * 1_000 + version + 1;
    let next_byte = |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    };
    (0..30 + number).map(next_byte).collect()
}

fn maintain_until_idle(store: &mut Store<OsFolder>) {
    while store
        .run_maintenance_step(0, 4_096)
        .expect("maintenance succeeds")
        == MaintenanceStatus::MoreToDo
    {}
}

/// Writes overwrites, deletes and batches over several segments with compaction in between, closes the store, opens it again
/// for further writes and closes it.
fn write_closed(path: &Path) {
    let mut store = open_store(path);
    for number in 0..60 {
        store
            .write(Batch::default().put(&key(number), &value(number, 0), None))
            .expect("the write succeeds");
    }
    for first in (0..30).step_by(5) {
        let puts = (first..first + 5).fold(Batch::default(), |batch, number| {
            batch.put(&key(number), &value(number, 1), None)
        });
        store.write(puts).expect("the write succeeds");
    }
    let deletes = (10..15).fold(Batch::default(), |batch, number| batch.delete(&key(number)));
    store.write(deletes).expect("the write succeeds");
    store.sync().expect("the sync succeeds");
    maintain_until_idle(&mut store);
    assert!(
        store.stats().compacted_segments > 0,
        "segments are compacted"
    );
    let expiring = Batch::default()
        .put(b"expires-early", b"gone", Some(NOW / 2))
        .put(b"expires-late", b"there", Some(NOW * 2))
        .put(b"empty", b"", None)
        .put(b"", b"the empty key", None);
    store.write(expiring).expect("the write succeeds");
    store.close().expect("the store closes");
    let mut store = open_store(path);
    for number in 50..60 {
        store
            .write(Batch::default().put(&key(number), &value(number, 2), None))
            .expect("the write succeeds");
    }
    store
        .write(
            Batch::default()
                .delete(&key(55))
                .put(&key(10), b"once more", None),
        )
        .expect("the write succeeds");
    store.close().expect("the store closes");
}

/// Writes to a store that stays open.
fn write_open(path: &Path) -> Store<OsFolder> {
    let mut store = open_store(path);
    for number in 0..20 {
        store
            .write(Batch::default().put(&key(number), &value(number, 0), None))
            .expect("the write succeeds");
    }
    store
        .write(Batch::default().delete(&key(3)).delete(&key(4)))
        .expect("the write succeeds");
    store.sync().expect("the sync succeeds");
    store
        .write(Batch::default().put(&key(5), &value(5, 1), None))
        .expect("the write succeeds");
    store
}

#[test]
fn opens_a_compacted_store_written_by_release_0_2() {
    let copy = copy_fixture("closed");
    let (store, report) = Store::open(folder(copy.path()), options()).expect("the store opens");
    // The newest segment is read without its hint file.
    assert!(
        report.segments >= 3 && report.segments_with_hint + 1 == report.segments,
        "{report}"
    );
    assert!(
        report.torn_tail_bytes == 0 && report.removed_leftovers == 0,
        "{report}"
    );
    assert!(
        report.damaged_ranges.is_empty() && report.quarantined.is_empty(),
        "{report}"
    );
    assert_eq!(content(&store, NOW), expected_content("closed.txt", NOW));
    assert!(store
        .verify(|_, _| {})
        .expect("the record is read")
        .damaged_ranges
        .is_empty());
    for absent_key in [key(11), key(14), key(55), b"expires-early".to_vec()] {
        assert_eq!(
            store.get(NOW, &absent_key).expect("the record is read"),
            None,
            "{}",
            absent_key.escape_ascii()
        );
    }
    assert_eq!(
        store
            .get(NOW, &key(10))
            .expect("the record is read")
            .as_deref(),
        Some(&b"once more"[..])
    );
    assert_eq!(
        store.get(NOW, &key(20)).expect("the record is read"),
        Some(value(20, 1)),
        "the newer value is returned"
    );
    assert_eq!(
        store
            .get(NOW * 2, b"expires-late")
            .expect("the record is read"),
        None
    );
}

#[test]
fn content_is_the_same_without_the_hint_files_of_release_0_2() {
    let copy = copy_fixture("closed");
    let hints: Vec<String> = read_files(copy.path())
        .into_keys()
        .filter(|name| name.ends_with(".hint"))
        .collect();
    assert!(hints.len() >= 3, "{hints:?}");
    hints
        .iter()
        .for_each(|name| fs::remove_file(copy.path().join(name)).expect("removed"));
    let (store, report) = Store::open(folder(copy.path()), options()).expect("the store opens");
    assert_eq!(
        (report.segments_with_hint, report.damaged_ranges.len()),
        (0, 0),
        "{report}"
    );
    assert_eq!(content(&store, NOW), expected_content("closed.txt", NOW));
}

#[test]
fn opens_a_store_that_release_0_2_did_not_close() {
    let copy = copy_fixture("open");
    let (store, report) = Store::open(folder(copy.path()), options()).expect("the store opens");
    assert!(
        report.damaged_ranges.is_empty() && report.quarantined.is_empty(),
        "{report}"
    );
    assert_eq!(content(&store, NOW), expected_content("open.txt", NOW));
    assert_eq!(store.get(NOW, &key(4)).expect("the record is read"), None);
    assert_eq!(
        store.get(NOW, &key(5)).expect("the record is read"),
        Some(value(5, 1))
    );
}

#[test]
fn writes_to_a_store_of_release_0_2() {
    let copy = copy_fixture("closed");
    let mut store = open_store(copy.path());
    store
        .write(Batch::default().put(b"new", b"value", None).delete(&key(1)))
        .expect("the write succeeds");
    store.sync().expect("the sync succeeds");
    maintain_until_idle(&mut store);
    store.close().expect("the store closes");
    let mut expected = expected_content("closed.txt", NOW);
    expected.insert(b"new".to_vec(), b"value".to_vec());
    expected.remove(&key(1));
    assert_eq!(content(&open_store(copy.path()), NOW), expected);
}

#[test]
fn writes_the_same_files_as_release_0_2() {
    let closed = tempfile::tempdir().expect("the folder is created");
    write_closed(closed.path());
    let open = tempfile::tempdir().expect("the folder is created");
    let store = write_open(open.path());
    for (path, name) in [(closed.path(), "closed"), (open.path(), "open")] {
        let (written, recorded) = (read_files(path), read_files(&fixture(name)));
        assert!(
            written.keys().eq(recorded.keys()),
            "{name}: {:?} and {:?}",
            written.keys(),
            recorded.keys()
        );
        for (file, bytes) in written {
            assert_eq!(
                encode_hex(&bytes),
                encode_hex(&recorded[&file]),
                "{name}: {file}"
            );
        }
    }
    drop(store);
}
