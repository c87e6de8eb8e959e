//! Who has earned to be known: addresses that whole requests were answered for over time. What is earned fades; it grows no
//! faster than time passes, however many requests come at once; and a prefix has no more of it than a few addresses.

use crate::book;
use crate::net::Net;
use cleatpulley_policy::interface::Micros;
use std::collections::HashMap;
use std::net::IpAddr;

/// An address earns no more than one point in this time: standing takes time, whatever is spent on it.
pub const GAP: Micros = 100_000;
/// Entries that are looked at for the one that makes room.
const LOOKS: usize = 8;

/// What it takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Earned {
    /// Points from which an address is known.
    pub points: f64,
    /// In this time half of what was earned fades.
    pub half_life: Micros,
    /// Addresses that are remembered.
    pub most: usize,
    /// Addresses of one prefix that are remembered.
    pub of_prefix: usize,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    address: IpAddr,
    prefix: Net,
    points: f64,
    /// When that was what it had.
    at: Micros,
    /// The points that the book has of it.
    booked: f64,
}

/// The table.
#[derive(Debug, Clone)]
pub struct Standing {
    earned: Earned,
    entries: Vec<Entry>,
    places: HashMap<IpAddr, usize>,
    prefixes: HashMap<Net, usize>,
    turn: u64,
    /// Whose points have moved away from what the book has, in the order in which they did.
    moved: Vec<IpAddr>,
}

impl Standing {
    /// One in which nobody is known.
    #[must_use]
    pub fn new(earned: Earned, seed: u64) -> Self {
        let (entries, places, prefixes) = (Vec::new(), HashMap::new(), HashMap::new());
        Self {
            earned,
            entries,
            places,
            prefixes,
            turn: seed,
            moved: Vec::new(),
        }
    }

    fn points(&self, now: Micros, entry: &Entry) -> f64 {
        let halves = now.saturating_sub(entry.at) as f64 / self.earned.half_life.max(1) as f64;
        entry.points * 0.5_f64.powf(halves)
    }

    /// Whether an address is known.
    #[must_use]
    pub fn is_known(&self, now: Micros, address: IpAddr) -> bool {
        let entry = self.places.get(&address).map(|place| &self.entries[*place]);
        entry.is_some_and(|entry| self.points(now, entry) >= self.earned.points)
    }

    /// Addresses that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Nobody is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A whole request of this address was answered well.
    pub fn credit(&mut self, now: Micros, address: IpAddr, prefix: Net) {
        if let Some(&place) = self.places.get(&address) {
            let entry = self.entries[place];
            if now >= entry.at + GAP {
                let points = self.points(now, &entry) + 1.0;
                self.entries[place] = Entry {
                    points,
                    at: now,
                    ..entry
                };
                self.note_moved(place);
            }
            return;
        }
        let of_prefix = self.prefixes.get(&prefix).copied().unwrap_or(0);
        if of_prefix >= self.earned.of_prefix || !self.make_room(now) {
            return;
        }
        self.places.insert(address, self.entries.len());
        *self.prefixes.entry(prefix).or_default() += 1;
        self.entries.push(Entry {
            address,
            prefix,
            points: 1.0,
            at: now,
            booked: 0.0,
        });
    }

    /// Notes who is to be written to the book: from half of what it takes to be known on, each time a tenth of that is gained.
    /// What fades, fades in the book by itself.
    fn note_moved(&mut self, place: usize) {
        let step = (self.earned.points / 10.0).max(1.0);
        let entry = &mut self.entries[place];
        if entry.points >= self.earned.points / 2.0 && entry.points >= entry.booked + step {
            entry.booked = f64::INFINITY;
            self.moved.push(entry.address);
        }
    }

    /// What is to be written to the book since this was last asked.
    pub fn moved(&mut self, now: Micros) -> Vec<book::Entry> {
        let moved = std::mem::take(&mut self.moved);
        let mut entries = Vec::with_capacity(moved.len());
        for address in moved {
            let Some(&place) = self.places.get(&address) else {
                continue;
            };
            let points = self.points(now, &self.entries[place]);
            self.entries[place].booked = points;
            let halves = (points * 2.0 / self.earned.points).log2().max(0.0);
            let until = now + (halves * self.earned.half_life as f64) as Micros + 1;
            entries.push(book::Entry {
                address,
                points,
                at: now,
                until,
            });
        }
        entries
    }

