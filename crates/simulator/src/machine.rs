//! A matcher's machine: its processes, their shared state, and their start and end.

use crate::admission_rules;
use crate::front_end::KEY_FIELD;
use crate::handover::HandoverState;
use crate::host::{Event, PersistenceWorker, StoreLock, VirtualHost};
use crate::plan::AdmissionMode;
use crate::reputation_storage::ReputationWorker;
use crate::simulation::{
    ListenerOwner, Simulation, FIRST_RUNTIME, MS, SECOND, SHUTDOWN_TIME, START_TIME,
};
use cleatpulley_connection_admission::address_prefix::{AddressPrefix, PrefixLengths};
use cleatpulley_connection_admission::rate_sketch::RateLimit;
use cleatpulley_connection_admission::reputation::ReputationSettings;
use cleatpulley_connection_admission::settings::ConnectionLimits;
use cleatpulley_connection_admission::Settings as AdmissionSettings;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope;
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

/// Maximum memory of the incomplete requests of a simulated server's clients, in bytes.
const MAX_BUFFERED_BYTES: usize = 32_000_000;
/// Polling a process this often at the same virtual time counts as a busy loop.
const MAX_POLLS_PER_INSTANT: u32 = 3_000;
/// Maximum number of processes of a machine that are distinguished at the same time.
const PROCESS_SLOTS: usize = 16;

/// Returns an address of the virtual network.
pub(crate) fn virtual_address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], port))
}

fn management_address(m: usize, address_index: usize) -> SocketAddr {
    virtual_address(10 + m as u8, 9_000 + address_index as u16)
}

/// The runtime's two addresses for a process; each reload moves it from one to the other.
fn runtime_addresses(m: usize, address_index: usize) -> [SocketAddr; 2] {
    let port = 7_300 + 2 * address_index as u16;
    [
        virtual_address(10 + m as u8, port),
        virtual_address(10 + m as u8, port + 1),
    ]
}

/// A process of a matcher.
pub(crate) struct ServerProcess {
    pub server: Server<VirtualHost>,
    pub incarnation: u64,
    /// Number of the process on the network, which counts its descriptors.
    pub process: usize,
    /// Index of its management and runtime addresses; each process that replaces a running one gets
    /// addresses of its own.
    pub address_index: usize,
    pub management: SocketAddr,
    runtime_index: usize,
    pub services: Rc<RefCell<ServiceAddresses>>,
    pub persistence: Rc<RefCell<PersistenceWorker>>,
    pub reputation: Rc<RefCell<ReputationWorker>>,
    /// A poll is scheduled at the current time.
    poll_pending: bool,
    wake_at: Micros,
    polls: (Micros, u32),
    /// When it was told to shut down in favour of its successor.
    pub shutdown_at: Option<Micros>,
    /// When it was started.
    pub started_at: Micros,
}

/// A matcher's machine.
pub(crate) struct Machine {
    number: usize,
    /// In the order of their starts.
    pub processes: Vec<ServerProcess>,
    /// Incarnation of the process that was started last.
    pub incarnation: u64,
    address_index: usize,
    pub frame_address: SocketAddr,
    pub ajp_address: SocketAddr,
    pub handover: Rc<RefCell<HandoverState>>,
    pub disk: SimulatedFolder,
    pub store_lock: StoreLock,
    /// Disk of the reputation database, and its lock.
    pub reputation_disk: (SimulatedFolder, StoreLock),
    pub paused_since: Option<Micros>,
    /// When the matcher was told to shut down without a successor.
    pub drain_started_at: Option<Micros>,
    /// When a process last ended other than by leaving to its successor.
    pub ended_at: Micros,
    /// Since when there has been at most one process.
    pub alone_since: Micros,
    /// When one of several processes was last killed.
    pub killed_at: Micros,
    /// When the last pause of the machine ended.
    pub resumed_at: Micros,
    pub reload_started_at: Micros,
    /// Time until which disk operations may fail.
    pub disk_trouble_until: Micros,
    /// The next process gets different settings.
    pub has_new_settings: bool,
    /// End of the current flood, and end of the current shortage of descriptors.
    pub trouble_until: (Micros, Micros),
    /// Memory limit of its settings.
    pub memory_kb: f64,
    pub runtime: Runtime,
}

