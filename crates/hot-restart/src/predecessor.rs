//! The process that serves, and what it does for the one that is to take its place.

use crate::message::{Held, Message, VERSION};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::SocketAddr;

/// A successor that has the sockets asks to take over within this time, or is forgotten: its runtime may come up late.
pub const PATIENCE: Micros = 10_000_000;
/// How often a successor hears what is left.
pub const TELLS: Micros = 50_000;
/// One whose successor died looks for so long for a process that has the place by now, and so often. Whoever was about to
/// take over from the dead one is there within milliseconds; nobody accepts meanwhile, so that it is no longer than a caller
/// takes for an instant.
pub const ORPHANED: Micros = 50_000;
const LOOKS: Micros = 5_000;

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Say this.
    Send(Message),
    /// Say this, and pass the listening sockets of its addresses along.
    Pass(Message),
    /// Accept no more, send connections away, and then say [`Message::Yours`].
    Yield,
    /// Accept again: there is no successor any more.
    Resume,
    /// Close the connection to the successor.
    Close,
    /// See whether some other process has the place by now, and say [`found`](Predecessor::found) where one has.
    Look,
    /// The visitor came before this process, and its own successor died: it has so much left.
    Behind(Held),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nobody is there.
    Alone,
    /// Somebody came and has said nothing yet.
    Visited { until: Micros },
    /// It has the sockets.
    Passed { until: Micros },
    /// It takes the clients.
    Yielded { tell_at: Micros },
    /// It took them and died. Another may have taken its place by then.
    Orphaned { until: Micros, look_at: Micros },
}

/// The decisions.
#[derive(Debug)]
pub struct Predecessor {
    name: String,
    state: State,
    /// When the successor that took the clients was first seen to be gone: the search for the next has an end.
    orphaned_at: Option<Micros>,
}