    /// Takes up what a book had: what is left of it at this time.
    pub fn remember(
        &mut self,
        now: Micros,
        entries: &[book::Entry],
        prefix: impl Fn(IpAddr) -> Net,
    ) {
        let left = |entry: &book::Entry| {
            let halves = now.saturating_sub(entry.at) as f64 / self.earned.half_life.max(1) as f64;
            (entry.address, entry.points * 0.5_f64.powf(halves))
        };
        let kept: Vec<_> = entries.iter().map(left).collect();
        self.import(now, &kept, prefix);
    }

    /// The least of some entries goes, unless all of those are known: a stranger takes no known one's place.
    fn make_room(&mut self, now: Micros) -> bool {
        if self.entries.len() < self.earned.most {
            return true;
        }
        let mut least = (self.earned.points, None);
        for _ in 0..LOOKS {
            self.turn = self
                .turn
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let place = (self.turn >> 33) as usize % self.entries.len().max(1);
            let Some(entry) = self.entries.get(place) else {
                return false;
            };
            let points = self.points(now, entry);
            if points < least.0 {
                least = (points, Some(place));
            }
        }
        let Some(place) = least.1 else { return false };
        self.remove(place);
        true
    }

    fn remove(&mut self, place: usize) {
        let gone = self.entries.swap_remove(place);
        self.places.remove(&gone.address);
        if let Some(moved) = self.entries.get(place) {
            self.places.insert(moved.address, place);
        }
        if let Some(number) = self.prefixes.get_mut(&gone.prefix) {
            *number -= 1;
            if *number == 0 {
                self.prefixes.remove(&gone.prefix);
            }
        }
    }

    /// What is to be kept of it: addresses that are at least half way to being known, with their points at this time.
    #[must_use]
    pub fn export(&self, now: Micros) -> Vec<(IpAddr, f64)> {
        let with = |entry: &Entry| (entry.address, self.points(now, entry));
        let mut kept: Vec<_> = self
            .entries
            .iter()
            .map(with)
            .filter(|(_, points)| *points >= self.earned.points / 2.0)
            .collect();
        kept.sort_by_key(|entry| entry.0);
        kept
    }

