//! The management endpoint for operators: HTTP/1.1 with one request per connection. A connection is
//! a state machine that takes bytes and the time, and returns bytes to send and a deadline.

use cleatpulley_policy::interface::Micros;
use std::io::Write;

/// A request that is not complete after this time gets the status 408.
pub const REQUEST_TIMEOUT: Micros = 5_000_000;
/// After the response, further input is read and discarded for this time: closing a socket with
/// unread input resets the connection, and the response in flight would be lost.
const LINGER_TIME: Micros = 1_000_000;
/// Maximum number of bytes of the head of a request.
pub const MAX_HEAD_BYTES: usize = 8_192;
const MAX_HEADERS: usize = 64;

/// The resource that is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// Whether the process accepts clients.
    Readiness,
    /// The process's variables.
    Variables,
}

/// The data that the endpoint serves.
pub trait ManagementData {
    /// Returns whether the process accepts clients.
    fn is_ready(&self) -> bool;

    /// Returns the variables as JSON.
    fn variables_json(&self) -> Vec<u8>;
}

/// The connection of an operator's client.
#[derive(Debug)]
pub struct Connection {
    accepted_at: Micros,
    /// When the response was sent, if it was.
    responded_at: Option<Micros>,
    /// Number of bytes of input already searched for the end of the head.
    searched_bytes: usize,
}

impl Connection {
    /// Creates the state of a connection accepted at `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            accepted_at: now,
            responded_at: None,
            searched_bytes: 0,
        }
    }

    /// Returns whether the response has been sent.
    #[must_use]
    pub fn has_responded(&self) -> bool {
        self.responded_at.is_some()
    }

    /// Returns when the connection was accepted.
    #[must_use]
    pub fn accepted_at(&self) -> Micros {
        self.accepted_at
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is to be called.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        self.responded_at
            .map_or(self.accepted_at + REQUEST_TIMEOUT, |at| at + LINGER_TIME)
    }

    /// Takes all bytes that were read and not consumed, and returns how many of them are consumed.
    /// Discards what follows the request.
    pub fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        output: &mut Vec<u8>,
        data: &dyn ManagementData,
    ) -> usize {
        if self.has_responded() {
            return input.len();
        }
        // Searches only new bytes: a head that arrives byte by byte would otherwise be searched
        // from its start for each byte.
        let from = self.searched_bytes.saturating_sub(3);
        self.searched_bytes = input.len();
        let has_blank_line = |bytes: &[u8]| {
            bytes.windows(2).any(|w| w == b"\n\n") || bytes.windows(3).any(|w| w == b"\n\r\n")
        };
        if !has_blank_line(&input[from.min(input.len())..]) && input.len() <= MAX_HEAD_BYTES {
            return 0;
        }
        let (status, body) = match parse_request(input) {
            Ok(Endpoint::Readiness) if data.is_ready() => (200, b"{\"ready\":true}\n".to_vec()),
            Ok(Endpoint::Readiness) => (503, b"{\"ready\":false}\n".to_vec()),
            Ok(Endpoint::Variables) => (200, data.variables_json()),
            Err((status, message)) => (status, format!("{message}\n").into_bytes()),
        };
        push_response(output, status, &body, input.starts_with(b"HEAD "));
        self.responded_at = Some(now);
        input.len()
    }

    /// Handles a passed deadline. Returns true if the connection is to be closed and not read from
    /// any longer.
    pub fn handle_timeout(&mut self, now: Micros, output: &mut Vec<u8>) -> bool {
        if !self.has_responded() {
            push_response(output, 408, b"no whole call came in time\n", false);
            self.responded_at = Some(now);
            return false;
        }
        true
    }
}

/// Parses the request; an error is a status and what is wrong.
fn parse_request(bytes: &[u8]) -> Result<Endpoint, (u16, &'static str)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => {}
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, "the head is too long")),
        Err(_) => return Err((400, "this is no HTTP/1.1 request")),
    }
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let endpoint = match path {
        "/_ready" => Endpoint::Readiness,
        "/_vars" => Endpoint::Variables,
        _ => return Err((404, "there are /_ready and /_vars")),
    };
    match request.method {
        Some("GET" | "HEAD") => Ok(endpoint),
        _ => Err((405, "only GET is answered")),
    }
}

