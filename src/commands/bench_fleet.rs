//! `cleatpulley check fleet`: trials of the plan, the planner beside fixed batches, a replacement of twenty instances
//! under load, and the daemon's own figures.

use super::simulator::default_threads;
use cleatpulley_emulators::callers::{Callers, LoadPlan, Protocol, Tally};
use cleatpulley_emulators::host::{shared, with_lock, Clock, Host as Services, Running, Shared};
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_fleet::control_protocol::{ControlCommand, ControlResponse, FleetView};
use cleatpulley_fleet::daemon::send_command;
use cleatpulley_fleet::fault_simulation;
use cleatpulley_fleet::plan::{FleetSettings, Phase};
use cleatpulley_fleet::planner::{self, Forecast, HostProfile, PlannerInput, PlannerOutput};
use cleatpulley_fleet::regression::RegressionThresholds;
use cleatpulley_fleet::restart::RestartPolicy;
use std::collections::{BTreeMap, HashSet};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;
/// Trials of the plan.
const TRIALS: u64 = 4_000;

/// Instances of the replacement that is measured.
const INSTANCES: usize = 20;
const SURGE: usize = 4;
/// Where instances listen.
const HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Instances for the daemon's own figures.
const MANY: usize = 200;
/// Nothing here takes longer, or it failed.
const PATIENCE: Duration = Duration::from_secs(60);

/// Measures, prints, and says what falls short. `long` plays replacements at more loads.
pub fn run(program: &Path, long: bool) -> Vec<String> {
    let mut short = Vec::new();
    trials(&mut short);
    plans(&mut short);
    for load in if long { vec![0.7, 0.9, 1.0] } else { vec![0.7] } {
        if let Err(e) = under_load(program, load, &mut short) {
            short.push(format!("a replacement at load {load}: {e}"));
        }
    }
    if let Err(e) = many(program, &mut short) {
        short.push(format!("{MANY} instances: {e}"));
    }
    short
}

/// A fleet with what its instances talk to, in a folder of its own.
struct Yard {
    folder: PathBuf,
    file: PathBuf,
    daemon: Option<Child>,
    program: PathBuf,
}

