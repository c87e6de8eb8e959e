//! Tests of the four rules of the controller: one response by the deadline, no forbidden second
//! run, graceful shutdown, and no overload of memory or cores.

mod common;

use cleatpulley::interface::*;
use common::*;

#[test]
fn fails_a_running_request_before_its_deadline() {
    let mut harness = ControllerHarness::new(settings());
    assert_eq!(started_runs(&harness.arrive(1, 0)), [1]);
    assert!(failed(&harness.advance(7_900 * MS)).is_empty());
    assert_eq!(failed(&harness.advance(100 * MS)), [1]);
    // The request has its response, so neither the end of its run nor time causes further actions.
    assert!(harness.step(&[run_ended(1, 8 * SECOND)]).is_empty());
    assert!(harness.advance(SECOND).is_empty());
}

#[test]
fn counts_the_client_timeout_from_receipt_if_no_deadline_is_known() {
    let mut harness = ControllerHarness::new(settings());
    let request = Request {
        respond_by: None,
        read_delay: 1_500 * MS,
        ..harness.request(1, 0)
    };
    assert_eq!(started_runs(&harness.step(&[Event::Arrived(request)])), [1]);
    assert_eq!(failed(&harness.advance(6_500 * MS)), [1]);
}

#[test]
fn sends_no_response_to_an_abandoned_request() {
    let mut harness = ControllerHarness::new(settings());
    harness.arrive(1, 0);
    assert!(harness.step(&[Event::Abandoned(1)]).is_empty());
    assert!(harness.advance(9 * SECOND).is_empty());
}

/// Where the deployment allows preemption, the run of an idempotent request is preempted when its
/// caller abandons it or it fails. Runs of other requests are never preempted.
#[test]
fn preempts_only_settled_reads_and_only_where_allowed() {
    for (preemption, class, is_preempted) in [
        (Preemption::Never, 0, false),
        (Preemption::Discard, 0, true),
        (Preemption::Suspend, 0, true),
        (Preemption::Discard, 1, false),
    ] {
        let mut harness = ControllerHarness::new(Settings {
            preemption,
            ..settings()
        });
        harness.arrive(1, class);
        let expected: Vec<_> = is_preempted
            .then_some(Action::Preempt(1))
            .into_iter()
            .collect();
        assert_eq!(
            harness.step(&[Event::Abandoned(1)]),
            expected,
            "{preemption:?}, class {class}"
        );
        assert_eq!(
            harness.step(&[run_ended(1, 5 * MS)]),
            [],
            "the end of a settled run causes no action"
        );
        harness.arrive(2, class);
        let actions = harness.advance(9 * SECOND);
        assert_eq!(failed(&actions), [2]);
        assert_eq!(actions.contains(&Action::Preempt(2)), is_preempted);
    }
}

#[test]
fn keeps_a_key_for_the_deduplication_window_after_arrival() {
    let mut harness = ControllerHarness::new(settings());
    let request = Request {
        read_delay: 300 * MS,
        ..harness.request(1, 1)
    };
    let actions = harness.step(&[Event::Arrived(request)]);
    let lifetime = 20 * SECOND - 300 * MS + 15 * MS;
    assert_eq!(
        actions,
        [Action::InsertKey { id: 1, lifetime }, Action::Run(1)]
    );
}

#[test]
fn retry_shares_the_response_of_a_run_and_is_never_rejected_or_run() {
    let mut harness = ControllerHarness::new(settings());
    harness.arrive(1, 1);
    let retry = Request {
        duplicate_of: Some(1),
        ..harness.request(2, 1)
    };
    assert_eq!(
        harness.step(&[Event::Arrived(retry)]),
        [Action::ShareResponse(2)]
    );
    let later_actions = harness.advance(8 * SECOND);
    assert_eq!(failed(&later_actions), [1, 2]);
    assert!(started_runs(&later_actions).is_empty() && rejected(&later_actions).is_empty());
}

#[test]
fn retry_after_the_run_ended_shares_its_response() {
    let mut harness = ControllerHarness::new(settings());
    harness.arrive(1, 1);
    harness.step(&[run_ended(1, 100 * MS)]);
    let retry = Request {
        duplicate_of: Some(1),
        ..harness.request(2, 1)
    };
    assert_eq!(
        harness.step(&[Event::Arrived(retry)]),
        [Action::ShareResponse(2)]
    );
}

#[test]
fn retry_replaces_a_queued_original() {
    let mut harness = ControllerHarness::new(settings());
    harness.arrive(1, 0);
    harness.arrive(2, 0);
    assert!(
        started_runs(&harness.arrive(3, 1)).is_empty(),
        "both cores are occupied"
    );
    let retry = Request {
        duplicate_of: Some(3),
        ..harness.request(4, 1)
    };
    let actions = harness.step(&[Event::Arrived(retry)]);
    assert_eq!(rejected(&actions), [3]);
    assert!(!actions.contains(&Action::ShareResponse(4)));
    assert_eq!(started_runs(&harness.step(&[run_ended(1, 100 * MS)])), [4]);
}

#[test]
fn attempts_that_name_each_other_in_one_step_run_once() {
    let mut harness = ControllerHarness::new(settings());
    let first = Request {
        duplicate_of: Some(2),
        ..harness.request(1, 1)
    };
    let second = Request {
        duplicate_of: Some(1),
        ..harness.request(2, 1)
    };
    let actions = harness.step(&[Event::Arrived(first), Event::Arrived(second)]);
    assert_eq!(started_runs(&actions), [2]);
    assert!(actions.contains(&Action::ShareResponse(1)));
}

