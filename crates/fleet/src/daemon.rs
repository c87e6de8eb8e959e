//! The daemon: an event loop that executes the plan's effects. It starts processes, receives their status reports, sends
//! them signals and executes operators' commands. The plan's state is durable before the next effect is executed, so
//! that after a crash at any moment the next daemon resumes where the previous one stopped.

mod instance_link;

use crate::control_protocol::{
    ControlCommand, ControlResponse, FleetView, InstanceView, ReplacementView,
    TerminatedInstanceView,
};
use crate::instance_config::{Release, Slot};
use crate::plan::{Effect, Event, FleetSettings, Notice, Phase, Plan, StatusReport};
use crate::process::{find_by_argument, random_secret, LaunchOptions, ProcessHandle};
use crate::regression::RequestCounts;
use crate::Micros;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, MaintenanceStatus, Options, Store};
use instance_link::{take_line, Hello, InstanceLink, StatusLine, MAX_LINE_BYTES};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// Name of the socket for operators' commands, in the daemon's folder.
pub const CONTROL_SOCKET: &str = "control.sock";
/// Name of the socket for status reports, in the daemon's folder.
const STATUS_SOCKET: &str = "status.sock";
/// Key of the daemon's state in the store.
const STATE_KEY: &[u8] = b"fleet";
/// Minimum period over which rates are computed, in microseconds.
const RATE_PERIOD: Micros = 1_000_000;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Time within which instances of a previous daemon have to hand over their shared listening socket.
const LISTENER_HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time between two iterations of the event loop.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of the store that are processed in one maintenance step.
const MAINTENANCE_BYTES: usize = 65_536;

/// Error of the daemon as a whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store in the daemon's folder failed.
    #[error("{}: {message}", folder.display())]
    Store {
        /// The daemon's folder.
        folder: PathBuf,
        /// The store's error.
        message: String,
    },
    /// A socket or file failed.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the socket or file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A command or configuration conflicts with the current state of the fleet.
    #[error("{0}")]
    Rejected(String),
    /// The operating system failed.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The folder of the daemon's state and sockets.
    pub folder: PathBuf,
    /// Slots of the fleet.
    pub slots: Vec<Slot>,
    /// Releases by generation.
    pub releases: BTreeMap<u32, Release>,
    /// The listen address that all instances share, if they do.
    pub shared_address: Option<SocketAddr>,
    /// Size, limits and timeouts of the fleet.
    pub settings: FleetSettings,
    /// The generation to run, if no instances run already.
    pub generation: u32,
}

/// State kept in the store.
#[derive(Serialize, Deserialize)]
struct State {
    plan: Plan,
    #[serde(rename = "places")]
    slots: Vec<Slot>,
    releases: BTreeMap<u32, Release>,
    #[serde(default, rename = "shared")]
    shared_address: Option<SocketAddr>,
    secret: u64,
}

/// Figures from the recent status reports of an instance.
#[derive(Default)]
struct InstanceLoad {
    open_requests: usize,
    /// Start of the period over which rates are computed, and the counts at that time.
    period_start: (Micros, RequestCounts),
    rate: f64,
    rejected_share: f64,
}

/// Connection of an operator to the control socket.
struct OperatorConnection {
    stream: UnixStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// The daemon of a fleet.
pub struct Daemon {
    folder: PathBuf,
    store: Store<OsFolder>,
    state: State,
    dirty: bool,
    /// Wall clock time and monotonic time at the daemon's start.
    started_at: (Micros, Instant),
    processes: BTreeMap<u64, ProcessHandle>,
    loads: BTreeMap<u64, InstanceLoad>,
    status_listener: UnixListener,
    control_listener: UnixListener,
    links: Vec<InstanceLink>,
    operators: Vec<OperatorConnection>,
    last_poll: Instant,
    /// The listening socket that all instances share.
    shared_listener: Option<OwnedFd>,
    /// Number of instances adopted from a previous daemon.
    pub adopted: usize,
}

fn file_error(path: &Path) -> impl Fn(io::Error) -> Error + '_ {
    |error| Error::File {
        path: path.to_owned(),
        error,
    }
}

