//! A trial: the stand-ins, a matcher as a child process, callers on both fronts, and the rules judged from the books
//! of the stand-ins and callers alone.

use crate::callers::{Callers, LoadPlan, Protocol, Tally};
use crate::host::{shared, with_lock, Host, Running, Shared};
use crate::matcher::Matcher;
use crate::site::{Setup, Site};
use cleatpulley_policy::interface::Micros;
use std::collections::HashSet;
use std::fmt;
use std::io;
use std::path::Path;
use std::time::Duration;

/// A new process says yes within this time, and an old one has left so long after it was told to.
const READY_WITHIN: Duration = Duration::from_secs(6);
const STOP_WITHIN: Duration = Duration::from_millis(3_750);

/// What the callers of one front send.
#[derive(Debug, Clone)]
pub struct Load {
    /// The front.
    pub protocol: Protocol,
    /// Requests a second, each until this time after the beginning.
    pub rates: Vec<(Micros, f64)>,
    /// Connections at most.
    pub connections: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// The field of frames for keys, where each request brings one.
    pub key_field: Option<String>,
}

/// A trial.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The site.
    pub site: Setup,
    /// What is sent.
    pub loads: Vec<Load>,
    /// Added to the `ajp` section of the operator file.
    pub ajp_options: String,
    /// Added beside it.
    pub operator_sections: String,
    /// The notice to leave comes this long after the beginning.
    pub terminate_at: Option<Micros>,
}

/// A trial under way.
pub struct RunningTrial {
    /// The site.
    pub site: Site,
    /// The matcher.
    pub matcher: Matcher,
    /// The callers, one for each load.
    pub callers: Vec<Shared<Callers>>,
    /// When it began.
    pub begin: Micros,
    left_at: Option<Micros>,
    /// The matcher's memory at its peak and its CPU, as last seen: nothing tells once it has left.
    used: (u64, u64),
    _host: Running,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// By front and class.
    pub tallies: Vec<(Protocol, String, Tally)>,
    /// Rules that were broken, each with how often; none where all held.
    pub violations: Vec<String>,
    /// Most requests that ran at once.
    pub peak_running: usize,
    /// Calls to the store, and most at once.
    pub calls: (u64, usize),
    /// The matcher's memory at its peak, in KB.
    pub memory_kb: u64,
    /// The matcher's CPU, in microseconds.
    pub cpu: u64,
    /// Latency of what was served, at the middle and at 99 of 100, in milliseconds, by front.
    pub latency_ms: Vec<(Protocol, f64, f64)>,
    /// The same by class.
    pub class_latency_ms: Vec<(Protocol, String, f64, f64)>,
    /// The last lines of the matcher's log.
    pub log: Vec<String>,
}

impl Trial {
    /// Starts everything; callers begin at once.
    ///
    /// # Errors
    /// Where a port can't be had or the matcher does not start.
    pub fn start(&self, program: &Path) -> io::Result<RunningTrial> {
        let site = Site::start(self.site.clone())?;
        let ajp = self.loads.iter().any(|load| load.protocol == Protocol::Ajp);
        let operator = (ajp || !self.operator_sections.is_empty())
            .then(|| site.operator_file(&self.ajp_options, &self.operator_sections));
        let matcher = Matcher::start(program, &site.config, operator.as_deref())?;
        let begin = site.clock.now() + 50_000;
        let mut host = Host::default();
        let mut callers = Vec::new();
        for (i, load) in self.loads.iter().enumerate() {
            let to = match load.protocol {
                Protocol::Frames => matcher.frames,
                Protocol::Ajp => matcher
                    .ajp
                    .ok_or_else(|| io::Error::other("the matcher speaks no AJP"))?,
            };
            let plan = LoadPlan {
                protocol: load.protocol,
                address: to,
                connections: load.connections,
                rates: load.rates.clone(),
                classes: self.site.caller_classes(),
                body_bytes: load.body_bytes,
                secret: None,
                caller_numbers: (2 * i as u64 + 1)..(2 * i as u64 + 3),
                // What the rules allow on sockets beyond the slack.
                deadline_slack: 110_000,
                key_field: load.key_field.clone(),
                random_intervals: true,
                seed: self.site.seed.wrapping_mul(1_000).wrapping_add(i as u64),
            };
            let one = shared(Callers::new(plan, begin));
            host.add(one.clone());
            callers.push(one);
        }
        let host = host.start(site.clock)?;
        Ok(RunningTrial {
            site,
            matcher,
            callers,
            begin,
            left_at: None,
            used: (0, 0),
            _host: host,
        })
    }

