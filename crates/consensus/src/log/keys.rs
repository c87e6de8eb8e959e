//! The keys of the log in the storage. They are a stored format and never change.

/// The ballot that was promised last.
pub(super) const PROMISE: &[u8] = b"promise";
/// The ballot of the last accepted round.
pub(super) const ACCEPTED_ROUND: &[u8] = b"round";
/// The number of decided entries.
pub(super) const DECIDED: &[u8] = b"decided";
/// The number of entries that were trimmed.
pub(super) const COMPACTED: &[u8] = b"compacted";
/// The stop sign that ends the log of a configuration.
pub(super) const STOP_SIGN: &[u8] = b"stop";
/// The table as it was stored at the last trim.
pub(super) const TABLE: &[u8] = b"table";
/// The current configuration.
pub(super) const CONFIGURATION: &[u8] = b"group";
/// The table that the log of the current configuration started from.
pub(super) const INITIAL_TABLE: &[u8] = b"begun";

/// The start of the key of an entry; its index in 8 bytes, big-endian, follows.
const ENTRY_PREFIX: [u8; 2] = [b'c', 0];
const ENTRY_KEY_BYTES: usize = ENTRY_PREFIX.len() + size_of::<u64>();

/// Returns whether the key is that of an entry.
pub(super) fn is_entry(key: &[u8]) -> bool {
    key.len() == ENTRY_KEY_BYTES && key.starts_with(&ENTRY_PREFIX)
}

/// Returns the key of the entry with this index. Keys sort as their indexes do.
pub(super) fn entry(index: usize) -> Vec<u8> {
    let mut key = ENTRY_PREFIX.to_vec();
    key.extend_from_slice(&(index as u64).to_be_bytes());
    key
}
