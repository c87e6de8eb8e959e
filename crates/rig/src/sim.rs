//! The whole of it: matchers, what they talk to and front ends on one virtual clock, faults from the plan, and the rules
//! checked after each step.

use crate::front::{FrontEnd, FIELD};
use crate::host::{Desk, Event, Owner, Shared, Virtual, READY};
use crate::net::{Net, Told};
use crate::parties::Place;
use crate::plan::{Fault, Plan};
use crate::rude::Rude;
use crate::rules::Rules;
use cleatpulley_exchange::history::Bounds;
use cleatpulley_exchange::Owner as KeyOwner;
use cleatpulley_keep::memory::{Fault as DiskFault, Memory};
use cleatpulley_matcher::{store::Speaks, AjpFront, Node, Options, Parties, Results};
use cleatpulley_policy::interface::{Effect as ClassEffect, Micros};
use cleatpulley_policy::settings::BootInfo;
use cleatpulley_protocol::ajp::server::{Defaults, Figures, Settings as AjpSettings, Source};
use cleatpulley_protocol::ajp::table::{Entry, Table};
use cleatpulley_standin::directory::Directory;
use cleatpulley_standin::runtime::Runtime;
use cleatpulley_standin::site::Setup;
use cleatpulley_standin::store::Store;
use cleatpulley_standin::Service;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// When every history begins: far from 0, as a Unix clock is.
const BEGIN: Micros = 1_764_576_000 * SECOND;
/// Time from the notice to leave to the stop, and the grace.
const STOP: Micros = 1_500 * MS;
pub(crate) const GRACE: Micros = 800 * MS;
/// After the last request and the last fault everything comes to rest within this time.
const REST: Micros = 6 * SECOND;
/// So many turns at one moment are a loop at full speed.
const SPIN: u32 = 3_000;

const STORE: usize = 0;
const DIRECTORY: usize = 1;
const RUDE: usize = 2;
const RUNTIMES: usize = 3;

/// A matcher, its runtime and its disk.
pub(crate) struct Machine {
    pub node: Option<Node<Virtual>>,
    pub life: u64,
    process: usize,
    pub frames: SocketAddr,
    ajp: SocketAddr,
    runtimes: [SocketAddr; 2],
    which: usize,
    parties: Rc<RefCell<Parties>>,
    desk: Rc<RefCell<Desk>>,
    /// A turn is due at once.
    pending: bool,
    wake: Micros,
    pub paused: Option<Micros>,
    pub left_at: Option<Micros>,
    pub ended_at: Micros,
    /// When its machine last stood still no more.
    pub resumed_at: Micros,
    reloaded_at: Micros,
    turns: (Micros, u32),
    /// Until when its disk may fail it.
    pub disk_trouble: Micros,
    /// The next life has other settings.
    renewed: bool,
    /// Memory that its settings name.
    pub memory_kb: f64,
    pub runtime: Runtime,
}

impl Machine {
    /// The disk is in trouble until then, and its keeper somewhat longer.
    fn note_disk_trouble(&mut self, until: Micros) {
        self.disk_trouble = self.disk_trouble.max(until + SECOND);
    }
}

/// One history.
pub struct Sim {
    plan: Plan,
    setup: Setup,
    net: Shared,
    pub(crate) machines: Vec<Machine>,
    pub(crate) fronts: Vec<FrontEnd>,
    pub(crate) store: Store,
    directory: Directory,
    rude: Rude,
    pub(crate) places: Vec<Place>,
    listeners: BTreeMap<SocketAddr, Listens>,
    random: SmallRng,
    broken: Vec<String>,
    rates: Vec<f64>,
    exhausted: u64,
    /// What passed, as numbers.
    digest: xxhash_rust::xxh3::Xxh3,
    events: u64,
    /// Lines of what passed, where they are wanted.
    pub trace: Option<Vec<String>>,
    /// How often what was met.
    pub met: BTreeMap<&'static str, u64>,
}

#[derive(Clone, Copy)]
enum Listens {
    Node(usize, usize),
    Service(usize),
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

fn at(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], port))
}

