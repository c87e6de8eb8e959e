//! Eviction, expiry, locking and the limits of the public interface.

mod common;

use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Batch, Error, Options, Store};
use common::driver::small_segment_options;
use common::maintenance::maintain_until_idle;
use common::model::content_of;

#[test]
fn evicts_oldest_records_beyond_the_size_limit_for_good() {
    let options = Options {
        segment_bytes: 4_096,
        max_total_bytes: Some(16_384),
        ..Options::default()
    };
    let disk = SimulatedFolder::default();
    let (mut store, _) = Store::open(disk.clone(), options.clone()).expect("the store opens");
    for n in 0..400_u32 {
        store
            .write(Batch::default().put(&n.to_be_bytes(), &[7; 100], None))
            .expect("the disk has space");
        store.sync().expect("nothing fails");
        maintain_until_idle(&mut store, 0, 700);
        assert!(store.stats().bytes <= 16_384 + 4_096);
    }
    let stats = store.stats();
    assert!(
        stats.evicted_records > 200 && stats.evicted_records + stats.keys == 400,
        "{stats:?}"
    );
    let content = content_of(&store, 0).expect("the content is read");
    assert!(
        content.keys().eq((400 - stats.keys as u32..400)
            .map(|n| n.to_be_bytes().to_vec())
            .collect::<Vec<_>>()
            .iter()),
        "the newest records remain"
    );
    drop(store);
    let (store, _) = Store::open(disk.durable_copy(), options).expect("the store opens");
    assert_eq!(content_of(&store, 0).expect("the content is read"), content);
}

#[test]
fn expired_keys_stay_absent_and_expose_no_older_value() {
    let disk = SimulatedFolder::default();
    let (mut store, _) =
        Store::open(disk.clone(), small_segment_options()).expect("the store opens");
    store
        .write(Batch::default().put(b"k", b"old", None))
        .expect("the disk has space");
    for n in 0..60_u32 {
        store
            .write(Batch::default().put(&n.to_be_bytes(), &[n as u8; 63], None))
            .expect("the disk has space");
    }
    store
        .write(Batch::default().put(b"k", b"new", Some(50)))
        .expect("the disk has space");
    for n in 0..60_u32 {
        store
            .write(Batch::default().put(&n.to_be_bytes(), &[n as u8 + 1; 63], None))
            .expect("the disk has space");
    }
    store.sync().expect("nothing fails");
    assert_eq!(
        store.get(49, b"k").expect("the record is read").as_deref(),
        Some(&b"new"[..])
    );
    assert_eq!(store.get(50, b"k").expect("the record is read"), None);
    maintain_until_idle(&mut store, 60, 700);
    assert!(store.stats().compacted_segments > 0);
    store.close().expect("nothing fails");
    let (store, _) =
        Store::open(disk.durable_copy(), small_segment_options()).expect("the store opens");
    assert!(
        store.get(60, b"k").expect("the record is read").is_none(),
        "a dropped record stays absent even if the clock steps back"
    );
}

#[test]
fn rejects_second_writer_and_admits_reader_beside_the_writer() {
    let disk = SimulatedFolder::default();
    let (mut store, _) =
        Store::open(disk.clone(), small_segment_options()).expect("the store opens");
    store
        .write(Batch::default().put(b"k", b"v", None))
        .expect("the disk has space");
    assert!(matches!(
        Store::open(disk.clone(), small_segment_options()),
        Err(Error::Locked)
    ));
    let (mut reader, _) = Store::open_read_only(disk.clone()).expect("the store opens");
    assert_eq!(
        reader.get(0, b"k").expect("the record is read").as_deref(),
        Some(&b"v"[..])
    );
    assert!(matches!(
        reader.write(Batch::default().delete(b"k")),
        Err(Error::ReadOnly)
    ));
    assert!(matches!(
        reader.run_maintenance_step(0, 100),
        Err(Error::ReadOnly)
    ));
    store
        .write(Batch::default().put(b"k", b"w", None))
        .expect("the disk has space");
}

#[test]
fn rejects_too_long_key_foreign_file_and_newer_format() {
    let disk = SimulatedFolder::default();
    let (mut store, _) =
        Store::open(disk.clone(), small_segment_options()).expect("the store opens");
    let long = vec![b'k'; 4_097];
    assert!(matches!(
        store.write(Batch::default().put(&long, b"", None)),
        Err(Error::TooLarge { what: "a key", .. })
    ));
    drop(store);
    let foreign = disk.durable_copy();
    foreign.put_file("notes.txt", b"mine".to_vec());
    let message = Store::open(foreign.clone(), small_segment_options())
        .err()
        .expect("the foreign file is rejected")
        .to_string();
    assert!(message.contains("notes.txt"), "{message}");
    assert_eq!(foreign.file_bytes("notes.txt"), b"mine");
    let newer = disk.durable_copy();
    let name = newer
        .file_names()
        .into_iter()
        .find(|name| name.ends_with(".seg"))
        .expect("a segment");
    let mut bytes = newer.file_bytes(&name);
    for copy_offset in [0, 40] {
        bytes[copy_offset + 8] = 9;
        let checksum = crc32c::crc32c(&bytes[copy_offset..copy_offset + 36]);
        bytes[copy_offset + 36..copy_offset + 40].copy_from_slice(&checksum.to_le_bytes());
    }
    newer.put_file(&name, bytes);
    let message = Store::open(newer, small_segment_options())
        .err()
        .expect("the newer format is rejected")
        .to_string();
    assert!(message.contains("format 9"), "{message}");
}
