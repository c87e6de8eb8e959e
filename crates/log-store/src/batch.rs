//! Write batches.

/// One change of a batch.
#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub key: Vec<u8>,
    /// The new value, or `None` to delete the key.
    pub value: Option<Vec<u8>>,
    /// Expiry time in microseconds; 0 for never.
    pub expiry: u64,
}

/// Changes that take effect atomically: after a crash either all of them are there or none.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    pub(crate) changes: Vec<Change>,
}

impl Batch {
    /// Adds a put. The value expires at the time `expiry`, in microseconds.
    #[must_use]
    pub fn put(mut self, key: &[u8], value: &[u8], expiry: Option<u64>) -> Self {
        self.add_put(key, value, expiry);
        self
    }

    /// Adds a delete.
    #[must_use]
    pub fn delete(mut self, key: &[u8]) -> Self {
        self.add_delete(key);
        self
    }

    /// Adds a put in place. The value expires at the time `expiry`, in microseconds.
    pub fn add_put(&mut self, key: &[u8], value: &[u8], expiry: Option<u64>) {
        // 0 is stored for "never", so that an expiry time of 0 becomes 1: long ago as well.
        let expiry = expiry.map_or(0, |time| time.max(1));
        self.changes.push(Change {
            key: key.to_vec(),
            value: Some(value.to_vec()),
            expiry,
        });
    }

    /// Adds a delete in place.
    pub fn add_delete(&mut self, key: &[u8]) {
        self.changes.push(Change {
            key: key.to_vec(),
            value: None,
            expiry: 0,
        });
    }

    /// Number of changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}
