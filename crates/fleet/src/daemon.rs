//! The daemon: an event loop that obeys the plan. It starts processes, hears how they are, sends them signals and answers
//! operators. What the plan wants saved is durable before the next thing is done, so that a daemon that dies at any moment is
//! followed by one that knows what was on.

use crate::instance_config::{Release, Slot};
use crate::plan::{Bounds, Effect, Event, Note, Phase, Plan, Status};
use crate::process::{find, secret, Running, Start};
use crate::regression::RequestCounts;
use crate::view::{Ask, GoneView, InstanceView, ReplacementView, Reply, View};
use crate::Micros;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, MaintenanceStatus, Options, Store};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io::{self, ErrorKind, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// The socket for operators, in the folder.
pub const CONTROL: &str = "control.sock";
const STATUS: &str = "status.sock";
const KEY: &[u8] = b"fleet";
/// A line is no longer than this.
const LONGEST_LINE: usize = 65_536;
/// Rates are taken over about so long.
const RATE_OVER: Micros = 1_000_000;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Instances of a daemon before this one pass on their listening socket within this time.
const PASSES_ON: Duration = Duration::from_secs(2);
/// Turns are not closer together than this.
const TURN: Duration = Duration::from_millis(5);
/// Bytes of the store that are looked after at a time.
const MAINTENANCE: usize = 65_536;

/// What goes wrong with a daemon as a whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder's store.
    #[error("{}: {what}", folder.display())]
    Store {
        /// The folder.
        folder: PathBuf,
        /// What it says.
        what: String,
    },
    /// A socket or file.
    #[error("{}: {what}", path.display())]
    File {
        /// Which.
        path: PathBuf,
        /// The system's error.
        what: io::Error,
    },
    /// What is asked for does not go with what is on.
    #[error("{0}")]
    Asked(String),
    /// The system.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// What a fleet is to be.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Where the daemon keeps what it knows.
    pub folder: PathBuf,
    /// The fleet's places.
    pub places: Vec<Slot>,
    /// Its releases.
    pub releases: BTreeMap<u32, Release>,
    /// The address that all instances share, where they do.
    pub shared: Option<SocketAddr>,
    /// Its bounds.
    pub bounds: Bounds,
    /// What it runs, where it does not run already.
    pub generation: u32,
}

/// What is kept.
#[derive(Serialize, Deserialize)]
struct State {
    plan: Plan,
    places: Vec<Slot>,
    releases: BTreeMap<u32, Release>,
    #[serde(default)]
    shared: Option<SocketAddr>,
    secret: u64,
}

/// What an instance said lately.
#[derive(Default)]
struct Said {
    held: usize,
    /// A point in time, and the counts then.
    from: (Micros, RequestCounts),
    rate: f64,
    refused_share: f64,
}

