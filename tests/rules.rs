//! The four rules, each kept by one controller on its own.

mod common;

use cleatpulley::interface::*;
use common::*;

#[test]
fn a_running_request_is_failed_before_its_due_time() {
    let mut script = Script::new(settings());
    assert_eq!(runs(&script.arrive(1, 0)), [1]);
    assert!(failed(&script.pass(7_900 * MS)).is_empty());
    assert_eq!(failed(&script.pass(100 * MS)), [1]);
    // It was answered: nothing more is said, and its end is harmless.
    assert!(script.hear(&[ended(1, 8 * SECOND)]).is_empty());
    assert!(script.pass(SECOND).is_empty());
}

#[test]
fn without_a_due_time_the_class_deadline_counts_from_arrival_at_the_machine() {
    let mut script = Script::new(settings());
    let request = Request {
        respond_by: None,
        read_delay: 1_500 * MS,
        ..script.request(1, 0)
    };
    assert_eq!(runs(&script.hear(&[Event::Arrived(request)])), [1]);
    assert_eq!(failed(&script.pass(6_500 * MS)), [1]);
}

#[test]
fn a_caller_that_has_gone_gets_no_answer() {
    let mut script = Script::new(settings());
    script.arrive(1, 0);
    assert!(script.hear(&[Event::Abandoned(1)]).is_empty());
    assert!(script.pass(9 * SECOND).is_empty());
}

/// Where the deployment lets runs be stopped, that of a read whose caller has gone, or that is failed, is; never one that has
/// an effect, and nowhere else.
#[test]
fn only_a_read_that_is_over_is_stopped_and_only_where_that_may_be() {
    for (halt, class, stops) in [
        (Preemption::Never, 0, false),
        (Preemption::Discard, 0, true),
        (Preemption::Suspend, 0, true),
        (Preemption::Discard, 1, false),
    ] {
        let mut script = Script::new(Settings {
            preemption: halt,
            ..settings()
        });
        script.arrive(1, class);
        let expected: Vec<_> = stops.then_some(Action::Preempt(1)).into_iter().collect();
        assert_eq!(
            script.hear(&[Event::Abandoned(1)]),
            expected,
            "{halt:?}, class {class}"
        );
        assert_eq!(script.hear(&[ended(1, 5 * MS)]), [], "its end is no news");
        script.arrive(2, class);
        let actions = script.pass(9 * SECOND);
        assert_eq!(failed(&actions), [2]);
        assert_eq!(actions.contains(&Action::Preempt(2)), stops);
    }
}

#[test]
fn a_keyed_request_is_kept_for_its_window_from_arrival() {
    let mut script = Script::new(settings());
    let request = Request {
        read_delay: 300 * MS,
        ..script.request(1, 1)
    };
    let actions = script.hear(&[Event::Arrived(request)]);
    let lifetime = 20 * SECOND - 300 * MS + 15 * MS;
    assert_eq!(
        actions,
        [Action::InsertKey { id: 1, lifetime }, Action::Run(1)]
    );
}

#[test]
fn a_keyed_repeat_shares_the_answer_of_a_run_and_is_never_refused_or_run() {
    let mut script = Script::new(settings());
    script.arrive(1, 1);
    let repeat = Request {
        duplicate_of: Some(1),
        ..script.request(2, 1)
    };
    assert_eq!(
        script.hear(&[Event::Arrived(repeat)]),
        [Action::ShareResponse(2)]
    );
    let later = script.pass(8 * SECOND);
    assert_eq!(failed(&later), [1, 2]);
    assert!(runs(&later).is_empty() && refused(&later).is_empty());
}

#[test]
fn a_keyed_repeat_of_a_run_long_over_shares_its_answer() {
    let mut script = Script::new(settings());
    script.arrive(1, 1);
    script.hear(&[ended(1, 100 * MS)]);
    let repeat = Request {
        duplicate_of: Some(1),
        ..script.request(2, 1)
    };
    assert_eq!(
        script.hear(&[Event::Arrived(repeat)]),
        [Action::ShareResponse(2)]
    );
}

#[test]
fn a_keyed_request_still_held_gives_way_to_its_newer_try() {
    let mut script = Script::new(settings());
    script.arrive(1, 0);
    script.arrive(2, 0);
    assert!(runs(&script.arrive(3, 1)).is_empty(), "two cores are taken");
    let repeat = Request {
        duplicate_of: Some(3),
        ..script.request(4, 1)
    };
    let actions = script.hear(&[Event::Arrived(repeat)]);
    assert_eq!(refused(&actions), [3]);
    assert!(!actions.contains(&Action::ShareResponse(4)));
    assert_eq!(runs(&script.hear(&[ended(1, 100 * MS)])), [4]);
}

#[test]
fn two_tries_in_one_round_that_name_each_other_get_one_run() {
    let mut script = Script::new(settings());
    let first = Request {
        duplicate_of: Some(2),
        ..script.request(1, 1)
    };
    let second = Request {
        duplicate_of: Some(1),
        ..script.request(2, 1)
    };
    let actions = script.hear(&[Event::Arrived(first), Event::Arrived(second)]);
    assert_eq!(runs(&actions), [2]);
    assert!(actions.contains(&Action::ShareResponse(1)));
}

