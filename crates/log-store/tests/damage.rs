//! Damage at every byte of every file of a store: the file truncated there, and separately a bit
//! flipped there.

mod common;

use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::format::{
    decode_segment_header, DecodedSegmentHeader, FileKind, RecordKind, RECORD_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
};
use cleatpulley_log_store::scan::{scan_record, ScanResult};
use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Batch, Error, Options, Store};
use common::maintenance::maintain_until_idle;
use common::model::Content;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn options() -> Options {
    Options {
        segment_bytes: 4_096,
        min_compressed_value_bytes: Some(100),
        ..Options::default()
    }
}

/// A store that was closed, and what it holds.
struct BuiltStore {
    disk: SimulatedFolder,
    content: Content,
}

/// Builds a store with sealed segments, some with hint files, a compacted one, batches and deletes.
fn build_store() -> BuiltStore {
    let disk = SimulatedFolder::default();
    let (mut store, _) = Store::open(disk.clone(), options()).expect("it opens");
    let mut random = SmallRng::seed_from_u64(11);
    let mut content = BTreeMap::new();
    for n in 0..150_u32 {
        let mut batch = Batch::default();
        for _ in 0..[1, 1, 3][n as usize % 3] {
            let key = format!("key{:02}", random.random_range(0..40)).into_bytes();
            if random.random_range(0..6) == 0 {
                batch.add_delete(&key);
                content.remove(&key);
            } else {
                let mut value = vec![n as u8; random.random_range(0..60)];
                random.fill(&mut value[..]);
                batch.add_put(&key, &value, None);
                content.insert(key, value);
            }
        }
        store.write(batch).expect("room");
        if n % 5 == 0 {
            store.sync().expect("nothing fails");
        }
        if n < 120 {
            maintain_until_idle(&mut store, 0, 700);
        }
    }
    assert!(store.stats().compacted_segments > 0);
    store.close().expect("nothing fails");
    BuiltStore {
        disk: disk.durable_copy(),
        content,
    }
}

/// The position of a record in its segment.
#[derive(Clone)]
struct Spot {
    start: usize,
    end: usize,
    /// Where its batch ends.
    batch_end: usize,
    key: Vec<u8>,
    sequence: u64,
    is_tombstone: bool,
}

/// The records of each segment.
fn find_spots(disk: &SimulatedFolder) -> BTreeMap<String, Vec<Spot>> {
    let mut all = BTreeMap::new();
    for name in disk.list().expect("names") {
        if matches!(FileKind::from_name(&name), FileKind::Segment(_)) {
            let spots = find_spots_in_segment(&disk.file_bytes(&name));
            all.insert(name, spots);
        }
    }
    all
}

fn find_spots_in_segment(bytes: &[u8]) -> Vec<Spot> {
    let DecodedSegmentHeader::Valid(header) = decode_segment_header(bytes) else {
        panic!("a good head")
    };
    let mut spots: Vec<Spot> = Vec::new();
    let mut at = SEGMENT_HEADER_BYTES;
    let mut batch = 0;
    while let ScanResult::Record(record) = scan_record(&bytes[at..], header.salt, at as u64, true) {
        let end = at + record.size();
        if matches!(record.kind, RecordKind::Put | RecordKind::Tombstone) {
            if record.starts_batch {
                batch = spots.len();
            }
            spots.push(Spot {
                start: at,
                end,
                batch_end: end,
                key: bytes[at + RECORD_HEADER_BYTES..][..record.key_len].to_vec(),
                sequence: record.sequence,
                is_tombstone: record.kind == RecordKind::Tombstone,
            });
            spots[batch..]
                .iter_mut()
                .for_each(|spot| spot.batch_end = end);
        }
        at = end;
    }
    assert_eq!(at, bytes.len());
    spots
}

/// The newest record of a key.
struct NewestRecord {
    file: String,
    spot: Spot,
}

/// The newest record of each key.
fn newest_records(spots: &BTreeMap<String, Vec<Spot>>) -> BTreeMap<Vec<u8>, NewestRecord> {
    let mut newest: BTreeMap<Vec<u8>, NewestRecord> = BTreeMap::new();
    for (file, spots) in spots {
        for spot in spots {
            let newest_sequence = newest
                .get(&spot.key)
                .map_or(0, |record| record.spot.sequence);
            if spot.sequence > newest_sequence {
                let record = NewestRecord {
                    file: file.clone(),
                    spot: spot.clone(),
                };
                newest.insert(spot.key.clone(), record);
            }
        }
    }
    newest
}

