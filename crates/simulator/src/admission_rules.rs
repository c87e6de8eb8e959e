//! Rules of connection admission, checked only against the records of unknown clients and front
//! ends: a known caller is admitted while an unknown client holds a slot, a prefix with few
//! connections is admitted while another has many, and no address exceeds its limit.

use crate::plan::AdmissionMode;
use crate::simulation::{Simulation, MS, SECOND};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Time in which the closing or opening of a connection reaches the other side.
const TRANSIT_TIME: Micros = 10 * MS;
/// An address earns at most one point in this interval, and is known from this number of points on.
const POINT_INTERVAL: Micros = 100 * MS;
pub(crate) const KNOWN_THRESHOLD_POINTS: usize = 5;
/// Points earned within this time before a process started may not have been written.
const REPUTATION_WRITE_DELAY: Micros = 2_500 * MS;
/// Limit on new connections of an address: rate per second, and burst.
pub(crate) const ADDRESS_RATE_LIMIT: (u32, u32) = (20, 40);
/// Time in which a new process has loaded the reputation stored before it.
const REPUTATION_LOAD_TIME: Micros = 300 * MS;

/// A connection that was not admitted; checked a little later.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RejectedConnection {
    pub matcher: usize,
    pub at: Micros,
    /// It came from the probe, an unknown client whose prefix has no connections.
    pub is_probe: bool,
}

/// Checker of the admission rules.
#[derive(Debug, Default)]
pub(crate) struct AdmissionRules {
    /// By machine: when callers at the front ends' address earned a point.
    points_earned_at: Vec<Vec<Micros>>,
    pending: Vec<RejectedConnection>,
    /// By machine and address: incarnation of the process, start of the count, and number of
    /// admitted connections.
    admitted: BTreeMap<(usize, IpAddr), (u64, Micros, u32)>,
}

impl AdmissionRules {
    /// Records that a front end was served on an admitted connection. Returns true if its address
    /// was known before the process started and a flood is under way.
    pub(crate) fn on_served(&mut self, sim: &Simulation, m: usize) -> bool {
        let now = sim.now();
        self.points_earned_at
            .resize(self.points_earned_at.len().max(m + 1), Vec::new());
        if self.points_earned_at[m]
            .last()
            .is_none_or(|last| now >= last + POINT_INTERVAL)
        {
            self.points_earned_at[m].push(now);
        }
        let flooded = sim.plan.admission == AdmissionMode::Reputation
            && now < sim.machines[m].trouble_until.0;
        flooded
            && sim.machines[m].processes.first().is_some_and(|process| {
                now < process.started_at + 3 * SECOND
                    && self.points_before(m, process.started_at) >= 2 * KNOWN_THRESHOLD_POINTS
            })
    }

    /// Number of points of callers at the front ends' address that had certainly been written
    /// before `started`.
    fn points_before(&self, m: usize, started: Micros) -> usize {
        let points_earned_at = self.points_earned_at.get(m).map_or(&[][..], Vec::as_slice);
        points_earned_at
            .iter()
            .filter(|earned_at| **earned_at + REPUTATION_WRITE_DELAY < started)
            .count()
    }

    /// Checks the new events and returns the violations.
    pub(crate) fn check(&mut self, sim: &mut Simulation) -> Vec<String> {
        let mut violations = Vec::new();
        if sim.plan.admission == AdmissionMode::Unrestricted {
            return violations;
        }
        for front_end in &mut sim.front_ends {
            self.pending.append(&mut front_end.rejected_connections);
        }
        self.pending.append(&mut sim.misbehaving_clients.rejected);
        for (m, from, at) in std::mem::take(&mut sim.misbehaving_clients.admitted) {
            violations.extend(self.check_address_limit(sim, m, from, at));
        }
        let now = sim.now();
        while let Some(&rejection) = self
            .pending
            .first()
            .filter(|rejection| now >= rejection.at + TRANSIT_TIME)
        {
            self.pending.remove(0);
            violations.extend(self.check_rejection(sim, rejection));
        }
        violations
    }

    /// Returns true if a single process had been serving there for a while.
    fn is_settled(sim: &Simulation, m: usize, at: Micros) -> bool {
        let machine = &sim.machines[m];
        let alone = machine.processes.len() == 1
            && machine.processes[0].shutdown_at.is_none()
            && machine.drain_started_at.is_none();
        let calm = machine.paused_since.is_none() && at > machine.resumed_at + SECOND;
        alone && calm && at > machine.alone_since + SECOND && at > machine.ended_at + SECOND
    }

    fn check_address_limit(
        &mut self,
        sim: &Simulation,
        m: usize,
        from: IpAddr,
        at: Micros,
    ) -> Option<String> {
        let incarnation = sim.machines[m].incarnation;
        let entry = self
            .admitted
            .entry((m, from))
            .or_insert((incarnation, at, 0));
        if entry.0 != incarnation || sim.machines[m].processes.len() != 1 {
            // Each process counts on its own.
            *entry = (incarnation, at, 0);
        }
        entry.2 += 1;
        let (per_second, burst) = ADDRESS_RATE_LIMIT;
        let limit = burst + 2 + ((at - entry.1) * u64::from(per_second) / SECOND) as u32;
        let has_limit =
            sim.plan.admission == AdmissionMode::Allowlist && sim.machines[m].processes.len() == 1;
        (has_limit && entry.2 > limit).then(|| {
            format!(
                "m{m}: {from} got {} slots within {} us, its limit is {limit}",
                entry.2,
                at - entry.1
            )
        })
    }

    fn check_rejection(&self, sim: &Simulation, rejection: RejectedConnection) -> Option<String> {
        let RejectedConnection {
            matcher: m,
            at,
            is_probe,
        } = rejection;
        if !Self::is_settled(sim, m, at) {
            return None;
        }
        // Clients that were admitted before the rejected one arrived, and still are.
        let mut prefixes: BTreeMap<[u8; 3], usize> = BTreeMap::new();
        for client in sim.misbehaving_clients.unknown_clients.values() {
            if client.matcher == m
                && client
                    .admitted_at
                    .is_some_and(|since| since + TRANSIT_TIME < at)
            {
                if let IpAddr::V4(address) = client.from {
                    let [a, b, c, _] = address.octets();
                    *prefixes.entry([a, b, c]).or_default() += 1;
                }
            }
        }
        let largest = prefixes.values().copied().max().unwrap_or(0);
        if is_probe {
            return (largest >= 3).then(|| {
                format!("m{m}: a caller of a prefix without connections was not admitted, while another prefix has {largest}")
            });
        }
        let known = sim.plan.admission == AdmissionMode::Allowlist || self.is_known(sim, m, at);
        (known && largest > 0)
            .then(|| format!("m{m}: a known caller was not admitted, while unknown clients were"))
    }

    /// Returns true if callers at the front ends' address have certainly earned a known reputation:
    /// twice the required points, written before the process started or earned since.
    fn is_known(&self, sim: &Simulation, m: usize, at: Micros) -> bool {
        let Some(process) = sim.machines[m].processes.first() else {
            return false;
        };
        let started = process.started_at;
        let points_earned_at = self.points_earned_at.get(m).map_or(&[][..], Vec::as_slice);
        let before = self.points_before(m, started);
        let since = points_earned_at
            .iter()
            .filter(|earned_at| **earned_at > started && **earned_at + TRANSIT_TIME < at)
            .count();
        at > started + REPUTATION_LOAD_TIME && before.max(since) >= 2 * KNOWN_THRESHOLD_POINTS
    }
}
