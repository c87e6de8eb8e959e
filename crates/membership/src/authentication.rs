//! Authentication of datagrams by shared keys, and their rotation.
//!
//! A datagram consists of the number of a key (1 byte), the HMAC-SHA-256 tag over that number and
//! the payload (32 bytes), and the payload. Replayed datagrams change nothing: older incarnations
//! and versions lose against newer ones.
//!
//! Keys are rotated without rejecting a datagram: first the new key is added at all processes, then
//! it becomes the first key, which signs, at all of them, and then the old key is removed.

use ring::hmac;
use std::fmt;

/// Length of the number of a key, in bytes.
const KEY_NUMBER_BYTES: usize = 1;
/// Length of an HMAC-SHA-256 tag, in bytes.
const TAG_BYTES: usize = 32;
/// Bytes before the payload.
pub const HEADER_BYTES: usize = KEY_NUMBER_BYTES + TAG_BYTES;
/// Keys that are accepted at one time: the old, the current, the next, and one to spare.
pub const MAX_KEYS: usize = 4;
/// Shortest secret, in bytes: one shorter than the tag would be its weakest part.
pub const MIN_SECRET_BYTES: usize = 32;

/// The shared keys: one that signs, and all that are accepted.
pub struct KeyRing {
    signing: Key,
    /// Keys that are accepted besides.
    others: Vec<Key>,
}

/// A key, and the number that datagrams name it by.
struct Key {
    number: u8,
    secret: hmac::Key,
}

/// Why a key file is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidKeys {
    /// It has no key.
    #[error("no key")]
    NoKey,
    /// It has more than [`MAX_KEYS`]; the line of the first one too many.
    #[error("line {0}: {MAX_KEYS} keys at most")]
    TooMany(usize),
    /// This line is not a key.
    #[error(
        "line {0}: a key is a number from 0 to 255, a blank and at least {MIN_SECRET_BYTES} bytes in hexadecimal"
    )]
    MalformedLine(usize),
    /// Two keys have the same number.
    #[error("line {line}: key {number} stands twice")]
    DuplicateNumber {
        /// Line of the second one.
        line: usize,
        /// Their number.
        number: u8,
    },
}

/// Why a datagram is not authentic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// It has fewer bytes than the header.
    #[error("it is shorter than the authentication header")]
    TooShort,
    /// It is signed with a key of this number, which is not in the ring.
    #[error("it is signed with key {0}, which is not known")]
    UnknownKey(u8),
    /// The tag does not match number and payload.
    #[error("its authentication tag is wrong")]
    WrongTag,
}

impl KeyRing {
    /// Reads a key file: one key a line, its number and its secret in hexadecimal; the first one
    /// signs. Empty lines and lines that start with `#` are ignored.
    ///
    /// # Errors
    /// The first line that is invalid, or that there is no key.
    pub fn parse(text: &str) -> Result<Self, InvalidKeys> {
        let mut keys: Vec<Key> = Vec::new();
        for (index, content) in text.lines().enumerate() {
            let line = index + 1;
            let content = content.trim();
            if content.is_empty() || content.starts_with('#') {
                continue;
            }
            let key = parse_key(content).ok_or(InvalidKeys::MalformedLine(line))?;
            let number = key.number;
            if keys.iter().any(|known| known.number == number) {
                return Err(InvalidKeys::DuplicateNumber { line, number });
            }
            if keys.len() == MAX_KEYS {
                return Err(InvalidKeys::TooMany(line));
            }
            keys.push(key);
        }
        let mut keys = keys.into_iter();
        let signing = keys.next().ok_or(InvalidKeys::NoKey)?;
        Ok(Self {
            signing,
            others: keys.collect(),
        })
    }

    /// Returns the datagram of a payload, signed with the first key.
    #[must_use]
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let number = self.signing.number;
        let tag = hmac::sign(&self.signing.secret, &signed_bytes(number, payload));
        let mut datagram = Vec::with_capacity(HEADER_BYTES + payload.len());
        datagram.push(number);
        datagram.extend_from_slice(tag.as_ref());
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Returns the payload of an authentic datagram.
    ///
    /// # Errors
    /// When the datagram is too short, its key is unknown, or its tag is wrong.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], AuthenticationError> {
        let (header, payload) = datagram
            .split_at_checked(HEADER_BYTES)
            .ok_or(AuthenticationError::TooShort)?;
        let (&number, tag) = header.split_first().ok_or(AuthenticationError::TooShort)?;
        let key = self
            .accepted()
            .find(|key| key.number == number)
            .ok_or(AuthenticationError::UnknownKey(number))?;
        hmac::verify(&key.secret, &signed_bytes(number, payload), tag)
            .map_err(|_| AuthenticationError::WrongTag)?;
        Ok(payload)
    }

    /// All keys, the signing one first.
    fn accepted(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.signing).chain(&self.others)
    }
}

/// Lists the numbers of the keys, and no secret.
impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.accepted().map(|key| key.number))
            .finish()
    }
}

/// The bytes that a tag is computed over.
fn signed_bytes(key_number: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(KEY_NUMBER_BYTES + payload.len());
    bytes.push(key_number);
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads a line of a key file; none where it is malformed.
fn parse_key(line: &str) -> Option<Key> {
    let (number, secret) = line.split_once(' ')?;
    let number = number.parse().ok()?;
    let secret = decode_hex(secret.trim())?;
    if secret.len() < MIN_SECRET_BYTES {
        return None;
    }
    let secret = hmac::Key::new(hmac::HMAC_SHA256, &secret);
    Some(Key { number, secret })
}

/// Decodes pairs of hexadecimal digits; none where there are other characters, or an odd number.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|offset| u8::from_str_radix(&text[offset..offset + 2], 16).ok())
        .collect()
}

#[cfg(test)]
mod tests;
