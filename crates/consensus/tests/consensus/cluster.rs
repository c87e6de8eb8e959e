//! A group of processes on a virtual clock, with sessions that delay, drop and break by a seed.
//!
//! Each event is checked as it occurs: all processes agree on the change of each epoch, each change
//! is applied once, and no lease outlasts its time. Violations are collected for tests to assert.

use crate::faulty_disk::{DiskFault, FaultyDisk};
use crate::link::Link;
use crate::network::Network;
use crate::observations::{Observations, ReportedEvent};
use crate::random::SplitMix64;
use cleatpulley_consensus::node::OutgoingMessage;
use cleatpulley_consensus::{Event, Incarnation, Node, NodeId, Settings, Subject, SubjectKind};
use std::collections::BTreeMap;
use std::error::Error;

/// Microseconds of a millisecond.
pub const MS: u64 = 1_000;
/// Microseconds of a second.
pub const SECOND: u64 = 1_000_000;

/// The virtual time at which each cluster starts.
const START: u64 = 1_000 * SECOND;
/// The minimum delay of a message.
const MIN_DELAY: u64 = 100;

/// The time at which a process is to be polled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Wakeup {
    at: u64,
    node: NodeId,
}

/// The simulated group.
pub struct Cluster {
    pub now: u64,
    pub random: SplitMix64,
    /// The settings of processes that start from now on; the node id is filled in.
    pub settings: Settings,
    /// The running processes.
    pub nodes: BTreeMap<NodeId, Node<FaultyDisk>>,
    /// The disks of processes that crashed.
    disks: BTreeMap<NodeId, FaultyDisk>,
    incarnations: BTreeMap<NodeId, u64>,
    pub network: Network,
    /// Until when a process is suspended.
    pub suspended_until: BTreeMap<NodeId, u64>,
    pub observed: Observations,
}

impl Cluster {
    /// Starts a group with these members.
    pub fn new(seed: u64, members: &[NodeId]) -> Self {
        let unassigned_id = 0;
        let mut cluster = Self {
            now: START,
            random: SplitMix64::new(seed),
            settings: Settings::new(unassigned_id, members.to_vec()),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            network: Network::new(5 * MS),
            suspended_until: BTreeMap::new(),
            observed: Observations::default(),
        };
        for id in members {
            cluster.start(*id);
        }
        cluster
    }

    /// Injects a fault into the disks of all running processes.
    pub fn inject_disk_fault(&mut self, fault: DiskFault) {
        for node in self.nodes.values() {
            node.log().with_storage_mut(|disk| disk.fault = fault);
        }
    }

    /// Starts a process on its disk, or on an empty one, and connects it with all others.
    pub fn start(&mut self, id: NodeId) {
        let disk = self.disks.remove(&id).unwrap_or_default();
        let incarnation = self.incarnations.entry(id).or_default();
        *incarnation += 1;
        let settings = Settings {
            node_id: id,
            ..self.settings.clone()
        };
        match Node::new(settings, disk, Incarnation(*incarnation)) {
            Ok(node) => self.nodes.insert(id, node),
            Err(error) => {
                let cause = root_cause(&error);
                let violation = format!("{id} does not start: {error}: {cause}");
                self.observed.violations.push(violation);
                return;
            }
        };
        for other in self.running() {
            if other != id {
                self.connect([id, other]);
            }
        }
    }

    /// Crashes a process. Its disk is kept for the next start.
    pub fn crash(&mut self, id: NodeId) {
        let Some(node) = self.nodes.remove(&id) else {
            return;
        };
        let disk = node.log().with_storage(FaultyDisk::clone);
        self.disks.insert(id, disk.after_crash());
        for other in self.running() {
            self.network.drop_in_flight([id, other]);
            let other_node = self.nodes.get_mut(&other).expect("the node is running");
            other_node.on_disconnected(id);
        }
    }

    /// Replaces the session between two processes. Messages in flight on the old one are lost.
    pub fn connect(&mut self, ends: [NodeId; 2]) {
        self.network.drop_in_flight(ends);
        let now = self.now;
        for link in Link::both(ends) {
            if let Some(node) = self.nodes.get_mut(&link.sender) {
                node.on_connected(now, link.recipient);
                self.collect(link.sender);
            }
        }
    }

    /// Restores all cut links and replaces all sessions, as the keepalive of a real session would once
    /// its messages are lost.
    pub fn heal(&mut self, members: &[NodeId]) {
        self.network.cut.clear();
        for first in members {
            for second in members.iter().filter(|second| *second > first) {
                if self.nodes.contains_key(first) && self.nodes.contains_key(second) {
                    self.connect([*first, *second]);
                }
            }
        }
    }

