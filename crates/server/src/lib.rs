//! The real matcher: one event loop, and the adapters round the [`Dispatcher`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod buffered_connection;
pub mod client_listener;
pub mod dependency_pool;
pub mod gossip;
mod handover_channel;
pub mod host;
pub mod hot_restart;
mod hot_restart_steps;
pub mod management_endpoint;
mod options;
pub mod os_host;
pub mod persistence_thread;
pub mod registry_client;
pub mod reputation_store;
pub mod runtime_link;
pub mod status_report;
pub mod tls_layer;

pub use options::{
    AjpOptions, IdempotencyOptions, Options, Reload, ServerUsage, ServiceAddresses, SocketOwner,
};
pub use os_host::serve;

use cleatpulley_connection_admission::Admission;
use cleatpulley_dispatcher::key_table::{Capacity, KeyTable};
use cleatpulley_dispatcher::{Command, Dispatcher, Event, IdempotencyKeys};
use cleatpulley_hot_restart::Held;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use cleatpulley_policy::interface::Settings;
use cleatpulley_protocol::frame::connection::Terms;
use cleatpulley_protocol::mgmt;
use host::{HandoverAddress, Host, Readiness, ReputationStorage as _, ResultPersistence};
use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// So shortly before the stop nobody is accepted any more.
const LAST_ACCEPT: Micros = 5_000;

/// Descriptors that are neither a front end's nor the store's: the loop's own, the listener, the link, the
/// directory, the log, and some to spare.
const SPARE: usize = 32;
/// Connections to the store are at most this share of the descriptors, and within these bounds: a matcher's share
/// of calls is far smaller, and front ends may open connections for half of the descriptors.
const STORE_SHARE: usize = 16;
const STORE: std::ops::RangeInclusive<usize> = 8..=64;
/// Before the stop front ends are told to send no more, while there is time to answer what is on its way.
const FAREWELL: Micros = 400_000;

/// A matcher in its world.
pub struct Server<H: Host> {
    world: H,
    reload: Reload,
    stop: Micros,
    exchange: Dispatcher,
    front: client_listener::ClientListener<H>,
    operators: Option<management_endpoint::ManagementEndpoint<H>>,
    name: String,
    class_names: Vec<String>,
    runtime: runtime_link::RuntimeLink<H>,
    store: dependency_pool::DependencyPool<H>,
    directory: registry_client::RegistryClient<H>,
    keeper: Option<H::ResultPersistence>,
    /// The folder and the bounds of what is kept.
    kept_in: Option<(PathBuf, Capacity, bool)>,
    /// Earned standing, where it is kept, for how many addresses, and when it is written next.
    standings: Option<H::ReputationStorage>,
    standings_in: Option<(PathBuf, usize)>,
    standings_at: Micros,
    /// When it tries again to listen.
    listen_at: Option<Micros>,
    /// Since when a successor takes clients, and whether it has the store of results.
    yielded: Option<(Micros, bool)>,
    facts: Vec<Event>,
    commands: Vec<Command>,
    /// When the process is stopped, once the notice to leave has come.
    stop_at: Option<Micros>,
    shares_listener: bool,
    upgrade: Option<hot_restart::HotRestart<H>>,
    /// Connections of the client side that it may hold, where no other process holds any.
    most: usize,
    /// What the process whose place it has taken still has of the machine.
    beside: Held,
    /// The longest that a caller waits.
    longest: Micros,
    /// Another process had its place when it was told to leave.
    succeeded: bool,
    /// It goes on with what its predecessor had learned.
    learned: bool,
    fault: Option<io::Error>,
    /// When the runtime came up, as it last said.
    up_since: Option<Micros>,
    /// TLS, where it is spoken.
    tls: Option<Rc<RefCell<tls_layer::TlsState>>>,
    /// The speed of a cold runtime, as a share, and when it is warm.
    warming: (f64, Micros),
}

