//! A matcher's machine: its processes, what they share, and how they come and go.

use crate::crowd;
use crate::front::FIELD;
use crate::hall::Hall;
use crate::host::{Desk, Event, Lock, Virtual};
use crate::plan::Places;
use crate::shelf::Shelf;
use crate::sim::{Listens, Sim, BEGIN, MS, RUNTIMES, SECOND, STOP};
use cleatpulley_connection_admission::address_prefix::{AddressPrefix, PrefixLengths};
use cleatpulley_connection_admission::rate_sketch::RateLimit;
use cleatpulley_connection_admission::reputation::ReputationSettings;
use cleatpulley_connection_admission::settings::ConnectionLimits;
use cleatpulley_connection_admission::Settings as Admitting;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope as KeyOwner;
use cleatpulley_emulators::runtime::Runtime;
use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_policy::interface::{Effect as ClassEffect, Micros};
use cleatpulley_policy::settings::SettingsDocument;
use cleatpulley_protocol::ajp::class_table::{ClassRoute, ClassTable};
use cleatpulley_protocol::ajp::server::{
    ParameterDefaults, ParameterSource, ParameterSources, Settings as AjpSettings,
};
use cleatpulley_server::{
    dependency_pool::DependencyProtocol, AjpOptions, IdempotencyOptions, Options, Server,
    ServiceAddresses,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// So many turns at one moment are a loop at full speed.
const SPIN: u32 = 3_000;
/// Processes of a machine that are told apart at a time.
const SLOTS: usize = 16;

/// An address of the virtual network.
pub(crate) fn at(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], port))
}

fn mgmt_of(m: usize, seat: usize) -> SocketAddr {
    at(10 + m as u8, 9_000 + seat as u16)
}

/// The runtime's addresses for the process in a seat: it moves from one to the other with each new configuration.
fn runtimes_of(m: usize, seat: usize) -> [SocketAddr; 2] {
    let port = 7_300 + 2 * seat as u16;
    [at(10 + m as u8, port), at(10 + m as u8, port + 1)]
}

/// A process of a matcher.
pub(crate) struct Proc {
    pub node: Server<Virtual>,
    pub life: u64,
    /// Its descriptors.
    pub process: usize,
    /// Each process that takes another's place has a seat of its own, and with it an address of the runtime.
    pub seat: usize,
    pub mgmt: SocketAddr,
    which: usize,
    pub parties: Rc<RefCell<ServiceAddresses>>,
    pub desk: Rc<RefCell<Desk>>,
    pub shelf: Rc<RefCell<Shelf>>,
    /// A turn is due at once.
    pending: bool,
    wake: Micros,
    turns: (Micros, u32),
    /// It was told to leave to its successor.
    pub told_at: Option<Micros>,
    /// When it was started.
    pub started: Micros,
}

/// A matcher's machine.
pub(crate) struct Machine {
    number: usize,
    /// In the order of their starts.
    pub procs: Vec<Proc>,
    /// The life of the process that was started last.
    pub life: u64,
    seat: usize,
    pub frames: SocketAddr,
    pub ajp: SocketAddr,
    pub hall: Rc<RefCell<Hall>>,
    pub disk: SimulatedFolder,
    pub lock: Lock,
    /// The disk of the book of earned standing, and who has it open.
    pub book: (SimulatedFolder, Lock),
    pub paused: Option<Micros>,
    /// When the matcher was told to leave, without a successor.
    pub left_at: Option<Micros>,
    /// When a process last ended other than by leaving to its successor.
    pub ended_at: Micros,
    /// Since when there is no more than one process.
    pub alone_since: Micros,
    /// When one of several processes was last killed.
    pub killed_at: Micros,
    /// When its machine last stood still no more.
    pub resumed_at: Micros,
    pub reloaded_at: Micros,
    /// Until when its disk may fail it.
    pub disk_trouble: Micros,
    /// The next life has other settings.
    pub renewed: bool,
    /// Until when a flood is on, and until when descriptors are short.
    pub crowded: (Micros, Micros),
    /// Memory that its settings name.
    pub memory_kb: f64,
    pub runtime: Runtime,
}

