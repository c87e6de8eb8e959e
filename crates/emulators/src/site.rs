//! A small site: runtime, store and directory on loopback, and the configuration of a matcher that goes with them.

use crate::callers;
use crate::host::{shared, Clock, Host, Running, Shared};
use crate::registry::ServiceRegistry;
use crate::runtime::{self, Runtime};
use crate::store::{self, Store};
use cleatpulley_policy::interface::Micros;
use serde_json::{json, Value};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const MS: Micros = 1_000;

/// A class of the site.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// It must never run twice.
    pub at_most_once: bool,
    /// Share of the requests.
    pub share: f64,
    /// Work on one core, from and to.
    pub work: (Micros, Micros),
    /// Calls to the store, from and to.
    pub calls: (u32, u32),
    /// Wanted within.
    pub latency_objective: Micros,
    /// Owed within.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that an answer without its calls keeps.
    pub skip_worth: f64,
}

/// The race matcher's four classes; their times are a quarter of the site's, so that a run shows more of them.
#[must_use]
pub fn classes() -> Vec<Class> {
    let class =
        |name, once, share, work: (u64, u64), calls, aim: u64, deadline: u64, worth, skip_worth| {
            Class {
                name,
                at_most_once: once,
                share,
                work: (work.0 * MS, work.1 * MS),
                calls,
                latency_objective: aim * MS,
                deadline: deadline * MS,
                worth,
                skip_worth,
            }
        };
    vec![
        class(
            "find-race",
            false,
            0.28,
            (78, 130),
            (1, 1),
            800,
            2_500,
            1.0,
            0.6,
        ),
        class(
            "lobby-view",
            false,
            0.28,
            (55, 90),
            (1, 1),
            600,
            2_500,
            1.0,
            0.3,
        ),
        class(
            "set-prefs",
            false,
            0.22,
            (55, 90),
            (1, 2),
            650,
            2_500,
            2.0,
            0.5,
        ),
        class(
            "claim-seat",
            true,
            0.22,
            (32, 55),
            (0, 2),
            450,
            2_500,
            4.0,
            0.0,
        ),
    ]
}

/// How a site is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The classes.
    pub classes: Vec<Class>,
    /// Cores of the runtime.
    pub cores: u32,
    /// Runs end at once.
    pub instant_runs: bool,
    /// The runtime has been up for so long: a cold one is slower at first.
    pub runtime_uptime: Micros,
    /// The store.
    pub store: store::Setup,
    /// Descriptors of the matcher.
    pub sockets: usize,
    /// Time from the notice to leave to the stop, and how long after it new requests may run.
    pub stop_timeout: Micros,
    /// The grace of a drain.
    pub drain_grace: Micros,
    /// For random numbers.
    pub seed: u64,
    /// Where runtime, store and directory listen; port 0 lets the system choose.
    pub ports: [u16; 3],
    /// Addresses of the runtime: each process that takes another's place needs one of its own.
    pub runtime_address_count: usize,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            classes: classes(),
            cores: 6,
            instant_runs: false,
            runtime_uptime: 3_600_000_000,
            store: store::Setup::default(),
            sockets: 1_024,
            stop_timeout: 3_200_000,
            drain_grace: 2_500_000,
            seed: 1,
            ports: [0; 3],
            runtime_address_count: 1,
        }
    }
}

