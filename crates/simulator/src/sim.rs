//! The whole of it: matchers, what they talk to and front ends on one virtual clock, faults from the plan, and the rules
//! checked after each step.

use crate::front::FrontEnd;
use crate::host::{Event, Owner, Shared, READY};
use crate::inspector::Inspector;
use crate::machine::{at, Machine};
use crate::net::{Net, Told};
use crate::parties::Place;
use crate::plan::Plan;
use crate::rollout::Rollout;
use crate::rude::Rude;
use crate::rules::Rules;
use cleatpulley_emulators::registry::ServiceRegistry;
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::store::Store;
use cleatpulley_emulators::Service;
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::hot_restart;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// When every history begins: far from 0, as a Unix clock is.
pub(crate) const BEGIN: Micros = 1_764_576_000 * SECOND;
/// Time from the notice to leave to the stop, and the grace.
pub(crate) const STOP: Micros = 1_500 * MS;
pub(crate) const GRACE: Micros = 800 * MS;
/// After the last request and the last fault everything comes to rest within this time.
const REST: Micros = 6 * SECOND;

/// Operators ask each process so often.
const ASKED: Micros = 250 * MS;

pub(crate) const STORE: usize = 0;
pub(crate) const DIRECTORY: usize = 1;
pub(crate) const RUDE: usize = 2;
pub(crate) const INSPECTOR: usize = 3;
pub(crate) const RUNTIMES: usize = 4;

/// One history.
pub struct Sim {
    pub(crate) plan: Plan,
    pub(crate) setup: Setup,
    pub(crate) net: Shared,
    pub(crate) machines: Vec<Machine>,
    pub(crate) fronts: Vec<FrontEnd>,
    pub(crate) store: Store,
    directory: ServiceRegistry,
    pub(crate) rude: Rude,
    pub(crate) inspector: Inspector,
    pub(crate) rollouts: Vec<Rollout>,
    pub(crate) places: Vec<Place>,
    pub(crate) listeners: BTreeMap<SocketAddr, Listens>,
    pub(crate) random: SmallRng,
    pub(crate) broken: Vec<String>,
    pub(crate) rates: Vec<f64>,
    exhausted: u64,
    /// What passed, as numbers.
    digest: xxhash_rust::xxh3::Xxh3,
    events: u64,
    /// Lines of what passed, where they are wanted.
    pub trace: Option<Vec<String>>,
    /// How often what was met.
    pub met: BTreeMap<&'static str, u64>,
}

/// Who listens at an address.
#[derive(Clone, Copy)]
pub(crate) enum Listens {
    /// A matcher's processes, by this number of their listeners.
    Node(usize, usize),
    /// A process of a matcher answers operators there, by its life.
    Operators(usize, u64),
    /// A service, at this of its doors.
    Service(usize, usize),
}

/// What came of it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Broken rules, and when.
    pub broken: Vec<String>,
    /// Of all that passed.
    pub digest: u64,
    /// Virtual time that passed.
    pub simulated: Micros,
    /// Events.
    pub events: u64,
    /// Tries: sent, served, refused, failed, unreachable.
    pub counts: [u64; 5],
    /// How often what was met.
    pub met: BTreeMap<&'static str, u64>,
}

