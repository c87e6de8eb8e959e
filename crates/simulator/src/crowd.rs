//! Rules on places, judged from the books of strangers and front ends alone: who is known gets in while a stranger holds a
//! place, a prefix with little gets in while another has much, and no address gets more than its cap.

use crate::plan::Places;
use crate::sim::{Sim, MS, SECOND};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// What was closed may be on its way for so long, and what was opened.
const WAY: Micros = 10 * MS;
/// An address earns no more than one point in this time, and is known from so many on.
const GAP: Micros = 100 * MS;
pub(crate) const POINTS: usize = 5;
/// What was earned so shortly before a process started may not have been written.
const WRITTEN: Micros = 2_500 * MS;
/// New connections of an address: a second, and at once.
pub(crate) const RATE: (u32, u32) = (20, 40);
/// A process has read what it was told of before by then.
const READ: Micros = 300 * MS;

/// Somebody who got no place, to be judged a little later.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refused {
    pub matcher: usize,
    pub at: Micros,
    /// A stranger's probe, from a prefix that has nothing.
    pub probe: bool,
}

/// The judge of places.
#[derive(Debug, Default)]
pub(crate) struct Crowd {
    /// By machine: when callers at the front ends' address earned a point.
    credits: Vec<Vec<Micros>>,
    waits: Vec<Refused>,
    /// By machine and address: the process, since when, and connections that got a place.
    placed: BTreeMap<(usize, IpAddr), (u64, Micros, u32)>,
}

impl Crowd {
    /// A front end was served, on a connection that has a place. True where it was known before the process started, and a
    /// flood is on.
    pub(crate) fn served(&mut self, sim: &Sim, m: usize) -> bool {
        let now = sim.now();
        self.credits
            .resize(self.credits.len().max(m + 1), Vec::new());
        if self.credits[m].last().is_none_or(|last| now >= last + GAP) {
            self.credits[m].push(now);
        }
        let earned = sim.plan.places == Places::Earned && now < sim.machines[m].crowded.0;
        earned
            && sim.machines[m].procs.first().is_some_and(|process| {
                now < process.started + 3 * SECOND && self.before(m, process.started) >= 2 * POINTS
            })
    }

    /// Points of callers at the front ends' address that were surely written before then.
    fn before(&self, m: usize, started: Micros) -> usize {
        let credits = self.credits.get(m).map_or(&[][..], Vec::as_slice);
        credits
            .iter()
            .filter(|credit| **credit + WRITTEN < started)
            .count()
    }

    /// Judges what has come; says what is wrong.
    pub(crate) fn check(&mut self, sim: &mut Sim) -> Vec<String> {
        let mut wrong = Vec::new();
        if sim.plan.places == Places::FirstCome {
            return wrong;
        }
        for front in &mut sim.fronts {
            self.waits.append(&mut front.parted);
        }
        self.waits.append(&mut sim.rude.refused);
        for (m, from, at) in std::mem::take(&mut sim.rude.placed) {
            wrong.extend(self.capped(sim, m, from, at));
        }
        let now = sim.now();
        while let Some(&refused) = self.waits.first().filter(|refused| now >= refused.at + WAY) {
            self.waits.remove(0);
            wrong.extend(self.refused(sim, refused));
        }
        wrong
    }

    /// One process serves there, and has for a while.
    fn settled(sim: &Sim, m: usize, at: Micros) -> bool {
        let machine = &sim.machines[m];
        let alone = machine.procs.len() == 1
            && machine.procs[0].told_at.is_none()
            && machine.left_at.is_none();
        let calm = machine.paused.is_none() && at > machine.resumed_at + SECOND;
        alone && calm && at > machine.alone_since + SECOND && at > machine.ended_at + SECOND
    }

    fn capped(&mut self, sim: &Sim, m: usize, from: IpAddr, at: Micros) -> Option<String> {
        let life = sim.machines[m].life;
        let entry = self.placed.entry((m, from)).or_insert((life, at, 0));
        if entry.0 != life || sim.machines[m].procs.len() != 1 {
            // A process counts for itself.
            *entry = (life, at, 0);
        }
        entry.2 += 1;
        let (per_second, burst) = RATE;
        let most = burst + 2 + ((at - entry.1) * u64::from(per_second) / SECOND) as u32;
        let capped = sim.plan.places == Places::Named && sim.machines[m].procs.len() == 1;
        (capped && entry.2 > most).then(|| {
            format!(
                "m{m}: {from} has got {} places within {} us, its cap is {most}",
                entry.2,
                at - entry.1
            )
        })
    }

    fn refused(&self, sim: &Sim, refused: Refused) -> Option<String> {
        let Refused {
            matcher: m,
            at,
            probe,
        } = refused;
        if !Self::settled(sim, m, at) {
            return None;
        }
        // Those that had a place before it came and have it still.
        let mut prefixes: BTreeMap<[u8; 3], usize> = BTreeMap::new();
        for stranger in sim.rude.strangers.values() {
            if stranger.matcher == m && stranger.placed.is_some_and(|since| since + WAY < at) {
                if let IpAddr::V4(four) = stranger.from {
                    let [a, b, c, _] = four.octets();
                    *prefixes.entry([a, b, c]).or_default() += 1;
                }
            }
        }
        let most = prefixes.values().copied().max().unwrap_or(0);
        if probe {
            return (most >= 3).then(|| {
                format!("m{m}: a caller of a prefix that has nothing gets no place, while another has {most}")
            });
        }
        let known = sim.plan.places == Places::Named || self.known(sim, m, at);
        (known && most > 0)
            .then(|| format!("m{m}: a known caller gets no place, while strangers have some"))
    }

    /// Callers at the front ends' address have surely earned it: twice what it takes, written before the process started.
    fn known(&self, sim: &Sim, m: usize, at: Micros) -> bool {
        let Some(process) = sim.machines[m].procs.first() else {
            return false;
        };
        let started = process.started;
        let credits = self.credits.get(m).map_or(&[][..], Vec::as_slice);
        let before = self.before(m, started);
        let since = credits
            .iter()
            .filter(|credit| **credit > started && **credit + WAY < at)
            .count();
        at > started + READ && before.max(since) >= 2 * POINTS
    }
}
