//! A store and its model, driven by a seed: writes, deletes, batches, expiry, syncs, maintenance,
//! reopening.

use super::model::{content_of, differing_keys, Model, ModelChange, ModelValue};
use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Batch, Error, MaintenanceStatus, Options, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Options with small segments, so that short tests reach sealing and compaction.
pub fn small_segment_options() -> Options {
    Options {
        segment_bytes: 4_096,
        max_total_bytes: None,
        min_compressed_value_bytes: Some(64),
        seed: 3,
    }
}

/// Drives a store with random operations and compares it with a model.
pub struct StoreDriver {
    pub disk: SimulatedFolder,
    pub store: Option<Store<SimulatedFolder>>,
    random: SmallRng,
    pub now: u64,
    /// The content that was synced successfully.
    acknowledged: Model,
    /// The batches that were written after that, in their order.
    unsynced: Vec<Vec<ModelChange>>,
    value_count: u32,
}

impl StoreDriver {
    pub fn new(seed: u64) -> Self {
        Self::with_disk(SimulatedFolder::default(), seed)
    }

    pub fn with_disk(disk: SimulatedFolder, seed: u64) -> Self {
        Self {
            disk,
            store: None,
            random: SmallRng::seed_from_u64(seed),
            now: 1_000,
            acknowledged: Model::default(),
            unsynced: Vec::new(),
            value_count: 0,
        }
    }

    /// Opens the store and checks that it holds what was acknowledged and the first of the unsynced
    /// batches, completely.
    pub fn open(&mut self) -> Result<(), Error> {
        let (store, report) = Store::open(self.disk.clone(), small_segment_options())?;
        assert!(
            report.damaged_ranges.is_empty() && report.quarantined.is_empty(),
            "{report}"
        );
        let content = content_of(&store, self.now)?;
        let mut expected = self.acknowledged.clone();
        let mut applied_batches = 0;
        while expected.live_content(self.now) != content {
            let Some(batch) = self.unsynced.get(applied_batches) else {
                let acknowledged = self.acknowledged.live_content(self.now);
                let keys = differing_keys(&acknowledged, &content);
                panic!(
                    "the content matches no state that a crash may leave: {} batches unsynced, \
                     {report}; {keys:?} differ",
                    self.unsynced.len()
                )
            };
            expected.apply(batch);
            applied_batches += 1;
        }
        // Opening synced the store: from here on its content is durable.
        self.acknowledged = expected;
        self.unsynced.clear();
        self.store = Some(store);
        Ok(())
    }

    /// Closes the store, which makes everything durable.
    pub fn close(&mut self) {
        self.store
            .take()
            .expect("the store is open")
            .close()
            .expect("nothing fails");
        self.acknowledge(self.unsynced.len());
    }

    /// Does one random operation.
    pub fn step(&mut self) -> Result<(), Error> {
        let Some(mut store) = self.store.take() else {
            return Ok(());
        };
        let result = self.step_on(&mut store);
        self.store = Some(store);
        result
    }

    fn step_on(&mut self, store: &mut Store<SimulatedFolder>) -> Result<(), Error> {
        match self.random.random_range(0..20) {
            0..=10 => self.write_random_batch(store)?,
            11..=13 => {
                store.sync()?;
                self.acknowledge(self.unsynced.len());
            }
            14 => {
                let synced = self.unsynced.len();
                if let Some(mut pending_sync) = store.begin_sync()? {
                    pending_sync.run();
                    store.complete_sync(pending_sync)?;
                }
                self.acknowledge(synced);
            }
            15..=18 => self.maintain(store)?,
            _ => self.now += 15,
        }
        Ok(())
    }

    fn write_random_batch(&mut self, store: &mut Store<SimulatedFolder>) -> Result<(), Error> {
        let mut batch = Batch::default();
        let mut changes = Vec::new();
        for _ in 0..[1, 1, 1, 2, 5][self.random.random_range(0..5)] {
            let key = self.random_key();
            if self.random.random_range(0..4) == 0 {
                batch.add_delete(&key);
                changes.push(ModelChange { key, value: None });
            } else {
                let value = self.random_value();
                let expiry = (self.random.random_range(0..5) == 0).then(|| self.now + 40);
                batch.add_put(&key, &value, expiry);
                let expiry = expiry.unwrap_or(0);
                let value = Some(ModelValue { value, expiry });
                changes.push(ModelChange { key, value });
            }
        }
        self.unsynced.push(changes);
        let last = self.unsynced.len() - 1;
        if let Err(error) = store.write(batch) {
            if store.write_fault().is_none() {
                // The write was undone as a whole.
                self.unsynced.truncate(last);
            }
            return Err(error);
        }
        Ok(())
    }

    fn random_key(&mut self) -> Vec<u8> {
        format!("key{}", self.random.random_range(0..24)).into_bytes()
    }

    /// A value that no earlier one equals: otherwise two states that differ only in when they
    /// expire would look alike.
    fn random_value(&mut self) -> Vec<u8> {
        let size = [4, 10, 60, 300][self.random.random_range(0..4)];
        let letter: u8 = self.random.random();
        let mut value = vec![letter; size];
        if self.random.random() {
            self.random.fill(&mut value[..]);
        }
        self.value_count += 1;
        value[..4].copy_from_slice(&self.value_count.to_le_bytes());
        value
    }

    fn maintain(&mut self, store: &mut Store<SimulatedFolder>) -> Result<(), Error> {
        for _ in 0..self.random.random_range(1..6) {
            let budget = self.random.random_range(1..2_000);
            if store.run_maintenance_step(self.now, budget)? == MaintenanceStatus::Idle {
                break;
            }
        }
        Ok(())
    }

    /// Counts the first `count` unsynced batches as acknowledged.
    fn acknowledge(&mut self, count: usize) {
        for batch in self.unsynced.drain(..count) {
            self.acknowledged.apply(&batch);
        }
    }

    /// Checks that a reader sees everything that was written, unless the store is poisoned.
    pub fn check(&self) {
        if let Some(store) = self
            .store
            .as_ref()
            .filter(|store| store.write_fault().is_none())
        {
            let mut expected = self.acknowledged.clone();
            for batch in &self.unsynced {
                expected.apply(batch);
            }
            let actual = content_of(store, self.now).expect("the content is read");
            let expected = expected.live_content(self.now);
            let keys = differing_keys(&actual, &expected);
            assert!(
                keys.is_empty(),
                "{keys:?} differ at {}: {:?}",
                self.now,
                store.stats()
            );
        }
    }
}