impl Sim {
    /// The beginning of a history.
    ///
    /// # Panics
    /// Where the stand-ins' settings are not those that the program reads.
    #[must_use]
    pub fn new(plan: Plan, trace: bool) -> Self {
        let setup =
            Setup { cores: plan.cores, seed: plan.seed, stop: STOP, grace: GRACE, ..Setup::default() };
        let mut net = Net::new(BEGIN, plan.seed, Event::Net);
        net.partial = plan.partial;
        let net: Shared = Rc::new(RefCell::new(net));
        let mut listeners = BTreeMap::new();
        let number = RUNTIMES + plan.matchers + plan.habits.len();
        let mut places: Vec<Place> = (0..number).map(|n| Place::new(Rc::clone(&net), n)).collect();
        let (store_at, lookup_at) = (at(1, 9_042), at(1, 7_946));
        for (place, address) in [(STORE, store_at), (DIRECTORY, lookup_at)] {
            places[place].listen(address);
            listeners.insert(address, Listens::Service(place));
        }
        let mut machines = Vec::new();
        for m in 0..plan.matchers {
            let host = 10 + m as u8;
            let (frames, ajp, runtimes) =
                (at(host, 5_050), at(host, 8_009), [at(host, 7_300), at(host, 7_301)]);
            let process = net.borrow_mut().process(plan.sockets);
            listeners.insert(frames, Listens::Node(m, 0));
            listeners.insert(ajp, Listens::Node(m, 1));
            for address in runtimes {
                listeners.insert(address, Listens::Service(RUNTIMES + m));
            }
            places[RUNTIMES + m].listen(runtimes[0]);
            let parties = Parties { runtime: runtimes[0], store: store_at, lookup: lookup_at };
            let runtime = setup.runtime(plan.seed ^ m as u64, BEGIN - 3_600 * SECOND);
            machines.push(Machine {
                node: None,
                life: 0,
                process,
                frames,
                ajp,
                runtimes,
                which: 0,
                parties: Rc::new(RefCell::new(parties)),
                desk: Rc::new(RefCell::new(Desk::new(Memory::default()))),
                pending: false,
                wake: Micros::MAX,
                paused: None,
                left_at: None,
                ended_at: 0,
                resumed_at: 0,
                reloaded_at: 0,
                turns: (0, 0),
                disk_trouble: 0,
                renewed: false,
                memory_kb: 0.0,
                runtime,
            });
        }
        let to: Vec<_> = machines.iter().map(|machine| (machine.frames, machine.ajp)).collect();
        let all = setup.capacity() * plan.matchers as f64 * plan.load / plan.habits.len() as f64;
        let span = (BEGIN + 200 * MS, BEGIN + plan.asks);
        let front = |(n, habit): (usize, &crate::front::Habit)| {
            let seed = plan.seed.wrapping_mul(31).wrapping_add(n as u64);
            FrontEnd::new(n, habit.clone(), setup.kinds(), to.clone(), all, span, seed)
        };
        let fronts: Vec<_> = plan.habits.iter().enumerate().map(front).collect();
        let rates = fronts.iter().map(|front| front.rate).collect();
        for (i, planned) in plan.faults.iter().enumerate() {
            net.borrow_mut().queue.push(BEGIN + planned.at, Event::Fault(i));
        }
        let mut sim = Self {
            random: SmallRng::seed_from_u64(plan.seed ^ 0xFA17),
            store: Store::new(setup.store.clone()),
            directory: Directory::default(),
            rude: Rude::default(),
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
            sim.fronts.iter_mut().for_each(|front| front.news = Some(Vec::new()));
        }
        for m in 0..sim.machines.len() {
            sim.start(m);
        }
        for n in 0..sim.fronts.len() {
            let place = RUNTIMES + sim.machines.len() + n;
            sim.places[place].schedule(&sim.fronts[n]);
        }
        sim
    }

