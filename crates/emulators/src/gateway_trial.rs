//! Trials of a gateway with targets that die, drain, slow down and fail, and with callers that
//! speak frames and AJP. The rules are checked from the records of targets and callers alone.

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

/// A scripted event at a target.
#[derive(Debug, Clone, Copy)]
pub enum TargetEvent {
    /// Kills the target.
    Kill,
    /// Starts it again on its old port.
    Restart,
    /// Starts or ends draining.
    SetDraining(bool),
    /// Sets the factor by which its runs take longer.
    SetSlowdown(f64),
    /// Sets how many of each thousand runs fail.
    SetFailures(u32),
}

/// A trial of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayTrial {
    /// Number of targets.
    pub targets: usize,
    /// Configuration of each target.
    pub setup: Setup,
    /// Directives added to the upstream block, such as `least_conn;`.
    pub balancing: String,
    /// Parameters added to the `server` line of each target, such as `max_fails=2`.
    pub server_options: String,
    /// Conditions of `proxy_next_upstream`, under which a request is retried at another target.
    pub next_upstream: String,
    /// Maximum number of retries, as a share of first attempts.
    pub retry_share: f64,
    /// Requests per second in each protocol.
    pub rates: Vec<(Protocol, f64)>,
    /// Time for which requests are sent.
    pub duration: Micros,
    /// Events, each with its time after the start and the index of its target.
    pub events: Vec<(Micros, usize, TargetEvent)>,
    /// Time after the start at which the gateway's routes are reduced to this number of first
    /// targets.
    pub reload_at: Option<(Micros, usize)>,
    /// Time after the start at which the gateway receives SIGTERM.
    pub terminate_at: Option<Micros>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Results of a trial.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Outcomes by protocol.
    pub tallies: Vec<(Protocol, Tally)>,
    /// Rule violations.
    pub violations: Vec<String>,
    /// Requests received by targets, per request issued.
    pub attempts_per_request: f64,
    /// Share of all runs that each target had.
    pub shares: Vec<f64>,
    /// Median and 99th percentile latency of served requests, in milliseconds.
    pub latency_ms: (f64, f64),
    /// CPU time of the gateway per request issued, in microseconds.
    pub cpu_per_request: f64,
    /// Peak resident memory of the gateway, in KB.
    pub memory_kb: u64,
    /// Log of the gateway.
    pub log: Vec<String>,
}

impl Report {
    /// Returns the share of issued requests that were served on time.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        let total = self.total();
        total.on_time as f64 / total.issued.max(1) as f64
    }

    /// Returns the sum of all protocols.
    #[must_use]
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.tallies.iter().for_each(|(_, tally)| total.add(tally));
        total
    }
}

/// Returns the request classes: one with an effect, and one that is safe to retry.
fn classes() -> Vec<CallerClass> {
    let class = |name: &str, share| CallerClass {
        name: name.to_owned(),
        share,
        work: 20 * MS,
        latency_objective: 400 * MS,
        deadline: 1_500 * MS,
    };
    vec![class("claim-seat", 0.4), class("lobby-view", 0.6)]
}

impl GatewayTrial {
    /// Returns the requests per second that all targets together can serve.
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

