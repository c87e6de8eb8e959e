//! The binary encoding of stored records and of messages between processes.

use serde::Serialize;

/// Encodes a value with postcard.
///
/// # Panics
///
/// Never for the types of this crate: encoding to memory fails only for sequences whose length is
/// not known beforehand, and none of them has one.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("every sequence of an encoded type has a known length")
}
