//! Processes that agree, on a virtual clock and sessions that break, cut and delay, all by a seed; after each step it is looked
//! whether all agree on what was decided, whether each change counted once, and whether a lease held longer than it may.

use cleatpulley_consensus::storage::{Forgetful, Loses};
use cleatpulley_consensus::{ChangeId, Event, Kind, Node, NodeId, Outcome, Settings, Subject};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// Messages with the times at which they come.
type Way = VecDeque<(u64, Vec<u8>)>;

pub struct World {
    pub now: u64,
    random: u64,
    pub settings: Settings,
    pub nodes: BTreeMap<NodeId, Node<Forgetful>>,
    pub disks: BTreeMap<NodeId, Forgetful>,
    lives: BTreeMap<NodeId, u64>,
    /// By ends: what is on its way, with the time at which it comes.
    ways: BTreeMap<(NodeId, NodeId), Way>,
    /// Pairs between whom nothing passes, and nobody notices.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub paused: BTreeMap<NodeId, u64>,
    pub slow: u64,
    /// By epoch: the change, and when it was first known to be decided.
    pub decided: BTreeMap<u64, (ChangeId, u64)>,
    counted: BTreeSet<ChangeId>,
    pub broken: Vec<String>,
    pub events: Vec<(u64, NodeId, Event)>,
    pub leases_lost: u64,
}

impl World {
    pub fn new(seed: u64, members: &[NodeId]) -> Self {
        let settings = Settings::new(0, members.to_vec());
        let mut world = Self {
            now: 1_000 * SECOND,
            random: seed,
            settings,
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            lives: BTreeMap::new(),
            ways: BTreeMap::new(),
            cut: BTreeSet::new(),
            paused: BTreeMap::new(),
            slow: 5 * MS,
            decided: BTreeMap::new(),
            counted: BTreeSet::new(),
            broken: Vec::new(),
            events: Vec::new(),
            leases_lost: 0,
        };
        members.iter().for_each(|id| world.start(*id));
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % below.max(1)
    }

    pub fn lose(&mut self, loses: Loses) {
        for id in self.nodes.keys() {
            self.nodes[id].log().disk_mut(|disk| disk.loses = loses);
        }
    }

    pub fn start(&mut self, id: NodeId) {
        let disk = self.disks.remove(&id).unwrap_or_default();
        let life = self.lives.entry(id).or_default();
        *life += 1;
        let settings = Settings {
            me: id,
            ..self.settings.clone()
        };
        let node = match Node::new(settings, disk, *life) {
            Ok(node) => node,
            Err(fault) => return self.broken.push(format!("{id} does not start: {fault}")),
        };
        self.nodes.insert(id, node);
        for other in self
            .nodes
            .keys()
            .copied()
            .filter(|other| *other != id)
            .collect::<Vec<_>>()
        {
            self.connect(id, other);
        }
    }