    /// Takes up what was kept; what can't be is passed over.
    pub fn import(&mut self, now: Micros, kept: &[(IpAddr, f64)], prefix: impl Fn(IpAddr) -> Net) {
        for (address, points) in kept {
            let of = prefix(*address);
            let room = self.entries.len() < self.earned.most
                && self.prefixes.get(&of).copied().unwrap_or(0) < self.earned.of_prefix;
            if room && points.is_finite() && *points > 0.0 && !self.places.contains_key(address) {
                self.places.insert(*address, self.entries.len());
                *self.prefixes.entry(of).or_default() += 1;
                let booked = *points;
                self.entries.push(Entry {
                    address: *address,
                    prefix: of,
                    points: *points,
                    at: now,
                    booked,
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const EARNED: Earned = Earned {
        points: 20.0,
        half_life: 600 * SECOND,
        most: 64,
        of_prefix: 4,
    };

    fn ip(n: u32) -> IpAddr {
        IpAddr::V4(std::net::Ipv4Addr::from(0x0A00_0000 + n))
    }

    fn net(address: IpAddr) -> Net {
        Net::of(address, 24)
    }

    fn credit(standing: &mut Standing, now: Micros, n: u32) {
        standing.credit(now, ip(n), net(ip(n)));
    }

    #[test]
    fn it_takes_time_to_be_known_and_fades_with_time() {
        let mut standing = Standing::new(EARNED, 1);
        (0..10_000).for_each(|_| credit(&mut standing, SECOND, 1));
        assert!(
            !standing.is_known(SECOND, ip(1)),
            "many at once count as one"
        );
        for n in 1..=20 {
            credit(&mut standing, SECOND + n * GAP, 1);
        }
        let now = SECOND + 20 * GAP;
        assert!(standing.is_known(now, ip(1)) && !standing.is_known(now, ip(2)));
        assert!(
            !standing.is_known(now + 600 * SECOND, ip(1)),
            "half is gone"
        );
    }

    #[test]
    fn strangers_take_no_known_ones_place_and_a_prefix_has_few() {
        let mut standing = Standing::new(EARNED, 1);
        // Sixteen prefixes with four known addresses each fill the table.
        for round in 0..25 {
            for n in 0..64 {
                credit(&mut standing, SECOND + round * GAP, n / 4 * 256 + n % 4);
            }
        }
        let now = SECOND + 25 * GAP;
        (0..64).for_each(|n| assert!(standing.is_known(now, ip(n / 4 * 256 + n % 4)), "{n}"));
        for n in 0..100_000 {
            credit(&mut standing, now, 1_000_000 + n * 256);
            credit(&mut standing, now, 5 + n % 200);
        }
        assert_eq!(standing.len(), 64);
        (0..64).for_each(|n| assert!(standing.is_known(now, ip(n / 4 * 256 + n % 4)), "{n}"));
    }

    #[test]
    fn those_who_never_got_far_make_room() {
        let mut standing = Standing::new(EARNED, 1);
        (0..64).for_each(|n| credit(&mut standing, SECOND, n * 256));
        (0..25).for_each(|round| credit(&mut standing, SECOND + round * GAP, 99 * 256));
        assert!(standing.is_known(SECOND + 25 * GAP, ip(99 * 256)));
        assert_eq!(
            (
                standing.len(),
                standing.places.len(),
                standing.prefixes.len()
            ),
            (64, 64, 64)
        );
    }

    #[test]
    fn the_book_hears_of_what_was_gained_and_gives_back_what_has_not_faded() {
        let mut standing = Standing::new(EARNED, 1);
        (0..9).for_each(|round| credit(&mut standing, SECOND + round * GAP, 7));
        assert_eq!(standing.moved(2 * SECOND), [], "not half way");
        (9..14).for_each(|round| credit(&mut standing, SECOND + round * GAP, 7));
        let moved = standing.moved(3 * SECOND);
        assert_eq!(moved.len(), 1, "once, however often it was gained");
        assert!(
            moved[0].address == ip(7) && (moved[0].points - 14.0).abs() < 0.1,
            "{moved:?}"
        );
        credit(&mut standing, 4 * SECOND, 7);
        assert_eq!(
            standing.moved(4 * SECOND),
            [],
            "a point is no tenth of what it takes"
        );
        (0..30).for_each(|round| credit(&mut standing, 5 * SECOND + round * GAP, 7));
        let moved = standing.moved(9 * SECOND);
        let left = (moved[0].until - 9 * SECOND) / SECOND;
        assert!(
            (1_200..1_400).contains(&left),
            "44 points are 10 after two half-lives and a bit: {left} s"
        );
        let mut next = Standing::new(EARNED, 2);
        next.remember(9 * SECOND + EARNED.half_life, &moved, net);
        assert!(
            next.is_known(9 * SECOND + EARNED.half_life, ip(7)),
            "22 of 44 are left"
        );
        assert!(!next.is_known(9 * SECOND + 2 * EARNED.half_life, ip(7)));
        assert_eq!(next.moved(9 * SECOND), [], "the book has that already");
        let mut back = Standing::new(EARNED, 2);
        back.remember(0, &moved, net);
        assert!(
            back.is_known(0, ip(7)),
            "a clock that stepped back takes nothing away"
        );
    }

    #[test]
    fn what_is_kept_comes_back_and_nothing_else() {
        let mut standing = Standing::new(EARNED, 1);
        (0..25).for_each(|round| credit(&mut standing, SECOND + round * GAP, 7));
        credit(&mut standing, SECOND, 300);
        let now = SECOND + 25 * GAP;
        let kept = standing.export(now);
        assert_eq!(kept.len(), 1, "one that came once is not worth keeping");
        let mut next = Standing::new(EARNED, 2);
        next.import(
            now,
            &[kept.clone(), vec![(ip(9), f64::NAN), (ip(10), -1.0)], kept].concat(),
            net,
        );
        assert!(next.is_known(now, ip(7)) && next.len() == 1);
    }
}
