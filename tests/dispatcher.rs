//! Tests of the dispatcher on its own: events in, commands out, with a simulated clock.

mod common;

use cleatpulley::dispatcher::key_table::{KeyCommand, KeyTable, KeyTableOptions, RecoveredKeys};
use cleatpulley::dispatcher::{
    ClientStream, Command, DependencyCall, Dispatcher, Event, IdempotencyKeys, IncomingRequest,
    KeyScope, Response, RuntimeCommand,
};
use cleatpulley::interface::*;
use common::{settings, MS, SECOND};

/// Start time of the simulated clock; like Unix time, it is far from 0.
const START: Micros = 1_764_576_000 * SECOND;

struct Harness {
    dispatcher: Dispatcher,
    now: Micros,
}

/// Settings: two cores, and two classes that call the dependency. Class 0 is idempotent and may
/// skip its call; class 1 runs at most once.
impl Harness {
    fn new(configure: impl Fn(&mut Settings)) -> Self {
        let mut settings = settings();
        settings.classes.truncate(2);
        settings.classes[0] = Class {
            calls_dependency: true,
            weight_ratio_without_call: 0.5,
            ..settings.classes[0].clone()
        };
        settings.classes[1] = Class {
            calls_dependency: true,
            effect: Effect::AtMostOnce,
            ..settings.classes[1].clone()
        };
        settings.feedback = FeedbackKind::Unused;
        configure(&mut settings);
        let mut harness = Self {
            dispatcher: Dispatcher::new(settings, 7),
            now: START,
        };
        harness.handle_event(Event::RuntimeReady(SECOND));
        harness
    }

    /// Passes an event to the dispatcher, and polls it one tick later so that the controller can
    /// act.
    fn handle_event(&mut self, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.dispatcher.handle_event(self.now, event, &mut commands);
        self.now += 4 * MS;
        self.dispatcher.poll(self.now, &mut commands);
        commands.retain(|command| !matches!(command, Command::ReadGauges | Command::SetHealth(_)));
        commands
    }

    /// Advances the clock like the event loop does, from one `next_deadline` to the next.
    fn advance(&mut self, duration: Micros) -> Vec<Command> {
        let end = self.now + duration;
        let mut commands = Vec::new();
        while let Some(deadline) = self
            .dispatcher
            .next_deadline()
            .filter(|deadline| *deadline <= end)
        {
            self.now = self.now.max(deadline);
            self.dispatcher.poll(self.now, &mut commands);
        }
        self.now = end;
        commands.retain(|command| !matches!(command, Command::ReadGauges | Command::SetHealth(_)));
        commands
    }

    fn arrive(&mut self, id: RequestId, class: usize) -> Vec<Command> {
        let received_at = self.now;
        self.handle_event(Event::RequestRead(incoming_request(id, class, received_at)))
    }

    fn end_run(&mut self, id: RequestId, outcome: Outcome) -> Vec<Command> {
        self.handle_event(Event::RunEnded {
            id,
            outcome,
            elapsed: 5 * MS,
            result: vec![7],
        })
    }
}

fn client_stream(id: RequestId) -> ClientStream {
    ClientStream {
        connection: 1,
        stream: id as u32,
    }
}

fn incoming_request(id: RequestId, class: usize, received_at: Micros) -> IncomingRequest {
    IncomingRequest {
        client: client_stream(id),
        id,
        class,
        caller: 4,
        received_at,
        expected_work: 0,
        memory_kb: 10.0,
        rank: 0.5,
        is_retry: false,
        has_subject: false,
        key: None,
        body: vec![id as u8],
        head: None,
    }
}

fn response_to(id: RequestId, response: Response) -> Command {
    Command::Respond {
        client: client_stream(id),
        response,
    }
}

fn start_command(id: RequestId, class: usize) -> Command {
    Command::StartRun {
        id,
        class,
        body: vec![id as u8],
    }
}

#[test]
fn responds_to_a_run_with_its_own_result_once() {
    let mut harness = Harness::new(|_| {});
    assert_eq!(harness.arrive(1, 0), [start_command(1, 0)]);
    assert_eq!(
        harness.end_run(1, Outcome::Success),
        [response_to(1, Response::Served(vec![7]))]
    );
    assert!(harness.end_run(1, Outcome::Success).is_empty());
    assert!(harness.advance(10 * SECOND).is_empty());
}