    pub fn crash(&mut self, id: NodeId) {
        let Some(node) = self.nodes.remove(&id) else {
            return;
        };
        self.disks
            .insert(id, node.log().disk(Forgetful::clone).crash());
        for other in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.ways.remove(&(id, other));
            self.ways.remove(&(other, id));
            self.nodes.get_mut(&other).expect("it runs").lost(id);
        }
    }

    /// A new session; what was on its way on the old one is lost.
    pub fn connect(&mut self, one: NodeId, other: NodeId) {
        self.ways.remove(&(one, other));
        self.ways.remove(&(other, one));
        for (id, peer) in [(one, other), (other, one)] {
            let now = self.now;
            if let Some(node) = self.nodes.get_mut(&id) {
                node.connected(now, peer);
                self.settle(id);
            }
        }
    }

    pub fn propose(&mut self, id: NodeId, name: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            let subject = Subject {
                kind: Kind::Weight,
                name: format!("t{name}"),
            };
            let value = self.now.to_le_bytes().to_vec();
            let _ = node.propose(self.now, subject, Some(value), None);
            self.settle(id);
        }
    }

    pub fn run(&mut self, lasts: u64) {
        let end = self.now + lasts;
        while self.now < end && self.broken.is_empty() {
            let arrives = self
                .ways
                .values()
                .filter_map(|way| way.front().map(|(at, _)| *at))
                .min();
            let paused = &self.paused;
            let wakes = |(id, node): (&NodeId, &Node<Forgetful>)| {
                (node.next().max(*paused.get(id).unwrap_or(&0)), *id)
            };
            let wakes = self.nodes.iter().map(wakes).min();
            let next = arrives
                .unwrap_or(u64::MAX)
                .min(wakes.map_or(u64::MAX, |(at, _)| at));
            if next >= end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            match wakes {
                Some((at, id)) if at <= next => {
                    self.nodes.get_mut(&id).expect("it runs").turn(self.now);
                    self.settle(id);
                }
                _ => self.deliver(),
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self
            .ways
            .iter()
            .find(|(_, way)| way.front().is_some_and(|(at, _)| *at <= now));
        let Some(&(from, to)) = due.map(|(ends, _)| ends) else {
            return;
        };
        let Some((_, bytes)) = self.ways.get_mut(&(from, to)).and_then(VecDeque::pop_front) else {
            return;
        };
        let until = *self.paused.get(&to).unwrap_or(&0);
        if until > now {
            // It waits in the session's buffer.
            self.ways
                .entry((from, to))
                .or_default()
                .push_front((until, bytes));
            return;
        }
        if let Some(node) = self.nodes.get_mut(&to) {
            node.hear(now, from, &bytes).expect("it is a message");
            self.settle(to);
        }
    }

    fn settle(&mut self, id: NodeId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let out = node.take_out();
        let events: Vec<Event> = std::iter::from_fn(|| node.event()).collect();
        let (epoch, held) = (node.table().epoch, node.lease().holds(now));
        for (to, bytes) in out {
            let takes = 100 + self.random(self.slow);
            if self.cut.contains(&(id, to)) || !self.nodes.contains_key(&to) {
                continue;
            }
            let way = self.ways.entry((id, to)).or_default();
            let at = way.back().map_or(0, |(at, _)| *at).max(now + takes);
            way.push_back((at, bytes));
        }
        for event in events {
            match &event {
                Event::Decided {
                    epoch,
                    change,
                    outcome,
                } => {
                    let known = self.decided.entry(*epoch).or_insert((change.id, now));
                    if known.0 != change.id {
                        self.broken.push(format!(
                            "{id} holds {:?} to be epoch {epoch}, another {:?}",
                            change.id, known.0
                        ));
                    }
                    if *outcome == Outcome::Applied
                        && known.1 == now
                        && !self.counted.insert(change.id)
                    {
                        self.broken.push(format!("{:?} counts twice", change.id));
                    }
                }
                Event::Lease(false) => self.leases_lost += 1,
                Event::Broken(fault) => self.broken.push(format!("{id}: {fault}")),
                _ => {}
            }
            self.events.push((now, id, event));
        }
        if held {
            if let Some((_, since)) = self.decided.get(&(epoch + 1)) {
                if now > since + self.settings.lease {
                    self.broken.push(format!(
                        "{id} acts on epoch {epoch} by its lease, {} us after the next",
                        now - since
                    ));
                }
            }
        }
    }

    /// All hold the same table, and nothing that was asked for waits.
    pub fn disagrees(&self) -> Option<String> {
        let group: BTreeSet<NodeId> = self
            .nodes
            .values()
            .max_by_key(|node| node.group().number)?
            .group()
            .members
            .iter()
            .copied()
            .collect();
        let mut members = self.nodes.iter().filter(|(id, _)| group.contains(id));
        let first = members.next()?;
        let other = members.find(|(_, node)| node.table() != first.1.table());
        if let Some((id, node)) = other {
            return Some(format!(
                "{id} is at {}, {} at {}",
                node.table().epoch,
                first.0,
                first.1.table().epoch
            ));
        }
        let waits = self
            .nodes
            .iter()
            .find(|(id, node)| group.contains(id) && node.waiting() > 0);
        waits.map(|(id, node)| format!("{} changes of {id} wait", node.waiting()))
    }
}
