//! Stored encoding of keys and their records. Keys are scoped by owner and request class.

use std::fmt;

/// Length of the owner in a scoped key, in bytes.
const OWNER_BYTES: usize = 8;
/// Length of owner and class in a scoped key, in bytes.
const SCOPE_BYTES: usize = OWNER_BYTES + 2;
/// Length of a record before its result, in bytes: kind and digest.
const RECORD_HEADER_BYTES: usize = 17;

// The first byte of a stored record is its kind.
const INTENT: u8 = 1;
const SERVED: u8 = 2;
const FAILED: u8 = 3;

/// A key with its scope, so that keys of different owners or classes never collide.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ScopedKey(Box<[u8]>);

impl ScopedKey {
    /// Scopes a key by owner (a caller or tenant, or 0 if all callers share their keys) and class.
    #[must_use]
    pub fn new(owner: u64, class: u16, client_key: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(SCOPE_BYTES + client_key.len());
        bytes.extend_from_slice(&owner.to_be_bytes());
        bytes.extend_from_slice(&class.to_be_bytes());
        bytes.extend_from_slice(client_key);
        Self(bytes.into_boxed_slice())
    }

    /// Returns the key's stored bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Decodes stored bytes; `None` if they are too short for the key of a request.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= SCOPE_BYTES).then(|| Self(Box::from(bytes)))
    }

    /// Returns the key's owner.
    #[must_use]
    pub fn owner(&self) -> u64 {
        self.0
            .first_chunk()
            .map_or(0, |bytes| u64::from_be_bytes(*bytes))
    }

    /// Returns the request class of the key.
    #[must_use]
    pub fn class(&self) -> u16 {
        self.0
            .get(OWNER_BYTES..)
            .and_then(|rest| rest.first_chunk())
            .map_or(0, |bytes| u16::from_be_bytes(*bytes))
    }

    /// Returns the key without its scope, as the caller sent it.
    #[must_use]
    pub fn client_key(&self) -> &[u8] {
        self.0.get(SCOPE_BYTES..).unwrap_or_default()
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

/// Returns the digest of a request's class and body, which a key is bound to.
#[must_use]
pub fn request_digest(class: u16, body: &[u8]) -> u128 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&class.to_be_bytes());
    hasher.update(body);
    hasher.digest128()
}

/// Outcome of a request with a key. All its attempts get the same outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The request was served with this result.
    Served(Vec<u8>),
    /// The request failed, and may have taken effect.
    Failed,
}

/// The stored record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRecord {
    /// The request is about to be started: from here on it may have run.
    Intent {
        /// The digest of its request.
        digest: u128,
    },
    /// The request has ended.
    Completed {
        /// The digest of its request.
        digest: u128,
        /// The outcome of its request.
        outcome: KeyOutcome,
    },
}

impl KeyRecord {
    /// Encodes the record as its stored bytes: kind, digest and result.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let (kind, result): (u8, &[u8]) = match self {
            Self::Intent { .. } => (INTENT, &[]),
            Self::Completed { outcome, .. } => match outcome {
                KeyOutcome::Served(result) => (SERVED, result),
                KeyOutcome::Failed => (FAILED, &[]),
            },
        };
        let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + result.len());
        bytes.push(kind);
        bytes.extend_from_slice(&self.digest().to_be_bytes());
        bytes.extend_from_slice(result);
        bytes
    }

    /// Decodes stored bytes; `None` if they are not a valid record.
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