/// Opens a damaged store and checks that all keys except those in `hit` have their values.
fn check_undamaged_keys(
    disk: &SimulatedFolder,
    content: &Content,
    hit: &BTreeSet<Vec<u8>>,
    what: &str,
) {
    let (store, _) = Store::open(disk.clone(), options()).unwrap_or_else(|e| panic!("{what}: {e}"));
    for n in 0..40 {
        let key = format!("key{n:02}").into_bytes();
        match store.get(0, &key) {
            Ok(value) if !hit.contains(&key) => {
                assert_eq!(
                    value.as_ref(),
                    content.get(&key),
                    "{what}: {}",
                    key.escape_ascii()
                );
            }
            Ok(_) => {}
            Err(Error::DamagedRecord { .. }) => {
                assert!(hit.contains(&key), "{what}: {} is lost", key.escape_ascii());
            }
            Err(e) => panic!("{what}: {e}"),
        }
    }
}

/// The key of the damaged record then has an error, no value, or the value before.
#[test]
fn flipped_bit_at_any_byte_affects_only_the_record_it_is_in() {
    let BuiltStore { disk, content } = build_store();
    let spots = find_spots(&disk);
    let hints = disk
        .file_names()
        .iter()
        .filter(|name| name.ends_with(".hint"))
        .count();
    assert!(spots.len() >= 3 && hints >= 1, "{:?}", disk.file_names());
    for name in disk.file_names() {
        let bytes = disk.file_bytes(&name);
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << (at % 8);
            let copy = disk.durable_copy();
            copy.put_file(&name, changed);
            let within = |spot: &&Spot| spot.start <= at && at < spot.end;
            let hit = spots
                .get(&name)
                .and_then(|spots| spots.iter().find(within))
                .map(|spot| spot.key.clone());
            check_undamaged_keys(
                &copy,
                &content,
                &hit.into_iter().collect(),
                &format!("{name} flipped at {at}"),
            );
        }
    }
}

/// The batch that the end of the truncated file falls into is lost as well.
#[test]
fn truncation_at_any_byte_affects_only_records_after_it_in_that_file() {
    let BuiltStore { disk, content } = build_store();
    let spots = find_spots(&disk);
    let newest = newest_records(&spots);
    for name in disk.file_names() {
        let bytes = disk.file_bytes(&name);
        for at in 0..bytes.len() {
            let copy = disk.durable_copy();
            copy.put_file(&name, bytes[..at].to_vec());
            // Without its header nothing of a file can be read.
            let is_lost = |record: &NewestRecord| {
                record.file == name && (record.spot.batch_end > at || at < SEGMENT_HEADER_BYTES)
            };
            let hit = newest
                .iter()
                .filter(|(_, record)| is_lost(record))
                .map(|(key, _)| key.clone())
                .collect();
            check_undamaged_keys(&copy, &content, &hit, &format!("{name} cut at {at}"));
        }
    }
}

/// Compaction quarantines the damaged segment and loses no other record.
#[test]
fn check_reports_damage_by_file_and_offset_and_the_damaged_file_survives() {
    let BuiltStore { disk, content } = build_store();
    let spots = find_spots(&disk);
    let newest = newest_records(&spots);
    let (key, record) = newest
        .iter()
        .find(|(_, record)| !record.spot.is_tombstone)
        .expect("a live key");
    let name = &record.file;
    let from = &record.spot.start;
    let mut bytes = disk.file_bytes(name);
    bytes[from + RECORD_HEADER_BYTES] ^= 1;
    disk.put_file(name, bytes);
    let (mut store, _) = Store::open(disk.clone(), options()).expect("it opens");
    let checked = store.verify(|_, _| ()).expect("it is read");
    assert_eq!(checked.damaged_ranges.len(), 1);
    assert_eq!(
        (&checked.damaged_ranges[0].0, checked.damaged_ranges[0].1),
        (name, *from as u64)
    );
    for n in 0..400_u32 {
        store
            .write(Batch::default().put(&n.to_le_bytes(), &[1; 40], None))
            .expect("room");
        store
            .write(Batch::default().delete(&n.to_le_bytes()))
            .expect("room");
        maintain_until_idle(&mut store, 0, 900);
    }
    for (other, value) in content.iter().filter(|(other, _)| *other != key) {
        assert_eq!(
            store.get(0, other).expect("it is read").as_ref(),
            Some(value)
        );
    }
    let aside = disk
        .file_names()
        .iter()
        .any(|name| name.ends_with(".damaged"));
    assert!(
        aside || disk.file_names().contains(name),
        "{:?}",
        disk.file_names()
    );
}
