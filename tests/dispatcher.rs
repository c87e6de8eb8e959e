//! The core alone: facts in, commands out, on a clock of the test's own.

mod common;

use cleatpulley::dispatcher::key_table::{
    Capacity, KeyCommand as KeyEffect, KeyTable, RecoveredKeys,
};
use cleatpulley::dispatcher::{
    ClientStream, Command, DependencyCall, Dispatcher, Event, IdempotencyKeys, IncomingRequest,
    KeyScope, Response, RuntimeCommand,
};
use cleatpulley::interface::*;
use common::{settings, MS, SECOND};

/// Far from 0, as a Unix clock is.
const START: Micros = 1_764_576_000 * SECOND;

struct Core {
    exchange: Dispatcher,
    now: Micros,
}

/// Class 0 is safe, class 1 unsafe; both call below and the safe one may leave its call out. Two cores.
impl Core {
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
        let mut core = Self {
            exchange: Dispatcher::new(settings, 7),
            now: START,
        };
        core.hear(Event::RuntimeReady(SECOND));
        core
    }

    /// Tells a fact and gives the controller the time to act on it.
    fn hear(&mut self, fact: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.exchange.handle_event(self.now, fact, &mut commands);
        self.now += 4 * MS;
        self.exchange.poll(self.now, &mut commands);
        commands.retain(|command| !matches!(command, Command::ReadGauges | Command::SetHealth(_)));
        commands
    }

    /// Lets time pass as the event loop does: from one moment of `next` to the other.
    fn pass(&mut self, time: Micros) -> Vec<Command> {
        let until = self.now + time;
        let mut commands = Vec::new();
        while let Some(at) = self.exchange.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.exchange.poll(self.now, &mut commands);
        }
        self.now = until;
        commands.retain(|command| !matches!(command, Command::ReadGauges | Command::SetHealth(_)));
        commands
    }

    fn arrive(&mut self, id: RequestId, class: usize) -> Vec<Command> {
        let door = self.now;
        self.hear(Event::RequestRead(arrival(id, class, door)))
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) -> Vec<Command> {
        self.hear(Event::RunEnded {
            id,
            outcome,
            elapsed: 5 * MS,
            result: vec![7],
        })
    }
}

fn origin(id: RequestId) -> ClientStream {
    ClientStream {
        connection: 1,
        stream: id as u32,
    }
}

