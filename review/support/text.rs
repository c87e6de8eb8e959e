//! Base64, and values of flat JSON objects on one line.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let value = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (value >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() {
                DIGITS[index as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut value, mut bits) = (0_u32, 0);
    for character in text.bytes().filter(|byte| *byte != b'=') {
        value = (value << 6) | DIGITS.iter().position(|digit| *digit == character)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    Some(bytes)
}

/// Returns the text or number of a key of a flat JSON object whose texts need no escapes.
pub fn json_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let marker = format!("\"{key}\":");
    let rest = line[line.find(&marker)? + marker.len()..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}