    /// Plays it to its end.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub fn run(
        &self,
        program: &Path,
        mut progress: impl FnMut(&RunningTrial, f64),
    ) -> io::Result<Report> {
        let mut going = self.start(program)?;
        let sends = self
            .loads
            .iter()
            .filter_map(|load| load.rates.last())
            .map(|last| last.0)
            .max()
            .unwrap_or(0);
        let longest = self
            .site
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        loop {
            let now = going.site.clock.now().saturating_sub(going.begin);
            if going.left_at.is_none() && self.terminate_at.is_some_and(|at| now >= at) {
                going.terminate();
            }
            let done = going
                .callers
                .iter()
                .all(|callers| with_lock(callers, |callers| callers.is_done()));
            let left = self.terminate_at.is_none()
                || (going.left_at.is_some() && !going.matcher.is_alive());
            if now >= sends && ((done && left) || now >= sends + longest + 1_000_000) {
                break;
            }
            going.measure();
            progress(&going, now as f64 / 1e6);
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(going.judge())
    }
}

impl RunningTrial {
    /// Gives the matcher the notice to leave.
    pub fn terminate(&mut self) {
        self.left_at = Some(self.site.clock.now());
        self.matcher.terminate();
    }

    /// Puts a new process in the matcher's place, through its next address of the runtime: the new one is started, says
    /// that it takes clients, the old one is told to leave, and ends. Returns how long the yes and the end took.
    ///
    /// # Errors
    /// Where either does not do so in its time.
    pub fn upgrade(&mut self, program: &Path, number: usize) -> io::Result<(Duration, Duration)> {
        let mut next = self.begin_upgrade(program, number)?;
        let ready = next.wait_ready(READY_WITHIN)?;
        let mut old = std::mem::replace(&mut self.matcher, next);
        let since = std::time::Instant::now();
        old.terminate();
        let status = old.wait_for_exit(STOP_WITHIN);
        if !status.as_ref().is_ok_and(std::process::ExitStatus::success) {
            return Err(io::Error::other(format!(
                "the old process: {status:?}\n{}",
                old.log().join("\n")
            )));
        }
        Ok((ready, since.elapsed()))
    }

    /// Starts a process that is to take the matcher's place, with this of the runtime's addresses.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn begin_upgrade(&self, program: &Path, number: usize) -> io::Result<Matcher> {
        let mut config = self.site.config.clone();
        let runtime = self.site.runtime_addresses.get(number);
        config["runtime"] = runtime
            .ok_or_else(|| io::Error::other("the runtime has no address left"))?
            .to_string()
            .into();
        self.matcher.start_successor(program, &config)
    }

    fn measure(&mut self) {
        if let (Some((_, peak)), Some(cpu)) = (self.matcher.memory_kb(), self.matcher.cpu_micros())
        {
            self.used = (self.used.0.max(peak), self.used.1.max(cpu));
        }
    }

    /// Judges the rules.
    pub fn judge(&mut self) -> Report {
        let mut report = Report::default();
        self.measure();
        (report.memory_kb, report.cpu) = self.used;
        let mut broken = |number: u64, what: &str| {
            if number > 0 {
                report.violations.push(format!("{number} {what}"));
            }
        };
        match self.left_at {
            None => broken(
                u64::from(!self.matcher.is_alive()),
                "matcher ended by itself",
            ),
            Some(_) => {
                let status = self.matcher.wait_for_exit(
                    Duration::from_micros(self.site.setup.stop_timeout) + Duration::from_secs(1),
                );
                broken(
                    u64::from(!status.is_ok_and(|status| status.success())),
                    "matcher did not leave well",
                );
            }
        }
        let (starts, twice) = with_lock(&self.site.runtime, |runtime| {
            report.peak_running = runtime.stats.peak_running;
            broken(
                runtime.stats.malformed_commands,
                "commands that the runtime can't read",
            );
            let starts: Vec<_> = runtime
                .stats
                .starts
                .iter()
                .map(|(id, seen)| (*id, seen.2))
                .collect();
            (starts, runtime.ids_run_twice().len() as u64)
        });
        broken(twice, "requests with an effect that ran twice");
        let started: HashSet<u64> = starts.iter().map(|start| start.0).collect();
        let until = self
            .left_at
            .map(|at| at + self.site.setup.drain_grace + 50_000);
        for callers in &self.callers {
            with_lock(callers, |callers| {
                callers.finish();
                let total = callers.total();
                let front = callers.plan().protocol;
                broken(
                    total.unanswered,
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
                    .filter(|id| started.contains(id))
                    .count();
                broken(
                    ran as u64,
                    &format!("requests by {front} turned away that had run"),
                );
                let late = |(id, at): &&(u64, Micros)| {
                    until.is_some_and(|until| *at > until) && started.contains(id)
                };
                let late = callers.sent_requests.iter().filter(late).count();
                broken(
                    late as u64,
                    &format!("runs of requests by {front} from after the grace"),
                );
                for (kind, tally) in callers.plan().classes.iter().zip(&callers.tallies) {
                    report
                        .tallies
                        .push((front, kind.name.clone(), tally.clone()));
                }
                let at = |latencies: &[Micros], share: f64| {
                    let place = (latencies.len() as f64 * share) as usize;
                    latencies.get(place).map_or(0.0, |us| *us as f64 / 1e3)
                };
                callers
                    .latencies
                    .iter_mut()
                    .for_each(|latencies| latencies.sort_unstable());
                for (kind, own) in callers.plan().classes.iter().zip(&callers.latencies) {
                    report.class_latency_ms.push((
                        front,
                        kind.name.clone(),
                        at(own, 0.5),
                        at(own, 0.99),
                    ));
                }
                let mut all = callers.latencies.concat();
                all.sort_unstable();
                report
                    .latency_ms
                    .push((front, at(&all, 0.5), at(&all, 0.99)));
            });
        }
        let (calls, most) = with_lock(&self.site.store, |store| {
            (store.stats.calls, store.stats.peak_calls)
        });
        broken(
            u64::from(most > 5 * self.site.setup.store.slots),
            "store loaded past five times its slots",
        );
        report.calls = (calls, most);
        if self.left_at.is_some() {
            // What it said last may still be on its way here.
            let _ = self.matcher.wait_for_log("left");
        }
        report.log = self.matcher.log();
        report
    }
}

