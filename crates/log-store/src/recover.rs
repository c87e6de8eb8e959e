//! What to believe of a segment's records, and what was found. Decisions alone, without I/O.
//!
//! A sealed segment was synced whole: each good record counts, whatever is damaged beside it. The newest one may end
//! in what a crash left: up to the last place that is known to have been synced it is treated the same way, and from
//! there on up to the first damage, and no batch counts that is not whole.

use crate::format::RecordHead;
use std::fmt;

/// What recovery found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Found {
    /// Segments that were opened.
    pub segments: usize,
    /// Of these, those whose records came from a hint.
    pub hinted: usize,
    /// Whole records that were read.
    pub records: u64,
    /// Keys that have a value.
    pub keys: u64,
    /// Bytes that a crash left at the end of the newest segment, and that were cut.
    pub torn: u64,
    /// Damage inside segments: file, offset and bytes.
    pub damaged: Vec<(String, u64, u64)>,
    /// Files that could not be read at all and were set aside under another name.
    pub quarantined: Vec<String>,
    /// Files that were left over from something unfinished and removed.
    pub leftovers: usize,
}

/// Damage beyond this many places is counted and not listed: memory stays bounded.
pub const LISTED: usize = 1_000;

impl Found {
    /// Notes damage; places that touch become one.
    pub fn damage(&mut self, file: &str, offset: u64, bytes: u64) {
        if let Some(last) = self.damaged.last_mut() {
            if last.0 == file && last.1 + last.2 == offset {
                last.2 += bytes;
                return;
            }
        }
        if self.damaged.len() < LISTED {
            self.damaged.push((file.to_owned(), offset, bytes));
        }
    }
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} keys in {} segments ({} by hints), {} records read",
            self.keys, self.segments, self.hinted, self.records
        )?;
        if self.torn > 0 {
            write!(f, "; a torn end of {} bytes was cut", self.torn)?;
        }
        if self.leftovers > 0 {
            write!(f, "; {} unfinished files were removed", self.leftovers)?;
        }
        for (file, offset, bytes) in &self.damaged {
            write!(f, "; {file}: {bytes} bytes at {offset} are damaged")?;
        }
        for file in &self.quarantined {
            write!(f, "; {file}: can't be read, set aside")?;
        }
        Ok(())
    }
}

/// A record that counts, if nothing newer has its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kept {
    /// Its header.
    pub head: RecordHead,
    /// Its offset.
    pub offset: u64,
    /// Its key.
    pub key: Vec<u8>,
}

/// Takes the records of one segment in their order.
#[derive(Debug)]
pub struct Judge {
    /// It may end in what a crash left.
    newest: bool,
    /// Records that wait for the end of their batch or for proof that they were synced.
    waiting: Vec<Kept>,
    /// Sequence number that the next record of an open batch has.
    open: Option<u64>,
    /// Up to here all is whole and believed, or known to have been synced.
    good: u64,
    /// The first damage, where it is not known whether what it hit was ever synced.
    doubt: Option<u64>,
    /// Records after that damage: they count only if what lies before them turns out to have been synced.
    after: Vec<Kept>,
    damage: Vec<(u64, u64)>,
    /// All before this offset was durable when the record there was written.
    proven: u64,
}

impl Judge {
    /// For a segment whose records begin at this offset.
    #[must_use]
    pub fn new(newest: bool, begin: u64) -> Self {
        Self {
            newest,
            waiting: Vec::new(),
            open: None,
            good: begin,
            doubt: None,
            after: Vec::new(),
            damage: Vec::new(),
            proven: begin,
        }
    }

    /// All before this offset is known to be durable; what lies after it may be known to the system's cache alone, also
    /// after another sync, where an earlier one failed.
    #[must_use]
    pub fn proven(&self) -> u64 {
        self.proven
    }

