//! Normalized request paths, as nginx makes them before it looks up a location: percent-decoded,
//! dot segments resolved, adjacent slashes merged.

/// A parsed request target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Uri {
    /// Path to route by, decoded and normalized.
    pub path: Vec<u8>,
    /// Query string, without the question mark.
    pub args: String,
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}

/// Parses a request target such as `/a/../b%20c?d#e`. The fragment is dropped.
///
/// # Errors
/// What is wrong with the target; nginx responds with 400.
pub fn parse(target: &str, merge_slashes: bool) -> Result<Uri, &'static str> {
    if !target.starts_with('/') {
        return Err("it does not begin with a slash");
    }
    let target = target.split('#').next().unwrap_or_default();
    let (path, args) = target.split_once('?').unwrap_or((target, ""));
    let mut decoded: Vec<u8> = Vec::with_capacity(path.len());
    let mut bytes = path.bytes();
    while let Some(byte) = bytes.next() {
        let byte = match byte {
            b'%' => match (
                bytes.next().and_then(hex_digit),
                bytes.next().and_then(hex_digit),
            ) {
                (Some(high), Some(low)) => high << 4 | low,
                _ => return Err("a percent sign without two hexadecimal digits"),
            },
            byte => byte,
        };
        if byte == 0 {
            return Err("a zero byte");
        }
        decoded.push(byte);
    }
    // A path without adjacent slashes and without a dot after a slash is normalized already.
    let needs_normalizing = |pair: &[u8]| matches!(pair, [b'/', b'/' | b'.']);
    if !decoded.windows(2).any(needs_normalizing) {
        return Ok(Uri {
            path: decoded,
            args: args.to_owned(),
        });
    }
    let mut out: Vec<u8> = Vec::with_capacity(decoded.len());
    let mut remaining = &decoded[..];
    // Each iteration consumes a slash and the segment after it.
    while let Some(tail) = remaining.strip_prefix(b"/") {
        let end = tail
            .iter()
            .position(|byte| *byte == b'/')
            .unwrap_or(tail.len());
        let (segment, following) = tail.split_at(end);
        remaining = following;
        match segment {
            b"." if following.is_empty() => out.push(b'/'),
            b"." => {}
            b".." => {
                let Some(parent) = out.iter().rposition(|byte| *byte == b'/') else {
                    return Err("it leads above the root");
                };
                out.truncate(parent);
                if following.is_empty() {
                    out.push(b'/');
                }
            }
            b"" if merge_slashes && !following.is_empty() => {}
            segment => {
                out.push(b'/');
                out.extend_from_slice(segment);
            }
        }
    }
    Ok(Uri {
        path: out,
        args: args.to_owned(),
    })
}

/// Percent-encodes a decoded path, so that it can be part of a request.
#[must_use]
pub fn escape(path: &[u8]) -> String {
    let mut out = String::with_capacity(path.len());
    for byte in path {
        match byte {
            0..=0x20 | 0x7f..=0xff | b'#' | b'%' | b'?' | b'"' => {
                out.push_str(&format!("%{byte:02X}"));
            }
            byte => out.push(char::from(*byte)),
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_normalizes_targets_as_nginx_does() {
        let cases: [(&str, &str, &str); 16] = [
            ("/a", "/a", ""),
            ("/a?b?c", "/a", "b?c"),
            ("/a#b?c", "/a", ""),
            ("/a?b#c", "/a", "b"),
            ("//a///b", "/a/b", ""),
            ("/a//", "/a/", ""),
            ("/./a/./b/.", "/a/b/", ""),
            ("/a/../b", "/b", ""),
            ("/a/b/..", "/a/", ""),
            ("/a/b/../", "/a/", ""),
            ("/a%2fb", "/a/b", ""),
            ("/a/%2e%2E/b", "/b", ""),
            ("/a%20b%3Fc", "/a b?c", ""),
            ("/a..b/.c/..d", "/a..b/.c/..d", ""),
            ("/", "/", ""),
            ("/a/..", "/", ""),
        ];
        for (target, path, args) in cases {
            let found = parse(target, true).unwrap();
            assert_eq!(
                (
                    String::from_utf8_lossy(&found.path).as_ref(),
                    found.args.as_str()
                ),
                (path, args),
                "{target}"
            );
        }
        assert_eq!(parse("/a//b", false).unwrap().path, b"/a//b");
        for target in [
            "a",
            "",
            "/..",
            "/a/../..",
            "/%",
            "/%4",
            "/%zz",
            "/%00",
            "/a/../../b",
        ] {
            assert!(parse(target, true).is_err(), "{target}");
        }
        assert_eq!(escape(b"/a b%?\xff"), "/a%20b%25%3F%FF");
    }
}
