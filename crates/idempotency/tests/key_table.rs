//! What the key of a request permits, case by case.

use cleatpulley_idempotency::fence::{Fence, KeyRange};
use cleatpulley_idempotency::key_table::{
    KeyCommand, KeyStatus, KeyTable, KeyTableOptions, RecoveredKeys,
};
use cleatpulley_idempotency::record::{KeyOutcome, KeyRecord, ScopedKey};

const BOUNDS: KeyTableOptions = KeyTableOptions {
    max_entries: 2,
    max_result_bytes: 1_000,
    deduplication_window: 100,
    stall_timeout: 10,
    hash_seed: 1,
};

struct Harness {
    table: KeyTable,
    commands: Vec<KeyCommand>,
}

fn harness() -> Harness {
    let mut table = KeyTable::new(BOUNDS);
    table.load(RecoveredKeys::new(1));
    Harness {
        table,
        commands: Vec::new(),
    }
}

fn key(n: u64) -> ScopedKey {
    ScopedKey::new(n, 0, b"seat")
}

fn served(text: &str) -> KeyOutcome {
    KeyOutcome::Served(text.as_bytes().to_vec())
}

impl Harness {
    fn attempt(&mut self, now: u64, id: u64, n: u64) -> KeyStatus {
        self.table.on_attempt(now, id, &key(n), 7)
    }

    fn request_run(&mut self, now: u64, id: u64) -> Vec<KeyCommand> {
        self.table.request_run(now, id, &mut self.commands);
        std::mem::take(&mut self.commands)
    }

    fn durable(&mut self, upto: u64) -> Vec<KeyCommand> {
        self.table.on_durable(upto, &mut self.commands);
        std::mem::take(&mut self.commands)
    }

    fn end_run(&mut self, now: u64, id: u64, outcome: KeyOutcome) -> Vec<KeyCommand> {
        self.table
            .on_run_ended(now, id, outcome, &mut self.commands);
        std::mem::take(&mut self.commands)
    }

    fn poll(&mut self, now: u64) -> Vec<KeyCommand> {
        self.table.poll(now, &mut self.commands);
        std::mem::take(&mut self.commands)
    }

    fn set_available(&mut self, set_available: bool) -> Vec<KeyCommand> {
        self.table
            .set_persistence_available(set_available, &mut self.commands);
        std::mem::take(&mut self.commands)
    }
}

#[test]
fn ten_attempts_share_one_run_and_get_no_response_before_it_is_durable() {
    let mut harness = harness();
    assert_eq!(harness.attempt(0, 1, 4), KeyStatus::First);
    (2..=5).for_each(|id| assert_eq!(harness.attempt(0, id, 4), KeyStatus::Pending(1)));
    assert!(matches!(
        &harness.request_run(0, 1)[..],
        [KeyCommand::Write {
            sequence: 1,
            record: KeyRecord::Intent { .. },
            ..
        }]
    ));
    assert_eq!(harness.durable(1), [KeyCommand::Start(1)]);
    (6..=10).for_each(|id| assert_eq!(harness.attempt(0, id, 4), KeyStatus::Pending(1)));
    // The first's caller leaves, and one of the others; the run goes on for the rest.
    harness.table.on_attempt_left(1);
    harness.table.on_attempt_left(4);
    assert!(matches!(
        &harness.end_run(1, 1, served("7"))[..],
        [KeyCommand::Write { sequence: 2, .. }]
    ));
    let told: Vec<_> = [2, 3, 5, 6, 7, 8, 9, 10]
        .map(|id| KeyCommand::Respond(id, served("7")))
        .to_vec();
    assert_eq!(harness.durable(2), told);
    assert_eq!(
        (harness.table.pending_attempts(), harness.attempt(2, 11, 4)),
        (0, KeyStatus::Completed)
    );
    assert_eq!(
        harness.table.on_attempt(2, 12, &key(4), 8),
        KeyStatus::Mismatch
    );
}