impl Machine {
    pub(crate) fn new(m: usize, runtime: Runtime) -> Self {
        let host = 10 + m as u8;
        Self {
            number: m,
            processes: Vec::new(),
            incarnation: 0,
            address_index: 0,
            frame_address: virtual_address(host, 5_050),
            ajp_address: virtual_address(host, 8_009),
            handover: Rc::default(),
            disk: SimulatedFolder::default(),
            store_lock: StoreLock::default(),
            reputation_disk: Default::default(),
            paused_since: None,
            drain_started_at: None,
            ended_at: 0,
            alone_since: 0,
            killed_at: 0,
            resumed_at: 0,
            reload_started_at: 0,
            disk_trouble_until: 0,
            has_new_settings: false,
            trouble_until: (0, 0),
            memory_kb: 0.0,
            runtime,
        }
    }

    /// Records disk trouble until this time; persistence needs a little longer to recover.
    pub(crate) fn extend_disk_trouble(&mut self, until: Micros) {
        self.disk_trouble_until = self.disk_trouble_until.max(until + SECOND);
    }

    pub(crate) fn find(&mut self, incarnation: u64) -> Option<&mut ServerProcess> {
        self.processes
            .iter_mut()
            .find(|process| process.incarnation == incarnation)
    }

    /// The process that was started last, if it is alive.
    pub(crate) fn newest(&mut self) -> Option<&mut ServerProcess> {
        self.processes.last_mut()
    }

    pub(crate) fn slot(&self, incarnation: u64) -> usize {
        self.number * PROCESS_SLOTS + incarnation as usize % PROCESS_SLOTS
    }
}

impl Simulation {
    /// Returns machine and incarnation of the process in a slot.
    pub(crate) fn process_in_slot(&self, slot: usize) -> Option<(usize, u64)> {
        let machine = self.machines.get(slot / PROCESS_SLOTS)?;
        let process = machine
            .processes
            .iter()
            .find(|process| process.incarnation as usize % PROCESS_SLOTS == slot % PROCESS_SLOTS)?;
        Some((slot / PROCESS_SLOTS, process.incarnation))
    }

    /// Notifies a process and schedules a poll.
    pub(crate) fn notify(
        &mut self,
        m: usize,
        incarnation: u64,
        action: impl FnOnce(&mut Server<VirtualHost>),
    ) {
        if let Some(process) = self.machines[m].find(incarnation) {
            action(&mut process.server);
        }
        self.schedule_poll(m, incarnation);
    }

    /// Notifies all processes of a machine.
    pub(crate) fn notify_all(&mut self, m: usize, action: impl Fn(&mut Server<VirtualHost>)) {
        let incarnations: Vec<_> = self.machines[m]
            .processes
            .iter()
            .map(|process| process.incarnation)
            .collect();
        incarnations
            .into_iter()
            .for_each(|incarnation| self.notify(m, incarnation, &action));
    }