impl Machine {
    pub(crate) fn new(m: usize, runtime: Runtime) -> Self {
        let host = 10 + m as u8;
        Self {
            number: m,
            procs: Vec::new(),
            life: 0,
            seat: 0,
            frames: at(host, 5_050),
            ajp: at(host, 8_009),
            hall: Rc::default(),
            disk: SimulatedFolder::default(),
            lock: Lock::default(),
            book: Default::default(),
            paused: None,
            left_at: None,
            ended_at: 0,
            alone_since: 0,
            killed_at: 0,
            resumed_at: 0,
            reloaded_at: 0,
            disk_trouble: 0,
            renewed: false,
            crowded: (0, 0),
            memory_kb: 0.0,
            runtime,
        }
    }

    /// The disk is in trouble until then, and its keeper somewhat longer.
    pub(crate) fn note_disk_trouble(&mut self, until: Micros) {
        self.disk_trouble = self.disk_trouble.max(until + SECOND);
    }

    pub(crate) fn find(&mut self, life: u64) -> Option<&mut Proc> {
        self.procs.iter_mut().find(|process| process.life == life)
    }

    /// The process that was started last, where it lives.
    pub(crate) fn newest(&mut self) -> Option<&mut Proc> {
        self.procs.last_mut()
    }

    pub(crate) fn slot(&self, life: u64) -> usize {
        self.number * SLOTS + life as usize % SLOTS
    }
}

impl Sim {
    /// The process in a slot.
    pub(crate) fn in_slot(&self, slot: usize) -> Option<(usize, u64)> {
        let machine = self.machines.get(slot / SLOTS)?;
        let process = machine
            .procs
            .iter()
            .find(|process| process.life as usize % SLOTS == slot % SLOTS)?;
        Some((slot / SLOTS, process.life))
    }

    /// Tells a process something; it takes a turn then.
    pub(crate) fn tell(&mut self, m: usize, life: u64, what: impl FnOnce(&mut Server<Virtual>)) {
        if let Some(process) = self.machines[m].find(life) {
            what(&mut process.node);
        }
        self.turn_soon(m, life);
    }

    /// The same for all processes of a machine.
    pub(crate) fn tell_all(&mut self, m: usize, what: impl Fn(&mut Server<Virtual>)) {
        let lives: Vec<_> = self.machines[m]
            .procs
            .iter()
            .map(|process| process.life)
            .collect();
        lives.into_iter().for_each(|life| self.tell(m, life, &what));
    }

    /// Starts a process: in the seat of the one before it, or in one of its own where that one still serves.
    pub(crate) fn start(&mut self, m: usize) {
        let beside = !self.machines[m].procs.is_empty();
        let process = self.net.borrow_mut().process(self.plan.sockets);
        let machine = &mut self.machines[m];
        machine.life += 1;
        machine.seat += usize::from(beside);
        let (life, seat) = (machine.life, machine.seat);
        let runtimes = runtimes_of(m, seat);
        let mgmt = mgmt_of(m, seat);
        let parties = ServiceAddresses {
            runtime: runtimes[0],
            dependency: at(1, 9_042),
            registry: at(1, 7_946),
        };
        let world = Virtual {
            net: Rc::clone(&self.net),
            node: m,
            life,
            slot: machine.slot(life),
            hall: Rc::clone(&machine.hall),
            process,
            desk: Rc::new(RefCell::new(Desk::new(
                machine.disk.clone(),
                Rc::clone(&machine.lock),
                life,
            ))),
            shelf: Rc::new(RefCell::new(Shelf::new(
                machine.book.0.clone(),
                Rc::clone(&machine.book.1),
                life,
            ))),
        };
        for address in runtimes {
            self.listeners
                .insert(address, Listens::Service(RUNTIMES + m, seat));
        }
        self.listeners.insert(mgmt, Listens::Operators(m, life));
        self.net.borrow_mut().unlisten(runtimes[1]);
        self.places[RUNTIMES + m].listen(runtimes[0]);
        let options = self.options(m, seat, parties);
        let memory_kb = options.settings.memory_kb;
        let (desk, shelf) = (Rc::clone(&world.desk), Rc::clone(&world.shelf));
        let parties = Rc::new(RefCell::new(parties));
        let read = Rc::clone(&parties);
        match Server::new(world, options, Box::new(move || Ok(*read.borrow()))) {
            Ok(node) => {
                let machine = &mut self.machines[m];
                if !beside {
                    (machine.left_at, machine.memory_kb) = (None, memory_kb);
                }
                machine.procs.push(Proc {
                    node,
                    life,
                    process,
                    seat,
                    mgmt,
                    which: 0,
                    parties,
                    desk,
                    shelf,
                    pending: false,
                    wake: Micros::MAX,
                    turns: (0, 0),
                    told_at: None,
                    started: self.net.borrow().now,
                });
                self.turn_soon(m, life);
                self.note(|| format!("m{m} starts, life {life}"));
            }
            // One that found no way to be met ends, and the one that serves goes on.
            Err(e) if beside && e.kind() == std::io::ErrorKind::AddrInUse => {
                self.listeners.remove(&mgmt);
                self.meet("a new process that met nobody ends");
            }
            Err(e) => self.broken.push(format!("m{m} can't start: {e}")),
        }
    }

