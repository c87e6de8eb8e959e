//! The codec of the HTTP/1.1 that is spoken with the store and the directory. No sockets here.

use std::io::Write;

const MOST_HEADERS: usize = 32;
const LARGEST_HEAD: usize = 16_384;
const LARGEST_BODY: usize = 1_048_576;

/// A whole reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// It says that nothing ran.
    pub not_run: bool,
    /// The connection ends with it.
    pub closes_connection: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes it took.
    pub length: usize,
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
/// Interim replies (1xx) are read past: the final one follows them.
///
/// # Errors
/// Where no reply can be read.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<Response>, String> {
    let mut passed = 0;
    loop {
        match parse_one(&bytes[passed..], ended)? {
            Some(reply) if reply.status < 200 => passed += reply.length,
            reply => {
                return Ok(reply.map(|reply| Response {
                    length: passed + reply.length,
                    ..reply
                }))
            }
        }
        if passed > LARGEST_HEAD {
            return Err("too many interim replies".to_owned());
        }
    }
}

fn parse_one(bytes: &[u8], ended: bool) -> Result<Option<Response>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response
        .parse(bytes)
        .map_err(|e| format!("no HTTP reply: {e}"))?
    {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > LARGEST_HEAD => {
            return Err("the head of the reply is too long".to_owned())
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    let find = |name: &str| {
        let header = response
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        header
            .and_then(|header| std::str::from_utf8(header.value).ok())
            .map(str::trim)
    };
    if find("Transfer-Encoding").is_some() {
        return Err("a reply in chunks is not spoken here".to_owned());
    }
    let bare = status == 204 || status == 304 || status < 200;
    let told = told_length(response.headers)?.or(bare.then_some(0));
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
    Ok(Some(Response {
        status,
        not_run,
        closes_connection: closes,
        body: rest[..length].to_vec(),
        length: head + length,
    }))
}

/// The length that the head tells. Guards against a head that tells two: nobody knows then where the body ends,
/// and a run must not be given a part of it.
fn told_length(headers: &[httparse::Header]) -> Result<Option<usize>, String> {
    let mut told = None;
    for header in headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("Content-Length"))
    {
        let text = String::from_utf8_lossy(header.value);
        let digits = !text.trim().is_empty() && text.trim().bytes().all(|b| b.is_ascii_digit());
        let length = text.trim().parse().ok().filter(|_| digits);
        let length = length.ok_or_else(|| format!("Content-Length is {text:?}"))?;
        if told.is_some_and(|other| other != length) {
            return Err("the reply tells two lengths".to_owned());
        }
        told = Some(length);
    }
    Ok(told)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_written_whole() {
        let mut out = Vec::new();
        push_request(
            &mut out,
            "POST",
            "/query",
            "127.0.0.1:9",
            &[("X-Wait-Ms", "250".to_owned())],
            b"ab",
        );
        let text =
            "POST /query HTTP/1.1\r\nHost: 127.0.0.1:9\r\nX-Wait-Ms: 250\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(String::from_utf8_lossy(&out), text);
    }

    #[test]
    fn a_reply_is_read_once_it_is_whole() {
        let text = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nContent-Length: 3\r\n\r\nabcHTTP";
        let whole = text.len() - 4;
        for cut in 0..whole {
            assert_eq!(parse_response(&text[..cut], false), Ok(None));
        }
        let reply = Response {
            status: 503,
            not_run: true,
            closes_connection: false,
            body: b"abc".to_vec(),
            length: whole,
        };
        assert_eq!(parse_response(text, false), Ok(Some(reply)));
    }

    #[test]
    fn without_a_length_the_body_ends_with_the_connection() {
        let text = b"HTTP/1.1 200 OK\r\n\r\nabc";
        assert_eq!(parse_response(text, false), Ok(None));
        let reply = parse_response(text, true).expect("a reply").expect("whole");
        assert!(reply.closes_connection && reply.body == b"abc");
        assert_eq!(
            parse_response(b"HTTP/1.1 204 No\r\n\r\n", false)
                .expect("a reply")
                .expect("whole")
                .length,
            19
        );
    }

    #[test]
    fn interim_replies_are_read_past() {
        let text = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n\
            HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for cut in 0..text.len() {
            assert_eq!(parse_response(&text[..cut], false), Ok(None), "{cut}");
        }
        let reply = parse_response(text, false)
            .expect("a reply")
            .expect("whole");
        assert_eq!(
            (reply.status, &reply.body[..], reply.length),
            (200, &b"ok"[..], text.len())
        );
        let endless = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(LARGEST_HEAD / 16);
        assert!(parse_response(&endless, false).is_err());
    }

    #[test]
    fn what_is_no_reply_is_an_error() {
        for text in [
            &b"SSH-2.0\r\n"[..],
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        ] {
            assert!(
                parse_response(text, true).is_err(),
                "{}",
                text.escape_ascii()
            );
        }
        let endless = [&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'a'; LARGEST_HEAD]].concat();
        assert!(parse_response(&endless, false).is_err());
    }
}