    /// Takes a good record; appends to `kept` what counts now.
    pub fn record(&mut self, record: Kept, kept: &mut Vec<Kept>) {
        let (head, offset) = (record.head, record.offset);
        let end = offset + head.size() as u64;
        if !self.newest {
            kept.push(record);
            self.good = end;
            return;
        }
        if head.synced {
            // Everything before it was durable: each good record there counts by itself.
            kept.append(&mut self.waiting);
            kept.append(&mut self.after);
            self.doubt = None;
            self.open = None;
            self.good = offset;
            self.proven = offset;
        }
        if self.doubt.is_some() {
            self.after.push(record);
            return;
        }
        let follows = if head.first {
            self.open.is_none()
        } else {
            self.open == Some(head.seq)
        };
        if !follows {
            // A batch without its begin or its end: only a fault of the disk leaves that.
            self.doubt = Some(self.good);
            self.after.append(&mut self.waiting);
            self.after.push(record);
            return;
        }
        self.waiting.push(record);
        if head.last {
            kept.append(&mut self.waiting);
            self.open = None;
            self.good = end;
        } else {
            self.open = Some(head.seq + 1);
        }
    }

    /// Takes note of damage.
    pub fn damage(&mut self, offset: u64, bytes: u64) {
        self.damage.push((offset, bytes));
        if self.newest && self.doubt.is_none() {
            self.doubt = Some(self.good);
            self.after.append(&mut self.waiting);
            self.open = None;
        }
    }

    /// The segment is over: where it is to be cut, and the damage before that place.
    #[must_use]
    pub fn end(self, size: u64) -> (u64, Vec<(u64, u64)>) {
        let cut = if self.newest && (self.doubt.is_some() || !self.waiting.is_empty()) {
            self.good
        } else {
            size
        };
        let inside = self
            .damage
            .into_iter()
            .filter(|(offset, _)| *offset < cut)
            .collect();
        (cut, inside)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::format::Kind;

    fn kept(seq: u64, first: bool, last: bool, synced: bool) -> Kept {
        let head = RecordHead {
            kind: Kind::Put,
            first,
            last,
            compressed: false,
            synced,
            key_len: 0,
            value_len: 64,
            expiry: 0,
            seq,
            sum: 0,
        };
        Kept {
            head,
            offset: 100 * seq,
            key: Vec::new(),
        }
    }

    /// Records 1 up, one letter each: `s` single, `S` single after a sync, `f` first, `m` middle, `l` last, `x` damage.
    fn judge(newest: bool, text: &str) -> (Vec<u64>, u64) {
        let mut judge = Judge::new(newest, 100);
        let mut out = Vec::new();
        for (i, letter) in text.chars().enumerate() {
            let seq = i as u64 + 1;
            match letter {
                'x' => judge.damage(100 * seq, 100),
                's' => judge.record(kept(seq, true, true, false), &mut out),
                'S' => judge.record(kept(seq, true, true, true), &mut out),
                'f' => judge.record(kept(seq, true, false, false), &mut out),
                'm' => judge.record(kept(seq, false, false, false), &mut out),
                _ => judge.record(kept(seq, false, true, false), &mut out),
            }
        }
        let (cut, _) = judge.end(100 * (text.len() as u64 + 1));
        (out.iter().map(|kept| kept.head.seq).collect(), cut)
    }

    #[test]
    fn what_was_synced_counts_record_by_record_and_the_rest_up_to_the_first_damage() {
        for (newest, text, counts, cut) in [
            (true, "sss", &[1, 2, 3][..], 400),
            (true, "ssx", &[1, 2], 300),
            (true, "sxs", &[1], 200),
            (true, "sxS", &[1, 3], 400),
            (true, "sxsSx", &[1, 3, 4], 500),
            (true, "fml", &[1, 2, 3], 400),
            (true, "sfm", &[1], 200),
            (true, "sfmx", &[1], 200),
            (true, "fxlS", &[1, 3, 4], 500),
            (true, "fxls", &[], 100),
            (true, "fls", &[1, 2, 3], 400),
            (true, "ffl", &[], 100),
            (false, "sxs", &[1, 3], 400),
            (false, "fxl", &[1, 3], 400),
            (false, "sf", &[1, 2], 300),
        ] {
            let (found, at) = judge(newest, text);
            assert_eq!((&found[..], at), (counts, cut), "{newest} {text}");
        }
    }
}
