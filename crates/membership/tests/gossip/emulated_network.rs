//! Processes on a virtual clock, and a network that loses, repeats, reorders and blocks datagrams,
//! all from one seed.

use crate::emulated_process::{address, first_key, identity, Process};
use cleatpulley_membership::incarnation::{IncarnationMark, Incarnations};
use cleatpulley_membership::{Event, Identity, Label, Membership, Settings};
use cleatpulley_timeline::{Step, Timeline};
use std::collections::{BTreeMap, BTreeSet};

/// A millisecond, in microseconds.
pub const MS: u64 = 1_000;
/// A second, in microseconds.
pub const SECOND: u64 = 1_000_000;
/// Port of a process that has the name of another.
pub const DUPLICATE_NAME_PORT: u16 = 99;
/// Shortest time in transit, in microseconds.
const MIN_DELAY: u64 = 100;
/// Datagrams that the socket buffer of a paused process holds.
const SOCKET_BUFFER: usize = 64;

/// What can go wrong in transit.
#[derive(Debug, Clone, Default)]
pub struct NetworkConditions {
    /// Datagrams lost, of a thousand.
    pub lost_per_mille: u64,
    /// Datagrams delivered twice, of a thousand.
    pub repeated_per_mille: u64,
    /// Longest time in transit beyond the shortest, in microseconds.
    pub max_extra_delay: u64,
}

/// One direction between two processes, by their ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: u16,
    pub to: u16,
}

/// An event, and the process that reported it.
#[derive(Debug)]
pub struct ReportedEvent {
    pub time: u64,
    /// Port of the process.
    pub port: u16,
    pub event: Event,
}

/// An incarnation of a process that was in use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct UsedIncarnation {
    name: Label,
    incarnation: u64,
    boot_id: u64,
}

struct DatagramInTransit {
    destination: u16,
    bytes: Vec<u8>,
}

/// All processes, and the network between them.
pub struct EmulatedNetwork {
    pub now: u64,
    random_state: u64,
    pub conditions: NetworkConditions,
    /// Directions in which every datagram is lost.
    pub blocked: BTreeSet<Link>,
    /// By port.
    pub processes: BTreeMap<u16, Process>,
    /// By port: the mark on the disk of the process.
    pub durable_marks: BTreeMap<u16, u64>,
    last_boot: u64,
    /// By time of arrival and number.
    in_transit: BTreeMap<(u64, u64), DatagramInTransit>,
    sent: u64,
    steps: Vec<Step>,
    used_incarnations: BTreeSet<UsedIncarnation>,
    pub events: Vec<ReportedEvent>,
}