#[test]
fn makes_a_call_with_the_body_of_the_run_and_returns_its_reply() {
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 1);
    let calls = harness.handle_event(Event::CallRequested {
        id: 1,
        notice: 9,
        body: vec![1, 2],
    });
    assert!(
        matches!(&calls[..], [Command::MakeCall(DependencyCall { id: 1, body, .. })] if *body == [1, 2]),
        "{calls:?}"
    );
    let reply = |outcome| Event::CallEnded {
        id: 1,
        outcome,
        elapsed: MS,
        reply: vec![3],
    };
    assert_eq!(
        harness.handle_event(reply(Outcome::Success)),
        [Command::ResumeWithReply {
            id: 1,
            body: vec![3]
        }]
    );
    assert!(
        harness.handle_event(reply(Outcome::Success)).is_empty(),
        "a call ends once"
    );
}

#[test]
fn counts_deadline_from_receipt_and_ignores_a_late_end() {
    let mut harness = Harness::new(|_| {});
    let received_at = harness.now - 3 * SECOND;
    assert_eq!(
        harness
            .handle_event(Event::RequestRead(incoming_request(1, 1, received_at)))
            .len(),
        1
    );
    assert!(harness.advance(4_900 * MS).is_empty());
    assert_eq!(
        harness.advance(100 * MS),
        [response_to(1, Response::Expired)]
    );
    assert!(harness.now <= received_at + 8 * SECOND + 60 * MS);
    assert!(harness.end_run(1, Outcome::Success).is_empty());
}

#[test]
fn responds_once_and_immediately_after_a_pause_past_the_deadline() {
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 0);
    harness.now += 30 * SECOND;
    let mut commands = Vec::new();
    harness.dispatcher.poll(harness.now, &mut commands);
    commands.retain(|command| matches!(command, Command::Respond { .. }));
    assert_eq!(commands, [response_to(1, Response::Expired)]);
    assert_eq!(harness.dispatcher.pending_count(), 0);
}

#[test]
fn limits_receipt_times_that_are_ahead_of_or_far_behind_the_clock() {
    let mut harness = Harness::new(|_| {});
    let future_time = harness.now + 3_600 * SECOND;
    assert_eq!(
        harness.handle_event(Event::RequestRead(incoming_request(1, 1, future_time))),
        [start_command(1, 1)]
    );
    assert_eq!(
        harness.advance(8 * SECOND),
        [response_to(1, Response::Expired)],
        "a receipt time in the future counts as now"
    );
    let commands = harness.handle_event(Event::RequestRead(incoming_request(2, 0, 0)));
    assert!(
        matches!(
            &commands[..],
            [Command::Respond {
                response: Response::Rejected { .. },
                ..
            }]
        ),
        "a request past its deadline is rejected without a run: {commands:?}"
    );
}

#[test]
fn does_not_start_a_pending_id_again() {
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 1);
    let duplicate = IncomingRequest {
        client: ClientStream {
            connection: 2,
            stream: 5,
        },
        ..incoming_request(1, 1, harness.now)
    };
    let client = duplicate.client;
    let failed = [Command::Respond {
        client,
        response: Response::Failed,
    }];
    assert_eq!(harness.handle_event(Event::RequestRead(duplicate)), failed);
    assert_eq!(
        harness.end_run(1, Outcome::Success),
        [response_to(1, Response::Served(vec![7]))]
    );
}

/// Guards against a request that runs twice because it comes again with its id after its client has left.
#[test]
fn does_not_start_an_id_again_after_its_run_has_ended() {
    let mut harness = Harness::new(|_| {});
    assert_eq!(harness.arrive(1, 1), [start_command(1, 1)]);
    harness.handle_event(Event::ConnectionLost(1));
    assert!(harness.end_run(1, Outcome::Success).is_empty());
    assert_eq!(harness.arrive(1, 1), [response_to(1, Response::Failed)]);
    // The id is remembered for a minute, and another id runs.
    harness.advance(61 * SECOND);
    assert_eq!(harness.arrive(1, 1), [start_command(1, 1)]);
    assert_eq!(harness.arrive(2, 1), [start_command(2, 1)]);
}

