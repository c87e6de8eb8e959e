//! The rules, judged from the books of front ends, runtimes and the store alone, after each step.

use crate::crowd::Crowd;
use crate::front::{Fate, Try};
use crate::inspector::Call;
use crate::sim::{Sim, GRACE};
use cleatpulley_emulators::runtime::result_of;
use cleatpulley_emulators::site::Setup;
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, HashMap};

const MS: Micros = 1_000;
/// An answer may come so much later than it is due: the slack, what sockets add, and the way.
const SLACK: Micros = 60 * MS + 50 * MS + MS;
/// What was sent so shortly before a stop or a close may have crossed it.
const CROSSING: Micros = 60 * MS;

/// A store that was taken up is read in this time.
const RECOVERS: Micros = 5 * MS;

/// One whose successor died takes no clients for so long, and what waits with them.
const SEARCHES: Micros = 60 * MS;
/// A process whose successor died has found the next, or takes clients again, within this time.
const FOUND: Micros = 400 * MS;
/// A process without any work lets go of the store of results within this time, where another has its place.
const LETS_GO: Micros = 500 * MS;

/// Operators are owed an answer within this time, and what the way takes.
const ANSWERED: Micros = 1_000 * MS + MS;
/// How often memory is counted.
const WEIGHED: Micros = 20 * MS;
/// Memory that a request says it takes, and times as much that it takes while it runs.
const MEMORY_KB: f64 = 20.0;
const RUNS_TAKE: f64 = 4.0;

#[derive(Debug, Default)]
struct Key {
    /// The id that ran, and whether with another body than most of its tries have.
    ran: Option<(u64, bool)>,
    told: Option<Vec<u8>>,
    told_at: Micros,
}

/// The judge.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    pub broken: Vec<String>,
    /// What was met.
    pub met: BTreeMap<&'static str, u64>,
    /// What is worth a line in a trace, where one is wanted.
    traced: bool,
    pub said: Vec<String>,
    /// Starts of each runtime that were looked at.
    starts: Vec<usize>,
    keys: HashMap<(usize, u64), Key>,
    cores: usize,
    slots: usize,
    crowded_since: Vec<Option<Micros>>,
    /// When memory was last counted.
    weighed_at: Micros,
    crowd: Crowd,
    /// By machine: when its newest process last had no store of results.
    elsewhere: Vec<Micros>,
    /// By machine: which process has the store.
    owners: Vec<Option<u64>>,
    /// By machine: since when one that has nothing to do has the store, which another waits for.
    idle_owner: Vec<Option<Micros>>,
}

impl Rules {
    pub(crate) fn new(setup: &Setup, traced: bool) -> Self {
        Self {
            traced,
            cores: setup.cores as usize,
            slots: setup.store.slots,
            ..Self::default()
        }
    }

    fn say(&mut self, text: impl FnOnce() -> String) {
        if self.traced {
            self.said.push(text());
        }
    }

