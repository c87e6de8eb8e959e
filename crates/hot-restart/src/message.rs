//! The messages between predecessor and successor: one per packet, encoded as JSON.
//!
//! The two processes may be of different releases, so the encoding must not change. Where the name
//! of an item differs from its name on the wire, a `serde` attribute gives the latter.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Version of this protocol. A peer with another version is rejected, and gets no sockets.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 65_536;
/// Maximum number of clients with reputation in one message. They fit into
/// [`MAX_MESSAGE_BYTES`] together with the rest of the message.
pub const MAX_REPUTATION_ENTRIES: usize = 700;

/// The part of the resources shared by predecessor and successor that a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Number of requests running on the cores.
    #[serde(rename = "running")]
    pub running_requests: usize,
    /// Memory reserved for requests, in KB.
    pub memory_kb: f64,
    /// Number of dependency calls in flight.
    #[serde(rename = "calls")]
    pub dependency_calls: usize,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// A message between predecessor and successor. Each variant names its sender first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// Successor: introduces itself and requests listening sockets.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// The name of the server; both processes must have the same.
        name: String,
        /// Addresses of the requested listening sockets, in the requested order.
        #[serde(rename = "listen")]
        addresses: Vec<SocketAddr>,
    },
    /// Predecessor: passes the listening sockets of these addresses along with this message, in
    /// this order.
    #[serde(rename = "offer")]
    ListenerOffer {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// The requested addresses on which the predecessor listens.
        #[serde(rename = "listen")]
        addresses: Vec<SocketAddr>,
    },
    /// Predecessor: does not pass its listening sockets.
    #[serde(rename = "refused")]
    Rejected {
        /// The reason, for the successor's log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Successor: is ready to serve, and requests that the predecessor stop accepting.
    #[serde(rename = "take")]
    HandoverRequest {},
    /// Predecessor: accepts no more connections; the successor serves from here on.
    #[serde(rename = "yours")]
    HandoverComplete {
        /// The resources that the predecessor still uses.
        #[serde(rename = "held")]
        usage: ProcessUsage,
        /// The learned state of its controller, encoded as a [`snapshot`](crate::snapshot); empty
        /// if there is none.
        #[serde(rename = "learned")]
        learned_state: String,
        /// Clients with reputation, each with its points; at most [`MAX_REPUTATION_ENTRIES`].
        #[serde(rename = "standing")]
        reputation: Vec<(IpAddr, f64)>,
    },
    /// Predecessor: has closed the store of idempotency keys, which the successor may open now.
    #[serde(rename = "store_free")]
    StoreReleased {},
    /// Predecessor: reports the resources that it currently uses.
    #[serde(rename = "left")]
    UsageReport(ProcessUsage),
    /// Orphaned predecessor (one whose successor died), to the process that serves now: is an
    /// earlier predecessor of that process, and is still draining.
    #[serde(rename = "behind")]
    EarlierPredecessor {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// The name of the server; both processes must have the same.
        name: String,
        /// The resources that the earlier predecessor still uses.
        #[serde(rename = "held")]
        usage: ProcessUsage,
    },
}

/// The reason why a packet can't be decoded as a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The packet is longer than [`MAX_MESSAGE_BYTES`]; its length in bytes.
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The packet is not JSON, or not a message of this protocol.
    #[error("malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The amount of memory, in KB, is negative, infinite or not a number.
    #[error("held.memory_kb: {0} is not a valid amount of memory")]
    InvalidMemory(f64),
}

impl Message {
    /// Returns the packet that carries this message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Can't fail: the message consists of strings, numbers and lists of them.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a packet.
    ///
    /// # Errors
    /// [`DecodeError`] if the packet is too long, is not a message of this protocol, or has an
    /// invalid amount of memory.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let message: Self = serde_json::from_slice(bytes)?;
        if let Some(usage) = message.usage() {
            // An infinite or negative amount would corrupt the sums in the controller for good.
            if !(usage.memory_kb.is_finite() && usage.memory_kb >= 0.0) {
                return Err(DecodeError::InvalidMemory(usage.memory_kb));
            }
        }
        Ok(message)
    }

    fn usage(&self) -> Option<&ProcessUsage> {
        match self {
            Self::HandoverComplete { usage, .. }
            | Self::UsageReport(usage)
            | Self::EarlierPredecessor { usage, .. } => Some(usage),
            Self::Hello { .. }
            | Self::ListenerOffer { .. }
            | Self::Rejected { .. }
            | Self::HandoverRequest {}
            | Self::StoreReleased {} => None,
        }
    }
}
