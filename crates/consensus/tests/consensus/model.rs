//! A model for `stateright` that runs the nodes themselves: three processes whose messages are
//! delivered in any order that sessions permit, while changes are proposed, processes campaign and
//! crash, and sessions break.
//!
//! A state holds the inputs of each process in their order. A node is rebuilt by replaying them, so
//! that no part of its state is left out of the model.

use crate::faulty_disk::{DiskFault, FaultyDisk};
use crate::link::Link;
use cleatpulley_consensus::{
    ChangeId, Event, Incarnation, Node, NodeId, Outcome, Settings, Subject, SubjectKind,
};
use stateright::{Model, Property};
use std::collections::BTreeMap;

const NODES: [NodeId; 3] = [1, 2, 3];
/// The time of all inputs, in microseconds: timers play no part in the model.
const NOW: u64 = 1_000_000;

/// The names of the properties that hold in every state.
pub const INVARIANTS: [&str; 3] = [
    "processes agree on every epoch",
    "each change is applied in one epoch",
    "processes recover what they wrote",
];

/// An input of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    Connected(NodeId),
    Disconnected(NodeId),
    Message { sender: NodeId, bytes: Vec<u8> },
    Propose(u8),
    Campaign,
    Crash,
}

/// A step of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Delivers the oldest message of a link.
    Deliver(Link),
    Propose(NodeId),
    Campaign(NodeId),
    /// Crashes a process and starts it again.
    Crash(NodeId),
    /// Replaces a session, with the loss of the messages in flight.
    Reconnect([NodeId; 2]),
}

/// A decided change, as a process reported it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Decision {
    epoch: u64,
    change: ChangeId,
    is_applied: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct State {
    inputs: BTreeMap<NodeId, Vec<Input>>,
    in_flight: BTreeMap<Link, Vec<Vec<u8>>>,
    /// By process, in the order of its reports.
    pub decisions: BTreeMap<NodeId, Vec<Decision>>,
    proposals: u8,
    campaigns: u8,
    crashes: u8,
    reconnects: u8,
    /// Whether a process could not recover its log, or the consensus library found it inconsistent.
    has_failed_recovery: bool,
}

/// The processes that the model lets propose, campaign and crash.
#[derive(Debug, Clone, Copy)]
pub struct Participants {
    pub proposing: &'static [NodeId],
    pub campaigning: &'static [NodeId],
    pub crashing: &'static [NodeId],
}

/// The bounds of what the model explores, and the fault of all disks.
pub struct ClusterModel {
    pub max_proposals: u8,
    pub max_campaigns: u8,
    pub max_crashes: u8,
    pub max_reconnects: u8,
    pub disk_fault: DiskFault,
    pub participants: Participants,
}

/// A node that is rebuilt from its inputs.
struct ReplayedNode {
    id: NodeId,
    node: Node<FaultyDisk>,
    incarnation: Incarnation,
    has_failed: bool,
}

impl ReplayedNode {
    fn start(id: NodeId, disk_fault: DiskFault) -> Self {
        let disk = FaultyDisk::with_fault(disk_fault);
        let incarnation = Incarnation(1);
        let node = Node::new(Settings::new(id, NODES.to_vec()), disk, incarnation);
        Self {
            id,
            node: node.expect("the node starts"),
            incarnation,
            has_failed: false,
        }
    }

    /// Applies an input. The consensus library may find its log inconsistent; it panics then, in
    /// test builds only.
    fn apply(&mut self, input: &Input) {
        if self.has_failed {
            return;
        }
        let applied = std::panic::AssertUnwindSafe(|| self.apply_unguarded(input));
        if std::panic::catch_unwind(applied).is_err() {
            self.has_failed = true;
        }
    }

    fn apply_unguarded(&mut self, input: &Input) {
        let node = &mut self.node;
        match input {
            Input::Connected(peer) => node.on_connected(NOW, *peer),
            Input::Disconnected(peer) => node.on_disconnected(*peer),
            Input::Message { sender, bytes } => node
                .handle_message(NOW, *sender, bytes)
                .expect("the message is valid"),
            Input::Campaign => node.campaign(NOW),
            Input::Propose(number) => {
                let subject = Subject {
                    kind: SubjectKind::Weight,
                    name: number.to_string(),
                };
                node.propose(NOW, subject, Some(vec![*number]), None)
                    .expect("the change is within bounds");
            }
            Input::Crash => self.restart(),
        }
    }

    fn restart(&mut self) {
        let disk = self.node.log().with_storage(FaultyDisk::clone);
        self.incarnation.0 += 1;
        let settings = Settings::new(self.id, NODES.to_vec());
        match Node::new(settings, disk.after_crash(), self.incarnation) {
            Ok(node) => self.node = node,
            Err(_) => self.has_failed = true,
        }
    }

    fn discard_output(&mut self) {
        self.node.take_outgoing();
        while self.node.next_event().is_some() {}
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(event) = self.node.next_event() {
            if let Event::Decided {
                epoch,
                change,
                outcome,
            } = event
            {
                decisions.push(Decision {
                    epoch,
                    change: change.id,
                    is_applied: outcome == Outcome::Applied,
                });
            }
        }
        decisions
    }
}