#[test]
fn evicts_no_key_inside_its_window_and_takes_it_for_new_after_it() {
    let mut harness = harness();
    for n in 0..2 {
        assert_eq!(harness.attempt(n, n, n), KeyStatus::First);
        harness.request_run(n, n);
        harness.durable(u64::MAX);
        harness.end_run(n, n, served("x"));
        harness.durable(u64::MAX);
    }
    assert_eq!(harness.attempt(50, 9, 9), KeyStatus::NoCapacity);
    assert_eq!(harness.attempt(99, 10, 0), KeyStatus::Completed);
    assert_eq!(harness.attempt(100, 11, 0), KeyStatus::First);
    assert_eq!(harness.attempt(100, 12, 1), KeyStatus::Completed);
}

/// A disk that does not answer holds up no place on the cores: what waits to start is given up, and no more is taken
/// until it answers; a result goes on waiting.
#[test]
fn stalled_disk_discards_intents_and_keeps_results() {
    let mut harness = harness();
    harness.attempt(0, 1, 1);
    harness.request_run(0, 1);
    harness.durable(1);
    harness.end_run(5, 1, served("x"));
    harness.attempt(6, 2, 2);
    harness.request_run(6, 2);
    assert_eq!(
        (harness.poll(14), harness.table.next_deadline()),
        (Vec::new(), Some(15))
    );
    let given_up = harness.poll(15);
    assert_eq!(
        given_up[..2],
        [KeyCommand::CancelRun(2), KeyCommand::Reject(2)]
    );
    assert!(matches!(given_up[2], KeyCommand::Erase { .. }) && !harness.table.has_capacity());
    assert_eq!(
        (harness.table.next_deadline(), harness.attempt(16, 3, 3)),
        (None, KeyStatus::NoCapacity)
    );
    assert_eq!(harness.durable(3), [KeyCommand::Respond(1, served("x"))]);
    assert_eq!(harness.attempt(17, 4, 2), KeyStatus::First, "it never ran");
}

#[test]
fn failed_disk_rejects_what_did_not_start_and_takes_back_nothing() {
    let mut harness = harness();
    harness.attempt(0, 1, 1);
    harness.request_run(0, 1);
    harness.durable(1);
    harness.end_run(1, 1, served("x"));
    harness.attempt(1, 2, 2);
    harness.request_run(1, 2);
    let told = harness.set_available(false);
    assert!(
        told.contains(&KeyCommand::Respond(1, KeyOutcome::Failed))
            && told.contains(&KeyCommand::Reject(2)),
        "{told:?}"
    );
    assert_eq!(
        (harness.attempt(2, 3, 1), harness.attempt(2, 4, 3)),
        (KeyStatus::Unknown, KeyStatus::NoCapacity)
    );
    harness.set_available(true);
    assert_eq!(
        (harness.attempt(3, 5, 1), harness.attempt(3, 6, 3)),
        (KeyStatus::Unknown, KeyStatus::First)
    );
}

/// The next of those who wait takes a first's place where it never started.
#[test]
fn first_attempt_that_left_yields_to_the_next() {
    let mut harness = harness();
    harness.attempt(0, 1, 1);
    harness.attempt(0, 2, 1);
    harness.attempt(0, 3, 1);
    harness.table.yield_to_next(1, &mut harness.commands);
    assert_eq!(
        std::mem::take(&mut harness.commands),
        [KeyCommand::Promote(2)]
    );
    harness.table.on_rejected(2, &mut harness.commands);
    assert_eq!(
        std::mem::take(&mut harness.commands),
        [KeyCommand::Reject(3)]
    );
    assert!(harness.table.is_empty());
}

