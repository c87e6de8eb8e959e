//! Earned standing in an embedded store, so that who is known before a restart is known after it. What is written is worth
//! little each time, and is lost in a crash for the last second; whoever owns this decides on which thread it runs.

use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::{Batch, Error, RecoveryReport, Store};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv6Addr};

/// Bytes of maintenance at a time.
const PIECE: usize = 65_536;
/// Entries written at a time.
const BATCH: usize = 1_000;

/// What an address has earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// Whose it is.
    pub address: IpAddr,
    /// Its points.
    pub points: f64,
    /// When that was what it had.
    pub at: Micros,
    /// Until when that is worth keeping.
    pub until: Micros,
}

impl Entry {
    /// As it stands in a store: the address as one of IPv6, the points and their time.
    fn encode(&self) -> ([u8; 16], [u8; 16]) {
        let key = match self.address {
            IpAddr::V4(four) => four.to_ipv6_mapped().octets(),
            IpAddr::V6(six) => six.octets(),
        };
        let mut value = [0; 16];
        value[..8].copy_from_slice(&self.points.to_be_bytes());
        value[8..].copy_from_slice(&self.at.to_be_bytes());
        (key, value)
    }

    fn decode(key: &[u8], value: &[u8]) -> Option<Self> {
        let address = IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(key).ok()?)).to_canonical();
        let (points, at) = value.split_first_chunk()?;
        let (points, at) = (
            f64::from_be_bytes(*points),
            u64::from_be_bytes(at.try_into().ok()?),
        );
        (points.is_finite() && points > 0.0).then_some(Self {
            address,
            points,
            at,
            until: 0,
        })
    }
}

/// The store, what waits to be written, and whether it is well.
pub struct Book<F: FileSystem> {
    store: Option<Store<F>>,
    waits: BTreeMap<IpAddr, Entry>,
    /// Addresses that may wait, or are read.
    most: usize,
    told: bool,
    well: bool,
}

