//! The files of the embedded store keep their bytes: stores that release 0.2 wrote are read in full, and the same
//! operations still write the same files.
//!
//! `fixtures/closed` was compacted and closed, with a hint for each segment; `fixtures/open` is a copy of a store that was
//! still in use. The text files of the same names list what lives: key, expiry and value, as hex digits. The salts of segments
//! come from the store's random numbers: another generator of those changes the files that are written, though not their
//! format.

use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, MaintenanceStatus, Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Values with an expiry before it have expired, those after it live.
const NOW: u64 = 2_000_000;

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

fn options() -> Options {
    Options {
        segment_bytes: 4_096,
        max_total_bytes: None,
        min_compressed_value_bytes: Some(64),
        seed: 7,
    }
}

fn folder(path: &Path) -> OsFolder {
    OsFolder::new(path, true).expect("a folder")
}

fn opened(path: &Path) -> Store<OsFolder> {
    Store::open(folder(path), options()).expect("it opens").0
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(pair).collect()
}

/// What a list says that lives at this time.
fn listed(name: &str, now: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let text = fs::read_to_string(fixture(name)).expect("a list");
    let mut all = BTreeMap::new();
    for line in text.lines() {
        let parts: Vec<&str> = line.split(' ').collect();
        let [key, expiry, value] = parts[..] else {
            panic!("{line:?} is no line of the list")
        };
        let expiry: u64 = expiry.parse().expect("a number");
        if expiry == 0 || expiry > now {
            all.insert(bytes(key), bytes(value));
        }
    }
    all
}

/// All that a store holds, read both by age and by key.
fn content(store: &Store<OsFolder>, now: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let mut all = BTreeMap::new();
    let read = store.for_each_by_sequence(now, |_, key, value| {
        assert!(
            all.insert(key.to_vec(), value.to_vec()).is_none(),
            "{} is there twice",
            key.escape_ascii()
        );
        true
    });
    read.expect("it is read");
    for (key, value) in &all {
        assert_eq!(
            store.get(now, key).expect("it is read").as_ref(),
            Some(value)
        );
    }
    all
}

fn key(number: u64) -> Vec<u8> {
    format!("key-{number:02}").into_bytes()
}

/// Every third value is text that can be compressed, the others are noise.
fn value(number: u64, version: u64) -> Vec<u8> {
    if number.is_multiple_of(3) {
        return format!("value {number} of version {version}; ")
            .repeat(5)
            .into_bytes();
    }
    let mut state = number * 1_000 + version + 1;
    let noise = |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    };
    (0..30 + number).map(noise).collect()
}

fn maintained(store: &mut Store<OsFolder>) {
    while store
        .run_maintenance_step(0, 4_096)
        .expect("it is maintained")
        == MaintenanceStatus::MoreToDo
    {}
}

/// Overwrites, deletes and batches over several segments, compacted in between; then opened once more and closed.
fn write_closed(path: &Path) {
    let mut store = opened(path);
    for number in 0..60 {
        store
            .write(Batch::default().put(&key(number), &value(number, 0), None))
            .expect("it is written");
    }
    for first in (0..30).step_by(5) {
        let puts = (first..first + 5).fold(Batch::default(), |batch, number| {
            batch.put(&key(number), &value(number, 1), None)
        });
        store.write(puts).expect("it is written");
    }
    let deletes = (10..15).fold(Batch::default(), |batch, number| batch.delete(&key(number)));
    store.write(deletes).expect("it is written");
    store.sync().expect("it is durable");
    maintained(&mut store);
    assert!(
        store.stats().compacted_segments > 0,
        "something was compacted"
    );
    let expiring = Batch::default()
        .put(b"expires-early", b"gone", Some(NOW / 2))
        .put(b"expires-late", b"there", Some(NOW * 2))
        .put(b"empty", b"", None)
        .put(b"", b"the empty key", None);
    store.write(expiring).expect("it is written");
    store.close().expect("it closes");
    let mut store = opened(path);
    for number in 50..60 {
        store
            .write(Batch::default().put(&key(number), &value(number, 2), None))
            .expect("it is written");
    }
    store
        .write(
            Batch::default()
                .delete(&key(55))
                .put(&key(10), b"once more", None),
        )
        .expect("it is written");
    store.close().expect("it closes");
}

