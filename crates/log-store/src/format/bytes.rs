//! Reading little-endian integers out of byte slices. Bytes that are missing read as zero; callers
//! check lengths and checksums first.

/// Reads a `u16` at `offset`.
pub(crate) fn read_u16(bytes: &[u8], offset: usize) -> u16 {
    bytes
        .get(offset..)
        .and_then(|rest| rest.first_chunk())
        .map_or(0, |chunk| u16::from_le_bytes(*chunk))
}

/// Reads a `u32` at `offset`.
pub(crate) fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    bytes
        .get(offset..)
        .and_then(|rest| rest.first_chunk())
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}

/// Reads a `u64` at `offset`.
pub(crate) fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    bytes
        .get(offset..)
        .and_then(|rest| rest.first_chunk())
        .map_or(0, |chunk| u64::from_le_bytes(*chunk))
}