impl Setup {
    /// Requests a second that the cores can do.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work =
            |class: &Class| class.share / shares * (class.work.0 + class.work.1) as f64 / 2.0;
        let mean: f64 = self.classes.iter().map(work).sum();
        f64::from(self.cores) * 1e6 / mean
    }

    /// The classes as callers see them.
    #[must_use]
    pub fn caller_classes(&self) -> Vec<callers::CallerClass> {
        let kind = |class: &Class| callers::CallerClass {
            name: class.name.to_owned(),
            share: class.share,
            work: (class.work.0 + class.work.1) / 2,
            latency_objective: class.latency_objective,
            deadline: class.deadline,
        };
        self.classes.iter().map(kind).collect()
    }

    /// A runtime of this site that is up since then.
    #[must_use]
    pub fn runtime(&self, seed: u64, since: Micros) -> Runtime {
        let kind = |class: &Class| runtime::RunClass {
            name: class.name.to_owned(),
            work: class.work,
            calls: class.calls,
            at_most_once: class.at_most_once,
        };
        let setup = runtime::Setup {
            classes: self.classes.iter().map(kind).collect(),
            cores: f64::from(self.cores),
            speed: 1.0,
            cold_from: 0.25,
            warm_after: 4_000_000,
            instant_runs: self.instant_runs,
            faults_per_mille: 0,
            seed,
        };
        Runtime::new(setup, since)
    }

    /// The settings of a matcher of this site.
    #[must_use]
    pub fn settings(&self) -> Value {
        let classes = self.classes.iter().map(|class| {
            json!({
                "name": class.name,
                "effect": if class.at_most_once { "at_most_once" } else { "idempotent" },
                "give_up": class.deadline, "on_time": class.latency_objective, "value": class.worth,
            })
        });
        let calls: Vec<_> = self.classes.iter().map(|class| class.calls.1 > 0).collect();
        let skip: Vec<_> = self.classes.iter().map(|class| class.skip_worth).collect();
        json!({
            "classes": classes.collect::<Vec<_>>(),
            "limits": {"retry_after": true, "max_retry_after": 2_000_000},
            "rules": {"answer_slack": 60_000, "cold_from": 0.25, "drain_grace": self.drain_grace, "fall_multiple": 6.0,
                      "ramp_time": 4_000_000},
            "servers": 1, "tick": 2_000, "worth_by": "work",
            "specifics": {"advert": "allowance", "below": "one_for_all", "callers": 4, "calls_out": self.store.slots,
                          "calls_over": 5_000_000, "class_calls": calls, "class_skip_worth": skip,
                          "cores": self.cores, "entry_kb": 10.0, "idle": 30_000_000, "linger": 200_000,
                          "memory_kb": f64::from(self.cores) * 1_200.0, "run_factor": 4.0,
                          "own_stats": ["cpu_busy", "runnable", "mem_used", "sockets"]}
        })
    }
}

/// The site, until it is dropped.
pub struct Site {
    /// Its clock.
    pub clock: Clock,
    /// The runtime.
    pub runtime: Shared<Runtime>,
    /// Where it is, for each process of a matcher.
    pub runtime_addresses: Vec<SocketAddr>,
    /// The store.
    pub store: Shared<Store>,
    /// The directory.
    pub registry: Shared<ServiceRegistry>,
    /// A matcher's configuration; it listens on a port that the system chooses.
    pub config: Value,
    /// How it is set up.
    pub setup: Setup,
    _running: Running,
}

/// A loopback address.
#[must_use]
pub fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Site {
    /// Starts runtime, store and directory.
    ///
    /// # Errors
    /// Where the system gives no port or poller.
    pub fn start(setup: Setup) -> io::Result<Self> {
        let clock = Clock::default();
        let runtime =
            shared(setup.runtime(setup.seed, clock.now().saturating_sub(setup.runtime_uptime)));
        let store = shared(Store::new(setup.store.clone()));
        let directory = shared(ServiceRegistry::default());
        let mut host = Host::default();
        let mut doors = vec![local(setup.ports[0])];
        doors.resize(setup.runtime_address_count.max(1), local(0));
        let runtimes = host.listen_at(&doors, runtime.clone())?;
        let runtime_at = runtimes[0];
        let store_at = host.listen(local(setup.ports[1]), store.clone())?;
        let lookup_at = host.listen(local(setup.ports[2]), directory.clone())?;
        let config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": format!("{:x}", setup.seed),
            "runtime": runtime_at.to_string(), "store": store_at.to_string(), "lookup": lookup_at.to_string(),
            "stop_ms": setup.stop_timeout / MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": setup.sockets},
            "settings": setup.settings(),
        });
        let running = host.start(clock)?;
        Ok(Self {
            clock,
            runtime,
            runtime_addresses: runtimes,
            store,
            registry: directory,
            config,
            setup,
            _running: running,
        })
    }

    /// The text of an operator file that switches AJP on, on a port that the system chooses; `rest` is added to its
    /// `ajp` section, `outside` stands beside it.
    #[must_use]
    pub fn operator_file(&self, rest: &str, outside: &str) -> String {
        let routes: Vec<_> = self
            .setup
            .classes
            .iter()
            .map(|class| format!("{{ path: '/{0}', class: '{0}' }}", class.name))
            .collect();
        format!(
            "{{\n  ajp: {{\n    listen: ['127.0.0.1:0'],\n    routes: [{}],\n    trusted_proxies: ['127.0.0.1'],\n    \
             figures: {{ id: 'X-Request-Id', work_ms: 'X-Work-Ms', memory_kb: 'X-Memory-Kb', rank: 'X-Rank', \
             caller: 'X-Caller', door: 'X-Door', key: 'Idempotency-Key' }},\n    {rest}\n  }},\n  {outside}\n}}\n",
            routes.join(", ")
        )
    }
}