impl Report {
    /// Adds another's: tallies, broken rules, calls and CPU are summed, of peaks the higher one counts. Latencies stay those
    /// of the first.
    pub fn add(&mut self, other: Self) {
        for ((.., tally), (.., more)) in self.tallies.iter_mut().zip(&other.tallies) {
            tally.add(more);
        }
        self.violations.extend(other.violations);
        self.peak_running = self.peak_running.max(other.peak_running);
        self.calls = (
            self.calls.0 + other.calls.0,
            self.calls.1.max(other.calls.1),
        );
        self.memory_kb = self.memory_kb.max(other.memory_kb);
        self.cpu += other.cpu;
    }

    /// The figures of one front, all classes together.
    #[must_use]
    pub fn total(&self, front: Protocol) -> Tally {
        let mut total = Tally::default();
        self.tallies
            .iter()
            .filter(|(other, ..)| *other == front)
            .for_each(|(.., tally)| total.add(tally));
        total
    }

    /// Share served in time, of what was asked, by class: frames and AJP.
    #[must_use]
    pub fn on_time_shares(&self) -> Vec<(String, f64, f64)> {
        let share = |tally: &Tally| tally.on_time as f64 / tally.issued.max(1) as f64;
        let of = |front: Protocol| {
            self.tallies
                .iter()
                .filter(move |(other, ..)| *other == front)
        };
        of(Protocol::Frames)
            .zip(of(Protocol::Ajp))
            .map(|(frames, ajp)| (frames.1.clone(), share(&frames.2), share(&ajp.2)))
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<8} {:<12} {:>7} {:>8} {:>6} {:>16} {:>8} {:>7} {:>6}",
            "front",
            "class",
            "asked",
            "in time",
            "late",
            "refused+time",
            "refused",
            "failed",
            "lost"
        )?;
        let mut line = |front: &str, class: &str, tally: &Tally| {
            writeln!(
                f,
                "{front:<8} {class:<12} {:>7} {:>8} {:>6} {:>16} {:>8} {:>7} {:>6}",
                tally.issued,
                tally.on_time,
                tally.late,
                tally.rejected_with_retry_after,
                tally.rejected_without_retry_after,
                tally.failed,
                tally.unanswered
            )
        };
        for (front, class, tally) in &self.tallies {
            line(&front.to_string(), class, tally)?;
        }
        let fronts: std::collections::BTreeSet<Protocol> =
            self.tallies.iter().map(|(front, ..)| *front).collect();
        for front in fronts {
            line(&front.to_string(), "all", &self.total(front))?;
        }
        for (front, middle, high) in &self.latency_ms {
            writeln!(
                f,
                "latency of what was served by {front}: {middle:.0} ms at the median, {high:.0} ms at p99"
            )?;
        }
        writeln!(
            f,
            "{} calls to the store, {} at once at most; {} runs at once at most; matcher: {:.1} MB at its peak, {:.0} ms of CPU",
            self.calls.0,
            self.calls.1,
            self.peak_running,
            self.memory_kb as f64 / 1e3,
            self.cpu as f64 / 1e3
        )?;
        if self.violations.is_empty() {
            writeln!(f, "rules: all held")
        } else {
            writeln!(f, "rules broken: {}", self.violations.join("; "))
        }
    }
}