fn push_response(output: &mut Vec<u8>, status: u16, body: &[u8], head_only: bool) {
    let (reason, content_type, extra_headers) = match status {
        200 => ("OK", "application/json", ""),
        503 => ("Service Unavailable", "application/json", ""),
        400 => ("Bad Request", "text/plain", ""),
        404 => ("Not Found", "text/plain", ""),
        405 => ("Method Not Allowed", "text/plain", "Allow: GET, HEAD\r\n"),
        408 => ("Request Timeout", "text/plain", ""),
        _ => ("Request Header Fields Too Large", "text/plain", ""),
    };
    // Writing to a vector can't fail.
    let _ = write!(
        output,
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nCache-Control: no-store\r\n{extra_headers}\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    if !head_only {
        output.extend_from_slice(body);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Fixed(bool);

    impl ManagementData for Fixed {
        fn is_ready(&self) -> bool {
            self.0
        }

        fn variables_json(&self) -> Vec<u8> {
            b"{}".to_vec()
        }
    }

    fn exchange(text: &[u8], ready: bool) -> (usize, String) {
        let (mut output, mut connection) = (Vec::new(), Connection::new(0));
        let used = connection.receive(1, text, &mut output, &Fixed(ready));
        (used, String::from_utf8(output).expect("text"))
    }

    fn status(text: &[u8]) -> String {
        exchange(text, true)
            .1
            .split(' ')
            .nth(1)
            .unwrap_or("")
            .to_owned()
    }

    #[test]
    fn a_request_split_at_any_byte_gets_one_response() {
        let text = b"GET /_vars HTTP/1.1\r\nHost: a\r\n\r\n";
        for cut in 1..text.len() {
            let (mut output, mut connection) = (Vec::new(), Connection::new(0));
            assert_eq!(
                connection.receive(1, &text[..cut], &mut output, &Fixed(true)),
                0,
                "{cut}"
            );
            assert!(output.is_empty() && !connection.has_responded());
            assert_eq!(
                connection.receive(2, text, &mut output, &Fixed(true)),
                text.len()
            );
            assert!(output.starts_with(b"HTTP/1.1 200 ") && output.ends_with(b"\r\n\r\n{}"));
            assert_eq!(
                connection.receive(3, b"GET /_vars", &mut output, &Fixed(true)),
                10,
                "one request per connection"
            );
            assert_eq!(connection.deadline(), 2 + LINGER_TIME);
        }
    }

    #[test]
    fn invalid_requests_get_an_error_status() {
        assert_eq!(status(b"GET /_ready HTTP/1.1\r\n\r\n"), "200");
        assert_eq!(status(b"GET /_ready?x HTTP/1.0\n\n"), "200");
        assert!(exchange(b"GET /_ready HTTP/1.1\r\n\r\n", false)
            .1
            .starts_with("HTTP/1.1 503"));
        assert_eq!(status(b"GET / HTTP/1.1\r\n\r\n"), "404");
        assert!(exchange(b"POST /_vars HTTP/1.1\r\n\r\n", true)
            .1
            .contains("Allow: GET, HEAD"));
        assert_eq!(status(b"\x16\x03\x01\n\n"), "400");
        assert_eq!(
            status(&[&b"GET /_vars HTTP/1.1\r\nA: "[..], &[b'a'; MAX_HEAD_BYTES]].concat()),
            "431"
        );
        let headers = b"A: b\r\n".repeat(MAX_HEADERS + 1);
        assert_eq!(
            status(&[&b"GET /_vars HTTP/1.1\r\n"[..], &headers, b"\r\n"].concat()),
            "431"
        );
        assert!(exchange(b"HEAD /_vars HTTP/1.1\r\n\r\n", true)
            .1
            .ends_with("close\r\n\r\n"));
    }

    #[test]
    fn a_missing_request_times_out() {
        let (mut output, mut connection) = (Vec::new(), Connection::new(7));
        assert_eq!(connection.deadline(), 7 + REQUEST_TIMEOUT);
        assert!(!connection.handle_timeout(7 + REQUEST_TIMEOUT, &mut output));
        assert!(output.starts_with(b"HTTP/1.1 408 "));
        assert!(connection.handle_timeout(7 + REQUEST_TIMEOUT + LINGER_TIME, &mut output));
    }
}