    fn now(&self) -> Micros {
        self.net.borrow().now
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        let now = self.net.borrow().now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:10.6}  {}", (now - BEGIN) as f64 / 1e6, text()));
        }
    }

    fn meet(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    fn options(&self, m: usize) -> Options {
        let machine = &self.machines[m];
        // The stand-ins' settings are read by the program's own reader.
        let mut value = self.setup.settings();
        if machine.renewed {
            // So little that memory is what bounds it.
            value["specifics"]["memory_kb"] = (f64::from(self.plan.cores) * 400.0).into();
            value["specifics"]["advert"] = "none".into();
        }
        let boot: BootInfo = serde_json::from_value(value).unwrap_or_else(|e| panic!("settings: {e}"));
        let (class_names, gauge_names) = (boot.class_names(), boot.gauge_names());
        let mut settings = boot.settings();
        settings.cold_start = machine.life > 1;
        let once: Vec<bool> =
            settings.classes.iter().map(|class| class.effect != ClassEffect::Safe).collect();
        let route = |(class, name): (usize, &String)| Entry {
            path: format!("/{name}"),
            methods: vec!["POST".to_owned()],
            class,
        };
        let table = Table::new(class_names.iter().enumerate().map(route).collect());
        let header = |name: &str| Some(Source::Header(name.to_owned()));
        let default =
            |once: &bool| Defaults { work: 0, memory_kb: 20.0, rank: 0.5, caller: 0, needs_id: *once };
        let ajp = AjpSettings {
            secret: None,
            packet_size: 8_192,
            max_body: 2_048,
            first_packet: 2 * SECOND,
            body: 1_500 * MS,
            idle: 30 * SECOND,
            // The paths are plain and differ.
            table: table.unwrap_or_else(|(_, what)| panic!("routes: {what}")),
            lookup: None,
            figures: Figures {
                id: header("X-Request-Id"),
                door: header("X-Door"),
                work_ms: header("X-Work-Ms"),
                rank: header("X-Rank"),
                caller: header("X-Caller"),
                key: header("Idempotency-Key"),
                ..Figures::default()
            },
            defaults: once.iter().map(default).collect(),
            seed: self.plan.seed,
        };
        let bounds = Bounds {
            entries: if machine.renewed { 300 } else { 20_000 },
            bytes: 10_000_000,
            window: self.plan.window,
            stall: 100 * MS,
            seed: self.plan.seed,
        };
        Options {
            name: format!("m{m}"),
            listen: machine.frames,
            mgmt: None,
            shares_listener: false,
            meets_in: None,
            parties: *machine.parties.borrow(),
            seed: self.plan.seed ^ machine.life.rotate_left(32) ^ m as u64,
            stop: STOP,
            sockets: self.plan.sockets,
            class_names,
            gauge_names,
            settings,
            ajp: Some(AjpFront {
                listen: vec![machine.ajp],
                trusted: vec![self.net.borrow().address()],
                settings: ajp,
            }),
            store_speaks: Speaks::Http,
            results: Some(Results {
                folder: PathBuf::new(),
                classes: once,
                required: false,
                owner: KeyOwner::Caller,
                bounds,
                entry_kb: 0.2,
                frame_field: Some(FIELD.to_owned()),
            }),
        }
    }

    fn start(&mut self, m: usize) {
        let machine = &mut self.machines[m];
        machine.life += 1;
        machine.left_at = None;
        // A process of its own, with descriptors of its own.
        self.net.borrow_mut().limit(machine.process, self.plan.sockets);
        (machine.pending, machine.wake) = (false, Micros::MAX);
        let world = Virtual {
            net: Rc::clone(&self.net),
            node: m,
            life: machine.life,
            process: machine.process,
            desk: Rc::clone(&machine.desk),
        };
        let parties = Rc::clone(&machine.parties);
        let options = self.options(m);
        self.machines[m].memory_kb = options.settings.memory_kb;
        match Node::new(world, options, Box::new(move || Ok(*parties.borrow()))) {
            Ok(node) => {
                self.machines[m].node = Some(node);
                self.turn_soon(m);
                self.note(|| format!("m{m} starts"));
            }
            Err(e) => self.broken.push(format!("m{m} can't start: {e}")),
        }
    }

    fn turn_soon(&mut self, m: usize) {
        let machine = &mut self.machines[m];
        if machine.node.is_some() && !std::mem::replace(&mut machine.pending, true) {
            let mut net = self.net.borrow_mut();
            let now = net.now;
            net.queue.push(now, Event::Node(m, machine.life));
        }
    }

    /// Plays it to its end.
    #[must_use]
    pub fn play(mut self) -> (Outcome, Option<Vec<String>>) {
        let lasts = |planned: &crate::plan::Planned| planned.at + planned.lasts;
        let last = self.plan.faults.iter().map(lasts).max().unwrap_or(0).max(self.plan.asks);
        let end = BEGIN + last + REST;
        let mut rules = Rules::new(&self.setup, self.trace.is_some());
        loop {
            let event = self.net.borrow_mut().queue.pop();
            let Some((at, event)) = event.filter(|(at, _)| *at <= end) else { break };
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
            counts.iter_mut().zip(front.counts).for_each(|(sum, one)| *sum += one);
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
                                if let Some(node) = &mut self.machines[m].node {
                                    node.acceptable(place);
                                }
                                self.turn_soon(m);
                            }
                            Some(Listens::Service(place)) => {
                                self.with_service(place, |place, service| place.acceptable(service, address));
                            }
                            None => {}
                        }
                        1 << 32
                    }
                    Some(Told::Ready(end)) => {
                        let owner = self.net.borrow().owner(end);
                        match Owner::decode(owner) {
                            Owner::Node(m, party) => {
                                if let Some(node) = &mut self.machines[m].node {
                                    node.ready(party, READY);
                                }
                                self.turn_soon(m);
                            }
                            Owner::Service(place, link) => {
                                self.with_service(place, |place, service| place.ready(service, link));
                            }
                        }
                        owner
                    }
                }
            }
            Event::Node(m, life) => {
                if self.machines[m].life == life {
                    self.turn(m);
                }
                2 << 32 | m as u64
            }
            Event::Service(place) => {
                self.with_service(place, |place, service| place.advance(service));
                3 << 32 | place as u64
            }
            Event::Keeper(m, life) => {
                self.keep(m, life);
                4 << 32 | m as u64
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
                if self.machines[m].life == life && self.machines[m].node.is_none() {
                    self.start(m);
                }
                7 << 32 | m as u64
            }
        }
    }

    fn with_service(&mut self, place: usize, what: impl FnOnce(&mut Place, &mut dyn Service)) {
        let first_front = RUNTIMES + self.machines.len();
        let service: &mut dyn Service = match place {
            STORE => &mut self.store,
            DIRECTORY => &mut self.directory,
            RUDE => &mut self.rude,
            _ if place < first_front => &mut self.machines[place - RUNTIMES].runtime,
            _ => &mut self.fronts[place - first_front],
        };
        what(&mut self.places[place], service);
    }

    fn turn(&mut self, m: usize) {
        let now = self.now();
        let machine = &mut self.machines[m];
        // What was scheduled before something else came up is out of date.
        if machine.paused.is_some() || !(machine.pending || now >= machine.wake) {
            return;
        }
        (machine.pending, machine.wake) = (false, Micros::MAX);
        let Some(node) = &mut machine.node else { return };
        machine.turns = if machine.turns.0 == now { (now, machine.turns.1 + 1) } else { (now, 0) };
        let next = node.turn();
        if node.is_over() {
            node.close();
            self.leave(m);
            return;
        }
        if machine.turns.1 > SPIN {
            self.broken.push(format!("m{m} loops at full speed"));
            return;
        }
        let next = next.max(now);
        machine.wake = next;
        machine.pending = false;
        let life = machine.life;
        self.net.borrow_mut().queue.push(next, Event::Node(m, life));
    }

    /// A matcher that was told to leave has ended.
    fn leave(&mut self, m: usize) {
        let now = self.now();
        let machine = &mut self.machines[m];
        machine.node = None;
        machine.ended_at = now;
        let disk = machine.desk.borrow().disk.clone();
        *machine.desk.borrow_mut() = Desk::new(disk);
        let life = machine.life;
        self.note(|| format!("m{m} has left"));
        self.meet("left");
        let runtime = self.new_runtime(m, now + 300 * MS);
        self.machines[m].runtime = runtime;
        self.net.borrow_mut().queue.push(now + 300 * MS, Event::Revive(m, life));
    }

    /// A runtime that comes up then, with the books of the one before it.
    fn new_runtime(&mut self, m: usize, since: Micros) -> Runtime {
        let machine = &mut self.machines[m];
        let mut runtime = self.setup.runtime(self.plan.seed ^ m as u64 ^ machine.life << 20, since);
        runtime.seen = std::mem::take(&mut machine.runtime.seen);
        runtime
    }

    fn keep(&mut self, m: usize, life: u64) {
        let now = self.now();
        let machine = &mut self.machines[m];
        // What a process that is gone had asked for is not done by the next.
        if machine.life != life || machine.node.is_none() {
            return;
        }
        let mut facts = Vec::new();
        let again = machine.desk.borrow_mut().work(now, &mut facts);
        if let Some(at) = again {
            self.net.borrow_mut().queue.push(at, Event::Keeper(m, life));
        }
        if let Some(node) = &mut self.machines[m].node {
            facts.into_iter().for_each(|fact| node.kept(fact));
        }
        self.turn_soon(m);
    }

    fn strike(&mut self, i: usize) {
        let now = self.now();
        let planned = self.plan.faults[i];
        let m = planned.matcher.min(self.machines.len() - 1);
        self.note(|| format!("fault: {planned}"));
        self.meet(planned.fault.name());
        let ends = now + planned.lasts;
        if self.machines[m].left_at.is_some() {
            self.meet("fault within a drain");
        }
        match planned.fault {
            Fault::Crash { down, runtime } => self.crash(m, down, runtime),
            Fault::Slow(factor) => self.machines[m].runtime.slowing = factor,
            Fault::Pause => self.machines[m].paused = self.machines[m].paused.or(Some(now)),
            Fault::BreakLink => {
                if now < self.machines[m].reloaded_at + 1_500 * MS {
                    self.meet("link break while a reload is on");
                }
                self.break_link(m, ends);
            }
            Fault::BreakAtDue => {
                let due = |front: &FrontEnd| {
                    front
                        .dues
                        .iter()
                        .map(|(due, id)| (*due, front.open[id].matcher))
                        .find(|(due, on)| *on == m && *due > now)
                };
                if let Some((due, _)) = self.fronts.iter().filter_map(due).min() {
                    self.net.borrow_mut().queue.push(due, Event::Undo(i));
                }
                return;
            }
            Fault::Store(per_mille) => self.store.trouble(per_mille),
            Fault::Resets(number) => self.reset(number),
            Fault::Directory => {
                let address = self.machines[m].parties.borrow().lookup;
                self.net.borrow_mut().unlisten(address);
            }
            Fault::DiskStall => {
                self.machines[m].note_disk_trouble(ends);
                self.machines[m].desk.borrow_mut().stalled_until = ends;
            }
            Fault::DiskFail | Fault::DiskFull => {
                self.machines[m].note_disk_trouble(ends);
                let after = self.random.random_range(0..20);
                let fault = if planned.fault == Fault::DiskFail {
                    DiskFault::Fail(after)
                } else {
                    DiskFault::Full(after, 30_000)
                };
                self.machines[m].desk.borrow().disk.set_faults(&[fault]);
            }
            Fault::Drain => self.drain(m),
            Fault::Renew => {
                self.machines[m].renewed = true;
                self.drain(m);
            }
            Fault::Repeats(per_mille) => self.machines[m].runtime.repeats = per_mille,
            Fault::Tear => self.machines[m].runtime.tears = true,
            Fault::Spoilt(per_mille) => self.store.spoil(per_mille),
            Fault::Reload => self.reload(m),
            Fault::Burst(factor) => {
                self.fronts.iter_mut().zip(&self.rates).for_each(|(front, rate)| front.rate = rate * factor);
            }
            Fault::Stalled(number) => {
                let to = self.machines[m].ajp;
                (0..number).for_each(|_| self.rude.stall(m, to));
                self.with_service(RUDE, |place, service| place.schedule(service));
            }
            Fault::Descriptors(left) => {
                let process = self.machines[m].process;
                let mut net = self.net.borrow_mut();
                let held = net.held(process);
                net.limit(process, held + left);
            }
            Fault::Crowd(number) => {
                let to = self.machines[m].frames;
                self.rude.crowd(m, to, number);
                self.with_service(RUDE, |place, service| place.schedule(service));
            }
        }
        self.net.borrow_mut().queue.push(ends, Event::Undo(i));
    }

    fn undo(&mut self, i: usize) {
        let now = self.now();
        let planned = self.plan.faults[i];
        let m = planned.matcher.min(self.machines.len() - 1);
        match planned.fault {
            Fault::Slow(_) => self.machines[m].runtime.slowing = 1.0,
            Fault::Pause => {
                if let Some(since) = self.machines[m].paused.take() {
                    self.machines[m].resumed_at = now;
                    self.fronts.iter_mut().for_each(|front| front.extend(m, since, now));
                    self.machines[m].pending = false;
                    self.turn_soon(m);
                }
            }
            Fault::BreakAtDue => {
                self.meet("reply lost at its due time");
                self.break_link(m, now + planned.lasts);
            }
            Fault::Descriptors(_) => {
                self.net.borrow_mut().limit(self.machines[m].process, self.plan.sockets);
            }
            Fault::Store(_) => self.store.trouble(0),
            Fault::Spoilt(_) => self.store.spoil(0),
            Fault::Repeats(_) => self.machines[m].runtime.repeats = 0,
            Fault::Directory => {
                let address = self.machines[m].parties.borrow().lookup;
                self.places[DIRECTORY].listen(address);
            }
            Fault::DiskFull | Fault::DiskFail => self.machines[m].desk.borrow().disk.set_faults(&[]),
            Fault::Burst(_) => {
                self.fronts.iter_mut().zip(&self.rates).for_each(|(front, rate)| front.rate = *rate);
            }
            _ => {}
        }
    }

    fn break_link(&mut self, m: usize, until: Micros) {
        let machine = &mut self.machines[m];
        self.places[RUNTIMES + m]
            .tell(&mut machine.runtime, |runtime, _, out| runtime.break_link(until, out));
    }

    fn crash(&mut self, m: usize, down: Micros, runtime: bool) {
        let now = self.now();
        let Some(node) = &self.machines[m].node else { return };
        if node.census().intents > 0 {
            self.meet("crash between intent and result");
        }
        self.fronts.iter_mut().for_each(|front| front.excuse(m));
        let seed = self.plan.seed ^ now;
        let machine = &mut self.machines[m];
        machine.node = None;
        machine.ended_at = now;
        machine.paused = None;
        let disk = machine.desk.borrow().disk.crash(seed);
        *machine.desk.borrow_mut() = Desk::new(disk);
        let life = machine.life;
        if runtime {
            let fresh = self.new_runtime(m, now + down);
            self.machines[m].runtime = fresh;
        }
        self.net.borrow_mut().queue.push(now + down, Event::Revive(m, life));
    }

    fn drain(&mut self, m: usize) {
        let now = self.now();
        let slow = self.machines[m].runtime.slowing > 2.0;
        let stalled = self.rude.stalled.values().any(|on| *on == m);
        let machine = &mut self.machines[m];
        let Some(node) = &mut machine.node else { return };
        // A process that stands still hears of nothing: the notice would come with its next turn.
        if machine.left_at.is_some() || machine.paused.is_some() {
            return;
        }
        machine.left_at = Some(now);
        node.leave();
        self.turn_soon(m);
        if slow {
            self.meet("told to leave while several times slower");
        }
        if stalled {
            self.meet("a stalled body at the drain");
        }
    }

    fn reload(&mut self, m: usize) {
        let now = self.now();
        let machine = &mut self.machines[m];
        if machine.node.is_none() {
            return;
        }
        let old = machine.runtimes[machine.which];
        machine.which ^= 1;
        let new = machine.runtimes[machine.which];
        machine.parties.borrow_mut().runtime = new;
        machine.reloaded_at = now;
        self.net.borrow_mut().unlisten(old);
        self.places[RUNTIMES + m].listen(new);
        if let Some(node) = &mut self.machines[m].node {
            node.reload();
        }
        self.turn_soon(m);
    }

    fn reset(&mut self, number: usize) {
        let first = RUNTIMES + self.machines.len();
        for _ in 0..number {
            let n = self.random.random_range(0..self.fronts.len());
            let dialled = self.places[first + n].dialled();
            if dialled.is_empty() {
                continue;
            }
            let (link, end) = dialled[self.random.random_range(0..dialled.len())];
            self.fronts[n].excused.insert(link);
            self.net.borrow_mut().reset(end);
        }
    }

    /// What a matcher's descriptors come to, and what it should hold.
    fn descriptors(&self, m: usize) -> (usize, usize) {
        let machine = &self.machines[m];
        let held = self.net.borrow().held(machine.process);
        (held, machine.node.as_ref().map_or(0, |node| node.census().descriptors))
    }

    fn check(&mut self, rules: &mut Rules) {
        rules.check(self);
        self.broken.append(&mut rules.broken);
        for text in rules.said.drain(..) {
            self.note(|| text);
        }
        let exhausted = self.net.borrow().exhausted;
        if std::mem::replace(&mut self.exhausted, exhausted) != exhausted
            && self.machines.iter().any(|machine| machine.left_at.is_some() && machine.node.is_some())
        {
            self.meet("no descriptor left within a drain");
        }
    }

    /// All is quiet: nothing may be left of what passed.
    fn check_rest(&mut self) {
        for n in 0..self.fronts.len() {
            if !self.fronts[n].open.is_empty() {
                let open = self.fronts[n].open.len();
                self.broken.push(format!("front end {n} waits for {open} answers though all is quiet"));
            }
        }
        for m in 0..self.machines.len() {
            let Some(node) = &self.machines[m].node else {
                self.broken.push(format!("m{m} has not come back"));
                continue;
            };
            let census = node.census();
            let running = self.machines[m].runtime.running();
            let (held, known) = self.descriptors(m);
            let left = [
                (census.requests, "requests are known"),
                (census.unanswered, "answers are owed"),
                (census.open, "requests count as open on connections"),
                (census.calls, "calls are out"),
                (census.intents, "runs of keys are on"),
                (running, "runs are on"),
                (held.abs_diff(known), "descriptors more or less than are known"),
            ];
            if running > 0 {
                let ids: Vec<_> =
                    self.machines[m].runtime.ids().iter().map(|id| format!("{id:016x}")).collect();
                self.note(|| format!("m{m} still runs {}", ids.join(", ")));
            }
            for (number, what) in left {
                if number > 0 {
                    self.broken.push(format!("m{m}: {number} {what} though all is quiet"));
                }
            }
        }
    }
}

impl Sim {
    /// The platform sees that a request is over: its run ends at a call.
    pub(crate) fn request_over(&mut self, m: usize, id: u64) {
        let machine = &mut self.machines[m];
        self.places[RUNTIMES + m]
            .tell(&mut machine.runtime, |runtime, now, out| runtime.request_over(now, id, out));
    }

    /// A matcher's machine stands still.
    pub(crate) fn machine_paused(&self, m: usize) -> bool {
        self.machines[m].paused.is_some()
    }

    /// A matcher has had room for many more connections for longer than it waits after an accept that failed.
    pub(crate) fn has_room(&self, m: usize) -> bool {
        let machine = &self.machines[m];
        machine.node.is_some() && self.now() > self.net.borrow().short_at(machine.process) + 60 * MS
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
