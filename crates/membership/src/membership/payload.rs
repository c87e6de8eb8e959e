//! The payload of an authenticated datagram: a byte for its kind, followed by its content.

use crate::identity::Identity;

const GOSSIP: u8 = 0;
const DOWN_NOTICE: u8 = 1;

/// A decoded payload.
pub(super) enum Payload<'a> {
    /// A message of the SWIM library.
    Gossip(&'a [u8]),
    /// Notifies the recipient that the sender has declared this identity of it down. Without it, a
    /// process that receives no gossip would never learn that others declared it down.
    DownNotice(Option<Identity>),
}

impl<'a> Payload<'a> {
    /// Decodes a payload; `None` if its kind is unknown.
    pub(super) fn decode(bytes: &'a [u8]) -> Option<Self> {
        match bytes.split_first()? {
            (&GOSSIP, message) => Some(Self::Gossip(message)),
            (&DOWN_NOTICE, identity) => Some(Self::DownNotice(postcard::from_bytes(identity).ok())),
            _ => None,
        }
    }
}

/// Encodes a message of the SWIM library.
pub(super) fn encode_gossip(message: &[u8]) -> Vec<u8> {
    encode(GOSSIP, message)
}

/// Encodes a notice that an identity was declared down.
///
/// # Errors
/// If the identity can't be encoded.
pub(super) fn encode_down_notice(identity: &Identity) -> Result<Vec<u8>, postcard::Error> {
    Ok(encode(DOWN_NOTICE, &postcard::to_allocvec(identity)?))
}

fn encode(kind: u8, content: &[u8]) -> Vec<u8> {
    let mut payload = Vec::with_capacity(content.len() + 1);
    payload.push(kind);
    payload.extend_from_slice(content);
    payload
}