impl Sim {
    /// The beginning of a history.
    ///
    /// # Panics
    /// Where the stand-ins' settings are not those that the program reads.
    #[must_use]
    pub fn new(plan: Plan, trace: bool) -> Self {
        let setup = Setup {
            cores: plan.cores,
            seed: plan.seed,
            stop_timeout: STOP,
            drain_grace: GRACE,
            ..Setup::default()
        };
        let mut net = Net::new(BEGIN, plan.seed, Event::Net);
        net.partial = plan.partial;
        let net: Shared = Rc::new(RefCell::new(net));
        let mut listeners = BTreeMap::new();
        let number = RUNTIMES + plan.matchers + plan.habits.len();
        let mut places: Vec<Place> = (0..number)
            .map(|n| Place::new(Rc::clone(&net), n))
            .collect();
        let (store_at, lookup_at) = (at(1, 9_042), at(1, 7_946));
        for (place, address) in [(STORE, store_at), (DIRECTORY, lookup_at)] {
            places[place].listen(address);
            listeners.insert(address, Listens::Service(place, 0));
        }
        let mut machines = Vec::new();
        for m in 0..plan.matchers {
            let runtime = setup.runtime(plan.seed ^ m as u64, BEGIN - 3_600 * SECOND);
            let machine = Machine::new(m, runtime);
            listeners.insert(machine.frames, Listens::Node(m, 0));
            listeners.insert(machine.ajp, Listens::Node(m, 1));
            machines.push(machine);
        }
        let to: Vec<_> = machines
            .iter()
            .map(|machine| (machine.frames, machine.ajp))
            .collect();
        let all = setup.capacity() * plan.matchers as f64 * plan.load / plan.habits.len() as f64;
        let span = (BEGIN + 200 * MS, BEGIN + plan.asks);
        let front = |(n, habit): (usize, &crate::front::Habit)| {
            let seed = plan.seed.wrapping_mul(31).wrapping_add(n as u64);
            FrontEnd::new(
                n,
                habit.clone(),
                setup.caller_classes(),
                to.clone(),
                all,
                span,
                seed,
            )
        };
        let fronts: Vec<_> = plan.habits.iter().enumerate().map(front).collect();
        let rates = fronts.iter().map(|front| front.rate).collect();
        for (i, planned) in plan.faults.iter().enumerate() {
            net.borrow_mut()
                .queue
                .push(BEGIN + planned.at, Event::Fault(i));
        }
        let mut sim = Self {
            random: SmallRng::seed_from_u64(plan.seed ^ 0xFA17),
            store: Store::new(setup.store.clone()),
            directory: ServiceRegistry::default(),
            rude: Rude::default(),
            inspector: Inspector::default(),
            rollouts: Vec::new(),
            broken: Vec::new(),
            digest: xxhash_rust::xxh3::Xxh3::new(),
            trace: trace.then(Vec::new),
            met: BTreeMap::new(),
            events: 0,
            exhausted: 0,
            plan,
            setup,
            net,
            machines,
            fronts,
            places,
            listeners,
            rates,
        };
        if trace {
            sim.fronts
                .iter_mut()
                .for_each(|front| front.news = Some(Vec::new()));
        }
        for m in 0..sim.machines.len() {
            sim.start(m);
        }
        for n in 0..sim.fronts.len() {
            let place = RUNTIMES + sim.machines.len() + n;
            sim.places[place].schedule(&sim.fronts[n]);
        }
        sim.net
            .borrow_mut()
            .queue
            .push(BEGIN + ASKED, Event::Inspect);
        sim
    }

