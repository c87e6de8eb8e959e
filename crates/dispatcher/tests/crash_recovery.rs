//! Simulates a dispatcher with cached results on a simulated disk, and a runtime whose runs have
//! side effects. Injects crashes and faults at any disk operation, lost connections, callers that
//! leave, and repeated attempts. Checks from the outside that no key runs twice, no attempt is
//! rejected after a run, the results of a key never differ, no reported result is lost, and each
//! attempt gets one response by its deadline unless its process crashed.

use cleatpulley_dispatcher::key_table::{KeyTable, KeyTableOptions};
use cleatpulley_dispatcher::{
    ClientStream, Command, Dispatcher, Event, IdempotencyKeys, IncomingRequest, KeyScope, Response,
    RuntimeCommand,
};
use cleatpulley_idempotency::journal::Journal;
use cleatpulley_log_store::simulated_folder::{Fault, SimulatedFolder};
use cleatpulley_log_store::Options;
use cleatpulley_policy::interface::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const DEDUPLICATION_WINDOW: Micros = 3_600 * SECOND;

fn settings() -> Settings {
    let class = |effect| Class {
        effect,
        latency_objective: SECOND,
        latency_objective_stretch: 0.0,
        client_timeout: 2 * SECOND,
        late_weight_ratio: 0.0,
        priority_weight: 1.0,
        deduplication_window: 0,
        calls_dependency: false,
        weight_ratio_without_call: 0.0,
    };
    Settings {
        classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce)],
        tenants: Vec::new(),
        over_quota_weight_ratio: 0.1,
        weight_by_work: false,
        marks_retries: false,
        servers: 1,
        callers: 2,
        cores: 3,
        memory_kb: 8_000.0,
        key_entry_kb: 0.2,
        running_memory_factor: 4.0,
        dependency: DependencyLimit::NoDependency,
        client_idle_timeout: 30 * SECOND,
        abandoned_call_linger: 200 * MS,
        shared_response_lifetime: 0,
        feedback: FeedbackKind::Unused,
        max_retry_after: SECOND,
        reports_abandonment: true,
        preemption: Preemption::Never,
        discovery_follows_health: false,
        cold_start: false,
        cold_start_speed: 0.2,
        warm_up_time: 10 * SECOND,
        response_slack: 60 * MS,
        drain_grace: SECOND,
        overload_concurrency_per_core: 6.0,
        tick: 2 * MS,
    }
}

/// An attempt that has no response yet.
struct Attempt {
    key: Option<u64>,
    deadline: Micros,
    has_other_body: bool,
}

/// The simulated process: its dispatcher, and the journal with its jobs.
struct Process {
    dispatcher: Dispatcher,
    journal: Option<Journal<SimulatedFolder>>,
    jobs: VecDeque<Command>,
    is_journal_available: bool,
    pending: BTreeMap<u32, Attempt>,
    /// Start commands in transit to the runtime: request id and body.
    start_commands: VecDeque<(u64, Vec<u8>)>,
}

#[derive(Default)]
struct Occurrences {
    runs: u64,
    waiting_attempts: u64,
    cached_results: u64,
    failed_attempts: u64,
    rejected_attempts: u64,
    expired_attempts: u64,
    journal_reopenings: u64,
    uncertain_commands: u64,
    crashes: u64,
}

struct Simulation {
    random: SmallRng,
    now: Micros,
    next_stream: u32,
    disk: SimulatedFolder,
    /// Number of runs of each key, and the id of the request that ran.
    runs: BTreeMap<u64, (u32, u64)>,
    /// Result of each key that a caller has received.
    reported_results: BTreeMap<u64, Vec<u8>>,
    /// Current runs by request id, with their key, if any.
    running: BTreeMap<u64, Option<u64>>,
    /// Whether the disk has failed in this process, or has not been read yet.
    disk_failed: bool,
    occurrences: Occurrences,
}

impl Simulation {
    fn start_process(&mut self) -> Process {
        let options = KeyTableOptions {
            max_entries: 500,
            max_result_bytes: 100_000,
            deduplication_window: DEDUPLICATION_WINDOW,
            stall_timeout: 40 * MS,
            hash_seed: 5,
        };
        let keys = IdempotencyKeys::new(
            vec![false, true],
            false,
            KeyScope::PerCaller,
            KeyTable::new(options),
        );
        let dispatcher = Dispatcher::with_keys(settings(), 7, keys);
        let (jobs, start_commands, pending) = (VecDeque::new(), VecDeque::new(), BTreeMap::new());
        let mut process = Process {
            dispatcher,
            journal: None,
            jobs,
            is_journal_available: true,
            pending,
            start_commands,
        };
        self.handle(&mut process, Event::RuntimeReady(100 * SECOND));
        process
    }