    /// Starts a process: at the addresses of the previous one, or at its own where that one still
    /// serves.
    pub(crate) fn start(&mut self, m: usize) {
        let is_replacement = !self.machines[m].processes.is_empty();
        let process = self.net.borrow_mut().add_process(self.plan.max_descriptors);
        let machine = &mut self.machines[m];
        machine.incarnation += 1;
        machine.address_index += usize::from(is_replacement);
        let (incarnation, address_index) = (machine.incarnation, machine.address_index);
        let runtimes = runtime_addresses(m, address_index);
        let management = management_address(m, address_index);
        let services = ServiceAddresses {
            runtime: runtimes[0],
            dependency: virtual_address(1, 9_042),
            registry: virtual_address(1, 7_946),
        };
        let host = VirtualHost {
            net: Rc::clone(&self.net),
            matcher: m,
            incarnation,
            slot: machine.slot(incarnation),
            handover: Rc::clone(&machine.handover),
            process,
            persistence: Rc::new(RefCell::new(PersistenceWorker::new(
                machine.disk.clone(),
                Rc::clone(&machine.store_lock),
                incarnation,
            ))),
            reputation: Rc::new(RefCell::new(ReputationWorker::new(
                machine.reputation_disk.0.clone(),
                Rc::clone(&machine.reputation_disk.1),
                incarnation,
            ))),
        };
        for address in runtimes {
            self.listeners.insert(
                address,
                ListenerOwner::Service(FIRST_RUNTIME + m, address_index),
            );
        }
        self.listeners
            .insert(management, ListenerOwner::Management(m, incarnation));
        self.net.borrow_mut().stop_listening(runtimes[1]);
        self.endpoints[FIRST_RUNTIME + m].listen(runtimes[0]);
        let options = self.options(m, address_index, services);
        let memory_kb = options.settings.memory_kb;
        let (persistence, reputation) = (Rc::clone(&host.persistence), Rc::clone(&host.reputation));
        let services = Rc::new(RefCell::new(services));
        let read = Rc::clone(&services);
        match Server::new(host, options, Box::new(move || Ok(*read.borrow()))) {
            Ok(server) => {
                let machine = &mut self.machines[m];
                if !is_replacement {
                    (machine.drain_started_at, machine.memory_kb) = (None, memory_kb);
                }
                machine.processes.push(ServerProcess {
                    server,
                    incarnation,
                    process,
                    address_index,
                    management,
                    runtime_index: 0,
                    services,
                    persistence,
                    reputation,
                    poll_pending: false,
                    wake_at: Micros::MAX,
                    polls: (0, 0),
                    shutdown_at: None,
                    started_at: self.net.borrow().now,
                });
                self.schedule_poll(m, incarnation);
                self.record_trace(|| format!("m{m} starts, incarnation {incarnation}"));
            }
            // A process that could not listen for successors ends, and the one that serves goes on.
            Err(e) if is_replacement && e.kind() == std::io::ErrorKind::AddrInUse => {
                self.listeners.remove(&management);
                self.record_coverage("new process ends without a listener for successors");
            }
            Err(e) => self.violations.push(format!("m{m} can't start: {e}")),
        }
    }

    /// Settings of connection admission.
    fn admission(&self) -> Option<AdmissionSettings> {
        let (per_second, burst) = (
            f64::from(admission_rules::ADDRESS_RATE_LIMIT.0),
            f64::from(admission_rules::ADDRESS_RATE_LIMIT.1),
        );
        let (allowlist, address, reputation) = match self.plan.admission {
            AdmissionMode::Unrestricted => return None,
            AdmissionMode::Allowlist => {
                let limits = ConnectionLimits {
                    slots: None,
                    rate: Some(RateLimit { per_second, burst }),
                };
                (
                    vec![AddressPrefix::containing(
                        self.net.borrow().front_end_address(),
                        32,
                    )],
                    limits,
                    None,
                )
            }
            AdmissionMode::Reputation => {
                let points = admission_rules::KNOWN_THRESHOLD_POINTS as f64;
                let reputation = ReputationSettings {
                    known_threshold: points,
                    half_life: 600 * SECOND,
                    max_addresses: 100,
                    max_addresses_per_prefix: 4,
                };
                (Vec::new(), ConnectionLimits::default(), Some(reputation))
            }
        };
        let prefix_lengths = PrefixLengths { ipv4: 24, ipv6: 64 };
        let seed = self.plan.seed;
        Some(AdmissionSettings {
            allowlist,
            reserved_share: 0.3,
            address_limits: address,
            prefix_limits: ConnectionLimits::default(),
            prefix_lengths,
            reputation,
            sketch_width: 4_096,
            seed,
        })
    }