    pub(crate) fn now(&self) -> Micros {
        self.net.borrow().now
    }

    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        let now = self.net.borrow().now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:10.6}  {}", (now - BEGIN) as f64 / 1e6, text()));
        }
    }

    pub(crate) fn meet(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    /// Plays it to its end.
    #[must_use]
    pub fn play(mut self) -> (Outcome, Option<Vec<String>>) {
        let lasts = |planned: &crate::plan::Planned| planned.at + planned.lasts;
        let last = self
            .plan
            .faults
            .iter()
            .map(lasts)
            .max()
            .unwrap_or(0)
            .max(self.plan.asks);
        let end = BEGIN + last + REST;
        let mut rules = Rules::new(&self.setup, self.trace.is_some());
        loop {
            let event = self.net.borrow_mut().queue.pop();
            let Some((at, event)) = event.filter(|(at, _)| *at <= end) else {
                break;
            };
            self.net.borrow_mut().now = at;
            self.events += 1;
            self.digest.update(&at.to_le_bytes());
            let what = self.handle(event);
            self.digest.update(&what.to_le_bytes());
            self.check(&mut rules);
            if !self.broken.is_empty() {
                break;
            }
        }
        if self.broken.is_empty() {
            self.net.borrow_mut().now = end;
            self.check_rest();
        }
        let mut counts = [0; 5];
        for front in &self.fronts {
            counts
                .iter_mut()
                .zip(front.counts)
                .for_each(|(sum, one)| *sum += one);
        }
        let broken = std::mem::take(&mut self.broken);
        if let Some(first) = broken.first().cloned() {
            self.note(|| format!("BROKEN: {first}"));
        }
        for (name, number) in rules.met {
            *self.met.entry(name).or_default() += number;
        }
        let exhausted = self.net.borrow().exhausted;
        if exhausted > 0 {
            *self.met.entry("no descriptor left").or_default() += exhausted;
        }
        let outcome = Outcome {
            seed: self.plan.seed,
            broken,
            digest: self.digest.digest(),
            simulated: self.now() - BEGIN,
            events: self.events,
            counts,
            met: self.met,
        };
        (outcome, self.trace)
    }

    /// Handles an event; returns what it was, as a number.
    fn handle(&mut self, event: Event) -> u64 {
        match event {
            Event::Net(event) => {
                let told = self.net.borrow_mut().pass(event);
                match told {
                    None => 0,
                    Some(Told::Acceptable(address)) => {
                        match self.listeners.get(&address).copied() {
                            Some(Listens::Node(m, place)) => {
                                self.tell_all(m, |node| node.on_acceptable(place));
                            }
                            Some(Listens::Operators(m, life)) => {
                                self.tell(m, life, |node| {
                                    node.on_acceptable(
                                        cleatpulley_server::management_endpoint::LISTENER_NUMBER,
                                    );
                                });
                            }
                            Some(Listens::Service(place, door)) => {
                                self.with_service(place, |place, service| {
                                    place.acceptable(service, address, door);
                                });
                            }
                            None => {}
                        }
                        1 << 32
                    }
                    Some(Told::Ready(end)) => {
                        let owner = self.net.borrow().owner(end);
                        match Owner::decode(owner) {
                            Owner::Server(slot, party) => {
                                if let Some((m, life)) = self.in_slot(slot) {
                                    self.tell(m, life, |node| node.on_readiness(party, READY));
                                }
                            }
                            Owner::Service(place, link) => {
                                self.with_service(place, |place, service| {
                                    place.ready(service, link);
                                });
                            }
                        }
                        owner
                    }
                }
            }
            Event::Server(m, life) => {
                self.turn(m, life);
                2 << 32 | m as u64
            }
            Event::HandoverChannel(m, life) => {
                self.tell(m, life, |node| {
                    node.on_acceptable(hot_restart::LISTENER_NUMBER);
                });
                8 << 32 | m as u64
            }
            Event::Rollout(m) => {
                self.look_after(m);
                9 << 32 | m as u64
            }
            Event::Inspect => {
                self.inspect();
                10 << 32
            }
            Event::Service(place) => {
                self.with_service(place, |place, service| place.advance(service));
                3 << 32 | place as u64
            }
            Event::ResultPersistence(m, life) => {
                self.keep(m, life);
                4 << 32 | m as u64
            }
            Event::Shelf(m, life) => {
                self.shelve(m, life);
                11 << 32 | m as u64
            }
            Event::Fault(i) => {
                self.strike(i);
                5 << 32 | i as u64
            }
            Event::Undo(i) => {
                self.undo(i);
                6 << 32 | i as u64
            }
            Event::Revive(m, life) => {
                if self.machines[m].life == life && self.machines[m].procs.is_empty() {
                    self.start(m);
                }
                7 << 32 | m as u64
            }
        }
    }

    pub(crate) fn with_service(
        &mut self,
        place: usize,
        what: impl FnOnce(&mut Place, &mut dyn Service),
    ) {
        let first_front = RUNTIMES + self.machines.len();
        let service: &mut dyn Service = match place {
            STORE => &mut self.store,
            DIRECTORY => &mut self.directory,
            RUDE => &mut self.rude,
            INSPECTOR => &mut self.inspector,
            _ if place < first_front => &mut self.machines[place - RUNTIMES].runtime,
            _ => &mut self.fronts[place - first_front],
        };
        what(&mut self.places[place], service);
    }

    /// Lets operators ask each process, as long as anybody asks anything.
    fn inspect(&mut self) {
        let now = self.now();
        for m in 0..self.machines.len() {
            if self.machines[m].paused.is_some() {
                continue;
            }
            let processes: Vec<_> = self.machines[m]
                .procs
                .iter()
                .map(|p| (p.life, p.mgmt))
                .collect();
            for (life, mgmt) in processes {
                self.inspector.ask(m, life, mgmt);
            }
        }
        self.with_service(INSPECTOR, |place, service| place.schedule(service));
        if now < BEGIN + self.plan.asks {
            self.net
                .borrow_mut()
                .queue
                .push(now + ASKED, Event::Inspect);
        }
    }

    fn check(&mut self, rules: &mut Rules) {
        rules.check(self);
        self.broken.append(&mut rules.broken);
        for text in rules.said.drain(..) {
            self.note(|| text);
        }
        let exhausted = self.net.borrow().exhausted;
        if std::mem::replace(&mut self.exhausted, exhausted) != exhausted
            && self
                .machines
                .iter()
                .any(|machine| machine.left_at.is_some() && !machine.procs.is_empty())
        {
            self.meet("no descriptor left within a drain");
        }
    }

    /// All is quiet: nothing may be left of what passed.
    fn check_rest(&mut self) {
        for n in 0..self.fronts.len() {
            if !self.fronts[n].open.is_empty() {
                let open = self.fronts[n].open.len();
                self.broken.push(format!(
                    "front end {n} waits for {open} answers though all is quiet"
                ));
            }
        }
        for m in 0..self.machines.len() {
            let [process] = &self.machines[m].procs[..] else {
                let number = self.machines[m].procs.len();
                self.broken
                    .push(format!("m{m} has {number} processes though all is quiet"));
                continue;
            };
            let census = process.node.usage();
            let (held, known) = (self.net.borrow().held(process.process), census.descriptors);
            let running = self.machines[m].runtime.running_count();
            let left = [
                (census.requests, "requests are known"),
                (census.pending, "answers are owed"),
                (
                    census.open_requests,
                    "requests count as open on connections",
                ),
                (census.calls, "calls are out"),
                (census.active_key_runs, "runs of keys are on"),
                (running, "runs are on"),
                (
                    held.abs_diff(known),
                    "descriptors more or less than are known",
                ),
            ];
            if running > 0 {
                let ids: Vec<_> = self.machines[m]
                    .runtime
                    .running_ids()
                    .iter()
                    .map(|id| format!("{id:016x}"))
                    .collect();
                self.note(|| format!("m{m} still runs {}", ids.join(", ")));
            }
            for (number, what) in left {
                if number > 0 {
                    self.broken
                        .push(format!("m{m}: {number} {what} though all is quiet"));
                }
            }
        }
    }
}