    fn handle(&mut self, process: &mut Process, event: Event) {
        let mut commands = Vec::new();
        process
            .dispatcher
            .handle_event(self.now, event, &mut commands);
        self.execute_commands(process, commands);
    }

    fn advance(&mut self, process: &mut Process, duration: Micros) {
        let end = self.now + duration;
        loop {
            let next_deadline = process
                .dispatcher
                .next_deadline()
                .filter(|deadline| *deadline <= end);
            self.now = self.now.max(next_deadline.unwrap_or(end));
            let mut commands = Vec::new();
            process.dispatcher.poll(self.now, &mut commands);
            self.execute_commands(process, commands);
            if next_deadline.is_none() {
                break;
            }
        }
        let overdue = process
            .pending
            .values()
            .filter(|attempt| attempt.deadline + 60 * MS < self.now)
            .count();
        assert_eq!(
            overdue, 0,
            "attempts without a response after their deadline"
        );
    }

    fn execute_commands(&mut self, process: &mut Process, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Respond { client, response } => {
                    let attempt = process
                        .pending
                        .remove(&client.stream)
                        .expect("an attempt gets only one response");
                    assert!(
                        self.now <= attempt.deadline + 60 * MS,
                        "response sent after the deadline"
                    );
                    self.check_response(&attempt, response);
                }
                Command::StartRun { id, body, .. } => process.start_commands.push_back((id, body)),
                Command::PersistKey(_) | Command::LoadCachedResult { .. } => {
                    process.jobs.push_back(command);
                }
                _ => {}
            }
        }
    }

    fn check_response(&mut self, attempt: &Attempt, response: Response) {
        let Some(key) = attempt.key else { return };
        let is_reported = self.reported_results.contains_key(&key);
        match response {
            Response::Served(result) => {
                assert!(
                    !attempt.has_other_body,
                    "response with the result of another request"
                );
                assert_eq!(
                    result,
                    self.result(key),
                    "the result is that of the key's run"
                );
                let previous_result = self.reported_results.insert(key, result.clone());
                assert!(
                    previous_result.is_none_or(|previous_result| previous_result == result),
                    "two results of one key differ"
                );
                self.occurrences.cached_results += u64::from(is_reported);
            }
            Response::Rejected { .. } => {
                self.occurrences.rejected_attempts += 1;
                assert!(
                    !self.runs.contains_key(&key),
                    "key {key} rejected after its run"
                );
            }
            Response::Invalid(_) => assert!(attempt.has_other_body),
            Response::Direct { .. } => panic!("there is no route to respond"),
            Response::Failed => {
                self.occurrences.failed_attempts += 1;
                // A disk failure may prevent a result from being read, but does not delete it.
                assert!(
                    !is_reported || self.disk_failed,
                    "a reported result is lost"
                );
            }
            Response::Expired => self.occurrences.expired_attempts += 1,
        }
    }

    fn result(&self, key: u64) -> Vec<u8> {
        format!("seat of {key} by {}", self.runs[&key].1).into_bytes()
    }

    /// Executes some of the pending journal jobs.
    fn run_journal(&mut self, process: &mut Process) {
        if process.journal.is_none() {
            self.disk.release_lock();
            let options = Options {
                segment_bytes: 4_096,
                ..Options::default()
            };
            let Ok(opened) = Journal::open(self.disk.clone(), options, self.now) else {
                return;
            };
            let mut journal = opened.journal;
            let recovered = opened.recovered;
            if process
                .dispatcher
                .key_table()
                .is_some_and(cleatpulley_dispatcher::key_table::KeyTable::is_empty)
            {
                self.handle(process, Event::KeysRecovered(Box::new(recovered)));
            }
            self.disk_failed = !process.is_journal_available;
            if !process.is_journal_available {
                if journal.probe().is_err() {
                    return;
                }
                self.occurrences.journal_reopenings += 1;
                process.is_journal_available = true;
                // Writes requested while the journal was unavailable are dropped.
                process
                    .jobs
                    .retain(|job| matches!(job, Command::LoadCachedResult { .. }));
                self.handle(process, Event::PersistenceAvailable(true));
            }
            process.journal = Some(journal);
        }
        let max_jobs = self.random.random_range(1..20);
        for _ in 0..max_jobs {
            let Some(job) = process.jobs.pop_front() else {
                break;
            };
            let Some(journal) = &mut process.journal else {
                return;
            };
            match job {
                Command::PersistKey(key_command) if journal.write(&key_command).is_err() => {
                    return self.lose_journal(process)
                }
                Command::LoadCachedResult {
                    id,
                    load_number,
                    key,
                } => {
                    let outcome = journal.load_outcome(self.now, &key).unwrap_or_else(|_| {
                        self.disk_failed = true;
                        None
                    });
                    self.handle(
                        process,
                        Event::CachedResultLoaded {
                            id,
                            load_number,
                            outcome,
                        },
                    );
                }
                _ => {}
            }
        }
        let Some(journal) = &mut process.journal else {
            return;
        };
        if self.random.random_range(0..8) == 0 && journal.maintain(self.now, 2_000).is_err() {
            return self.lose_journal(process);
        }
        if let Some(journal) = &mut process.journal {
            if journal.has_unsynced_writes() {
                match journal.sync() {
                    Ok(sequence) => self.handle(process, Event::KeysDurable(sequence)),
                    Err(_) => self.lose_journal(process),
                }
            }
        }
    }

    fn lose_journal(&mut self, process: &mut Process) {
        self.disk_failed = true;
        process.journal = None;
        process.jobs.clear();
        if std::mem::replace(&mut process.is_journal_available, false) {
            self.handle(process, Event::PersistenceAvailable(false));
        }
    }

    /// Lets the runtime read a command.
    fn read_start_command(&mut self, process: &mut Process) {
        let Some((id, body)) = process.start_commands.pop_front() else {
            return;
        };
        let key = body
            .strip_prefix(b"seat ")
            .and_then(|suffix| suffix.first_chunk())
            .map(|bytes| u64::from_be_bytes(*bytes));
        if let Some(key) = key {
            self.occurrences.runs += 1;
            let run = self.runs.entry(key).or_insert((0, id));
            run.0 += 1;
            assert_eq!(run.0, 1, "key {key} ran twice");
        }
        self.running.insert(id, key);
    }

    fn send_request(&mut self, process: &mut Process) {
        let key = (self.random.random_range(0..4) > 0).then(|| self.random.random_range(0..10_u64));
        let has_other_body = key.is_some_and(|key| self.runs.contains_key(&key))
            && self.random.random_range(0..15) == 0;
        let body = match key {
            Some(_) if has_other_body => b"another".to_vec(),
            Some(key) => [&b"seat "[..], &key.to_be_bytes()].concat(),
            None => b"lobby".to_vec(),
        };
        self.next_stream += 1;
        // Like a proxy that retries a request without giving it a new id.
        let reused_key = key.filter(|_| self.random.random_range(0..8) == 0);
        let id = reused_key.map_or(1_000 + u64::from(self.next_stream), |key| 500 + key);
        let client_stream = ClientStream {
            connection: u64::from(self.next_stream % 5),
            stream: self.next_stream,
        };
        let deadline = self.now + 2 * SECOND;
        process.pending.insert(
            self.next_stream,
            Attempt {
                key,
                deadline,
                has_other_body,
            },
        );
        let request = IncomingRequest {
            client: client_stream,
            id,
            class: usize::from(key.is_some()),
            caller: 3,
            received_at: self.now,
            expected_work: 10 * MS,
            memory_kb: 10.0,
            rank: 0.5,
            is_retry: false,
            has_subject: false,
            key: key.map(|key| key.to_string().into_bytes().into_boxed_slice()),
            body,
            head: None,
        };
        let pending_before = process.dispatcher.pending_count();
        self.handle(process, Event::RequestRead(request));
        self.occurrences.waiting_attempts +=
            u64::from(key.is_some() && process.dispatcher.pending_count() > pending_before);
    }

    fn step(&mut self, process: &mut Process) {
        match self.random.random_range(0..20) {
            0..=5 => self.send_request(process),
            6..=9 => self.run_journal(process),
            10..=12 => self.read_start_command(process),
            13..=14 => {
                let index = self.random.random_range(0..self.running.len().max(1));
                if let Some((&id, &key)) = self.running.iter().nth(index) {
                    self.running.remove(&id);
                    let result = key.map_or_else(Vec::new, |key| self.result(key));
                    let run_ended = Event::RunEnded {
                        id,
                        outcome: Outcome::Success,
                        elapsed: MS,
                        result,
                    };
                    self.handle(process, run_ended);
                }
            }
            15 => {
                // The connection to the runtime is lost. Each command in transit is read or not,
                // and the dispatcher is notified that it is uncertain.
                let in_transit: Vec<_> = process.start_commands.drain(..).collect();
                for (id, body) in in_transit {
                    if self.random.random() {
                        process.start_commands.push_back((id, body));
                        self.read_start_command(process);
                    }
                    self.occurrences.uncertain_commands += 1;
                    self.handle(
                        process,
                        Event::CommandUncertain {
                            id,
                            command: RuntimeCommand::Start,
                        },
                    );
                }
            }
            16 if self.random.random_range(0..3) == 0 => {
                let connection = self.random.random_range(0..5);
                process
                    .pending
                    .retain(|stream, _| u64::from(stream % 5) != connection);
                self.handle(process, Event::ConnectionLost(connection));
            }
            _ => {
                let duration = self.random.random_range(1..30) * MS;
                self.advance(process, duration);
            }
        }
    }
}

