use super::*;
use cleatpulley_log_store::simulated_folder::{Fault, SimulatedFolder};
use cleatpulley_log_store::Options;

const SECOND: Micros = 1_000_000;

fn entry(n: u32, points: f64, updated_at: Micros) -> StoredReputation {
    let address = IpAddr::V4(std::net::Ipv4Addr::from(0x0A00_0000 + n));
    StoredReputation {
        address,
        points,
        updated_at,
        expires_at: updated_at + 100 * SECOND,
    }
}

fn open_database(
    disk: &SimulatedFolder,
    max_addresses: usize,
    now: Micros,
) -> (ReputationDatabase<SimulatedFolder>, Vec<StoredReputation>) {
    let mut database = ReputationDatabase::new(max_addresses);
    disk.release_lock();
    let options = Options {
        segment_bytes: 4_096,
        ..Options::default()
    };
    let entries = database.open(Store::open(disk.clone(), options), now);
    (database, entries.expect("the store opens"))
}

fn stored_entries(disk: &SimulatedFolder, now: Micros) -> Vec<(IpAddr, f64, Micros)> {
    open_database(disk, 1_000, now)
        .1
        .into_iter()
        .map(|entry| (entry.address, entry.points, entry.updated_at))
        .collect()
}

#[test]
fn loads_after_a_crash_the_latest_entry_of_each_address_by_points() {
    let disk = SimulatedFolder::default();
    let (mut database, no_entries) = open_database(&disk, 1_000, 1);
    assert!(no_entries.is_empty());
    database.enqueue(vec![entry(1, 5.0, 1), entry(2, 9.0, 1)]);
    database.flush(1);
    database.enqueue(vec![entry(1, 12.0, 2)]);
    database.enqueue(vec![entry(1, 11.0, 3)]);
    database.flush(3);
    database.enqueue(vec![entry(3, 99.0, 4)]);
    let disk = disk.after_crash(7);
    let ipv6 = StoredReputation {
        address: "2001:db8::1".parse().expect("a valid address"),
        ..entry(0, 10.0, 5)
    };
    let expected = [
        (entry(1, 0.0, 0).address, 11.0, 3),
        (entry(2, 0.0, 0).address, 9.0, 1),
    ];
    assert_eq!(
        stored_entries(&disk, 5),
        expected,
        "pending entries are lost"
    );
    let (mut database, _) = open_database(&disk, 1_000, 5);
    database.enqueue(vec![ipv6]);
    database.close(5);
    assert_eq!(stored_entries(&disk, 6)[1], (ipv6.address, 10.0, 5));
    assert_eq!(
        stored_entries(&disk, 200 * SECOND),
        [],
        "all entries have expired"
    );
}

#[test]
fn pending_and_loaded_entries_are_bounded() {
    let disk = SimulatedFolder::default();
    let (mut database, _) = open_database(&disk, 1_000, 1);
    database.enqueue((0..1_000).map(|n| entry(n, f64::from(n + 1), 1)).collect());
    database.close(1);
    let (mut database, entries) = open_database(&disk, 10, 1);
    assert_eq!(entries.len(), 10);
    assert!(
        entries.iter().all(|entry| entry.points > 990.0),
        "the entries with the most points are loaded"
    );
    database.enqueue((0..1_000).map(|n| entry(n, 1.0, 1)).collect());
    assert_eq!(database.pending.len(), 10);
}

/// After a write failure the store is closed, so that a failing disk is not written to in a loop;
/// pending entries are kept until it is opened again.
#[test]
fn store_is_used_again_after_a_disk_failure() {
    let disk = SimulatedFolder::default();
    let (mut database, _) = open_database(&disk, 1_000, 1);
    let faults: Vec<_> = (0..8).map(Fault::FailOnce).collect();
    disk.set_faults(&faults);
    database.enqueue(vec![entry(1, 5.0, 1)]);
    assert!(
        !database.flush(1) && !database.is_open(),
        "the flush fails and closes the store"
    );
    assert!(
        !database.flush(2),
        "no maintenance is due while the store is closed"
    );
    database.enqueue(vec![entry(2, 6.0, 2)]);
    disk.set_faults(&[]);
    disk.release_lock();
    assert_eq!(
        database.open(Store::open(disk.clone(), Options::default()), 3),
        Some(Vec::new()),
        "entries are not loaded again"
    );
    database.close(3);
    assert_eq!(
        stored_entries(&disk, 4).len(),
        2,
        "pending entries were written"
    );
}

#[test]
fn skips_invalid_records() {
    let disk = SimulatedFolder::default();
    let (mut store, _) = Store::open(disk.clone(), Options::default()).expect("the store opens");
    let valid = entry(1, 5.0, 1).encode();
    let batch = Batch::default()
        .put(&valid.key, &valid.value, None)
        .put(b"another key", &valid.value, None)
        .put(&[7; 16], &valid.value[..15], None)
        .put(&[8; 16], &f64::NAN.to_be_bytes().repeat(2), None);
    store
        .write(batch)
        .and_then(|_| store.sync())
        .expect("the batch is written");
    store.close().expect("the store closes");
    assert_eq!(
        stored_entries(&disk, 2),
        [(entry(1, 0.0, 0).address, 5.0, 1)]
    );
}