    pub(crate) fn schedule_poll(&mut self, m: usize, incarnation: u64) {
        let Some(process) = self.machines[m].find(incarnation) else {
            return;
        };
        if !std::mem::replace(&mut process.poll_pending, true) {
            let mut net = self.net.borrow_mut();
            let now = net.now;
            net.queue.push(now, Event::Server(m, incarnation));
        }
    }

    /// Continues after a pause of the machine.
    pub(crate) fn resume(&mut self, m: usize) {
        let clear_pending = |process: &mut ServerProcess| {
            process.poll_pending = false;
            process.incarnation
        };
        let incarnations: Vec<_> = self.machines[m]
            .processes
            .iter_mut()
            .map(clear_pending)
            .collect();
        incarnations
            .into_iter()
            .for_each(|incarnation| self.schedule_poll(m, incarnation));
    }

    pub(crate) fn poll_process(&mut self, m: usize, incarnation: u64) {
        let now = self.now();
        let paused_since = self.machines[m].paused_since.is_some();
        let Some(process) = self.machines[m].find(incarnation) else {
            return;
        };
        // This event was scheduled before a later change; it is obsolete.
        if paused_since || !(process.poll_pending || now >= process.wake_at) {
            return;
        }
        (process.poll_pending, process.wake_at) = (false, Micros::MAX);
        process.polls = if process.polls.0 == now {
            (now, process.polls.1 + 1)
        } else {
            (now, 0)
        };
        let was_told = tracing::info_span!(
            "process",
            m,
            incarnation = incarnation,
            at = (now - START_TIME) as f64 / 1e6
        )
        .entered();
        let next = process.server.poll();
        drop(was_told);
        if let Some(fault) = process.server.take_error() {
            // A new process that can't open its sockets ends, and the one that serves goes on.
            if self
                .rollouts
                .iter()
                .any(|rollout| rollout.new == incarnation && rollout.shutdown_at.is_none())
            {
                self.record_coverage("new process ends without descriptors");
                return self.remove(m, incarnation);
            }
            self.violations.push(format!("m{m} failed: {fault}"));
            return;
        }
        if process.server.is_finished() {
            process.server.close();
            self.on_process_finished(m, incarnation);
            return;
        }
        if process.polls.1 > MAX_POLLS_PER_INSTANT {
            self.violations.push(format!("m{m} is in a busy loop"));
            return;
        }
        let next = next.max(now);
        (process.wake_at, process.poll_pending) = (next, false);
        self.net
            .borrow_mut()
            .queue
            .push(next, Event::Server(m, incarnation));
    }

    /// Removes a process that has ended, with all that it held.
    pub(crate) fn remove(&mut self, m: usize, incarnation: u64) {
        let now = self.now();
        let machine = &mut self.machines[m];
        let Some(index) = machine
            .processes
            .iter()
            .position(|process| process.incarnation == incarnation)
        else {
            return;
        };
        let process = machine.processes.remove(index);
        machine.alone_since = now;
        process.persistence.borrow().unlock();
        process.reputation.borrow().unlock();
        self.listeners.remove(&process.management);
        // Its sockets close here, when nothing of the simulation is borrowed.
        drop(process);
    }

    /// Handles the end of a process that was told to shut down.
    fn on_process_finished(&mut self, m: usize, incarnation: u64) {
        let now = self.now();
        let was_told = self.machines[m]
            .find(incarnation)
            .is_some_and(|process| process.shutdown_at.is_some());
        self.remove(m, incarnation);
        self.record_trace(|| format!("m{m} has shut down, incarnation {incarnation}"));
        let machine = &mut self.machines[m];
        if !machine.processes.is_empty() {
            self.record_coverage("shut down in favour of a successor");
            return;
        }
        // A process whose successor died after it was told to shut down ends all the same.
        if machine.drain_started_at.is_none() && !was_told {
            self.violations.push(format!(
                "m{m} ended without a successor or a shutdown notice"
            ));
            return;
        }
        machine.ended_at = now;
        let incarnation = machine.incarnation;
        self.record_coverage("left");
        let runtime = self.create_runtime(m, now + 300 * MS);
        self.machines[m].runtime = runtime;
        self.net
            .borrow_mut()
            .queue
            .push(now + 300 * MS, Event::Restart(m, incarnation));
    }

