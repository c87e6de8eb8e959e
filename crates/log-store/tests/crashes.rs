//! Crashes, failing disks and random histories, against a plain map.

mod common;

use cleatpulley_log_store::memory::{Fault, Memory};
use cleatpulley_log_store::{Batch, Error, Options, Store, Work};
use common::{content_of, options, Driver};
use proptest::prelude::*;
use proptest::test_runner::{TestRng, TestRunner};

/// Random histories with crashes and reopenings; crashes come also while the store is being opened, twice in a row.
fn history(seed: u64) {
    let mut driver = Driver::new(seed);
    for round in 0..6_u64 {
        driver.open().expect("nothing fails");
        let steps = 10 + (seed.wrapping_mul(31).wrapping_add(round * 17) % 50);
        for _ in 0..steps {
            driver.step().expect("nothing fails");
        }
        driver.check();
        let next = match (seed + round) % 3 {
            0 => {
                driver
                    .store
                    .take()
                    .expect("it is open")
                    .close()
                    .expect("nothing fails");
                let pending = driver.pending.len();
                for batch in driver.pending.drain(..pending) {
                    common::apply(&mut driver.acked, &batch);
                }
                driver.disk.copy()
            }
            _ => driver.disk.crash(seed ^ round),
        };
        driver.store = None;
        driver.disk = next;
        for again in 0..2 {
            // The opening itself crashes somewhere.
            driver.disk.set_faults(&[Fault::Crash((seed + again) % 7)]);
            let opened = Store::open(driver.disk.clone(), options());
            drop(opened);
            driver.disk = driver.disk.crash(seed.rotate_left(9) ^ again);
        }
    }
    driver.open().expect("nothing fails");
}

/// Maintains the store until it has nothing to do, which has to come.
fn rest(store: &mut Store<Memory>, now: u64) {
    let turns = (0..10_000)
        .take_while(|_| store.maintain(now, 700).expect("nothing fails") == Work::More)
        .count();
    assert!(
        turns < 10_000,
        "maintenance never ends: {:?}",
        store.stats()
    );
}

/// Seeds from a fixed generator, so that the verdict is the same every time; a failing one is printed by proptest, and
/// `KEEP_SEEDS=N` plays more of them.
#[test]
fn histories_with_crashes_agree_with_a_plain_map() {
    let cases = std::env::var("KEEP_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let played = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
        history(seed);
        Ok(())
    });
    played.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn the_first_seeds() {
    (0..100).for_each(history);
}

/// A fixed workload that meets sealing, hints, compaction and its switch; returns how many operations it took.
fn workload(disk: &Memory, faults: &[Fault]) -> (Driver, u64) {
    let mut driver = Driver::on(disk.clone(), 77);
    driver.open().expect("nothing fails yet");
    disk.set_faults(faults);
    for _ in 0..260 {
        if driver.step().is_err()
            && driver
                .store
                .as_ref()
                .is_some_and(|store| store.poisoned().is_some())
        {
            break;
        }
    }
    let operations = disk.operations();
    (driver, operations)
}

#[test]
fn a_crash_at_every_operation_loses_nothing_acknowledged() {
    let (whole, operations) = workload(&Memory::default(), &[]);
    let stats = whole.store.as_ref().expect("it is open").stats();
    assert!(
        stats.compacted >= 4 && stats.segments > 1,
        "the workload meets compaction: {stats:?}"
    );
    for at in 0..operations {
        for seed in 0..3 {
            let (mut driver, _) = workload(&Memory::default(), &[Fault::Crash(at)]);
            driver.store = None;
            driver.disk = driver.disk.crash(at * 3 + seed);
            driver.open().expect("it opens");
        }
    }
}

