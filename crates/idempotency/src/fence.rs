//! Who owns a key. A range of keys moves from one owner to the next by a fence: from its epoch on
//! the old owner admits no new key of the range, and the new one does only after it has imported
//! the cached results. No I/O, no clock.

use crate::record::ScopedKey;
use serde::{Deserialize, Serialize};

/// A range of scoped keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key; hex digits in JSON.
    #[serde(rename = "from", with = "crate::hex")]
    pub start: Vec<u8>,
    /// The first key beyond the range; empty where it has no end.
    #[serde(rename = "to", with = "crate::hex")]
    pub end: Vec<u8>,
}

impl KeyRange {
    /// Returns the range of all keys.
    #[must_use]
    pub fn all() -> Self {
        Self {
            start: Vec::new(),
            end: Vec::new(),
        }
    }

    /// Returns the range of all keys of one owner.
    #[must_use]
    pub fn of_owner(owner: u64) -> Self {
        let end = owner.checked_add(1).map(|next| next.to_be_bytes().to_vec());
        Self {
            start: owner.to_be_bytes().to_vec(),
            end: end.unwrap_or_default(),
        }
    }

    /// Returns whether a key is in the range.
    #[must_use]
    pub fn contains(&self, key: &ScopedKey) -> bool {
        let bytes = key.as_bytes();
        bytes >= &self.start[..] && (self.end.is_empty() || bytes < &self.end[..])
    }

    /// Returns whether a key may be in both ranges.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.ends_after(&other.start) && other.ends_after(&self.start)
    }

    fn ends_after(&self, key: &[u8]) -> bool {
        self.end.is_empty() || self.end[..] > *key
    }

    /// Returns whether every key of the range is in `other` as well.
    fn is_within(&self, other: &Self) -> bool {
        let ends_within = other.end.is_empty() || (!self.end.is_empty() && self.end <= other.end);
        self.start >= other.start && ends_within
    }
}

/// Who owns a range since an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The range.
    pub range: KeyRange,
    /// Rises with every move.
    pub epoch: u64,
    /// This store owns the range; otherwise the range has moved away.
    #[serde(rename = "here")]
    pub is_owned: bool,
}

/// The fences of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FenceTable(Vec<Fence>);

/// Why a fence can't be set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// A move of the same keys with this epoch or a later one is known.
    #[error("epoch {epoch} is not above {known}, that of a move that is known")]
    StaleEpoch {
        /// The epoch of the fence.
        epoch: u64,
        /// The epoch of the known move.
        known: u64,
    },
    /// The range overlaps another in part.
    #[error("the range cuts through that of the move of epoch {known}")]
    PartialOverlap {
        /// The epoch of the other range's move.
        known: u64,
    },
}

impl FenceTable {
    /// Returns whether a new key may be admitted here.
    #[must_use]
    pub fn owns(&self, key: &ScopedKey) -> bool {
        self.0
            .iter()
            .filter(|fence| fence.range.contains(key))
            .max_by_key(|fence| fence.epoch)
            .is_none_or(|newest| newest.is_owned)
    }

    /// Sets a fence. One of the same range with a lower epoch is replaced.
    ///
    /// # Errors
    /// Where a later move is known, as when an old file is imported again after its keys have moved
    /// on, or where the range overlaps another in part.
    pub fn set(&mut self, fence: Fence) -> Result<(), FenceError> {
        for known in &self.0 {
            if known.range.overlaps(&fence.range) {
                check_move(known, &fence)?;
            }
        }
        self.0.retain(|known| known.range != fence.range);
        self.0.push(fence);
        Ok(())
    }

    /// Returns all fences.
    #[must_use]
    pub fn as_slice(&self) -> &[Fence] {
        &self.0
    }
}

/// Checks a fence against a known one of an overlapping range.
fn check_move(known: &Fence, fence: &Fence) -> Result<(), FenceError> {
    if known.epoch >= fence.epoch {
        return Err(FenceError::StaleEpoch {
            epoch: fence.epoch,
            known: known.epoch,
        });
    }
    if !fence.range.is_within(&known.range) && !known.range.is_within(&fence.range) {
        return Err(FenceError::PartialOverlap { known: known.epoch });
    }
    Ok(())
}