fn bind_unix_listener(path: &Path) -> Result<UnixListener, Error> {
    // The store's lock excludes another daemon: an existing socket was left by one that has ended.
    match fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => return Err(file_error(path)(e)),
        _ => {}
    }
    let listener = UnixListener::bind(path).map_err(file_error(path))?;
    // Write access to the socket allows shutting down the fleet.
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(file_error(path))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Daemon {
    /// Opens the folder, adopts running instances, and starts missing ones.
    ///
    /// # Errors
    /// Another daemon uses the folder; its running fleet has other slots or another size; the store or the operating
    /// system failed.
    pub fn open(spec: FleetSpec) -> Result<Self, Error> {
        let folder = spec.folder.clone();
        let store_error = |message: String| Error::Store {
            folder: folder.clone(),
            message,
        };
        fs::create_dir_all(folder.join("logs")).map_err(file_error(&folder))?;
        fs::set_permissions(&folder, fs::Permissions::from_mode(0o700))
            .map_err(file_error(&folder))?;
        let files = OsFolder::new(folder.join("store"), true)?;
        let options = Options {
            segment_bytes: 1 << 20,
            ..Options::default()
        };
        let (store, _) = Store::open(files, options).map_err(|e| match e {
            cleatpulley_log_store::Error::Locked => {
                store_error("another daemon runs this fleet".to_owned())
            }
            e => store_error(e.to_string()),
        })?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros() as Micros);
        let stored = store
            .get(now, STATE_KEY)
            .map_err(|e| store_error(e.to_string()))?;
        let state = match stored {
            Some(bytes) => {
                let state = serde_json::from_slice(&bytes)
                    .map_err(|e| store_error(format!("invalid state: {e}")))?;
                resume_state(state, &spec)?
            }
            None => State {
                plan: Plan::new(spec.settings, spec.generation, random_secret()?)
                    .map_err(|e| Error::Rejected(e.to_string()))?,
                slots: spec.slots,
                releases: spec.releases,
                shared_address: spec.shared_address,
                secret: random_secret()?,
            },
        };
        let status_listener = bind_unix_listener(&folder.join(STATUS_SOCKET))?;
        let control_listener = bind_unix_listener(&folder.join(CONTROL_SOCKET))?;
        let mut daemon = Self {
            folder,
            store,
            state,
            dirty: true,
            started_at: (now, Instant::now()),
            processes: BTreeMap::new(),
            loads: BTreeMap::new(),
            status_listener,
            control_listener,
            links: Vec::new(),
            operators: Vec::new(),
            last_poll: Instant::now(),
            shared_listener: None,
            adopted: 0,
        };
        daemon.recover()?;
        Ok(daemon)
    }

    fn now(&self) -> Micros {
        self.started_at.0 + self.started_at.1.elapsed().as_micros() as Micros
    }

    fn token(&self, incarnation: u64) -> String {
        let secret = self.state.secret;
        format!(
            "{:032x}",
            xxh3_128_with_seed(&incarnation.to_le_bytes(), secret)
        )
    }

    /// Adopts the processes of a previous daemon: by process id and start time, or, if that daemon died before it saved
    /// them, by the token on the command line, which is unique to the instance.
    fn recover(&mut self) -> Result<(), Error> {
        let known: Vec<_> = self
            .state
            .plan
            .instances()
            .iter()
            .map(|instance| (instance.incarnation, instance.process))
            .collect();
        let mut events = Vec::new();
        for (incarnation, process) in known {
            let argument = || format!("{incarnation}:{}", self.token(incarnation));
            let process = match process {
                Some(process) => Some(process),
                None => find_unsaved_process(&argument())?,
            };
            // A process whose state is not known may serve: a second one must not be started for it.
            let adopted = process.map(ProcessHandle::adopt).transpose()?;
            match adopted.flatten() {
                Some(handle) => {
                    events.push(Event::Spawned(incarnation, handle.identity));
                    self.processes.insert(incarnation, handle);
                    self.adopted += 1;
                }
                None => events.push(Event::Exited(
                    incarnation,
                    crate::plan::ProcessExit::Unobserved,
                )),
            }
        }
        let needs_listener =
            self.state.shared_address.is_some() && !self.state.plan.is_draining_without_successor();
        if needs_listener && !self.processes.is_empty() {
            self.receive_shared_listener()?;
        }
        let (now, mut effects) = (self.now(), Vec::new());
        self.state.plan.recover(now, events, &mut effects);
        // The previous daemon may have died after saving the plan and before sending the signal.
        for instance in self
            .state
            .plan
            .instances()
            .iter()
            .filter(|instance| instance.phase == Phase::Draining)
        {
            if let Some(process) = self.processes.get(&instance.incarnation) {
                process.signal(Signal::TERM);
            }
        }
        self.execute_effects(effects)
    }

    fn save(&mut self) -> Result<(), Error> {
        if !std::mem::take(&mut self.dirty) {
            return Ok(());
        }
        let store_error = |message: String| Error::Store {
            folder: self.folder.clone(),
            message,
        };
        let bytes = serde_json::to_vec(&self.state).map_err(|e| store_error(e.to_string()))?;
        let written = self
            .store
            .write(Batch::default().put(STATE_KEY, &bytes, None));
        written
            .and_then(|_| self.store.sync())
            .map_err(|e| store_error(e.to_string()))
    }

    /// Executes effects of the plan, and those that follow from them.
    fn execute_effects(&mut self, effects: Vec<Effect>) -> Result<(), Error> {
        // Before the signals: an instance may end at once.
        self.release_shared_listener();
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            match effect {
                Effect::Save => {
                    self.dirty = true;
                    continue;
                }
                Effect::Notify(notice) => {
                    log_notice(&notice);
                    continue;
                }
                _ => self.save()?,
            }
            match effect {
                Effect::Spawn {
                    incarnation,
                    generation,
                    slot,
                } => {
                    let event = self.spawn(incarnation, generation, slot);
                    let (now, mut effects) = (self.now(), Vec::new());
                    self.state.plan.handle_event(now, event, &mut effects);
                    queue.extend(effects);
                }
                Effect::Drain(incarnation) => self.signal(incarnation, Signal::TERM),
                Effect::Kill(incarnation) => self.signal(incarnation, Signal::KILL),
                Effect::Save | Effect::Notify(_) => {}
            }
        }
        self.save()
    }

    fn signal(&self, incarnation: u64, signal: Signal) {
        tracing::info!(
            "instance {incarnation}: {}",
            if signal == Signal::TERM {
                "told to drain"
            } else {
                "killed"
            }
        );
        if let Some(process) = self.processes.get(&incarnation) {
            process.signal(signal);
        }
    }

    fn log_path(&self, slot: usize) -> PathBuf {
        let name = self
            .state
            .slots
            .get(slot)
            .map_or("none", |slot| slot.name.as_str());
        self.folder.join("logs").join(format!("{name}.log"))
    }

    fn spawn(&mut self, incarnation: u64, generation: u32, slot_index: usize) -> Event {
        let listener = match self
            .state
            .shared_address
            .map(|address| self.clone_shared_listener(address))
        {
            Some(Err(e)) => {
                return Event::SpawnFailed(incarnation, format!("the shared listener: {e}"))
            }
            Some(Ok(listener)) => Some(listener),
            None => None,
        };
        let (Some(slot), Some(release)) = (
            self.state.slots.get(slot_index),
            self.state.releases.get(&generation),
        ) else {
            let reason = format!("there is no place {slot_index} or no release {generation}");
            self.close_unused_shared_listener();
            return Event::SpawnFailed(incarnation, reason);
        };
        let options = LaunchOptions {
            slot,
            listener,
            release,
            status_socket: &self.folder.join(STATUS_SOCKET),
            incarnation,
            token: &self.token(incarnation),
            log_path: &self.log_path(slot_index),
        };
        match ProcessHandle::spawn(options) {
            Ok(handle) => {
                let process = handle.identity;
                tracing::info!(
                    "instance {incarnation}: generation {generation} started as {} on {}, process {}",
                    slot.name,
                    slot.listen,
                    process.pid
                );
                self.processes.insert(incarnation, handle);
                Event::Spawned(incarnation, process)
            }
            Err(e) => {
                let reason = format!("{}: {e}", release.program.display());
                self.close_unused_shared_listener();
                Event::SpawnFailed(incarnation, reason)
            }
        }
    }

    /// Returns another descriptor of the shared listening socket, which is opened if necessary.
    fn clone_shared_listener(&mut self, address: SocketAddr) -> io::Result<OwnedFd> {
        if let Some(listener) = &self.shared_listener {
            return listener.try_clone();
        }
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let original = OwnedFd::from(socket);
        let clone = original.try_clone()?;
        self.shared_listener = Some(original);
        Ok(clone)
    }

    /// Receives the shared listening socket from an instance of a previous daemon. A second socket on the address would
    /// lose the connections waiting at the first one when its last instance ends.
    fn receive_shared_listener(&mut self) -> Result<(), Error> {
        let started_at = Instant::now();
        while self.shared_listener.is_none() && started_at.elapsed() < LISTENER_HANDOVER_TIMEOUT {
            std::thread::sleep(MIN_POLL_INTERVAL);
            accept_all(&self.status_listener, |stream| {
                self.links.push(InstanceLink::new(stream));
            });
            for index in (0..self.links.len()).rev() {
                let open = self.links[index].read();
                let line = match self.links[index].incarnation {
                    None => take_line(&mut self.links[index].input),
                    Some(_) => None,
                };
                if line.is_some_and(|line| !self.authenticate(index, &line)) || !open {
                    self.links.swap_remove(index);
                }
            }
        }
        Ok(())
    }

    /// Closes the copies of the shared listening socket on which no connection is accepted any more: those of
    /// draining instances while another instance accepts, and the daemon's own while none does and none is
    /// started. The system would accept connections on them that no process reads.
    fn release_shared_listener(&mut self) {
        let plan = &self.state.plan;
        if plan.is_draining_without_successor() {
            self.shared_listener = None;
        }
        if self.state.shared_address.is_none() || !plan.has_accepting_instance() {
            return;
        }
        let is_draining = |incarnation: u64| {
            plan.instances().iter().any(|instance| {
                instance.incarnation == incarnation && instance.phase == Phase::Draining
            })
        };
        self.links
            .iter_mut()
            .filter(|link| link.incarnation.is_some_and(is_draining))
            .for_each(InstanceLink::request_listener_close);
    }

    /// Closes the shared listening socket if no process runs: connections would wait on it and never be accepted.
    fn close_unused_shared_listener(&mut self) {
        if self.processes.is_empty() {
            self.shared_listener = None;
        }
    }

    fn handle_event(&mut self, event: Event) -> Result<(), Error> {
        let (now, mut effects) = (self.now(), Vec::new());
        self.state.plan.handle_event(now, event, &mut effects);
        self.execute_effects(effects)
    }

    /// Runs until the fleet has shut down.
    ///
    /// # Errors
    /// The state can't be saved, or polling failed. The instances keep serving.
    pub fn run(&mut self) -> Result<(), Error> {
        loop {
            self.poll_once()?;
            if self.state.plan.is_shutting_down() && self.state.plan.is_converged() {
                // Sends the responses that are still buffered.
                self.operators
                    .iter_mut()
                    .for_each(|operator| drop(flush(operator)));
                tracing::info!("the fleet has shut down");
                return Ok(());
            }
        }
    }

    /// Runs one iteration of the event loop: waits for events and handles them.
    ///
    /// # Errors
    /// As [`run`](Self::run).
    pub fn poll_once(&mut self) -> Result<(), Error> {
        // Handles the reports of several instances in one iteration, instead of one iteration for each report.
        std::thread::sleep(MIN_POLL_INTERVAL.saturating_sub(self.last_poll.elapsed()));
        self.last_poll = Instant::now();
        // Status reports that were sent before this time are read in this iteration.
        let polled_at = self.now();
        let timeout = self
            .state
            .plan
            .next_deadline(polled_at)
            .map_or(1_000_000, |at| at.saturating_sub(polled_at).min(1_000_000));
        let incarnations: Vec<u64> = self.processes.keys().copied().collect();
        let ready: Vec<bool> = {
            let read = PollFlags::IN;
            let mut descriptors = vec![
                PollFd::new(&self.status_listener, read),
                PollFd::new(&self.control_listener, read),
            ];
            descriptors.extend(
                self.links
                    .iter()
                    .map(|link| PollFd::new(&link.stream, read)),
            );
            descriptors.extend(self.operators.iter().map(|operator| {
                let write = if operator.output.is_empty() {
                    PollFlags::empty()
                } else {
                    PollFlags::OUT
                };
                PollFd::new(&operator.stream, read | write)
            }));
            descriptors.extend(
                self.processes
                    .values()
                    .map(|process| PollFd::from_borrowed_fd(process.pidfd(), read)),
            );
            let timeout = Timespec {
                tv_sec: (timeout / 1_000_000) as i64,
                tv_nsec: (timeout % 1_000_000) as i64 * 1_000,
            };
            match poll(&mut descriptors, Some(&timeout)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => {
                    return Err(io::Error::from(e).into())
                }
                _ => descriptors
                    .iter()
                    .map(|descriptor| !descriptor.revents().is_empty())
                    .collect(),
            }
        };
        let (links, operators) = (self.links.len(), self.operators.len());
        let exited = &ready[2 + links + operators..];
        if ready[0] {
            accept_all(&self.status_listener, |stream| {
                self.links.push(InstanceLink::new(stream));
            });
        }
        // Exits are handled first: earlier status reports of an ended process no longer count.
        for (incarnation, _) in incarnations
            .iter()
            .zip(exited)
            .filter(|(_, exited)| **exited)
        {
            if let Some(mut process) = self.processes.remove(incarnation) {
                let exit = process.wait();
                self.loads.remove(incarnation);
                self.handle_event(Event::Exited(*incarnation, exit))?;
                self.close_unused_shared_listener();
            }
        }
        let is_readable = |index: &usize| *index >= links || ready[2 + index];
        for index in (0..self.links.len()).rev().filter(is_readable) {
            if !self.read_link(index)? {
                let link = self.links.swap_remove(index);
                self.handle_disconnection(link.incarnation)?;
            }
        }
        for index in (0..operators)
            .rev()
            .filter(|index| ready[2 + links + index])
        {
            if !self.serve_operator(index)? {
                self.operators.swap_remove(index);
            }
        }
        if ready[1] {
            accept_all(&self.control_listener, |stream| {
                self.operators.push(OperatorConnection {
                    stream,
                    input: Vec::new(),
                    output: Vec::new(),
                });
            });
        }
        // The events above may have taken long, for example to start a process. In that time reports may
        // have arrived that are not read yet, so it does not count as silence.
        let mut effects = Vec::new();
        self.state.plan.handle_timeouts(polled_at, &mut effects);
        self.execute_effects(effects)?;
        let now = self.now();
        if let Ok(MaintenanceStatus::MoreToDo) =
            self.store.run_maintenance_step(now, MAINTENANCE_BYTES)
        {
            tracing::debug!("store maintenance is not finished");
        }
        Ok(())
    }

    /// Handles a closed connection of an instance, unless the instance has connected again.
    fn handle_disconnection(&mut self, incarnation: Option<u64>) -> Result<(), Error> {
        match incarnation {
            Some(number)
                if !self
                    .links
                    .iter()
                    .any(|link| link.incarnation == incarnation) =>
            {
                self.handle_event(Event::Disconnected(number))
            }
            _ => Ok(()),
        }
    }

    /// Reads and handles lines of an instance; returns false if its connection is to be closed.
    fn read_link(&mut self, index: usize) -> Result<bool, Error> {
        let open = self.links[index].read();
        while let Some(line) = take_line(&mut self.links[index].input) {
            let valid = match self.links[index].incarnation {
                None => self.authenticate(index, &line),
                Some(incarnation) => match serde_json::from_slice::<StatusLine>(&line) {
                    Ok(line) => {
                        let status = self.record_status(incarnation, &line);
                        self.handle_event(Event::StatusReported(incarnation, status))?;
                        true
                    }
                    Err(e) => {
                        tracing::warn!("instance {incarnation} sent an invalid status report: {e}");
                        false
                    }
                },
            };
            if !valid {
                return Ok(false);
            }
        }
        Ok(open && self.links[index].input.len() <= MAX_LINE_BYTES)
    }

    /// Authenticates an instance by the token in its first line: process ids are reused, and anybody can send a number.
    fn authenticate(&mut self, index: usize, line: &[u8]) -> bool {
        let Ok(hello) = serde_json::from_slice::<Hello>(line) else {
            return false;
        };
        if hello.token != self.token(hello.incarnation) {
            tracing::warn!(
                "a client claims to be instance {} with a wrong token",
                hello.incarnation
            );
            return false;
        }
        if self
            .processes
            .get(&hello.incarnation)
            .is_none_or(|process| process.identity.pid != hello.pid)
        {
            // The instance was counted as terminated and still runs: killed, so that no slot has two instances.
            tracing::warn!(
                "instance {} was counted as terminated and still runs: killed",
                hello.incarnation
            );
            let start_ticks = crate::process::read_start_ticks(hello.pid);
            let process = start_ticks.map(|start_ticks| crate::plan::ProcessIdentity {
                pid: hello.pid,
                start_ticks,
            });
            if let Ok(Some(process)) = process.and_then(ProcessHandle::adopt) {
                process.signal(Signal::KILL);
            }
            return false;
        }
        self.links[index].incarnation = Some(hello.incarnation);
        let received_fd = self.links[index].received_fd.take();
        let needs_listener =
            self.state.shared_address.is_some() && !self.state.plan.is_draining_without_successor();
        if needs_listener && self.shared_listener.is_none() {
            self.shared_listener = received_fd;
        }
        true
    }

    fn record_status(&mut self, incarnation: u64, line: &StatusLine) -> StatusReport {
        let now = self.now();
        let counts = RequestCounts {
            served: line.served,
            late: line.late,
            rejected: line.rejected,
            failed: line.failed,
        };
        let load = self.loads.entry(incarnation).or_default();
        load.open_requests = line.open_requests;
        let (period_start, baseline) = load.period_start;
        if period_start == 0 {
            load.period_start = (now, counts);
        } else if now >= period_start + RATE_PERIOD {
            let recent = counts.since(baseline);
            load.rate = recent.total() as f64 * 1e6 / (now - period_start) as f64;
            load.rejected_share = recent.rejected as f64 / recent.total().max(1) as f64;
            load.period_start = (now, counts);
        }
        StatusReport {
            warmth: line.warmth,
            counts,
            draining: line.draining,
        }
    }

    /// Executes an operator's commands; returns false if the connection is to be closed.
    fn serve_operator(&mut self, index: usize) -> Result<bool, Error> {
        let operator = &mut self.operators[index];
        let open = read_available(&mut operator.stream, &mut operator.input);
        while let Some(line) = take_line(&mut self.operators[index].input) {
            let response = match serde_json::from_slice::<ControlCommand>(&line) {
                Ok(command) => self.execute_command(command)?,
                Err(e) => ControlResponse::Rejected(format!("invalid command: {e}")),
            };
            let mut bytes = serde_json::to_vec(&response).unwrap_or_default();
            bytes.push(b'\n');
            self.operators[index].output.extend_from_slice(&bytes);
        }
        let operator = &mut self.operators[index];
        let writable = flush(operator).is_ok();
        Ok(writable
            && operator.input.len() <= MAX_LINE_BYTES
            && (open || !operator.output.is_empty()))
    }

    fn execute_command(&mut self, command: ControlCommand) -> Result<ControlResponse, Error> {
        let (now, mut effects) = (self.now(), Vec::new());
        let plan = &mut self.state.plan;
        let result = match command {
            ControlCommand::Status => Ok(()),
            ControlCommand::Replace {
                generation,
                releases,
            } => {
                let unknown = !releases.iter().any(|(number, _)| *number == generation);
                let running: Vec<u32> = plan
                    .instances()
                    .iter()
                    .map(|instance| instance.generation)
                    .collect();
                for (number, release) in releases {
                    // The release of running instances doesn't change, whatever the command says.
                    if !running.contains(&number) {
                        self.state.releases.insert(number, release);
                    }
                }
                if unknown && !self.state.releases.contains_key(&generation) {
                    return Ok(ControlResponse::Rejected(format!(
                        "there is no release {generation}"
                    )));
                }
                plan.begin_replacement(now, generation, &mut effects)
            }
            ControlCommand::Pause => plan.pause(now, &mut effects),
            ControlCommand::Resume => plan.resume(now, &mut effects),
            ControlCommand::Rollback => plan.roll_back(now, &mut effects),
            ControlCommand::Shutdown => {
                plan.begin_shutdown(now, &mut effects);
                Ok(())
            }
        };
        if let Err(error) = result {
            return Ok(ControlResponse::Rejected(error.to_string()));
        }
        if !effects.is_empty() {
            self.dirty = true;
        }
        self.execute_effects(effects)?;
        Ok(ControlResponse::Fleet(Box::new(self.view())))
    }

    /// Returns the current state of the fleet.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let now = self.now();
        let seconds_since = |since: Micros| now.saturating_sub(since) as f64 / 1e6;
        let plan = &self.state.plan;
        let instance_view = |instance: &crate::plan::Instance| {
            let load = self.loads.get(&instance.incarnation);
            InstanceView {
                slot: self.state.slots[instance.slot].clone(),
                incarnation: instance.incarnation,
                generation: instance.generation,
                phase: instance.phase,
                phase_s: seconds_since(instance.phase_since),
                pid: instance.process.map(|process| process.pid),
                warmth: instance.warmth,
                rate: load.map_or(0.0, |load| load.rate),
                rejected_share: load.map_or(0.0, |load| load.rejected_share),
                open_requests: load.map_or(0, |load| load.open_requests),
                served: instance.counts.served,
                rejected: instance.counts.rejected,
                failed: instance.counts.failed + instance.counts.late,
            }
        };
        let terminated_view = |instance: &crate::plan::Instance| TerminatedInstanceView {
            incarnation: instance.incarnation,
            generation: instance.generation,
            phase: instance.phase,
            failure_reason: instance.failure_reason.clone(),
            log_path: self.log_path(instance.slot),
        };
        FleetView {
            daemon_pid: std::process::id(),
            version: plan.version(),
            stable_generation: plan.stable_generation(),
            replacement: plan.replacement().map(|replacement| ReplacementView {
                generation: replacement.generation,
                mode: replacement.mode,
                target_count: replacement.target_count,
                failures: replacement.failures,
                age_s: seconds_since(replacement.started_at),
                rollback_reason: replacement.rollback_reason.clone(),
            }),
            capacity: plan.capacity(),
            floor: plan.settings().floor(),
            converged: plan.is_converged(),
            shutting_down: plan.is_shutting_down(),
            rollback_reason: plan.rollback_reason().map(str::to_owned),
            instances: plan.instances().iter().map(instance_view).collect(),
            terminated: plan.terminated().map(terminated_view).collect(),
        }
    }
}

