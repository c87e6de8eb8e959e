//! Clients that open connections and say nothing, begin an AJP request and stop halfway through its body, or come by the
//! thousand from addresses that nobody knows.

use crate::crowd::Refused;
use cleatpulley_emulators::{Effect, Link, Service};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::codec::{push_forward_request, OutgoingRequest, PACKET_SIZE};
use cleatpulley_protocol::frame::codec::{self as frames, ParsedFrame};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A health check by frames, without fields: what a flood says so that it does not pass for silent.
const HEALTH: [u8; 10] = [0, 0, 0, 6, 6, 0, 0, 0, 1, 0];

/// A lone stranger knocks so often during a flood, from an address whose prefix nobody else has.
const KNOCKS: Micros = 100_000;
/// One whose connection ended comes back after this.
const BACK: Micros = 20_000;
const LONE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 99, 0, 1));

/// One whom nobody knows.
#[derive(Debug)]
pub(crate) struct Stranger {
    pub matcher: usize,
    pub from: IpAddr,
    /// When it was seen to have got a place.
    pub placed: Option<Micros>,
    input: Vec<u8>,
    /// It was told that it has none, or where it stands.
    told: bool,
    /// Where it comes back to, and until when, where its connection ends before it is told to part.
    back: Option<(SocketAddr, Micros)>,
}

/// A connection that is to be opened.
#[derive(Debug)]
struct Wanted {
    matcher: usize,
    to: SocketAddr,
    /// What is said first.
    bytes: Vec<u8>,
    /// A stranger's address, and until when it comes back.
    from: Option<(IpAddr, Micros)>,
}

/// A lone stranger that knocks at a matcher from time to time.
#[derive(Debug)]
struct Knocks {
    matcher: usize,
    to: SocketAddr,
    at: Micros,
    until: Micros,
}

/// The clients.
#[derive(Default)]
pub struct Rude {
    links: Link,
    /// What is sent once a connection stands.
    lines: BTreeMap<Link, (usize, Vec<u8>)>,
    wanted: Vec<Wanted>,
    floods: u64,
    /// Strangers that come back, and when.
    backs: Vec<(Micros, Wanted)>,
    knocks: Vec<Knocks>,
    /// Those of floods whose connections stand.
    pub(crate) strangers: BTreeMap<Link, Stranger>,
    /// Those that got a place, at whose matcher, and when; to be judged.
    pub(crate) placed: Vec<(usize, IpAddr, Micros)>,
    /// Lone ones that got none.
    pub(crate) refused: Vec<Refused>,
    /// Connections that have sent half of a request, by matcher, as long as they stand.
    pub stalled: BTreeMap<Link, usize>,
}

impl Rude {
    /// Opens so many connections that say nothing.
    pub fn crowd(&mut self, matcher: usize, to: SocketAddr, number: usize) {
        let silent = |_| Wanted {
            matcher,
            to,
            bytes: Vec::new(),
            from: None,
        };
        self.wanted.extend((0..number).map(silent));
    }

    /// Opens so many connections from so many addresses in 127.66.0.0/16, each with a health check, that stay. Meanwhile a
    /// lone stranger knocks.
    pub fn flood(
        &mut self,
        matcher: usize,
        to: SocketAddr,
        number: usize,
        sources: u32,
        (now, until): (Micros, Micros),
    ) {
        self.knocks.push(Knocks {
            matcher,
            to,
            at: now + KNOCKS,
            until,
        });
        for _ in 0..number {
            self.floods += 1;
            let source = (self.floods % u64::from(sources.max(1))) as u32;
            let from = Ipv4Addr::from(0x7F42_0001 + source / 250 * 256 + source % 250);
            let from = Some((IpAddr::V4(from), until));
            self.wanted.push(Wanted {
                matcher,
                to,
                bytes: HEALTH.to_vec(),
                from,
            });
        }
    }

