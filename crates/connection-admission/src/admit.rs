//! The decisions: who gets a place, and whose it was.

use crate::book;
use crate::net::{key, Net};
use crate::rate::{Look, Rate, Rates};
use crate::standing::{Earned, Standing};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A connection that was accepted so lately keeps its place where nobody is heavier than another: what it sent may be on its
/// way.
pub const FAIR: Micros = 50_000;

/// Cells that count prefixes are fewer than those for addresses by this.
const PREFIXES: usize = 8;

/// What an address, or a prefix, may have.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Cap {
    /// Places at a time.
    pub places: Option<usize>,
    /// New connections.
    pub rate: Option<Rate>,
}

/// What an operator sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Callers that are known by name.
    pub named: Vec<Net>,
    /// Share of the places that is kept for known callers; of it half at most for those who have earned it.
    pub reserve: f64,
    /// Of an address.
    pub address: Cap,
    /// Of a prefix.
    pub prefix: Cap,
    /// Bits of a prefix, of both kinds of addresses.
    pub bits: (u8, u8),
    /// How callers earn to be known, where they can.
    pub earned: Option<Earned>,
    /// Cells of each row that count new connections.
    pub width: usize,
    /// For random numbers and for keys that nobody can choose.
    pub seed: u64,
}

/// How a caller is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Known {
    /// Not at all.
    Unknown,
    /// It has earned it.
    Earned,
    /// An operator has named it.
    Named,
}

/// Why a connection gets no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Its address opens too many a second.
    AddressRate,
    /// Its prefix opens too many a second.
    PrefixRate,
    /// Its address has as many places as it may.
    AddressPlaces,
    /// Its prefix has as many places as it may.
    PrefixPlaces,
    /// All places are taken by those who have no less right to them.
    Full,
}

/// What is to be done with a connection that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It gets a place.
    Admit(Known),
    /// It gets the place of this one, which owes nothing.
    Instead(u64, Known),
    /// It is closed.
    Refuse(Why),
}

#[derive(Debug, Clone, Copy)]
struct Place {
    address: IpAddr,
    prefix: Net,
    known: Known,
    since: Micros,
    spoken: bool,
}

/// The unknown ones of a prefix.
#[derive(Debug, Default)]
struct Group {
    count: usize,
    addresses: BTreeMap<IpAddr, BTreeSet<u64>>,
}

/// What was decided so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that got a place.
    pub admitted: u64,
    /// Of those, in the place of another.
    pub instead: u64,
    /// Turned away for their address's or prefix's rate.
    pub rate: u64,
    /// Turned away for their address's or prefix's places.
    pub places: u64,
    /// Turned away as all places were taken.
    pub full: u64,
}

/// The decisions of one process.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    address_rates: Option<Rates>,
    prefix_rates: Option<Rates>,
    standing: Option<Standing>,
    places: HashMap<u64, Place>,
    groups: HashMap<Net, Group>,
    /// Prefixes by how many places their unknown callers have.
    weights: BTreeSet<(usize, Net)>,
    /// Connections that have said nothing whole yet, by how they are known and their age.
    silent: BTreeSet<(Known, Micros, u64)>,
    named: usize,
    earned: usize,
    /// What was decided.
    pub counts: Counts,
}