fn run_history(seed: u64, occurrences: &mut Occurrences) {
    let mut simulation = Simulation {
        random: SmallRng::seed_from_u64(seed),
        now: 1_000_000 * SECOND,
        next_stream: 0,
        disk: SimulatedFolder::default(),
        runs: BTreeMap::new(),
        reported_results: BTreeMap::new(),
        running: BTreeMap::new(),
        disk_failed: true,
        occurrences: std::mem::take(occurrences),
    };
    for process_number in 0..5_u64 {
        let mut process = simulation.start_process();
        simulation.disk_failed = true;
        let fault_at = simulation.random.random_range(5..90);
        let fault = match simulation.random.random_range(0..5) {
            0 | 1 => vec![Fault::FailOnce(fault_at)],
            2 => vec![Fault::Full(fault_at, 3_000)],
            3 => vec![Fault::ShortWrite(fault_at)],
            _ => vec![Fault::CrashAt(fault_at)],
        };
        simulation.disk.set_faults(&fault);
        for _ in 0..simulation.random.random_range(30..200) {
            simulation.step(&mut process);
        }
        // Half of the processes run until every attempt has its response.
        if simulation.random.random() {
            simulation.advance(&mut process, 3 * SECOND);
            assert!(process.pending.is_empty(), "attempts without a response");
            assert_eq!(process.dispatcher.pending_count(), 0);
        }
        simulation.occurrences.crashes += 1;
        simulation.disk = simulation.disk.after_crash(seed ^ process_number);
        // The runtime stops with the process, or its runs continue unobserved. The clock may step
        // back or forward.
        simulation.running.clear();
        match simulation.random.random_range(0..4) {
            0 => simulation.now -= 3_000 * SECOND / 10,
            1 => simulation.now += 2 * SECOND,
            _ => {}
        }
    }
    *occurrences = simulation.occurrences;
}

