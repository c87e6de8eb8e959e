//! The components of a [`Server`](super::Server) and their state.

use crate::client_listener::ClientListener;
use crate::dependency_pool::DependencyPool;
use crate::host::{HandoverAddress, Host, ReputationStorage as _};
use crate::hot_restart::HotRestart;
use crate::management_endpoint::ManagementEndpoint;
use crate::options::{IdempotencyOptions, Options};
use crate::registry_client::RegistryClient;
use crate::runtime_link::RuntimeLink;
use crate::tls_layer::TlsState;
use cleatpulley_connection_admission::Admission;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_hot_restart::{snapshot, ProcessUsage};
use cleatpulley_policy::interface::{Micros, Settings};
use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Time after a handover during which requests may arrive that clients sent before they were
/// notified of it.
const HANDOVER_IN_FLIGHT_TIME: Micros = 60_000;
/// Interval between writes of earned reputation: a crash loses at most the reputation earned in it.
const REPUTATION_WRITE_INTERVAL: Micros = 1_000_000;

/// The name of the server and of its request classes.
pub(super) struct ServerIdentity {
    pub(super) name: String,
    /// Names of the request classes, by index.
    pub(super) class_names: Vec<String>,
}

impl ServerIdentity {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            name: options.name.clone(),
            class_names: options.class_names.clone(),
        }
    }

    /// Returns the digest that learned state is bound to: only a process with the same name and
    /// classes may restore it.
    pub(super) fn snapshot_site(&self) -> u64 {
        snapshot::site_digest(&self.name, &self.class_names)
    }
}

/// The adapters, one for each kind of peer.
pub(super) struct Adapters<H: Host> {
    pub(super) client_listener: ClientListener<H>,
    pub(super) management: Option<ManagementEndpoint<H>>,
    pub(super) runtime: RuntimeLink<H>,
    pub(super) dependency_pool: DependencyPool<H>,
    pub(super) registry: RegistryClient<H>,
    /// TLS state shared by the listeners; `None` without TLS.
    pub(super) tls: Option<Rc<RefCell<TlsState>>>,
}

/// Phase of the shutdown of the process.
#[derive(Debug, Clone, Copy)]
pub(super) enum ShutdownPhase {
    /// No shutdown has been requested.
    Running,
    /// Clients are notified to use other servers; the process stops at `stop_at`.
    Draining { stop_at: Micros },
    /// A successor serves the clients; the process stops at `stop_at`.
    Replaced { stop_at: Micros },
}

/// The shutdown of the process.
pub(super) struct Shutdown {
    phase: ShutdownPhase,
    /// Time between the shutdown request and the stop.
    pub(super) duration: Micros,
    /// The longest client timeout of all classes.
    pub(super) max_client_timeout: Micros,
    /// Other processes accept connections on the address of the first listener too.
    pub(super) shares_listener: bool,
}

impl Shutdown {
    pub(super) fn new(options: &Options) -> Self {
        let classes = &options.settings.classes;
        let client_timeouts = classes.iter().map(|class| class.client_timeout);
        Self {
            phase: ShutdownPhase::Running,
            duration: options.shutdown_time,
            max_client_timeout: client_timeouts.max().unwrap_or(0),
            shares_listener: options.shares_listener,
        }
    }

    /// Returns when the process stops, once a shutdown has been requested.
    pub(super) fn stop_at(&self) -> Option<Micros> {
        match self.phase {
            ShutdownPhase::Running => None,
            ShutdownPhase::Draining { stop_at } | ShutdownPhase::Replaced { stop_at } => {
                Some(stop_at)
            }
        }
    }

    pub(super) fn has_begun(&self) -> bool {
        self.stop_at().is_some()
    }

    /// Returns true if the process stops within `duration`.
    pub(super) fn is_stop_within(&self, now: Micros, duration: Micros) -> bool {
        self.stop_at()
            .is_some_and(|stop_at| now + duration >= stop_at)
    }

    /// Returns true if this process shuts down while a successor serves its clients.
    pub(super) fn is_replaced(&self) -> bool {
        matches!(self.phase, ShutdownPhase::Replaced { .. })
    }

    pub(super) fn begin(&mut self, stop_at: Micros) {
        self.phase = ShutdownPhase::Draining { stop_at };
    }

