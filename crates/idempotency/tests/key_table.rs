//! Behaviour of the key table: attempts, runs, expiry, failures of the store, and fences.

use cleatpulley_idempotency::fence::{Fence, KeyRange};
use cleatpulley_idempotency::key_table::{
    KeyCommand, KeyStatus, KeyTable, KeyTableOptions, RecoveredKeys,
};
use cleatpulley_idempotency::record::{KeyOutcome, KeyRecord, ScopedKey};

const OPTIONS: KeyTableOptions = KeyTableOptions {
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
    let mut table = KeyTable::new(OPTIONS);
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

    fn durable(&mut self, sequence: u64) -> Vec<KeyCommand> {
        self.table.on_durable(sequence, &mut self.commands);
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

    fn set_available(&mut self, is_available: bool) -> Vec<KeyCommand> {
        self.table
            .set_persistence_available(is_available, &mut self.commands);
        std::mem::take(&mut self.commands)
    }
}

#[test]
fn ten_attempts_share_one_run_and_get_no_response_before_its_result_is_durable() {
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
    // The callers of the first attempt and of another one leave; the run continues for the rest.
    harness.table.on_attempt_left(1);
    harness.table.on_attempt_left(4);
    assert!(matches!(
        &harness.end_run(1, 1, served("7"))[..],
        [KeyCommand::Write { sequence: 2, .. }]
    ));
    let responses: Vec<_> = [2, 3, 5, 6, 7, 8, 9, 10]
        .map(|id| KeyCommand::Respond(id, served("7")))
        .to_vec();
    assert_eq!(harness.durable(2), responses);
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
fn evicts_no_key_within_its_window_and_treats_it_as_new_after_it() {
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

/// A stalled disk must not occupy cores: runs that wait for their intent are cancelled, and no key is admitted until the
/// disk syncs again. A pending result is kept.
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
    let commands = harness.poll(15);
    assert_eq!(
        commands[..2],
        [KeyCommand::CancelRun(2), KeyCommand::Reject(2)]
    );
    assert!(matches!(commands[2], KeyCommand::Erase { .. }) && !harness.table.has_capacity());
    assert_eq!(
        (harness.table.next_deadline(), harness.attempt(16, 3, 3)),
        (None, KeyStatus::NoCapacity)
    );
    assert_eq!(harness.durable(3), [KeyCommand::Respond(1, served("x"))]);
    assert_eq!(
        harness.attempt(17, 4, 2),
        KeyStatus::First,
        "the key never ran"
    );
}

#[test]
fn failed_disk_rejects_keys_that_were_not_started_and_reverts_no_others() {
    let mut harness = harness();
    harness.attempt(0, 1, 1);
    harness.request_run(0, 1);
    harness.durable(1);
    harness.end_run(1, 1, served("x"));
    harness.attempt(1, 2, 2);
    harness.request_run(1, 2);
    let commands = harness.set_available(false);
    assert!(
        commands.contains(&KeyCommand::Respond(1, KeyOutcome::Failed))
            && commands.contains(&KeyCommand::Reject(2)),
        "{commands:?}"
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

/// A waiting attempt becomes the first one if the former first attempt left before its run was started.
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

/// The deduplication window counts from the attempt that ran. Guards against a second run of a key whose first attempt
/// left late and was replaced by a later one: a window from the first attempt would end too early.
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
        "a window that counts from the first attempt would be over"
    );
    assert_eq!(
        (harness.attempt(169, 4, 1), harness.attempt(170, 5, 1)),
        (KeyStatus::Completed, KeyStatus::First)
    );
}

/// The start of a run may have been lost: attempts that wait keep waiting, new ones don't wait, and if the end of the run
/// is reported after all, the waiting attempts get a response.
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
    // A key whose run never ends is removed when its window has passed.
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
        .expect("first move of the range");
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
fn admits_no_key_before_the_keys_are_recovered() {
    let mut table = KeyTable::new(OPTIONS);
    assert_eq!(table.on_attempt(0, 1, &key(1), 7), KeyStatus::NotRecovered);
    table.set_persistence_available(false, &mut Vec::new());
    assert_eq!(table.on_attempt(0, 2, &key(1), 7), KeyStatus::Unknown);
    let mut recovered = RecoveredKeys::new(1);
    recovered.add(key(1), &KeyRecord::Intent { digest: 7 }, 50);
    table.load(recovered);
    table.set_persistence_available(true, &mut Vec::new());
    assert_eq!(
        table.on_attempt(0, 3, &key(1), 7),
        KeyStatus::Unknown,
        "it may have run"
    );
    assert_eq!(table.on_attempt(50, 4, &key(1), 7), KeyStatus::First);
}
