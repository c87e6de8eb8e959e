//! Paths of requests as nginx reads them before it looks for a location: decoded, dot segments resolved, slashes merged.

/// A request's target, taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Uri {
    /// The path to route by: decoded and normal.
    pub path: Vec<u8>,
    /// What follows the question mark.
    pub args: String,
}

fn hex(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}

/// Reads a target such as `/a/../b%20c?d#e`; what follows a number sign is dropped.
///
/// # Errors
/// What is wrong with it; nginx answers 400.
pub fn read(target: &str, merge_slashes: bool) -> Result<Uri, &'static str> {
    if !target.starts_with('/') {
        return Err("it does not begin with a slash");
    }
    let target = target.split('#').next().unwrap_or_default();
    let (path, args) = target.split_once('?').unwrap_or((target, ""));
    let mut decoded: Vec<u8> = Vec::with_capacity(path.len());
    let mut bytes = path.bytes();
    while let Some(byte) = bytes.next() {
        let byte = match byte {
            b'%' => match (bytes.next().and_then(hex), bytes.next().and_then(hex)) {
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
    // Without any of these the path is normal as it stands.
    let odd = |pair: &[u8]| matches!(pair, [b'/', b'/' | b'.']);
    if !decoded.windows(2).any(odd) {
        return Ok(Uri {
            path: decoded,
            args: args.to_owned(),
        });
    }
    let mut out: Vec<u8> = Vec::with_capacity(decoded.len());
    let mut rest = &decoded[..];
    // Each turn takes a slash and the segment after it.
    while let Some(after) = rest.strip_prefix(b"/") {
        let end = after
            .iter()
            .position(|byte| *byte == b'/')
            .unwrap_or(after.len());
        let (segment, next) = after.split_at(end);
        rest = next;
        match segment {
            b"." if next.is_empty() => out.push(b'/'),
            b"." => {}
            b".." => {
                let Some(back) = out.iter().rposition(|byte| *byte == b'/') else {
                    return Err("it leads above the root");
                };
                out.truncate(back);
                if next.is_empty() {
                    out.push(b'/');
                }
            }
            b"" if merge_slashes && !next.is_empty() => {}
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

/// Writes a decoded path as it may stand in a request.
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
    fn targets_are_read_as_nginx_reads_them() {
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
            let found = read(target, true).unwrap();
            assert_eq!(
                (
                    String::from_utf8_lossy(&found.path).as_ref(),
                    found.args.as_str()
                ),
                (path, args),
                "{target}"
            );
        }
        assert_eq!(read("/a//b", false).unwrap().path, b"/a//b");
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
            assert!(read(target, true).is_err(), "{target}");
        }
        assert_eq!(escape(b"/a b%?\xff"), "/a%20b%25%3F%FF");
    }
}