    /// Runs the trial.
    ///
    /// # Errors
    /// Fails when something does not start.
    pub fn run(&self, program: &Path) -> io::Result<Report> {
        let clock = Clock::default();
        let start_target = |number: usize| {
            TargetServer::start(
                Setup {
                    seed: self.seed + number as u64,
                    ..self.setup.clone()
                },
                clock,
            )
        };
        let mut targets = (0..self.targets)
            .map(start_target)
            .collect::<io::Result<Vec<_>>>()?;
        let mut gateway =
            Matcher::start_gateway(program, &self.routes(&targets, 0), &self.operator())?;
        let start = clock.now() + 50 * MS;
        let (mut host, mut all_callers) = (Host::default(), Vec::new());
        for (number, (protocol, rate)) in self.rates.iter().enumerate() {
            let address = match protocol {
                Protocol::Frames => gateway.frames,
                Protocol::Ajp => gateway
                    .ajp
                    .ok_or_else(|| io::Error::other("the gateway does not listen for AJP"))?,
            };
            let plan = LoadPlan {
                protocol: *protocol,
                address,
                connections: 128,
                rates: vec![(self.duration, *rate)],
                classes: classes(),
                body_bytes: 64,
                secret: None,
                caller_numbers: 1..5,
                deadline_slack: 110 * MS,
                key_field: None,
                random_intervals: true,
                seed: self.seed * 100 + number as u64,
            };
            let callers = shared(Callers::new(plan, start));
            host.add(callers.clone());
            all_callers.push(callers);
        }
        let host = host.start(clock)?;
        let mut pending_events = self.events.clone();
        pending_events.sort_by_key(|(at, ..)| *at);
        let mut pending_events = pending_events.into_iter().peekable();
        let (mut terminated, mut resource_peaks) = (false, (0, 0));
        let (mut routes_reloaded, mut received_at_reload) = (false, Vec::new());
        loop {
            let now = clock.now().saturating_sub(start);
            while let Some((_, target, event)) = pending_events.next_if(|(at, ..)| *at <= now) {
                match event {
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
            if let Some((_, first)) = self
                .reload_at
                .filter(|(at, _)| !routes_reloaded && now >= *at)
            {
                routes_reloaded = true;
                gateway.reload_routes(&self.routes(&targets[..first], 1))?;
                gateway.wait_for_log("routes read again")?;
                received_at_reload = targets
                    .iter()
                    .map(|target| with_lock(&target.target, |target| target.received))
                    .collect();
            }
            if !terminated && self.terminate_at.is_some_and(|at| now >= at) {
                terminated = true;
                gateway.terminate();
            }
            if let (Some((_, peak)), Some(cpu)) = (gateway.memory_kb(), gateway.cpu_micros()) {
                resource_peaks = (peak.max(resource_peaks.0), cpu.max(resource_peaks.1));
            }
            let done = all_callers
                .iter()
                .all(|callers| with_lock(callers, |callers| callers.is_done()));
            if now >= self.duration && done || now >= self.duration + 3_000 * MS {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut report = Report {
            memory_kb: resource_peaks.0,
            ..Report::default()
        };
        let mut add_violation = |number: u64, what: &str| {
            if number > 0 {
                report.violations.push(format!("{number} {what}"));
            }
        };
        if terminated {
            let status = gateway.wait_for_exit(Duration::from_secs(6));
            add_violation(
                u64::from(!status.is_ok_and(|status| status.success())),
                "gateway did not exit successfully",
            );
        } else {
            add_violation(u64::from(!gateway.is_alive()), "gateway exited by itself");
        }
        drop(host);
        let mut runs: HashMap<u64, u32> = HashMap::new();
        let mut runs_by_target = Vec::new();
        let mut received = 0;
        for target in &targets {
            with_lock(&target.target, |target| {
                received += target.received;
                runs_by_target.push(target.runs.values().sum::<u32>());
                for (id, count) in &target.runs {
                    *runs.entry(*id).or_default() += count;
                }
            });
        }
        if let Some((_, first)) = self.reload_at {
            // A few requests may have been in flight when the routes changed.
            let received_more = |(target, received): (&TargetServer, &u64)| {
                with_lock(&target.target, |target| target.received) > received + 2
            };
            let late_targets = targets
                .iter()
                .zip(&received_at_reload)
                .skip(first)
                .filter(|pair| received_more(*pair))
                .count();
            add_violation(
                late_targets as u64,
                "targets that still received requests after their removal from the routes",
            );
        }
        let mut latencies = Vec::new();
        for callers in &all_callers {
            with_lock(callers, |callers| {
                callers.finish();
                let (total, protocol) = (callers.total(), callers.plan().protocol);
                // Over AJP, a request that crosses the closing of an idle connection after SIGTERM
                // may be lost; it never ran.
                let lost_at_close =
                    |id: &&u64| terminated && protocol == Protocol::Ajp && !runs.contains_key(id);
                let lost_at_close =
                    callers.unanswered_ids.iter().filter(lost_at_close).count() as u64;
                add_violation(
                    total.unanswered - lost_at_close,
                    &format!("requests by {protocol} without a response"),
                );
                add_violation(
                    total.overdue,
                    &format!("responses by {protocol} after the deadline"),
                );
                add_violation(
                    total.wrong_result,
                    &format!("results by {protocol} that no run of the request produced"),
                );
                add_violation(
                    callers.unmatched_responses,
                    &format!("responses by {protocol} that belong to no request"),
                );
                let rejected_and_run = callers
                    .rejected_ids
                    .iter()
                    .filter(|id| runs.contains_key(id))
                    .count();
                add_violation(
                    rejected_and_run as u64,
                    &format!("requests by {protocol} rejected after they had run"),
                );
                let repeated = callers
                    .first_class_ids()
                    .iter()
                    .filter(|id| runs.get(id).is_some_and(|runs| *runs > 1))
                    .count();
                add_violation(
                    repeated as u64,
                    &format!("claim-seat requests by {protocol} that ran twice"),
                );
                latencies.extend(callers.latencies.concat());
                report.tallies.push((protocol, total));
            });
        }
        latencies.sort_unstable();
        let at = |share: f64| {
            latencies
                .get((latencies.len() as f64 * share) as usize)
                .map_or(0.0, |us| *us as f64 / 1e3)
        };
        report.latency_ms = (at(0.5), at(0.99));
        let issued = report.total().issued.max(1) as f64;
        report.attempts_per_request = received as f64 / issued;
        report.cpu_per_request = resource_peaks.1 as f64 / issued;
        let all_runs: u32 = runs_by_target.iter().sum();
        report.shares = runs_by_target
            .iter()
            .map(|runs| f64::from(*runs) / f64::from(all_runs.max(1)))
            .collect();
        report.log = gateway.log();
        Ok(report)
    }
}
