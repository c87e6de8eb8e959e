//! The real matcher: one event loop, and the adapters round the [`Exchange`].

pub mod conn;
pub mod directory;
pub mod frame;
pub mod front;
pub mod http;
pub mod line;
pub mod runtime;
pub mod store;

use crate::config::{Config, Sources};
use crate::exchange::{Command, Exchange, Fact};
use crate::interface::Micros;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle, Readiness};
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Access to the event loop.
pub type Handle = LoopHandle<'static, Node>;

/// Descriptors that are neither a front end's nor the store's: the loop's own, the listener, the link, the
/// directory, the log, and some to spare.
const SPARE: usize = 32;
/// Connections to the store are at most this share of the descriptors, and within these bounds: a matcher's share
/// of calls is far smaller, and front ends may open connections for half of the descriptors.
const STORE_SHARE: usize = 16;
const STORE: std::ops::RangeInclusive<usize> = 8..=64;
/// Before the stop front ends are told to send no more, while there is time to answer what is on its way.
const FAREWELL: Micros = 400_000;

/// The other end of a connection.
#[derive(Debug, Clone, Copy)]
pub enum Party {
    /// A front end, by the number of its connection.
    Front(u64),
    /// The runtime.
    Runtime,
    /// The store, by the number of its connection.
    Store(u64),
    /// The directory.
    Directory,
}

