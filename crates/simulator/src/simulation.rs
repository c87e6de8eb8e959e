//! The whole simulation: matchers, the services that they use, and front ends on one virtual clock,
//! with the faults of a plan and the rules checked after each step.

use crate::front_end::FrontEnd;
use crate::host::{ConnectionOwner, Event, SharedNetwork, ALL_READY};
use crate::machine::{virtual_address, Machine};
use crate::metrics_poller::MetricsPoller;
use crate::misbehaving_clients::MisbehavingClients;
use crate::network::{Network, Notification};
use crate::plan::Plan;
use crate::rollout::Rollout;
use crate::rules::Rules;
use crate::service_endpoint::ServiceEndpoint;
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
/// Start of every simulation: far from 0, as a Unix clock is.
pub(crate) const START_TIME: Micros = 1_764_576_000 * SECOND;
/// Time from the notice to shut down to the end of the process, and the drain grace.
pub(crate) const SHUTDOWN_TIME: Micros = 1_500 * MS;
pub(crate) const DRAIN_GRACE: Micros = 800 * MS;
/// Time in which everything comes to rest after the last request and the last fault.
const SETTLE_TIME: Micros = 6 * SECOND;

/// Interval of the metrics requests to each process.
const METRICS_INTERVAL: Micros = 250 * MS;

pub(crate) const STORE: usize = 0;
pub(crate) const DIRECTORY: usize = 1;
pub(crate) const MISBEHAVING_CLIENTS: usize = 2;
pub(crate) const METRICS_POLLER: usize = 3;
pub(crate) const FIRST_RUNTIME: usize = 4;

/// One simulation.
pub struct Simulation {
    pub(crate) plan: Plan,
    pub(crate) setup: Setup,
    pub(crate) net: SharedNetwork,
    pub(crate) machines: Vec<Machine>,
    pub(crate) front_ends: Vec<FrontEnd>,
    pub(crate) store: Store,
    directory: ServiceRegistry,
    pub(crate) misbehaving_clients: MisbehavingClients,
    pub(crate) metrics_poller: MetricsPoller,
    pub(crate) rollouts: Vec<Rollout>,
    pub(crate) endpoints: Vec<ServiceEndpoint>,
    pub(crate) listeners: BTreeMap<SocketAddr, ListenerOwner>,
    pub(crate) random: SmallRng,
    pub(crate) violations: Vec<String>,
    pub(crate) base_rates: Vec<f64>,
    descriptor_exhaustions: u64,
    /// Digest of the events.
    digest: xxhash_rust::xxh3::Xxh3,
    events: u64,
    /// Lines of the trace, if one is wanted.
    pub trace: Option<Vec<String>>,
    /// How often each coverage point was reached.
    pub coverage: BTreeMap<&'static str, u64>,
}

/// Owner of a listening address.
#[derive(Clone, Copy)]
pub(crate) enum ListenerOwner {
    /// A matcher's processes, with the number of their listener.
    Server(usize, usize),
    /// Management endpoint of a matcher's process, by its incarnation.
    Management(usize, u64),
    /// A service, with the number of its listener.
    Service(usize, usize),
}

/// Result of a simulation.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Violated rules, with their times.
    pub violations: Vec<String>,
    /// Digest of all events.
    pub digest: u64,
    /// Simulated time that passed.
    pub simulated: Micros,
    /// Number of events.
    pub events: u64,
    /// Numbers of attempts: sent, served, rejected, failed or lost, unreachable.
    pub counts: [u64; 5],
    /// How often each coverage point was reached.
    pub coverage: BTreeMap<&'static str, u64>,
}

