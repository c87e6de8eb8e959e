//! The record of a key as it is stored, and how keys are scoped.

use std::fmt;

/// Bytes of the owner in a scoped key.
const OWNER_LENGTH: usize = 8;
/// Bytes of owner and class in a scoped key.
const SCOPE_LENGTH: usize = OWNER_LENGTH + 2;
/// Bytes of a record before the result: kind and digest.
const RECORD_HEAD_LENGTH: usize = 17;

/// Kinds of stored records.
const INTENT: u8 = 1;
const SERVED: u8 = 2;
const FAILED: u8 = 3;

/// A key within its scope: those of two callers or two classes never collide.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ScopedKey(Box<[u8]>);

impl ScopedKey {
    /// Scopes a key by its owner (a caller or tenant, 0 where all share their keys) and class.
    #[must_use]
    pub fn new(owner: u64, class: u16, client_key: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(SCOPE_LENGTH + client_key.len());
        bytes.extend_from_slice(&owner.to_be_bytes());
        bytes.extend_from_slice(&class.to_be_bytes());
        bytes.extend_from_slice(client_key);
        Self(bytes.into_boxed_slice())
    }

    /// Returns its bytes, as they are stored.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads stored bytes; none where they are too short for the key of a request.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= SCOPE_LENGTH).then(|| Self(Box::from(bytes)))
    }

    /// Returns its owner.
    #[must_use]
    pub fn owner(&self) -> u64 {
        self.0
            .first_chunk()
            .map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }

    /// Returns its class.
    #[must_use]
    pub fn class(&self) -> u16 {
        self.0
            .get(OWNER_LENGTH..)
            .and_then(|rest| rest.first_chunk())
            .map_or(0, |bytes| u16::from_be_bytes(*bytes))
    }

    /// Returns the key as its caller sent it.
    #[must_use]
    pub fn client_key(&self) -> &[u8] {
        self.0.get(SCOPE_LENGTH..).unwrap_or_default()
    }
}

impl fmt::Debug for ScopedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}:{}",
            self.owner(),
            self.class(),
            self.client_key().escape_ascii()
        )
    }
}

/// Returns the digest that binds a key to its request: of class and body.
#[must_use]
pub fn request_digest(class: u16, body: &[u8]) -> u128 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&class.to_be_bytes());
    hasher.update(body);
    hasher.digest128()
}

/// How a request with a key ended; every attempt gets the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// With this result.
    Served(Vec<u8>),
    /// It failed, and may have taken effect.
    Failed,
}

/// What is stored of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRecord {
    /// Its request is about to be started: from here on it may have run.
    Intent {
        /// The digest of its request.
        digest: u128,
    },
    /// Its request has ended.
    Completed {
        /// The digest of its request.
        digest: u128,
        /// How it ended.
        outcome: KeyOutcome,
    },
}

impl KeyRecord {
    /// Returns the bytes to store: kind, digest and result.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let (kind, result): (u8, &[u8]) = match self {
            Self::Intent { .. } => (INTENT, &[]),
            Self::Completed { outcome, .. } => match outcome {
                KeyOutcome::Served(result) => (SERVED, result),
                KeyOutcome::Failed => (FAILED, &[]),
            },
        };
        let mut bytes = Vec::with_capacity(RECORD_HEAD_LENGTH + result.len());
        bytes.push(kind);
        bytes.extend_from_slice(&self.digest().to_be_bytes());
        bytes.extend_from_slice(result);
        bytes
    }

    /// Reads stored bytes; none where they are no record.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&kind, rest) = bytes.split_first()?;
        let (digest, result) = rest.split_first_chunk::<16>()?;
        let digest = u128::from_be_bytes(*digest);
        let outcome = match (kind, result) {
            (INTENT, []) => return Some(Self::Intent { digest }),
            (SERVED, result) => KeyOutcome::Served(result.to_vec()),
            (FAILED, []) => KeyOutcome::Failed,
            _ => return None,
        };
        Some(Self::Completed { digest, outcome })
    }

    /// Returns the digest of the request.
    #[must_use]
    pub fn digest(&self) -> u128 {
        match self {
            Self::Intent { digest } | Self::Completed { digest, .. } => *digest,
        }
    }
}