    /// Creates a runtime that is reachable from `since` on, with the records of the previous one.
    pub(crate) fn create_runtime(&mut self, m: usize, since: Micros) -> Runtime {
        let machine = &mut self.machines[m];
        let mut runtime = self
            .setup
            .runtime(self.plan.seed ^ m as u64 ^ machine.incarnation << 20, since);
        runtime.stats = std::mem::take(&mut machine.runtime.stats);
        runtime
    }

    pub(crate) fn run_persistence(&mut self, m: usize, incarnation: u64) {
        let now = self.now();
        // Jobs of a process that has ended are not done by the next one.
        let Some(process) = self.machines[m].find(incarnation) else {
            return;
        };
        let mut events = Vec::new();
        let next = process.persistence.borrow_mut().run_jobs(now, &mut events);
        events
            .into_iter()
            .for_each(|event| process.server.on_persistence_event(event));
        if let Some(at) = next {
            self.net
                .borrow_mut()
                .queue
                .push(at, Event::ResultPersistence(m, incarnation));
        }
        self.schedule_poll(m, incarnation);
    }

    /// Runs the reputation worker of a process.
    pub(crate) fn run_reputation_storage(&mut self, m: usize, incarnation: u64) {
        let now = self.now();
        let Some(process) = self.machines[m].find(incarnation) else {
            return;
        };
        let next = process.reputation.borrow_mut().run_jobs(now);
        let loaded = std::mem::take(&mut process.reputation.borrow_mut().loaded);
        process.server.on_reputation_loaded(&loaded);
        if let Some(at) = next {
            self.net
                .borrow_mut()
                .queue
                .push(at, Event::ReputationStorage(m, incarnation));
        }
    }

    /// Kills all processes of a machine, and its runtime if `runtime` is set.
    pub(crate) fn crash(&mut self, m: usize, down: Micros, runtime: bool) {
        let now = self.now();
        if self.machines[m].processes.is_empty() {
            return;
        }
        if self.machines[m]
            .processes
            .iter()
            .any(|process| process.server.usage().active_key_runs > 0)
        {
            self.record_coverage("crash between intent and result");
        }
        self.front_ends
            .iter_mut()
            .for_each(|front_end| front_end.excuse_links(m));
        let seed = self.plan.seed ^ now;
        let incarnations: Vec<_> = self.machines[m]
            .processes
            .iter()
            .map(|process| process.incarnation)
            .collect();
        incarnations
            .into_iter()
            .for_each(|incarnation| self.remove(m, incarnation));
        self.rollouts.retain(|rollout| rollout.machine != m);
        let machine = &mut self.machines[m];
        (machine.ended_at, machine.paused_since) = (now, None);
        machine.disk = machine.disk.after_crash(seed);
        machine.reputation_disk.0 = machine.reputation_disk.0.after_crash(seed);
        let incarnation = machine.incarnation;
        if runtime {
            let fresh = self.create_runtime(m, now + down);
            self.machines[m].runtime = fresh;
        }
        self.net
            .borrow_mut()
            .queue
            .push(now + down, Event::Restart(m, incarnation));
    }

    /// Tells the matcher to shut down without a successor.
    pub(crate) fn drain(&mut self, m: usize) {
        let now = self.now();
        let slow = self.machines[m].runtime.slowdown > 2.0;
        let stalled = self.misbehaving_clients.stalled.values().any(|on| *on == m);
        let machine = &mut self.machines[m];
        // A paused process does not receive the notice: it would arrive with the next poll.
        let was_told = machine
            .processes
            .last()
            .is_some_and(|process| process.shutdown_at.is_some());
        if machine.processes.len() != 1
            || was_told
            || machine.drain_started_at.is_some()
            || machine.paused_since.is_some()
        {
            return;
        }
        machine.drain_started_at = Some(now);
        let incarnation = machine.processes[0].incarnation;
        self.notify(m, incarnation, Server::begin_shutdown);
        if slow {
            self.record_coverage("shutdown while several times slower");
        }
        if stalled {
            self.record_coverage("stalled body during a drain");
        }
    }

