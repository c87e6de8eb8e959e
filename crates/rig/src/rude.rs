//! Clients that open connections and say nothing, or begin an AJP request and stop halfway through its body.

use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::codec::{push_forward, Outgoing, PACKET_SIZE};
use cleatpulley_standin::{Effect, Link, Service};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A health check by frames, without fields: what a flood says so that it does not pass for silent.
const HEALTH: [u8; 10] = [0, 0, 0, 6, 6, 0, 0, 0, 1, 0];

/// The clients.
#[derive(Default)]
pub struct Rude {
    links: Link,
    /// What is sent once a connection stands.
    lines: BTreeMap<Link, (usize, Vec<u8>)>,
    wanted: Vec<(usize, SocketAddr, Vec<u8>, Option<IpAddr>)>,
    floods: u64,
    /// Connections that have sent half of a request, by matcher, as long as they stand.
    pub stalled: BTreeMap<Link, usize>,
}

impl Rude {
    /// Opens so many connections that say nothing.
    pub fn crowd(&mut self, matcher: usize, to: SocketAddr, number: usize) {
        self.wanted.extend((0..number).map(|_| (matcher, to, Vec::new(), None)));
    }

    /// Opens so many connections from so many addresses in 127.66.0.0/16, each with a health check, that stay.
    pub fn flood(&mut self, matcher: usize, to: SocketAddr, number: usize, sources: u32) {
        for _ in 0..number {
            self.floods += 1;
            let source = (self.floods % u64::from(sources.max(1))) as u32;
            let from = Ipv4Addr::from(0x7F42_0001 + source / 250 * 256 + source % 250);
            self.wanted.push((matcher, to, HEALTH.to_vec(), Some(IpAddr::V4(from))));
        }
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
        self.wanted.push((matcher, to, bytes, None));
    }
}

impl Service for Rude {
    fn opened(&mut self, _: Micros, link: Link, out: &mut Vec<Effect>) {
        if let Some((matcher, bytes)) = self.lines.get_mut(&link).filter(|line| !line.1.is_empty()) {
            // A flood's health check is whole: nothing of it stalls.
            if bytes[..] != HEALTH {
                self.stalled.insert(link, *matcher);
            }
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
        for (matcher, to, bytes, from) in std::mem::take(&mut self.wanted) {
            self.links += 2;
            self.lines.insert(self.links + 1, (matcher, bytes));
            out.push(match from {
                Some(from) => Effect::DialFrom(self.links + 1, to, from),
                None => Effect::Dial(self.links + 1, to),
            });
        }
    }

    fn next(&self) -> Option<Micros> {
        (!self.wanted.is_empty()).then_some(0)
    }
}