impl<H: Host> Server<H> {
    /// A matcher that listens.
    ///
    /// # Errors
    /// When a listening socket or a keeper can't be had.
    pub fn new(world: H, options: Options, reload: Reload) -> io::Result<Self> {
        let calls = (options.max_descriptors / STORE_SHARE).clamp(*STORE.start(), *STORE.end());
        let asked = options
            .management
            .map_or(0, |_| management_endpoint::PLACES + 1);
        let most = options
            .max_descriptors
            .saturating_sub(SPARE + calls + asked)
            .max(1);
        let mut front =
            client_listener::ClientListener::new(world.clone(), options.class_names.clone(), most);
        let earned = options
            .connection_admission
            .as_ref()
            .and_then(|admission| admission.earned);
        let standings_in = options
            .reputation_folder
            .zip(earned)
            .map(|(folder, earned)| (folder, earned.most));
        if let Some(settings) = options.connection_admission {
            front.set_admission(Admission::new(settings, world.now()));
        }
        let tls = options
            .tls
            .map(|tls| tls_layer::TlsState::new(tls, world.now()))
            .transpose();
        let tls = tls
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?
            .map(|tls| Rc::new(RefCell::new(tls)));
        if let Some(tls) = &tls {
            front.set_tls(world.now(), Rc::clone(tls));
        }
        let key_field = options
            .idempotency
            .as_ref()
            .and_then(|results| results.key_frame_field.clone());
        let terms = Rc::new(Terms {
            key_field,
            cancels: options.settings.reports_abandonment,
        });
        let mut doors = vec![(
            options.listen,
            client_listener::FrontProtocol::Frames(terms),
        )];
        if let Some(ajp) = options.ajp {
            let (settings, trusted) = (Rc::new(ajp.settings), Rc::new(ajp.trusted));
            let speaks =
                |_| client_listener::FrontProtocol::Ajp(Rc::clone(&settings), Rc::clone(&trusted));
            doors.extend(ajp.listen.iter().map(|address| (*address, speaks(()))));
        }
        let mut upgrade = options.handover_folder.map(|folder| {
            let meeting = HandoverAddress {
                folder,
                name: options.name.clone(),
                address: options.listen,
            };
            let listen: Vec<_> = doors.iter().map(|(address, _)| *address).collect();
            hot_restart::HotRestart::new(world.clone(), meeting, &listen)
        });
        let alone = upgrade.as_ref().is_none_or(hot_restart::HotRestart::serves);
        for (n, (address, speaks)) in doors.into_iter().enumerate() {
            if !alone {
                front.pause_accepting();
                front.add_expected_listener(address, speaks);
                continue;
            }
            // Guards against a stranger on the address, which it would else be shared with: a process whose place could be taken
            // would have been met.
            if upgrade.as_ref().is_some_and(|upgrade| !upgrade.is_unmet())
                && world.is_address_in_use(address)
            {
                let what =
                    format!("listen: {address}: somebody listens there, and passes nothing on");
                return Err(io::Error::new(io::ErrorKind::AddrInUse, what));
            }
            let listened = front.listen(address, speaks);
            let address = listened
                .map_err(|e| io::Error::new(e.kind(), format!("listen: {address}: {e}")))?;
            // Not among the line's arguments: those are not looked at where the log's level leaves the line out.
            tracing::info!(
                "{} {} {address}",
                options.name,
                if n == 0 {
                    "listens on"
                } else {
                    "speaks AJP on"
                }
            );
            if let Some(upgrade) = upgrade.as_mut().filter(|_| n == 0) {
                upgrade.listen_for_successors(address);
            }
        }
        let mut operators = options
            .management
            .map(|address| management_endpoint::ManagementEndpoint::listen(world.clone(), address))
            .transpose()?;
        if let (Some(operators), Some(tls)) = (
            &mut operators,
            tls.as_ref().filter(|tls| tls.borrow().options().mgmt),
        ) {
            operators.set_tls(Rc::clone(tls));
        }
        let longest = options
            .settings
            .classes
            .iter()
            .map(|class| class.client_timeout)
            .max()
            .unwrap_or(0);
        let warming = (
            options.settings.cold_start_speed,
            options.settings.warm_up_time,
        );
        let mut kept_in = None;
        let (exchange, keeper) = match options.idempotency {
            None => (Dispatcher::new(options.settings, options.seed), None),
            Some(results) => {
                let IdempotencyOptions {
                    classes,
                    required,
                    scope: owner,
                    capacity: bounds,
                    key_entry_kb: entry_kb,
                    is_durable: lasting,
                    ..
                } = results;
                kept_in = Some((results.folder.clone(), bounds, lasting));
                // A process that takes another's place has the store once that one has let go of it.
                let keeper = alone
                    .then(|| {
                        world.open_result_persistence(results.folder, bounds.hash_seed, lasting)
                    })
                    .transpose()?;
                let keys = IdempotencyKeys::new(classes, required, owner, KeyTable::new(bounds));
                let settings = Settings {
                    key_entry_kb: entry_kb,
                    ..options.settings
                };
                (Dispatcher::with_keys(settings, options.seed, keys), keeper)
            }
        };
        let ServiceAddresses {
            runtime,
            dependency: store,
            registry: lookup,
        } = options.services;
        let (classes, gauges) = (options.class_names, options.gauge_names);
        let mut node = Self {
            reload,
            stop: options.shutdown_time,
            exchange,
            front,
            operators,
            name: options.name.clone(),
            class_names: classes.clone(),
            runtime: runtime_link::RuntimeLink::new(world.clone(), runtime, classes, gauges),
            store: dependency_pool::DependencyPool::new(
                world.clone(),
                store,
                options.dependency_protocol,
                calls,
            ),
            directory: registry_client::RegistryClient::new(world.clone(), lookup, &options.name),
            keeper,
            kept_in,
            standings: None,
            standings_in,
            standings_at: 0,
            listen_at: None,
            yielded: None,
            facts: Vec::new(),
            commands: Vec::new(),
            stop_at: None,
            shares_listener: options.shares_listener,
            upgrade,
            most,
            beside: Held::default(),
            longest,
            succeeded: false,
            learned: false,
            fault: None,
            up_since: None,
            tls,
            warming,
            world,
        };
        if alone {
            node.open_standings();
        }
        Ok(node)
    }