impl Simulation {
    /// Creates a simulation at its start.
    ///
    /// # Panics
    /// If the program can't read the emulators' settings.
    #[must_use]
    pub fn new(plan: Plan, trace: bool) -> Self {
        let setup = Setup {
            cores: plan.cores,
            seed: plan.seed,
            stop_timeout: SHUTDOWN_TIME,
            drain_grace: DRAIN_GRACE,
            ..Setup::default()
        };
        let mut net = Network::new(START_TIME, plan.seed, Event::Network);
        net.partial_io = plan.partial_io;
        let net: SharedNetwork = Rc::new(RefCell::new(net));
        let mut listeners = BTreeMap::new();
        let number = FIRST_RUNTIME + plan.matchers + plan.habits.len();
        let mut endpoints: Vec<ServiceEndpoint> = (0..number)
            .map(|n| ServiceEndpoint::new(Rc::clone(&net), n))
            .collect();
        let (store_address, directory_address) =
            (virtual_address(1, 9_042), virtual_address(1, 7_946));
        for (endpoint, address) in [(STORE, store_address), (DIRECTORY, directory_address)] {
            endpoints[endpoint].listen(address);
            listeners.insert(address, ListenerOwner::Service(endpoint, 0));
        }
        let mut machines = Vec::new();
        for m in 0..plan.matchers {
            let runtime = setup.runtime(plan.seed ^ m as u64, START_TIME - 3_600 * SECOND);
            let machine = Machine::new(m, runtime);
            listeners.insert(machine.frame_address, ListenerOwner::Server(m, 0));
            listeners.insert(machine.ajp_address, ListenerOwner::Server(m, 1));
            machines.push(machine);
        }
        let to: Vec<_> = machines
            .iter()
            .map(|machine| (machine.frame_address, machine.ajp_address))
            .collect();
        let all = setup.capacity() * plan.matchers as f64 * plan.load / plan.habits.len() as f64;
        let span = (START_TIME + 200 * MS, START_TIME + plan.request_duration);
        let front_end = |(n, habit): (usize, &crate::front_end::Habit)| {
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
        let front_ends: Vec<_> = plan.habits.iter().enumerate().map(front_end).collect();
        let base_rates = front_ends.iter().map(|front_end| front_end.rate).collect();
        for (i, planned) in plan.faults.iter().enumerate() {
            net.borrow_mut()
                .queue
                .push(START_TIME + planned.at, Event::FaultStart(i));
        }
        let mut sim = Self {
            random: SmallRng::seed_from_u64(plan.seed ^ 0xFA17),
            store: Store::new(setup.store.clone()),
            directory: ServiceRegistry::default(),
            misbehaving_clients: MisbehavingClients::default(),
            metrics_poller: MetricsPoller::default(),
            rollouts: Vec::new(),
            violations: Vec::new(),
            digest: xxhash_rust::xxh3::Xxh3::new(),
            trace: trace.then(Vec::new),
            coverage: BTreeMap::new(),
            events: 0,
            descriptor_exhaustions: 0,
            plan,
            setup,
            net,
            machines,
            front_ends,
            endpoints,
            listeners,
            base_rates,
        };
        if trace {
            sim.front_ends
                .iter_mut()
                .for_each(|front_end| front_end.new_attempts = Some(Vec::new()));
        }
        for m in 0..sim.machines.len() {
            sim.start(m);
        }
        for n in 0..sim.front_ends.len() {
            let endpoint = FIRST_RUNTIME + sim.machines.len() + n;
            sim.endpoints[endpoint].schedule(&sim.front_ends[n]);
        }
        sim.net
            .borrow_mut()
            .queue
            .push(START_TIME + METRICS_INTERVAL, Event::PollMetrics);
        sim
    }

    pub(crate) fn now(&self) -> Micros {
        self.net.borrow().now
    }

    pub(crate) fn record_trace(&mut self, text: impl FnOnce() -> String) {
        let now = self.net.borrow().now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!(
                "{:10.6}  {}",
                (now - START_TIME) as f64 / 1e6,
                text()
            ));
        }
    }

    pub(crate) fn record_coverage(&mut self, action: &'static str) {
        *self.coverage.entry(action).or_default() += 1;
    }

    /// Runs the simulation to its end.
    #[must_use]
    pub fn run(mut self) -> (Outcome, Option<Vec<String>>) {
        let duration = |planned: &crate::plan::PlannedFault| planned.at + planned.duration;
        let last_end = self
            .plan
            .faults
            .iter()
            .map(duration)
            .max()
            .unwrap_or(0)
            .max(self.plan.request_duration);
        let end = START_TIME + last_end + SETTLE_TIME;
        let mut rules = Rules::new(&self.setup, self.trace.is_some());
        loop {
            let event = self.net.borrow_mut().queue.pop();
            let Some((at, event)) = event.filter(|(at, _)| *at <= end) else {
                break;
            };
            self.net.borrow_mut().now = at;
            self.events += 1;
            self.digest.update(&at.to_le_bytes());
            let action = self.handle(event);
            self.digest.update(&action.to_le_bytes());
            self.check(&mut rules);
            if !self.violations.is_empty() {
                break;
            }
        }
        if self.violations.is_empty() {
            self.net.borrow_mut().now = end;
            self.check_final_state();
        }
        let mut counts = [0; 5];
        for front_end in &self.front_ends {
            counts
                .iter_mut()
                .zip(front_end.counts)
                .for_each(|(sum, count)| *sum += count);
        }
        let violations = std::mem::take(&mut self.violations);
        if let Some(first) = violations.first().cloned() {
            self.record_trace(|| format!("VIOLATION: {first}"));
        }
        for (name, number) in rules.coverage {
            *self.coverage.entry(name).or_default() += number;
        }
        let descriptor_exhaustions = self.net.borrow().descriptor_exhaustions;
        if descriptor_exhaustions > 0 {
            *self.coverage.entry("no descriptor left").or_default() += descriptor_exhaustions;
        }
        let outcome = Outcome {
            seed: self.plan.seed,
            violations,
            digest: self.digest.digest(),
            simulated: self.now() - START_TIME,
            events: self.events,
            counts,
            coverage: self.coverage,
        };
        (outcome, self.trace)
    }

    /// Handles an event; returns a number that identifies it in the digest.
    fn handle(&mut self, event: Event) -> u64 {
        match event {
            Event::Network(event) => {
                let notification = self.net.borrow_mut().handle_event(event);
                match notification {
                    None => 0,
                    Some(Notification::Acceptable(address)) => {
                        match self.listeners.get(&address).copied() {
                            Some(ListenerOwner::Server(m, listener)) => {
                                self.notify_all(m, |server| server.on_acceptable(listener));
                            }
                            Some(ListenerOwner::Management(m, incarnation)) => {
                                self.notify(m, incarnation, |server| {
                                    server.on_acceptable(
                                        cleatpulley_server::management_endpoint::LISTENER_NUMBER,
                                    );
                                });
                            }
                            Some(ListenerOwner::Service(endpoint, listener)) => {
                                self.with_service(endpoint, |endpoint, service| {
                                    endpoint.on_acceptable(service, address, listener);
                                });
                            }
                            None => {}
                        }
                        1 << 32
                    }
                    Some(Notification::Ready(end)) => {
                        let owner = self.net.borrow().owner(end);
                        match ConnectionOwner::decode(owner) {
                            ConnectionOwner::Server(slot, socket_owner) => {
                                if let Some((m, incarnation)) = self.process_in_slot(slot) {
                                    self.notify(m, incarnation, |server| {
                                        server.on_readiness(socket_owner, ALL_READY);
                                    });
                                }
                            }
                            ConnectionOwner::Service(endpoint, link) => {
                                self.with_service(endpoint, |endpoint, service| {
                                    endpoint.on_ready(service, link);
                                });
                            }
                        }
                        owner
                    }
                }
            }
            Event::Server(m, incarnation) => {
                self.poll_process(m, incarnation);
                2 << 32 | m as u64
            }
            Event::HandoverChannel(m, incarnation) => {
                self.notify(m, incarnation, |server| {
                    server.on_acceptable(hot_restart::LISTENER_NUMBER);
                });
                8 << 32 | m as u64
            }
            Event::Rollout(m) => {
                self.check_rollouts(m);
                9 << 32 | m as u64
            }
            Event::PollMetrics => {
                self.poll_metrics();
                10 << 32
            }
            Event::Service(endpoint) => {
                self.with_service(endpoint, |endpoint, service| endpoint.advance(service));
                3 << 32 | endpoint as u64
            }
            Event::ResultPersistence(m, incarnation) => {
                self.run_persistence(m, incarnation);
                4 << 32 | m as u64
            }
            Event::ReputationStorage(m, incarnation) => {
                self.run_reputation_storage(m, incarnation);
                11 << 32 | m as u64
            }
            Event::FaultStart(i) => {
                self.start_fault(i);
                5 << 32 | i as u64
            }
            Event::FaultEnd(i) => {
                self.end_fault(i);
                6 << 32 | i as u64
            }
            Event::Restart(m, incarnation) => {
                if self.machines[m].incarnation == incarnation
                    && self.machines[m].processes.is_empty()
                {
                    self.start(m);
                }
                7 << 32 | m as u64
            }
        }
    }

    pub(crate) fn with_service(
        &mut self,
        endpoint: usize,
        action: impl FnOnce(&mut ServiceEndpoint, &mut dyn Service),
    ) {
        let first_front = FIRST_RUNTIME + self.machines.len();
        let service: &mut dyn Service = match endpoint {
            STORE => &mut self.store,
            DIRECTORY => &mut self.directory,
            MISBEHAVING_CLIENTS => &mut self.misbehaving_clients,
            METRICS_POLLER => &mut self.metrics_poller,
            _ if endpoint < first_front => &mut self.machines[endpoint - FIRST_RUNTIME].runtime,
            _ => &mut self.front_ends[endpoint - first_front],
        };
        action(&mut self.endpoints[endpoint], service);
    }

    /// Requests the metrics of each process, as long as front ends send requests.
    fn poll_metrics(&mut self) {
        let now = self.now();
        for m in 0..self.machines.len() {
            if self.machines[m].paused_since.is_some() {
                continue;
            }
            let processes: Vec<_> = self.machines[m]
                .processes
                .iter()
                .map(|p| (p.incarnation, p.management))
                .collect();
            for (incarnation, management) in processes {
                self.metrics_poller.request(m, incarnation, management);
            }
        }
        self.with_service(METRICS_POLLER, |endpoint, service| {
            endpoint.schedule(service);
        });
        if now < START_TIME + self.plan.request_duration {
            self.net
                .borrow_mut()
                .queue
                .push(now + METRICS_INTERVAL, Event::PollMetrics);
        }
    }

    fn check(&mut self, rules: &mut Rules) {
        rules.check(self);
        self.violations.append(&mut rules.violations);
        for text in rules.trace_lines.drain(..) {
            self.record_trace(|| text);
        }
        let descriptor_exhaustions = self.net.borrow().descriptor_exhaustions;
        if std::mem::replace(&mut self.descriptor_exhaustions, descriptor_exhaustions)
            != descriptor_exhaustions
            && self
                .machines
                .iter()
                .any(|machine| machine.drain_started_at.is_some() && !machine.processes.is_empty())
        {
            self.record_coverage("no descriptor left during a drain");
        }
    }

    /// Checks that nothing is left over once everything is at rest.
    fn check_final_state(&mut self) {
        for n in 0..self.front_ends.len() {
            if !self.front_ends[n].open.is_empty() {
                let open = self.front_ends[n].open.len();
                self.violations.push(format!(
                    "front end {n} waits for {open} responses after the simulation came to rest"
                ));
            }
        }
        for m in 0..self.machines.len() {
            let [process] = &self.machines[m].processes[..] else {
                let number = self.machines[m].processes.len();
                self.violations.push(format!(
                    "m{m} has {number} processes after the simulation came to rest"
                ));
                continue;
            };
            let usage = process.server.usage();
            let (held, known) = (
                self.net.borrow().held_descriptors(process.process),
                usage.descriptors,
            );
            let running = self.machines[m].runtime.running_count();
            let left = [
                (usage.requests, "known requests"),
                (usage.pending, "pending responses"),
                (usage.open_requests, "requests open on connections"),
                (usage.calls, "open calls"),
                (usage.active_key_runs, "active runs of keys"),
                (running, "active runs"),
                (
                    held.abs_diff(known),
                    "descriptors of difference to the known number",
                ),
            ];
            if running > 0 {
                let ids: Vec<_> = self.machines[m]
                    .runtime
                    .running_ids()
                    .iter()
                    .map(|id| format!("{id:016x}"))
                    .collect();
                self.record_trace(|| format!("m{m} still runs {}", ids.join(", ")));
            }
            for (number, description) in left {
                if number > 0 {
                    self.violations.push(format!(
                        "m{m}: {number} {description} after the simulation came to rest"
                    ));
                }
            }
        }
    }
}