    /// Begins a request and stops halfway.
    pub fn stall(&mut self, matcher: usize, to: SocketAddr) {
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
        // So few headers fit.
        let _ = push_forward_request(&mut bytes, &request, PACKET_SIZE);
        bytes.extend_from_slice(&[0x12, 0x34, 0x01, 0xF6, 0x01, 0xF4]);
        bytes.extend_from_slice(&[b'.'; 300]);
        self.wanted.push(Wanted {
            matcher,
            to,
            bytes,
            from: None,
        });
    }
}

impl Service for Rude {
    fn opened(&mut self, _: Micros, link: Link, out: &mut Vec<Effect>) {
        if let Some((matcher, bytes)) = self.lines.get_mut(&link).filter(|line| !line.1.is_empty())
        {
            // A flood's health check is whole: nothing of it stalls.
            if bytes[..] != HEALTH {
                self.stalled.insert(link, *matcher);
            }
            out.push(Effect::Send(link, std::mem::take(bytes)));
        }
    }

    fn received(&mut self, now: Micros, link: Link, bytes: &[u8], out: &mut Vec<Effect>) {
        self.stalled.remove(&link);
        let Some(stranger) = self
            .strangers
            .get_mut(&link)
            .filter(|stranger| !stranger.told)
        else {
            return;
        };
        stranger.input.extend_from_slice(bytes);
        let ParsedFrame::Frame { kind, .. } = frames::parse_frame(&stranger.input) else {
            return;
        };
        stranger.told = true;
        let (matcher, lone) = (stranger.matcher, stranger.from == LONE);
        if kind == frames::GO_AWAY {
            stranger.back = None;
            if lone {
                self.refused.push(Refused {
                    matcher,
                    at: now,
                    probe: true,
                });
            }
        } else {
            stranger.placed = Some(now);
            self.placed.push((matcher, stranger.from, now));
        }
        if lone {
            out.push(Effect::Close(link));
            self.closed(now, link, out);
        }
    }

    fn closed(&mut self, now: Micros, link: Link, _: &mut Vec<Effect>) {
        self.lines.remove(&link);
        self.stalled.remove(&link);
        let Some(Stranger {
            matcher,
            from,
            back: Some((to, until)),
            ..
        }) = self.strangers.remove(&link)
        else {
            return;
        };
        if now + BACK < until {
            let wanted = Wanted {
                matcher,
                to,
                bytes: HEALTH.to_vec(),
                from: Some((from, until)),
            };
            self.backs.push((now + BACK, wanted));
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for knocks in self.knocks.iter_mut().filter(|knocks| now >= knocks.at) {
            knocks.at = now + KNOCKS;
            let (matcher, to, from) = (knocks.matcher, knocks.to, Some((LONE, 0)));
            self.wanted.push(Wanted {
                matcher,
                to,
                bytes: HEALTH.to_vec(),
                from,
            });
        }
        self.knocks.retain(|knocks| knocks.at < knocks.until);
        let (due, backs) = std::mem::take(&mut self.backs)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.backs = backs;
        let due: Vec<(Micros, Wanted)> = due;
        self.wanted
            .extend(due.into_iter().map(|(_, wanted)| wanted));
        for Wanted {
            matcher,
            to,
            bytes,
            from,
        } in std::mem::take(&mut self.wanted)
        {
            self.links += 2;
            let link = self.links + 1;
            self.lines.insert(link, (matcher, bytes));
            out.push(match from {
                Some((from, until)) => {
                    let (input, placed, told) = (Vec::new(), None, false);
                    let back = (until > now).then_some((to, until));
                    self.strangers.insert(
                        link,
                        Stranger {
                            matcher,
                            from,
                            placed,
                            input,
                            told,
                            back,
                        },
                    );
                    Effect::DialFrom(link, to, from)
                }
                None => Effect::Dial(link, to),
            });
        }
    }

    fn next(&self) -> Option<Micros> {
        if !self.wanted.is_empty() {
            return Some(0);
        }
        self.knocks
            .iter()
            .map(|knocks| knocks.at)
            .chain(self.backs.iter().map(|(at, _)| *at))
            .min()
    }
}
