//! The codec of HTTP/1.1 as used with the store and the directory. No sockets here.

use std::io::Write;

const MAX_HEADERS: usize = 32;
const MAX_HEAD_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 1_048_576;

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the server states that the request never ran.
    pub not_run: bool,
    /// Whether the connection can't be reused after it.
    pub closes_connection: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Number of bytes of the response, head included.
    pub length: usize,
}

/// Appends a request.
pub fn push_request(
    output: &mut Vec<u8>,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
) {
    // Writing to a vector can't fail.
    let _ = write!(output, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(output, "{name}: {value}\r\n");
    }
    let _ = write!(output, "Content-Length: {}\r\n\r\n", body.len());
    output.extend_from_slice(body);
}

/// Parses the response at the front of `bytes`; `is_ended` tells whether the peer has closed its
/// side. Returns `None` if the response is incomplete. Skips interim responses (1xx), which the
/// final one follows.
///
/// # Errors
/// Returns what is wrong with the response.
pub fn parse_response(bytes: &[u8], is_ended: bool) -> Result<Option<Response>, String> {
    let mut skipped = 0;
    loop {
        match parse_next(&bytes[skipped..], is_ended)? {
            Some(response) if response.status < 200 => skipped += response.length,
            response => {
                return Ok(response.map(|response| Response {
                    length: skipped + response.length,
                    ..response
                }))
            }
        }
        if skipped > MAX_HEAD_BYTES {
            return Err("too many interim responses".to_owned());
        }
    }
}

fn parse_next(bytes: &[u8], is_ended: bool) -> Result<Option<Response>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response
        .parse(bytes)
        .map_err(|e| format!("invalid HTTP response: {e}"))?
    {
        httparse::Status::Complete(head_bytes) => head_bytes,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err("the head of the response is too long".to_owned())
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    let header_value = |name: &str| {
        let header = response
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        header
            .and_then(|header| std::str::from_utf8(header.value).ok())
            .map(str::trim)
    };
    if header_value("Transfer-Encoding").is_some() {
        return Err("Transfer-Encoding is not supported".to_owned());
    }
    let has_no_body = status == 204 || status == 304 || status < 200;
    let content_length = parse_content_length(response.headers)?.or(has_no_body.then_some(0));
    let after_head = &bytes[head_bytes..];
    let length = content_length.unwrap_or(after_head.len());
    if length > MAX_BODY_BYTES {
        return Err("the body of the response is too long".to_owned());
    }
    if after_head.len() < length || (content_length.is_none() && !is_ended) {
        return Ok(None);
    }
    let closes_connection = content_length.is_none()
        || response.version == Some(0)
        || header_value("Connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
    let not_run = header_value("X-Not-Run") == Some("1");
    Ok(Some(Response {
        status,
        not_run,
        closes_connection,
        body: after_head[..length].to_vec(),
        length: head_bytes + length,
    }))
}

/// Returns the value of Content-Length. Rejects a head with two different values: the end of the
/// body is unknown then, and a run must not receive a part of it.
fn parse_content_length(headers: &[httparse::Header]) -> Result<Option<usize>, String> {
    let mut content_length = None;
    for header in headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("Content-Length"))
    {
        let text = String::from_utf8_lossy(header.value);
        let digits = !text.trim().is_empty() && text.trim().bytes().all(|b| b.is_ascii_digit());
        let length = text.trim().parse().ok().filter(|_| digits);
        let length = length.ok_or_else(|| format!("Content-Length is {text:?}"))?;
        if content_length.is_some_and(|other| other != length) {
            return Err("two different values of Content-Length".to_owned());
        }
        content_length = Some(length);
    }
    Ok(content_length)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encodes_request_with_headers_and_body() {
        let mut output = Vec::new();
        push_request(
            &mut output,
            "POST",
            "/query",
            "127.0.0.1:9",
            &[("X-Wait-Ms", "250".to_owned())],
            b"ab",
        );
        let text =
            "POST /query HTTP/1.1\r\nHost: 127.0.0.1:9\r\nX-Wait-Ms: 250\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(String::from_utf8_lossy(&output), text);
    }

    #[test]
    fn response_is_parsed_once_complete() {
        let text = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nContent-Length: 3\r\n\r\nabcHTTP";
        let response_bytes = text.len() - 4;
        for cut in 0..response_bytes {
            assert_eq!(parse_response(&text[..cut], false), Ok(None));
        }
        let response = Response {
            status: 503,
            not_run: true,
            closes_connection: false,
            body: b"abc".to_vec(),
            length: response_bytes,
        };
        assert_eq!(parse_response(text, false), Ok(Some(response)));
    }

    #[test]
    fn body_without_length_ends_with_the_connection() {
        let text = b"HTTP/1.1 200 OK\r\n\r\nabc";
        assert_eq!(parse_response(text, false), Ok(None));
        let response = parse_response(text, true)
            .expect("a response")
            .expect("complete");
        assert!(response.closes_connection && response.body == b"abc");
        assert_eq!(
            parse_response(b"HTTP/1.1 204 No\r\n\r\n", false)
                .expect("a response")
                .expect("complete")
                .length,
            19
        );
    }

    #[test]
    fn interim_responses_are_skipped() {
        let text = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n\
            HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for cut in 0..text.len() {
            assert_eq!(parse_response(&text[..cut], false), Ok(None), "{cut}");
        }
        let response = parse_response(text, false)
            .expect("a response")
            .expect("complete");
        assert_eq!(
            (response.status, &response.body[..], response.length),
            (200, &b"ok"[..], text.len())
        );
        let endless = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(MAX_HEAD_BYTES / 16);
        assert!(parse_response(&endless, false).is_err());
    }

    #[test]
    fn invalid_responses_are_rejected() {
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
        let endless = [&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'a'; MAX_HEAD_BYTES]].concat();
        assert!(parse_response(&endless, false).is_err());
    }
}