/// Guards against the same at the process that takes over the clients.
#[test]
fn does_not_start_an_id_that_another_process_has_started() {
    let mut predecessor = Harness::new(|_| {});
    predecessor.arrive(1, 1);
    predecessor.end_run(1, Outcome::Success);
    predecessor.arrive(2, 1);
    let started_ids = predecessor.dispatcher.export_started_ids(predecessor.now);
    let mut successor = Harness::new(|_| {});
    successor
        .dispatcher
        .import_started_ids(successor.now, started_ids);
    for id in [1, 2] {
        assert_eq!(
            successor.arrive(id, 1),
            [response_to(id, Response::Failed)],
            "{id}"
        );
    }
    assert_eq!(successor.arrive(3, 1), [start_command(3, 1)]);
}

#[test]
fn lost_connection_removes_queued_requests_and_abandons_calls_but_not_runs() {
    let mut harness = Harness::new(|settings| settings.cores = 1);
    harness.arrive(1, 0);
    harness.handle_event(Event::CallRequested {
        id: 1,
        notice: 1,
        body: Vec::new(),
    });
    assert_eq!(
        harness.arrive(2, 0),
        [start_command(2, 0)],
        "a run that waits for its call occupies no core"
    );
    assert!(harness.arrive(3, 0).is_empty(), "the request is queued");
    assert_eq!(
        harness.handle_event(Event::ConnectionLost(1)),
        [Command::AbandonCall(1)]
    );
    assert_eq!(harness.dispatcher.pending_count(), 0);
    assert!(
        harness.end_run(2, Outcome::Success).is_empty(),
        "an abandoned request gets no response"
    );
    assert!(harness.end_run(1, Outcome::Cancelled).is_empty());
    assert!(harness.advance(10 * SECOND).is_empty());
}

#[test]
fn reports_an_unsuccessful_run_as_a_failure() {
    for outcome in [Outcome::Failure, Outcome::Cancelled, Outcome::NotStarted] {
        let mut harness = Harness::new(|_| {});
        harness.arrive(1, 1);
        assert_eq!(
            harness.end_run(1, outcome),
            [response_to(1, Response::Failed)]
        );
    }
}

#[test]
fn resolves_uncertain_commands_so_that_nothing_runs_twice() {
    let command_uncertain = |command| Event::CommandUncertain { id: 1, command };
    for (class, command, expected) in [
        (0, RuntimeCommand::Start, vec![start_command(1, 0)]),
        (1, RuntimeCommand::Start, vec![]),
        (
            0,
            RuntimeCommand::ResumeWithReply,
            vec![Command::ResumeWithoutCall { id: 1, notice: 9 }],
        ),
        (1, RuntimeCommand::ResumeWithReply, vec![]),
        (
            0,
            RuntimeCommand::ResumeWithoutCall,
            vec![Command::ResumeWithoutCall { id: 1, notice: 9 }],
        ),
    ] {
        let mut harness = Harness::new(|_| {});
        harness.arrive(1, class);
        if command != RuntimeCommand::Start {
            harness.handle_event(Event::CallRequested {
                id: 1,
                notice: 9,
                body: Vec::new(),
            });
            harness.handle_event(Event::CallEnded {
                id: 1,
                outcome: Outcome::Success,
                elapsed: MS,
                reply: vec![],
            });
        }
        assert_eq!(
            harness.handle_event(command_uncertain(command)),
            expected,
            "class {class}, {command:?}"
        );
    }
    // A run whose start is uncertain releases its core when the request has its response.
    let mut harness = Harness::new(|settings| settings.cores = 1);
    harness.arrive(1, 1);
    assert!(harness
        .handle_event(command_uncertain(RuntimeCommand::Start))
        .is_empty());
    assert_eq!(
        harness.advance(8 * SECOND),
        [response_to(1, Response::Expired)]
    );
    assert_eq!(harness.arrive(2, 1), [start_command(2, 1)]);
    // A start is certain once the run has requested a call.
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 0);
    harness.handle_event(Event::CallRequested {
        id: 1,
        notice: 9,
        body: Vec::new(),
    });
    assert!(harness
        .handle_event(command_uncertain(RuntimeCommand::Start))
        .is_empty());
}