impl<F: FileSystem> Book<F> {
    /// One for so many addresses, that is to be opened.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            store: None,
            waits: BTreeMap::new(),
            most,
            told: false,
            well: true,
        }
    }

    /// It is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.store.is_some()
    }

    /// Takes up a store that was opened, or not; a failure is told once. Returns what the first one holds, the greatest
    /// first.
    pub fn open(
        &mut self,
        opened: Result<(Store<F>, RecoveryReport), Error>,
        now: Micros,
    ) -> Option<Vec<Entry>> {
        let (store, found) = match opened {
            Ok(opened) => opened,
            // The process whose place this one takes has it.
            Err(Error::Locked) => return None,
            Err(e) => {
                self.fail(&e);
                return None;
            }
        };
        if !found.damaged_ranges.is_empty() || !found.quarantined.is_empty() {
            tracing::error!("standing: the store was damaged: {found}");
        }
        let mut entries = Vec::new();
        if !std::mem::replace(&mut self.told, true) {
            let read = store.for_each_by_sequence(now, |_, key, value| {
                entries.extend(Entry::decode(key, value));
                true
            });
            if let Err(e) = read {
                tracing::error!("standing: what was kept can't be read whole: {e}");
            }
            entries.sort_by(|a, b| {
                b.points
                    .total_cmp(&a.points)
                    .then(a.address.cmp(&b.address))
            });
            entries.truncate(self.most);
            tracing::info!("standing: {} callers are remembered", entries.len());
        }
        if !std::mem::replace(&mut self.well, true) {
            tracing::info!("standing: the store takes writes again");
        }
        self.store = Some(store);
        Some(entries)
    }

    fn fail(&mut self, e: &Error) {
        self.store = None;
        if std::mem::replace(&mut self.well, false) {
            tracing::error!("standing: nothing can be kept for now: {e}");
        }
    }

    /// To be written; what an address had before is not any more. Beyond as many as are remembered, nothing more waits.
    pub fn add(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.waits.len() < self.most || self.waits.contains_key(&entry.address) {
                self.waits.insert(entry.address, entry);
            }
        }
    }

    /// Writes what waits with one sync, and does a piece of maintenance; true where there is more of that.
    pub fn work(&mut self, now: Micros) -> bool {
        let Some(store) = &mut self.store else {
            return false;
        };
        let waits: Vec<_> = self.waits.values().collect();
        let mut written = Ok(());
        for entries in waits.chunks(BATCH) {
            let mut batch = Batch::default();
            for entry in entries {
                let (key, value) = entry.encode();
                batch.add_put(&key, &value, Some(entry.until));
            }
            written = written.and_then(|()| store.write(batch).map(|_| ()));
        }
        if !waits.is_empty() {
            written = written.and_then(|()| store.sync());
        }
        match written.and_then(|()| store.run_maintenance_step(now, PIECE)) {
            Ok(work) => {
                self.waits.clear();
                work == cleatpulley_log_store::MaintenanceStatus::MoreToDo
            }
            Err(e) => {
                self.fail(&e);
                false
            }
        }
    }

    /// Writes what waits and closes the store well.
    pub fn close(&mut self, now: Micros) {
        self.work(now);
        if let Some(Err(e)) = self.store.take().map(Store::close) {
            tracing::error!("standing: the store could not be closed well: {e}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cleatpulley_log_store::simulated_folder::{Fault, SimulatedFolder};
    use cleatpulley_log_store::Options;

    const SECOND: Micros = 1_000_000;

    fn entry(n: u32, points: f64, at: Micros) -> Entry {
        let address = IpAddr::V4(std::net::Ipv4Addr::from(0x0A00_0000 + n));
        Entry {
            address,
            points,
            at,
            until: at + 100 * SECOND,
        }
    }

    fn opened(
        disk: &SimulatedFolder,
        most: usize,
        now: Micros,
    ) -> (Book<SimulatedFolder>, Vec<Entry>) {
        let mut book = Book::new(most);
        disk.release_lock();
        let options = Options {
            segment_bytes: 4_096,
            ..Options::default()
        };
        let entries = book.open(Store::open(disk.clone(), options), now);
        (book, entries.expect("it opens"))
    }

    fn read(disk: &SimulatedFolder, now: Micros) -> Vec<(IpAddr, f64, Micros)> {
        opened(disk, 1_000, now)
            .1
            .into_iter()
            .map(|e| (e.address, e.points, e.at))
            .collect()
    }

    #[test]
    fn what_was_written_comes_back_after_a_crash_the_latest_of_each_and_the_greatest_first() {
        let disk = SimulatedFolder::default();
        let (mut book, none) = opened(&disk, 1_000, 1);
        assert!(none.is_empty());
        book.add(vec![entry(1, 5.0, 1), entry(2, 9.0, 1)]);
        book.work(1);
        book.add(vec![entry(1, 12.0, 2)]);
        book.add(vec![entry(1, 11.0, 3)]);
        book.work(3);
        book.add(vec![entry(3, 99.0, 4)]);
        let disk = disk.after_crash(7);
        let six = Entry {
            address: "2001:db8::1".parse().expect("an address"),
            ..entry(0, 10.0, 5)
        };
        let expected = [
            (entry(1, 0.0, 0).address, 11.0, 3),
            (entry(2, 0.0, 0).address, 9.0, 1),
        ];
        assert_eq!(read(&disk, 5), expected, "what waited is lost");
        let (mut book, _) = opened(&disk, 1_000, 5);
        book.add(vec![six]);
        book.close(5);
        assert_eq!(read(&disk, 6)[1], (six.address, 10.0, 5));
        assert_eq!(
            read(&disk, 200 * SECOND),
            [],
            "and none is kept for longer than it is worth"
        );
    }

    #[test]
    fn as_many_as_are_remembered_wait_or_are_read() {
        let disk = SimulatedFolder::default();
        let (mut book, _) = opened(&disk, 1_000, 1);
        book.add((0..1_000).map(|n| entry(n, f64::from(n + 1), 1)).collect());
        book.close(1);
        let (mut book, entries) = opened(&disk, 10, 1);
        assert_eq!(entries.len(), 10);
        assert!(
            entries.iter().all(|entry| entry.points > 990.0),
            "the greatest"
        );
        book.add((0..1_000).map(|n| entry(n, 1.0, 1)).collect());
        assert_eq!(book.waits.len(), 10);
    }

    /// Guards against a failing disk that would be written to without end, or that takes what is known away.
    #[test]
    fn a_disk_that_fails_is_told_once_and_used_again_once_it_is_well() {
        let disk = SimulatedFolder::default();
        let (mut book, _) = opened(&disk, 1_000, 1);
        let faults: Vec<_> = (0..8).map(Fault::FailOnce).collect();
        disk.set_faults(&faults);
        book.add(vec![entry(1, 5.0, 1)]);
        assert!(!book.work(1) && !book.is_open(), "it has failed");
        assert!(
            !book.work(2),
            "and nothing is done until it is opened again"
        );
        book.add(vec![entry(2, 6.0, 2)]);
        disk.set_faults(&[]);
        disk.release_lock();
        assert_eq!(
            book.open(Store::open(disk.clone(), Options::default()), 3),
            Some(Vec::new()),
            "told once"
        );
        book.close(3);
        assert_eq!(read(&disk, 4).len(), 2, "what waited was written");
    }

    #[test]
    fn what_is_no_entry_is_passed_over() {
        let disk = SimulatedFolder::default();
        let (mut store, _) = Store::open(disk.clone(), Options::default()).expect("it opens");
        let good = entry(1, 5.0, 1).encode();
        let batch = Batch::default()
            .put(&good.0, &good.1, None)
            .put(b"another key", &good.1, None)
            .put(&[7; 16], &good.1[..15], None)
            .put(&[8; 16], &f64::NAN.to_be_bytes().repeat(2), None);
        store
            .write(batch)
            .and_then(|_| store.sync())
            .expect("it is written");
        store.close().expect("it closes");
        assert_eq!(read(&disk, 2), [(entry(1, 0.0, 0).address, 5.0, 1)]);
    }
}
