//! The codec of the HTTP/1.1 that is spoken with the store and the directory. No sockets here.

use std::io::Write;

const MOST_HEADERS: usize = 32;
const LARGEST_HEAD: usize = 16_384;
const LARGEST_BODY: usize = 1_048_576;

/// A whole reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// It says that nothing ran.
    pub not_run: bool,
    /// The connection ends with it.
    pub closes: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes it took.
    pub size: usize,
}

/// Appends a request.
pub fn push_request(
    out: &mut Vec<u8>,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
) {
    // Writing to a vector can't fail.
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}

/// Reads the reply at the front of the bytes; `ended` tells that no more will come. None where it is not whole.
///
/// # Errors
/// Where no reply can be read.
pub fn parse(bytes: &[u8], ended: bool) -> Result<Option<Reply>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes).map_err(|e| format!("no HTTP reply: {e}"))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > LARGEST_HEAD => {
            return Err("the head of the reply is too long".to_owned())
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    let find = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    if find("Transfer-Encoding").is_some() {
        return Err("a reply in chunks is not spoken here".to_owned());
    }
    let told = match find("Content-Length") {
        Some(text) => Some(text.parse::<usize>().map_err(|_| format!("Content-Length is {text:?}"))?),
        None => (status == 204 || status == 304 || status < 200).then_some(0),
    };
    let rest = &bytes[head..];
    let length = told.unwrap_or(rest.len());
    if length > LARGEST_BODY {
        return Err("the reply is too long".to_owned());
    }
    if rest.len() < length || (told.is_none() && !ended) {
        return Ok(None);
    }
    let closes = told.is_none()
        || response.version == Some(0)
        || find("Connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
    let not_run = find("X-Not-Run") == Some("1");
    Ok(Some(Reply { status, not_run, closes, body: rest[..length].to_vec(), size: head + length }))
}