    /// Who gets a place.
    fn admission(&self) -> Option<Admitting> {
        let (per_second, burst) = (f64::from(crowd::RATE.0), f64::from(crowd::RATE.1));
        let (named, address, earned) = match self.plan.places {
            Places::FirstCome => return None,
            Places::Named => {
                let cap = ConnectionLimits {
                    slots: None,
                    rate: Some(RateLimit { per_second, burst }),
                };
                (
                    vec![AddressPrefix::containing(self.net.borrow().address(), 32)],
                    cap,
                    None,
                )
            }
            Places::Earned => {
                let points = crowd::POINTS as f64;
                let earned = ReputationSettings {
                    known_threshold: points,
                    half_life: 600 * SECOND,
                    max_addresses: 100,
                    max_addresses_per_prefix: 4,
                };
                (Vec::new(), ConnectionLimits::default(), Some(earned))
            }
        };
        let prefix_lengths = PrefixLengths { ipv4: 24, ipv6: 64 };
        let seed = self.plan.seed;
        Some(Admitting {
            allowlist: named,
            reserved_share: 0.3,
            address_limits: address,
            prefix_limits: ConnectionLimits::default(),
            prefix_lengths,
            reputation: earned,
            sketch_width: 4_096,
            seed,
        })
    }

    pub(crate) fn turn_soon(&mut self, m: usize, life: u64) {
        let Some(process) = self.machines[m].find(life) else {
            return;
        };
        if !std::mem::replace(&mut process.pending, true) {
            let mut net = self.net.borrow_mut();
            let now = net.now;
            net.queue.push(now, Event::Server(m, life));
        }
    }

    /// A machine that stood still goes on.
    pub(crate) fn resume(&mut self, m: usize) {
        let again = |process: &mut Proc| {
            process.pending = false;
            process.life
        };
        let lives: Vec<_> = self.machines[m].procs.iter_mut().map(again).collect();
        lives.into_iter().for_each(|life| self.turn_soon(m, life));
    }

    pub(crate) fn turn(&mut self, m: usize, life: u64) {
        let now = self.now();
        let paused = self.machines[m].paused.is_some();
        let Some(process) = self.machines[m].find(life) else {
            return;
        };
        // What was scheduled before something else came up is out of date.
        if paused || !(process.pending || now >= process.wake) {
            return;
        }
        (process.pending, process.wake) = (false, Micros::MAX);
        process.turns = if process.turns.0 == now {
            (now, process.turns.1 + 1)
        } else {
            (now, 0)
        };
        let told =
            tracing::info_span!("process", m, life, at = (now - BEGIN) as f64 / 1e6).entered();
        let next = process.node.poll();
        drop(told);
        if let Some(fault) = process.node.take_error() {
            // A new process that can't have its sockets ends, and the one that serves goes on.
            if self
                .rollouts
                .iter()
                .any(|rollout| rollout.new == life && rollout.told_at.is_none())
            {
                self.meet("a new process without descriptors ends");
                return self.remove(m, life);
            }
            self.broken.push(format!("m{m} can't go on: {fault}"));
            return;
        }
        if process.node.is_finished() {
            process.node.close();
            self.leave(m, life);
            return;
        }
        if process.turns.1 > SPIN {
            self.broken.push(format!("m{m} loops at full speed"));
            return;
        }
        let next = next.max(now);
        (process.wake, process.pending) = (next, false);
        self.net
            .borrow_mut()
            .queue
            .push(next, Event::Server(m, life));
    }

    /// A process is gone, with all that it held.
    pub(crate) fn remove(&mut self, m: usize, life: u64) {
        let now = self.now();
        let machine = &mut self.machines[m];
        let Some(place) = machine
            .procs
            .iter()
            .position(|process| process.life == life)
        else {
            return;
        };
        let process = machine.procs.remove(place);
        machine.alone_since = now;
        process.desk.borrow().abandon();
        process.shelf.borrow().abandon();
        self.listeners.remove(&process.mgmt);
        // Its sockets close now, and not in the middle of anything.
        drop(process);
    }

