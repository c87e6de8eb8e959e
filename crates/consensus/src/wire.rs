//! What processes that agree say to each other, over sessions that keep the order.

use crate::change::Change;
use crate::log::Group;
use crate::table::Table;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// The largest message: a whole table, or many changes.
pub const LARGEST: usize = 64 * 1_048_576;

/// A message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Say {
    /// The library's.
    Paxos {
        /// Among this group.
        group: u32,
        /// It.
        message: Message<Change>,
    },
    /// How far has the other accepted?
    Ask {
        /// Among this group.
        group: u32,
        /// Under this number.
        number: u64,
    },
    /// So far.
    Answer {
        /// Among this group.
        group: u32,
        /// The question.
        number: u64,
        /// Changes that it has accepted.
        accepted: u64,
    },
    /// To one that knows of an earlier group alone: the log of this one begins with this table.
    Begin {
        /// The group.
        group: Group,
        /// The table.
        table: Box<Table>,
    },
}

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
pub enum Unread {
    /// They can't be read.
    #[error("it can't be read: {0}")]
    Bytes(#[from] postcard::Error),
    /// It names others than the session's ends.
    #[error("it is from {0} to {1}, and the session's ends are others")]
    Ends(u64, u64),
}

impl Say {
    /// As bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads it as one that came from this process to that one. Guards the library, which counts on the names in a message.
    ///
    /// # Errors
    /// Where it is none.
    pub fn decode(bytes: &[u8], from: u64, to: u64) -> Result<Self, Unread> {
        let said: Self = postcard::from_bytes(bytes)?;
        if let Self::Paxos { message, .. } = &said {
            let ends = (message.get_sender(), message.get_receiver());
            if ends != (from, to) {
                return Err(Unread::Ends(ends.0, ends.1));
            }
        }
        Ok(said)
    }
}