struct Link {
    stream: UnixStream,
    input: Vec<u8>,
    incarnation: Option<u64>,
    /// A descriptor that came along.
    passed: Option<OwnedFd>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            input: Vec::new(),
            incarnation: None,
            passed: None,
        }
    }

    /// Reads what has come; false where no more will.
    fn read(&mut self) -> bool {
        let mut buffer = [0; 4_096];
        while self.input.len() <= LONGEST_LINE {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut along = RecvAncillaryBuffer::new(&mut space);
            let received = recvmsg(
                &self.stream,
                &mut [IoSliceMut::new(&mut buffer)],
                &mut along,
                RecvFlags::CMSG_CLOEXEC,
            );
            for message in along.drain() {
                if let RecvAncillaryMessage::ScmRights(passed) = message {
                    self.passed = passed.last().or(self.passed.take());
                }
            }
            match received.map(|received| received.bytes) {
                Ok(0) => return false,
                Ok(number) => self.input.extend_from_slice(&buffer[..number]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}

struct Operator {
    stream: UnixStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

#[derive(Deserialize)]
struct Hello {
    incarnation: u64,
    token: String,
    pid: u32,
}

#[derive(Deserialize)]
struct Line {
    warmth: f64,
    served: u64,
    late: u64,
    refused: u64,
    failed: u64,
    held: usize,
    drains: bool,
}

/// The daemon.
pub struct Daemon {
    folder: PathBuf,
    store: Store<OsFolder>,
    state: State,
    dirty: bool,
    begun: (Micros, Instant),
    running: BTreeMap<u64, Running>,
    said: BTreeMap<u64, Said>,
    status: UnixListener,
    control: UnixListener,
    links: Vec<Link>,
    operators: Vec<Operator>,
    turned: Instant,
    /// The listening socket that all share.
    listener: Option<OwnedFd>,
    /// Instances that were taken up from a daemon before.
    pub adopted: usize,
}

fn at(path: &Path) -> impl Fn(io::Error) -> Error + '_ {
    |what| Error::File {
        path: path.to_owned(),
        what,
    }
}

fn listen(path: &Path) -> Result<UnixListener, Error> {
    // Whoever holds the store's lock is alone: a socket that is there is that of a daemon that is gone.
    match fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => return Err(at(path)(e)),
        _ => {}
    }
    let listener = UnixListener::bind(path).map_err(at(path))?;
    // Whoever may write there can end the fleet.
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(at(path))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Daemon {
    /// Opens the folder, takes up what runs, and begins what is missing.
    ///
    /// # Errors
    /// Another daemon on the folder; a fleet there that has other places or bounds; the system.
    pub fn open(wanted: Wanted) -> Result<Self, Error> {
        let folder = wanted.folder.clone();
        let failed = |what: String| Error::Store {
            folder: folder.clone(),
            what,
        };
        fs::create_dir_all(folder.join("logs")).map_err(at(&folder))?;
        fs::set_permissions(&folder, fs::Permissions::from_mode(0o700)).map_err(at(&folder))?;
        let files = OsFolder::new(folder.join("store"), true)?;
        let options = Options {
            segment_bytes: 1 << 20,
            ..Options::default()
        };
        let (store, _) = Store::open(files, options).map_err(|e| match e {
            cleatpulley_log_store::Error::Locked => {
                failed("another daemon has this fleet".to_owned())
            }
            e => failed(e.to_string()),
        })?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |at| at.as_micros() as Micros);
        let kept = store.get(now, KEY).map_err(|e| failed(e.to_string()))?;
        let state = match kept {
            Some(bytes) => {
                let state = serde_json::from_slice(&bytes)
                    .map_err(|e| failed(format!("its state: {e}")))?;
                go_on(state, &wanted)?
            }
            None => State {
                plan: Plan::new(wanted.bounds, wanted.generation, secret()?)
                    .map_err(|e| Error::Asked(e.to_string()))?,
                places: wanted.places,
                releases: wanted.releases,
                shared: wanted.shared,
                secret: secret()?,
            },
        };
        let status = listen(&folder.join(STATUS))?;
        let control = listen(&folder.join(CONTROL))?;
        let mut daemon = Self {
            folder,
            store,
            state,
            dirty: true,
            begun: (now, Instant::now()),
            running: BTreeMap::new(),
            said: BTreeMap::new(),
            status,
            control,
            links: Vec::new(),
            operators: Vec::new(),
            turned: Instant::now(),
            listener: None,
            adopted: 0,
        };
        daemon.recover()?;
        Ok(daemon)
    }

    fn now(&self) -> Micros {
        self.begun.0 + self.begun.1.elapsed().as_micros() as Micros
    }

    fn token(&self, incarnation: u64) -> String {
        let secret = self.state.secret;
        format!(
            "{:032x}",
            xxh3_128_with_seed(&incarnation.to_le_bytes(), secret)
        )
    }

    /// Takes up the processes of a daemon before: by number and start, or, where it died before it knew of one, by the token
    /// that only this instance was started with.
    fn recover(&mut self) -> Result<(), Error> {
        let known: Vec<_> = self
            .state
            .plan
            .instances()
            .iter()
            .map(|one| (one.incarnation, one.process))
            .collect();
        let mut facts = Vec::new();
        for (incarnation, process) in known {
            let words = || format!("{incarnation}:{}", self.token(incarnation));
            let process = process.or_else(|| look_for(&words()));
            match process.and_then(Running::adopt) {
                Some(running) => {
                    facts.push(Event::Spawned(incarnation, running.process));
                    self.running.insert(incarnation, running);
                    self.adopted += 1;
                }
                None => facts.push(Event::Exited(incarnation, crate::plan::Exit::Unseen)),
            }
        }
        if self.state.shared.is_some() && !self.running.is_empty() {
            self.await_listener()?;
        }
        let (now, mut out) = (self.now(), Vec::new());
        self.state.plan.recover(now, facts, &mut out);
        // The daemon before may have died between the saving and the signal.
        for one in self
            .state
            .plan
            .instances()
            .iter()
            .filter(|one| one.phase == Phase::Draining)
        {
            if let Some(running) = self.running.get(&one.incarnation) {
                running.signal(Signal::TERM);
            }
        }
        self.obey(out)
    }

    fn save(&mut self) -> Result<(), Error> {
        if !std::mem::take(&mut self.dirty) {
            return Ok(());
        }
        let failed = |what: String| Error::Store {
            folder: self.folder.clone(),
            what,
        };
        let bytes = serde_json::to_vec(&self.state).map_err(|e| failed(e.to_string()))?;
        let written = self.store.write(Batch::default().put(KEY, &bytes, None));
        written
            .and_then(|_| self.store.sync())
            .map_err(|e| failed(e.to_string()))
    }

    /// Carries out what the plan wants, and what it wants after that.
    fn obey(&mut self, effects: Vec<Effect>) -> Result<(), Error> {
        let mut todo = VecDeque::from(effects);
        while let Some(effect) = todo.pop_front() {
            match effect {
                Effect::Save => {
                    self.dirty = true;
                    continue;
                }
                Effect::Note(note) => {
                    tell(&note);
                    continue;
                }
                _ => self.save()?,
            }
            match effect {
                Effect::Spawn {
                    incarnation,
                    generation,
                    address,
                } => {
                    let event = self.spawn(incarnation, generation, address);
                    let (now, mut out) = (self.now(), Vec::new());
                    self.state.plan.handle(now, event, &mut out);
                    todo.extend(out);
                }
                Effect::Leave(incarnation) => self.signal(incarnation, Signal::TERM),
                Effect::Kill(incarnation) => self.signal(incarnation, Signal::KILL),
                Effect::Save | Effect::Note(_) => {}
            }
        }
        self.save()
    }

    fn signal(&self, incarnation: u64, signal: Signal) {
        tracing::info!(
            "instance {incarnation}: {}",
            if signal == Signal::TERM {
                "told to leave"
            } else {
                "killed"
            }
        );
        if let Some(running) = self.running.get(&incarnation) {
            running.signal(signal);
        }
    }

    fn log(&self, address: usize) -> PathBuf {
        let name = self
            .state
            .places
            .get(address)
            .map_or("none", |place| place.name.as_str());
        self.folder.join("logs").join(format!("{name}.log"))
    }

    fn spawn(&mut self, incarnation: u64, generation: u32, address: usize) -> Event {
        let listener = match self
            .state
            .shared
            .map(|address| self.shared_listener(address))
        {
            Some(Err(e)) => {
                return Event::NotSpawned(incarnation, format!("the shared listener: {e}"))
            }
            Some(Ok(listener)) => Some(listener),
            None => None,
        };
        let (Some(place), Some(release)) = (
            self.state.places.get(address),
            self.state.releases.get(&generation),
        ) else {
            let why = format!("there is no place {address} or no release {generation}");
            self.close_shared();
            return Event::NotSpawned(incarnation, why);
        };
        let start = Start {
            place,
            listener,
            release,
            socket: &self.folder.join(STATUS),
            incarnation,
            token: &self.token(incarnation),
            log: &self.log(address),
        };
        match Running::start(start) {
            Ok(running) => {
                let process = running.process;
                tracing::info!(
                    "instance {incarnation}: generation {generation} started as {} on {}, process {}",
                    place.name,
                    place.listen,
                    process.pid
                );
                self.running.insert(incarnation, running);
                Event::Spawned(incarnation, process)
            }
            Err(e) => {
                let why = format!("{}: {e}", release.program.display());
                self.close_shared();
                Event::NotSpawned(incarnation, why)
            }
        }
    }

    /// The listening socket that all share, a descriptor for one more of them.
    fn shared_listener(&mut self, address: SocketAddr) -> io::Result<OwnedFd> {
        if let Some(listener) = &self.listener {
            return listener.try_clone();
        }
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let own = OwnedFd::from(socket);
        let listener = own.try_clone()?;
        self.listener = Some(own);
        Ok(listener)
    }

    /// Instances of a daemon before pass on the socket that they accept with. Guards against a second one on the address:
    /// connections that wait at the first would be lost with its last instance.
    fn await_listener(&mut self) -> Result<(), Error> {
        let begun = Instant::now();
        while self.listener.is_none() && begun.elapsed() < PASSES_ON {
            std::thread::sleep(TURN);
            accept(&self.status, |stream| self.links.push(Link::new(stream)));
            for place in (0..self.links.len()).rev() {
                let open = self.links[place].read();
                let line = match self.links[place].incarnation {
                    None => take_line(&mut self.links[place].input),
                    Some(_) => None,
                };
                if line.is_some_and(|line| !self.greet(place, &line)) || !open {
                    self.links.swap_remove(place);
                }
            }
        }
        Ok(())
    }

    /// Guards against connections that wait where nobody will accept them.
    fn close_shared(&mut self) {
        if self.running.is_empty() {
            self.listener = None;
        }
    }

    fn tell_plan(&mut self, event: Event) -> Result<(), Error> {
        let (now, mut out) = (self.now(), Vec::new());
        self.state.plan.handle(now, event, &mut out);
        self.obey(out)
    }

    /// Goes on until the fleet has ended.
    ///
    /// # Errors
    /// Where what is on can't be kept, or the system gives no events. Instances serve on.
    pub fn run(&mut self) -> Result<(), Error> {
        loop {
            self.turn()?;
            if self.state.plan.ends() && self.state.plan.at_rest() {
                // Whoever asked still gets the answer.
                self.operators
                    .iter_mut()
                    .for_each(|operator| drop(flush(operator)));
                tracing::info!("the fleet has ended");
                return Ok(());
            }
        }
    }

    /// Waits for something, and does what follows.
    ///
    /// # Errors
    /// As [`run`](Self::run).
    pub fn turn(&mut self) -> Result<(), Error> {
        // Guards against a turn for each word of each instance.
        std::thread::sleep(TURN.saturating_sub(self.turned.elapsed()));
        self.turned = Instant::now();
        let now = self.now();
        let wait = self
            .state
            .plan
            .next(now)
            .map_or(1_000_000, |at| at.saturating_sub(now).min(1_000_000));
        let ids: Vec<u64> = self.running.keys().copied().collect();
        let seen: Vec<bool> = {
            let read = PollFlags::IN;
            let mut all = vec![
                PollFd::new(&self.status, read),
                PollFd::new(&self.control, read),
            ];
            all.extend(
                self.links
                    .iter()
                    .map(|link| PollFd::new(&link.stream, read)),
            );
            all.extend(self.operators.iter().map(|operator| {
                let write = if operator.output.is_empty() {
                    PollFlags::empty()
                } else {
                    PollFlags::OUT
                };
                PollFd::new(&operator.stream, read | write)
            }));
            all.extend(
                self.running
                    .values()
                    .map(|one| PollFd::from_borrowed_fd(one.descriptor(), read)),
            );
            let wait = Timespec {
                tv_sec: (wait / 1_000_000) as i64,
                tv_nsec: (wait % 1_000_000) as i64 * 1_000,
            };
            match poll(&mut all, Some(&wait)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => {
                    return Err(io::Error::from(e).into())
                }
                _ => all.iter().map(|one| !one.revents().is_empty()).collect(),
            }
        };
        let (links, operators) = (self.links.len(), self.operators.len());
        let ended = &seen[2 + links + operators..];
        // Ends come first: what an instance said before does not count any more.
        for (id, _) in ids.iter().zip(ended).filter(|(_, ended)| **ended) {
            if let Some(mut running) = self.running.remove(id) {
                let exit = running.ended();
                self.said.remove(id);
                self.tell_plan(Event::Exited(*id, exit))?;
                self.close_shared();
            }
        }
        for place in (0..links).rev().filter(|place| seen[2 + place]) {
            if !self.hear(place)? {
                self.links.swap_remove(place);
            }
        }
        for place in (0..operators).rev().filter(|place| seen[2 + links + place]) {
            if !self.serve(place)? {
                self.operators.swap_remove(place);
            }
        }
        if seen[0] {
            accept(&self.status, |stream| self.links.push(Link::new(stream)));
        }
        if seen[1] {
            accept(&self.control, |stream| {
                self.operators.push(Operator {
                    stream,
                    input: Vec::new(),
                    output: Vec::new(),
                });
            });
        }
        let (now, mut out) = (self.now(), Vec::new());
        self.state.plan.advance(now, &mut out);
        self.obey(out)?;
        if let Ok(MaintenanceStatus::MoreToDo) = self.store.run_maintenance_step(now, MAINTENANCE) {
            tracing::debug!("the store has more to tidy");
        }
        Ok(())
    }

    /// An instance says something; false where its link is over.
    fn hear(&mut self, place: usize) -> Result<bool, Error> {
        let open = self.links[place].read();
        while let Some(line) = take_line(&mut self.links[place].input) {
            let heard = match self.links[place].incarnation {
                None => self.greet(place, &line),
                Some(incarnation) => match serde_json::from_slice::<Line>(&line) {
                    Ok(line) => {
                        let status = self.note(incarnation, &line);
                        self.tell_plan(Event::Heard(incarnation, status))?;
                        true
                    }
                    Err(e) => {
                        tracing::warn!("instance {incarnation} says what can't be read: {e}");
                        false
                    }
                },
            };
            if !heard {
                return Ok(false);
            }
        }
        Ok(open && self.links[place].input.len() <= LONGEST_LINE)
    }

    /// Who is it? Numbers of processes come again and names are anybody's: the token tells.
    fn greet(&mut self, place: usize, line: &[u8]) -> bool {
        let Ok(hello) = serde_json::from_slice::<Hello>(line) else {
            return false;
        };
        if hello.token != self.token(hello.incarnation) {
            tracing::warn!(
                "somebody claims to be instance {} and is not",
                hello.incarnation
            );
            return false;
        }
        if self
            .running
            .get(&hello.incarnation)
            .is_none_or(|one| one.process.pid != hello.pid)
        {
            // Guards against two owners of an address: it was counted as gone, and is not.
            tracing::warn!(
                "instance {} was given up and lives: killed",
                hello.incarnation
            );
            let start = crate::process::started(hello.pid);
            let process = start.map(|start| crate::plan::Process {
                pid: hello.pid,
                start,
            });
            if let Some(ghost) = process.ok().and_then(Running::adopt) {
                ghost.signal(Signal::KILL);
            }
            return false;
        }
        self.links[place].incarnation = Some(hello.incarnation);
        let passed = self.links[place].passed.take();
        if self.state.shared.is_some() && self.listener.is_none() {
            self.listener = passed;
        }
        true
    }

    fn note(&mut self, incarnation: u64, line: &Line) -> Status {
        let now = self.now();
        let counts = RequestCounts {
            served: line.served,
            late: line.late,
            rejected: line.refused,
            failed: line.failed,
        };
        let said = self.said.entry(incarnation).or_default();
        said.held = line.held;
        let (from, before) = said.from;
        if from == 0 {
            said.from = (now, counts);
        } else if now >= from + RATE_OVER {
            let more = counts.since(before);
            said.rate = more.total() as f64 * 1e6 / (now - from) as f64;
            said.refused_share = more.rejected as f64 / more.total().max(1) as f64;
            said.from = (now, counts);
        }
        Status {
            warmth: line.warmth,
            counts,
            drains: line.drains,
        }
    }

    /// An operator asks; false where that is over.
    fn serve(&mut self, place: usize) -> Result<bool, Error> {
        let operator = &mut self.operators[place];
        let open = read(&mut operator.stream, &mut operator.input);
        while let Some(line) = take_line(&mut self.operators[place].input) {
            let reply = match serde_json::from_slice::<Ask>(&line) {
                Ok(ask) => self.answer(ask)?,
                Err(e) => Reply::Refused(format!("what was asked can't be read: {e}")),
            };
            let mut bytes = serde_json::to_vec(&reply).unwrap_or_default();
            bytes.push(b'\n');
            self.operators[place].output.extend_from_slice(&bytes);
        }
        let operator = &mut self.operators[place];
        let whole = flush(operator).is_ok();
        Ok(whole && operator.input.len() <= LONGEST_LINE && (open || !operator.output.is_empty()))
    }

    fn answer(&mut self, ask: Ask) -> Result<Reply, Error> {
        let (now, mut out) = (self.now(), Vec::new());
        let plan = &mut self.state.plan;
        let done = match ask {
            Ask::Status => Ok(()),
            Ask::Replace {
                generation,
                releases,
            } => {
                let unknown = !releases.iter().any(|(number, _)| *number == generation);
                let known: Vec<u32> = plan.instances().iter().map(|one| one.generation).collect();
                for (number, release) in releases {
                    // What instances run stays what it was, whatever a file says now.
                    if !known.contains(&number) {
                        self.state.releases.insert(number, release);
                    }
                }
                if unknown && !self.state.releases.contains_key(&generation) {
                    return Ok(Reply::Refused(format!("there is no release {generation}")));
                }
                plan.replace(now, generation, &mut out)
            }
            Ask::Pause => plan.pause(now, &mut out),
            Ask::Resume => plan.resume(now, &mut out),
            Ask::Rollback => plan.roll_back(now, &mut out),
            Ask::Down => {
                plan.end(now, &mut out);
                Ok(())
            }
        };
        if let Err(refused) = done {
            return Ok(Reply::Refused(refused.to_string()));
        }
        if !out.is_empty() {
            self.dirty = true;
        }
        self.obey(out)?;
        Ok(Reply::Fleet(Box::new(self.view())))
    }

    /// The fleet as it is.
    #[must_use]
    pub fn view(&self) -> View {
        let now = self.now();
        let seconds = |since: Micros| now.saturating_sub(since) as f64 / 1e6;
        let plan = &self.state.plan;
        let instance = |one: &crate::plan::Instance| {
            let said = self.said.get(&one.incarnation);
            InstanceView {
                place: self.state.places[one.address].clone(),
                incarnation: one.incarnation,
                generation: one.generation,
                phase: one.phase,
                phase_s: seconds(one.since),
                pid: one.process.map(|process| process.pid),
                warmth: one.warmth,
                rate: said.map_or(0.0, |said| said.rate),
                refused_share: said.map_or(0.0, |said| said.refused_share),
                held: said.map_or(0, |said| said.held),
                served: one.counts.served,
                refused: one.counts.rejected,
                failed: one.counts.failed + one.counts.late,
            }
        };
        let gone = |one: &crate::plan::Instance| GoneView {
            incarnation: one.incarnation,
            generation: one.generation,
            phase: one.phase,
            why: one.why.clone(),
            log: self.log(one.address),
        };
        View {
            daemon: std::process::id(),
            version: plan.version(),
            stable: plan.stable(),
            replacement: plan.replacement().map(|one| ReplacementView {
                generation: one.generation,
                mode: one.mode,
                quota: one.quota,
                crashes: one.crashes,
                age_s: seconds(one.begun),
                halted: one.halted.clone(),
            }),
            capacity: plan.capacity(),
            floor: plan.bounds().floor(),
            at_rest: plan.at_rest(),
            ends: plan.ends(),
            halted: plan.halted().map(str::to_owned),
            instances: plan.instances().iter().map(instance).collect(),
            gone: plan.gone().map(gone).collect(),
        }
    }
}

/// A process that the daemon before had started and not saved. Guards against one that has just been forked, and does not
/// have its arguments yet.
fn look_for(words: &str) -> Option<crate::plan::Process> {
    (0..5).find_map(|turn| {
        if turn > 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
        find(words).first().copied()
    })
}

/// Goes on with what is kept, where that goes with what is wanted now.
fn go_on(mut state: State, wanted: &Wanted) -> Result<State, Error> {
    if state.plan.instances().is_empty() {
        // Nothing runs: all may be as wanted now, but no number comes again.
        state
            .plan
            .begin_again(wanted.bounds, wanted.generation)
            .map_err(|e| Error::Asked(e.to_string()))?;
        state.places.clone_from(&wanted.places);
        state.releases.clone_from(&wanted.releases);
        state.shared = wanted.shared;
        return Ok(state);
    }
    if state.places != wanted.places || state.shared != wanted.shared {
        let what = "its fleet runs in other places than the file names: take it down first, or name the same";
        return Err(Error::Asked(format!("{}: {what}", wanted.folder.display())));
    }
    if state.plan.bounds().instances != wanted.bounds.instances
        || state.plan.bounds().surge != wanted.bounds.surge
    {
        let what = "its fleet has another number of instances or another surge: take it down first";
        return Err(Error::Asked(format!("{}: {what}", wanted.folder.display())));
    }
    state
        .plan
        .set_bounds(wanted.bounds)
        .map_err(|e| Error::Asked(e.to_string()))?;
    for (generation, release) in &wanted.releases {
        state
            .releases
            .entry(*generation)
            .or_insert_with(|| release.clone());
    }
    Ok(state)
}

fn tell(note: &Note) {
    match note {
        Note::Failed(incarnation, why) => {
            tracing::error!("instance {incarnation} has failed: {why}");
        }
        Note::Overdue(incarnation) => {
            tracing::warn!("instance {incarnation} does not leave in time");
        }
        Note::Halted(why) => tracing::error!("the replacement goes back: {why}"),
        Note::Replaced(generation) => tracing::info!("all run generation {generation}"),
        Note::WentBack(generation) => tracing::info!("all run generation {generation} again"),
    }
}

fn accept(listener: &UnixListener, mut take: impl FnMut(UnixStream)) {
    // Where no descriptor is left the rest waits.
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok() {
            take(stream);
        }
    }
}

/// Reads what has come; false where no more will.
fn read(stream: &mut UnixStream, input: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4_096];
    while input.len() <= LONGEST_LINE {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(number) => input.extend_from_slice(&buffer[..number]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
    true
}

fn take_line(input: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = input.iter().position(|byte| *byte == b'\n')?;
    let mut line: Vec<u8> = input.drain(..=end).collect();
    line.pop();
    Some(line)
}

fn flush(operator: &mut Operator) -> io::Result<()> {
    while !operator.output.is_empty() {
        match operator.stream.write(&operator.output) {
            Ok(number) => drop(operator.output.drain(..number)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Asks the daemon of a folder.
///
/// # Errors
/// Where none listens, or it can't be understood.
pub fn ask(folder: &Path, ask: &Ask) -> Result<Reply, Error> {
    let path = folder.join(CONTROL);
    let mut stream = UnixStream::connect(&path).map_err(|what| match what.kind() {
        ErrorKind::NotFound | ErrorKind::ConnectionRefused => {
            Error::Asked(format!("{}: no daemon runs there ({what})", path.display()))
        }
        _ => at(&path)(what),
    })?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(10)))?;
    let mut bytes = serde_json::to_vec(ask).map_err(io::Error::from)?;
    bytes.push(b'\n');
    stream.write_all(&bytes).map_err(at(&path))?;
    let mut line = String::new();
    io::BufRead::read_line(&mut io::BufReader::new(stream), &mut line).map_err(at(&path))?;
    serde_json::from_str(&line).map_err(|e| Error::Asked(format!("{}: {e}", path.display())))
}

#[cfg(test)]
mod tests;
