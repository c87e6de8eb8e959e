//! Processes on a virtual clock and a network that loses, repeats, reorders and cuts, all by a seed.

use cleatpulley_membership::incarnation::{Incarnations, Mark};
use cleatpulley_membership::seal::Keys;
use cleatpulley_membership::{Event, Identity, Label, Membership, Role, Settings};
use cleatpulley_timeline::{Step, Timeline};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// Where the copy of another process runs.
pub const COPY: u16 = 99;

pub fn label(text: &str) -> Label {
    Label::try_from(text.to_owned()).expect("a label")
}

pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

pub fn keys(number: u8) -> Keys {
    Keys::parse(&format!("{number} {}", "5a".repeat(32))).expect("a key")
}

pub fn process(name: &str, port: u16) -> Identity {
    Identity {
        name: label(name),
        incarnation: 0,
        boot: 0,
        address: address(port),
        role: if name.starts_with('g') {
            Role::Gateway
        } else {
            Role::Matcher
        },
        zone: label(if port.is_multiple_of(2) {
            "mona"
        } else {
            "portmore"
        }),
        host: label(&format!("h{}", port % 3)),
    }
}

/// What goes wrong on the way.
#[derive(Debug, Clone, Default)]
pub struct Weather {
    /// Datagrams lost, of a thousand.
    pub lost: u64,
    /// And repeated.
    pub repeated: u64,
    /// The longest way; the shortest is 100 us.
    pub slow: u64,
}

pub struct Running {
    pub membership: Membership,
    /// Datagrams that wait while it stands still.
    waiting: Vec<Vec<u8>>,
    paused_until: u64,
    wakes: u64,
}

