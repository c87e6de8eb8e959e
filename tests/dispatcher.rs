//! The dispatcher alone: events in, commands out, on a clock of the test's own.

mod common;

use cleatpulley::dispatcher::key_table::{
    KeyCommand as KeyEffect, KeyTable, KeyTableOptions, RecoveredKeys,
};
use cleatpulley::dispatcher::{
    ClientStream, Command, DependencyCall, Dispatcher, Event, IdempotencyKeys, IncomingRequest,
    KeyScope, Response, RuntimeCommand,
};
use cleatpulley::interface::*;
use common::{settings, MS, SECOND};

/// Far from 0, as a Unix clock is.
const START: Micros = 1_764_576_000 * SECOND;

struct Harness {
    dispatcher: Dispatcher,
    now: Micros,
}

/// Class 0 is safe, class 1 unsafe; both call below and the safe one may leave its call out. Two cores.
impl Harness {
    fn new(change: impl Fn(&mut Settings)) -> Self {
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
        change(&mut settings);
        let mut harness = Self {
            dispatcher: Dispatcher::new(settings, 7),
            now: START,
        };
        harness.handle(Event::RuntimeReady(SECOND));
        harness
    }

    /// Tells a fact and gives the controller the time to act on it.
    fn handle(&mut self, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.dispatcher.handle_event(self.now, event, &mut commands);
        self.now += 4 * MS;
        self.dispatcher.poll(self.now, &mut commands);
        commands.retain(|command| !matches!(command, Command::ReadGauges | Command::SetHealth(_)));
        commands
    }

