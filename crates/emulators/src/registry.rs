//! Emulates the service registry: accepts status reports of matchers and tells which of them are
//! listed.

use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use std::collections::HashMap;

/// Time after its last report at which an entry expires.
const ENTRY_EXPIRY: Micros = 3_000_000;

/// The emulated registry.
#[derive(Default)]
pub struct ServiceRegistry {
    inputs: HashMap<ConnectionId, Vec<u8>>,
    /// Time of each matcher's last report, and whether it reported that it was open.
    reports: HashMap<String, (Micros, bool)>,
    /// Number of reports received.
    pub report_count: u64,
}

impl ServiceRegistry {
    /// Returns whether this matcher is listed.
    #[must_use]
    pub fn is_listed(&self, now: Micros, name: &str) -> bool {
        self.reports
            .get(name)
            .is_some_and(|report| now < report.0 + ENTRY_EXPIRY)
    }

    /// Returns whether this matcher's last report said that it is open.
    #[must_use]
    pub fn is_reported_open(&self, name: &str) -> bool {
        self.reports.get(name).is_some_and(|report| report.1)
    }
}

impl Service for ServiceRegistry {
    fn on_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let input = self.inputs.entry(connection).or_default();
        input.extend_from_slice(bytes);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut request = httparse::Request::new(&mut headers);
            let head_length = match request.parse(input) {
                Ok(httparse::Status::Complete(head_length)) => head_length,
                Ok(httparse::Status::Partial) => return,
                Err(_) => {
                    self.inputs.remove(&connection);
                    out.push(Effect::Close(connection));
                    return;
                }
            };
            let content_length = request
                .headers
                .iter()
                .find(|header| header.name.eq_ignore_ascii_case("Content-Length"));
            let content_length = content_length
                .and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
            let request_length = head_length + content_length.unwrap_or(0usize).min(1_048_576);
            if input.len() < request_length {
                return;
            }
            let name = request
                .path
                .and_then(|path| path.strip_prefix("/dir/nodes/"))
                .map(str::to_owned);
            let is_open = input[head_length..request_length]
                .windows(6)
                .any(|part| part == b"\"open\"");
            input.drain(..request_length);
            self.report_count += 1;
            let status = if let Some(name) = name {
                self.reports.insert(name, (now, is_open));
                "204 No Content"
            } else {
                "404 Not Found"
            };
            let reply = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            out.push(Effect::Send(connection, reply.into_bytes()));
        }
    }

    fn on_close(&mut self, _: Micros, connection: ConnectionId, _: &mut Vec<Effect>) {
        self.inputs.remove(&connection);
    }

    fn advance(&mut self, _: Micros, _: &mut Vec<Effect>) {}

    fn next_deadline(&self) -> Option<Micros> {
        None
    }
}