    /// Has a process propose a value for one of a few subjects.
    pub fn propose(&mut self, id: NodeId, subject_number: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            let subject = Subject {
                kind: SubjectKind::Weight,
                name: format!("t{subject_number}"),
            };
            let value = self.now.to_le_bytes().to_vec();
            let _ = node.propose(self.now, subject, Some(value), None);
            self.collect(id);
        }
    }

    /// Runs for this time, or until the first violation.
    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end && self.observed.violations.is_empty() {
            let arrival = self.network.next_arrival().unwrap_or(u64::MAX);
            let wakeup = self.next_wakeup();
            let next = arrival.min(wakeup.map_or(u64::MAX, |wakeup| wakeup.at));
            if next >= end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            match wakeup {
                Some(wakeup) if wakeup.at <= next => self.poll(wakeup.node),
                _ => self.deliver(),
            }
        }
    }

    /// Returns how the members' state differs, or which proposals are pending; `None` if all
    /// members hold the same table and nothing is pending.
    pub fn disagreement(&self) -> Option<String> {
        let newest = self
            .nodes
            .values()
            .max_by_key(|node| node.configuration().id)?;
        let configuration = newest.configuration();
        let mut members = self
            .nodes
            .iter()
            .filter(|(id, _)| configuration.has_member(**id));
        let (first_id, first) = members.next()?;
        let differing = members.find(|(_, node)| node.table() != first.table());
        if let Some((id, node)) = differing {
            return Some(format!(
                "{id} is at {}, {first_id} at {}",
                node.table().epoch,
                first.table().epoch
            ));
        }
        let pending = self
            .nodes
            .iter()
            .find(|(id, node)| configuration.has_member(**id) && node.pending_proposals() > 0);
        pending
            .map(|(id, node)| format!("{} changes of {id} are pending", node.pending_proposals()))
    }

    fn running(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    fn suspension_end(&self, id: NodeId) -> u64 {
        self.suspended_until.get(&id).copied().unwrap_or(0)
    }

    fn next_wakeup(&self) -> Option<Wakeup> {
        self.nodes
            .iter()
            .map(|(id, node)| Wakeup {
                at: node.next_deadline().max(self.suspension_end(*id)),
                node: *id,
            })
            .min()
    }

    fn poll(&mut self, id: NodeId) {
        self.nodes
            .get_mut(&id)
            .expect("the node is running")
            .poll(self.now);
        self.collect(id);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let Some((link, message)) = self.network.take_arrived(now) else {
            return;
        };
        let suspended_until = self.suspension_end(link.recipient);
        if suspended_until > now {
            self.network.delay(link, suspended_until, message.bytes);
            return;
        }
        if let Some(node) = self.nodes.get_mut(&link.recipient) {
            node.handle_message(now, link.sender, &message.bytes)
                .expect("the message is valid");
            self.collect(link.recipient);
        }
    }

    /// Sends what a process has to send, and checks what it reports.
    fn collect(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let outgoing = node.take_outgoing();
        let events: Vec<Event> = std::iter::from_fn(|| node.next_event()).collect();
        for message in outgoing {
            self.send(id, message);
        }
        for event in events {
            self.observe(id, event);
        }
        self.check_lease(id);
    }

    fn send(&mut self, sender: NodeId, message: OutgoingMessage) {
        let delay = MIN_DELAY + self.random.below(self.network.max_jitter);
        if self.nodes.contains_key(&message.recipient) {
            let link = Link {
                sender,
                recipient: message.recipient,
            };
            self.network.send(link, self.now + delay, message.bytes);
        }
    }

    fn observe(&mut self, id: NodeId, event: Event) {
        if event == Event::Failed {
            let failure = self.nodes[&id].failure();
            let cause = root_cause(failure.expect("the node has failed"));
            self.observed.violations.push(format!("{id}: {cause}"));
        }
        self.observed.record(ReportedEvent {
            at: self.now,
            node: id,
            event,
        });
    }

    /// Checks that a process with a lease does not act on an epoch that ended longer ago than the
    /// lease lasts.
    fn check_lease(&mut self, id: NodeId) {
        let node = &self.nodes[&id];
        let epoch = node.table().epoch;
        let next_decision = self.observed.decided.get(&(epoch + 1));
        let Some(decided_at) = next_decision.map(|decision| decision.at) else {
            return;
        };
        let limit = decided_at + self.settings.lease_duration;
        if node.lease().is_held(self.now) && self.now > limit {
            self.observed.violations.push(format!(
                "{id} holds a lease on epoch {epoch} {} us after the next was decided",
                self.now - decided_at
            ));
        }
    }
}

/// Returns the text of the innermost cause of an error.
fn root_cause(error: &dyn Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