#[test]
fn repeats_a_call_only_if_it_took_no_effect_or_is_idempotent() {
    for (effect, outcome, is_repeated) in [
        (Effect::Deduplicated, Outcome::TimedOut, false),
        (Effect::Deduplicated, Outcome::Failure, false),
        (Effect::Deduplicated, Outcome::Unreachable, true),
        (Effect::AtMostOnce, Outcome::Interrupted, false),
        (Effect::AtMostOnce, Outcome::Overloaded, true),
        (Effect::Idempotent, Outcome::TimedOut, true),
    ] {
        let mut harness = ControllerHarness::new(Settings {
            classes: vec![class(effect, true)],
            ..settings()
        });
        harness.arrive(1, 0);
        assert_eq!(made_calls(&harness.step(&[Event::CallRequested(1)])), [1]);
        harness.now += 10 * MS;
        let mut actions = harness.step(&[call_ended(1, outcome, 10 * MS)]);
        actions.extend(harness.advance(SECOND));
        assert_eq!(
            made_calls(&actions).len(),
            usize::from(is_repeated),
            "{effect:?} {outcome:?}"
        );
        assert_eq!(
            failed(&actions).len(),
            usize::from(!is_repeated),
            "{effect:?} {outcome:?}"
        );
    }
}

#[test]
fn starts_no_late_arrivals_after_the_grace_period_and_responds_to_all_before_the_stop() {
    let mut harness = ControllerHarness::new(settings());
    harness.arrive(1, 0);
    let stop_at = harness.now + 4 * SECOND;
    let actions = harness.step(&[Event::DrainStarted { stop_at }]);
    assert!(actions.contains(&Action::SetHealth {
        healthy: false,
        from_state: true
    }));
    harness.now += 1_990 * MS;
    assert_eq!(
        started_runs(&harness.arrive(2, 0)),
        [2],
        "within the grace period"
    );
    harness.now += 20 * MS;
    assert_eq!(
        rejected(&harness.arrive(3, 0)),
        [3],
        "after the grace period"
    );
    assert_eq!(
        failed(&harness.advance(stop_at - 60 * MS - harness.now)),
        [1, 2]
    );
}

#[test]
fn runs_requests_received_within_the_grace_period_and_read_later() {
    let mut harness = ControllerHarness::new(settings());
    harness.step(&[Event::DrainStarted {
        stop_at: harness.now + 5 * SECOND,
    }]);
    harness.now += 2_100 * MS;
    let received_in_grace = Request {
        read_delay: 200 * MS,
        ..harness.request(1, 0)
    };
    let received_after_grace = Request {
        read_delay: 50 * MS,
        ..harness.request(2, 0)
    };
    let actions = harness.step(&[
        Event::Arrived(received_in_grace),
        Event::Arrived(received_after_grace),
    ]);
    assert_eq!(
        (started_runs(&actions), rejected(&actions)),
        (vec![1], vec![2])
    );
}

#[test]
fn never_exceeds_the_usable_memory() {
    let mut harness = ControllerHarness::new(Settings {
        memory_kb: 200.0,
        cores: 8,
        ..settings()
    });
    let mut actions = Vec::new();
    for id in 1..=12 {
        actions.extend(harness.arrive(id, 0));
    }
    // 85 % of 200 kB hold two runs of 80 kB and one queued request of 10 kB.
    assert_eq!(started_runs(&actions), [1, 2]);
    assert_eq!(rejected(&actions).len(), 9);
}

#[test]
fn runs_at_most_the_run_limit_and_a_call_releases_its_core() {
    let mut harness = ControllerHarness::new(settings());
    let mut actions = harness.arrive(1, 2);
    actions.extend(harness.arrive(2, 0));
    actions.extend(harness.arrive(3, 0));
    assert_eq!(started_runs(&actions), [1, 2]);
    assert_eq!(started_runs(&harness.step(&[Event::CallRequested(1)])), [3]);
}

#[test]
fn same_events_give_the_same_actions() {
    let run_requests = || {
        let mut harness = ControllerHarness::new(settings());
        let mut all_actions = Vec::new();
        for id in 1..=60 {
            all_actions.extend(harness.arrive(id, (id % 3) as usize));
            all_actions.extend(harness.advance(40 * MS));
        }
        all_actions
    };
    assert_eq!(run_requests(), run_requests());
    assert!(!rejected(&run_requests()).is_empty());
}

#[test]
fn ignores_events_of_completed_requests() {
    let mut harness = ControllerHarness::new(settings());
    let late_events = [
        Event::Abandoned(9),
        Event::CallRequested(9),
        call_ended(9, Outcome::Success, 1),
        run_ended(9, 1),
    ];
    assert!(harness.step(&late_events).is_empty());
}

#[test]
fn unusual_settings_neither_stall_nor_panic() {
    let unusual_settings = Settings {
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
    let mut harness = ControllerHarness::new(unusual_settings);
    let actions = harness.arrive(1, 0);
    assert_eq!(started_runs(&actions).len() + rejected(&actions).len(), 1);
    harness.advance(200 * MS);
}