/// One clock for all facts: microseconds of the Unix clock at the start, and monotonic from there on.
struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros);
        Self { unix, start: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

/// A matcher on its sockets.
pub struct Node {
    sources: Sources,
    clock: Clock,
    stop: Micros,
    exchange: Exchange,
    front: front::Front,
    runtime: runtime::Runtime,
    store: store::Store,
    directory: directory::Directory,
    facts: Vec<Fact>,
    commands: Vec<Command>,
    /// When the process is stopped, once the notice to leave has come.
    stop_at: Option<Micros>,
}

/// Serves until the notice to leave has come and its time has passed. The sources are read again on SIGHUP.
///
/// # Errors
/// When the event loop or the listening socket can't be had.
pub fn serve(config: Config, sources: Sources) -> io::Result<()> {
    let mut event_loop: EventLoop<'static, Node> = EventLoop::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(io::Error::other)?;
    let heard = |event: calloop::signals::Event, (): &mut (), node: &mut Node| match event.signal() {
        Signal::SIGHUP => node.reload(),
        _ => node.leave(),
    };
    handle.insert_source(signals, heard).map_err(|e| io::Error::other(e.to_string()))?;
    let calls = (config.sockets / STORE_SHARE).clamp(*STORE.start(), *STORE.end());
    let most = config.sockets.saturating_sub(SPARE + calls).max(1);
    let front = front::Front::listen(handle.clone(), config.listen, config.class_names.clone(), most)
        .map_err(|e| io::Error::new(e.kind(), format!("listen: {}: {e}", config.listen)))?;
    log::info!("{} listens on {}", config.name, front.address());
    let runtime =
        runtime::Runtime::new(handle.clone(), config.runtime, config.class_names, config.gauge_names);
    let mut node = Node {
        sources,
        clock: Clock::new(),
        stop: config.stop,
        exchange: Exchange::new(config.settings, config.seed),
        front,
        runtime,
        store: store::Store::new(handle.clone(), config.store, calls),
        directory: directory::Directory::new(handle, config.lookup, &config.name),
        facts: Vec::new(),
        commands: Vec::new(),
        stop_at: None,
    };
    loop {
        let wait = node.turn();
        if node.is_over() {
            log::info!("left");
            return Ok(());
        }
        match event_loop.dispatch(wait, &mut node) {
            Err(calloop::Error::IoError(e)) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            Err(calloop::Error::OtherError(e)) => return Err(io::Error::other(e.to_string())),
            _ => {}
        }
    }
}

impl Node {
    /// The event loop saw something on a connection.
    pub fn ready(&mut self, party: Party, readiness: Readiness) {
        match party {
            Party::Front(number) => self.front.note(number, readiness),
            Party::Runtime => self.runtime.note(readiness),
            Party::Store(number) => self.store.note(number, readiness),
            Party::Directory => self.directory.note(readiness),
        }
    }

    /// The event loop saw new connections.
    pub fn acceptable(&mut self) {
        self.front.note_listener();
    }

    /// The notice to leave; only the first counts.
    fn leave(&mut self) {
        if self.stop_at.is_none() {
            let stop_at = self.clock.now() + self.stop;
            log::info!("leaving within {} ms", self.stop / 1_000);
            self.stop_at = Some(stop_at);
            self.facts.push(Fact::Drain { stop_at });
        }
    }

    /// Reads the configuration again and goes on with the addresses of the other parties in it; the rest of it
    /// takes hold with the next start. A faulty one changes nothing.
    fn reload(&mut self) {
        let config = match Config::load(&self.sources) {
            Ok(config) => config,
            Err(fault) => {
                log::error!("the configuration stays as it was: {fault}");
                return;
            }
        };
        let now = self.clock.now();
        let Config { runtime, store, lookup, .. } = config;
        log::info!("configuration read again: runtime {runtime}, store {store}, directory {lookup}");
        self.runtime.relocate(now, runtime);
        self.store.relocate(now, store, &mut self.facts);
        self.directory.relocate(now, lookup);
    }

    /// All is answered and nobody can ask any more, or it is time.
    fn is_over(&self) -> bool {
        self.stop_at.is_some_and(|at| {
            let now = self.clock.now();
            let quiet = self.exchange.unanswered() == 0 && self.front.connections() == 0;
            now >= at || (quiet && now + FAREWELL / 2 >= at)
        })
    }

    /// Takes up what the event loop noted, lets the exchange decide, and carries that out. Returns how long
    /// there is nothing to do but wait.
    fn turn(&mut self) -> Duration {
        let now = self.clock.now();
        if self.stop_at.is_some_and(|at| now + FAREWELL >= at) {
            self.front.part(now);
        }
        let mut more = self.front.turn(now, &mut self.facts);
        more |= self.runtime.turn(now, &mut self.facts);
        self.store.turn(now, &mut self.facts);
        for fact in self.facts.drain(..) {
            self.exchange.hear(now, fact, &mut self.commands);
        }
        self.exchange.advance(now, &mut self.commands);
        for command in std::mem::take(&mut self.commands) {
            self.carry_out(now, command);
        }
        self.front.flush(now, &mut self.facts);
        more |= self.runtime.turn(now, &mut self.facts);
        self.store.turn(now, &mut self.facts);
        self.directory.turn(now, self.runtime.up() && self.stop_at.is_none());
        if more || !self.facts.is_empty() {
            return Duration::ZERO;
        }
        let next = [self.exchange.next(), self.runtime.next(), self.store.next(), self.stop_at];
        let next = next.into_iter().flatten().chain([self.front.next(), self.directory.next()]).min();
        Duration::from_micros(next.map_or(0, |at| at.saturating_sub(self.clock.now())))
    }

    fn carry_out(&mut self, now: Micros, command: Command) {
        match command {
            Command::Answer { to, answer } => self.front.answer(now, to, &answer),
            Command::Start { id, class, body } => self.runtime.start(id, class, &body),
            Command::Give { id, body } => self.runtime.give(id, &body),
            Command::Omit { id, notice } => self.runtime.omit(id, notice),
            Command::Call(call) => self.store.call(now, call, &mut self.facts),
            Command::Abandon(id) => self.store.abandon(id),
            Command::AskGauges => self.runtime.ask_gauges(),
            Command::Health(good) => {
                log::info!("health checks are answered {}", if good { "good" } else { "bad" });
                self.front.set_health(good);
            }
            Command::Feedback(value) => self.front.set_feedback(value),
            Command::CloseIdle(after) => self.front.set_idle(after),
        }
    }
}