impl Predecessor {
    /// Of a matcher of this name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            state: State::Alone,
            orphaned_at: None,
        }
    }

    /// A successor takes the clients, or whoever took its place.
    #[must_use]
    pub fn yielded(&self) -> bool {
        matches!(self.state, State::Yielded { .. } | State::Orphaned { .. })
    }

    /// The successor died, and who has the place by now is not known yet.
    #[must_use]
    pub fn is_orphaned(&self) -> bool {
        matches!(self.state, State::Orphaned { .. })
    }

    /// There is no time left to look: whoever waits is this process's to answer.
    pub fn search_no_more(&mut self, now: Micros) {
        if let State::Orphaned { until, .. } = &mut self.state {
            *until = now;
        }
    }

    /// Whether one more may come; the first that is there is the only one.
    #[must_use]
    pub fn receives(&self) -> bool {
        self.state == State::Alone
    }

    /// Somebody connected, whose user is ours.
    pub fn visited(&mut self, now: Micros) {
        self.state = State::Visited {
            until: now + PATIENCE,
        };
    }

    /// Hears what the visitor says; `listens` are the addresses that this process listens on.
    pub fn hear(&mut self, now: Micros, message: &Message, listens: &[SocketAddr]) -> Vec<Effect> {
        match (self.state, message) {
            (
                State::Visited { .. },
                Message::Hello {
                    version,
                    name,
                    listen,
                },
            ) => {
                if let Some(refusal) = self.refusal(*version, name) {
                    return refusal;
                }
                self.state = State::Passed {
                    until: now + PATIENCE,
                };
                let listen = listen
                    .iter()
                    .filter(|address| listens.contains(address))
                    .copied()
                    .collect();
                vec![Effect::Pass(Message::Offer {
                    version: VERSION,
                    listen,
                })]
            }
            (
                State::Visited { .. },
                Message::Behind {
                    version,
                    name,
                    held,
                },
            ) => self.refusal(*version, name).unwrap_or_else(|| {
                self.state = State::Alone;
                vec![Effect::Behind(*held)]
            }),
            (State::Passed { .. }, Message::Take {}) => {
                self.state = State::Yielded {
                    tell_at: now + TELLS,
                };
                self.orphaned_at = None;
                vec![Effect::Yield]
            }
            // Nothing else is said by a successor that goes by this protocol.
            _ => self.ended(now),
        }
    }

    /// What a visitor hears that is none of ours.
    fn refusal(&mut self, version: u32, name: &str) -> Option<Vec<Effect>> {
        let why = match (version, name) {
            (VERSION, name) if name == self.name => return None,
            (VERSION, _) => format!("this is {}, not {name}", self.name),
            _ => format!("version {version} is not spoken here, {VERSION} is"),
        };
        self.state = State::Alone;
        Some(vec![Effect::Send(Message::Refused { why }), Effect::Close])
    }

    /// Another process has the place by now: it hears of this one, and no client is taken again.
    pub fn found(&mut self, now: Micros, held: Held) -> Vec<Effect> {
        if !matches!(self.state, State::Orphaned { .. }) {
            return Vec::new();
        }
        self.state = State::Yielded {
            tell_at: now + TELLS,
        };
        let name = self.name.clone();
        vec![Effect::Send(Message::Behind {
            version: VERSION,
            name,
            held,
        })]
    }

    /// It has let go of the store of results.
    #[must_use]
    pub fn store_free(&self) -> Vec<Effect> {
        if matches!(self.state, State::Yielded { .. }) {
            vec![Effect::Send(Message::StoreFree {})]
        } else {
            Vec::new()
        }
    }

    /// The connection ended, or what came on it can't be read.
    pub fn ended(&mut self, now: Micros) -> Vec<Effect> {
        self.state = match self.state {
            State::Yielded { .. } if is_bug_injected(InjectedBug::StoreReopened) => {
                self.state = State::Alone;
                return vec![Effect::Close, Effect::Resume];
            }
            State::Yielded { .. } | State::Orphaned { .. } => {
                // Of one that was found and does not speak so, the search goes on where it was; a later loss is another.
                let since = self
                    .orphaned_at
                    .filter(|at| now < at + ORPHANED)
                    .unwrap_or(now);
                self.orphaned_at = Some(since);
                State::Orphaned {
                    until: since + ORPHANED,
                    look_at: now,
                }
            }
            _ => State::Alone,
        };
        vec![Effect::Close]
    }

    /// Lets time pass.
    pub fn turn(&mut self, now: Micros, held: impl FnOnce() -> Held) -> Vec<Effect> {
        match self.state {
            State::Visited { until } | State::Passed { until } if now >= until => self.ended(now),
            State::Orphaned { until, .. } if now >= until => {
                self.state = State::Alone;
                vec![Effect::Resume]
            }
            State::Orphaned { until, look_at } if now >= look_at => {
                self.state = State::Orphaned {
                    until,
                    look_at: now + LOOKS,
                };
                vec![Effect::Look]
            }
            State::Yielded { tell_at } if now >= tell_at => {
                self.state = State::Yielded {
                    tell_at: now + TELLS,
                };
                vec![Effect::Send(Message::Left(held()))]
            }
            _ => Vec::new(),
        }
    }

    /// When [`turn`](Self::turn) has something to do.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        match self.state {
            State::Alone => None,
            State::Visited { until } | State::Passed { until } => Some(until),
            State::Yielded { tell_at } => Some(tell_at),
            State::Orphaned { until, look_at } => Some(until.min(look_at)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hello(version: u32, name: &str) -> Message {
        let listen = vec![at(5), at(6)];
        Message::Hello {
            version,
            name: name.into(),
            listen,
        }
    }

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn visited() -> Predecessor {
        let mut one = Predecessor::new("n1");
        one.visited(0);
        assert!(!one.receives());
        one
    }

    #[test]
    fn it_passes_what_it_has_and_yields_when_asked() {
        let mut one = visited();
        let offer = Message::Offer {
            version: VERSION,
            listen: vec![at(6)],
        };
        assert_eq!(
            one.hear(1, &hello(VERSION, "n1"), &[at(6), at(7)]),
            [Effect::Pass(offer)]
        );
        assert!(!one.yielded());
        assert_eq!(one.hear(2, &Message::Take {}, &[]), [Effect::Yield]);
        assert!(one.yielded());
        assert_eq!(one.turn(2 + TELLS - 1, Held::default), []);
        let left = Effect::Send(Message::Left(Held::default()));
        assert_eq!(one.turn(2 + TELLS, Held::default), [left]);
        assert_eq!(one.store_free(), [Effect::Send(Message::StoreFree {})]);
        assert_eq!(one.ended(100), [Effect::Close], "its successor died");
        assert!(
            one.yielded() && !one.receives(),
            "another may have its place by now"
        );
        assert_eq!(one.store_free(), [], "nobody is there to take it");
        assert_eq!(one.turn(100, Held::default), [Effect::Look]);
        assert_eq!(one.turn(101, Held::default), []);
        assert_eq!(one.turn(100 + ORPHANED, Held::default), [Effect::Resume]);
        assert!(one.receives(), "and the next may come");
    }

    #[test]
    fn an_orphan_goes_behind_whoever_has_the_place_and_does_not_search_for_ever() {
        let mut one = visited();
        one.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        one.hear(2, &Message::Take {}, &[]);
        one.ended(100);
        let held = Held {
            running: 2,
            ..Held::default()
        };
        let behind = Message::Behind {
            version: VERSION,
            name: "n1".into(),
            held,
        };
        assert_eq!(one.found(110, held), [Effect::Send(behind.clone())]);
        assert_eq!(one.store_free(), [Effect::Send(Message::StoreFree {})]);
        assert_eq!(one.found(111, held), [], "it has one already");
        // One that does not speak so closes each time: the time is over once.
        one.ended(120);
        assert_eq!(one.turn(100 + ORPHANED, Held::default), [Effect::Resume]);
        let mut twice = visited();
        twice.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        twice.hear(2, &Message::Take {}, &[]);
        twice.ended(100);
        twice.found(110, held);
        twice.ended(200_000);
        assert_eq!(
            twice.turn(200_001, Held::default),
            [Effect::Look],
            "another one died, much later"
        );
        let mut hurried = visited();
        hurried.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        hurried.hear(2, &Message::Take {}, &[]);
        hurried.ended(100);
        hurried.search_no_more(101);
        assert_eq!(hurried.turn(101, Held::default), [Effect::Resume]);
        let mut youngest = visited();
        assert_eq!(youngest.hear(1, &behind, &[]), [Effect::Behind(held)]);
        assert!(
            youngest.receives(),
            "its own successor may come all the same"
        );
        let stranger = Message::Behind {
            version: VERSION,
            name: "n2".into(),
            held,
        };
        let effects = visited().hear(1, &stranger, &[]);
        assert!(matches!(
            &effects[..],
            [Effect::Send(Message::Refused { .. }), Effect::Close]
        ));
    }

    #[test]
    fn a_stranger_gets_nothing() {
        for (version, name) in [(VERSION + 1, "n1"), (VERSION, "n2")] {
            let effects = visited().hear(1, &hello(version, name), &[at(5)]);
            assert!(matches!(
                &effects[..],
                [Effect::Send(Message::Refused { .. }), Effect::Close]
            ));
        }
        assert_eq!(
            visited().hear(1, &Message::Take {}, &[at(5)]),
            [Effect::Close],
            "out of turn"
        );
        let mut silent = visited();
        assert_eq!(silent.next(), Some(PATIENCE));
        assert_eq!(silent.turn(PATIENCE, Held::default), [Effect::Close]);
        assert!(silent.receives());
    }

    #[test]
    fn one_that_died_before_it_took_over_changes_nothing() {
        let mut one = visited();
        one.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        assert_eq!(one.ended(2), [Effect::Close]);
        assert!(one.receives());
        let mut late = visited();
        late.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        assert_eq!(late.turn(1 + PATIENCE, Held::default), [Effect::Close]);
    }
}
