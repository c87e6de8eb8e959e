//! Persistence of reputation in an embedded store, so that clients known before a restart are known
//! after it.
//!
//! A crash may lose the entries enqueued since the last [`flush`](ReputationDatabase::flush), which
//! is acceptable because a single entry has little value. The caller decides on which thread this
//! runs.

use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::{Batch, Error, MaintenanceStatus, RecoveryReport, Store};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv6Addr};

/// Number of bytes that one maintenance step of the store processes.
const MAINTENANCE_STEP_BYTES: usize = 65_536;
/// Maximum number of entries written in one batch.
const MAX_BATCH_ENTRIES: usize = 1_000;
/// Length of a key: an IPv6 address, IPv4-mapped for IPv4.
const KEY_BYTES: usize = 16;
/// Length of a value: points and time, eight bytes each, big-endian.
const VALUE_BYTES: usize = 16;

/// The stored reputation of an address.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoredReputation {
    /// The address.
    pub address: IpAddr,
    /// Points of the address at `updated_at`.
    pub points: f64,
    /// Time at which the points were computed.
    pub updated_at: Micros,
    /// Time at which the entry expires in the store; 0 in an entry read from the store.
    pub expires_at: Micros,
}

/// The key and value of an entry in the store.
struct Record {
    key: [u8; KEY_BYTES],
    value: [u8; VALUE_BYTES],
}

impl StoredReputation {
    fn encode(&self) -> Record {
        let key = match self.address {
            IpAddr::V4(ipv4) => ipv4.to_ipv6_mapped().octets(),
            IpAddr::V6(ipv6) => ipv6.octets(),
        };
        let mut value = [0; VALUE_BYTES];
        value[..8].copy_from_slice(&self.points.to_be_bytes());
        value[8..].copy_from_slice(&self.updated_at.to_be_bytes());
        Record { key, value }
    }

    /// Decodes an entry. Returns `None` for an invalid record: another release may have written to
    /// the store.
    fn decode(key: &[u8], value: &[u8]) -> Option<Self> {
        let octets = <[u8; KEY_BYTES]>::try_from(key).ok()?;
        let address = IpAddr::V6(Ipv6Addr::from(octets)).to_canonical();
        let (points, updated_at) = value.split_first_chunk()?;
        let points = f64::from_be_bytes(*points);
        let updated_at = Micros::from_be_bytes(updated_at.try_into().ok()?);
        (points.is_finite() && points > 0.0).then_some(Self {
            address,
            points,
            updated_at,
            expires_at: 0,
        })
    }
}

/// Whether the store is writable. Only changes are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Healthy,
    Failed,
}

/// The store, and the entries that are pending to be written to it.
pub struct ReputationDatabase<F: FileSystem> {
    /// `None` until the store is opened, and after a failure.
    store: Option<Store<F>>,
    pending: BTreeMap<IpAddr, StoredReputation>,
    /// Maximum number of pending entries, and of loaded ones.
    max_addresses: usize,
    /// Whether the entries were loaded since the process started.
    has_loaded: bool,
    health: Health,
}

impl<F: FileSystem> ReputationDatabase<F> {
    /// Creates a database of at most `max_addresses` addresses. Its store must be
    /// [opened](Self::open) first.
    #[must_use]
    pub fn new(max_addresses: usize) -> Self {
        Self {
            store: None,
            pending: BTreeMap::new(),
            max_addresses,
            has_loaded: false,
            health: Health::Healthy,
        }
    }

    /// Returns whether the store is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.store.is_some()
    }

    /// Handles the result of opening the store; a failure is logged once. Returns the stored
    /// entries, sorted by descending points, when the store opens for the first time, an empty list
    /// when it opens again, and `None` if it did not open.
    pub fn open(
        &mut self,
        open_result: Result<(Store<F>, RecoveryReport), Error>,
        now: Micros,
    ) -> Option<Vec<StoredReputation>> {
        let (store, report) = match open_result {
            Ok(success) => success,
            // During a hot restart the predecessor still has the store open.
            Err(Error::Locked) => return None,
            Err(error) => {
                self.on_failure(&error);
                return None;
            }
        };
        if !report.damaged_ranges.is_empty() || !report.quarantined.is_empty() {
            tracing::error!("reputation: the store was damaged: {report}");
        }
        let entries = if self.has_loaded {
            Vec::new()
        } else {
            self.load(&store, now)
        };
        self.on_success();
        self.store = Some(store);
        Some(entries)
    }

    fn load(&mut self, store: &Store<F>, now: Micros) -> Vec<StoredReputation> {
        self.has_loaded = true;
        let mut entries = Vec::new();
        let result = store.for_each_by_sequence(now, |_, key, value| {
            entries.extend(StoredReputation::decode(key, value));
            true
        });
        if let Err(error) = result {
            tracing::error!("reputation: not all stored entries can be read: {error}");
        }
        entries.sort_by(|a, b| {
            let by_points = b.points.total_cmp(&a.points);
            by_points.then(a.address.cmp(&b.address))
        });
        entries.truncate(self.max_addresses);
        tracing::info!("reputation: {} addresses loaded", entries.len());
        entries
    }

    fn on_success(&mut self) {
        if self.health == Health::Failed {
            tracing::info!("reputation: the store can be written to again");
        }
        self.health = Health::Healthy;
    }

    fn on_failure(&mut self, error: &Error) {
        self.store = None;
        if self.health == Health::Healthy {
            tracing::error!("reputation: the store has failed, nothing is stored: {error}");
        }
        self.health = Health::Failed;
    }

    /// Enqueues entries to be written. An entry replaces a pending one of the same address; entries
    /// of other addresses are dropped while the maximum number is pending.
    pub fn enqueue(&mut self, entries: Vec<StoredReputation>) {
        for entry in entries {
            let has_room = self.pending.len() < self.max_addresses;
            if has_room || self.pending.contains_key(&entry.address) {
                self.pending.insert(entry.address, entry);
            }
        }
    }

    /// Writes the pending entries with one sync, and runs a maintenance step of the store. Returns
    /// whether more maintenance is due. A failure is logged once and closes the store.
    pub fn flush(&mut self, now: Micros) -> bool {
        match self.try_flush(now) {
            Ok(MaintenanceStatus::MoreToDo) => true,
            Ok(MaintenanceStatus::Idle) => false,
            Err(error) => {
                self.on_failure(&error);
                false
            }
        }
    }

    fn try_flush(&mut self, now: Micros) -> Result<MaintenanceStatus, Error> {
        let Some(store) = &mut self.store else {
            return Ok(MaintenanceStatus::Idle);
        };
        let entries: Vec<_> = self.pending.values().collect();
        for chunk in entries.chunks(MAX_BATCH_ENTRIES) {
            let mut batch = Batch::default();
            for entry in chunk {
                let Record { key, value } = entry.encode();
                batch.add_put(&key, &value, Some(entry.expires_at));
            }
            store.write(batch)?;
        }
        if !entries.is_empty() {
            store.sync()?;
        }
        let status = store.run_maintenance_step(now, MAINTENANCE_STEP_BYTES)?;
        self.pending.clear();
        Ok(status)
    }

    /// Writes the pending entries, and closes the store.
    pub fn close(&mut self, now: Micros) {
        self.flush(now);
        if let Some(Err(error)) = self.store.take().map(Store::close) {
            tracing::error!("reputation: the store could not be closed: {error}");
        }
    }
}

#[cfg(test)]
mod tests;
