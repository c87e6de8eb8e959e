//! Reading a segment from its front, whatever it holds: records, and damage between them. Fed with bytes, no I/O.

use crate::format::{body_is_good, next_marker, record_head, RecordHead, RECORD_HEAD};

/// What stands at the front of the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// A good record.
    Record(RecordHead),
    /// So many bytes that are no good record.
    Damaged(usize),
    /// That can't be told without so many bytes.
    More(usize),
    /// Nothing.
    End,
}

/// Looks at the bytes at `offset` of a segment; `at_end` says that the segment has no more.
#[must_use]
pub fn next(bytes: &[u8], salt: u64, offset: u64, at_end: bool) -> Next {
    if bytes.is_empty() {
        return if at_end {
            Next::End
        } else {
            Next::More(RECORD_HEAD)
        };
    }
    if bytes.len() < RECORD_HEAD && !at_end {
        return Next::More(RECORD_HEAD);
    }
    if let Some(head) = record_head(bytes, salt, offset) {
        return match bytes.get(RECORD_HEAD..head.size()) {
            Some(body) if body_is_good(&head, body) => Next::Record(head),
            // Its length is known: what follows it is read as before.
            Some(_) => Next::Damaged(head.size()),
            None if at_end => Next::Damaged(resume(bytes, salt, offset).unwrap_or(bytes.len())),
            None => Next::More(head.size()),
        };
    }
    match resume(bytes, salt, offset) {
        Some(at) => Next::Damaged(at),
        None if at_end => Next::Damaged(bytes.len()),
        // The last bytes may be the begin of a header.
        None => Next::Damaged(bytes.len() - RECORD_HEAD + 1),
    }
}

/// The next place with a good header.
fn resume(bytes: &[u8], salt: u64, offset: u64) -> Option<usize> {
    let mut at = 1;
    while let Some(marker) = next_marker(bytes, at) {
        if record_head(&bytes[marker..], salt, offset + marker as u64).is_some() {
            return Some(marker);
        }
        at = marker + 1;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::format::{push_record, Kind};

    fn records(number: u64) -> (Vec<u8>, Vec<usize>) {
        let (mut bytes, mut starts) = (Vec::new(), Vec::new());
        for seq in 0..number {
            starts.push(bytes.len());
            let head = RecordHead {
                kind: Kind::Put,
                first: true,
                last: true,
                compressed: false,
                synced: false,
                key_len: 0,
                value_len: 0,
                expiry: 0,
                seq,
                sum: 0,
            };
            // The value is a whole record of its own, which must never be taken for one.
            let mut inner = Vec::new();
            push_record(&mut inner, 7, bytes.len() as u64, &head, b"inner", b"inner");
            let offset = bytes.len() as u64;
            push_record(&mut bytes, 7, offset, &head, &seq.to_le_bytes(), &inner);
        }
        (bytes, starts)
    }

    fn read(bytes: &[u8]) -> Vec<u64> {
        let (mut seqs, mut at) = (Vec::new(), 0);
        loop {
            match next(&bytes[at..], 7, at as u64, true) {
                Next::Record(head) => {
                    seqs.push(head.seq);
                    at += head.size();
                }
                Next::Damaged(length) => {
                    assert!(length > 0);
                    at += length;
                }
                Next::More(_) => unreachable!("all is there"),
                Next::End => return seqs,
            }
        }
    }

    #[test]
    fn a_flip_costs_the_record_it_hits_and_a_cut_what_comes_after_it() {
        let (bytes, starts) = records(5);
        assert_eq!(read(&bytes), [0, 1, 2, 3, 4]);
        for at in 0..bytes.len() {
            let hit = starts.iter().rposition(|start| *start <= at).expect("one") as u64;
            let mut changed = bytes.clone();
            changed[at] ^= 0x55;
            let left: Vec<_> = (0..5).filter(|seq| *seq != hit).collect();
            assert_eq!(read(&changed), left, "flip at {at}");
            let whole: Vec<_> = (0..hit).collect();
            assert_eq!(read(&bytes[..at]), whole, "cut at {at}");
        }
    }

    #[test]
    fn windows_of_any_size_read_the_same() {
        let (mut bytes, starts) = records(4);
        bytes[starts[1] + 3] ^= 1;
        for window in [1, 7, 50, 200, 1_000] {
            let (mut seqs, mut at, mut have) = (Vec::new(), 0, window);
            loop {
                let end = (at + have).min(bytes.len());
                match next(&bytes[at..end], 7, at as u64, end == bytes.len()) {
                    Next::Record(head) => {
                        seqs.push(head.seq);
                        at += head.size();
                        have = window;
                    }
                    Next::Damaged(length) => at += length,
                    Next::More(needed) => have = needed.max(have + 1),
                    Next::End => break,
                }
            }
            assert_eq!(seqs, [0, 2, 3], "{window}");
        }
    }
}
