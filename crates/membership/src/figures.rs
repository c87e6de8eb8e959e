//! Small values that each process tells of itself, with a version and an age.
//!
//! They merge: whatever the order and however often they come, the same set of them comes to the same state. Of two the later
//! incarnation counts, then the higher version, then the greater bytes, so that even a process that tells two things under one
//! version is believed the same way by all. They age out, with their process or alone, and an age is counted by the hearer's own
//! clock from the first hearing on: it is a lower bound, since the way is not counted. Whoever uses one bounds what it moves.

use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes of a value: a few numbers.
pub const MOST_BYTES: usize = 96;
/// Kinds of which one process may tell.
pub const MOST_KINDS: usize = 16;

/// What a value is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Share of its full speed, from 0 to 1.
    Warmth,
    /// 1 from the notice to leave on.
    Drain,
    /// Work that it can do, in the unit of its role.
    Capacity,
    /// Statistics of one upstream, or others, by number.
    Other(u16),
}

/// A value of a process in one of its lives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Figure {
    /// Whose it is: where its datagrams go.
    pub address: SocketAddr,
    /// And in which life.
    pub incarnation: u64,
    /// What it is of.
    pub kind: Kind,
    /// Rises with each that is told.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

impl Figure {
    /// A number, where the value is one.
    #[must_use]
    pub fn number(&self) -> Option<f64> {
        let bytes = <[u8; 8]>::try_from(&self.value[..]).ok()?;
        Some(f64::from_le_bytes(bytes)).filter(|number| number.is_finite())
    }

    fn rank(&self) -> (u64, u64, &[u8]) {
        (self.incarnation, self.version, &self.value)
    }
}

/// What was heard, and since when.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Heard {
    figure: Figure,
    since: Micros,
}

/// The merged figures of all that are there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// The lives that are there, by address.
    there: BTreeMap<SocketAddr, u64>,
    known: BTreeMap<(SocketAddr, Kind), Heard>,
}

impl Figures {
    /// A process is there in this life; what it told in another is over.
    pub fn up(&mut self, identity: &Identity) {
        self.there.insert(identity.address, identity.incarnation);
        self.known.retain(|(address, _), heard| {
            *address != identity.address || heard.figure.incarnation == identity.incarnation
        });
    }

    /// It is gone, and what it told with it.
    pub fn down(&mut self, identity: &Identity) {
        if self.there.get(&identity.address) == Some(&identity.incarnation) {
            self.there.remove(&identity.address);
            self.known
                .retain(|(address, _), _| *address != identity.address);
        }
    }

    /// Takes one up; true where it is news. Guards against values of any length, more kinds than fit, and processes that are
    /// not there.
    pub fn merge(&mut self, now: Micros, figure: Figure) -> bool {
        if figure.value.len() > MOST_BYTES
            || self.there.get(&figure.address) != Some(&figure.incarnation)
        {
            return false;
        }
        let key = (figure.address, figure.kind);
        if let Some(heard) = self.known.get(&key) {
            if heard.figure.rank() >= figure.rank() {
                return false;
            }
        } else if self.of(figure.address).count() >= MOST_KINDS {
            return false;
        }
        self.known.insert(key, Heard { figure, since: now });
        true
    }

    /// Forgets what is older than this.
    pub fn age_out(&mut self, now: Micros, oldest: Micros) {
        self.known
            .retain(|_, heard| now.saturating_sub(heard.since) <= oldest);
    }

    /// What one process told.
    pub fn of(&self, address: SocketAddr) -> impl Iterator<Item = &Figure> {
        let from = (address, Kind::Warmth);
        let of = self
            .known
            .range(from..)
            .take_while(move |((whose, _), _)| *whose == address);
        of.map(|(_, heard)| &heard.figure)
    }

    /// All of a kind, each with its least age.
    pub fn all(&self, now: Micros, kind: Kind) -> impl Iterator<Item = (&Figure, Micros)> {
        let of_kind = self.known.iter().filter(move |((_, of), _)| *of == kind);
        of_kind.map(move |(_, heard)| (&heard.figure, now.saturating_sub(heard.since)))
    }

    /// How many are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::identity::{Label, Role};
    use proptest::prelude::*;

    fn process(port: u16, incarnation: u64) -> Identity {
        let label = |text: &str| Label::try_from(text.to_owned()).expect("a label");
        Identity {
            name: label(&format!("p{port}")),
            incarnation,
            boot: 0,
            address: ([127, 0, 0, 1], port).into(),
            role: Role::Matcher,
            zone: label("mona"),
            host: label("h1"),
        }
    }

    fn figure() -> impl Strategy<Value = Figure> {
        (1..4u16, 1..3u64, 0..3u16, 0..4u64, 0..3u8).prop_map(
            |(port, incarnation, kind, version, value)| {
                let address = ([127, 0, 0, 1], port).into();
                Figure {
                    address,
                    incarnation,
                    kind: Kind::Other(kind),
                    version,
                    value: vec![value],
                }
            },
        )
    }

    proptest! {
        /// The state does not depend on order or repetition.
        #[test]
        fn figures_merge_in_any_order_and_any_number_of_times(
            told in proptest::collection::vec(figure(), 0..40), order in any::<u64>(),
        ) {
            let mut plain = Figures::default();
            (1..4).for_each(|port| plain.up(&process(port, 2)));
            let mut other = plain.clone();
            told.iter().for_each(|one| { plain.merge(0, one.clone()); });
            let mut mixed: Vec<_> = told.iter().chain(&told).cloned().collect();
            mixed.sort_by_key(|one| (one.version ^ order, one.value[0] ^ order as u8, one.address));
            mixed.into_iter().for_each(|one| { other.merge(0, one); });
            prop_assert_eq!(plain, other);
        }
    }

    #[test]
    fn a_figure_ends_with_its_life_and_with_its_age() {
        let (old, new) = (process(1, 5), process(1, 6));
        let of = |identity: &Identity, version| Figure {
            address: identity.address,
            incarnation: identity.incarnation,
            kind: Kind::Warmth,
            version,
            value: 0.5f64.to_le_bytes().to_vec(),
        };
        let mut figures = Figures::default();
        assert!(!figures.merge(0, of(&old, 1)), "nobody is there");
        figures.up(&old);
        assert!(figures.merge(0, of(&old, 9)) && !figures.merge(0, of(&old, 9)));
        assert_eq!(
            figures
                .all(7, Kind::Warmth)
                .next()
                .map(|(f, age)| (f.number(), age)),
            Some((Some(0.5), 7))
        );
        figures.up(&new);
        assert!(figures.is_empty(), "another life");
        assert!(!figures.merge(0, of(&old, 10)) && figures.merge(10, of(&new, 1)));
        figures.down(&old);
        assert_eq!(figures.len(), 1, "the old life's end is no news");
        figures.age_out(20, 10);
        assert_eq!(figures.len(), 1);
        figures.age_out(21, 10);
        assert!(figures.is_empty());
    }

    #[test]
    fn no_process_fills_the_memory() {
        let mut figures = Figures::default();
        figures.up(&process(1, 1));
        let address = process(1, 1).address;
        for kind in 0..200 {
            let figure = Figure {
                address,
                incarnation: 1,
                kind: Kind::Other(kind),
                version: 1,
                value: vec![0],
            };
            figures.merge(0, figure);
        }
        assert_eq!(figures.len(), MOST_KINDS);
        let long = Figure {
            address,
            incarnation: 1,
            kind: Kind::Other(0),
            version: 2,
            value: vec![0; MOST_BYTES + 1],
        };
        assert!(!figures.merge(0, long));
    }
}
