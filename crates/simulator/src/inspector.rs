//! Operators in the virtual world: each process is asked for its figures now and then, and answers in time.

use cleatpulley_emulators::{Effect, Link, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::http;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A call without an answer.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub matcher: usize,
    pub life: u64,
    pub asked: Micros,
    to: SocketAddr,
    input: Vec<u8>,
}

/// Those who ask.
#[derive(Debug, Default)]
pub(crate) struct Inspector {
    links: Link,
    pub calls: BTreeMap<Link, Call>,
    wanted: Vec<(usize, u64, SocketAddr)>,
    /// Connections that ended without a whole answer, until that is judged.
    pub unanswered: Vec<Call>,
    /// Answers that are no figures, likewise.
    pub odd: Vec<String>,
    pub answers: u64,
}

impl Inspector {
    /// Asks a process.
    pub(crate) fn ask(&mut self, matcher: usize, life: u64, to: SocketAddr) {
        self.wanted.push((matcher, life, to));
    }
}

impl Service for Inspector {
    fn opened(&mut self, _: Micros, link: Link, out: &mut Vec<Effect>) {
        if let Some(call) = self.calls.get(&link) {
            let mut bytes = Vec::new();
            http::push_request(&mut bytes, "GET", "/_vars", &call.to.to_string(), &[], b"");
            out.push(Effect::Send(link, bytes));
        }
    }

    fn received(&mut self, _: Micros, link: Link, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(&link) else {
            return;
        };
        call.input.extend_from_slice(bytes);
        let reply = http::parse_response(&call.input, false);
        if matches!(reply, Ok(None)) {
            return;
        }
        self.calls.remove(&link);
        out.push(Effect::Close(link));
        self.answers += 1;
        let told = reply.map(|reply| reply.map(|reply| (reply.status, reply.body)));
        match told {
            Ok(Some((200, body))) => {
                let figures = serde_json::from_slice::<serde_json::Value>(&body);
                if !figures.is_ok_and(|figures| figures["open_requests"].is_u64()) {
                    self.odd.push(String::from_utf8_lossy(&body).into_owned());
                }
            }
            other => self.odd.push(format!("{other:?}")),
        }
    }

    fn closed(&mut self, _: Micros, link: Link, _: &mut Vec<Effect>) {
        self.unanswered.extend(self.calls.remove(&link));
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for (matcher, life, to) in std::mem::take(&mut self.wanted) {
            self.links += 2;
            let link = self.links + 1;
            self.calls.insert(
                link,
                Call {
                    matcher,
                    life,
                    asked: now,
                    to,
                    input: Vec::new(),
                },
            );
            out.push(Effect::Dial(link, to));
        }
    }

    fn next(&self) -> Option<Micros> {
        (!self.wanted.is_empty()).then_some(0)
    }
}
