//! The directory's stand-in: takes reports, and says who is on the list.

use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use std::collections::HashMap;

/// An entry lapses so long after its last report.
const LAPSE: Micros = 3_000_000;

/// The stand-in.
#[derive(Default)]
pub struct ServiceRegistry {
    inputs: HashMap<ConnectionId, Vec<u8>>,
    /// When each matcher last reported, and whether it was open.
    reports: HashMap<String, (Micros, bool)>,
    /// Reports that came.
    pub report_count: u64,
}

impl ServiceRegistry {
    /// Whether this matcher is on the list.
    #[must_use]
    pub fn is_listed(&self, now: Micros, name: &str) -> bool {
        self.reports
            .get(name)
            .is_some_and(|report| now < report.0 + LAPSE)
    }

    /// Whether this matcher's last report said that it is open.
    #[must_use]
    pub fn is_reported_open(&self, name: &str) -> bool {
        self.reports.get(name).is_some_and(|report| report.1)
    }
}

impl Service for ServiceRegistry {
    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let input = self.inputs.entry(link).or_default();
        input.extend_from_slice(bytes);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut request = httparse::Request::new(&mut headers);
            let head = match request.parse(input) {
                Ok(httparse::Status::Complete(head)) => head,
                Ok(httparse::Status::Partial) => return,
                Err(_) => {
                    self.inputs.remove(&link);
                    out.push(Effect::Close(link));
                    return;
                }
            };
            let length = request
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case("Content-Length"));
            let length =
                length.and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse().ok());
            let whole = head + length.unwrap_or(0usize).min(1_048_576);
            if input.len() < whole {
                return;
            }
            let name = request
                .path
                .and_then(|path| path.strip_prefix("/dir/nodes/"))
                .map(str::to_owned);
            let open = input[head..whole]
                .windows(6)
                .any(|part| part == b"\"open\"");
            input.drain(..whole);
            self.report_count += 1;
            let status = if let Some(name) = name {
                self.reports.insert(name, (now, open));
                "204 No Content"
            } else {
                "404 Not Found"
            };
            let reply = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            out.push(Effect::Send(link, reply.into_bytes()));
        }
    }

    fn on_close(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        self.inputs.remove(&link);
    }

    fn advance(&mut self, _: Micros, _: &mut Vec<Effect>) {}

    fn next_deadline(&self) -> Option<Micros> {
        None
    }
}
