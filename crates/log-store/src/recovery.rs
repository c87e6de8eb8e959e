//! Which records of a segment recovery retains. Decisions only, no I/O.
//!
//! A sealed segment was synced as a whole: every intact record in it is retained, whatever is
//! damaged between them. The newest segment may end in a torn tail that a crash left. Up to the
//! last position that is known to have been synced it is treated like a sealed one. After that
//! position, records are retained up to the first damage, and only those of complete batches.

use crate::format::RecordHeader;

#[cfg(test)]
mod tests;

/// A record as it was read from a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Header of the record.
    pub header: RecordHeader,
    /// Offset of the record in its segment, in bytes.
    pub offset: u64,
    /// Key of the record.
    pub key: Vec<u8>,
}

/// How far the end of a segment can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentTail {
    /// The whole segment was synced.
    Synced,
    /// The segment is the newest one and may end in what a crash left.
    PossiblyTorn,
}

/// A damaged range of the segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DamagedSpan {
    /// Offset in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u64,
}

/// The result for a whole segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentVerdict {
    /// Size in bytes to which the segment has to be truncated; its present size if there is no torn
    /// tail.
    pub valid_size: u64,
    /// The damaged ranges before that size.
    pub damage: Vec<DamagedSpan>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FilterState {
    /// The last record ended a batch, or there was none.
    BetweenBatches,
    /// A batch has begun and not ended; its next record has to have this sequence number.
    InBatch { next_sequence: u64 },
    /// There was damage, and it is not known whether what was damaged had ever been synced.
    AfterDamage,
}

/// Decides which records of one segment are retained. It is fed with the segment's records and
/// damaged ranges in order.
#[derive(Debug)]
pub struct RetentionFilter {
    tail: SegmentTail,
    state: FilterState,
    /// The records of the batch that has not ended yet.
    open_batch: Vec<RecoveredRecord>,
    /// The records after damage: retained only if a later record proves that they had been synced.
    after_damage: Vec<RecoveredRecord>,
    damage: Vec<DamagedSpan>,
    /// End of the records that are retained whatever follows.
    retained_end: u64,
    /// Everything before this offset is proven to have been synced.
    synced_end: u64,
}

impl RetentionFilter {
    /// Creates a filter for a segment whose records begin at `records_start`.
    #[must_use]
    pub fn new(tail: SegmentTail, records_start: u64) -> Self {
        Self {
            tail,
            state: FilterState::BetweenBatches,
            open_batch: Vec::new(),
            after_damage: Vec::new(),
            damage: Vec::new(),
            retained_end: records_start,
            synced_end: records_start,
        }
    }

    /// Everything before this offset is proven to be durable. What follows may exist only in the
    /// cache of the operating system, even after another sync, if an earlier sync failed.
    #[must_use]
    pub fn synced_end(&self) -> u64 {
        self.synced_end
    }

    /// Feeds the next intact record. Appends the records that are now known to be retained to
    /// `retained`.
    pub fn push_record(&mut self, record: RecoveredRecord, retained: &mut Vec<RecoveredRecord>) {
        if self.tail == SegmentTail::Synced {
            retained.push(record);
            return;
        }
        if record.header.follows_sync {
            self.confirm_synced(record.offset, retained);
        }
        if self.state == FilterState::AfterDamage {
            self.after_damage.push(record);
        } else if self.continues_batch(&record.header) {
            self.push_to_batch(record, retained);
        } else {
            // A batch without its beginning or its end: only a fault of the disk leaves that.
            self.enter_damage();
            self.after_damage.push(record);
        }
    }

    /// Everything before `offset` had been synced: every intact record there is retained
    /// individually.
    fn confirm_synced(&mut self, offset: u64, retained: &mut Vec<RecoveredRecord>) {
        retained.append(&mut self.open_batch);
        retained.append(&mut self.after_damage);
        self.state = FilterState::BetweenBatches;
        self.retained_end = offset;
        self.synced_end = offset;
    }

    fn continues_batch(&self, header: &RecordHeader) -> bool {
        match self.state {
            FilterState::BetweenBatches => header.starts_batch,
            FilterState::InBatch { next_sequence } => {
                !header.starts_batch && header.sequence == next_sequence
            }
            FilterState::AfterDamage => false,
        }
    }

    fn push_to_batch(&mut self, record: RecoveredRecord, retained: &mut Vec<RecoveredRecord>) {
        let header = record.header;
        let end = record.offset + header.size() as u64;
        self.open_batch.push(record);
        if header.ends_batch {
            retained.append(&mut self.open_batch);
            self.state = FilterState::BetweenBatches;
            self.retained_end = end;
        } else {
            self.state = FilterState::InBatch {
                next_sequence: header.sequence + 1,
            };
        }
    }

    fn enter_damage(&mut self) {
        self.state = FilterState::AfterDamage;
        self.after_damage.append(&mut self.open_batch);
    }

    /// Feeds the next damaged range.
    pub fn push_damage(&mut self, offset: u64, length: u64) {
        self.damage.push(DamagedSpan { offset, length });
        if self.tail == SegmentTail::PossiblyTorn && self.state != FilterState::AfterDamage {
            self.enter_damage();
        }
    }

    /// Ends the segment, whose present size is `size` bytes.
    #[must_use]
    pub fn finish(self, size: u64) -> SegmentVerdict {
        let valid_size = match self.state {
            FilterState::BetweenBatches => size,
            FilterState::InBatch { .. } | FilterState::AfterDamage => self.retained_end,
        };
        let damage = self.damage.into_iter();
        SegmentVerdict {
            valid_size,
            damage: damage.filter(|span| span.offset < valid_size).collect(),
        }
    }
}