impl Drop for Yard {
    fn drop(&mut self) {
        let left: Vec<u32> = self.view().map_or(Vec::new(), |view| {
            view.instances.iter().filter_map(|one| one.pid).collect()
        });
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
        left.into_iter()
            .for_each(|pid| signal(pid, rustix::process::Signal::KILL));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn signal(pid: u32, signal: rustix::process::Signal) {
    if let Some(pid) = i32::try_from(pid)
        .ok()
        .and_then(rustix::process::Pid::from_raw)
    {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

/// Ports that nobody has now, on an address from which no connection is dialled: none of them is taken meanwhile.
fn ports(number: usize) -> io::Result<Vec<u16>> {
    let all: Vec<_> = (0..number)
        .map(|_| TcpListener::bind((HOST, 0)))
        .collect::<io::Result<_>>()?;
    all.iter().map(|one| Ok(one.local_addr()?.port())).collect()
}

impl Yard {
    /// A fleet whose places have these configurations and, by the place's name, operator files.
    fn new(
        program: &Path,
        name: &str,
        configs: &[String],
        operators: &[String],
        rest: &str,
    ) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("cleatpulley-fleet-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut places = Vec::new();
        for (i, (config, port)) in configs.iter().zip(ports(configs.len())?).enumerate() {
            let file = folder.join(format!("m{i}.json"));
            fs::write(&file, config)?;
            if let Some(operator) = operators.get(i) {
                fs::write(folder.join(format!("m{i}.jsonnet")), operator)?;
            }
            let file = file.display();
            places.push(format!(
                "{{ name: 'm{i}', listen: '{HOST}:{port}', config: '{file}' }}"
            ));
        }
        let operator = match operators {
            [] => String::new(),
            _ => format!(", operator: '{}/{{place}}.jsonnet'", folder.display()),
        };
        let release = format!("{{ program: '{}'{operator} }}", program.display());
        let file = folder.join("fleet.jsonnet");
        let text = format!(
            "{{ fleet: {{ folder: '{}', places: [{}], releases: {{ '1': {release}, '2': {release} }}, {rest} }} }}",
            folder.join("state").display(),
            places.join(", ")
        );
        fs::write(&file, text)?;
        Ok(Self {
            folder,
            file,
            daemon: None,
            program: program.to_owned(),
        })
    }

    fn up(&mut self) -> io::Result<()> {
        let log = fs::File::create(self.folder.join("daemon.log"))?;
        let mut command = Command::new(&self.program);
        command
            .args(["fleet", "up", "--generation", "1"])
            .arg(&self.file);
        self.daemon = Some(command.stdin(Stdio::null()).stderr(log).spawn()?);
        Ok(())
    }

    fn ask(&self, what: &ControlCommand) -> Result<FleetView, String> {
        match send_command(&self.folder.join("state"), what) {
            Ok(ControlResponse::Fleet(view)) => Ok(*view),
            Ok(ControlResponse::Rejected(why)) => Err(why),
            Err(e) => Err(e.to_string()),
        }
    }

    fn view(&self) -> Result<FleetView, String> {
        self.ask(&ControlCommand::Status)
    }

    fn wait(&self, what: &str, until: impl Fn(&FleetView) -> bool) -> Result<FleetView, String> {
        let since = Instant::now();
        loop {
            match self.view() {
                Ok(view) if until(&view) => return Ok(view),
                last if since.elapsed() > PATIENCE => {
                    let log =
                        fs::read_to_string(self.folder.join("daemon.log")).unwrap_or_default();
                    let end: Vec<_> = log.lines().rev().take(5).collect();
                    return Err(format!(
                        "{what}: {:?}; {end:?}",
                        last.map(|view| view.terminated)
                    ));
                }
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// CPU of the daemon in microseconds, and its memory in KB.
    fn daemon_uses(&self) -> Option<(u64, u64)> {
        let pid = self.daemon.as_ref()?.id();
        let schedstat = fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
        let cpu = schedstat.split_whitespace().next()?.parse::<u64>().ok()? / 1_000;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        Some((cpu, line.split_whitespace().nth(1)?.parse().ok()?))
    }
}

fn text(e: io::Error) -> String {
    e.to_string()
}

/// Front ends that send to the fleet by its table: by frames and by AJP to each place, as much as its warmth is worth.
struct Senders {
    sites: Vec<Site>,
    callers: Vec<[Shared<Callers>; 2]>,
    listen: Vec<SocketAddr>,
    _running: Running,
}

impl Senders {
    fn by(&self, view: &FleetView) {
        let weight = |address: &SocketAddr| {
            let one = view
                .instances
                .iter()
                .find(|one| one.slot.listen == *address);
            one.map_or(0.0, |one| match one.phase {
                Phase::Warm => 1.0,
                Phase::Cold => one.warmth,
                _ => 0.0,
            })
        };
        let weights: Vec<f64> = self.listen.iter().map(weight).collect();
        let all = weights.iter().sum::<f64>().max(0.1);
        for (pair, weight) in self.callers.iter().zip(weights) {
            for callers in pair {
                with_lock(callers, |callers| {
                    callers.set_rate_share(weight / all * INSTANCES as f64)
                });
            }
        }
    }

    fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.callers
            .iter()
            .flatten()
            .for_each(|callers| with_lock(callers, |callers| total.add(&callers.total())));
        total
    }

    /// Rules that were broken.
    fn judge(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut count = |number: usize, what: &str| {
            if number > 0 {
                broken.push(format!("{number} {what}"));
            }
        };
        let (mut twice, mut started, mut starts) = (0, HashSet::new(), 0);
        for site in &self.sites {
            with_lock(&site.runtime, |runtime| {
                twice += runtime.ids_run_twice().len();
                starts += runtime.stats.starts.len();
                started.extend(runtime.stats.starts.keys().copied());
            });
        }
        count(twice + starts - started.len(), "requests ran twice");
        let total = self.total();
        count(total.overdue as usize, "answers after the due time");
        count(
            total.wrong_result as usize,
            "results that no run made for the request",
        );
        count(total.not_sent as usize, "requests that found no listener");
        for callers in self.callers.iter().flatten() {
            with_lock(callers, |callers| {
                count(
                    callers.unmatched_responses as usize,
                    "answers that nobody asked for",
                );
                let ran = callers
                    .rejected_ids
                    .iter()
                    .filter(|id| started.contains(id))
                    .count();
                count(ran, "requests turned away that had run");
                // A proxy may send on an idle AJP connection that is closed at this moment: what never ran may come again.
                let ajp = callers.plan().protocol == Protocol::Ajp;
                let crossed = callers
                    .unanswered_ids
                    .iter()
                    .filter(|id| ajp && !started.contains(id))
                    .count();
                if crossed > 0 {
                    print_line!(
                            "  {crossed} requests by AJP crossed the end of their idle connection, and never ran"
                        );
                }
                count(
                    callers.unanswered_ids.len() - crossed,
                    "requests without an answer",
                );
            });
        }
        broken
    }
}

/// What became of the requests that ended between two looks: their number, and the shares in time and refused.
fn since(later: &Tally, earlier: &Tally) -> (u64, f64, f64) {
    let number = later.ended() - earlier.ended();
    let share = |of: fn(&Tally) -> u64| (of(later) - of(earlier)) as f64 / number.max(1) as f64;
    (
        number,
        share(|tally| tally.on_time),
        share(|tally| tally.rejected_without_retry_after + tally.rejected_with_retry_after),
    )
}

fn under_load(program: &Path, load: f64, short: &mut Vec<String>) -> Result<(), String> {
    let setup = |seed| Setup {
        cores: 4,
        stop_timeout: 1_500_000,
        drain_grace: 1_000_000,
        seed,
        ..Setup::default()
    };
    let places = INSTANCES + SURGE;
    let (mut sites, mut configs, mut operators) = (Vec::new(), Vec::new(), Vec::new());
    let ajp = ports(places).map_err(text)?;
    for (i, port) in ajp.iter().enumerate() {
        let site = Site::start(setup(i as u64)).map_err(text)?;
        with_lock(&site.runtime, |runtime| runtime.cold_for_new_matcher = true);
        configs.push(site.config.to_string());
        operators.push(
            site.operator_file("", "")
                .replace("127.0.0.1:0", &format!("{HOST}:{port}")),
        );
        sites.push(site);
    }
    let rest = format!(
        "instances: {INSTANCES}, surge: {SURGE}, batch: {SURGE}, minimum: {INSTANCES}, \
         timeouts_ms: {{ start: 5000, warm: 30000, drain: 5000, silent: 2000 }}"
    );
    let mut yard = Yard::new(program, "load", &configs, &operators, &rest).map_err(text)?;
    yard.up().map_err(text)?;
    let view = yard.wait("all warm", |view| view.converged)?;
    let file =
        cleatpulley::operator::fleet::FleetConfig::load(&yard.file).map_err(|e| e.to_string())?;
    let listen: Vec<_> = file.slots.iter().map(|slot| slot.listen).collect();
    let clock = Clock::default();
    let mut services = Services::default();
    let mut callers = Vec::new();
    let rate = load * setup(0).capacity() / 2.0;
    for i in 0..places {
        let pair = [
            (Protocol::Frames, listen[i]),
            (Protocol::Ajp, SocketAddr::from((HOST, ajp[i]))),
        ]
        .map(|(front, to)| {
            let plan = LoadPlan {
                protocol: front,
                address: to,
                connections: if front == Protocol::Ajp { 64 } else { 4 },
                rates: vec![(3_600 * SECOND, rate)],
                classes: setup(0).caller_classes(),
                body_bytes: 200,
                secret: None,
                caller_numbers: 1..4,
                deadline_slack: 110_000,
                key_field: None,
                random_intervals: true,
                seed: 1_000 * i as u64 + front as u64,
            };
            let one = shared(Callers::new(plan, clock.now()));
            with_lock(&one, |callers| callers.set_rate_share(0.0));
            services.add(one.clone());
            one
        });
        callers.push(pair);
    }
    let running = services.start(clock).map_err(text)?;
    let senders = Senders {
        sites,
        callers,
        listen,
        _running: running,
    };
    senders.by(&view);
    let go_on = |until: &dyn Fn(&FleetView, Duration) -> bool| -> Result<Duration, String> {
        let begun = Instant::now();
        loop {
            let view = yard.view()?;
            senders.by(&view);
            if until(&view, begun.elapsed()) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > PATIENCE {
                return Err("it does not end".to_owned());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    go_on(&|_, passed| passed > Duration::from_secs(3))?;
    let (before, used) = (senders.total(), yard.daemon_uses());
    go_on(&|_, passed| passed > Duration::from_secs(8))?;
    let (calm, used_after) = (senders.total(), yard.daemon_uses());
    yard.ask(&ControlCommand::Replace {
        generation: 2,
        releases: Vec::new(),
    })?;
    let takes = go_on(&|view, _| view.replacement.is_none())?;
    let view = yard.view()?;
    // What the last ones held has its answers by then.
    go_on(&|_, passed| passed > Duration::from_secs(1))?;
    let after = senders.total();
    senders
        .callers
        .iter()
        .flatten()
        .for_each(|callers| with_lock(callers, Callers::stop));
    std::thread::sleep(Duration::from_millis(2_700));
    senders
        .callers
        .iter()
        .flatten()
        .for_each(|callers| with_lock(callers, Callers::finish));
    let (calm, change) = (since(&calm, &before), since(&after, &calm));
    let lost = 100.0 * (calm.1 - change.1);
    print_line!(
        "{INSTANCES} instances, frames and AJP, {:.0}% load: in time {:.1}% of {} without, {:.1}% of {} through a replacement: \
         {lost:.1} points lost; refused {:.1}% and {:.1}%",
        100.0 * load,
        100.0 * calm.1,
        calm.0,
        100.0 * change.1,
        change.0,
        100.0 * calm.2,
        100.0 * change.2
    );
    if view.stable_generation != 2 {
        short.push(format!(
            "load {load}: the replacement went back: {:?}",
            view.terminated.last()
        ));
    }
    if load <= 0.7 && lost > 2.0 {
        short.push(format!(
            "load {load}: {lost:.1} points of service lost, the goal is 2"
        ));
    }
    short.extend(
        senders
            .judge()
            .into_iter()
            .map(|what| format!("load {load}: {what}")),
    );
    // The planner's bound, told the same.
    let mut question = question(INSTANCES, load);
    question.settings = file.settings;
    question.host = HostProfile {
        start_duration: SECOND / 10,
        warm_up_duration: 4 * SECOND,
        drain_duration: 1_500_000,
        ..question.host
    };
    let bound = planner::simulate(&question, SURGE, SURGE)
        .and_then(|course| course.duration)
        .unwrap_or_default();
    let ratio = takes.as_secs_f64() * 1e6 / bound.max(1) as f64;
    print_line!(
        "  it took {:.1} s, {ratio:.2} times the planner's {:.1} s",
        takes.as_secs_f64(),
        bound as f64 / 1e6
    );
    if ratio > 1.2 {
        short.push(format!(
            "load {load}: {ratio:.2} times the planner's time, the goal is 1.2"
        ));
    }
    if let (Some(before), Some(after)) = (used, used_after) {
        let cpu = (after.0 - before.0) as f64 / 8e6;
        print_line!(
            "  daemon with {INSTANCES} instances, asked 50 times a second: {:.1}% of a core, {:.1} MB",
            100.0 * cpu,
            after.1 as f64 / 1e3
        );
    }
    yard.ask(&ControlCommand::Shutdown)?;
    Ok(())
}

/// The daemon with many instances that have nothing to do: CPU, memory, deaths, hangs, and its own death.
fn many(program: &Path, short: &mut Vec<String>) -> Result<(), String> {
    let site = Site::start(Setup {
        stop_timeout: 300_000,
        drain_grace: 100_000,
        ..Setup::default()
    })
    .map_err(text)?;
    // Nobody listens at the runtime's address: they stay cold, and serve nobody.
    let mut config = site.config.clone();
    config["runtime"] = "127.0.0.1:9".into();
    let configs = vec![config.to_string(); MANY];
    let rest = format!(
        "instances: {MANY}, surge: 0, batch: 1, timeouts_ms: {{ start: 20000, warm: 600000, drain: 2000, silent: 1000 }}, \
         restart: {{ first_ms: 10, most_ms: 20, budget: 1000, within_ms: 1000 }}"
    );
    let mut yard = Yard::new(program, "many", &configs, &[], &rest).map_err(text)?;
    yard.up().map_err(text)?;
    let begun = Instant::now();
    let all_cold = |view: &FleetView| {
        view.instances.len() == MANY && view.instances.iter().all(|one| one.phase == Phase::Cold)
    };
    let view = yard.wait("all there", all_cold)?;
    print_line!(
        "{MANY} idle instances were there after {:.2} s",
        begun.elapsed().as_secs_f64()
    );
    let (before, begun) = (yard.daemon_uses(), Instant::now());
    std::thread::sleep(Duration::from_secs(4));
    if let (Some(before), Some(after)) = (before, yard.daemon_uses()) {
        let cpu = (after.0 - before.0) as f64 / begun.elapsed().as_micros() as f64;
        print_line!(
            "  daemon: {:.1}% of a core, {:.1} MB",
            100.0 * cpu,
            after.1 as f64 / 1e3
        );
    }
    let mut worst = Duration::ZERO;
    for one in view.instances.iter().take(10) {
        let (Some(pid), number) = (one.pid, one.incarnation) else {
            continue;
        };
        signal(pid, rustix::process::Signal::KILL);
        let begun = Instant::now();
        yard.wait("a death", |view| {
            view.terminated.iter().any(|one| one.incarnation == number)
        })?;
        worst = worst.max(begun.elapsed());
    }
    print_line!(
        "  a death is shown after {:.1} ms, the longest of ten",
        worst.as_secs_f64() * 1e3
    );
    if worst > Duration::from_millis(50) {
        short.push(format!(
            "a death is noticed after {worst:?}, the goal is 50 ms"
        ));
    }
    let view = yard.wait("all there again", all_cold)?;
    if let Some((pid, number)) = view
        .instances
        .last()
        .and_then(|one| Some((one.pid?, one.incarnation)))
    {
        signal(pid, rustix::process::Signal::STOP);
        let begun = Instant::now();
        yard.wait("a hang", |view| {
            view.terminated.iter().any(|one| one.incarnation == number)
        })?;
        let hang = begun.elapsed().as_secs_f64();
        print_line!("  one that hangs is killed and gone after {hang:.2} s, where silence of 1 s is allowed");
    }
    let view = yard.wait("all there again", all_cold)?;
    let pids = |view: &FleetView| {
        view.instances
            .iter()
            .filter_map(|one| one.pid)
            .collect::<HashSet<_>>()
    };
    let known = pids(&view);
    if let Some(mut daemon) = yard.daemon.take() {
        daemon.kill().and_then(|()| daemon.wait()).map_err(text)?;
    }
    yard.up().map_err(text)?;
    let begun = Instant::now();
    let view = yard.wait("taken up", |view| view.instances.len() == MANY)?;
    print_line!(
        "  after the daemon's death the next has taken up all after {:.0} ms",
        begun.elapsed().as_secs_f64() * 1e3
    );
    if pids(&view) != known {
        short.push("the next daemon did not take up the same processes".to_owned());
    }
    yard.ask(&ControlCommand::Shutdown)?;
    Ok(())
}

fn trials(short: &mut Vec<String>) {
    let (next, met, broken) = (
        AtomicU64::new(0),
        Mutex::new(BTreeMap::<&str, u64>::new()),
        Mutex::new(Vec::new()),
    );
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..default_threads().min(4) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= TRIALS {
                    return;
                }
                let outcome = fault_simulation::run(seed);
                if let (Ok(mut met), Ok(mut broken)) = (met.lock(), broken.lock()) {
                    outcome
                        .situations
                        .into_iter()
                        .for_each(|(name, number)| *met.entry(name).or_default() += number);
                    broken.extend(
                        outcome
                            .violations
                            .into_iter()
                            .map(|what| format!("trial {seed}: {what}")),
                    );
                }
            });
        }
    });
    print_line!(
        "{TRIALS} trials of the plan in {:.1} s; met:",
        begun.elapsed().as_secs_f64()
    );
    for (name, number) in met.into_inner().unwrap_or_default() {
        print_line!("  {name:<44} {number:>8}");
    }
    short.extend(broken.into_inner().unwrap_or_default());
}

fn question(instances: usize, load: f64) -> PlannerInput {
    let rate_each = 150.0;
    PlannerInput {
        settings: FleetSettings {
            instances,
            surge: 4,
            batch: instances,
            min_capacity: 0.0,
            start_timeout: 5 * SECOND,
            warm_up_timeout: 60 * SECOND,
            drain_timeout: 10 * SECOND,
            report_timeout: 2 * SECOND,
            failure_limit: 3,
            regression: RegressionThresholds {
                min_samples: 500,
                max_rejected_increase: 0.05,
                max_failed_increase: 0.01,
                max_late_increase: 0.05,
                standard_errors: 4.0,
            },
            restart: RestartPolicy {
                initial_delay: SECOND,
                max_delay: 30 * SECOND,
                budget: 20,
                budget_window: 60 * SECOND,
            },
        },
        host: HostProfile {
            cores: (instances + 4) as f64,
            cores_per_instance: 1.0,
            rate_per_instance: rate_each,
            start_duration: SECOND / 2,
            initial_warmth: 0.25,
            warm_up_duration: 4 * SECOND,
            drain_duration: 3 * SECOND,
        },
        demand: Forecast(vec![(0, load * rate_each * instances as f64)]),
        headroom: 0.02,
    }
}

/// The planner's way beside fixed batches: the time, and the least capacity beyond what is needed.
fn plans(short: &mut Vec<String>) {
    print_line!("replacement of 20 instances, surge 4 at most: the planner beside fixed batches");
    for load in [0.5, 0.7, 0.9, 0.97] {
        let question = question(20, load);
        let begun = Instant::now();
        let answer = planner::plan_replacement(&question);
        let computed = begun.elapsed().as_secs_f64();
        let course = match answer {
            Ok(PlannerOutput::Possible(course)) => course,
            Ok(PlannerOutput::Impossible(_, limit)) => {
                print_line!("  load {load:.2}: not possible: {limit}");
                short.push(format!("no plan at load {load}"));
                continue;
            }
            Err(e) => {
                short.push(format!("load {load}: {e}"));
                continue;
            }
        };
        let takes = course.duration.unwrap_or_default();
        print_line!(
            "  load {load:.2}: batch {:>2}, surge {}: {:>5.1} s, margin {:>7.1} a second; computed in {computed:.2} s",
            course.batch,
            course.surge,
            takes as f64 / 1e6,
            course.min_margin.0
        );
        for (batch, surge) in [(1, 0), (1, 1), (2, 0), (5, 0), (10, 0), (20, 0)] {
            let Some(fixed) = planner::simulate(&question, batch, surge) else {
                continue;
            };
            let holds = fixed.min_margin.0 >= 0.0;
            print_line!(
                "    fixed: batch {batch:>2}, surge {surge}: {:>5.1} s, margin {:>7.1} a second{}",
                fixed.duration.unwrap_or_default() as f64 / 1e6,
                fixed.min_margin.0,
                if holds { "" } else { "  (too little)" }
            );
            if holds && fixed.duration.is_some_and(|fixed| fixed < takes) {
                short.push(format!(
                    "load {load}: a fixed batch of {batch} is quicker than the plan"
                ));
            }
        }
    }
}
