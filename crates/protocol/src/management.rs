//! What operators ask of a process: HTTP/1.1, one call a connection. A connection is a state machine: bytes and time in,
//! a call, bytes to send and a deadline out.

use cleatpulley_policy::interface::Micros;
use std::io::Write;

/// A call is whole within this time, or answered 408.
pub const REQUEST_TIMEOUT: Micros = 5_000_000;
/// After the answer, what the caller still sends is read away for so long: closing over unread bytes would take back
/// an answer on its way.
const LINGER: Micros = 1_000_000;
/// The longest head of a call.
pub const MAX_HEAD_BYTES: usize = 8_192;
const MOST_HEADERS: usize = 64;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// Whether the process takes clients.
    Readiness,
    /// The figures.
    Variables,
}

/// What a process answers.
pub trait ManagementData {
    /// It takes clients.
    fn is_ready(&self) -> bool;

    /// The figures, as JSON.
    fn variables_json(&self) -> Vec<u8>;
}

/// A caller's connection.
#[derive(Debug)]
pub struct Connection {
    since: Micros,
    /// When its call was answered, or turned away.
    answered: Option<Micros>,
    /// The head that was looked at is no longer than this.
    seen: usize,
}

impl Connection {
    /// One that was accepted now.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            since: now,
            answered: None,
            seen: 0,
        }
    }

    /// Its one call has its answer.
    #[must_use]
    pub fn has_responded(&self) -> bool {
        self.answered.is_some()
    }

    /// When it was accepted.
    #[must_use]
    pub fn accepted_at(&self) -> Micros {
        self.since
    }

    /// When [`expire`](Self::expire) is due.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        self.answered
            .map_or(self.since + REQUEST_TIMEOUT, |at| at + LINGER)
    }

    /// Takes the bytes read so far and returns how many are used up. Whatever follows the call is thrown away.
    pub fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        out: &mut Vec<u8>,
        answers: &dyn ManagementData,
    ) -> usize {
        if self.has_responded() {
            return input.len();
        }
        // Guards against a head that comes byte by byte and is looked at whole for each.
        let from = self.seen.saturating_sub(3);
        self.seen = input.len();
        let blank = |bytes: &[u8]| {
            bytes.windows(2).any(|w| w == b"\n\n") || bytes.windows(3).any(|w| w == b"\n\r\n")
        };
        if !blank(&input[from.min(input.len())..]) && input.len() <= MAX_HEAD_BYTES {
            return 0;
        }
        let (status, body) = match parse(input) {
            Ok(Endpoint::Readiness) if answers.is_ready() => (200, b"{\"ready\":true}\n".to_vec()),
            Ok(Endpoint::Readiness) => (503, b"{\"ready\":false}\n".to_vec()),
            Ok(Endpoint::Variables) => (200, answers.variables_json()),
            Err((status, what)) => (status, format!("{what}\n").into_bytes()),
        };
        push_reply(out, status, &body, input.starts_with(b"HEAD "));
        self.answered = Some(now);
        input.len()
    }

    /// Its time has passed: true where the connection is to be closed, and not to be read from any longer.
    pub fn expire(&mut self, now: Micros, out: &mut Vec<u8>) -> bool {
        if !self.has_responded() {
            push_reply(out, 408, b"no whole call came in time\n", false);
            self.answered = Some(now);
            return false;
        }
        true
    }
}

/// The call that these bytes are; a fault is a status and what is wrong.
fn parse(bytes: &[u8]) -> Result<Endpoint, (u16, &'static str)> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => {}
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, "the head is too long")),
        Err(_) => return Err((400, "this is no HTTP/1.1 request")),
    }
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let call = match path {
        "/_ready" => Endpoint::Readiness,
        "/_vars" => Endpoint::Variables,
        _ => return Err((404, "there are /_ready and /_vars")),
    };
    match request.method {
        Some("GET" | "HEAD") => Ok(call),
        _ => Err((405, "only GET is answered")),
    }
}

fn push_reply(out: &mut Vec<u8>, status: u16, body: &[u8], head_only: bool) {
    let (reason, kind, more) = match status {
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
        out,
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nCache-Control: no-store\r\n{more}\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    if !head_only {
        out.extend_from_slice(body);
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

    fn ask(text: &[u8], ready: bool) -> (usize, String) {
        let (mut out, mut connection) = (Vec::new(), Connection::new(0));
        let used = connection.receive(1, text, &mut out, &Fixed(ready));
        (used, String::from_utf8(out).expect("text"))
    }

    fn status(text: &[u8]) -> String {
        ask(text, true).1.split(' ').nth(1).unwrap_or("").to_owned()
    }

    #[test]
    fn a_call_is_answered_once_it_is_whole_wherever_it_is_cut() {
        let text = b"GET /_vars HTTP/1.1\r\nHost: a\r\n\r\n";
        for cut in 1..text.len() {
            let (mut out, mut connection) = (Vec::new(), Connection::new(0));
            assert_eq!(
                connection.receive(1, &text[..cut], &mut out, &Fixed(true)),
                0,
                "{cut}"
            );
            assert!(out.is_empty() && !connection.has_responded());
            assert_eq!(
                connection.receive(2, text, &mut out, &Fixed(true)),
                text.len()
            );
            assert!(out.starts_with(b"HTTP/1.1 200 ") && out.ends_with(b"\r\n\r\n{}"));
            assert_eq!(
                connection.receive(3, b"GET /_vars", &mut out, &Fixed(true)),
                10,
                "one call each"
            );
            assert_eq!(connection.deadline(), 2 + LINGER);
        }
    }

    #[test]
    fn a_bad_call_is_told_what_is_wrong_with_it() {
        assert_eq!(status(b"GET /_ready HTTP/1.1\r\n\r\n"), "200");
        assert_eq!(status(b"GET /_ready?x HTTP/1.0\n\n"), "200");
        assert!(ask(b"GET /_ready HTTP/1.1\r\n\r\n", false)
            .1
            .starts_with("HTTP/1.1 503"));
        assert_eq!(status(b"GET / HTTP/1.1\r\n\r\n"), "404");
        assert!(ask(b"POST /_vars HTTP/1.1\r\n\r\n", true)
            .1
            .contains("Allow: GET, HEAD"));
        assert_eq!(status(b"\x16\x03\x01\n\n"), "400");
        assert_eq!(
            status(&[&b"GET /_vars HTTP/1.1\r\nA: "[..], &[b'a'; MAX_HEAD_BYTES]].concat()),
            "431"
        );
        let headers = b"A: b\r\n".repeat(MOST_HEADERS + 1);
        assert_eq!(
            status(&[&b"GET /_vars HTTP/1.1\r\n"[..], &headers, b"\r\n"].concat()),
            "431"
        );
        assert!(ask(b"HEAD /_vars HTTP/1.1\r\n\r\n", true)
            .1
            .ends_with("close\r\n\r\n"));
    }

    #[test]
    fn a_call_that_does_not_come_is_given_up() {
        let (mut out, mut connection) = (Vec::new(), Connection::new(7));
        assert_eq!(connection.deadline(), 7 + REQUEST_TIMEOUT);
        assert!(!connection.expire(7 + REQUEST_TIMEOUT, &mut out));
        assert!(out.starts_with(b"HTTP/1.1 408 "));
        assert!(connection.expire(7 + REQUEST_TIMEOUT + LINGER, &mut out));
    }
}