    fn meet(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    fn wrong(&mut self, sim: &Sim, what: String) {
        self.broken
            .push(format!("at {:.6} s: {what}", sim.since() as f64 / 1e6));
    }

    pub(crate) fn check(&mut self, sim: &mut Sim) {
        self.elsewhere.resize(sim.machines.len(), 0);
        self.owners.resize(sim.machines.len(), None);
        for (m, machine) in sim.machines.iter().enumerate() {
            let (newest, owner) = (
                machine.procs.last().map(|process| process.life),
                machine.lock.get(),
            );
            if newest.is_some() && owner != newest {
                self.elsewhere[m] = sim.clock();
            }
            if std::mem::replace(&mut self.owners[m], owner) != owner {
                self.say(|| match owner {
                    Some(life) => format!("m{m}: life {life} has the store of results"),
                    None => format!("m{m}: nobody has the store of results"),
                });
            }
        }
        self.check_owners(sim);
        self.check_starts(sim);
        self.check_fates(sim);
        self.check_dues(sim);
        self.check_crowd(sim);
        self.check_memory(sim);
        self.check_doors(sim);
        self.check_operators(sim);
        for what in self.crowd.check(sim) {
            self.wrong(sim, what);
        }
        let most = sim.store.stats.peak_calls;
        if most > 5 * self.slots {
            self.wrong(
                sim,
                format!("the store holds {most} calls, past five times its slots"),
            );
        }
        for n in 0..sim.fronts.len() {
            if sim.fronts[n].stray > 0 {
                self.wrong(
                    sim,
                    format!("front end {n} got an answer that nobody asked for"),
                );
            }
        }
    }

    /// Whoever has nothing to do does not keep the store of results from the process that serves.
    fn check_owners(&mut self, sim: &Sim) {
        self.idle_owner.resize(sim.machines.len(), None);
        let now = sim.clock();
        for (m, machine) in sim.machines.iter().enumerate() {
            let owner = match &machine.procs[..] {
                // Most of the time there is one process, and nothing to look at.
                [] | [_] => None,
                [older @ .., newest] if newest.node.accepts_clients() => older
                    .iter()
                    .find(|process| Some(process.life) == machine.lock.get()),
                _ => None,
            };
            let idle = owner.filter(|owner| {
                let census = owner.node.usage();
                census.requests == 0 && census.client_connections == 0
            });
            let well = machine.paused.is_none() && now > machine.disk_trouble;
            match idle.filter(|_| well) {
                None => self.idle_owner[m] = None,
                Some(owner) => {
                    let since = *self.idle_owner[m].get_or_insert(now);
                    if now > since + LETS_GO {
                        let life = owner.life;
                        self.wrong(
                            sim,
                            format!("m{m}: life {life} has nothing to do and keeps the store of results"),
                        );
                    }
                }
            }
        }
    }

    /// Nothing with an effect runs twice, and nothing that came after the grace runs.
    fn check_starts(&mut self, sim: &Sim) {
        self.starts.resize(sim.machines.len(), 0);
        for (m, machine) in sim.machines.iter().enumerate() {
            let seen = &machine.runtime.stats;
            while let Some(&id) = seen.start_order.get(self.starts[m]) {
                self.starts[m] += 1;
                self.say(|| format!("m{m} runs {id:016x}"));
                let Some(sent) = sim
                    .fronts
                    .iter()
                    .find_map(|front| front.sent.get(&id))
                    .copied()
                else {
                    self.wrong(sim, format!("m{m} runs {id:016x}, which nobody sent"));
                    continue;
                };
                if seen.starts.get(&id).is_some_and(|start| start.1 > 1)
                    && sim.fronts[0].effect(sent.kind)
                {
                    self.wrong(sim, format!("m{m} runs {id:016x} twice"));
                }
                if machine
                    .left_at
                    .is_some_and(|left| sent.at > left + GRACE + 50 * MS)
                {
                    self.wrong(
                        sim,
                        format!("m{m} runs {id:016x}, which came after the grace"),
                    );
                }
                if let Some(key) = sent.key {
                    let entry = self.keys.entry((m, key)).or_default();
                    if let Some((before, _)) = entry.ran.replace((id, sent.other_body)) {
                        self.wrong(
                            sim,
                            format!("m{m} runs key {key:x} twice: {before:016x} and {id:016x}"),
                        );
                    }
                }
            }
        }
    }

    fn check_fates(&mut self, sim: &mut Sim) {
        for n in 0..sim.fronts.len() {
            let news = sim.fronts[n]
                .news
                .as_mut()
                .map(std::mem::take)
                .unwrap_or_default();
            for id in news {
                let sent = sim.fronts[n].sent[&id];
                let key = sent
                    .key
                    .map_or(String::new(), |key| format!(" under key {key:x}"));
                let link = sim.fronts[n].open.get(&id).map_or(0, |one| one.link);
                self.say(|| {
                    format!(
                        "front end {n} asks m{} for {id:016x}{key} on link {link}",
                        sent.matcher
                    )
                });
            }
            for (id, link, fate) in std::mem::take(&mut sim.fronts[n].fates) {
                let Some(sent) = sim.fronts[n].sent.get(&id).copied() else {
                    continue;
                };
                let m = sent.matcher;
                sim.request_over(m, id);
                let ran = sim.machines[m].runtime.stats.starts.contains_key(&id);
                self.say(|| {
                    let told = match &fate {
                        Fate::Served(_) => "served",
                        Fate::Refused => "refused",
                        Fate::Failed => "failed",
                        Fate::Lost => "lost",
                    };
                    format!("front end {n}: {id:016x} by m{m} {told}")
                });
                match fate {
                    Fate::Served(result) => {
                        self.meet("served");
                        if !sim.fronts[n].was_refused(link) && self.crowd.served(sim, m) {
                            self.meet("a known caller comes back after a restart within a flood");
                        }
                        match sent.key {
                            None if result != result_of(id) => {
                                self.wrong(
                                    sim,
                                    format!("{id:016x} is served what no run made for it"),
                                );
                            }
                            None => {}
                            Some(key) => {
                                let entry = self.keys.entry((m, key)).or_default();
                                let ran = entry.ran;
                                let repeated = ran.is_some_and(|(ran, _)| ran != id);
                                entry.told_at = sim.clock();
                                let (own, told) = (
                                    ran.map(|ran| result_of(ran.0)),
                                    entry.told.replace(result.clone()),
                                );
                                if ran.is_some_and(|(_, other)| other != sent.other_body) {
                                    self.wrong(
                                        sim,
                                        format!("{id:016x} is served the result of another body"),
                                    );
                                }
                                if repeated {
                                    self.meet("a repeat is told the first answer");
                                }
                                if own.as_ref() != Some(&result) {
                                    self.wrong(
                                        sim,
                                        format!("key {key:x} is served what no run of it made"),
                                    );
                                }
                                if told.is_some_and(|told| told != result) {
                                    self.wrong(sim, format!("key {key:x} has two results"));
                                }
                            }
                        }
                    }
                    Fate::Refused => {
                        self.meet("refused");
                        let key = sent.key.and_then(|key| self.keys.get(&(m, key)));
                        if ran || key.is_some_and(|key| key.ran.is_some()) {
                            self.wrong(
                                sim,
                                format!("{id:016x} is turned away by m{m} after it ran"),
                            );
                        }
                    }
                    Fate::Failed => {
                        let key = sent.key.and_then(|key| self.keys.get(&(m, key)));
                        let told = key.is_some_and(|key| {
                            let own = key.ran.is_some_and(|(_, other)| other == sent.other_body);
                            own && key.told.is_some() && key.told_at < sent.at
                        });
                        // A disk that fails or stalls keeps a result from being read meanwhile, and takes nothing back.
                        // Until its predecessor lets go of the store, a process takes no more of such requests than fit.
                        let waits = self.elsewhere[m] + RECOVERS >= sent.at;
                        // What came while the machine stood still, or looked for its next process, comes all at once, and no more of it may wait than fits.
                        let machine = &sim.machines[m];
                        let waits =
                            waits || sent.at < machine.resumed_at.max(machine.killed_at + SEARCHES);
                        if told && !waits && sent.at > machine.disk_trouble {
                            self.wrong(
                                sim,
                                format!("{id:016x} fails, though its key's result was told before"),
                            );
                        }
                        self.meet(if ran {
                            "failed after a start"
                        } else {
                            "failed without a start"
                        });
                    }
                    Fate::Lost => {
                        let ended = sim.machines[m].ended_at;
                        // What an idle connection's end crossed, or a matcher's, never ran.
                        let crossed = (sim.clock() < ended + 2 * CROSSING
                            && sent.at + CROSSING > ended)
                            || (sim.clock() < sent.at + CROSSING && !ran);
                        // A pause over the stop leaves no time for what came within it.
                        let resumed = sim.machines[m].resumed_at;
                        let crossed =
                            crossed || (sent.at < resumed && ended < resumed + CROSSING && !ran);
                        let taken = !sim.place_of_front(n).unaccepted.contains(&link);
                        // Whoever waited in the queue of a machine that goes on is let in.
                        let serves = sim.machines[m]
                            .procs
                            .last()
                            .is_some_and(|process| process.told_at.is_none());
                        let stays = ended + 2 * CROSSING < sim.clock() && serves;
                        if !taken && stays && !sim.fronts[n].excused.contains(&link) {
                            self.wrong(sim, format!("{id:016x}, sent to m{m}, was not let in"));
                        }
                        if taken && !sim.fronts[n].excused.contains(&link) && !crossed {
                            self.wrong(
                                sim,
                                format!("{id:016x}, sent to m{m}, has lost its connection"),
                            );
                        }
                        self.meet("lost with its connection");
                    }
                }
            }
        }
    }

    /// Each request has its answer by its due time, unless its connection was never accepted.
    fn check_dues(&mut self, sim: &mut Sim) {
        let now = sim.clock();
        for n in 0..sim.fronts.len() {
            if sim.fronts[n]
                .dues
                .first()
                .is_none_or(|first| now <= first.0 + SLACK)
            {
                continue;
            }
            let late: Vec<u64> = sim.fronts[n]
                .dues
                .iter()
                .take_while(|one| now > one.0 + SLACK)
                .map(|one| one.1)
                .collect();
            for id in late {
                let Some(one) = sim.fronts[n].open.get(&id).cloned() else {
                    continue;
                };
                let accepted = sim.place_of_front(n).accepted(one.link);
                // Where descriptors are short a connection is accepted late, and what came on it is read then.
                if sim.machine_paused(one.matcher) || accepted.is_some_and(|at| now <= at + SLACK) {
                    continue;
                }
                if accepted.is_some() || sim.has_room(one.matcher) {
                    let held = (now - one.sent) as f64 / 1e6;
                    let m = one.matcher;
                    self.wrong(
                        sim,
                        format!("{id:016x}, sent to m{m} {held:.3} s ago, has no answer in time"),
                    );
                    return;
                }
                self.meet("waited for its connection to be accepted until it was due");
                sim.fronts[n].forget(id);
                sim.request_over(one.matcher, id);
            }
        }
    }

    /// While a machine has a process that serves, nobody is refused at its door.
    fn check_doors(&mut self, sim: &mut Sim) {
        for n in 0..sim.fronts.len() {
            for (m, id) in std::mem::take(&mut sim.fronts[n].refused) {
                let machine = &sim.machines[m];
                let since = machine.ended_at.max(machine.killed_at);
                let stays = machine.procs.len() > 1 && sim.clock() > since + 2 * CROSSING;
                // A machine that stood still while a flood came has a full queue.
                let full = sim
                    .net
                    .borrow()
                    .full_at(machine.frames)
                    .max(sim.net.borrow().full_at(machine.ajp));
                let stays = stays && sim.clock() > full + CROSSING;
                if stays && machine.left_at.is_none() {
                    self.wrong(
                        sim,
                        format!("{id:016x} was refused at m{m}'s door in an upgrade"),
                    );
                }
            }
        }
        for (m, machine) in sim
            .machines
            .iter()
            .enumerate()
            .filter(|(_, machine)| machine.procs.len() > 1)
        {
            let held: usize = machine
                .procs
                .iter()
                .map(|process| process.node.usage().descriptors)
                .sum();
            // Where the middle one dies, the first is found by the third within this time.
            let told = machine.killed_at == 0 || sim.clock() > machine.killed_at + FOUND;
            if told && held > sim.plan.sockets {
                let most = sim.plan.sockets;
                let each: Vec<_> = machine
                    .procs
                    .iter()
                    .map(|process| process.node.usage().to_string())
                    .collect();
                let each = each.join("; ");
                self.wrong(
                    sim,
                    format!(
                        "m{m}: its processes hold {held} descriptors of {most} together ({each})"
                    ),
                );
                return;
            }
        }
    }

    /// Operators are answered within a second.
    fn check_operators(&mut self, sim: &mut Sim) {
        let now = sim.clock();
        for odd in std::mem::take(&mut sim.inspector.odd) {
            self.wrong(sim, format!("operators are told {odd}"));
        }
        let late = |call: &&Call| now > call.asked + ANSWERED;
        let mut calls = std::mem::take(&mut sim.inspector.unanswered);
        calls.extend(sim.inspector.calls.values().filter(late).cloned());
        for call in calls {
            let machine = &sim.machines[call.matcher];
            let there = machine
                .procs
                .iter()
                .any(|process| process.life == call.life);
            let stood = machine.paused.is_some() || machine.resumed_at + ANSWERED > now;
            if there && !stood && sim.has_room(call.matcher) {
                let ago = (now - call.asked) as f64 / 1e6;
                self.wrong(
                    sim,
                    format!(
                        "m{}: an operator asked {ago:.3} s ago in vain",
                        call.matcher
                    ),
                );
                return;
            }
        }
    }

    /// A warm server dies of more than six requests on each core, in the mean of two seconds.
    fn check_crowd(&mut self, sim: &Sim) {
        self.crowded_since.resize(sim.machines.len(), None);
        let now = sim.clock();
        for (m, machine) in sim.machines.iter().enumerate() {
            if machine.runtime.runs_on_cores() > 6 * self.cores {
                let since = *self.crowded_since[m].get_or_insert(now);
                if now > since + 2_000 * MS {
                    self.wrong(sim, format!("m{m}: the cores are jammed"));
                }
            } else {
                self.crowded_since[m] = None;
            }
        }
    }

    /// What is held and what runs stays within the memory that the settings name.
    fn check_memory(&mut self, sim: &Sim) {
        let now = sim.clock();
        if now < self.weighed_at + WEIGHED {
            return;
        }
        self.weighed_at = now;
        for (m, machine) in sim.machines.iter().enumerate() {
            let runs = machine.runtime.running_count();
            let mut held = 0;
            for (n, front) in sim.fronts.iter().enumerate() {
                let place = sim.place_of_front(n);
                // What was sent just now may not have been read.
                let read = |id: &u64, one: &Try| {
                    one.matcher == m
                        && one.sent + CROSSING < now
                        && place
                            .accepted(one.link)
                            .is_some_and(|at| at + CROSSING < now)
                        && !machine.runtime.is_running(*id)
                };
                held += front.open.iter().filter(|(id, one)| read(id, one)).count();
            }
            let used = MEMORY_KB * (held as f64 + RUNS_TAKE * runs as f64);
            let reads = machine.paused.is_none() && machine.resumed_at + CROSSING < now;
            if !machine.procs.is_empty() && reads && used > machine.memory_kb {
                let most = machine.memory_kb;
                let each: Vec<_> = machine
                    .procs
                    .iter()
                    .map(|process| process.node.usage().to_string())
                    .collect();
                let each = each.join("; ");
                self.wrong(
                    sim,
                    format!(
                        "m{m}: {held} held and {runs} running take {used} KB of {most} ({each})"
                    ),
                );
            }
            if used > machine.memory_kb / 2.0 {
                self.meet("more than half of the memory is used");
            }
        }
    }
}
