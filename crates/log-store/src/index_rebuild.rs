//! Building the index at opening from all records that recovery retained.

use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{RecordKind, RECORD_HEADER_BYTES};
use crate::index::{fingerprint, Index, RecordLocation};
use crate::segment::Segment;

/// A retained put or tombstone. It determines the value of its key if no other one with that key is
/// newer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndexCandidate {
    pub sequence: u64,
    pub location: RecordLocation,
    pub fingerprint: u32,
    /// Size of the record in bytes.
    pub size: u32,
    pub key_len: u16,
    pub is_put: bool,
}

/// A retained record, read from a segment or from its hint file.
pub(crate) struct RetainedRecord<'a> {
    pub kind: RecordKind,
    pub sequence: u64,
    pub location: RecordLocation,
    /// Size of the record in bytes.
    pub size: usize,
    pub key: &'a [u8],
}

impl IndexCandidate {
    /// Accounts for a retained record in its segment's usage. Returns it as a candidate if it is a
    /// put or a tombstone.
    pub(crate) fn account(segment: &mut Segment, record: &RetainedRecord<'_>) -> Option<Self> {
        let is_put = match record.kind {
            RecordKind::Put => true,
            RecordKind::Tombstone => {
                segment.usage.tombstone_bytes += record.size as u64;
                false
            }
            RecordKind::Replaces | RecordKind::SyncMark => return None,
        };
        segment.usage.include_sequence(record.sequence);
        Some(Self {
            sequence: record.sequence,
            location: record.location,
            fingerprint: fingerprint(record.key),
            size: record.size as u32,
            key_len: record.key.len() as u16,
            is_put,
        })
    }
}

/// The newest candidate of a key.
struct NewestOfKey {
    key: Vec<u8>,
    candidate: IndexCandidate,
}

/// Bits of a sort key that hold the position of a candidate; its fingerprint is above them.
const POSITION_BITS: u32 = 32;

impl<F: FileSystem> Engine<F> {
    /// Builds the index from the newest candidate of each key, and accounts for live bytes. Keys
    /// are read from the disk and compared only where fingerprints are equal.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn rebuild_index(&mut self, candidates: &[IndexCandidate]) -> Result<(), Error> {
        let sort_keys = sort_by_fingerprint(candidates);
        let candidate_at = |sort_key: u64| candidates[sort_key as u32 as usize];
        let mut entries = Vec::with_capacity(candidates.len());
        for group in sort_keys.chunk_by(|first, second| has_same_fingerprint(*first, *second)) {
            if let [only] = group {
                self.add_entry(&candidate_at(*only), &mut entries);
                continue;
            }
            let group = group.iter().map(|sort_key| candidate_at(*sort_key));
            for newest in self.newest_of_each_key(group)? {
                self.add_entry(&newest.candidate, &mut entries);
            }
        }
        self.index = Index::build(&entries);
        Ok(())
    }

    fn add_entry(&mut self, candidate: &IndexCandidate, entries: &mut Vec<(u32, RecordLocation)>) {
        if candidate.is_put {
            entries.push((candidate.fingerprint, candidate.location));
            self.add_live_bytes(candidate.location.segment, candidate.size as usize);
        }
    }

    fn newest_of_each_key(
        &self,
        candidates: impl Iterator<Item = IndexCandidate>,
    ) -> Result<Vec<NewestOfKey>, Error> {
        let mut newest: Vec<NewestOfKey> = Vec::new();
        for candidate in candidates {
            let key = self.read_key(&candidate)?;
            match newest.iter_mut().find(|other| other.key == key) {
                Some(other) if other.candidate.sequence >= candidate.sequence => {}
                Some(other) => other.candidate = candidate,
                None => newest.push(NewestOfKey { key, candidate }),
            }
        }
        Ok(newest)
    }

    /// Reads the key of a record. Bytes that are missing from the file are missing from the key.
    fn read_key(&self, candidate: &IndexCandidate) -> Result<Vec<u8>, Error> {
        let Some(segment) = self.segments.get(candidate.location.segment) else {
            return Ok(Vec::new());
        };
        let offset = u64::from(candidate.location.offset);
        let length = RECORD_HEADER_BYTES + usize::from(candidate.key_len);
        let mut bytes = segment.read(&self.files, offset, length)?;
        bytes.drain(..RECORD_HEADER_BYTES.min(bytes.len()));
        Ok(bytes)
    }
}

/// Fingerprint and position of each candidate in one number, sorted. Plain numbers sort several
/// times as fast as the candidates themselves.
fn sort_by_fingerprint(candidates: &[IndexCandidate]) -> Vec<u64> {
    let mut sort_keys: Vec<u64> = candidates
        .iter()
        .enumerate()
        .map(|(position, candidate)| {
            u64::from(candidate.fingerprint) << POSITION_BITS | position as u64
        })
        .collect();
    sort_keys.sort_unstable();
    sort_keys
}

fn has_same_fingerprint(first: u64, second: u64) -> bool {
    first >> POSITION_BITS == second >> POSITION_BITS
}