#[test]
fn batches_events_into_steps_at_least_one_tick_apart() {
    let mut harness = Harness::new(|settings| settings.tick = 4 * MS);
    let mut commands = Vec::new();
    harness.now += 10 * MS;
    harness.dispatcher.poll(harness.now, &mut commands);
    commands.clear();
    for id in 1..=2 {
        let event = Event::RequestRead(incoming_request(id, 0, harness.now));
        harness
            .dispatcher
            .handle_event(harness.now, event, &mut commands);
        harness
            .dispatcher
            .poll(harness.now + id * MS, &mut commands);
        commands.retain(|command| *command != Command::ReadGauges);
    }
    let first_step_commands = commands.len();
    assert_eq!(
        harness.dispatcher.next_deadline(),
        Some(harness.now + 5 * MS),
        "one tick after the step that started the first request"
    );
    harness.dispatcher.poll(harness.now + 5 * MS, &mut commands);
    assert_eq!(
        (first_step_commands, commands),
        (1, vec![start_command(1, 0), start_command(2, 0)])
    );
}

#[test]
fn reads_gauges_before_each_timer_and_passes_them_with_it() {
    let mut harness = Harness::new(|_| {});
    let mut gauge_requests = 0;
    let mut request_times = Vec::new();
    for _ in 0..40 {
        let Some(deadline) = harness.dispatcher.next_deadline() else {
            break;
        };
        harness.now = deadline;
        let mut commands = Vec::new();
        harness.dispatcher.poll(harness.now, &mut commands);
        if commands.contains(&Command::ReadGauges) {
            gauge_requests += 1;
            request_times.push(harness.now);
        }
    }
    assert_eq!(
        gauge_requests, 20,
        "gauges are read at every other deadline"
    );
    assert!(
        request_times
            .windows(2)
            .all(|pair| pair[1] - pair[0] == 15 * MS),
        "{request_times:?}"
    );
    // The run limit grows only if the gauges show idle cores while work is queued.
    let count_started = |runnable| {
        let mut harness = Harness::new(|settings| {
            (
                settings.classes[0].latency_objective,
                settings.classes[0].client_timeout,
            ) = (60 * SECOND, 90 * SECOND)
        });
        (1..=4).for_each(|id| drop(harness.arrive(id, 0)));
        let mut started_count = 0;
        for _ in 0..200 {
            let mut commands = harness.handle_event(Event::Gauges(Gauges {
                runnable,
                memory: None,
            }));
            commands.extend(harness.advance(4 * MS));
            started_count += commands
                .iter()
                .filter(|command| matches!(command, Command::StartRun { .. }))
                .count();
        }
        started_count
    };
    assert_eq!((count_started(None), count_started(Some(0.0))), (0, 2));
}

#[test]
fn fails_started_requests_and_rejects_with_retry_after_while_draining() {
    let mut harness = Harness::new(|settings| settings.drain_grace = 0);
    harness.arrive(1, 0);
    harness.handle_event(Event::DrainStarted {
        stop_at: harness.now + 2 * SECOND,
    });
    harness.now += 10 * MS;
    let late_commands = harness.arrive(2, 0);
    let is_rejection = |command: &Command| matches!(command, Command::Respond { response: Response::Rejected { retry_after, .. }, .. } if *retry_after == SECOND);
    assert!(
        late_commands.len() == 1 && is_rejection(&late_commands[0]),
        "{late_commands:?}"
    );
    assert_eq!(
        harness.advance(2 * SECOND),
        [response_to(1, Response::Failed)]
    );
}

