//! The model: a plain map that a store is compared with.

use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Error, Store};
use std::collections::{BTreeMap, BTreeSet};

/// Keys with their values.
pub type Content = BTreeMap<Vec<u8>, Vec<u8>>;

/// A value and when it expires.
#[derive(Clone)]
pub struct ModelValue {
    pub value: Vec<u8>,
    /// Expiry time; 0 for never.
    pub expiry: u64,
}

/// A change of one key.
pub struct ModelChange {
    pub key: Vec<u8>,
    /// The new value, or `None` to delete the key.
    pub value: Option<ModelValue>,
}

/// All keys that have a value, including expired ones.
#[derive(Clone, Default)]
pub struct Model {
    values: BTreeMap<Vec<u8>, ModelValue>,
}

impl Model {
    pub fn apply(&mut self, batch: &[ModelChange]) {
        for change in batch {
            match &change.value {
                Some(value) => self.values.insert(change.key.clone(), value.clone()),
                None => self.values.remove(&change.key),
            };
        }
    }

    /// The content that is not expired at `now`.
    pub fn live_content(&self, now: u64) -> Content {
        let live = self
            .values
            .iter()
            .filter(|(_, value)| value.expiry == 0 || value.expiry > now);
        live.map(|(key, value)| (key.clone(), value.value.clone()))
            .collect()
    }
}

/// Keys whose values differ, with the lengths of both values.
pub fn differing_keys(left: &Content, right: &Content) -> BTreeSet<String> {
    let keys = left
        .keys()
        .chain(right.keys())
        .filter(|key| left.get(*key) != right.get(*key));
    let describe = |key: &Vec<u8>| {
        let size = |content: &Content| content.get(key).map(Vec::len);
        format!("{} {:?}/{:?}", key.escape_ascii(), size(left), size(right))
    };
    keys.map(describe).collect()
}

/// The live content of a store, read both by sequence number and by key.
pub fn content_of(store: &Store<SimulatedFolder>, now: u64) -> Result<Content, Error> {
    let mut content = Content::new();
    let mut last = 0;
    store.for_each_by_sequence(now, |sequence, key, value| {
        assert!(sequence > last, "sequence numbers rise");
        last = sequence;
        assert!(
            content.insert(key.to_vec(), value.to_vec()).is_none(),
            "the key occurs once"
        );
        true
    })?;
    for (key, value) in &content {
        assert_eq!(store.get(now, key)?.as_ref(), Some(value));
    }
    Ok(content)
}
