//! The content of a simulated file, of which only a part is durable.

use rand::rngs::SmallRng;
use rand::Rng;

/// A change of a file that was not synced yet.
#[derive(Debug, Clone)]
enum UnsyncedChange {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate { size: usize },
}

/// The content of a file.
#[derive(Debug, Clone, Default)]
pub(super) struct Inode {
    /// What a reader sees.
    data: Vec<u8>,
    /// What the last sync made durable.
    durable: Vec<u8>,
    unsynced: Vec<UnsyncedChange>,
    /// A sync has failed: nothing that was written becomes durable any more.
    has_lost_writes: bool,
}

impl Inode {
    /// A file whose content is durable.
    pub(super) fn durable(data: Vec<u8>) -> Self {
        Self {
            durable: data.clone(),
            data,
            ..Self::default()
        }
    }

    /// What a reader sees.
    pub(super) fn data(&self) -> &[u8] {
        &self.data
    }

    pub(super) fn write(&mut self, offset: usize, bytes: &[u8]) {
        write_at(&mut self.data, offset, bytes);
        self.unsynced.push(UnsyncedChange::Write {
            offset,
            bytes: bytes.to_vec(),
        });
    }

    pub(super) fn truncate(&mut self, size: usize) {
        self.data.truncate(size);
        self.unsynced.push(UnsyncedChange::Truncate { size });
    }

    /// Extends the file with zeros.
    pub(super) fn extend(&mut self, additional: usize) {
        if additional > 0 {
            self.write(self.data.len(), &vec![0; additional]);
        }
    }

    pub(super) fn sync(&mut self) {
        if self.has_lost_writes {
            return;
        }
        for change in self.unsynced.drain(..) {
            match change {
                UnsyncedChange::Write { offset, bytes } => {
                    write_at(&mut self.durable, offset, &bytes);
                }
                UnsyncedChange::Truncate { size } => self.durable.truncate(size),
            }
        }
    }

    /// Fails a sync. An operating system marks the pages as clean nevertheless, so that what was
    /// written never becomes durable.
    pub(super) fn fail_sync(&mut self) {
        self.has_lost_writes = true;
    }

    /// The file after a crash.
    pub(super) fn after_crash(&self, random: &mut SmallRng) -> Self {
        let mut data = self.durable.clone();
        for change in &self.unsynced {
            match change {
                UnsyncedChange::Truncate { size } => {
                    if random.random() {
                        data.truncate(*size);
                    }
                }
                UnsyncedChange::Write { offset, bytes } => {
                    let written = match random.random_range(0..4) {
                        0 => 0,
                        1 => random.random_range(0..=bytes.len()),
                        _ => bytes.len(),
                    };
                    write_at(&mut data, *offset, &bytes[..written]);
                }
            }
        }
        Self::durable(data)
    }
}

/// Writes bytes at an offset. A gap before it, which a lost write left, reads as zeros.
fn write_at(data: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let end = offset + bytes.len();
    if data.len() < end {
        data.resize(end, 0);
    }
    data[offset..end].copy_from_slice(bytes);
}
