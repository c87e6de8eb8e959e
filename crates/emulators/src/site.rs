//! A small emulated site: runtime, store and service registry on loopback, and the configuration of
//! a matcher that uses them.

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

/// A request class of the site.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Whether a request must not run twice.
    pub at_most_once: bool,
    /// Relative share of the requests.
    pub share: f64,
    /// Minimum and maximum work of a request, as time on one core.
    pub work: (Micros, Micros),
    /// Minimum and maximum number of calls to the store.
    pub calls: (u32, u32),
    /// Time within which a response is on time.
    pub latency_objective: Micros,
    /// Time within which a final response is due.
    pub deadline: Micros,
    /// Weight of a response that is on time.
    pub weight: f64,
    /// Share of the weight that a response without its calls keeps.
    pub skip_weight_ratio: f64,
}

/// Returns the four classes of the race matcher; their times are a quarter of those of the real
/// site, so that a trial includes more requests.
#[must_use]
pub fn classes() -> Vec<Class> {
    let class = |name,
                 once,
                 share,
                 work: (u64, u64),
                 calls,
                 objective: u64,
                 deadline: u64,
                 weight,
                 skip_weight_ratio| {
        Class {
            name,
            at_most_once: once,
            share,
            work: (work.0 * MS, work.1 * MS),
            calls,
            latency_objective: objective * MS,
            deadline: deadline * MS,
            weight,
            skip_weight_ratio,
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

/// Configuration of a site.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Number of cores of the runtime.
    pub cores: u32,
    /// Whether runs end at once, without simulated work.
    pub instant_runs: bool,
    /// Time for which the runtime has already been up; a cold one is slower at first.
    pub runtime_uptime: Micros,
    /// Configuration of the store.
    pub store: store::Setup,
    /// Maximum number of sockets of the matcher.
    pub sockets: usize,
    /// Time from SIGTERM to the exit of the matcher.
    pub stop_timeout: Micros,
    /// Time after SIGTERM within which new requests may still run.
    pub drain_grace: Micros,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Ports of the runtime, the store and the registry; 0 lets the system choose.
    pub ports: [u16; 3],
    /// Number of listen addresses of the runtime; each successor of a matcher needs one of its own.
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
    /// Returns the requests per second that the cores can serve.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work =
            |class: &Class| class.share / shares * (class.work.0 + class.work.1) as f64 / 2.0;
        let mean: f64 = self.classes.iter().map(work).sum();
        f64::from(self.cores) * 1e6 / mean
    }

    /// Returns the classes as callers see them.
    #[must_use]
    pub fn caller_classes(&self) -> Vec<callers::CallerClass> {
        let to_class = |class: &Class| callers::CallerClass {
            name: class.name.to_owned(),
            share: class.share,
            work: (class.work.0 + class.work.1) / 2,
            latency_objective: class.latency_objective,
            deadline: class.deadline,
        };
        self.classes.iter().map(to_class).collect()
    }

    /// Creates a runtime of this site that started at this time.
    #[must_use]
    pub fn runtime(&self, seed: u64, started_at: Micros) -> Runtime {
        let to_class = |class: &Class| runtime::RunClass {
            name: class.name.to_owned(),
            work: class.work,
            calls: class.calls,
            at_most_once: class.at_most_once,
        };
        let setup = runtime::Setup {
            classes: self.classes.iter().map(to_class).collect(),
            cores: f64::from(self.cores),
            speed: 1.0,
            cold_from: 0.25,
            warm_after: 4_000_000,
            instant_runs: self.instant_runs,
            faults_per_mille: 0,
            seed,
        };
        Runtime::new(setup, started_at)
    }

    /// Returns the settings of a matcher of this site.
    #[must_use]
    pub fn settings(&self) -> Value {
        let classes = self.classes.iter().map(|class| {
            json!({
                "name": class.name,
                "effect": if class.at_most_once { "at_most_once" } else { "idempotent" },
                "give_up": class.deadline, "on_time": class.latency_objective, "value": class.weight,
            })
        });
        let calls: Vec<_> = self.classes.iter().map(|class| class.calls.1 > 0).collect();
        let skip_weights: Vec<_> = self
            .classes
            .iter()
            .map(|class| class.skip_weight_ratio)
            .collect();
        json!({
            "classes": classes.collect::<Vec<_>>(),
            "limits": {"retry_after": true, "max_retry_after": 2_000_000},
            "rules": {"answer_slack": 60_000, "cold_from": 0.25, "drain_grace": self.drain_grace, "fall_multiple": 6.0,
                      "ramp_time": 4_000_000},
            "servers": 1, "tick": 2_000, "worth_by": "work",
            "specifics": {"advert": "allowance", "below": "one_for_all", "callers": 4, "calls_out": self.store.slots,
                          "calls_over": 5_000_000, "class_calls": calls, "class_skip_worth": skip_weights,
                          "cores": self.cores, "entry_kb": 10.0, "idle": 30_000_000, "linger": 200_000,
                          "memory_kb": f64::from(self.cores) * 1_200.0, "run_factor": 4.0,
                          "own_stats": ["cpu_busy", "runnable", "mem_used", "sockets"]}
        })
    }
}

/// A running site; its services stop when this is dropped.
pub struct Site {
    /// Clock of the services.
    pub clock: Clock,
    /// The runtime.
    pub runtime: Shared<Runtime>,
    /// Listen addresses of the runtime, one for each matcher process.
    pub runtime_addresses: Vec<SocketAddr>,
    /// Configuration of the store.
    pub store: Shared<Store>,
    /// The service registry.
    pub registry: Shared<ServiceRegistry>,
    /// Configuration of a matcher that listens on a port chosen by the system.
    pub config: Value,
    /// Configuration of the site.
    pub setup: Setup,
    _running: Running,
}

/// Returns the loopback address with this port.
#[must_use]
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Site {
    /// Starts the runtime, the store and the registry.
    ///
    /// # Errors
    /// Fails when the system provides no port or poller.
    pub fn start(setup: Setup) -> io::Result<Self> {
        let clock = Clock::default();
        let runtime =
            shared(setup.runtime(setup.seed, clock.now().saturating_sub(setup.runtime_uptime)));
        let store = shared(Store::new(setup.store.clone()));
        let registry = shared(ServiceRegistry::default());
        let mut host = Host::default();
        let mut addresses = vec![loopback(setup.ports[0])];
        addresses.resize(setup.runtime_address_count.max(1), loopback(0));
        let runtime_addresses = host.listen_at(&addresses, runtime.clone())?;
        let runtime_address = runtime_addresses[0];
        let store_address = host.listen(loopback(setup.ports[1]), store.clone())?;
        let registry_address = host.listen(loopback(setup.ports[2]), registry.clone())?;
        let config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": format!("{:x}", setup.seed),
            "runtime": runtime_address.to_string(), "store": store_address.to_string(), "lookup": registry_address.to_string(),
            "stop_ms": setup.stop_timeout / MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": setup.sockets},
            "settings": setup.settings(),
        });
        let running = host.start(clock)?;
        Ok(Self {
            clock,
            runtime,
            runtime_addresses,
            store,
            registry,
            config,
            setup,
            _running: running,
        })
    }

    /// Returns the text of an operator file that enables AJP on a port chosen by the system.
    /// `ajp_options` is added to its `ajp` section, `other_sections` follows that section.
    #[must_use]
    pub fn operator_file(&self, ajp_options: &str, other_sections: &str) -> String {
        let routes: Vec<_> = self
            .setup
            .classes
            .iter()
            .map(|class| format!("{{ path: '/{0}', class: '{0}' }}", class.name))
            .collect();
        format!(
            "{{\n  ajp: {{\n    listen: ['127.0.0.1:0'],\n    routes: [{}],\n    trusted_proxies: ['127.0.0.1'],\n    \
             figures: {{ id: 'X-Request-Id', work_ms: 'X-Work-Ms', memory_kb: 'X-Memory-Kb', rank: 'X-Rank', \
             caller: 'X-Caller', door: 'X-Door', key: 'Idempotency-Key' }},\n    {ajp_options}\n  }},\n  {other_sections}\n}}\n",
            routes.join(", ")
        )
    }
}