impl ClusterModel {
    /// Adds an input to a process, with the messages and decisions that result from it.
    fn add_input(&self, state: &mut State, id: NodeId, input: Input) {
        let mut replayed = ReplayedNode::start(id, self.disk_fault);
        let earlier = state.inputs.entry(id).or_default();
        for earlier_input in earlier.iter() {
            replayed.apply(earlier_input);
        }
        replayed.discard_output();
        replayed.apply(&input);
        earlier.push(input);
        state.has_failed_recovery |= replayed.has_failed;
        for message in replayed.node.take_outgoing() {
            let link = Link {
                sender: id,
                recipient: message.recipient,
            };
            state.in_flight.entry(link).or_default().push(message.bytes);
        }
        let decisions = replayed.take_decisions();
        if !decisions.is_empty() {
            state.decisions.entry(id).or_default().extend(decisions);
        }
    }

    fn connect(&self, state: &mut State, ends: [NodeId; 2]) {
        drop_in_flight(state, ends);
        for link in Link::both(ends) {
            self.add_input(state, link.sender, Input::Connected(link.recipient));
        }
    }

    /// Delivers the oldest message of a link, and returns whether there was one.
    pub fn deliver(&self, state: &mut State, link: Link) -> bool {
        let Some(queue) = state
            .in_flight
            .get_mut(&link)
            .filter(|queue| !queue.is_empty())
        else {
            return false;
        };
        let bytes = queue.remove(0);
        if queue.is_empty() {
            state.in_flight.remove(&link);
        }
        let sender = link.sender;
        self.add_input(state, link.recipient, Input::Message { sender, bytes });
        true
    }

    /// Delivers messages until none is on its way.
    fn deliver_all(&self, state: &mut State) {
        while NODES.iter().any(|sender| {
            NODES.iter().any(|recipient| {
                let link = Link {
                    sender: *sender,
                    recipient: *recipient,
                };
                self.deliver(state, link)
            })
        }) {}
    }

    fn crash(&self, state: &mut State, id: NodeId) {
        let others = NODES.into_iter().filter(|other| *other != id);
        for other in others.clone() {
            drop_in_flight(state, [id, other]);
        }
        self.add_input(state, id, Input::Crash);
        for other in others {
            self.add_input(state, other, Input::Disconnected(id));
            self.connect(state, [id, other]);
        }
    }
}

fn drop_in_flight(state: &mut State, ends: [NodeId; 2]) {
    for link in Link::both(ends) {
        state.in_flight.remove(&link);
    }
}

impl Model for ClusterModel {
    type State = State;
    type Action = Action;

    /// All are connected, process 1 leads, and no message is on its way.
    fn init_states(&self) -> Vec<State> {
        let mut state = State::default();
        for ends in [[1, 2], [1, 3], [2, 3]] {
            self.connect(&mut state, ends);
        }
        self.deliver_all(&mut state);
        self.add_input(&mut state, 1, Input::Campaign);
        self.deliver_all(&mut state);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let participants = &self.participants;
        actions.extend(state.in_flight.keys().copied().map(Action::Deliver));
        if state.proposals < self.max_proposals {
            actions.extend(participants.proposing.iter().copied().map(Action::Propose));
        }
        if state.campaigns < self.max_campaigns {
            let campaigning = participants.campaigning.iter().copied();
            actions.extend(campaigning.map(Action::Campaign));
        }
        if state.crashes < self.max_crashes {
            actions.extend(participants.crashing.iter().copied().map(Action::Crash));
        }
        if state.reconnects < self.max_reconnects {
            actions.extend([Action::Reconnect([1, 2]), Action::Reconnect([2, 3])]);
        }
    }

    fn next_state(&self, last_state: &State, action: Action) -> Option<State> {
        let mut state = last_state.clone();
        match action {
            Action::Deliver(link) => {
                self.deliver(&mut state, link);
            }
            Action::Propose(id) => {
                state.proposals += 1;
                let number = state.proposals;
                self.add_input(&mut state, id, Input::Propose(number));
            }
            Action::Campaign(id) => {
                state.campaigns += 1;
                self.add_input(&mut state, id, Input::Campaign);
            }
            Action::Crash(id) => {
                state.crashes += 1;
                self.crash(&mut state, id);
            }
            Action::Reconnect(ends) => {
                state.reconnects += 1;
                self.connect(&mut state, ends);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let [agreement, single_application, recovery] = INVARIANTS;
        vec![
            Property::always(agreement, |_, state: &State| agrees_on_epochs(state)),
            Property::always(single_application, |_, state: &State| {
                applies_each_change_once(state)
            }),
            Property::always(recovery, |_, state: &State| !state.has_failed_recovery),
            Property::sometimes("every process decides a change", |_, state: &State| {
                NODES.iter().all(|id| {
                    let decisions = state.decisions.get(id);
                    decisions.is_some_and(|decisions| !decisions.is_empty())
                })
            }),
        ]
    }
}

fn agrees_on_epochs(state: &State) -> bool {
    let mut changes = BTreeMap::new();
    let mut decisions = state.decisions.values().flatten();
    decisions.all(|decision| {
        changes
            .insert(decision.epoch, decision.change)
            .is_none_or(|other| other == decision.change)
    })
}

fn applies_each_change_once(state: &State) -> bool {
    let mut epochs = BTreeMap::new();
    let decisions = state.decisions.values().flatten();
    let mut applied = decisions.filter(|decision| decision.is_applied);
    applied.all(|decision| {
        epochs
            .insert(decision.change, decision.epoch)
            .is_none_or(|other| other == decision.epoch)
    })
}
