//! Misbehaving clients: silent connections, AJP requests that stop halfway through their body, and
//! floods from thousands of unknown addresses.

use crate::admission_rules::RejectedConnection;
use cleatpulley_emulators::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::codec::{push_forward_request, OutgoingRequest, PACKET_SIZE};
use cleatpulley_protocol::frame::codec::{self as frames, ParsedFrame};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A health check frame without fields: a flood sends it so that its connections do not count as
/// silent.
const HEALTH_CHECK_FRAME: [u8; 10] = [0, 0, 0, 6, 6, 0, 0, 0, 1, 0];

/// Interval of the probe, a single unknown client that connects during a flood from an address
/// whose prefix has no other connections.
const PROBE_INTERVAL: Micros = 100_000;
/// Delay before a flood client reconnects after its connection ended.
const RECONNECT_DELAY: Micros = 20_000;
const PROBE_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 99, 0, 1));

/// A client from an unknown address.
#[derive(Debug)]
pub(crate) struct UnknownClient {
    pub matcher: usize,
    pub from: IpAddr,
    /// When its connection was seen to be admitted.
    pub admitted_at: Option<Micros>,
    input: Vec<u8>,
    /// It has received a response: a health report, or a goodbye.
    has_response: bool,
    /// Address and end time for reconnecting when its connection ends before it receives a goodbye.
    reconnect: Option<(SocketAddr, Micros)>,
}

/// A connection to be opened.
#[derive(Debug)]
struct PlannedConnection {
    matcher: usize,
    to: SocketAddr,
    /// Bytes to send first.
    bytes: Vec<u8>,
    /// Source address of an unknown client, and time until which it reconnects.
    from: Option<(IpAddr, Micros)>,
}

/// A probe that connects to a matcher periodically.
#[derive(Debug)]
struct ProbeSchedule {
    matcher: usize,
    to: SocketAddr,
    at: Micros,
    until: Micros,
}

/// The misbehaving clients.
#[derive(Default)]
pub struct MisbehavingClients {
    last_link: ConnectionId,
    /// Matcher and bytes to send once the connection is established.
    payloads: BTreeMap<ConnectionId, (usize, Vec<u8>)>,
    planned: Vec<PlannedConnection>,
    flood_connections: u64,
    /// Unknown clients that reconnect, and when.
    reconnects: Vec<(Micros, PlannedConnection)>,
    probes: Vec<ProbeSchedule>,
    /// Unknown clients whose connection is open.
    pub(crate) unknown_clients: BTreeMap<ConnectionId, UnknownClient>,
    /// Admitted clients with their matcher, address and time, until they are checked.
    pub(crate) admitted: Vec<(usize, IpAddr, Micros)>,
    /// Probes that were rejected, until they are checked.
    pub(crate) rejected: Vec<RejectedConnection>,
    /// Open connections that have sent half of a request, and their matcher.
    pub stalled: BTreeMap<ConnectionId, usize>,
}

impl MisbehavingClients {
    /// Opens this many silent connections.
    pub fn open_silent(&mut self, matcher: usize, to: SocketAddr, number: usize) {
        let silent = |_| PlannedConnection {
            matcher,
            to,
            bytes: Vec::new(),
            from: None,
        };
        self.planned.extend((0..number).map(silent));
    }

    /// Opens connections from addresses in 127.66.0.0/16, each with a health check, that stay open.
    /// Meanwhile a probe connects periodically.
    pub fn start_flood(
        &mut self,
        matcher: usize,
        to: SocketAddr,
        number: usize,
        sources: u32,
        (now, until): (Micros, Micros),
    ) {
        self.probes.push(ProbeSchedule {
            matcher,
            to,
            at: now + PROBE_INTERVAL,
            until,
        });
        for _ in 0..number {
            self.flood_connections += 1;
            let source = (self.flood_connections % u64::from(sources.max(1))) as u32;
            let from = Ipv4Addr::from(0x7F42_0001 + source / 250 * 256 + source % 250);
            let from = Some((IpAddr::V4(from), until));
            self.planned.push(PlannedConnection {
                matcher,
                to,
                bytes: HEALTH_CHECK_FRAME.to_vec(),
                from,
            });
        }
    }