#[test]
fn no_key_runs_twice_whatever_fails() {
    let seed_count = std::env::var("RESULTS_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(3_000);
    let first_seed = std::env::var("RESULTS_FROM")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut occurrences = Occurrences::default();
    for seed in first_seed..first_seed + seed_count {
        run_history(seed, &mut occurrences);
    }
    // The histories must exercise every case often enough for the test to be meaningful.
    let counts = HashMap::from([
        ("runs", occurrences.runs),
        ("waiting attempts", occurrences.waiting_attempts),
        ("cached results", occurrences.cached_results),
        ("failed attempts", occurrences.failed_attempts),
        ("rejected attempts", occurrences.rejected_attempts),
        ("expired attempts", occurrences.expired_attempts),
        ("uncertain commands", occurrences.uncertain_commands),
        ("journal reopenings", occurrences.journal_reopenings),
    ]);
    for (case, count) in &counts {
        assert!(
            *count >= seed_count / 4,
            "{case} occurred only {count} times in {seed_count} histories: {counts:?}"
        );
    }
}

/// Guards against two faults that the emulators found (seeds 898 and others): requests that waited
/// for recovery or cached results could use a quarter of the memory, while the controller fills the
/// rest, and requests that waited for loads from a slow disk could use any amount.
#[test]
fn requests_that_wait_for_recovery_stay_within_their_share_of_memory() {
    let options = KeyTableOptions {
        max_entries: 1_000,
        max_result_bytes: 1_000_000,
        deduplication_window: DEDUPLICATION_WINDOW,
        stall_timeout: SECOND,
        hash_seed: 1,
    };
    let keys = IdempotencyKeys::new(
        vec![false, true],
        false,
        KeyScope::PerCaller,
        KeyTable::new(options),
    );
    let mut dispatcher = Dispatcher::with_keys(settings(), 7, keys);
    let mut commands = Vec::new();
    dispatcher.handle_event(SECOND, Event::RuntimeReady(100 * SECOND), &mut commands);
    for stream in 0..60_u32 {
        let request = IncomingRequest {
            client: ClientStream {
                connection: 1,
                stream,
            },
            id: u64::from(stream) + 1,
            class: 1,
            caller: 3,
            received_at: SECOND,
            expected_work: 10 * MS,
            memory_kb: 20.0,
            rank: 0.5,
            is_retry: false,
            has_subject: false,
            key: Some(stream.to_string().into_bytes().into_boxed_slice()),
            body: Vec::new(),
            head: None,
        };
        dispatcher.handle_event(SECOND, Event::RequestRead(request), &mut commands);
    }
    let failed = |command: &&Command| {
        matches!(
            command,
            Command::Respond {
                response: Response::Failed,
                ..
            }
        )
    };
    assert_eq!(
        (
            dispatcher.pending_count(),
            commands.iter().filter(failed).count()
        ),
        (40, 20)
    );
}