/// Errors of writes, syncs, renames and removals: what was acknowledged stays, and a failed sync ends all writing.
#[test]
fn a_failure_at_every_operation_loses_nothing_acknowledged() {
    let (_, operations) = workload(&Memory::default(), &[]);
    let mut poisoned = 0;
    for at in 0..operations {
        for fault in [Fault::Fail(at), Fault::Short(at)] {
            eprintln!("{fault:?}"); // Shown where the test fails.
            let (mut driver, _) = workload(&Memory::default(), &[fault]);
            driver.check();
            let store = driver.store.take().expect("it is open");
            if store.poisoned().is_some() {
                poisoned += 1;
                let mut store = store;
                let refused = store.write(Batch::default().put(b"k", b"v", None));
                assert!(matches!(refused, Err(Error::Poisoned(_))));
                assert!(store.get(driver.now, b"key1").is_ok(), "reads go on");
            }
            driver.disk = driver.disk.crash(at);
            driver.open().expect("it opens");
        }
    }
    assert!(poisoned > 10, "{poisoned} faults met a sync");
}

/// A disk that becomes full: writes fail whole, compaction leaves everything as it was, reads go on, and once there is
/// room all goes on.
#[test]
fn a_full_disk_takes_nothing_back_that_was_acknowledged() {
    for room in (0..6_000).step_by(97) {
        let disk = Memory::default();
        let mut driver = Driver::on(disk.clone(), room as u64);
        driver.open().expect("nothing fails yet");
        for _ in 0..40 {
            driver.step().expect("nothing fails yet");
        }
        disk.set_faults(&[Fault::Full(0, disk.total() as usize + room)]);
        let mut full = 0;
        for _ in 0..120 {
            match driver.step() {
                Ok(()) => {}
                Err(Error::Full { .. }) => full += 1,
                Err(e) => panic!("{e}"),
            }
            driver.check();
        }
        assert!(
            room > 4_000 || full > 0,
            "the disk was never full at {room}"
        );
        disk.set_faults(&[]);
        for _ in 0..40 {
            driver.step().expect("there is room again");
        }
        driver.check();
        driver.store = None;
        driver.disk = disk.crash(room as u64);
        driver.open().expect("it opens");
    }
}

#[test]
fn the_oldest_goes_where_the_bound_presses_and_stays_gone() {
    let options = Options {
        segment_bytes: 4_096,
        max_bytes: Some(16_384),
        ..Options::default()
    };
    let disk = Memory::default();
    let (mut store, _) = Store::open(disk.clone(), options.clone()).expect("it opens");
    for n in 0..400_u32 {
        store
            .write(Batch::default().put(&n.to_be_bytes(), &[7; 100], None))
            .expect("room");
        store.sync().expect("nothing fails");
        rest(&mut store, 0);
        assert!(store.stats().bytes <= 16_384 + 4_096);
    }
    let stats = store.stats();
    assert!(
        stats.evicted > 200 && stats.evicted + stats.keys == 400,
        "{stats:?}"
    );
    let held = content_of(&store, 0).expect("it is read");
    assert!(
        held.keys().eq((400 - stats.keys as u32..400)
            .map(|n| n.to_be_bytes().to_vec())
            .collect::<Vec<_>>()
            .iter()),
        "the newest stay"
    );
    drop(store);
    let (store, _) = Store::open(disk.copy(), options).expect("it opens");
    assert_eq!(content_of(&store, 0).expect("it is read"), held);
}

#[test]
fn expired_keys_stay_gone_and_bring_no_older_value_back() {
    let disk = Memory::default();
    let (mut store, _) = Store::open(disk.clone(), options()).expect("it opens");
    store
        .write(Batch::default().put(b"k", b"old", None))
        .expect("room");
    for n in 0..60_u32 {
        store
            .write(Batch::default().put(&n.to_be_bytes(), &[n as u8; 63], None))
            .expect("room");
    }
    store
        .write(Batch::default().put(b"k", b"new", Some(50)))
        .expect("room");
    for n in 0..60_u32 {
        store
            .write(Batch::default().put(&n.to_be_bytes(), &[n as u8 + 1; 63], None))
            .expect("room");
    }
    store.sync().expect("nothing fails");
    assert_eq!(
        store.get(49, b"k").expect("read").as_deref(),
        Some(&b"new"[..])
    );
    assert_eq!(store.get(50, b"k").expect("read"), None);
    rest(&mut store, 60);
    assert!(store.stats().compacted > 0);
    store.close().expect("nothing fails");
    let (store, _) = Store::open(disk.copy(), options()).expect("it opens");
    assert!(
        store.get(60, b"k").expect("read").is_none(),
        "not even where the clock steps back, once it was dropped"
    );
}

