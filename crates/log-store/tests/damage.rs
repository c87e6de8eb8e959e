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
    let (mut store, _) = Store::open(disk.clone(), options()).expect("the store opens");
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
        store.write(batch).expect("the disk has space");
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

/// The byte range of a record in its segment.
#[derive(Clone)]
struct RecordSpan {
    start: usize,
    end: usize,
    /// Offset after the last record of its batch.
    batch_end: usize,
    key: Vec<u8>,
    sequence: u64,
    is_tombstone: bool,
}

/// The records of each segment.
fn find_record_spans(disk: &SimulatedFolder) -> BTreeMap<String, Vec<RecordSpan>> {
    let mut spans_by_file = BTreeMap::new();
    for name in disk.list().expect("the folder is listed") {
        if matches!(FileKind::from_name(&name), FileKind::Segment(_)) {
            let spans = find_record_spans_in_segment(&disk.file_bytes(&name));
            spans_by_file.insert(name, spans);
        }
    }
    spans_by_file
}

fn find_record_spans_in_segment(bytes: &[u8]) -> Vec<RecordSpan> {
    let DecodedSegmentHeader::Valid(header) = decode_segment_header(bytes) else {
        panic!("the segment header is damaged")
    };
    let mut spans: Vec<RecordSpan> = Vec::new();
    let mut offset = SEGMENT_HEADER_BYTES;
    let mut batch_start = 0;
    while let ScanResult::Record(record) =
        scan_record(&bytes[offset..], header.salt, offset as u64, true)
    {
        let end = offset + record.size();
        if matches!(record.kind, RecordKind::Put | RecordKind::Tombstone) {
            if record.starts_batch {
                batch_start = spans.len();
            }
            spans.push(RecordSpan {
                start: offset,
                end,
                batch_end: end,
                key: bytes[offset + RECORD_HEADER_BYTES..][..record.key_len].to_vec(),
                sequence: record.sequence,
                is_tombstone: record.kind == RecordKind::Tombstone,
            });
            spans[batch_start..]
                .iter_mut()
                .for_each(|span| span.batch_end = end);
        }
        offset = end;
    }
    assert_eq!(offset, bytes.len());
    spans
}

/// The newest record of a key.
struct NewestRecord {
    file: String,
    span: RecordSpan,
}

/// The newest record of each key.
fn newest_records(spans: &BTreeMap<String, Vec<RecordSpan>>) -> BTreeMap<Vec<u8>, NewestRecord> {
    let mut newest: BTreeMap<Vec<u8>, NewestRecord> = BTreeMap::new();
    for (file, spans) in spans {
        for span in spans {
            let newest_sequence = newest
                .get(&span.key)
                .map_or(0, |record| record.span.sequence);
            if span.sequence > newest_sequence {
                let record = NewestRecord {
                    file: file.clone(),
                    span: span.clone(),
                };
                newest.insert(span.key.clone(), record);
            }
        }
    }
    newest
}

/// Opens a damaged store and checks that all keys except `damaged_keys` have their values.
fn check_undamaged_keys(
    disk: &SimulatedFolder,
    content: &Content,
    damaged_keys: &BTreeSet<Vec<u8>>,
    case: &str,
) {
    let (store, _) =
        Store::open(disk.clone(), options()).unwrap_or_else(|error| panic!("{case}: {error}"));
    for n in 0..40 {
        let key = format!("key{n:02}").into_bytes();
        match store.get(0, &key) {
            Ok(value) if !damaged_keys.contains(&key) => {
                assert_eq!(
                    value.as_ref(),
                    content.get(&key),
                    "{case}: {}",
                    key.escape_ascii()
                );
            }
            Ok(_) => {}
            Err(Error::DamagedRecord { .. }) => {
                assert!(
                    damaged_keys.contains(&key),
                    "{case}: {} is lost",
                    key.escape_ascii()
                );
            }
            Err(error) => panic!("{case}: {error}"),
        }
    }
}

