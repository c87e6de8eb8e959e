//! Authentication of datagrams by shared keys, and rotation of these keys.
//!
//! A datagram consists of the number of a key (1 byte), the HMAC-SHA-256 tag over that number and
//! the payload (32 bytes), and the payload. Replayed datagrams have no effect, as older
//! incarnations and versions lose against newer ones.
//!
//! Keys can be rotated without rejecting a datagram: first the new key is added at all processes,
//! then it is made the first key, which signs, at all of them, and then the old key is removed.

use ring::hmac;
use std::fmt;

/// Length of the number of a key, in bytes.
const KEY_NUMBER_BYTES: usize = 1;
/// Length of an HMAC-SHA-256 tag, in bytes.
const TAG_BYTES: usize = 32;
/// Length of the header before the payload, in bytes.
pub const HEADER_BYTES: usize = KEY_NUMBER_BYTES + TAG_BYTES;
/// Maximum number of keys in a ring: the old, the current, the next, and a spare one.
pub const MAX_KEYS: usize = 4;
/// Minimum length of a secret, in bytes: a secret shorter than the tag would weaken it.
pub const MIN_SECRET_BYTES: usize = 32;

/// The shared keys: one signs datagrams, and all of them are accepted.
pub struct KeyRing {
    signing: Key,
    /// Further keys that are accepted.
    others: Vec<Key>,
}

/// A key with the number by which datagrams refer to it.
struct Key {
    number: u8,
    secret: hmac::Key,
}

/// The reason why a key file is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidKeys {
    /// The file contains no key.
    #[error("no key found")]
    NoKey,
    /// The file contains more than [`MAX_KEYS`] keys; the line of the first excess key.
    #[error("line {0}: more than {MAX_KEYS} keys")]
    TooMany(usize),
    /// This line is not a valid key.
    #[error(
        "line {0}: a key is a number from 0 to 255, a blank and at least {MIN_SECRET_BYTES} bytes in hexadecimal"
    )]
    MalformedLine(usize),
    /// Two keys have the same number.
    #[error("line {line}: duplicate key number {number}")]
    DuplicateNumber {
        /// Line of the second key.
        line: usize,
        /// Number of the keys.
        number: u8,
    },
}

/// The reason why a datagram is not authentic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// The datagram is shorter than the header.
    #[error("datagram is shorter than the authentication header")]
    TooShort,
    /// The datagram is signed with the key of this number, which is not in the ring.
    #[error("datagram is signed with unknown key {0}")]
    UnknownKey(u8),
    /// The tag does not match the key number and the payload.
    #[error("authentication tag of the datagram is wrong")]
    WrongTag,
}

impl KeyRing {
    /// Parses a key file. Each line is a key: its number, a blank, and its secret in hexadecimal.
    /// The first key signs. Empty lines and lines that start with `#` are ignored.
    ///
    /// # Errors
    /// [`InvalidKeys`] for the first invalid line, or if there is no key.
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

    /// Returns a datagram with this payload, signed with the first key.
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

    /// Verifies a datagram and returns its payload.
    ///
    /// # Errors
    /// If the datagram is too short, its key is unknown, or its tag is wrong.
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

    /// Returns all keys, starting with the signing key.
    fn accepted(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.signing).chain(&self.others)
    }
}

/// Prints the numbers of the keys, but no secrets.
impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.accepted().map(|key| key.number))
            .finish()
    }
}

/// Returns the bytes over which a tag is computed.
fn signed_bytes(key_number: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(KEY_NUMBER_BYTES + payload.len());
    bytes.push(key_number);
    bytes.extend_from_slice(payload);
    bytes
}

/// Parses a line of a key file; `None` if it is malformed.
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

/// Decodes pairs of hexadecimal digits; `None` if the text is anything else.
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