    pub(super) fn begin_replaced(&mut self, stop_at: Micros) {
        self.phase = ShutdownPhase::Replaced { stop_at };
    }

    /// Handles that a successor has taken over the clients: a process that was draining now counts
    /// as replaced, and ends once all requests have their response.
    pub(super) fn on_yield(&mut self) {
        if let ShutdownPhase::Draining { stop_at } = self.phase {
            self.begin_replaced(stop_at);
        }
    }

    /// Handles the loss of the successor: a process that was replaced drains from now on. Returns
    /// the stop time of that process.
    pub(super) fn on_successor_lost(&mut self) -> Option<Micros> {
        let ShutdownPhase::Replaced { stop_at } = self.phase else {
            return None;
        };
        self.begin(stop_at);
        Some(stop_at)
    }
}

/// What a successor has taken over from this process.
#[derive(Debug, Clone, Copy)]
pub(super) enum YieldState {
    /// This process serves the clients.
    Serving,
    /// A successor accepts connections. This process keeps the idempotency keys until the requests
    /// that were in flight during the handover have arrived and no run with a key is active.
    ConnectionsYielded {
        /// Time since which all connections have been notified to close.
        since: Micros,
    },
    /// The successor also owns the idempotency keys.
    KeysReleased,
}

impl YieldState {
    pub(super) fn has_yielded(self) -> bool {
        !matches!(self, Self::Serving)
    }

    /// Returns the time by which all requests in flight during the handover have arrived, if it is
    /// in the future.
    pub(super) fn next_deadline(self, now: Micros) -> Option<Micros> {
        match self {
            Self::ConnectionsYielded { since } => {
                Some(since + HANDOVER_IN_FLIGHT_TIME).filter(|deadline| now < *deadline)
            }
            Self::Serving | Self::KeysReleased => None,
        }
    }
}

/// State of the handover from a predecessor and to a successor.
pub(super) struct Handover<H: Host> {
    /// `None` without a handover folder, and while the steps of the hot restart are executed.
    pub(super) hot_restart: Option<HotRestart<H>>,
    /// Other processes of this server may succeed or precede this one.
    pub(super) has_handover_folder: bool,
    /// The rendezvous of these processes; `None` without a handover folder.
    pub(super) address: Option<HandoverAddress>,
    /// When listening is retried after a shortage of file descriptors.
    pub(super) retry_listen_at: Option<Micros>,
    /// Fatal error of listening; the process has to end.
    pub(super) listen_error: Option<io::Error>,
    pub(super) yield_state: YieldState,
    /// Machine resources that the predecessors still use.
    pub(super) predecessor_usage: ProcessUsage,
    pub(super) has_restored_learned_state: bool,
    /// Maximum number of client connections while no other process of this server holds any.
    pub(super) max_client_connections: usize,
}

impl<H: Host> Handover<H> {
    pub(super) fn new(
        hot_restart: Option<HotRestart<H>>,
        address: Option<HandoverAddress>,
        max_client_connections: usize,
    ) -> Self {
        Self {
            has_handover_folder: hot_restart.is_some(),
            address,
            hot_restart,
            retry_listen_at: None,
            listen_error: None,
            yield_state: YieldState::Serving,
            predecessor_usage: ProcessUsage::default(),
            has_restored_learned_state: false,
            max_client_connections,
        }
    }

    /// Returns true if this process accepts the clients, and neither a predecessor nor a successor
    /// does.
    pub(super) fn is_serving(&self) -> bool {
        self.hot_restart.as_ref().is_none_or(HotRestart::is_serving)
    }
}

/// Folder, capacity and durability of the persisted idempotency keys.
#[derive(Clone)]
pub(super) struct KeyPersistenceSettings {
    pub(super) folder: PathBuf,
    pub(super) capacity: KeyTableOptions,
    /// The keys survive a crash of the machine, not only of the process.
    pub(super) is_durable: bool,
}

impl KeyPersistenceSettings {
    pub(super) fn new(options: &IdempotencyOptions) -> Self {
        Self {
            folder: options.folder.clone(),
            capacity: options.capacity,
            is_durable: options.is_durable,
        }
    }
}

/// The persistence of idempotency keys and cached results, opened by one process at a time.
pub(super) struct KeyPersistence<H: Host> {
    /// `None` if no keys are persisted.
    pub(super) settings: Option<KeyPersistenceSettings>,
    /// `None` while it is not open.
    pub(super) storage: Option<H::ResultPersistence>,
}

