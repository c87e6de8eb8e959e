//! Datagrams are authenticated by a shared key. It is rotated without a moment in which some are not heard: a new key is first
//! added to all, then written first by all, then the old one is removed.
//!
//! A datagram is the key's number (1 byte), HMAC-SHA-256 over number and payload (32 bytes), and the payload. An attacker who
//! repeats old datagrams gains nothing: older incarnations and versions lose.

use ring::hmac;
use std::fmt;

/// Bytes before the payload.
pub const OVERHEAD: usize = 33;
/// Keys that are heard at one time: the old, the present, the next, and one to spare.
pub const MOST_KEYS: usize = 4;
/// Bytes of a key, at least: fewer than the hash gives would be the weakest part.
pub const LEAST_BYTES: usize = 32;

/// Keys, the first of which is sealed with.
pub struct Keys(Vec<(u8, hmac::Key)>);

/// Why keys can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadKeys {
    /// There is none.
    #[error("no key")]
    None,
    /// There are too many.
    #[error("line {0}: {MOST_KEYS} keys at most")]
    Many(usize),
    /// A line is none.
    #[error(
        "line {0}: a key is a number from 0 to 255, a blank and at least {LEAST_BYTES} bytes in hexadecimal"
    )]
    Line(usize),
    /// A number stands twice.
    #[error("line {0}: key {1} stands twice")]
    Twice(usize, u8),
}

/// Why a datagram is not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unheard {
    /// It is shorter than a seal.
    #[error("it is too short")]
    Short,
    /// No such key.
    #[error("it is sealed with key {0}, which is not known")]
    UnknownKey(u8),
    /// The seal is not that of the payload.
    #[error("its seal is wrong")]
    Forged,
}

impl Keys {
    /// Reads them, one a line; empty lines and those that begin with `#` count for nothing.
    ///
    /// # Errors
    /// The first line that is no key.
    pub fn parse(text: &str) -> Result<Self, BadKeys> {
        let mut keys: Vec<(u8, hmac::Key)> = Vec::new();
        for (line, text) in text
            .lines()
            .enumerate()
            .map(|(line, text)| (line + 1, text.trim()))
        {
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let (number, secret) = text.split_once(' ').ok_or(BadKeys::Line(line))?;
            let number: u8 = number.parse().map_err(|_| BadKeys::Line(line))?;
            let secret = unhex(secret.trim())
                .filter(|s| s.len() >= LEAST_BYTES)
                .ok_or(BadKeys::Line(line))?;
            if keys.iter().any(|(known, _)| *known == number) {
                return Err(BadKeys::Twice(line, number));
            }
            if keys.len() == MOST_KEYS {
                return Err(BadKeys::Many(line));
            }
            keys.push((number, hmac::Key::new(hmac::HMAC_SHA256, &secret)));
        }
        if keys.is_empty() {
            return Err(BadKeys::None);
        }
        Ok(Self(keys))
    }

    /// Seals a payload.
    #[must_use]
    pub fn seal(&self, payload: &[u8]) -> Vec<u8> {
        let Some((number, key)) = self.0.first() else {
            return Vec::new();
        };
        let mut signed = Vec::with_capacity(payload.len() + 1);
        signed.push(*number);
        signed.extend_from_slice(payload);
        let tag = hmac::sign(key, &signed);
        let mut sealed = Vec::with_capacity(payload.len() + OVERHEAD);
        sealed.push(*number);
        sealed.extend_from_slice(tag.as_ref());
        sealed.extend_from_slice(payload);
        sealed
    }

    /// The payload of a datagram whose seal is right.
    ///
    /// # Errors
    /// Why it is not heard.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], Unheard> {
        if sealed.len() < OVERHEAD {
            return Err(Unheard::Short);
        }
        let (number, tag, payload) = (sealed[0], &sealed[1..OVERHEAD], &sealed[OVERHEAD..]);
        let known = self.0.iter().find(|(known, _)| *known == number);
        let (_, key) = known.ok_or(Unheard::UnknownKey(number))?;
        let mut signed = Vec::with_capacity(payload.len() + 1);
        signed.push(number);
        signed.extend_from_slice(payload);
        hmac::verify(key, &signed, tag).map_err(|_| Unheard::Forged)?;
        Ok(payload)
    }
}

/// Never tells a secret.
impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.0.iter().map(|(number, _)| number))
            .finish()
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(number: u8, byte: &str) -> String {
        format!("{number} {}\n", byte.repeat(32))
    }

    #[test]
    fn keys_rotate_without_a_moment_in_which_some_are_not_heard() {
        let keys = |text: String| Keys::parse(&text).expect("keys");
        let stages = [
            keys(line(1, "a1")),
            keys(line(1, "a1") + &line(2, "b2")),
            keys(line(2, "b2") + &line(1, "a1")),
            keys(line(2, "b2")),
        ];
        for pair in stages.windows(2) {
            for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
                assert_eq!(to.open(&from.seal(b"so many")), Ok(&b"so many"[..]));
            }
        }
        assert_eq!(
            stages[3].open(&stages[0].seal(b"x")),
            Err(Unheard::UnknownKey(1))
        );
    }

    #[test]
    fn every_byte_of_a_datagram_counts() {
        let keys = Keys::parse(&line(7, "0f")).expect("a key");
        let sealed = keys.seal(b"payload");
        for at in 0..sealed.len() {
            let mut other = sealed.clone();
            other[at] ^= 1;
            assert!(keys.open(&other).is_err(), "byte {at}");
        }
        assert_eq!(keys.open(&sealed[..32]), Err(Unheard::Short));
    }

    #[test]
    fn a_faulty_file_is_told_by_its_line() {
        let fault = |text: &str| Keys::parse(text).expect_err("faulty");
        assert_eq!(fault("# none\n\n"), BadKeys::None);
        assert_eq!(fault(&(line(1, "aa") + "2 short")), BadKeys::Line(2));
        assert_eq!(
            fault(&(line(1, "aa") + &line(1, "bb"))),
            BadKeys::Twice(2, 1)
        );
        let five: String = (0..5).map(|number| line(number, "cc")).collect();
        assert_eq!(fault(&five), BadKeys::Many(5));
    }
}
