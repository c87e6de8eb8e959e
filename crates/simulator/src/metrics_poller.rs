//! Simulated operators: they request the metrics of each process periodically, and have to get a
//! response in time.

use cleatpulley_emulators::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::http;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A request without a response so far.
#[derive(Debug, Clone)]
pub(crate) struct MetricsRequest {
    pub matcher: usize,
    pub incarnation: u64,
    pub sent_at: Micros,
    to: SocketAddr,
    input: Vec<u8>,
}

/// The polling client.
#[derive(Debug, Default)]
pub(crate) struct MetricsPoller {
    last_link: ConnectionId,
    pub pending: BTreeMap<ConnectionId, MetricsRequest>,
    queued: Vec<(usize, u64, SocketAddr)>,
    /// Requests whose connection ended without a whole response, until they are checked.
    pub failed: Vec<MetricsRequest>,
    /// Responses that contain no metrics, until they are checked.
    pub malformed: Vec<String>,
    pub responses: u64,
}

impl MetricsPoller {
    /// Queues a request to a process.
    pub(crate) fn request(&mut self, matcher: usize, incarnation: u64, to: SocketAddr) {
        self.queued.push((matcher, incarnation, to));
    }
}

impl Service for MetricsPoller {
    fn on_open(&mut self, _: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        if let Some(request) = self.pending.get(&link) {
            let mut bytes = Vec::new();
            http::push_request(
                &mut bytes,
                "GET",
                "/_vars",
                &request.to.to_string(),
                &[],
                b"",
            );
            out.push(Effect::Send(link, bytes));
        }
    }

    fn on_data(&mut self, _: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(request) = self.pending.get_mut(&link) else {
            return;
        };
        request.input.extend_from_slice(bytes);
        let response = http::parse_response(&request.input, false);
        if matches!(response, Ok(None)) {
            return;
        }
        self.pending.remove(&link);
        out.push(Effect::Close(link));
        self.responses += 1;
        let response =
            response.map(|response| response.map(|response| (response.status, response.body)));
        match response {
            Ok(Some((200, body))) => {
                let metrics = serde_json::from_slice::<serde_json::Value>(&body);
                if !metrics.is_ok_and(|metrics| metrics["open_requests"].is_u64()) {
                    self.malformed
                        .push(String::from_utf8_lossy(&body).into_owned());
                }
            }
            other => self.malformed.push(format!("{other:?}")),
        }
    }

    fn on_close(&mut self, _: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        self.failed.extend(self.pending.remove(&link));
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for (matcher, incarnation, to) in std::mem::take(&mut self.queued) {
            self.last_link += 2;
            let link = self.last_link + 1;
            self.pending.insert(
                link,
                MetricsRequest {
                    matcher,
                    incarnation,
                    sent_at: now,
                    to,
                    input: Vec::new(),
                },
            );
            out.push(Effect::Connect(link, to));
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        (!self.queued.is_empty()).then_some(0)
    }
}