#[test]
fn one_writer_at_a_time_and_readers_beside_it() {
    let disk = Memory::default();
    let (mut store, _) = Store::open(disk.clone(), options()).expect("it opens");
    store
        .write(Batch::default().put(b"k", b"v", None))
        .expect("room");
    assert!(matches!(
        Store::open(disk.clone(), options()),
        Err(Error::Locked)
    ));
    let (mut reader, _) = Store::open_read_only(disk.clone()).expect("it opens");
    assert_eq!(
        reader.get(0, b"k").expect("read").as_deref(),
        Some(&b"v"[..])
    );
    assert!(matches!(
        reader.write(Batch::default().delete(b"k")),
        Err(Error::ReadOnly)
    ));
    assert!(matches!(reader.maintain(0, 100), Err(Error::ReadOnly)));
    store
        .write(Batch::default().put(b"k", b"w", None))
        .expect("room");
}

#[test]
fn bounds_and_foreign_or_newer_files_are_told() {
    let disk = Memory::default();
    let (mut store, _) = Store::open(disk.clone(), options()).expect("it opens");
    let long = vec![b'k'; 4_097];
    assert!(matches!(
        store.write(Batch::default().put(&long, b"", None)),
        Err(Error::TooLarge { what: "a key", .. })
    ));
    drop(store);
    let foreign = disk.copy();
    foreign.set_bytes("notes.txt", b"mine".to_vec());
    let fault = Store::open(foreign.clone(), options())
        .err()
        .expect("foreign")
        .to_string();
    assert!(fault.contains("notes.txt"), "{fault}");
    assert_eq!(foreign.bytes("notes.txt"), b"mine");
    let newer = disk.copy();
    let name = newer
        .names()
        .into_iter()
        .find(|name| name.ends_with(".seg"))
        .expect("a segment");
    let mut bytes = newer.bytes(&name);
    for half in [0, 40] {
        bytes[half + 8] = 9;
        let sum = crc32c::crc32c(&bytes[half..half + 36]);
        bytes[half + 36..half + 40].copy_from_slice(&sum.to_le_bytes());
    }
    newer.set_bytes(&name, bytes);
    let fault = Store::open(newer, options())
        .err()
        .expect("newer")
        .to_string();
    assert!(fault.contains("format 9"), "{fault}");
}

/// Guards against a last segment that was never written to and whose sync had failed: the next process must not write
/// there, as the system has forgotten its pages and reports no error for them any more.
#[test]
fn what_another_process_writes_after_a_failed_sync_is_durable() {
    let mut failed = 0;
    for (step, next) in (0..12).flat_map(|step| (1..5).map(move |next| (step, next))) {
        let disk = Memory::default();
        let (mut store, _) = Store::open(disk.clone(), options()).expect("nothing fails");
        store
            .write(Batch::default().put(b"a", b"1", None))
            .expect("nothing fails");
        store.close().expect("nothing fails");
        disk.release();
        // A process whose disk fails while it opens the store, and again while it takes that back; the machine goes on.
        disk.set_faults(&[Fault::Fail(step), Fault::Fail(step + next)]);
        failed += u32::from(Store::open(disk.clone(), options()).is_err());
        disk.set_faults(&[]);
        disk.release();
        let (mut store, _) = Store::open(disk.clone(), options()).expect("nothing fails any more");
        store
            .write(Batch::default().put(b"c", b"3", None))
            .expect("nothing fails any more");
        store.sync().expect("nothing fails any more");
        drop(store);
        let (store, _) = Store::open(disk.crash(step), options()).expect("it recovers");
        for (key, value) in [(b"a", b"1"), (b"c", b"3")] {
            assert_eq!(
                store.get(0, key).expect("whole").as_deref(),
                Some(&value[..]),
                "step {step} {next}"
            );
        }
    }
    assert!(failed > 0, "nobody should trust faults that hit nothing");
}
