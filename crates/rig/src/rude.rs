//! Clients that open connections and say nothing, or begin an AJP request and stop halfway through its body.

use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::codec::{push_forward, Outgoing, PACKET_SIZE};
use cleatpulley_standin::{Effect, Link, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The clients.
#[derive(Default)]
pub struct Rude {
    links: Link,
    /// What is sent once a connection stands.
    lines: BTreeMap<Link, (usize, Vec<u8>)>,
    wanted: Vec<(usize, SocketAddr, Vec<u8>)>,
    /// Connections that have sent half of a request, by matcher, as long as they stand.
    pub stalled: BTreeMap<Link, usize>,
}

impl Rude {
    /// Opens so many connections that say nothing.
    pub fn crowd(&mut self, matcher: usize, to: SocketAddr, number: usize) {
        self.wanted.extend((0..number).map(|_| (matcher, to, Vec::new())));
    }

    /// Begins a request and stops halfway.
    pub fn stall(&mut self, matcher: usize, to: SocketAddr) {
        let headers = [("Content-Length", "1000"), ("X-Request-Id", "00000000000000ff"), ("X-Door", "1")];
        let request =
            Outgoing { method: "POST", uri: "/claim-seat", headers: &headers, ..Outgoing::default() };
        let mut bytes = Vec::new();
        // So few headers fit.
        let _ = push_forward(&mut bytes, &request, PACKET_SIZE);
        bytes.extend_from_slice(&[0x12, 0x34, 0x01, 0xF6, 0x01, 0xF4]);
        bytes.extend_from_slice(&[b'.'; 300]);
        self.wanted.push((matcher, to, bytes));
    }
}

impl Service for Rude {
    fn opened(&mut self, _: Micros, link: Link, out: &mut Vec<Effect>) {
        if let Some((matcher, bytes)) = self.lines.get_mut(&link).filter(|line| !line.1.is_empty()) {
            self.stalled.insert(link, *matcher);
            out.push(Effect::Send(link, std::mem::take(bytes)));
        }
    }

    fn received(&mut self, _: Micros, link: Link, _: &[u8], _: &mut Vec<Effect>) {
        self.stalled.remove(&link);
    }

    fn closed(&mut self, _: Micros, link: Link, _: &mut Vec<Effect>) {
        self.lines.remove(&link);
        self.stalled.remove(&link);
    }

    fn advance(&mut self, _: Micros, out: &mut Vec<Effect>) {
        for (matcher, to, bytes) in std::mem::take(&mut self.wanted) {
            self.links += 2;
            self.lines.insert(self.links + 1, (matcher, bytes));
            out.push(Effect::Dial(self.links + 1, to));
        }
    }

    fn next(&self) -> Option<Micros> {
        (!self.wanted.is_empty()).then_some(0)
    }
}
