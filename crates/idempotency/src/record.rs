//! What is written of a key, and how keys are scoped.

use std::fmt;

/// A key within its scope: two callers, or two classes, never meet by chance.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ScopedKey(Box<[u8]>);

impl ScopedKey {
    /// The key of an owner (a caller or tenant, 0 where all share) and a class.
    #[must_use]
    pub fn new(owner: u64, class: u16, key: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(10 + key.len());
        bytes.extend_from_slice(&owner.to_be_bytes());
        bytes.extend_from_slice(&class.to_be_bytes());
        bytes.extend_from_slice(key);
        Self(bytes.into_boxed_slice())
    }

    /// Its bytes, as the store has them.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads what the store has; shorter ones are not keys of requests.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= 10).then(|| Self(Box::from(bytes)))
    }

    /// Its class.
    #[must_use]
    pub fn class(&self) -> u16 {
        self.0
            .get(8..)
            .and_then(|rest| rest.first_chunk())
            .map_or(0, |bytes| u16::from_be_bytes(*bytes))
    }

    /// The key as its caller told it.
    #[must_use]
    pub fn told(&self) -> &[u8] {
        self.0.get(10..).unwrap_or_default()
    }

    /// Whose it is.
    #[must_use]
    pub fn owner(&self) -> u64 {
        self.0
            .first_chunk()
            .map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }
}

impl fmt::Debug for ScopedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}",
            self.owner(),
            self.class(),
            self.told().escape_ascii()
        )
    }
}

/// What binds a key to its request: class and body.
#[must_use]
pub fn digest(class: u16, body: &[u8]) -> u128 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&class.to_be_bytes());
    hasher.update(body);
    hasher.digest128()
}

/// How a keyed request ended, as every one of its tries is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With this result.
    Served(Vec<u8>),
    /// It failed, and may have had its effect.
    Failed,
}

/// What is written of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// It is about to be started: from here on it may have run.
    Intent {
        /// Binds it to its request.
        digest: u128,
    },
    /// It ended so.
    Finished {
        /// Binds it to its request.
        digest: u128,
        /// How.
        outcome: Outcome,
    },
}

impl Record {
    /// Its bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let (kind, digest, body): (u8, u128, &[u8]) = match self {
            Self::Intent { digest } => (1, *digest, &[]),
            Self::Finished {
                digest,
                outcome: Outcome::Served(result),
            } => (2, *digest, result),
            Self::Finished {
                digest,
                outcome: Outcome::Failed,
            } => (3, *digest, &[]),
        };
        let mut bytes = Vec::with_capacity(17 + body.len());
        bytes.push(kind);
        bytes.extend_from_slice(&digest.to_be_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Reads what was written; none where it is no record.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&kind, rest) = bytes.split_first()?;
        let (digest, body) = rest.split_first_chunk::<16>()?;
        let digest = u128::from_be_bytes(*digest);
        Some(match (kind, body) {
            (1, []) => Self::Intent { digest },
            (2, result) => Self::Finished {
                digest,
                outcome: Outcome::Served(result.to_vec()),
            },
            (3, []) => Self::Finished {
                digest,
                outcome: Outcome::Failed,
            },
            _ => return None,
        })
    }

    /// What binds it to its request.
    #[must_use]
    pub fn digest(&self) -> u128 {
        match self {
            Self::Intent { digest } | Self::Finished { digest, .. } => *digest,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_and_keys_are_read_as_they_were_written() {
        for record in [
            Record::Intent { digest: 7 },
            Record::Finished {
                digest: u128::MAX,
                outcome: Outcome::Served(vec![0, 255]),
            },
            Record::Finished {
                digest: 0,
                outcome: Outcome::Served(Vec::new()),
            },
            Record::Finished {
                digest: 1,
                outcome: Outcome::Failed,
            },
        ] {
            let bytes = record.encode();
            assert_eq!(Record::decode(&bytes), Some(record));
            assert_eq!(Record::decode(&bytes[..16]), None);
        }
        assert_eq!(Record::decode(&[9; 17]), None);
        let key = ScopedKey::new(5, 2, b"k");
        assert_eq!(ScopedKey::from_bytes(key.bytes()), Some(key.clone()));
        assert_eq!((key.class(), key.told()), (2, &b"k"[..]));
        assert_eq!((key.owner(), ScopedKey::from_bytes(b"short")), (5, None));
        assert_ne!(ScopedKey::new(5, 2, b"k"), ScopedKey::new(5, 3, b"k"));
        assert_ne!(digest(1, b"a"), digest(2, b"a"));
    }
}
