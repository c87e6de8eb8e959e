//! The messages between predecessor and successor: one a packet, encoded as JSON.
//!
//! The two processes may be of different releases, so the JSON keeps its bytes: where an item here
//! has another name than on the wire, a `serde` attribute names the latter.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The version of this protocol. A peer of another version is rejected, and no socket is passed.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 65_536;
/// So many clients with reputation fit into one message, together with everything else in it.
pub const MAX_REPUTATION_ENTRIES: usize = 700;

/// What a process still uses of the resources that predecessor and successor share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Requests that run on the cores.
    #[serde(rename = "running")]
    pub running_requests: usize,
    /// Memory reserved for requests, in KB.
    pub memory_kb: f64,
    /// Dependency calls in flight.
    #[serde(rename = "calls")]
    pub dependency_calls: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// One message, with the side that sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// Successor: introduces itself and asks for listening sockets.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// The name of the server; both processes must have the same.
        name: String,
        /// The addresses whose listening sockets it wants, in the order in which it wants them.
        #[serde(rename = "listen")]
        addresses: Vec<SocketAddr>,
    },
    /// Predecessor: the listening sockets of these addresses come with this message, in this order.
    #[serde(rename = "offer")]
    ListenerOffer {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// Those of the requested addresses on which the predecessor listens.
        #[serde(rename = "listen")]
        addresses: Vec<SocketAddr>,
    },
    /// Predecessor: it does not pass its listening sockets.
    #[serde(rename = "refused")]
    Rejected {
        /// The reason, for the successor's log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Successor: it is ready to serve; the predecessor is to stop accepting.
    #[serde(rename = "take")]
    HandoverRequest {},
    /// Predecessor: it accepts no more connections; the successor serves from here on.
    #[serde(rename = "yours")]
    HandoverComplete {
        /// What the predecessor still uses.
        #[serde(rename = "held")]
        usage: ProcessUsage,
        /// The learned state of its controller, encoded as a [`snapshot`](crate::snapshot); empty
        /// if there is none.
        #[serde(rename = "learned")]
        learned_state: String,
        /// Clients with reputation and their points; [`MAX_REPUTATION_ENTRIES`] at most.
        #[serde(rename = "standing")]
        reputation: Vec<(IpAddr, f64)>,
    },
    /// Predecessor: it has closed the store of idempotency keys, which the successor may open.
    #[serde(rename = "store_free")]
    StoreReleased {},
    /// Predecessor: what it still uses by now.
    #[serde(rename = "left")]
    UsageReport(ProcessUsage),
    /// An orphaned predecessor, one whose successor died, to the process that serves by now: it is
    /// an earlier predecessor of that process, and is still draining.
    #[serde(rename = "behind")]
    EarlierPredecessor {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u32,
        /// The name of the server; both processes must have the same.
        name: String,
        /// What the earlier predecessor still uses.
        #[serde(rename = "held")]
        usage: ProcessUsage,
    },
}

/// Why a packet can't be decoded as a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It is longer than any message.
    #[error("message of {0} bytes is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// It is no JSON, or no message of this protocol.
    #[error("malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The amount of memory, in KB, is negative or no number.
    #[error("held.memory_kb: {0} is no amount of memory")]
    InvalidMemory(f64),
}

impl Message {
    /// Returns the packet that carries this message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Strings, numbers and lists of them can always be written as JSON.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a packet.
    ///
    /// # Errors
    /// [`DecodeError`] if the packet is too long, is no message of this protocol, or has an amount
    /// of memory that can't be.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let message: Self = serde_json::from_slice(bytes)?;
        if let Some(usage) = message.usage() {
            // Sums in the controller would not recover from infinite or negative memory.
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