/// Some writes of a store that stays open.
fn write_open(path: &Path) -> Store<OsFolder> {
    let mut store = opened(path);
    for number in 0..20 {
        store
            .write(Batch::default().put(&key(number), &value(number, 0), None))
            .expect("it is written");
    }
    store
        .write(Batch::default().delete(&key(3)).delete(&key(4)))
        .expect("it is written");
    store.sync().expect("it is durable");
    store
        .write(Batch::default().put(&key(5), &value(5, 1), None))
        .expect("it is written");
    store
}

#[test]
fn opens_a_compacted_store_written_by_release_0_2() {
    let copy = copy_of("closed");
    let (store, found) = Store::open(folder(copy.path()), options()).expect("it opens");
    // The newest segment is always read itself.
    assert!(
        found.segments >= 3 && found.segments_with_hint + 1 == found.segments,
        "{found}"
    );
    assert!(
        found.torn_tail_bytes == 0 && found.removed_leftovers == 0,
        "{found}"
    );
    assert!(
        found.damaged_ranges.is_empty() && found.quarantined.is_empty(),
        "{found}"
    );
    assert_eq!(content(&store, NOW), listed("closed.txt", NOW));
    assert!(store
        .verify(|_, _| {})
        .expect("it is read")
        .damaged_ranges
        .is_empty());
    for gone in [key(11), key(14), key(55), b"expires-early".to_vec()] {
        assert_eq!(
            store.get(NOW, &gone).expect("it is read"),
            None,
            "{}",
            gone.escape_ascii()
        );
    }
    assert_eq!(
        store.get(NOW, &key(10)).expect("it is read").as_deref(),
        Some(&b"once more"[..])
    );
    assert_eq!(
        store.get(NOW, &key(20)).expect("it is read"),
        Some(value(20, 1)),
        "the overwritten one is gone"
    );
    assert_eq!(
        store.get(NOW * 2, b"expires-late").expect("it is read"),
        None
    );
}

#[test]
fn hints_of_release_0_2_say_the_same_as_its_segments() {
    let copy = copy_of("closed");
    let hints: Vec<String> = files_of(copy.path())
        .into_keys()
        .filter(|name| name.ends_with(".hint"))
        .collect();
    assert!(hints.len() >= 3, "{hints:?}");
    hints
        .iter()
        .for_each(|name| fs::remove_file(copy.path().join(name)).expect("it was there"));
    let (store, found) = Store::open(folder(copy.path()), options()).expect("it opens");
    assert_eq!(
        (found.segments_with_hint, found.damaged_ranges.len()),
        (0, 0),
        "{found}"
    );
    assert_eq!(content(&store, NOW), listed("closed.txt", NOW));
}

#[test]
fn opens_a_store_that_release_0_2_did_not_close() {
    let copy = copy_of("open");
    let (store, found) = Store::open(folder(copy.path()), options()).expect("it opens");
    assert!(
        found.damaged_ranges.is_empty() && found.quarantined.is_empty(),
        "{found}"
    );
    assert_eq!(content(&store, NOW), listed("open.txt", NOW));
    assert_eq!(store.get(NOW, &key(4)).expect("it is read"), None);
    assert_eq!(
        store.get(NOW, &key(5)).expect("it is read"),
        Some(value(5, 1))
    );
}

#[test]
fn goes_on_writing_to_a_store_of_release_0_2() {
    let copy = copy_of("closed");
    let mut store = opened(copy.path());
    store
        .write(Batch::default().put(b"new", b"value", None).delete(&key(1)))
        .expect("it is written");
    store.sync().expect("it is durable");
    maintained(&mut store);
    store.close().expect("it closes");
    let mut expected = listed("closed.txt", NOW);
    expected.insert(b"new".to_vec(), b"value".to_vec());
    expected.remove(&key(1));
    assert_eq!(content(&opened(copy.path()), NOW), expected);
}

#[test]
fn writes_the_same_files_as_release_0_2() {
    let closed = tempfile::tempdir().expect("a folder");
    write_closed(closed.path());
    let open = tempfile::tempdir().expect("a folder");
    let store = write_open(open.path());
    for (path, name) in [(closed.path(), "closed"), (open.path(), "open")] {
        let (ours, theirs) = (files_of(path), files_of(&fixture(name)));
        assert!(
            ours.keys().eq(theirs.keys()),
            "{name}: {:?} and {:?}",
            ours.keys(),
            theirs.keys()
        );
        for (file, bytes) in ours {
            assert_eq!(hex(&bytes), hex(&theirs[&file]), "{name}: {file}");
        }
    }
    drop(store);
}
