//! Ownership of key ranges. A fence moves a range of keys from one store to another: from its epoch
//! on, the old owner admits no new key of the range, and the new owner admits them only after it
//! has imported the cached results. No I/O and no clock.

use crate::record::ScopedKey;
use serde::{Deserialize, Serialize};

/// A range of scoped keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// Start of the range, inclusive; hexadecimal digits in JSON.
    #[serde(rename = "from", with = "crate::hex")]
    pub start: Vec<u8>,
    /// End of the range, exclusive; empty if the range has no end.
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

    /// Returns the range of all keys of one owner (a caller or tenant).
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

    /// Returns whether the ranges overlap, so that a key may be in both.
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

/// Ownership of a range from an epoch on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The range of keys that moves.
    pub range: KeyRange,
    /// Epoch of the move; it increases with every move of the same keys.
    pub epoch: u64,
    /// Whether this store owns the range; if not, the range has moved to another store.
    #[serde(rename = "here")]
    pub is_owned: bool,
}

/// The fences of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FenceTable(Vec<Fence>);

/// The reason why a fence can't be set.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// A move of the same keys is known whose epoch is the same or later.
    #[error("epoch {epoch} is not above {known}, the epoch of a known move of these keys")]
    StaleEpoch {
        /// Epoch of the fence to be set.
        epoch: u64,
        /// Epoch of the known move.
        known: u64,
    },
    /// The range overlaps the range of another fence only in part.
    #[error("the range partially overlaps the range moved at epoch {known}")]
    PartialOverlap {
        /// Epoch of the other fence.
        known: u64,
    },
}

impl FenceTable {
    /// Returns whether this store may admit a new key. The fence with the highest epoch decides; a
    /// key in no fenced range is owned here.
    #[must_use]
    pub fn owns(&self, key: &ScopedKey) -> bool {
        self.0
            .iter()
            .filter(|fence| fence.range.contains(key))
            .max_by_key(|fence| fence.epoch)
            .is_none_or(|newest| newest.is_owned)
    }

    /// Sets a fence. It replaces a fence of the same range with a lower epoch.
    ///
    /// # Errors
    /// If a move with the same or a later epoch is known (for example, when an old export is
    /// imported again after its keys have moved on), or if the range overlaps another in part.
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

/// Checks a new fence against a known fence of an overlapping range.
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