    /// Lets time pass as the event loop does: from one moment of `next` to the other.
    fn pass_time(&mut self, time: Micros) -> Vec<Command> {
        let until = self.now + time;
        let mut commands = Vec::new();
        while let Some(at) = self.dispatcher.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.dispatcher.poll(self.now, &mut commands);
        }
        self.now = until;
        commands.retain(|command| !matches!(command, Command::ReadGauges | Command::SetHealth(_)));
        commands
    }

    fn arrive(&mut self, id: RequestId, class: usize) -> Vec<Command> {
        let received_at = self.now;
        self.handle(Event::RequestRead(incoming_request(id, class, received_at)))
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) -> Vec<Command> {
        self.handle(Event::RunEnded {
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

fn response_to(id: RequestId, answer: Response) -> Command {
    Command::Respond {
        client: client_stream(id),
        response: answer,
    }
}

fn start(id: RequestId, class: usize) -> Command {
    Command::StartRun {
        id,
        class,
        body: vec![id as u8],
    }
}

#[test]
fn responds_to_a_run_with_its_own_result_once() {
    let mut harness = Harness::new(|_| {});
    assert_eq!(harness.arrive(1, 0), [start(1, 0)]);
    assert_eq!(
        harness.end(1, Outcome::Success),
        [response_to(1, Response::Served(vec![7]))]
    );
    assert!(harness.end(1, Outcome::Success).is_empty());
    assert!(harness.pass_time(10 * SECOND).is_empty());
}

#[test]
fn makes_a_call_with_the_body_of_the_run_and_returns_its_reply() {
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 1);
    let calls = harness.handle(Event::CallRequested {
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
        harness.handle(reply(Outcome::Success)),
        [Command::ResumeWithReply {
            id: 1,
            body: vec![3]
        }]
    );
    assert!(
        harness.handle(reply(Outcome::Success)).is_empty(),
        "a call ends once"
    );
}

#[test]
fn counts_deadline_from_receipt_and_ignores_a_late_end() {
    let mut harness = Harness::new(|_| {});
    let received_at = harness.now - 3 * SECOND;
    assert_eq!(
        harness
            .handle(Event::RequestRead(incoming_request(1, 1, received_at)))
            .len(),
        1
    );
    assert!(harness.pass_time(4_900 * MS).is_empty());
    assert_eq!(
        harness.pass_time(100 * MS),
        [response_to(1, Response::Expired)]
    );
    assert!(harness.now <= received_at + 8 * SECOND + 60 * MS);
    assert!(harness.end(1, Outcome::Success).is_empty());
}

#[test]
fn responds_once_and_at_once_after_a_pause_past_the_deadline() {
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
fn bounds_receipts_that_are_ahead_of_or_far_behind_the_clock() {
    let mut harness = Harness::new(|_| {});
    let ahead = harness.now + 3_600 * SECOND;
    assert_eq!(
        harness.handle(Event::RequestRead(incoming_request(1, 1, ahead))),
        [start(1, 1)]
    );
    assert_eq!(
        harness.pass_time(8 * SECOND),
        [response_to(1, Response::Expired)],
        "due as if it came now"
    );
    let commands = harness.handle(Event::RequestRead(incoming_request(2, 0, 0)));
    assert!(
        matches!(
            &commands[..],
            [Command::Respond {
                response: Response::Rejected { .. },
                ..
            }]
        ),
        "it never ran: {commands:?}"
    );
}

#[test]
fn does_not_start_an_open_id_again() {
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 1);
    let again = IncomingRequest {
        client: ClientStream {
            connection: 2,
            stream: 5,
        },
        ..incoming_request(1, 1, harness.now)
    };
    let to = again.client;
    let failed = [Command::Respond {
        client: to,
        response: Response::Failed,
    }];
    assert_eq!(harness.handle(Event::RequestRead(again)), failed);
    assert_eq!(
        harness.end(1, Outcome::Success),
        [response_to(1, Response::Served(vec![7]))]
    );
}

#[test]
fn lost_connection_frees_queued_requests_and_abandons_calls_but_not_runs() {
    let mut harness = Harness::new(|s| s.cores = 1);
    harness.arrive(1, 0);
    harness.handle(Event::CallRequested {
        id: 1,
        notice: 1,
        body: Vec::new(),
    });
    assert_eq!(
        harness.arrive(2, 0),
        [start(2, 0)],
        "a run at its call is off the core"
    );
    assert!(harness.arrive(3, 0).is_empty(), "held");
    assert_eq!(
        harness.handle(Event::ConnectionLost(1)),
        [Command::AbandonCall(1)]
    );
    assert_eq!(harness.dispatcher.pending_count(), 0);
    assert!(
        harness.end(2, Outcome::Success).is_empty(),
        "nobody is there to be answered"
    );
    assert!(harness.end(1, Outcome::Cancelled).is_empty());
    assert!(harness.pass_time(10 * SECOND).is_empty());
}

#[test]
fn reports_a_run_that_ended_otherwise_as_a_failure() {
    for outcome in [Outcome::Failure, Outcome::Cancelled, Outcome::NotStarted] {
        let mut harness = Harness::new(|_| {});
        harness.arrive(1, 1);
        assert_eq!(harness.end(1, outcome), [response_to(1, Response::Failed)]);
    }
}

#[test]
fn resolves_uncertain_commands_so_that_nothing_runs_twice() {
    let doubt = |order| Event::CommandUncertain {
        id: 1,
        command: order,
    };
    for (class, order, settled) in [
        (0, RuntimeCommand::Start, vec![start(1, 0)]),
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
        if order != RuntimeCommand::Start {
            harness.handle(Event::CallRequested {
                id: 1,
                notice: 9,
                body: Vec::new(),
            });
            harness.handle(Event::CallEnded {
                id: 1,
                outcome: Outcome::Success,
                elapsed: MS,
                reply: vec![],
            });
        }
        assert_eq!(
            harness.handle(doubt(order)),
            settled,
            "class {class}, {order:?}"
        );
    }
    // A write that was perhaps never started gives its place back when it is answered.
    let mut harness = Harness::new(|s| s.cores = 1);
    harness.arrive(1, 1);
    assert!(harness.handle(doubt(RuntimeCommand::Start)).is_empty());
    assert_eq!(
        harness.pass_time(8 * SECOND),
        [response_to(1, Response::Expired)]
    );
    assert_eq!(harness.arrive(2, 1), [start(2, 1)]);
    // What has gone on since is settled by that.
    let mut harness = Harness::new(|_| {});
    harness.arrive(1, 0);
    harness.handle(Event::CallRequested {
        id: 1,
        notice: 9,
        body: Vec::new(),
    });
    assert!(harness.handle(doubt(RuntimeCommand::Start)).is_empty());
}

#[test]
fn gathers_events_into_steps_no_closer_than_the_tick() {
    let mut harness = Harness::new(|s| s.tick = 4 * MS);
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
    let first = commands.len();
    assert_eq!(
        harness.dispatcher.next_deadline(),
        Some(harness.now + 5 * MS),
        "one tick after the step that took the first"
    );
    harness.dispatcher.poll(harness.now + 5 * MS, &mut commands);
    assert_eq!((first, commands), (1, vec![start(1, 0), start(2, 0)]));
}

#[test]
fn reads_gauges_before_each_timer_and_passes_them_with_it() {
    let mut harness = Harness::new(|_| {});
    let mut asks = 0;
    let mut times = Vec::new();
    for _ in 0..40 {
        let Some(at) = harness.dispatcher.next_deadline() else {
            break;
        };
        harness.now = at;
        let mut commands = Vec::new();
        harness.dispatcher.poll(harness.now, &mut commands);
        if commands.contains(&Command::ReadGauges) {
            asks += 1;
            times.push(harness.now);
        }
    }
    assert_eq!(asks, 20, "every other moment");
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] == 15 * MS),
        "{times:?}"
    );
    // The run limit grows only on gauges that show idle cores while work waits.
    let runs = |runnable| {
        let mut harness = Harness::new(|s| {
            (s.classes[0].latency_objective, s.classes[0].client_timeout) =
                (60 * SECOND, 90 * SECOND)
        });
        (1..=4).for_each(|id| drop(harness.arrive(id, 0)));
        let mut started = 0;
        for _ in 0..200 {
            let mut commands = harness.handle(Event::Gauges(Gauges {
                runnable,
                memory: None,
            }));
            commands.extend(harness.pass_time(4 * MS));
            started += commands
                .iter()
                .filter(|c| matches!(c, Command::StartRun { .. }))
                .count();
        }
        started
    };
    assert_eq!((runs(None), runs(Some(0.0))), (0, 2));
}