/// The window counts from the try that ran. Guards against a second run where the first try was given up late in its time and
/// another, which came later, took its place.
#[test]
fn window_counts_from_the_attempt_that_ran() {
    let mut harness = harness();
    harness.attempt(0, 1, 1);
    harness.attempt(60, 2, 1);
    harness.table.yield_to_next(1, &mut harness.commands);
    assert_eq!(
        std::mem::take(&mut harness.commands),
        [KeyCommand::Promote(2)]
    );
    assert!(matches!(
        &harness.request_run(70, 2)[..],
        [KeyCommand::Write {
            expires_at: 170,
            ..
        }]
    ));
    harness.durable(u64::MAX);
    harness.end_run(80, 2, served("x"));
    harness.durable(u64::MAX);
    assert_eq!(
        harness.attempt(120, 3, 1),
        KeyStatus::Completed,
        "a window from the first try would be over"
    );
    assert_eq!(
        (harness.attempt(169, 4, 1), harness.attempt(170, 5, 1)),
        (KeyStatus::Completed, KeyStatus::First)
    );
}

/// A start that may be lost: who waits waits on, nobody new does, and a late end is told after all.
#[test]
fn run_of_uncertain_start_may_still_end() {
    let mut harness = harness();
    harness.attempt(0, 1, 1);
    harness.request_run(0, 1);
    harness.durable(1);
    harness.table.mark_start_uncertain(1);
    assert_eq!(harness.attempt(1, 2, 1), KeyStatus::Pending(1));
    harness.table.on_attempt_left(1);
    assert_eq!(harness.attempt(1, 3, 1), KeyStatus::Unknown);
    harness.end_run(2, 1, served("late"));
    assert_eq!(harness.durable(2), [KeyCommand::Respond(2, served("late"))]);
    // One that never ends is forgotten with its window.
    harness.attempt(3, 4, 2);
    harness.request_run(3, 4);
    harness.durable(3);
    harness.table.mark_start_uncertain(4);
    harness.table.on_attempt_left(4);
    harness.table.remove_expired(103);
    assert!(harness.table.is_empty() && !harness.table.is_started(4));
}

#[test]
fn fence_admits_no_new_key_and_leaves_pending_and_completed_ones() {
    let mut harness = harness();
    harness.attempt(0, 1, 5);
    let range = KeyRange::of_owner(5);
    harness
        .table
        .set_fence(Fence {
            range: range.clone(),
            epoch: 1,
            is_owned: false,
        })
        .expect("the first move");
    assert_eq!(
        (
            harness.attempt(0, 2, 5),
            harness.table.pending_keys_in(&range)
        ),
        (KeyStatus::Pending(1), 1)
    );
    harness.request_run(0, 1);
    harness.durable(1);
    harness.end_run(1, 1, served("x"));
    harness.durable(2);
    assert_eq!(
        (
            harness.attempt(2, 3, 5),
            harness.table.pending_keys_in(&range)
        ),
        (KeyStatus::Completed, 0)
    );
    assert_eq!(harness.attempt(100, 4, 5), KeyStatus::OwnedElsewhere);
    assert_eq!(harness.attempt(100, 5, 6), KeyStatus::First);
}

#[test]
fn promises_nothing_before_the_keys_are_recovered() {
    let mut table = KeyTable::new(BOUNDS);
    assert_eq!(table.on_attempt(0, 1, &key(1), 7), KeyStatus::NotRecovered);
    table.set_persistence_available(false, &mut Vec::new());
    assert_eq!(table.on_attempt(0, 2, &key(1), 7), KeyStatus::Unknown);
    let mut found = RecoveredKeys::new(1);
    found.add(key(1), &KeyRecord::Intent { digest: 7 }, 50);
    table.load(found);
    table.set_persistence_available(true, &mut Vec::new());
    assert_eq!(
        table.on_attempt(0, 3, &key(1), 7),
        KeyStatus::Unknown,
        "it may have run"
    );
    assert_eq!(table.on_attempt(50, 4, &key(1), 7), KeyStatus::First);
}