    /// A process that was told to leave has ended.
    fn leave(&mut self, m: usize, life: u64) {
        let now = self.now();
        let told = self.machines[m]
            .find(life)
            .is_some_and(|process| process.told_at.is_some());
        self.remove(m, life);
        self.note(|| format!("m{m} has left, life {life}"));
        let machine = &mut self.machines[m];
        if !machine.procs.is_empty() {
            self.meet("left to its successor");
            return;
        }
        // One whose successor died after it was told leaves all the same: it will be killed.
        if machine.left_at.is_none() && !told {
            self.broken.push(format!(
                "m{m} has ended without a successor, and was not told to"
            ));
            return;
        }
        machine.ended_at = now;
        let life = machine.life;
        self.meet("left");
        let runtime = self.new_runtime(m, now + 300 * MS);
        self.machines[m].runtime = runtime;
        self.net
            .borrow_mut()
            .queue
            .push(now + 300 * MS, Event::Revive(m, life));
    }

    /// A runtime that comes up then, with the books of the one before it.
    pub(crate) fn new_runtime(&mut self, m: usize, since: Micros) -> Runtime {
        let machine = &mut self.machines[m];
        let mut runtime = self
            .setup
            .runtime(self.plan.seed ^ m as u64 ^ machine.life << 20, since);
        runtime.seen = std::mem::take(&mut machine.runtime.seen);
        runtime
    }

    pub(crate) fn keep(&mut self, m: usize, life: u64) {
        let now = self.now();
        // What a process that is gone had asked for is not done by the next.
        let Some(process) = self.machines[m].find(life) else {
            return;
        };
        let mut facts = Vec::new();
        let again = process.desk.borrow_mut().work(now, &mut facts);
        facts
            .into_iter()
            .for_each(|fact| process.node.on_persistence_event(fact));
        if let Some(at) = again {
            self.net
                .borrow_mut()
                .queue
                .push(at, Event::ResultPersistence(m, life));
        }
        self.turn_soon(m, life);
    }

    /// The book of earned standing of a process has something to do.
    pub(crate) fn shelve(&mut self, m: usize, life: u64) {
        let now = self.now();
        let Some(process) = self.machines[m].find(life) else {
            return;
        };
        let again = process.shelf.borrow_mut().work(now);
        let remembered = std::mem::take(&mut process.shelf.borrow_mut().remembered);
        process.node.on_reputation_loaded(&remembered);
        if let Some(at) = again {
            self.net.borrow_mut().queue.push(at, Event::Shelf(m, life));
        }
    }

    /// All processes of a machine die, and its runtime with them or not.
    pub(crate) fn crash(&mut self, m: usize, down: Micros, runtime: bool) {
        let now = self.now();
        if self.machines[m].procs.is_empty() {
            return;
        }
        if self.machines[m]
            .procs
            .iter()
            .any(|process| process.node.usage().active_key_runs > 0)
        {
            self.meet("crash between intent and result");
        }
        self.fronts.iter_mut().for_each(|front| front.excuse(m));
        let seed = self.plan.seed ^ now;
        let lives: Vec<_> = self.machines[m]
            .procs
            .iter()
            .map(|process| process.life)
            .collect();
        lives.into_iter().for_each(|life| self.remove(m, life));
        self.rollouts.retain(|rollout| rollout.machine != m);
        let machine = &mut self.machines[m];
        (machine.ended_at, machine.paused) = (now, None);
        machine.disk = machine.disk.after_crash(seed);
        machine.book.0 = machine.book.0.after_crash(seed);
        let life = machine.life;
        if runtime {
            let fresh = self.new_runtime(m, now + down);
            self.machines[m].runtime = fresh;
        }
        self.net
            .borrow_mut()
            .queue
            .push(now + down, Event::Revive(m, life));
    }

    /// The matcher is told to leave, without a successor.
    pub(crate) fn drain(&mut self, m: usize) {
        let now = self.now();
        let slow = self.machines[m].runtime.slowing > 2.0;
        let stalled = self.rude.stalled.values().any(|on| *on == m);
        let machine = &mut self.machines[m];
        // A process that stands still hears of nothing: the notice would come with its next turn.
        let told = machine
            .procs
            .last()
            .is_some_and(|process| process.told_at.is_some());
        if machine.procs.len() != 1 || told || machine.left_at.is_some() || machine.paused.is_some()
        {
            return;
        }
        machine.left_at = Some(now);
        let life = machine.procs[0].life;
        self.tell(m, life, Server::begin_shutdown);
        if slow {
            self.meet("told to leave while several times slower");
        }
        if stalled {
            self.meet("a stalled body at the drain");
        }
    }