/// Searches a process that the previous daemon started and did not save. Retries, because a process that was just forked
/// does not have its arguments yet.
fn find_unsaved_process(argument: &str) -> io::Result<Option<crate::plan::ProcessIdentity>> {
    for attempt in 0..5 {
        if attempt > 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
        if let Some(process) = find_by_argument(argument)?.first() {
            return Ok(Some(*process));
        }
    }
    Ok(None)
}

/// Resumes a stored state, provided that it is compatible with the configuration.
fn resume_state(mut state: State, spec: &FleetSpec) -> Result<State, Error> {
    if state.plan.instances().is_empty() {
        // No instance runs: everything may change, but incarnation numbers are not reused.
        state
            .plan
            .reinitialize(spec.settings, spec.generation)
            .map_err(|e| Error::Rejected(e.to_string()))?;
        state.slots.clone_from(&spec.slots);
        state.releases.clone_from(&spec.releases);
        state.shared_address = spec.shared_address;
        return Ok(state);
    }
    if state.slots != spec.slots || state.shared_address != spec.shared_address {
        let message = "its fleet runs in other places than the file names: shut it down first, or name the same places";
        return Err(Error::Rejected(format!(
            "{}: {message}",
            spec.folder.display()
        )));
    }
    if state.plan.settings().instances != spec.settings.instances
        || state.plan.settings().surge != spec.settings.surge
    {
        let message =
            "its fleet has another number of instances or another surge: shut it down first";
        return Err(Error::Rejected(format!(
            "{}: {message}",
            spec.folder.display()
        )));
    }
    state
        .plan
        .update_settings(spec.settings)
        .map_err(|e| Error::Rejected(e.to_string()))?;
    for (generation, release) in &spec.releases {
        state
            .releases
            .entry(*generation)
            .or_insert_with(|| release.clone());
    }
    Ok(state)
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::InstanceFailed(incarnation, reason) => {
            tracing::error!("instance {incarnation} failed: {reason}");
        }
        Notice::DrainOverdue(incarnation) => {
            tracing::warn!("instance {incarnation} did not drain in time");
        }
        Notice::RollbackStarted(reason) => {
            tracing::error!("the replacement is rolled back: {reason}");
        }
        Notice::ReplacementCompleted(generation) => {
            tracing::info!("all instances run generation {generation}");
        }
        Notice::RollbackCompleted(generation) => {
            tracing::info!("all instances run generation {generation} again");
        }
    }
}