    /// The time in its world.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.world.now()
    }

    /// What it holds at this moment.
    #[must_use]
    pub fn usage(&self) -> ServerUsage {
        let (listeners, connections, open) = self.front.usage();
        let (calls, pool) = self.store.usage();
        let asked = self
            .operators
            .as_ref()
            .map_or(0, |operators| operators.connection_count() + 1);
        let passes = self
            .upgrade
            .as_ref()
            .map_or(0, hot_restart::HotRestart::descriptors);
        let links = usize::from(self.runtime.is_connected())
            + self.directory.connection_count()
            + self.front.reserved_descriptors();
        ServerUsage {
            requests: self.exchange.request_count(),
            pending: self.exchange.pending_count(),
            active_key_runs: self
                .exchange
                .key_table()
                .map_or(0, cleatpulley_dispatcher::key_table::KeyTable::active_runs),
            open_requests: open,
            calls,
            descriptors: listeners + connections + pool + links + asked + passes,
            client_connections: connections,
            dependency_connections: pool,
            management_connections: asked,
        }
    }

    /// Closes what it keeps; nothing is to be served any more.
    pub fn close(&mut self) {
        let held = self.held();
        if let Some(upgrade) = &mut self.upgrade {
            upgrade.shutdown(held);
        }
        match self.keeper.take() {
            // Another process may take this one's place, or has it: its keys are the matcher's.
            Some(keeper) if self.upgrade.is_some() => keeper.stop(),
            Some(keeper) => keeper.discard(),
            None => {}
        }
        self.write_standings(self.world.now());
        if let Some(standings) = self.standings.take() {
            standings.stop();
        }
    }

    /// The event loop saw something on a connection.
    pub fn on_readiness(&mut self, party: SocketOwner, readiness: Readiness) {
        match party {
            SocketOwner::ClientConnection(number) => self.front.on_readiness(number, readiness),
            SocketOwner::Runtime => self.runtime.on_readiness(readiness),
            SocketOwner::Dependency(number) => self.store.on_readiness(number, readiness),
            SocketOwner::Registry(number) => self.directory.on_readiness(number, readiness),
            SocketOwner::Management(number) => {
                if let Some(operators) = &mut self.operators {
                    operators.on_readiness(number, readiness);
                }
            }
            // Whatever came from there is read in every turn.
            SocketOwner::Predecessor | SocketOwner::Successor | SocketOwner::GatewayTarget(_) => {}
        }
    }

    /// The keeper of results has something to say.
    pub fn on_persistence_event(&mut self, fact: Event) {
        self.facts.push(fact);
    }

    /// The event loop saw new connections.
    pub fn on_acceptable(&mut self, listener: usize) {
        match &mut self.operators {
            Some(operators) if listener == management_endpoint::PLACE => operators.on_acceptable(),
            _ => match &mut self.upgrade {
                Some(upgrade) if listener == hot_restart::PLACE => upgrade.on_acceptable(),
                _ => self.front.on_acceptable(listener),
            },
        }
    }

    /// The notice to leave; only the first counts.
    pub fn begin_shutdown(&mut self) {
        if self.stop_at.is_none() {
            let now = self.world.now();
            if self
                .upgrade
                .as_ref()
                .is_some_and(hot_restart::HotRestart::succeeded)
            {
                return self.leave_to_successor(now);
            }
            let stop_at = now + self.stop;
            tracing::info!(
                "leaving within {} ms, with {} connections and {} requests that owe an answer",
                self.stop / 1_000,
                self.front.connection_count(),
                self.exchange.pending_count()
            );
            self.stop_at = Some(stop_at);
            self.facts.push(Event::DrainStarted { stop_at });
            self.front.begin_shutdown(now);
            if self.shares_listener {
                self.front.close_listeners();
            }
        }
    }

    /// Reads the configuration again and goes on with the addresses of the other parties in it; the rest of it
    /// takes hold with the next start. A faulty one changes nothing.
    pub fn reload(&mut self) {
        let ServiceAddresses {
            runtime,
            dependency: store,
            registry: lookup,
        } = match (self.reload)() {
            Ok(parties) => parties,
            Err(fault) => {
                tracing::error!("the configuration stays as it was: {fault}");
                return;
            }
        };
        let now = self.world.now();
        if let Some(tls) = &self.tls {
            tls.borrow_mut().poll(now, true);
        }
        tracing::info!(
            "configuration read again: runtime {runtime}, store {store}, directory {lookup}"
        );
        self.runtime.relocate(now, runtime);
        self.store.relocate(now, store, &mut self.facts);
        self.directory.relocate(now, lookup);
    }

    /// All is answered and nobody can ask any more, or it is time.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stop_at.is_some_and(|at| {
            let now = self.world.now();
            let quiet = self.exchange.pending_count() == 0 && self.front.connection_count() == 0;
            let quiet = quiet
                || is_bug_injected(InjectedBug::ExitBeforeResponses)
                || (self.succeeded && is_bug_injected(InjectedBug::PredecessorExitsEarly));
            // Where a successor accepts, nobody can come here any more. One whose own predecessor is still there waits for
            // its end, which would else take it for dead, and whose share the successor hears of only here.
            let waits = |upgrade: &hot_restart::HotRestart<H>| {
                upgrade.has_predecessor() || upgrade.is_orphaned()
            };
            let before = self.upgrade.as_ref().is_some_and(waits);
            // What runs with an effect is told to its repeats by whoever has the place.
            let ends = self
                .exchange
                .key_table()
                .is_none_or(|history| history.active_runs() == 0);
            now >= at
                || (quiet && self.succeeded && !before && ends)
                || (quiet && now + FAREWELL / 2 >= at)
        })
    }

    /// Takes up what the event loop noted, lets the exchange decide, and carries that out. Returns until when
    /// there is nothing to do but wait.
    pub fn poll(&mut self) -> Micros {
        let now = self.world.now();
        if self.stop_at.is_some_and(|at| now + FAREWELL >= at) {
            self.front.notify_stop(now);
            if let Some(upgrade) = &mut self.upgrade {
                upgrade.search_no_more(now);
            }
        }
        if let Some(tls) = &self.tls {
            tls.borrow_mut().poll(now, false);
        }
        // First: what staff see may not depend on how many clients there are.
        let mut more = self.answer_operators(now);
        self.go_on_with_upgrade(now);
        if self.listen_at.is_some_and(|at| now >= at) {
            self.listen();
        }
        if self.stop_at.is_some_and(|at| now + LAST_ACCEPT >= at) {
            // Whoever is accepted now would be read and not answered.
            self.front.pause_accepting();
        }
        more |= self.front.poll(now, &mut self.facts);
        more |= self.runtime.poll(now, &mut self.facts);
        self.store.poll(now, &mut self.facts);
        for fact in self.facts.drain(..) {
            if let Event::RuntimeReady(age) = fact {
                self.up_since = Some(now.saturating_sub(age));
            }
            self.exchange.handle_event(now, fact, &mut self.commands);
        }
        self.exchange.poll(now, &mut self.commands);
        self.pass_store_on(now);
        if self.standings.is_some() && now >= self.standings_at {
            self.write_standings(now);
        }
        for command in std::mem::take(&mut self.commands) {
            self.carry_out(now, command);
        }
        if let Some(keeper) = &mut self.keeper {
            keeper.poll(now, &mut self.facts);
        }
        self.front.flush(now, &mut self.facts);
        more |= self.runtime.poll(now, &mut self.facts);
        self.store.poll(now, &mut self.facts);
        let open = self.runtime.is_ready() && self.stop_at.is_none();
        let reports = self.serves() && !self.succeeded;
        self.directory.poll(now, reports.then_some(open));
        if more || !self.facts.is_empty() {
            return 0;
        }
        let asked = self
            .operators
            .as_ref()
            .and_then(management_endpoint::ManagementEndpoint::next_deadline);
        let passes = self
            .upgrade
            .as_ref()
            .and_then(hot_restart::HotRestart::next_deadline);
        let next = [
            self.exchange.next_deadline(),
            self.runtime.next_deadline(),
            self.store.next_deadline(),
            self.stop_at,
            asked,
            passes,
            self.listen_at,
            self.keeper
                .as_ref()
                .and_then(ResultPersistence::next_deadline),
        ];
        let store = self
            .yielded
            .filter(|(since, passed)| !passed && now < since + hot_restart_steps::CROSSING);
        let next = next
            .into_iter()
            .flatten()
            .chain(store.map(|(since, _)| since + hot_restart_steps::CROSSING));
        let watch = self.tls.as_ref().map(|_| now + tls_layer::WATCH);
        let next = next
            .chain([self.front.next_deadline(), self.directory.next_deadline()])
            .chain(watch)
            .min();
        next.unwrap_or(0)
    }

    fn answer_operators(&mut self, now: Micros) -> bool {
        let Some(mut operators) = self.operators.take() else {
            return false;
        };
        let more = operators.poll(now, &*self);
        self.operators = Some(operators);
        more
    }

    /// Whether it takes clients: without its runtime it serves nothing.
    #[must_use]
    pub fn accepts_clients(&self) -> bool {
        self.runtime.is_ready()
            && self.stop_at.is_none()
            && self.listen_at.is_none()
            && self.serves()
    }

    /// Clients are accepted here, and by no process whose place it takes or that takes its own.
    fn serves(&self) -> bool {
        self.upgrade
            .as_ref()
            .is_none_or(hot_restart::HotRestart::serves)
    }

    /// It goes on with what its predecessor had learned.
    #[must_use]
    pub fn has_restored_learned_state(&self) -> bool {
        self.learned
    }

    /// What it can't go on with.
    pub fn take_fault(&mut self) -> Option<io::Error> {
        self.fault.take()
    }

    /// How it is, for a fleet's daemon.
    #[must_use]
    pub fn status(&self) -> status_report::Status {
        let (cold, warm_after) = self.warming;
        let warmth = |since: Micros| {
            let age = self.now().saturating_sub(since) as f64 / warm_after.max(1) as f64;
            (cold + (1.0 - cold) * age).clamp(0.0, 1.0)
        };
        let total = self.exchange.counters().total();
        status_report::Status {
            // Without its runtime it serves nothing.
            warmth: self
                .up_since
                .filter(|_| self.runtime.is_ready())
                .map_or(0.0, warmth),
            held: self.exchange.pending_count(),
            drains: self.stop_at.is_some(),
            served: total.served,
            late: total.expired,
            refused: total.rejected,
            failed: total.server_failures(),
        }
    }

    fn carry_out(&mut self, now: Micros, command: Command) {
        match command {
            Command::Respond {
                client: to,
                response: answer,
            } => self.front.respond(now, to, &answer),
            Command::StartRun { id, class, body } => self.runtime.start(id, class, &body),
            Command::ResumeWithReply { id, body } => self.runtime.resume_with_reply(id, &body),
            Command::ResumeWithoutCall { id, notice } => {
                self.runtime.resume_without_call(id, notice);
            }
            Command::StopRun(id) => self.runtime.stop(id),
            Command::MakeCall(call) => self.store.call(now, call, &mut self.facts),
            Command::AbandonCall(id) => self.store.abandon(id),
            Command::ReadGauges => self.runtime.read_gauges(),
            Command::SetHealth(good) => {
                tracing::info!(
                    "health checks are answered {}",
                    if good { "good" } else { "bad" }
                );
                self.front.set_health(good);
            }
            Command::SetFeedback(value) => self.front.set_feedback(value),
            Command::CloseIdleConnections(after) => self.front.set_idle_timeout(after),
            Command::PersistKey(effect) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.write(effect);
                }
            }
            Command::LoadCachedResult { id, number, key } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.load_result(now, id, number, key);
                }
            }
        }
    }
}

