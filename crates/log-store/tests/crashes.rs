//! Crashes, disk faults and random histories, compared with a model.

mod common;

use cleatpulley_log_store::simulated_folder::{Fault, SimulatedFolder};
use cleatpulley_log_store::{Batch, Error, Store};
use common::driver::{small_segment_options, StoreDriver};
use proptest::prelude::*;
use proptest::test_runner::{TestRng, TestRunner};

/// Plays a random history with crashes and reopenings. Crashes also happen while the store is being
/// opened, twice in a row.
fn play_history(seed: u64) {
    let mut driver = StoreDriver::new(seed);
    for round in 0..6_u64 {
        driver.open().expect("nothing fails");
        let steps = 10 + (seed.wrapping_mul(31).wrapping_add(round * 17) % 50);
        for _ in 0..steps {
            driver.step().expect("nothing fails");
        }
        driver.check();
        let next_disk = match (seed + round) % 3 {
            0 => {
                driver.close();
                driver.disk.durable_copy()
            }
            _ => driver.disk.after_crash(seed ^ round),
        };
        driver.store = None;
        driver.disk = next_disk;
        for attempt in 0..2 {
            // The machine crashes while the store is being opened.
            driver
                .disk
                .set_faults(&[Fault::CrashAt((seed + attempt) % 7)]);
            let opened = Store::open(driver.disk.clone(), small_segment_options());
            drop(opened);
            driver.disk = driver.disk.after_crash(seed.rotate_left(9) ^ attempt);
        }
    }
    driver.open().expect("nothing fails");
}

/// The seeds come from a fixed generator, so that the result is the same every time. Proptest
/// prints a failing seed. `LOG_STORE_SEEDS=N` plays N histories.
#[test]
fn histories_of_generated_seeds_with_crashes_agree_with_the_model() {
    let cases = std::env::var("LOG_STORE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let result = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
        play_history(seed);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn histories_of_the_first_seeds_with_crashes_agree_with_the_model() {
    (0..100).for_each(play_history);
}

/// Plays a fixed workload that reaches sealing, hint files and all phases of a compaction. Returns
/// the driver and the number of disk operations.
fn play_workload(disk: &SimulatedFolder, faults: &[Fault]) -> (StoreDriver, u64) {
    let mut driver = StoreDriver::with_disk(disk.clone(), 77);
    driver.open().expect("nothing fails yet");
    disk.set_faults(faults);
    for _ in 0..260 {
        if driver.step().is_err()
            && driver
                .store
                .as_ref()
                .is_some_and(|store| store.write_fault().is_some())
        {
            break;
        }
    }
    let operations = disk.operation_count();
    (driver, operations)
}

#[test]
fn crash_at_any_operation_loses_nothing_acknowledged() {
    let (driver, operations) = play_workload(&SimulatedFolder::default(), &[]);
    let stats = driver.store.as_ref().expect("the store is open").stats();
    assert!(
        stats.compacted_segments >= 4 && stats.segments > 1,
        "the workload does not reach compaction: {stats:?}"
    );
    for at in 0..operations {
        for seed in 0..3 {
            let (mut driver, _) = play_workload(&SimulatedFolder::default(), &[Fault::CrashAt(at)]);
            driver.store = None;
            driver.disk = driver.disk.after_crash(at * 3 + seed);
            driver.open().expect("the store opens");
        }
    }
}

/// Failures of writes, syncs, renames and removals. A failed sync ends all writing.
#[test]
fn failure_of_any_operation_loses_nothing_acknowledged() {
    let (_, operations) = play_workload(&SimulatedFolder::default(), &[]);
    let mut poisoned = 0;
    for at in 0..operations {
        for fault in [Fault::FailOnce(at), Fault::ShortWrite(at)] {
            eprintln!("{fault:?}"); // Shown where the test fails.
            let (mut driver, _) = play_workload(&SimulatedFolder::default(), &[fault]);
            driver.check();
            let store = driver.store.take().expect("the store is open");
            if store.write_fault().is_some() {
                poisoned += 1;
                let mut store = store;
                let rejected = store.write(Batch::default().put(b"k", b"v", None));
                assert!(matches!(rejected, Err(Error::WritesDisabled(_))));
                assert!(
                    store.get(driver.now, b"key1").is_ok(),
                    "reads still succeed"
                );
            }
            driver.disk = driver.disk.after_crash(at);
            driver.open().expect("the store opens");
        }
    }
    assert!(poisoned > 10, "only {poisoned} faults poisoned the store");
}

/// Writes to a full disk fail as a whole, compaction changes nothing, reads succeed, and writes
/// succeed again once there is space.
#[test]
fn full_disk_loses_nothing_acknowledged_and_writes_resume_when_there_is_space() {
    for free_bytes in (0..6_000).step_by(97) {
        let disk = SimulatedFolder::default();
        let mut driver = StoreDriver::with_disk(disk.clone(), free_bytes as u64);
        driver.open().expect("nothing fails yet");
        for _ in 0..40 {
            driver.step().expect("nothing fails yet");
        }
        disk.set_faults(&[Fault::Full(0, disk.total_bytes() as usize + free_bytes)]);
        let mut disk_full_errors = 0;
        for _ in 0..120 {
            match driver.step() {
                Ok(()) => {}
                Err(Error::DiskFull { .. }) => disk_full_errors += 1,
                Err(error) => panic!("{error}"),
            }
            driver.check();
        }
        assert!(
            free_bytes > 4_000 || disk_full_errors > 0,
            "the disk was never full with {free_bytes} bytes free"
        );
        disk.set_faults(&[]);
        for _ in 0..40 {
            driver.step().expect("the disk has space again");
        }
        driver.check();
        driver.store = None;
        driver.disk = disk.after_crash(free_bytes as u64);
        driver.open().expect("the store opens");
    }
}

/// Guards against a newest segment without records whose sync had failed: the next process must not
/// write to it, as the operating system has forgotten its pages and reports no error for them any
/// more.
#[test]
fn writes_of_the_next_process_after_a_failed_sync_are_durable() {
    let mut failed_opens = 0;
    for (step, distance) in (0..12).flat_map(|step| (1..5).map(move |distance| (step, distance))) {
        let disk = SimulatedFolder::default();
        let (mut store, _) =
            Store::open(disk.clone(), small_segment_options()).expect("nothing fails");
        store
            .write(Batch::default().put(b"a", b"1", None))
            .expect("nothing fails");
        store.close().expect("nothing fails");
        disk.release_lock();
        // The disk of a process fails while the store is being opened, and again while that is
        // undone. The machine runs on.
        disk.set_faults(&[Fault::FailOnce(step), Fault::FailOnce(step + distance)]);
        failed_opens += u32::from(Store::open(disk.clone(), small_segment_options()).is_err());
        disk.set_faults(&[]);
        disk.release_lock();
        let (mut store, _) =
            Store::open(disk.clone(), small_segment_options()).expect("nothing fails any more");
        store
            .write(Batch::default().put(b"c", b"3", None))
            .expect("nothing fails any more");
        store.sync().expect("nothing fails any more");
        drop(store);
        let (store, _) = Store::open(disk.after_crash(step), small_segment_options())
            .expect("the store recovers");
        for (key, value) in [(b"a", b"1"), (b"c", b"3")] {
            assert_eq!(
                store.get(0, key).expect("the record is intact").as_deref(),
                Some(&value[..]),
                "step {step} {distance}"
            );
        }
    }
    assert!(failed_opens > 0, "no fault made an opening fail");
}
