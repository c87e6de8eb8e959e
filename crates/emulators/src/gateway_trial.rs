//! A trial of a gateway: targets that die, drain, slow down and fail before it, callers by frames and AJP, and the rules
//! judged from the books of targets and callers alone.

use crate::callers::{CallerClass, Callers, LoadPlan, Protocol, Tally};
use crate::host::{shared, with_lock, Clock, Host};
use crate::matcher::Matcher;
use crate::target::{Setup, TargetServer};
use cleatpulley_policy::interface::Micros;
use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::time::Duration;

const MS: Micros = 1_000;

/// What happens to a target.
#[derive(Debug, Clone, Copy)]
pub enum TargetEvent {
    /// It dies.
    Kill,
    /// It comes back.
    Restart,
    /// It drains, or takes requests again.
    SetDraining(bool),
    /// Its runs take so many times longer.
    SetSlowdown(f64),
    /// Of a thousand runs so many fail.
    SetFailures(u32),
}

/// A trial.
#[derive(Debug, Clone)]
pub struct GatewayTrial {
    /// Targets.
    pub targets: usize,
    /// How each works.
    pub setup: Setup,
    /// Added to the upstream block, such as `least_conn;`.
    pub balancing: String,
    /// Added to each target's line, such as `max_fails=2`.
    pub server_options: String,
    /// Outcomes after which another target is tried.
    pub next_upstream: String,
    /// Further tries for each first try.
    pub retry_share: f64,
    /// Requests a second by each front.
    pub rates: Vec<(Protocol, f64)>,
    /// For so long.
    pub duration: Micros,
    /// What happens, when and to which target.
    pub events: Vec<(Micros, usize, TargetEvent)>,
    /// The gateway gets a table of the first so many targets alone.
    pub reload_at: Option<(Micros, usize)>,
    /// The notice to leave comes to the gateway this long after the beginning.
    pub terminate_at: Option<Micros>,
    /// For random numbers.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// By front.
    pub tallies: Vec<(Protocol, Tally)>,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Requests that came to targets, for each that was asked.
    pub attempts_per_request: f64,
    /// The share that each target ran, of all runs.
    pub shares: Vec<f64>,
    /// Latency of what was served, at the middle and at 99 of 100, in ms.
    pub latency_ms: (f64, f64),
    /// CPU of the gateway for each request, in microseconds.
    pub cpu_per_request: f64,
    /// Its memory at the peak, in KB.
    pub memory_kb: u64,
    /// The last lines of its log.
    pub log: Vec<String>,
}

impl Report {
    /// Share served in time, of what was asked.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        let total = self.total();
        total.on_time as f64 / total.issued.max(1) as f64
    }

    /// All fronts together.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.tallies.iter().for_each(|(_, tally)| total.add(tally));
        total
    }
}

/// The classes: one with an effect, and one that is safe.
fn kinds() -> Vec<CallerClass> {
    let kind = |name: &str, share| CallerClass {
        name: name.to_owned(),
        share,
        work: 20 * MS,
        latency_objective: 400 * MS,
        deadline: 1_500 * MS,
    };
    vec![kind("claim-seat", 0.4), kind("lobby-view", 0.6)]
}