    /// Begins a request and stops halfway through its body.
    pub fn stall_request(&mut self, matcher: usize, to: SocketAddr) {
        let headers = [
            ("Content-Length", "1000"),
            ("X-Request-Id", "00000000000000ff"),
            ("X-Door", "1"),
        ];
        let request = OutgoingRequest {
            method: "POST",
            uri: "/claim-seat",
            headers: &headers,
            ..OutgoingRequest::default()
        };
        let mut bytes = Vec::new();
        // A request with so few headers fits into a packet.
        let _ = push_forward_request(&mut bytes, &request, PACKET_SIZE);
        bytes.extend_from_slice(&[0x12, 0x34, 0x01, 0xF6, 0x01, 0xF4]);
        bytes.extend_from_slice(&[b'.'; 300]);
        self.planned.push(PlannedConnection {
            matcher,
            to,
            bytes,
            from: None,
        });
    }
}

impl Service for MisbehavingClients {
    fn on_open(&mut self, _: Micros, link: ConnectionId, out: &mut Vec<Effect>) {
        if let Some((matcher, bytes)) = self
            .payloads
            .get_mut(&link)
            .filter(|payload| !payload.1.is_empty())
        {
            // The health check of a flood is complete and does not stall.
            if bytes[..] != HEALTH_CHECK_FRAME {
                self.stalled.insert(link, *matcher);
            }
            out.push(Effect::Send(link, std::mem::take(bytes)));
        }
    }

    fn on_data(&mut self, now: Micros, link: ConnectionId, bytes: &[u8], out: &mut Vec<Effect>) {
        self.stalled.remove(&link);
        let Some(client) = self
            .unknown_clients
            .get_mut(&link)
            .filter(|client| !client.has_response)
        else {
            return;
        };
        client.input.extend_from_slice(bytes);
        let ParsedFrame::Frame { kind, .. } = frames::parse_frame(&client.input) else {
            return;
        };
        client.has_response = true;
        let (matcher, is_probe) = (client.matcher, client.from == PROBE_ADDRESS);
        if kind == frames::GO_AWAY {
            client.reconnect = None;
            if is_probe {
                self.rejected.push(RejectedConnection {
                    matcher,
                    at: now,
                    is_probe: true,
                });
            }
        } else {
            client.admitted_at = Some(now);
            self.admitted.push((matcher, client.from, now));
        }
        if is_probe {
            out.push(Effect::Close(link));
            self.on_close(now, link, out);
        }
    }

    fn on_close(&mut self, now: Micros, link: ConnectionId, _: &mut Vec<Effect>) {
        self.payloads.remove(&link);
        self.stalled.remove(&link);
        let Some(UnknownClient {
            matcher,
            from,
            reconnect: Some((to, until)),
            ..
        }) = self.unknown_clients.remove(&link)
        else {
            return;
        };
        if now + RECONNECT_DELAY < until {
            let connection = PlannedConnection {
                matcher,
                to,
                bytes: HEALTH_CHECK_FRAME.to_vec(),
                from: Some((from, until)),
            };
            self.reconnects.push((now + RECONNECT_DELAY, connection));
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for probe in self.probes.iter_mut().filter(|probe| now >= probe.at) {
            probe.at = now + PROBE_INTERVAL;
            let (matcher, to, from) = (probe.matcher, probe.to, Some((PROBE_ADDRESS, 0)));
            self.planned.push(PlannedConnection {
                matcher,
                to,
                bytes: HEALTH_CHECK_FRAME.to_vec(),
                from,
            });
        }
        self.probes.retain(|probe| probe.at < probe.until);
        let (due, reconnects) = std::mem::take(&mut self.reconnects)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.reconnects = reconnects;
        let due: Vec<(Micros, PlannedConnection)> = due;
        self.planned
            .extend(due.into_iter().map(|(_, connection)| connection));
        for PlannedConnection {
            matcher,
            to,
            bytes,
            from,
        } in std::mem::take(&mut self.planned)
        {
            self.last_link += 2;
            let link = self.last_link + 1;
            self.payloads.insert(link, (matcher, bytes));
            out.push(match from {
                Some((from, until)) => {
                    let (input, admitted_at, has_response) = (Vec::new(), None, false);
                    let reconnect = (until > now).then_some((to, until));
                    self.unknown_clients.insert(
                        link,
                        UnknownClient {
                            matcher,
                            from,
                            admitted_at,
                            input,
                            has_response,
                            reconnect,
                        },
                    );
                    Effect::ConnectFrom(link, to, from)
                }
                None => Effect::Connect(link, to),
            });
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        if !self.planned.is_empty() {
            return Some(0);
        }
        self.probes
            .iter()
            .map(|probe| probe.at)
            .chain(self.reconnects.iter().map(|(at, _)| *at))
            .min()
    }
}