/// Reading the key of the damaged record returns an error, no value, or the previous value.
#[test]
fn flipped_bit_at_any_byte_affects_only_the_record_it_is_in() {
    let BuiltStore { disk, content } = build_store();
    let spans = find_record_spans(&disk);
    let hints = disk
        .file_names()
        .iter()
        .filter(|name| name.ends_with(".hint"))
        .count();
    assert!(spans.len() >= 3 && hints >= 1, "{:?}", disk.file_names());
    for name in disk.file_names() {
        let bytes = disk.file_bytes(&name);
        for offset in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[offset] ^= 1 << (offset % 8);
            let copy = disk.durable_copy();
            copy.put_file(&name, changed);
            let within = |span: &&RecordSpan| span.start <= offset && offset < span.end;
            let damaged_key = spans
                .get(&name)
                .and_then(|spans| spans.iter().find(within))
                .map(|span| span.key.clone());
            check_undamaged_keys(
                &copy,
                &content,
                &damaged_key.into_iter().collect(),
                &format!("{name} flipped at {offset}"),
            );
        }
    }
}

/// The batch that the end of the truncated file falls into is lost as well.
#[test]
fn truncation_at_any_byte_affects_only_records_after_it_in_that_file() {
    let BuiltStore { disk, content } = build_store();
    let spans = find_record_spans(&disk);
    let newest = newest_records(&spans);
    for name in disk.file_names() {
        let bytes = disk.file_bytes(&name);
        for offset in 0..bytes.len() {
            let copy = disk.durable_copy();
            copy.put_file(&name, bytes[..offset].to_vec());
            // Without its header nothing of a file can be read.
            let is_lost = |record: &NewestRecord| {
                record.file == name
                    && (record.span.batch_end > offset || offset < SEGMENT_HEADER_BYTES)
            };
            let damaged_keys = newest
                .iter()
                .filter(|(_, record)| is_lost(record))
                .map(|(key, _)| key.clone())
                .collect();
            check_undamaged_keys(
                &copy,
                &content,
                &damaged_keys,
                &format!("{name} truncated at {offset}"),
            );
        }
    }
}

/// Compaction quarantines the damaged segment and loses no other record.
#[test]
fn check_reports_damage_by_file_and_offset_and_the_damaged_file_survives() {
    let BuiltStore { disk, content } = build_store();
    let spans = find_record_spans(&disk);
    let newest = newest_records(&spans);
    let (key, record) = newest
        .iter()
        .find(|(_, record)| !record.span.is_tombstone)
        .expect("a live key");
    let name = &record.file;
    let start = &record.span.start;
    let mut bytes = disk.file_bytes(name);
    bytes[start + RECORD_HEADER_BYTES] ^= 1;
    disk.put_file(name, bytes);
    let (mut store, _) = Store::open(disk.clone(), options()).expect("the store opens");
    let report = store.verify(|_, _| ()).expect("the record is read");
    assert_eq!(report.damaged_ranges.len(), 1);
    assert_eq!(
        (&report.damaged_ranges[0].0, report.damaged_ranges[0].1),
        (name, *start as u64)
    );
    for n in 0..400_u32 {
        store
            .write(Batch::default().put(&n.to_le_bytes(), &[1; 40], None))
            .expect("the disk has space");
        store
            .write(Batch::default().delete(&n.to_le_bytes()))
            .expect("the disk has space");
        maintain_until_idle(&mut store, 0, 900);
    }
    for (other, value) in content.iter().filter(|(other, _)| *other != key) {
        assert_eq!(
            store.get(0, other).expect("the record is read").as_ref(),
            Some(value)
        );
    }
    let is_quarantined = disk
        .file_names()
        .iter()
        .any(|name| name.ends_with(".damaged"));
    assert!(
        is_quarantined || disk.file_names().contains(name),
        "{:?}",
        disk.file_names()
    );
}
