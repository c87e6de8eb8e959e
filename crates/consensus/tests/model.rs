//! The very machines that run, explored: three processes whose messages come in any order that sessions permit, while two
//! changes are asked for, a process dies and returns, sessions break, and another takes the lead. A state is what each process
//! has heard, in its order; the machine is played again from that, so nothing is left out of it.

use cleatpulley_consensus::storage::{Forgetful, Loses};
use cleatpulley_consensus::{ChangeId, Event, Kind, Node, NodeId, Outcome, Settings, Subject};
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::collections::BTreeMap;

const NODES: [NodeId; 3] = [1, 2, 3];
const START: u64 = 1_000_000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Heard {
    Connected(NodeId),
    Lost(NodeId),
    Message(NodeId, Vec<u8>),
    Asked(u8),
    Leads,
    Crashed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Deliver(NodeId, NodeId),
    Ask(NodeId),
    Lead(NodeId),
    Crash(NodeId),
    Break(NodeId, NodeId),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct State {
    heard: BTreeMap<NodeId, Vec<Heard>>,
    ways: BTreeMap<(NodeId, NodeId), Vec<Vec<u8>>>,
    /// By process, in the order in which it told: what was decided, and whether it counted.
    decided: BTreeMap<NodeId, Vec<(u64, ChangeId, bool)>>,
    asked: u8,
    led: u8,
    crashed: u8,
    broken: u8,
    /// A process did not find what it wrote.
    unread: bool,
}

/// How much may go wrong, and what the disks lose.
struct Group {
    asks: u8,
    leads: u8,
    crashes: u8,
    breaks: u8,
    loses: Loses,
    /// Who asks, leads and dies.
    who: [&'static [NodeId]; 3],
}

/// Any may.
const ANY: [&[NodeId]; 3] = [&[1, 2], &[2, 3], &NODES];

struct Played {
    node: Node<Forgetful>,
    life: u64,
    unread: bool,
}

impl Group {
    fn begin(&self, id: NodeId) -> Played {
        let disk = Forgetful::that(self.loses);
        let node = Node::new(Settings::new(id, NODES.to_vec()), disk, 1).expect("it starts");
        Played {
            node,
            life: 1,
            unread: false,
        }
    }

    fn hear(&self, id: NodeId, played: &mut Played, heard: &Heard) {
        let node = &mut played.node;
        match heard {
            Heard::Connected(peer) => node.connected(START, *peer),
            Heard::Lost(peer) => node.lost(*peer),
            Heard::Message(from, bytes) => node.hear(START, *from, bytes).expect("it is a message"),
            Heard::Leads => node.take_lead(START),
            Heard::Asked(number) => {
                let subject = Subject {
                    kind: Kind::Weight,
                    name: number.to_string(),
                };
                node.propose(START, subject, Some(vec![*number]), None)
                    .expect("it fits");
            }
            Heard::Crashed => {
                let disk = node.log().disk(Forgetful::clone).crash();
                played.life += 1;
                match Node::new(Settings::new(id, NODES.to_vec()), disk, played.life) {
                    Ok(node) => played.node = node,
                    Err(_) => played.unread = true,
                }
            }
        }
    }

    /// The same, where the library itself may notice that it stands on what can't be: it does so by a panic, in tests alone.
    fn hear_safely(&self, id: NodeId, played: &mut Played, heard: &Heard) {
        if !played.unread {
            let heard = std::panic::AssertUnwindSafe(|| self.hear(id, played, heard));
            if std::panic::catch_unwind(heard).is_err() {
                played.unread = true;
            }
        }
    }

    /// One process hears one thing more.
    fn step(&self, state: &mut State, id: NodeId, what: Heard) {
        let mut played = self.begin(id);
        let before = state.heard.entry(id).or_default();
        for heard in before.iter() {
            self.hear_safely(id, &mut played, heard);
        }
        played.node.take_out();
        while played.node.event().is_some() {}
        self.hear_safely(id, &mut played, &what);
        before.push(what);
        state.unread |= played.unread;
        for (to, bytes) in played.node.take_out() {
            state.ways.entry((id, to)).or_default().push(bytes);
        }
        while let Some(event) = played.node.event() {
            if let Event::Decided {
                epoch,
                change,
                outcome,
            } = event
            {
                let told = (epoch, change.id, outcome == Outcome::Applied);
                state.decided.entry(id).or_default().push(told);
            }
        }
    }

    fn connect(&self, state: &mut State, one: NodeId, other: NodeId) {
        state.ways.remove(&(one, other));
        state.ways.remove(&(other, one));
        self.step(state, one, Heard::Connected(other));
        self.step(state, other, Heard::Connected(one));
    }

    fn deliver(&self, state: &mut State, from: NodeId, to: NodeId) -> bool {
        let Some(way) = state
            .ways
            .get_mut(&(from, to))
            .filter(|way| !way.is_empty())
        else {
            return false;
        };
        let bytes = way.remove(0);
        if way.is_empty() {
            state.ways.remove(&(from, to));
        }
        self.step(state, to, Heard::Message(from, bytes));
        true
    }
}

impl Model for Group {
    type State = State;
    type Action = Act;

    /// All are connected, one leads, and nothing is on its way.
    fn init_states(&self) -> Vec<State> {
        let mut state = State::default();
        for (one, other) in [(1, 2), (1, 3), (2, 3)] {
            self.connect(&mut state, one, other);
        }
        let settle = |state: &mut State| {
            while NODES
                .iter()
                .any(|from| NODES.iter().any(|to| self.deliver(state, *from, *to)))
            {}
        };
        settle(&mut state);
        self.step(&mut state, 1, Heard::Leads);
        settle(&mut state);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        actions.extend(state.ways.keys().map(|(from, to)| Act::Deliver(*from, *to)));
        if state.asked < self.asks {
            actions.extend(self.who[0].iter().map(|id| Act::Ask(*id)));
        }
        if state.led < self.leads {
            actions.extend(self.who[1].iter().map(|id| Act::Lead(*id)));
        }
        if state.crashed < self.crashes {
            actions.extend(self.who[2].iter().map(|id| Act::Crash(*id)));
        }
        if state.broken < self.breaks {
            actions.extend([Act::Break(1, 2), Act::Break(2, 3)]);
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Deliver(from, to) => {
                self.deliver(&mut state, from, to);
            }
            Act::Ask(id) => {
                state.asked += 1;
                let number = state.asked;
                self.step(&mut state, id, Heard::Asked(number));
            }
            Act::Lead(id) => {
                state.led += 1;
                self.step(&mut state, id, Heard::Leads);
            }
            Act::Crash(id) => {
                state.crashed += 1;
                let others = NODES.into_iter().filter(|other| *other != id);
                others.clone().for_each(|other| {
                    state.ways.remove(&(id, other));
                    state.ways.remove(&(other, id));
                });
                self.step(&mut state, id, Heard::Crashed);
                others.for_each(|other| {
                    self.step(&mut state, other, Heard::Lost(id));
                    self.connect(&mut state, id, other);
                });
            }
            Act::Break(one, other) => {
                state.broken += 1;
                self.connect(&mut state, one, other);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("all agree on what was decided", |_, state: &State| {
                let mut known = BTreeMap::new();
                let mut all = state.decided.values().flatten();
                all.all(|(epoch, id, _)| {
                    known.insert(*epoch, *id).is_none_or(|before| before == *id)
                })
            }),
            Property::always("each change counts once", |_, state: &State| {
                let mut known = BTreeMap::new();
                let mut counted = state
                    .decided
                    .values()
                    .flatten()
                    .filter(|(.., counts)| *counts);
                counted.all(|(epoch, id, _)| {
                    known
                        .insert(*id, *epoch)
                        .is_none_or(|before| before == *epoch)
                })
            }),
            Property::always("each stands on what it wrote", |_, state: &State| {
                !state.unread
            }),
            Property::sometimes("something is decided by all", |_, state: &State| {
                NODES
                    .iter()
                    .all(|id| state.decided.get(id).is_some_and(|told| !told.is_empty()))
            }),
        ]
    }
}

const ALWAYS: [&str; 3] = [
    "all agree on what was decided",
    "each change counts once",
    "each stands on what it wrote",
];

/// More states than a test has time for: `MODEL_STATES=1000000`.
fn most(usual: usize) -> usize {
    std::env::var("MODEL_STATES")
        .ok()
        .and_then(|most| most.parse().ok())
        .unwrap_or(usual)
}

#[test]
fn no_order_of_messages_makes_processes_disagree() {
    let cases = [
        Group {
            asks: 2,
            leads: 1,
            crashes: 0,
            breaks: 0,
            loses: Loses::Nothing,
            who: ANY,
        },
        Group {
            asks: 1,
            leads: 1,
            crashes: 1,
            breaks: 0,
            loses: Loses::Nothing,
            who: ANY,
        },
        Group {
            asks: 1,
            leads: 1,
            crashes: 0,
            breaks: 1,
            loses: Loses::Nothing,
            who: ANY,
        },
        Group {
            asks: 2,
            leads: 2,
            crashes: 1,
            breaks: 1,
            loses: Loses::Nothing,
            who: ANY,
        },
    ];
    for group in cases {
        let told = format!(
            "{} asked, {} lead, {} crash, {} break",
            group.asks, group.leads, group.crashes, group.breaks
        );
        let checker = group
            .checker()
            .threads(4)
            .target_state_count(most(3_000))
            .spawn_bfs()
            .join();
        let broken: Vec<_> = ALWAYS
            .into_iter()
            .filter(|name| checker.discovery(name).is_some())
            .collect();
        let (states, depth) = (checker.unique_state_count(), checker.max_depth());
        println!("{told}: {states} states to depth {depth}");
        assert_eq!(broken, Vec::<&str>::new(), "{told}");
        assert!(states >= 1_000, "{told}: {states} states");
    }
}

/// Faults that a disk may have are found on walks through the same model; without a fault none of these walks finds one.
#[test]
fn injected_faults_are_found() {
    for loses in [Loses::Nothing, Loses::Syncs, Loses::Rounds, Loses::Newest] {
        let group = Group {
            asks: 2,
            leads: 2,
            crashes: 2,
            breaks: 0,
            loses,
            who: ANY,
        };
        let checker = group
            .checker()
            .target_max_depth(80)
            .target_state_count(most(if loses == Loses::Nothing {
                15_000
            } else {
                60_000
            }));
        let checker = checker
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_simulation(7, UniformChooser)
            .join();
        let broken: Vec<_> = ALWAYS
            .into_iter()
            .filter(|name| checker.discovery(name).is_some())
            .collect();
        println!("{loses:?}: {broken:?} in {} states", checker.state_count());
        assert_eq!(
            broken.is_empty(),
            loses == Loses::Nothing,
            "{loses:?}: {broken:?}"
        );
    }
}

/// A forgotten promise takes one long way among very many, so this walk is told: the second promises the third, dies, and follows
/// the first again, which decides; the third decides otherwise with the promise of before.
#[test]
fn a_forgotten_promise_is_found_on_its_walk() {
    let walk = |loses| {
        let group = Group {
            asks: 2,
            leads: 1,
            crashes: 1,
            breaks: 0,
            loses,
            who: ANY,
        };
        let mut state = group.init_states().remove(0);
        let act =
            |state: &mut State, act| *state = group.next_state(state, act).expect("it can be");
        let between = |state: &mut State, one, other| {
            while group.deliver(state, one, other) || group.deliver(state, other, one) {}
        };
        act(&mut state, Act::Lead(3));
        act(&mut state, Act::Deliver(3, 2));
        act(&mut state, Act::Deliver(2, 3));
        act(&mut state, Act::Ask(1));
        act(&mut state, Act::Crash(2));
        between(&mut state, 1, 2);
        between(&mut state, 2, 3);
        act(&mut state, Act::Ask(3));
        between(&mut state, 2, 3);
        let told = state.decided.clone();
        let broken = group
            .properties()
            .iter()
            .filter(|property| ALWAYS.contains(&property.name))
            .any(|property| !(property.condition)(&group, &state));
        (broken, told)
    };
    let (broken, told) = walk(Loses::Nothing);
    assert!(!broken, "{told:?}");
    let (broken, told) = walk(Loses::Promises);
    assert!(broken, "{told:?}");
}
