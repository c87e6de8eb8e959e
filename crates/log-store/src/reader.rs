//! Reading through a segment, a window at a time.

use crate::error::Error;
use crate::files::Files;
use crate::format::{RecordHead, RECORD_HEAD};
use crate::scan::{self, Next};
use crate::store::{Segment, Store};

/// Bytes that are read at once where a segment is read through.
pub(crate) const WINDOW: usize = 262_144;

/// What stands next in a segment.
pub(crate) enum Step {
    Record(RecordHead),
    Damaged(usize),
    End,
}

/// Reads through a segment, a window at a time.
pub(crate) struct Reader {
    pub offset: u64,
    window: Vec<u8>,
    /// Offset of the window's first byte.
    at: u64,
}

impl Reader {
    pub(crate) fn new(offset: u64) -> Self {
        Self {
            offset,
            window: Vec::new(),
            at: offset,
        }
    }

    pub(crate) fn next<F: Files>(
        &mut self,
        store: &Store<F>,
        segment: &Segment,
    ) -> Result<Step, Error> {
        let (file, name, salt, size) =
            (segment.file, &segment.name, segment.head.salt, segment.size);
        let mut needed = 1;
        loop {
            let from = (self.offset - self.at) as usize;
            let have = self.window.len().saturating_sub(from);
            let left = size.saturating_sub(self.offset);
            let at_end = have as u64 >= left;
            if have >= needed || at_end {
                let bytes = &self.window[from.min(self.window.len())..];
                let bytes = &bytes[..bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX))];
                match scan::next(bytes, salt, self.offset, at_end) {
                    Next::Record(head) => return Ok(Step::Record(head)),
                    Next::Damaged(bytes) => return Ok(Step::Damaged(bytes)),
                    Next::End => return Ok(Step::End),
                    Next::More(more) => needed = more.max(have + 1),
                }
            }
            let wanted = (needed.max(WINDOW) as u64).min(left) as usize;
            self.window = store.read(file, name, self.offset, wanted)?;
            self.at = self.offset;
            if self.window.len() < wanted {
                // The file is shorter than it was: what is there is all.
                return match scan::next(&self.window, salt, self.offset, true) {
                    Next::Record(head) => Ok(Step::Record(head)),
                    Next::Damaged(bytes) => Ok(Step::Damaged(bytes)),
                    _ => Ok(Step::End),
                };
            }
        }
    }

    /// Key and value as they are stored, of the record that came last.
    pub(crate) fn body(&self, head: &RecordHead) -> &[u8] {
        let from = (self.offset - self.at) as usize;
        &self.window[from + RECORD_HEAD..from + head.size()]
    }

    pub(crate) fn key(&self, head: &RecordHead) -> &[u8] {
        &self.body(head)[..head.key_len]
    }

    pub(crate) fn skip(&mut self, bytes: usize) {
        self.offset += bytes as u64;
    }
}