fn accept_all(listener: &UnixListener, mut on_connection: impl FnMut(UnixStream)) {
    // If no descriptor is left, the remaining connections wait for a later call.
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok() {
            on_connection(stream);
        }
    }
}

/// Reads the available data; returns false once the connection is closed or failed.
fn read_available(stream: &mut UnixStream, input: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4_096];
    while input.len() <= MAX_LINE_BYTES {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(length) => input.extend_from_slice(&buffer[..length]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
    true
}

fn flush(operator: &mut OperatorConnection) -> io::Result<()> {
    while !operator.output.is_empty() {
        match operator.stream.write(&operator.output) {
            Ok(length) => drop(operator.output.drain(..length)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Sends a command to the daemon of `folder` and returns its response.
///
/// # Errors
/// No daemon listens there, or its response is invalid.
pub fn send_command(folder: &Path, command: &ControlCommand) -> Result<ControlResponse, Error> {
    let path = folder.join(CONTROL_SOCKET);
    let mut stream = UnixStream::connect(&path).map_err(|error| match error.kind() {
        ErrorKind::NotFound | ErrorKind::ConnectionRefused => Error::Rejected(format!(
            "{}: no daemon runs there ({error})",
            path.display()
        )),
        _ => file_error(&path)(error),
    })?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(10)))?;
    let mut bytes = serde_json::to_vec(command).map_err(io::Error::from)?;
    bytes.push(b'\n');
    stream.write_all(&bytes).map_err(file_error(&path))?;
    let mut line = String::new();
    io::BufRead::read_line(&mut io::BufReader::new(stream), &mut line)
        .map_err(file_error(&path))?;
    serde_json::from_str(&line).map_err(|e| Error::Rejected(format!("{}: {e}", path.display())))
}

#[cfg(test)]
mod tests;