#[test]
fn a_call_is_repeated_only_where_it_never_ran_or_repeats_are_safe() {
    for (effect, outcome, again) in [
        (Effect::Deduplicated, Outcome::TimedOut, false),
        (Effect::Deduplicated, Outcome::Failure, false),
        (Effect::Deduplicated, Outcome::Unreachable, true),
        (Effect::AtMostOnce, Outcome::Interrupted, false),
        (Effect::AtMostOnce, Outcome::Overloaded, true),
        (Effect::Idempotent, Outcome::TimedOut, true),
    ] {
        let mut script = Script::new(Settings {
            classes: vec![class(effect, true)],
            ..settings()
        });
        script.arrive(1, 0);
        assert_eq!(calls(&script.hear(&[Event::CallRequested(1)])), [1]);
        script.now += 10 * MS;
        let mut actions = script.hear(&[called(1, outcome, 10 * MS)]);
        actions.extend(script.pass(SECOND));
        assert_eq!(
            calls(&actions).len(),
            usize::from(again),
            "{effect:?} {outcome:?}"
        );
        assert_eq!(
            failed(&actions).len(),
            usize::from(!again),
            "{effect:?} {outcome:?}"
        );
    }
}

#[test]
fn after_the_grace_nothing_new_runs_and_all_is_answered_before_the_stop() {
    let mut script = Script::new(settings());
    script.arrive(1, 0);
    let stop_at = script.now + 4 * SECOND;
    let actions = script.hear(&[Event::DrainStarted { stop_at }]);
    assert!(actions.contains(&Action::SetHealth {
        healthy: false,
        from_state: true
    }));
    script.now += 1_990 * MS;
    assert_eq!(runs(&script.arrive(2, 0)), [2], "within the grace");
    script.now += 20 * MS;
    assert_eq!(refused(&script.arrive(3, 0)), [3], "after the grace");
    assert_eq!(failed(&script.pass(stop_at - 60 * MS - script.now)), [1, 2]);
}

#[test]
fn what_reached_the_machine_within_the_grace_but_was_read_later_may_run() {
    let mut script = Script::new(settings());
    script.hear(&[Event::DrainStarted {
        stop_at: script.now + 5 * SECOND,
    }]);
    script.now += 2_100 * MS;
    let early = Request {
        read_delay: 200 * MS,
        ..script.request(1, 0)
    };
    let late = Request {
        read_delay: 50 * MS,
        ..script.request(2, 0)
    };
    let actions = script.hear(&[Event::Arrived(early), Event::Arrived(late)]);
    assert_eq!((runs(&actions), refused(&actions)), (vec![1], vec![2]));
}

#[test]
fn memory_is_never_taken_beyond_the_margin() {
    let mut script = Script::new(Settings {
        memory_kb: 200.0,
        cores: 8,
        ..settings()
    });
    let mut actions = Vec::new();
    for id in 1..=12 {
        actions.extend(script.arrive(id, 0));
    }
    // 85 in 100 of 200 kB: two runs of 80 kB and one held request of 10 kB.
    assert_eq!(runs(&actions), [1, 2]);
    assert_eq!(refused(&actions).len(), 9);
}

#[test]
fn no_more_run_than_the_limit_and_a_call_frees_its_core() {
    let mut script = Script::new(settings());
    let mut actions = script.arrive(1, 2);
    actions.extend(script.arrive(2, 0));
    actions.extend(script.arrive(3, 0));
    assert_eq!(runs(&actions), [1, 2]);
    assert_eq!(runs(&script.hear(&[Event::CallRequested(1)])), [3]);
}

#[test]
fn same_events_same_actions() {
    let play = || {
        let mut script = Script::new(settings());
        let mut all = Vec::new();
        for id in 1..=60 {
            all.extend(script.arrive(id, (id % 3) as usize));
            all.extend(script.pass(40 * MS));
        }
        all
    };
    assert_eq!(play(), play());
    assert!(!refused(&play()).is_empty());
}

#[test]
fn events_for_requests_already_over_are_harmless() {
    let mut script = Script::new(settings());
    let gone = [
        Event::Abandoned(9),
        Event::CallRequested(9),
        called(9, Outcome::Success, 1),
        ended(9, 1),
    ];
    assert!(script.hear(&gone).is_empty());
}

#[test]
fn odd_settings_neither_stall_nor_panic() {
    let odd = Settings {
        classes: vec![Class {
            latency_objective: 0,
            client_timeout: 0,
            priority_weight: 0.0,
            deduplication_window: 0,
            ..class(Effect::Idempotent, true)
        }],
        servers: 0,
        callers: 0,
        cores: 0,
        running_memory_factor: 0.0,
        dependency: DependencyLimit::Shared {
            concurrency_quota: 0.0,
            averaging_window: 0,
        },
        response_slack: 0,
        overload_concurrency_per_core: 0.0,
        tick: 0,
        warm_up_time: 0,
        cold_start: true,
        feedback: FeedbackKind::ConcurrencyAllowance,
        ..settings()
    };
    let mut script = Script::new(odd);
    let actions = script.arrive(1, 0);
    assert_eq!(runs(&actions).len() + refused(&actions).len(), 1);
    script.pass(200 * MS);
}