    /// A new configuration for the process that was started last: its runtime moves to another address.
    pub(crate) fn reload(&mut self, m: usize) {
        let now = self.now();
        let machine = &mut self.machines[m];
        machine.reloaded_at = now;
        let Some(process) = machine.newest() else {
            return;
        };
        let runtimes = runtimes_of(m, process.seat);
        let old = runtimes[process.which];
        process.which ^= 1;
        let (new, life) = (runtimes[process.which], process.life);
        process.parties.borrow_mut().runtime = new;
        self.net.borrow_mut().unlisten(old);
        self.places[RUNTIMES + m].listen(new);
        self.tell(m, life, Server::reload);
    }

    fn options(&self, m: usize, seat: usize, parties: ServiceAddresses) -> Options {
        let machine = &self.machines[m];
        // The stand-ins' settings are read by the program's own reader.
        let mut value = self.setup.settings();
        if machine.renewed {
            // So little that memory is what bounds it.
            value["specifics"]["memory_kb"] = (f64::from(self.plan.cores) * 400.0).into();
            value["specifics"]["advert"] = "none".into();
        }
        let boot: SettingsDocument =
            serde_json::from_value(value).unwrap_or_else(|e| panic!("settings: {e}"));
        let (class_names, gauge_names) = (boot.class_names(), boot.gauge_names());
        let mut settings = boot.into_settings();
        settings.cold_start = machine.life > 1 && machine.procs.is_empty();
        let once: Vec<bool> = settings
            .classes
            .iter()
            .map(|class| class.effect != ClassEffect::Idempotent)
            .collect();
        let route = |(class, name): (usize, &String)| ClassRoute {
            path: format!("/{name}"),
            methods: vec!["POST".to_owned()],
            class,
        };
        let table = ClassTable::new(class_names.iter().enumerate().map(route).collect());
        let header = |name: &str| Some(ParameterSource::Header(name.to_owned()));
        let default = |once: &bool| ParameterDefaults {
            expected_work: 0,
            memory_kb: 20.0,
            rank: 0.5,
            caller: 0,
            requires_id: *once,
        };
        let ajp = AjpSettings {
            secret: None,
            packet_size: 8_192,
            max_body_bytes: 2_048,
            packet_timeout: 2 * SECOND,
            body_timeout: 1_500 * MS,
            idle_timeout: 30 * SECOND,
            // The paths are plain and differ.
            class_table: table.unwrap_or_else(|(_, what)| panic!("routes: {what}")),
            class_lookup: None,
            parameter_sources: ParameterSources {
                id: header("X-Request-Id"),
                received_at_ms: header("X-Door"),
                work_ms: header("X-Work-Ms"),
                rank: header("X-Rank"),
                caller: header("X-Caller"),
                key: header("Idempotency-Key"),
                ..ParameterSources::default()
            },
            parameter_defaults: once.iter().map(default).collect(),
            id_seed: self.plan.seed,
        };
        let bounds = KeyTableOptions {
            max_entries: if machine.renewed { 300 } else { 20_000 },
            max_result_bytes: 10_000_000,
            deduplication_window: self.plan.window,
            stall_timeout: 100 * MS,
            hash_seed: self.plan.seed,
        };
        Options {
            name: format!("m{m}"),
            listen: machine.frames,
            management: Some(mgmt_of(m, seat)),
            shares_listener: false,
            handover_folder: Some(PathBuf::new()),
            services: parties,
            seed: self.plan.seed ^ machine.life.rotate_left(32) ^ m as u64,
            shutdown_time: STOP,
            max_descriptors: self.plan.sockets,
            class_names,
            gauge_names,
            settings,
            ajp: Some(AjpOptions {
                listen: vec![machine.ajp],
                trusted_proxies: vec![self.net.borrow().address()],
                settings: ajp,
            }),
            dependency_protocol: DependencyProtocol::Http,
            idempotency: Some(IdempotencyOptions {
                is_durable: true,
                folder: PathBuf::new(),
                classes: once,
                required: false,
                scope: KeyOwner::PerCaller,
                capacity: bounds,
                key_entry_kb: 0.2,
                key_frame_field: Some(FIELD.to_owned()),
            }),
            connection_admission: self.admission(),
            reputation_folder: Some(PathBuf::new()),
            tls: None,
        }
    }
}