impl EmulatedNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 1_000 * SECOND,
            random_state: seed,
            conditions: NetworkConditions {
                max_extra_delay: 2 * MS,
                ..NetworkConditions::default()
            },
            blocked: BTreeSet::new(),
            processes: BTreeMap::new(),
            durable_marks: BTreeMap::new(),
            last_boot: 0,
            in_transit: BTreeMap::new(),
            sent: 0,
            steps: Vec::new(),
            used_incarnations: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// A random number below a bound, by splitmix64.
    fn random(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    /// Starts so many processes, three gateways first, which are the contacts of all; returns their
    /// ports.
    pub fn start_cluster(&mut self, count: u16) -> Vec<u16> {
        let ports: Vec<u16> = (1..=count).collect();
        for port in &ports {
            let name = if *port <= 3 {
                format!("g{port}")
            } else {
                format!("m{port}")
            };
            self.start(&name, *port, &[1, 2, 3]);
        }
        ports
    }

    /// Starts a process from the mark on its disk, with the default settings.
    pub fn start(&mut self, name: &str, port: u16, contacts: &[u16]) {
        self.start_with(name, port, contacts, Settings::default());
    }

    /// Starts a process from the mark on its disk. The new mark is durable before it sends.
    pub fn start_with(&mut self, name: &str, port: u16, contacts: &[u16], settings: Settings) {
        let mark = self.durable_marks.get(&port).copied().unwrap_or(0);
        let (incarnations, IncarnationMark(mark)) =
            Incarnations::start_after(mark).expect("some are left");
        self.durable_marks.insert(port, mark);
        self.last_boot += 1;
        let identity = Identity {
            boot_id: self.last_boot,
            ..identity(name, port)
        };
        let seed = self.random(u64::MAX);
        let mut membership =
            Membership::new(identity, incarnations, settings, first_key(), seed).expect("settings");
        membership.join(contacts.iter().map(|port| address(*port)).collect());
        self.note_incarnation(membership.identity().clone());
        let process = Process {
            membership,
            buffered: Vec::new(),
            paused_until: 0,
            next_deadline: self.now,
        };
        self.processes.insert(port, process);
        let name = self.name(port);
        self.record_step(&name, "starts");
    }

    /// Checks that this incarnation was never used before.
    fn note_incarnation(&mut self, identity: Identity) {
        let used = UsedIncarnation {
            name: identity.name,
            incarnation: identity.incarnation,
            boot_id: identity.boot_id,
        };
        assert!(
            self.used_incarnations.insert(used.clone()),
            "{used:?} comes twice"
        );
    }

    /// Ends a process without a word to the others.
    pub fn kill(&mut self, port: u16) {
        let name = self.name(port);
        self.record_step(&name, "dies");
        self.processes.remove(&port);
    }

    /// Keeps a process from running for a time.
    pub fn pause(&mut self, port: u16, duration: u64) {
        let name = self.name(port);
        self.record_step(&name, "stands still");
        let paused_until = self.now + duration;
        self.process_mut(port).paused_until = paused_until;
    }

    pub fn process_mut(&mut self, port: u16) -> &mut Process {
        self.processes.get_mut(&port).expect("it runs")
    }

    /// The name of a process in the timeline.
    fn name(&self, port: u16) -> String {
        let name = &self.processes[&port].membership.identity().name;
        if port == DUPLICATE_NAME_PORT {
            return format!("{name}-copy");
        }
        name.to_string()
    }

    /// Adds a step to the timeline.
    pub fn record_step(&mut self, node: &str, what: &str) {
        self.steps.push(Step::new(self.now, node, what));
    }

    /// Blocks all datagrams between two groups of processes, in both directions.
    pub fn partition(&mut self, group: &[u16], other_group: &[u16]) {
        for &left in group {
            for &right in other_group {
                let there = Link {
                    from: left,
                    to: right,
                };
                let back = Link {
                    from: right,
                    to: left,
                };
                self.blocked.extend([there, back]);
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        loop {
            let next_arrival = self
                .in_transit
                .keys()
                .next()
                .map_or(u64::MAX, |(time, _)| *time);
            let next_poll = self
                .processes
                .values()
                .map(Process::next_poll)
                .min()
                .unwrap_or(u64::MAX);
            let next = next_arrival.min(next_poll);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if next_arrival <= next_poll {
                self.deliver_next();
            } else {
                self.poll_process_due(next_poll);
            }
        }
    }

    fn deliver_next(&mut self) {
        let Some((_, datagram)) = self.in_transit.pop_first() else {
            return;
        };
        let now = self.now;
        let Some(process) = self.processes.get_mut(&datagram.destination) else {
            return;
        };
        if process.paused_until > now {
            if process.buffered.len() < SOCKET_BUFFER {
                process.buffered.push(datagram.bytes);
            }
            return;
        }
        let _ = process.membership.handle_datagram(now, &datagram.bytes);
        self.poll(datagram.destination);
    }

    fn poll_process_due(&mut self, time: u64) {
        let due = self
            .processes
            .iter()
            .find(|(_, process)| process.next_poll() == time);
        let port = *due.expect("one is due").0;
        let now = self.now;
        let process = self.process_mut(port);
        for datagram in std::mem::take(&mut process.buffered) {
            let _ = process.membership.handle_datagram(now, &datagram);
        }
        process.membership.poll(now);
        self.poll(port);
    }

    fn poll(&mut self, port: u16) {
        let now = self.now;
        let process = self.process_mut(port);
        process.membership.poll(now);
        process.next_deadline = process.membership.next_deadline().max(now + 1);
        let outgoing = process.membership.take_outgoing();
        let events: Vec<Event> = std::iter::from_fn(|| process.membership.next_event()).collect();
        for (destination, datagram) in outgoing {
            let link = Link {
                from: port,
                to: destination.port(),
            };
            self.send(link, &datagram);
        }
        for event in events {
            self.handle_event(port, event);
        }
    }

    fn handle_event(&mut self, port: u16, event: Event) {
        let what = match &event {
            Event::Up(other) => format!("sees {} come", other.name),
            Event::Down(other) => format!("sees {} go", other.name),
            Event::Rejoined(_) => "comes back".to_owned(),
            Event::Superseded(_) => "is superseded".to_owned(),
            Event::PersistMark(mark) => {
                self.durable_marks.insert(port, mark.0);
                return;
            }
            Event::IncarnationsExhausted => "has no incarnation left".to_owned(),
        };
        if let Event::Rejoined(_) = event {
            let identity = self.processes[&port].membership.identity().clone();
            self.note_incarnation(identity);
        }
        let name = self.name(port);
        self.record_step(&name, &what);
        self.events.push(ReportedEvent {
            time: self.now,
            port,
            event,
        });
    }

    fn send(&mut self, link: Link, datagram: &[u8]) {
        let is_repeated = self.random(1_000) < self.conditions.repeated_per_mille;
        let copies = if is_repeated { 2 } else { 1 };
        for _ in 0..copies {
            let is_lost = self.random(1_000) < self.conditions.lost_per_mille;
            let delay = MIN_DELAY + self.random(self.conditions.max_extra_delay);
            if !is_lost && !self.blocked.contains(&link) {
                self.sent += 1;
                let in_transit = DatagramInTransit {
                    destination: link.to,
                    bytes: datagram.to_vec(),
                };
                self.in_transit
                    .insert((self.now + delay, self.sent), in_transit);
            }
        }
    }

    /// The first process that is a member and does not see exactly the other members, each under
    /// its current incarnation.
    pub fn find_disagreement(&self) -> Option<String> {
        let members: Vec<&Membership> = self
            .processes
            .values()
            .map(|process| &process.membership)
            .filter(|membership| membership.is_member())
            .collect();
        for (index, membership) in members.iter().enumerate() {
            let seen: BTreeSet<(Label, u64)> = membership
                .members()
                .into_iter()
                .map(|(name, member)| (name, member.identity.incarnation))
                .collect();
            let others = members
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let expected: BTreeSet<(Label, u64)> = others
                .map(|(_, other)| other.identity())
                .map(|identity| (identity.name.clone(), identity.incarnation))
                .collect();
            if seen != expected {
                return Some(format!(
                    "{} sees {seen:?}, there are {expected:?}",
                    membership.identity()
                ));
            }
        }
        None
    }

    /// The number of events that meet a condition.
    pub fn count_events(&self, is_counted: impl Fn(&ReportedEvent) -> bool) -> usize {
        self.events
            .iter()
            .filter(|reported| is_counted(reported))
            .count()
    }

    pub fn timeline(&self) -> Timeline {
        Timeline::of(self.steps.clone())
    }
}
