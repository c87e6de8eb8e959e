//! The messages between processes, over sessions that preserve their order.

use crate::change::{Change, LogIndex};
use crate::codec::encode;
use crate::configuration::{Configuration, ConfigurationId, NodeId};
use crate::lease::ProbeId;
use crate::table::Table;
use omnipaxos::messages::Message as PaxosMessage;
use serde::{Deserialize, Serialize};

/// The largest encoded message in bytes: room for a whole table, or for many entries.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1_048_576;

/// A message between two processes.
///
/// The order of the variants and of their fields is the wire format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// A message of the consensus library.
    Paxos {
        /// The configuration that the sender is in.
        configuration: ConfigurationId,
        /// The library's message.
        message: PaxosMessage<Change>,
    },
    /// Requests the number of entries that the recipient's log has accepted, to renew the sender's
    /// lease.
    AcceptedIndexRequest {
        /// The configuration that the sender is in.
        configuration: ConfigurationId,
        /// The probe that the request belongs to.
        probe: ProbeId,
    },
    /// The response to an [`AcceptedIndexRequest`](Self::AcceptedIndexRequest).
    AcceptedIndexResponse {
        /// The configuration that the sender is in.
        configuration: ConfigurationId,
        /// The probe of the request.
        probe: ProbeId,
        /// The number of entries that the sender's log has accepted.
        accepted_index: LogIndex,
    },
    /// Brings a process that is in an earlier configuration into a later one.
    InstallConfiguration {
        /// The later configuration.
        configuration: Configuration,
        /// The table that the log of the configuration starts from.
        initial_table: Box<Table>,
    },
}

/// Bytes that are not a valid message of the session.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not an encoded message.
    #[error("the message is malformed")]
    Malformed(#[from] postcard::Error),
    /// The message names other processes than the two ends of the session.
    #[error("the message from {sender} to {recipient} does not belong to this session")]
    WrongEndpoints {
        /// The sender that the message names.
        sender: NodeId,
        /// The recipient that the message names.
        recipient: NodeId,
    },
}

/// The two ends of the session that a message was received on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoints {
    /// The process that sent the message.
    pub sender: NodeId,
    /// The process that received it.
    pub recipient: NodeId,
}

impl Message {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a message that was received on the session between these processes. The consensus
    /// library relies on the sender and recipient in its messages, so they are checked here.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are malformed or name other processes.
    pub fn decode(bytes: &[u8], endpoints: Endpoints) -> Result<Self, DecodeError> {
        let decoded: Self = postcard::from_bytes(bytes)?;
        if let Self::Paxos { message, .. } = &decoded {
            let sender = message.get_sender();
            let recipient = message.get_receiver();
            if (Endpoints { sender, recipient }) != endpoints {
                return Err(DecodeError::WrongEndpoints { sender, recipient });
            }
        }
        Ok(decoded)
    }
}