impl GatewayTrial {
    /// Requests a second that all targets can do.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let mean = (self.setup.run_time.0 + self.setup.run_time.1) as f64 / 2.0;
        self.targets as f64 * self.setup.workers as f64 * 1e6 / mean
    }

    fn routes(&self, targets: &[TargetServer], version: usize) -> String {
        let servers: String = targets
            .iter()
            .map(|target| format!("    server {} {};\n", target.address, self.server_options))
            .collect();
        let location = |name: &str| {
            format!("    location = /{name} {{ set $matcher_class {name}; proxy_pass http://fleet; }}\n")
        };
        format!(
            "# {version}\nupstream fleet {{\n    {}\n{servers}}}\nserver {{\n    proxy_next_upstream {};\n    proxy_connect_timeout 300ms;\n{}{}    location / {{ return 404; }}\n}}\n",
            self.balancing,
            self.next_upstream,
            location("claim-seat"),
            location("lobby-view"),
        )
    }

    fn operator(&self) -> String {
        format!(
            "{{ gateway: {{ frames: ['127.0.0.1:0'], frames_host: 'gateway', ajp: {{ listen: ['127.0.0.1:0'], trusted_proxies: ['127.0.0.1'] }}, \
             routes: 'nginx.conf', retry_share: {}, stop_ms: 4000, drain_grace_ms: 2000, \
             classes: {{ 'claim-seat': {{ deadline_ms: 1500, effect: true }}, 'lobby-view': {{ deadline_ms: 1500, effect: false }} }} }} }}",
            self.retry_share
        )
    }

    /// Plays it.
    ///
    /// # Errors
    /// Where something does not start.
    pub fn run(&self, program: &Path) -> io::Result<Report> {
        let clock = Clock::default();
        let place = |number: usize| {
            TargetServer::start(
                Setup {
                    seed: self.seed + number as u64,
                    ..self.setup.clone()
                },
                clock,
            )
        };
        let mut targets = (0..self.targets)
            .map(place)
            .collect::<io::Result<Vec<_>>>()?;
        let mut gateway =
            Matcher::start_gateway(program, &self.routes(&targets, 0), &self.operator())?;
        let begin = clock.now() + 50 * MS;
        let (mut host, mut all) = (Host::default(), Vec::new());
        for (number, (front, rate)) in self.rates.iter().enumerate() {
            let to = match front {
                Protocol::Frames => gateway.frames,
                Protocol::Ajp => gateway
                    .ajp
                    .ok_or_else(|| io::Error::other("the gateway speaks no AJP"))?,
            };
            let plan = LoadPlan {
                protocol: *front,
                address: to,
                connections: 128,
                rates: vec![(self.duration, *rate)],
                classes: kinds(),
                body_bytes: 64,
                secret: None,
                caller_numbers: 1..5,
                deadline_slack: 110 * MS,
                key_field: None,
                random_intervals: true,
                seed: self.seed * 100 + number as u64,
            };
            let callers = shared(Callers::new(plan, begin));
            host.add(callers.clone());
            all.push(callers);
        }
        let host = host.start(clock)?;
        let mut acts = self.events.clone();
        acts.sort_by_key(|(at, ..)| *at);
        let mut acts = acts.into_iter().peekable();
        let (mut left, mut used) = (false, (0, 0));
        let (mut rerouted, mut came_at) = (false, Vec::new());
        loop {
            let now = clock.now().saturating_sub(begin);
            while let Some((_, target, act)) = acts.next_if(|(at, ..)| *at <= now) {
                match act {
                    TargetEvent::Kill => targets[target].kill(),
                    TargetEvent::Restart => targets[target].restart()?,
                    TargetEvent::SetDraining(draining) => {
                        with_lock(&targets[target].target, |target| {
                            target.set_draining(draining);
                        });
                    }
                    TargetEvent::SetSlowdown(slowness) => {
                        with_lock(&targets[target].target, |target| target.slowdown = slowness);
                    }
                    TargetEvent::SetFailures(faults) => {
                        with_lock(&targets[target].target, |target| {
                            target.failed_per_mille = faults;
                        });
                    }
                }
            }
            if let Some((_, first)) = self.reload_at.filter(|(at, _)| !rerouted && now >= *at) {
                rerouted = true;
                gateway.reload_routes(&self.routes(&targets[..first], 1))?;
                gateway.wait_for_log("routes read again")?;
                came_at = targets
                    .iter()
                    .map(|target| with_lock(&target.target, |target| target.received))
                    .collect();
            }
            if !left && self.terminate_at.is_some_and(|at| now >= at) {
                left = true;
                gateway.terminate();
            }
            if let (Some((_, peak)), Some(cpu)) = (gateway.memory_kb(), gateway.cpu_micros()) {
                used = (peak.max(used.0), cpu.max(used.1));
            }
            let done = all
                .iter()
                .all(|callers| with_lock(callers, |callers| callers.is_done()));
            if now >= self.duration && done || now >= self.duration + 3_000 * MS {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut report = Report {
            memory_kb: used.0,
            ..Report::default()
        };
        let mut broken = |number: u64, what: &str| {
            if number > 0 {
                report.violations.push(format!("{number} {what}"));
            }
        };
        if left {
            let status = gateway.wait_for_exit(Duration::from_secs(6));
            broken(
                u64::from(!status.is_ok_and(|status| status.success())),
                "gateway did not leave well",
            );
        } else {
            broken(u64::from(!gateway.is_alive()), "gateway ended by itself");
        }
        drop(host);
        let mut runs: HashMap<u64, u32> = HashMap::new();
        let mut own = Vec::new();
        let mut came = 0;
        for target in &targets {
            with_lock(&target.target, |target| {
                came += target.received;
                own.push(target.runs.values().sum::<u32>());
                for (id, count) in &target.runs {
                    *runs.entry(*id).or_default() += count;
                }
            });
        }
        if let Some((_, first)) = self.reload_at {
            // What was on its way as the table changed may still have come.
            let after = |(target, came): (&TargetServer, &u64)| {
                with_lock(&target.target, |target| target.received) > came + 2
            };
            let still = targets
                .iter()
                .zip(&came_at)
                .skip(first)
                .filter(|pair| after(*pair))
                .count();
            broken(
                still as u64,
                "targets that still got requests after they left the table",
            );
        }
        let mut latencies = Vec::new();
        for callers in &all {
            with_lock(callers, |callers| {
                callers.finish();
                let (total, front) = (callers.total(), callers.plan().protocol);
                // What crosses the end of an idle connection at a notice to leave may be lost by AJP, and never ran.
                let crossed = |id: &&u64| left && front == Protocol::Ajp && !runs.contains_key(id);
                let crossed = callers.unanswered_ids.iter().filter(crossed).count() as u64;
                broken(
                    total.unanswered - crossed,
                    &format!("requests by {front} without an answer"),
                );
                broken(
                    total.overdue,
                    &format!("answers by {front} after the due time"),
                );
                broken(
                    total.wrong_result,
                    &format!("results by {front} that no run made for the request"),
                );
                broken(
                    callers.unmatched_responses,
                    &format!("answers by {front} that nobody asked for"),
                );
                let ran = callers
                    .rejected_ids
                    .iter()
                    .filter(|id| runs.contains_key(id))
                    .count();
                broken(
                    ran as u64,
                    &format!("requests by {front} turned away that had run"),
                );
                let twice = callers
                    .first_class_ids()
                    .iter()
                    .filter(|id| runs.get(id).is_some_and(|runs| *runs > 1))
                    .count();
                broken(
                    twice as u64,
                    &format!("claim-seat by {front} that ran twice"),
                );
                latencies.extend(callers.latencies.concat());
                report.tallies.push((front, total));
            });
        }
        latencies.sort_unstable();
        let at = |share: f64| {
            latencies
                .get((latencies.len() as f64 * share) as usize)
                .map_or(0.0, |us| *us as f64 / 1e3)
        };
        report.latency_ms = (at(0.5), at(0.99));
        let asked = report.total().issued.max(1) as f64;
        report.attempts_per_request = came as f64 / asked;
        report.cpu_per_request = used.1 as f64 / asked;
        let all_runs: u32 = own.iter().sum();
        report.shares = own
            .iter()
            .map(|runs| f64::from(*runs) / f64::from(all_runs.max(1)))
            .collect();
        report.log = gateway.log();
        Ok(report)
    }
}
