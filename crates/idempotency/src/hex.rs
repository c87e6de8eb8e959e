//! Encoding of bytes as hexadecimal digits, for JSON and the command line.

use serde::{Deserialize, Deserializer, Serializer};

/// Encodes bytes as lower-case hexadecimal digits.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes pairs of hexadecimal digits; `None` if the text is anything else.
#[must_use]
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

pub(crate) fn serialize<S: Serializer>(value: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&to_hex(value))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    from_hex(&text).ok_or_else(|| serde::de::Error::custom("expected pairs of hexadecimal digits"))
}
