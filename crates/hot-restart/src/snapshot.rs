//! Encoding of the overload controller's learned state for the handover to the successor.
//!
//! A snapshot has a version, the site where the state was learned, its time and a checksum, so that
//! a snapshot that is damaged, too old or of another site is rejected instead of restored.

use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use cleatpulley_policy::learned_state::LearnedState;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the snapshot format. Snapshots of other versions are rejected.
pub const SNAPSHOT_VERSION: u32 = 1;
/// Maximum age of a snapshot: an older one does not reflect the current load.
pub const MAX_AGE: Micros = 10_000_000;

/// The learned state with its metadata and checksum. A snapshot is its JSON.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotEnvelope {
    version: u32,
    /// See [`site_digest`].
    #[serde(rename = "site")]
    site_digest: u64,
    #[serde(rename = "taken")]
    taken_at: Micros,
    /// The JSON of the [`LearnedState`].
    #[serde(rename = "learned")]
    learned_state: String,
    checksum: u64,
}

impl SnapshotEnvelope {
    /// Computes the checksum over all other fields.
    fn compute_checksum(&self) -> u64 {
        let Self {
            version,
            site_digest,
            taken_at,
            learned_state,
            checksum: _,
        } = self;
        let text = format!("{version} {site_digest} {taken_at} {learned_state}");
        xxh3_64(text.as_bytes())
    }
}

/// The reason why a snapshot is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The text is not the JSON of a snapshot.
    #[error("malformed snapshot: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The snapshot has another version.
    #[error("snapshot version {0} is not supported, {SNAPSHOT_VERSION} is")]
    UnsupportedVersion(u32),
    /// The checksum does not match.
    #[error("snapshot is damaged: checksum mismatch")]
    Damaged,
    /// The snapshot was taken at another site.
    #[error("snapshot was taken at another site")]
    OtherSite,
    /// The snapshot was taken too long ago, or too far in the future; its age in milliseconds.
    #[error("snapshot is {0} ms old, which is outside the permitted age")]
    OutsidePermittedAge(i64),
}

/// Returns the digest of a site: of a server's name and the names of its classes, in order.
#[must_use]
pub fn site_digest(name: &str, classes: &[String]) -> u64 {
    let class_lines = classes.join("\n");
    xxh3_64(format!("{name}\n{class_lines}").as_bytes())
}

/// Encodes the learned state of a site as a snapshot taken now.
#[must_use]
pub fn encode(site_digest: u64, now: Micros, learned_state: &LearnedState) -> String {
    // Can't fail: the state consists of numbers and strings.
    let learned_state = serde_json::to_string(learned_state).unwrap_or_default();
    let mut snapshot = SnapshotEnvelope {
        version: SNAPSHOT_VERSION,
        site_digest,
        taken_at: now,
        learned_state,
        checksum: 0,
    };
    snapshot.checksum = snapshot.compute_checksum();
    serde_json::to_string(&snapshot).unwrap_or_default()
}

/// Decodes a snapshot and returns the learned state in it.
///
/// # Errors
/// [`SnapshotError`] if the snapshot is malformed or damaged, has another version or site, or was
/// taken more than [`MAX_AGE`] before or after now.
pub fn decode(site_digest: u64, now: Micros, text: &str) -> Result<LearnedState, SnapshotError> {
    let snapshot: SnapshotEnvelope = serde_json::from_str(text)?;
    if snapshot.version != SNAPSHOT_VERSION {
        return Err(SnapshotError::UnsupportedVersion(snapshot.version));
    }
    let is_intact = snapshot.checksum == snapshot.compute_checksum();
    if !is_intact && !is_bug_injected(InjectedBug::TornSnapshotAccepted) {
        return Err(SnapshotError::Damaged);
    }
    if snapshot.site_digest != site_digest {
        return Err(SnapshotError::OtherSite);
    }
    // The clocks of the two processes differ only a little: each process reads the system clock
    // once.
    if now.abs_diff(snapshot.taken_at) > MAX_AGE {
        let age_ms = (now as i64 - snapshot.taken_at as i64) / 1_000;
        return Err(SnapshotError::OutsidePermittedAge(age_ms));
    }
    Ok(serde_json::from_str(&snapshot.learned_state)?)
}

#[cfg(test)]
mod tests;