impl<H: Host> KeyPersistence<H> {
    pub(super) fn new(settings: Option<KeyPersistenceSettings>) -> Self {
        Self {
            settings,
            storage: None,
        }
    }

    /// Opens the storage if it is configured and not open.
    pub(super) fn open(&mut self, host: &H) -> io::Result<()> {
        let Some(settings) = self.settings.clone().filter(|_| self.storage.is_none()) else {
            return Ok(());
        };
        let storage = host.open_result_persistence(
            settings.folder,
            settings.capacity.hash_seed,
            settings.is_durable,
        )?;
        self.storage = Some(storage);
        Ok(())
    }
}

/// The persistence of the reputation of client addresses, opened by one process at a time.
pub(super) struct ReputationPersistence<H: Host> {
    /// `None` if no reputation is persisted.
    settings: Option<ReputationSettings>,
    /// `None` while it is not open.
    storage: Option<H::ReputationStorage>,
    next_write_at: Micros,
}

#[derive(Clone)]
struct ReputationSettings {
    folder: PathBuf,
    max_addresses: usize,
}

impl<H: Host> ReputationPersistence<H> {
    pub(super) fn new(options: &Options) -> Self {
        let admission = options.connection_admission.as_ref();
        let earned = admission.and_then(|admission| admission.reputation);
        let settings = options.reputation_folder.clone().zip(earned);
        Self {
            settings: settings.map(|(folder, earned)| ReputationSettings {
                folder,
                max_addresses: earned.max_addresses,
            }),
            storage: None,
            next_write_at: 0,
        }
    }

    /// Opens the storage if it is configured and not open.
    pub(super) fn open(&mut self, host: &H) {
        let Some(settings) = self.settings.clone().filter(|_| self.storage.is_none()) else {
            return;
        };
        match host.open_reputation_storage(settings.folder, settings.max_addresses) {
            Ok(storage) => self.storage = Some(storage),
            Err(error) => tracing::error!(%error, "reputation: nothing can be persisted"),
        }
    }

    pub(super) fn is_write_due(&self, now: Micros) -> bool {
        self.storage.is_some() && now >= self.next_write_at
    }

    /// Writes the reputation earned since the last write.
    pub(super) fn write(&mut self, now: Micros, admission: Option<&mut Admission>) {
        self.next_write_at = now + REPUTATION_WRITE_INTERVAL;
        let (Some(admission), Some(storage)) = (admission, &self.storage) else {
            return;
        };
        let changed_entries = admission.take_unsaved_reputation(now);
        if !changed_entries.is_empty() {
            storage.write(changed_entries);
        }
    }

    /// Begins to close the storage in the background, so that the successor can open it.
    pub(super) fn release(&mut self) {
        if let Some(mut storage) = self.storage.take() {
            storage.release();
        }
    }

    /// Closes the storage and waits for a limited time until it is closed.
    pub(super) fn stop(&mut self) {
        if let Some(storage) = self.storage.take() {
            storage.stop();
        }
    }
}

/// Warm-up progress of the runtime.
pub(super) struct WarmUp {
    /// Speed of a cold runtime, as a fraction of the speed of a warm one.
    cold_start_speed: f64,
    /// Time from start until a runtime is warm.
    duration: Micros,
    /// Start time of the runtime, from its last report.
    runtime_up_since: Option<Micros>,
}

impl WarmUp {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            cold_start_speed: settings.cold_start_speed,
            duration: settings.warm_up_time,
            runtime_up_since: None,
        }
    }

    /// Handles the runtime's report of its uptime.
    pub(super) fn on_runtime_ready(&mut self, now: Micros, uptime: Micros) {
        self.runtime_up_since = Some(now.saturating_sub(uptime));
    }

    /// Returns the current speed of the runtime, as a fraction of the speed of a warm one; 0 before
    /// the runtime has reported its uptime.
    pub(super) fn warmth(&self, now: Micros) -> f64 {
        let Some(up_since) = self.runtime_up_since else {
            return 0.0;
        };
        let progress = now.saturating_sub(up_since) as f64 / self.duration.max(1) as f64;
        (self.cold_start_speed + (1.0 - self.cold_start_speed) * progress).clamp(0.0, 1.0)
    }
}