impl<H: Host> mgmt::Answers for Server<H> {
    fn ready(&self) -> bool {
        self.accepts_clients()
    }

    fn vars(&self) -> Vec<u8> {
        let admission = self.front.admission().map(|admission| admission.counts);
        let tls = self
            .tls
            .as_ref()
            .map(|tls| tls_vars(&tls.borrow(), self.front.handshakes(), self.now()));
        status_report::vars(
            &self.class_names,
            self.exchange.counters(),
            self.exchange.pending_count(),
            admission,
            tls,
        )
    }
}

/// What operators see of TLS: the certificate's expiry, renewals, and handshakes.
fn tls_vars(
    tls: &tls_layer::TlsState,
    handshakes: Option<&cleatpulley_connection_admission::handshake::Handshakes>,
    now: Micros,
) -> serde_json::Value {
    let facts = tls.facts();
    let mut figures = serde_json::json!({
        "certificate": { "names": facts.names, "serial": facts.serial, "expires_in_s": tls.left(now) },
        "renewed": tls.renewals.0,
        "renewals_refused": tls.renewals.1,
    });
    if let Some(handshakes) = handshakes {
        let (counts, (running, waiting)) = (handshakes.counts, handshakes.census());
        figures["handshakes"] = serde_json::json!({
            "full": counts.full, "resumed": counts.resumed, "waited": counts.waited,
            "refused": counts.refused, "overdue": counts.overdue, "running": running, "waiting": waiting,
        });
    }
    figures
}