/// Requests that the controller sheds are rejected in the same step, with a Retry-After time.
#[test]
fn responds_immediately_to_shed_requests() {
    let mut harness = Harness::new(|settings| settings.cores = 1);
    let mut pending_ids: Vec<RequestId> = Vec::new();
    let mut rejected_count = 0;
    for id in 1..=40 {
        let commands = harness.arrive(id, 0);
        pending_ids.push(id);
        for command in commands {
            if let Command::Respond {
                client,
                response: Response::Rejected { retry_after, .. },
            } = command
            {
                pending_ids.retain(|id| *id != RequestId::from(client.stream));
                rejected_count += 1;
                assert!(
                    (15 * MS..=SECOND).contains(&retry_after),
                    "a rejection carries a plausible Retry-After: {retry_after}"
                );
            }
        }
        assert_eq!(harness.dispatcher.pending_count(), pending_ids.len());
    }
    assert!(rejected_count > 20, "{rejected_count}");
    assert!(
        pending_ids.len() < 12,
        "more requests are queued than can finish in time: {pending_ids:?}"
    );
}

/// Guards against failing requests for cached results because attempts that wait for a run of their
/// key use up the memory share of loads. The controller accounts for the memory of such attempts.
#[test]
fn attempts_that_share_a_run_leave_memory_for_loads_of_cached_results() {
    let mut harness = Harness::new(|_| {});
    let memory_kb = settings().memory_kb;
    let options = KeyTableOptions {
        max_entries: 500,
        max_result_bytes: 100_000,
        deduplication_window: 3_600 * SECOND,
        stall_timeout: SECOND,
        hash_seed: 5,
    };
    let keys = IdempotencyKeys::new(
        vec![false, true],
        false,
        KeyScope::Global,
        KeyTable::new(options),
    );
    let mut settings = settings();
    settings.classes.truncate(2);
    settings.classes[1] = Class {
        effect: Effect::AtMostOnce,
        ..settings.classes[1].clone()
    };
    harness.dispatcher = Dispatcher::with_keys(settings, 7, keys);
    harness.handle_event(Event::RuntimeReady(SECOND));
    harness.handle_event(Event::KeysRecovered(Box::new(RecoveredKeys::new(1))));
    let request_memory_kb = memory_kb / 200.0;
    let send_request = |harness: &mut Harness, id: RequestId, key: &[u8]| {
        let incoming_request = IncomingRequest {
            key: Some(key.into()),
            memory_kb: request_memory_kb,
            ..incoming_request(id, 1, harness.now)
        };
        harness.handle_event(Event::RequestRead(IncomingRequest {
            body: vec![1],
            ..incoming_request
        }))
    };
    let written_sequence = |commands: &[Command]| {
        let found = commands.iter().find_map(|command| match command {
            Command::PersistKey(KeyCommand::Write { sequence, .. }) => Some(*sequence),
            _ => None,
        });
        found.expect("the key is written")
    };
    // Key a has its result. Key b runs, and the attempts that wait for it need more than a tenth of
    // the memory.
    let intent_sequence = written_sequence(&send_request(&mut harness, 1, b"a"));
    harness.handle_event(Event::KeysDurable(intent_sequence));
    let result_sequence = written_sequence(&harness.end_run(1, Outcome::Success));
    assert_eq!(
        harness.handle_event(Event::KeysDurable(result_sequence)),
        [response_to(1, Response::Served(vec![7]))]
    );
    let intent_sequence = written_sequence(&send_request(&mut harness, 2, b"b"));
    harness.handle_event(Event::KeysDurable(intent_sequence));
    for id in 3..33 {
        assert_eq!(send_request(&mut harness, id, b"b"), []);
    }
    let commands = send_request(&mut harness, 100, b"a");
    assert!(
        matches!(commands[..], [Command::LoadCachedResult { id: 100, .. }]),
        "{commands:?}"
    );
    // The memory of requests unknown to the controller has a limit of its own.
    for id in 101..119 {
        send_request(&mut harness, id, b"a");
    }
    let commands = send_request(&mut harness, 120, b"a");
    assert!(
        matches!(commands[..], [Command::LoadCachedResult { id: 120, .. }]),
        "the last request that fits: {commands:?}"
    );
    assert_eq!(
        send_request(&mut harness, 121, b"a"),
        [response_to(121, Response::Failed)]
    );
}