#[test]
fn fails_a_rejection_after_a_start_and_rejects_with_retry_after_while_draining() {
    let mut harness = Harness::new(|s| s.drain_grace = 0);
    harness.arrive(1, 0);
    harness.handle(Event::DrainStarted {
        stop_at: harness.now + 2 * SECOND,
    });
    harness.now += 10 * MS;
    let late = harness.arrive(2, 0);
    let is_rejection = |c: &Command| matches!(c, Command::Respond { response: Response::Rejected { retry_after: later, .. }, .. } if *later == SECOND);
    assert!(late.len() == 1 && is_rejection(&late[0]), "{late:?}");
    assert_eq!(
        harness.pass_time(2 * SECOND),
        [response_to(1, Response::Failed)]
    );
}

/// What the module gives up gets its answer in the same step, with the time to come back.
#[test]
fn responds_at_once_to_what_is_given_up() {
    let mut harness = Harness::new(|s| s.cores = 1);
    let mut open: Vec<RequestId> = Vec::new();
    let mut turned_away = 0;
    for id in 1..=40 {
        let commands = harness.arrive(id, 0);
        open.push(id);
        for command in commands {
            if let Command::Respond {
                client: to,
                response:
                    Response::Rejected {
                        retry_after: later, ..
                    },
            } = command
            {
                open.retain(|id| *id != RequestId::from(to.stream));
                turned_away += 1;
                assert!(
                    (15 * MS..=SECOND).contains(&later),
                    "no answer without a time to come back: {later}"
                );
            }
        }
        assert_eq!(harness.dispatcher.pending_count(), open.len());
    }
    assert!(turned_away > 20, "{turned_away}");
    assert!(open.len() < 12, "what waits can still be in time: {open:?}");
}

/// Tries that wait for another try of their key are booked by the controller: they take nothing of the share that is
/// left to reads of kept results, which would fail a key whose result is known.
#[test]
fn attempts_that_share_a_run_leave_memory_for_loads_of_cached_results() {
    let mut harness = Harness::new(|_| {});
    let kept = settings().memory_kb;
    let bounds = KeyTableOptions {
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
        KeyTable::new(bounds),
    );
    let mut settings = settings();
    settings.classes.truncate(2);
    settings.classes[1] = Class {
        effect: Effect::AtMostOnce,
        ..settings.classes[1].clone()
    };
    harness.dispatcher = Dispatcher::with_keys(settings, 7, keys);
    harness.handle(Event::RuntimeReady(SECOND));
    harness.handle(Event::KeysRecovered(Box::new(RecoveredKeys::new(1))));
    let each = kept / 200.0;
    let ask = |harness: &mut Harness, id: RequestId, key: &[u8]| {
        let incoming_request = IncomingRequest {
            key: Some(key.into()),
            memory_kb: each,
            ..incoming_request(id, 1, harness.now)
        };
        harness.handle(Event::RequestRead(IncomingRequest {
            body: vec![1],
            ..incoming_request
        }))
    };
    let sequence = |commands: &[Command]| {
        let written = commands.iter().find_map(|command| match command {
            Command::PersistKey(KeyEffect::Write { sequence, .. }) => Some(*sequence),
            _ => None,
        });
        written.expect("a write")
    };
    // Key a has its result; key b runs, and more tries wait for it than a tenth of the memory holds.
    let intent = sequence(&ask(&mut harness, 1, b"a"));
    harness.handle(Event::KeysDurable(intent));
    let result = sequence(&harness.end(1, Outcome::Success));
    assert_eq!(
        harness.handle(Event::KeysDurable(result)),
        [response_to(1, Response::Served(vec![7]))]
    );
    let intent = sequence(&ask(&mut harness, 2, b"b"));
    harness.handle(Event::KeysDurable(intent));
    for id in 3..33 {
        assert_eq!(ask(&mut harness, id, b"b"), []);
    }
    let commands = ask(&mut harness, 100, b"a");
    assert!(
        matches!(commands[..], [Command::LoadCachedResult { id: 100, .. }]),
        "{commands:?}"
    );
    // What the controller does not know of is bounded all the same.
    for id in 101..119 {
        ask(&mut harness, id, b"a");
    }
    let commands = ask(&mut harness, 120, b"a");
    assert!(
        matches!(commands[..], [Command::LoadCachedResult { id: 120, .. }]),
        "the last that fits: {commands:?}"
    );
    assert_eq!(
        ask(&mut harness, 121, b"a"),
        [response_to(121, Response::Failed)]
    );
}