impl Admission {
    /// One that has seen nobody.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        let rates = |cap: &Cap, width| cap.rate.map(|rate| Rates::new(rate, width, now));
        Self {
            address_rates: rates(&settings.address, settings.width),
            // Fewer prefixes than addresses are busy at a time.
            prefix_rates: rates(&settings.prefix, settings.width / PREFIXES),
            standing: settings
                .earned
                .map(|earned| Standing::new(earned, settings.seed)),
            places: HashMap::new(),
            groups: HashMap::new(),
            weights: BTreeSet::new(),
            silent: BTreeSet::new(),
            named: 0,
            earned: 0,
            counts: Counts::default(),
            settings,
        }
    }

    /// The prefix that an address counts with.
    #[must_use]
    pub fn prefix(&self, address: IpAddr) -> Net {
        let (four, six) = self.settings.bits;
        Net::of(
            address,
            if address.to_canonical().is_ipv4() {
                four
            } else {
                six
            },
        )
    }

    /// How a caller is known at this time.
    #[must_use]
    pub fn known(&self, now: Micros, address: IpAddr) -> Known {
        if self.settings.named.iter().any(|net| net.holds(address)) {
            return Known::Named;
        }
        match &self.standing {
            Some(standing) if standing.is_known(now, address.to_canonical()) => Known::Earned,
            _ => Known::Unknown,
        }
    }

    /// Those who have earned standing.
    #[must_use]
    pub fn standing(&self) -> Option<&Standing> {
        self.standing.as_ref()
    }

    /// Connections that have a place.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Nobody has a place.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Bytes that the counts of new connections take.
    #[must_use]
    pub fn memory(&self) -> usize {
        [&self.address_rates, &self.prefix_rates]
            .into_iter()
            .flatten()
            .map(Rates::memory)
            .sum()
    }

    /// A connection came from this address, and there are so many places; `spare` tells whether one owes nothing.
    pub fn decide(
        &mut self,
        now: Micros,
        address: IpAddr,
        most: usize,
        spare: impl Fn(u64) -> bool,
    ) -> Decision {
        let decision = self.weigh(now, address.to_canonical(), most, spare);
        let counts = &mut self.counts;
        match decision {
            Decision::Admit(_) => counts.admitted += 1,
            Decision::Instead(..) => {
                (counts.admitted, counts.instead) = (counts.admitted + 1, counts.instead + 1);
            }
            Decision::Refuse(Why::AddressRate | Why::PrefixRate) => counts.rate += 1,
            Decision::Refuse(Why::AddressPlaces | Why::PrefixPlaces) => counts.places += 1,
            Decision::Refuse(Why::Full) => counts.full += 1,
        }
        decision
    }

    fn weigh(
        &mut self,
        now: Micros,
        address: IpAddr,
        most: usize,
        spare: impl Fn(u64) -> bool,
    ) -> Decision {
        let known = self.known(now, address);
        let prefix = self.prefix(address);
        if known != Known::Named {
            if let Some(why) = self.beyond_caps(now, address, prefix) {
                return Decision::Refuse(why);
            }
        }
        if self.has_room(known, most) {
            return Decision::Admit(known);
        }
        match self.victim(now, known, address, prefix, spare) {
            Some(number) => Decision::Instead(number, known),
            None => Decision::Refuse(Why::Full),
        }
    }

    /// The caps of an operator, which also hold where there is room.
    fn beyond_caps(&mut self, now: Micros, address: IpAddr, prefix: Net) -> Option<Why> {
        let (address_places, prefix_places) =
            (self.settings.address.places, self.settings.prefix.places);
        if address_places.is_some() || prefix_places.is_some() {
            let group = self.groups.get(&prefix);
            let of_address = group
                .and_then(|group| group.addresses.get(&address))
                .map_or(0, BTreeSet::len);
            if address_places.is_some_and(|most| of_address >= most) {
                return Some(Why::AddressPlaces);
            }
            if prefix_places.is_some_and(|most| group.map_or(0, |group| group.count) >= most) {
                return Some(Why::PrefixPlaces);
            }
        }
        // Both are looked at before either is decided on: their cells lie far apart in memory, and are fetched at once.
        let seed = self.settings.seed;
        let looked =
            |rates: &Option<Rates>, net: &Net| rates.as_ref().map(|r| r.look(now, key(seed, net)));
        let own = looked(&self.address_rates, &Net::of(address, 128));
        let of_prefix = looked(&self.prefix_rates, &prefix);
        let room = |rates: &Option<Rates>, look: &Option<Look>| match (rates, look) {
            _ if is_bug_injected(InjectedBug::ConnectionRateUncounted) => true,
            (Some(rates), Some(look)) => rates.has_room(look),
            _ => true,
        };
        if !room(&self.address_rates, &own) {
            return Some(Why::AddressRate);
        }
        if !room(&self.prefix_rates, &of_prefix) {
            return Some(Why::PrefixRate);
        }
        // What is turned away counts for neither.
        for (rates, look) in [
            (&mut self.address_rates, own),
            (&mut self.prefix_rates, of_prefix),
        ] {
            if let (Some(rates), Some(look)) = (rates, look) {
                rates.put(&look);
            }
        }
        None
    }

    /// A place is free, and not kept for others.
    fn has_room(&self, known: Known, most: usize) -> bool {
        let reserve = (self.settings.reserve.clamp(0.0, 1.0) * most as f64) as usize;
        let for_earned = reserve / 2;
        let for_named = reserve - for_earned;
        let kept = match known {
            Known::Named => 0,
            Known::Earned => for_named.saturating_sub(self.named),
            Known::Unknown => {
                for_named.saturating_sub(self.named) + for_earned.saturating_sub(self.earned)
            }
        };
        self.places.len() + kept < most
    }

    /// Whose place goes to the one that came. A known caller takes an unknown one's, the silent longest first, and where no
    /// unknown one can go, that of who is known no better and has said nothing for long: a caller that is named and holds
    /// connections without a word would else keep the others out. Among the unknown the heaviest prefix that can gives to a
    /// lighter one, and in it the heaviest address; where none is heavier, who has said nothing for long gives way.
    fn victim(
        &self,
        now: Micros,
        known: Known,
        address: IpAddr,
        prefix: Net,
        spare: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let silent = self.silent_longest(now, Known::Unknown);
        if known != Known::Unknown {
            if is_bug_injected(InjectedBug::UnknownAddressKept) {
                return None;
            }
            // Whoever owes nothing, from the heaviest prefix on.
            let spared = || {
                self.weights
                    .iter()
                    .rev()
                    .find_map(|(_, prefix)| self.lightest_loss(*prefix, None, &spare))
            };
            let named = || {
                self.silent_longest(now, Known::Named)
                    .filter(|_| known == Known::Named)
            };
            return silent
                .or_else(spared)
                .or_else(|| self.silent_longest(now, Known::Earned))
                .or_else(named);
        }
        let own = self.groups.get(&prefix);
        let (own_prefix, own_address) = own.map_or((0, 0), |group| {
            (
                group.count,
                group.addresses.get(&address).map_or(0, BTreeSet::len),
            )
        });
        // Where all of the heaviest owe answers, the next gives.
        let heavier = self
            .weights
            .iter()
            .rev()
            .take_while(|(count, _)| own_prefix + 1 < *count);
        let mut heavier = heavier.filter(|_| !is_bug_injected(InjectedBug::PrefixQuotaStuck));
        if let Some(number) =
            heavier.find_map(|(_, heavy)| self.lightest_loss(*heavy, None, &spare))
        {
            return Some(number);
        }
        // Within its own prefix the same holds of addresses.
        if let Some(number) =
            own.and_then(|_| self.lightest_loss(prefix, Some(own_address + 1), &spare))
        {
            return Some(number);
        }
        silent
    }

    /// Who is known so and has said nothing whole for longest.
    fn silent_longest(&self, now: Micros, known: Known) -> Option<u64> {
        let first = self
            .silent
            .range((known, 0, 0)..)
            .next()
            .filter(|silent| silent.0 == known);
        first
            .filter(|(_, since, _)| now >= since + FAIR)
            .map(|(_, _, number)| *number)
    }

    /// Of a prefix's heaviest address the connection whose end costs least: one that has said nothing whole, then one that owes
    /// nothing. With `above` only an address with more places than that gives one.
    fn lightest_loss(
        &self,
        prefix: Net,
        above: Option<usize>,
        spare: &impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let group = self.groups.get(&prefix)?;
        let mut addresses: Vec<_> = group.addresses.values().collect();
        addresses.sort_by_key(|numbers| std::cmp::Reverse(numbers.len()));
        let heavy = |numbers: &&&BTreeSet<u64>| above.is_none_or(|above| numbers.len() > above);
        addresses.iter().take_while(heavy).find_map(|numbers| {
            let silent = numbers
                .iter()
                .find(|number| self.places.get(number).is_some_and(|p| !p.spoken));
            silent
                .or_else(|| numbers.iter().find(|number| spare(**number)))
                .copied()
        })
    }

    /// A connection has its place.
    pub fn enter(&mut self, now: Micros, number: u64, address: IpAddr, known: Known) {
        let address = address.to_canonical();
        let prefix = self.prefix(address);
        let place = Place {
            address,
            prefix,
            known,
            since: now,
            spoken: false,
        };
        if self.places.insert(number, place).is_some() {
            return;
        }
        self.silent.insert((known, now, number));
        match known {
            Known::Named => self.named += 1,
            Known::Earned => self.earned += 1,
            Known::Unknown => {
                let group = self.groups.entry(prefix).or_default();
                self.weights.remove(&(group.count, prefix));
                group.count += 1;
                group.addresses.entry(address).or_default().insert(number);
                self.weights.insert((group.count, prefix));
            }
        }
    }

    /// The first whole message of a connection has come.
    pub fn spoke(&mut self, number: u64) {
        if let Some(place) = self.places.get_mut(&number).filter(|place| !place.spoken) {
            place.spoken = true;
            self.silent.remove(&(place.known, place.since, number));
        }
    }

    /// A whole request of a connection was answered well.
    pub fn served(&mut self, now: Micros, number: u64) {
        if let (Some(place), Some(standing)) = (self.places.get(&number), &mut self.standing) {
            if place.known != Known::Named {
                standing.credit(now, place.address, place.prefix);
            }
        }
    }

    /// A connection's caller has shown who it is: it is known as named from now on, and its place is kept like theirs.
    pub fn promote(&mut self, number: u64) {
        let Some(place) = self.places.get(&number).copied() else {
            return;
        };
        if place.known == Known::Named {
            return;
        }
        self.leave(number);
        self.enter(place.since, number, place.address, Known::Named);
        if place.spoken {
            self.spoke(number);
        }
    }

    /// A connection has left its place.
    pub fn leave(&mut self, number: u64) {
        let Some(place) = self.places.remove(&number) else {
            return;
        };
        self.silent.remove(&(place.known, place.since, number));
        match place.known {
            Known::Named => self.named -= 1,
            Known::Earned => self.earned -= 1,
            Known::Unknown => {
                let Some(group) = self.groups.get_mut(&place.prefix) else {
                    return;
                };
                self.weights.remove(&(group.count, place.prefix));
                group.count -= 1;
                if let Some(numbers) = group.addresses.get_mut(&place.address) {
                    numbers.remove(&number);
                    if numbers.is_empty() {
                        group.addresses.remove(&place.address);
                    }
                }
                if group.count == 0 {
                    self.groups.remove(&place.prefix);
                } else {
                    self.weights.insert((group.count, place.prefix));
                }
            }
        }
    }

    /// What is to be kept of earned standing.
    #[must_use]
    pub fn export(&self, now: Micros) -> Vec<(IpAddr, f64)> {
        self.standing
            .as_ref()
            .map_or_else(Vec::new, |standing| standing.export(now))
    }

    /// What of it is to be written to the book since this was last asked.
    pub fn moved(&mut self, now: Micros) -> Vec<book::Entry> {
        self.standing
            .as_mut()
            .map_or_else(Vec::new, |standing| standing.moved(now))
    }

    /// Takes up what the book had.
    pub fn remember(&mut self, now: Micros, entries: &[book::Entry]) {
        if is_bug_injected(InjectedBug::ReputationLost) {
            return;
        }
        let (four, six) = self.settings.bits;
        if let Some(standing) = &mut self.standing {
            let prefix =
                |address: IpAddr| Net::of(address, if address.is_ipv4() { four } else { six });
            standing.remember(now, entries, prefix);
        }
    }

    /// Takes up what was kept of it.
    pub fn import(&mut self, now: Micros, kept: &[(IpAddr, f64)]) {
        let (four, six) = self.settings.bits;
        if let Some(standing) = &mut self.standing {
            standing.import(now, kept, |address| {
                Net::of(address, if address.is_ipv4() { four } else { six })
            });
        }
    }
}