impl Simulation {
    /// Ends the run of a request that is over, as the platform does: at its next call.
    pub(crate) fn request_over(&mut self, m: usize, id: u64) {
        let machine = &mut self.machines[m];
        self.endpoints[FIRST_RUNTIME + m].call(&mut machine.runtime, |runtime, now, out| {
            runtime.end_request(now, id, out);
        });
    }

    /// Returns true if a matcher's machine is paused.
    pub(crate) fn is_paused(&self, m: usize) -> bool {
        self.machines[m].paused_since.is_some()
    }

    /// Returns true if a matcher has had many free descriptors for longer than it waits after a
    /// failed accept.
    pub(crate) fn has_free_descriptors(&self, m: usize) -> bool {
        let machine = &self.machines[m];
        let short =
            |p: &crate::machine::ServerProcess| self.net.borrow().short_at(p.process) + 60 * MS;
        // During an upgrade two processes share the descriptors of one, and a crowd in the backlog
        // takes longer to accept.
        machine.processes.len() == 1
            && self.now() > machine.alone_since + SECOND
            && machine
                .processes
                .iter()
                .all(|process| self.now() > short(process))
    }

    /// Time since the start, for messages.
    pub(crate) fn elapsed(&self) -> Micros {
        self.now() - START_TIME
    }

    /// Endpoint of a front end.
    pub(crate) fn front_end_endpoint(&self, n: usize) -> &ServiceEndpoint {
        &self.endpoints[FIRST_RUNTIME + self.machines.len() + n]
    }

    /// Current virtual time.
    pub(crate) fn clock(&self) -> Micros {
        self.now()
    }
}
