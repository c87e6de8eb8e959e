//! The process that serves, and what it does for the one that is to take its place.

use crate::message::{Held, Message, VERSION};
use cleatpulley_policy::interface::Micros;
use std::net::SocketAddr;

/// A successor that has the sockets asks to take over within this time, or is forgotten: its runtime may come up late.
pub const PATIENCE: Micros = 10_000_000;
/// How often a successor hears what is left.
pub const TELLS: Micros = 50_000;

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
}

/// The decisions.
#[derive(Debug)]
pub struct Predecessor {
    name: String,
    state: State,
}

impl Predecessor {
    /// Of a matcher of this name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), state: State::Alone }
    }

    /// A successor takes the clients.
    #[must_use]
    pub fn yielded(&self) -> bool {
        matches!(self.state, State::Yielded { .. })
    }

    /// Whether one more may come; the first that is there is the only one.
    #[must_use]
    pub fn receives(&self) -> bool {
        self.state == State::Alone
    }

    /// Somebody connected, whose user is ours.
    pub fn visited(&mut self, now: Micros) {
        self.state = State::Visited { until: now + PATIENCE };
    }

    /// Hears what the visitor says; `listens` are the addresses that this process listens on.
    pub fn hear(&mut self, now: Micros, message: &Message, listens: &[SocketAddr]) -> Vec<Effect> {
        match (self.state, message) {
            (State::Visited { .. }, Message::Hello { version, name, listen }) => {
                let refuse = |why: String| vec![Effect::Send(Message::Refused { why }), Effect::Close];
                if *version != VERSION {
                    self.state = State::Alone;
                    return refuse(format!("version {version} is not spoken here, {VERSION} is"));
                }
                if *name != self.name {
                    self.state = State::Alone;
                    return refuse(format!("this is {}, not {name}", self.name));
                }
                self.state = State::Passed { until: now + PATIENCE };
                let listen = listen.iter().filter(|address| listens.contains(address)).copied().collect();
                vec![Effect::Pass(Message::Offer { version: VERSION, listen })]
            }
            (State::Passed { .. }, Message::Take {}) => {
                self.state = State::Yielded { tell_at: now + TELLS };
                vec![Effect::Yield]
            }
            // Nothing else is said by a successor that goes by this protocol.
            _ => self.ended(),
        }
    }

    /// It has let go of the store of results.
    #[must_use]
    pub fn store_free(&self) -> Vec<Effect> {
        if self.yielded() {
            vec![Effect::Send(Message::StoreFree {})]
        } else {
            Vec::new()
        }
    }

    /// The connection ended, or what came on it can't be read.
    pub fn ended(&mut self) -> Vec<Effect> {
        match std::mem::replace(&mut self.state, State::Alone) {
            State::Yielded { .. } => vec![Effect::Close, Effect::Resume],
            _ => vec![Effect::Close],
        }
    }

    /// Lets time pass.
    pub fn turn(&mut self, now: Micros, held: impl FnOnce() -> Held) -> Vec<Effect> {
        match self.state {
            State::Visited { until } | State::Passed { until } if now >= until => self.ended(),
            State::Yielded { tell_at } if now >= tell_at => {
                self.state = State::Yielded { tell_at: now + TELLS };
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
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hello(version: u32, name: &str) -> Message {
        let listen = vec![at(5), at(6)];
        Message::Hello { version, name: name.into(), listen }
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
        let offer = Message::Offer { version: VERSION, listen: vec![at(6)] };
        assert_eq!(one.hear(1, &hello(VERSION, "n1"), &[at(6), at(7)]), [Effect::Pass(offer)]);
        assert!(!one.yielded());
        assert_eq!(one.hear(2, &Message::Take {}, &[]), [Effect::Yield]);
        assert!(one.yielded());
        assert_eq!(one.turn(2 + TELLS - 1, Held::default), []);
        let left = Effect::Send(Message::Left(Held::default()));
        assert_eq!(one.turn(2 + TELLS, Held::default), [left]);
        assert_eq!(one.store_free(), [Effect::Send(Message::StoreFree {})]);
        assert_eq!(one.ended(), [Effect::Close, Effect::Resume], "its successor died");
        assert!(one.receives(), "and the next may come");
        assert_eq!(one.store_free(), [], "nobody is there to take it");
    }

    #[test]
    fn a_stranger_gets_nothing() {
        for (version, name) in [(VERSION + 1, "n1"), (VERSION, "n2")] {
            let effects = visited().hear(1, &hello(version, name), &[at(5)]);
            assert!(matches!(&effects[..], [Effect::Send(Message::Refused { .. }), Effect::Close]));
        }
        assert_eq!(visited().hear(1, &Message::Take {}, &[at(5)]), [Effect::Close], "out of turn");
        let mut silent = visited();
        assert_eq!(silent.next(), Some(PATIENCE));
        assert_eq!(silent.turn(PATIENCE, Held::default), [Effect::Close]);
        assert!(silent.receives());
    }

    #[test]
    fn one_that_died_before_it_took_over_changes_nothing() {
        let mut one = visited();
        one.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        assert_eq!(one.ended(), [Effect::Close]);
        let mut late = visited();
        late.hear(1, &hello(VERSION, "n1"), &[at(5)]);
        assert_eq!(late.turn(1 + PATIENCE, Held::default), [Effect::Close]);
    }
}