/// All of it.
pub struct Net {
    pub now: u64,
    random: u64,
    pub weather: Weather,
    /// Datagrams from the first port to the second get lost.
    pub cut: BTreeSet<(u16, u16)>,
    pub running: BTreeMap<u16, Running>,
    /// By port: the mark on its disk.
    pub disks: BTreeMap<u16, u64>,
    boots: u64,
    way: BTreeMap<(u64, u64), (u16, Vec<u8>)>,
    sent: u64,
    steps: Vec<Step>,
    /// Every life that was ever used, by name: none may come twice.
    pub lives: BTreeSet<(Label, u64, u64)>,
    pub events: Vec<(u64, u16, Event)>,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 1_000 * SECOND,
            random: seed,
            weather: Weather {
                slow: 2 * MS,
                ..Weather::default()
            },
            cut: BTreeSet::new(),
            running: BTreeMap::new(),
            disks: BTreeMap::new(),
            boots: 0,
            way: BTreeMap::new(),
            sent: 0,
            steps: Vec::new(),
            lives: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % below.max(1)
    }

    /// A process starts with what its disk holds; what has to be durable is, before it says a word.
    pub fn start(&mut self, name: &str, port: u16, contacts: &[u16]) {
        self.start_with(name, port, contacts, Settings::default());
    }

    pub fn start_with(&mut self, name: &str, port: u16, contacts: &[u16], settings: Settings) {
        let mark = self.disks.get(&port).copied().unwrap_or(0);
        let (numbers, Mark(mark)) = Incarnations::begin(mark).expect("some are left");
        self.disks.insert(port, mark);
        self.boots += 1;
        let identity = Identity {
            boot: self.boots,
            ..process(name, port)
        };
        let seed = self.random(u64::MAX);
        let mut membership =
            Membership::new(identity, numbers, settings, keys(1), seed).expect("settings");
        membership.join(contacts.iter().map(|port| address(*port)).collect());
        self.note_life(membership.identity().clone());
        let running = Running {
            membership,
            waiting: Vec::new(),
            paused_until: 0,
            wakes: self.now,
        };
        self.running.insert(port, running);
        let name = self.name(port);
        self.steps.push(Step::new(self.now, &name, "starts"));
    }

    fn note_life(&mut self, identity: Identity) {
        let life = (identity.name, identity.incarnation, identity.boot);
        assert!(self.lives.insert(life.clone()), "{life:?} comes twice");
    }

    pub fn kill(&mut self, port: u16) {
        let name = self.name(port);
        self.steps.push(Step::new(self.now, &name, "dies"));
        self.running.remove(&port);
    }

    pub fn pause(&mut self, port: u16, lasts: u64) {
        let name = self.name(port);
        self.steps.push(Step::new(self.now, &name, "stands still"));
        self.running.get_mut(&port).expect("it runs").paused_until = self.now + lasts;
    }

    pub fn name(&self, port: u16) -> String {
        let name = &self.running[&port].membership.identity().name;
        if port == COPY {
            return format!("{name}-copy");
        }
        name.to_string()
    }

    pub fn note(&mut self, node: &str, what: &str) {
        self.steps.push(Step::new(self.now, node, what));
    }

    pub fn cut_between(&mut self, one: &[u16], other: &[u16]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.cut.extend([(a, b), (b, a)]);
        }
    }

    /// Plays on.
    pub fn run(&mut self, lasts: u64) {
        let end = self.now + lasts;
        loop {
            let arrives = self.way.keys().next().map_or(u64::MAX, |(at, _)| *at);
            let wakes = self
                .running
                .values()
                .map(|one| one.wakes.max(one.paused_until))
                .min()
                .unwrap_or(u64::MAX);
            let at = arrives.min(wakes);
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            if arrives <= wakes {
                if let Some((_, (port, datagram))) = self.way.pop_first() {
                    self.arrive(port, datagram);
                }
            } else {
                let due = self
                    .running
                    .iter()
                    .find(|(_, one)| one.wakes.max(one.paused_until) == wakes);
                let port = *due.expect("one is due").0;
                self.wake(port);
            }
        }
    }

    fn arrive(&mut self, port: u16, datagram: Vec<u8>) {
        let now = self.now;
        let Some(one) = self.running.get_mut(&port) else {
            return;
        };
        if one.paused_until > now {
            // A socket's buffer holds some.
            if one.waiting.len() < 64 {
                one.waiting.push(datagram);
            }
            return;
        }
        let _ = one.membership.hear(now, &datagram);
        self.settle(port);
    }

    fn wake(&mut self, port: u16) {
        let now = self.now;
        let Some(one) = self.running.get_mut(&port) else {
            return;
        };
        for datagram in std::mem::take(&mut one.waiting) {
            let _ = one.membership.hear(now, &datagram);
        }
        one.membership.turn(now);
        self.settle(port);
    }

    fn settle(&mut self, port: u16) {
        let Some(one) = self.running.get_mut(&port) else {
            return;
        };
        one.membership.turn(self.now);
        one.wakes = one.membership.next().max(self.now + 1);
        let out = one.membership.take_out();
        let events: Vec<Event> = std::iter::from_fn(|| one.membership.event()).collect();
        let name = self.name(port);
        for (to, datagram) in out {
            self.send(port, to.port(), &datagram);
        }
        for event in events {
            let what = match &event {
                Event::Up(other) => format!("sees {} come", other.name),
                Event::Down(other) => format!("sees {} go", other.name),
                Event::Rejoined(_) => "comes back".to_owned(),
                Event::Superseded(_) => "is superseded".to_owned(),
                Event::Reserve(mark) => {
                    self.disks.insert(port, mark.0);
                    continue;
                }
                Event::Exhausted => "has no incarnation left".to_owned(),
            };
            if let Event::Rejoined(_) = event {
                self.note_life(self.running[&port].membership.identity().clone());
            }
            self.steps.push(Step::new(self.now, &name, what));
            self.events.push((self.now, port, event));
        }
    }

    fn send(&mut self, from: u16, to: u16, datagram: &[u8]) {
        let copies = if self.random(1_000) < self.weather.repeated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let lost = self.random(1_000) < self.weather.lost;
            let takes = 100 + self.random(self.weather.slow);
            if !lost && !self.cut.contains(&(from, to)) {
                self.sent += 1;
                self.way
                    .insert((self.now + takes, self.sent), (to, datagram.to_vec()));
            }
        }
    }

    /// Whether every process that runs, and is a member, sees exactly the others of these.
    pub fn disagrees(&self) -> Option<String> {
        let members: BTreeMap<u16, &Running> = self
            .running
            .iter()
            .filter(|(_, one)| one.membership.is_member())
            .map(|(port, one)| (*port, one))
            .collect();
        for (port, one) in &members {
            let seen: BTreeSet<(Label, u64)> = one
                .membership
                .members()
                .into_iter()
                .map(|(name, m)| (name, m.identity.incarnation))
                .collect();
            let there = members
                .iter()
                .filter(|(other, _)| *other != port)
                .map(|(_, one)| one.membership.identity());
            let there: BTreeSet<(Label, u64)> =
                there.map(|id| (id.name.clone(), id.incarnation)).collect();
            if seen != there {
                return Some(format!(
                    "{} sees {seen:?}, there are {there:?}",
                    one.membership.identity()
                ));
            }
        }
        None
    }

    pub fn timeline(&self) -> Timeline {
        Timeline::of(self.steps.clone())
    }
}