fn arrival(id: RequestId, class: usize, door: Micros) -> IncomingRequest {
    IncomingRequest {
        client: origin(id),
        id,
        class,
        caller: 4,
        received_at: door,
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

fn answered(id: RequestId, answer: Response) -> Command {
    Command::Respond {
        client: origin(id),
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
fn a_run_is_served_with_its_own_result_and_once() {
    let mut core = Core::new(|_| {});
    assert_eq!(core.arrive(1, 0), [start(1, 0)]);
    assert_eq!(
        core.end(1, Outcome::Success),
        [answered(1, Response::Served(vec![7]))]
    );
    assert!(core.end(1, Outcome::Success).is_empty());
    assert!(core.pass(10 * SECOND).is_empty());
}

#[test]
fn a_call_goes_out_with_the_body_of_the_run_and_its_reply_comes_back() {
    let mut core = Core::new(|_| {});
    core.arrive(1, 1);
    let calls = core.hear(Event::CallRequested {
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
        core.hear(reply(Outcome::Success)),
        [Command::ResumeWithReply {
            id: 1,
            body: vec![3]
        }]
    );
    assert!(
        core.hear(reply(Outcome::Success)).is_empty(),
        "a call ends once"
    );
}

#[test]
fn the_due_time_counts_from_the_door_and_a_late_end_changes_nothing() {
    let mut core = Core::new(|_| {});
    let door = core.now - 3 * SECOND;
    assert_eq!(core.hear(Event::RequestRead(arrival(1, 1, door))).len(), 1);
    assert!(core.pass(4_900 * MS).is_empty());
    assert_eq!(core.pass(100 * MS), [answered(1, Response::Expired)]);
    assert!(core.now <= door + 8 * SECOND + 60 * MS);
    assert!(core.end(1, Outcome::Success).is_empty());
}

#[test]
fn after_a_pause_past_the_due_time_the_answer_comes_at_once_and_alone() {
    let mut core = Core::new(|_| {});
    core.arrive(1, 0);
    core.now += 30 * SECOND;
    let mut commands = Vec::new();
    core.exchange.poll(core.now, &mut commands);
    commands.retain(|command| matches!(command, Command::Respond { .. }));
    assert_eq!(commands, [answered(1, Response::Expired)]);
    assert_eq!(core.exchange.pending_count(), 0);
}

#[test]
fn doors_ahead_of_the_clock_or_ages_behind_it_are_brought_within_reason() {
    let mut core = Core::new(|_| {});
    let ahead = core.now + 3_600 * SECOND;
    assert_eq!(
        core.hear(Event::RequestRead(arrival(1, 1, ahead))),
        [start(1, 1)]
    );
    assert_eq!(
        core.pass(8 * SECOND),
        [answered(1, Response::Expired)],
        "due as if it came now"
    );
    let refused = core.hear(Event::RequestRead(arrival(2, 0, 0)));
    assert!(
        matches!(
            &refused[..],
            [Command::Respond {
                response: Response::Rejected { .. },
                ..
            }]
        ),
        "it never ran: {refused:?}"
    );
}

#[test]
fn an_id_that_is_open_is_not_started_again() {
    let mut core = Core::new(|_| {});
    core.arrive(1, 1);
    let again = IncomingRequest {
        client: ClientStream {
            connection: 2,
            stream: 5,
        },
        ..arrival(1, 1, core.now)
    };
    let to = again.client;
    let failed = [Command::Respond {
        client: to,
        response: Response::Failed,
    }];
    assert_eq!(core.hear(Event::RequestRead(again)), failed);
    assert_eq!(
        core.end(1, Outcome::Success),
        [answered(1, Response::Served(vec![7]))]
    );
}

#[test]
fn a_lost_front_end_frees_what_is_held_and_abandons_calls_but_not_runs() {
    let mut core = Core::new(|s| s.cores = 1);
    core.arrive(1, 0);
    core.hear(Event::CallRequested {
        id: 1,
        notice: 1,
        body: Vec::new(),
    });
    assert_eq!(
        core.arrive(2, 0),
        [start(2, 0)],
        "a run at its call is off the core"
    );
    assert!(core.arrive(3, 0).is_empty(), "held");
    assert_eq!(
        core.hear(Event::ConnectionLost(1)),
        [Command::AbandonCall(1)]
    );
    assert_eq!(core.exchange.pending_count(), 0);
    assert!(
        core.end(2, Outcome::Success).is_empty(),
        "nobody is there to be answered"
    );
    assert!(core.end(1, Outcome::Cancelled).is_empty());
    assert!(core.pass(10 * SECOND).is_empty());
}

#[test]
fn a_run_that_ended_for_any_other_reason_is_a_failure() {
    for outcome in [Outcome::Failure, Outcome::Cancelled, Outcome::NotStarted] {
        let mut core = Core::new(|_| {});
        core.arrive(1, 1);
        assert_eq!(core.end(1, outcome), [answered(1, Response::Failed)]);
    }
}

#[test]
fn orders_in_doubt_are_settled_so_that_nothing_runs_twice() {
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
        let mut core = Core::new(|_| {});
        core.arrive(1, class);
        if order != RuntimeCommand::Start {
            core.hear(Event::CallRequested {
                id: 1,
                notice: 9,
                body: Vec::new(),
            });
            core.hear(Event::CallEnded {
                id: 1,
                outcome: Outcome::Success,
                elapsed: MS,
                reply: vec![],
            });
        }
        assert_eq!(core.hear(doubt(order)), settled, "class {class}, {order:?}");
    }
    // A write that was perhaps never started gives its place back when it is answered.
    let mut core = Core::new(|s| s.cores = 1);
    core.arrive(1, 1);
    assert!(core.hear(doubt(RuntimeCommand::Start)).is_empty());
    assert_eq!(core.pass(8 * SECOND), [answered(1, Response::Expired)]);
    assert_eq!(core.arrive(2, 1), [start(2, 1)]);
    // What has gone on since is settled by that.
    let mut core = Core::new(|_| {});
    core.arrive(1, 0);
    core.hear(Event::CallRequested {
        id: 1,
        notice: 9,
        body: Vec::new(),
    });
    assert!(core.hear(doubt(RuntimeCommand::Start)).is_empty());
}

#[test]
fn steps_gather_events_and_are_no_closer_than_the_tick() {
    let mut core = Core::new(|s| s.tick = 4 * MS);
    let mut commands = Vec::new();
    core.now += 10 * MS;
    core.exchange.poll(core.now, &mut commands);
    commands.clear();
    for id in 1..=2 {
        let fact = Event::RequestRead(arrival(id, 0, core.now));
        core.exchange.handle_event(core.now, fact, &mut commands);
        core.exchange.poll(core.now + id * MS, &mut commands);
        commands.retain(|command| *command != Command::ReadGauges);
    }
    let first = commands.len();
    assert_eq!(
        core.exchange.next_deadline(),
        Some(core.now + 5 * MS),
        "one tick after the step that took the first"
    );
    core.exchange.poll(core.now + 5 * MS, &mut commands);
    assert_eq!((first, commands), (1, vec![start(1, 0), start(2, 0)]));
}

#[test]
fn gauges_are_asked_for_before_each_timer_and_told_with_it() {
    let mut core = Core::new(|_| {});
    let mut asks = 0;
    let mut times = Vec::new();
    for _ in 0..40 {
        let Some(at) = core.exchange.next_deadline() else {
            break;
        };
        core.now = at;
        let mut commands = Vec::new();
        core.exchange.poll(core.now, &mut commands);
        if commands.contains(&Command::ReadGauges) {
            asks += 1;
            times.push(core.now);
        }
    }
    assert_eq!(asks, 20, "every other moment");
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] == 15 * MS),
        "{times:?}"
    );
    // The run limit grows only on gauges that show idle cores while work waits.
    let runs = |runnable| {
        let mut core = Core::new(|s| {
            (s.classes[0].latency_objective, s.classes[0].client_timeout) =
                (60 * SECOND, 90 * SECOND)
        });
        (1..=4).for_each(|id| drop(core.arrive(id, 0)));
        let mut started = 0;
        for _ in 0..200 {
            let mut commands = core.hear(Event::Gauges(Gauges {
                runnable,
                memory: None,
            }));
            commands.extend(core.pass(4 * MS));
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
fn a_refusal_after_a_start_becomes_a_failure_and_leaving_turns_away_with_advice() {
    let mut core = Core::new(|s| s.drain_grace = 0);
    core.arrive(1, 0);
    core.hear(Event::DrainStarted {
        stop_at: core.now + 2 * SECOND,
    });
    core.now += 10 * MS;
    let late = core.arrive(2, 0);
    let refused = |c: &Command| matches!(c, Command::Respond { response: Response::Rejected { retry_after: later, .. }, .. } if *later == SECOND);
    assert!(late.len() == 1 && refused(&late[0]), "{late:?}");
    assert_eq!(core.pass(2 * SECOND), [answered(1, Response::Failed)]);
}

/// What the module gives up gets its answer in the same step, with the time to come back.
#[test]
fn what_is_given_up_is_answered_at_once() {
    let mut core = Core::new(|s| s.cores = 1);
    let mut open: Vec<RequestId> = Vec::new();
    let mut turned_away = 0;
    for id in 1..=40 {
        let commands = core.arrive(id, 0);
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
        assert_eq!(core.exchange.pending_count(), open.len());
    }
    assert!(turned_away > 20, "{turned_away}");
    assert!(open.len() < 12, "what waits can still be in time: {open:?}");
}

/// Tries that wait for another try of their key are booked by the controller: they take nothing of the share that is
/// left to reads of kept results, which would fail a key whose result is known.
#[test]
fn tries_that_share_a_run_leave_the_room_for_reads_of_results() {
    let mut core = Core::new(|_| {});
    let kept = settings().memory_kb;
    let bounds = Capacity {
        entries: 500,
        result_bytes: 100_000,
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
    core.exchange = Dispatcher::with_keys(settings, 7, keys);
    core.hear(Event::RuntimeReady(SECOND));
    core.hear(Event::KeysRecovered(Box::new(RecoveredKeys::new(1))));
    let each = kept / 200.0;
    let ask = |core: &mut Core, id: RequestId, key: &[u8]| {
        let arrival = IncomingRequest {
            key: Some(key.into()),
            memory_kb: each,
            ..arrival(id, 1, core.now)
        };
        core.hear(Event::RequestRead(IncomingRequest {
            body: vec![1],
            ..arrival
        }))
    };
    let ticket = |commands: &[Command]| {
        let written = commands.iter().find_map(|command| match command {
            Command::PersistKey(KeyEffect::Write { ticket, .. }) => Some(*ticket),
            _ => None,
        });
        written.expect("a write")
    };
    // Key a has its result; key b runs, and more tries wait for it than a tenth of the memory holds.
    let intent = ticket(&ask(&mut core, 1, b"a"));
    core.hear(Event::KeysDurable(intent));
    let result = ticket(&core.end(1, Outcome::Success));
    assert_eq!(
        core.hear(Event::KeysDurable(result)),
        [answered(1, Response::Served(vec![7]))]
    );
    let intent = ticket(&ask(&mut core, 2, b"b"));
    core.hear(Event::KeysDurable(intent));
    for id in 3..33 {
        assert_eq!(ask(&mut core, id, b"b"), []);
    }
    let commands = ask(&mut core, 100, b"a");
    assert!(
        matches!(commands[..], [Command::LoadCachedResult { id: 100, .. }]),
        "{commands:?}"
    );
    // What the controller does not know of is bounded all the same.
    for id in 101..119 {
        ask(&mut core, id, b"a");
    }
    let commands = ask(&mut core, 120, b"a");
    assert!(
        matches!(commands[..], [Command::LoadCachedResult { id: 120, .. }]),
        "the last that fits: {commands:?}"
    );
    assert_eq!(ask(&mut core, 121, b"a"), [answered(121, Response::Failed)]);
}