    /// Reloads the configuration of the process that was started last: its runtime moves to another
    /// address.
    pub(crate) fn reload(&mut self, m: usize) {
        let now = self.now();
        let machine = &mut self.machines[m];
        machine.reload_started_at = now;
        let Some(process) = machine.newest() else {
            return;
        };
        let runtimes = runtime_addresses(m, process.address_index);
        let old = runtimes[process.runtime_index];
        process.runtime_index ^= 1;
        let (new, incarnation) = (runtimes[process.runtime_index], process.incarnation);
        process.services.borrow_mut().runtime = new;
        self.net.borrow_mut().stop_listening(old);
        self.endpoints[FIRST_RUNTIME + m].listen(new);
        self.notify(m, incarnation, Server::reload);
    }

    fn options(&self, m: usize, address_index: usize, services: ServiceAddresses) -> Options {
        let machine = &self.machines[m];
        // The emulators' settings go through the program's own parser.
        let mut value = self.setup.settings();
        if machine.has_new_settings {
            // Little enough that memory becomes the limit.
            value["specifics"]["memory_kb"] = (f64::from(self.plan.cores) * 400.0).into();
            value["specifics"]["advert"] = "none".into();
        }
        let document: SettingsDocument =
            serde_json::from_value(value).unwrap_or_else(|e| panic!("settings: {e}"));
        let (class_names, gauge_names) = (document.class_names(), document.gauge_names());
        let mut settings = document.into_settings();
        settings.cold_start = machine.incarnation > 1 && machine.processes.is_empty();
        let has_effect: Vec<bool> = settings
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
        let default = |has_effect: &bool| ParameterDefaults {
            expected_work: 0,
            memory_kb: 20.0,
            rank: 0.5,
            caller: 0,
            requires_id: *has_effect,
        };
        let ajp = AjpSettings {
            secret: None,
            packet_size: 8_192,
            max_body_bytes: 2_048,
            packet_timeout: 2 * SECOND,
            body_timeout: 1_500 * MS,
            idle_timeout: 30 * SECOND,
            // The paths are plain and distinct.
            class_table: table.unwrap_or_else(|(_, error)| panic!("routes: {error}")),
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
            parameter_defaults: has_effect.iter().map(default).collect(),
            id_seed: self.plan.seed,
        };
        let bounds = KeyTableOptions {
            max_entries: if machine.has_new_settings {
                300
            } else {
                20_000
            },
            max_result_bytes: 10_000_000,
            deduplication_window: self.plan.deduplication_window,
            stall_timeout: 100 * MS,
            hash_seed: self.plan.seed,
        };
        Options {
            name: format!("m{m}"),
            listen: machine.frame_address,
            management: Some(management_address(m, address_index)),
            shares_listener: false,
            handover_folder: Some(PathBuf::new()),
            services,
            seed: self.plan.seed ^ machine.incarnation.rotate_left(32) ^ m as u64,
            shutdown_time: SHUTDOWN_TIME,
            max_descriptors: self.plan.max_descriptors,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
            class_names,
            gauge_names,
            settings,
            ajp: Some(AjpOptions {
                listen: vec![machine.ajp_address],
                trusted_proxies: vec![self.net.borrow().front_end_address()],
                settings: ajp,
            }),
            dependency_protocol: DependencyProtocol::Http,
            idempotency: Some(IdempotencyOptions {
                is_durable: true,
                folder: PathBuf::new(),
                classes: has_effect,
                required: false,
                scope: KeyScope::PerCaller,
                capacity: bounds,
                key_entry_kb: 0.2,
                key_frame_field: Some(KEY_FIELD.to_owned()),
            }),
            connection_admission: self.admission(),
            reputation_folder: Some(PathBuf::new()),
            tls: None,
        }
    }
}