impl Sim {
    /// The platform sees that a request is over: its run ends at a call.
    pub(crate) fn request_over(&mut self, m: usize, id: u64) {
        let machine = &mut self.machines[m];
        self.places[RUNTIMES + m].tell(&mut machine.runtime, |runtime, now, out| {
            runtime.end_request(now, id, out);
        });
    }

    /// A matcher's machine stands still.
    pub(crate) fn machine_paused(&self, m: usize) -> bool {
        self.machines[m].paused.is_some()
    }

    /// A matcher has had room for many more connections for longer than it waits after an accept that failed.
    pub(crate) fn has_room(&self, m: usize) -> bool {
        let machine = &self.machines[m];
        let short = |p: &crate::machine::Proc| self.net.borrow().short_at(p.process) + 60 * MS;
        // In an upgrade those of one process are shared by two, and a crowd in the queue takes longer to pass.
        machine.procs.len() == 1
            && self.now() > machine.alone_since + SECOND
            && machine
                .procs
                .iter()
                .all(|process| self.now() > short(process))
    }

    /// The time from the beginning on, for messages.
    pub(crate) fn since(&self) -> Micros {
        self.now() - BEGIN
    }

    /// The place of a front end.
    pub(crate) fn place_of_front(&self, n: usize) -> &Place {
        &self.places[RUNTIMES + self.machines.len() + n]
    }

    /// The time.
    pub(crate) fn clock(&self) -> Micros {
        self.now()
    }
}
