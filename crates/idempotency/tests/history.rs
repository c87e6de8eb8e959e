//! What a key's history permits, case by case.

use cleatpulley_idempotency::fence::{Fence, KeyRange};
use cleatpulley_idempotency::key_table::{
    Capacity, KeyCommand, KeyStatus, KeyTable, RecoveredKeys,
};
use cleatpulley_idempotency::record::{KeyOutcome, KeyRecord, ScopedKey};

const BOUNDS: Capacity = Capacity {
    entries: 2,
    result_bytes: 1_000,
    deduplication_window: 100,
    stall_timeout: 10,
    hash_seed: 1,
};

struct Keys {
    history: KeyTable,
    effects: Vec<KeyCommand>,
}

fn keys() -> Keys {
    let mut history = KeyTable::new(BOUNDS);
    history.load(RecoveredKeys::new(1));
    Keys {
        history,
        effects: Vec::new(),
    }
}

fn key(n: u64) -> ScopedKey {
    ScopedKey::new(n, 0, b"seat")
}

fn served(text: &str) -> KeyOutcome {
    KeyOutcome::Served(text.as_bytes().to_vec())
}

impl Keys {
    fn arrive(&mut self, now: u64, id: u64, n: u64) -> KeyStatus {
        self.history.on_attempt(now, id, &key(n), 7)
    }

    fn run(&mut self, now: u64, id: u64) -> Vec<KeyCommand> {
        self.history.request_run(now, id, &mut self.effects);
        std::mem::take(&mut self.effects)
    }

    fn durable(&mut self, upto: u64) -> Vec<KeyCommand> {
        self.history.on_durable(upto, &mut self.effects);
        std::mem::take(&mut self.effects)
    }

    fn ended(&mut self, now: u64, id: u64, outcome: KeyOutcome) -> Vec<KeyCommand> {
        self.history
            .on_run_ended(now, id, outcome, &mut self.effects);
        std::mem::take(&mut self.effects)
    }

    fn advance(&mut self, now: u64) -> Vec<KeyCommand> {
        self.history.poll(now, &mut self.effects);
        std::mem::take(&mut self.effects)
    }

    fn well(&mut self, well: bool) -> Vec<KeyCommand> {
        self.history
            .set_persistence_available(well, &mut self.effects);
        std::mem::take(&mut self.effects)
    }
}

#[test]
fn ten_tries_share_one_run_and_nothing_is_told_before_it_is_durable() {
    let mut keys = keys();
    assert_eq!(keys.arrive(0, 1, 4), KeyStatus::First);
    (2..=5).for_each(|id| assert_eq!(keys.arrive(0, id, 4), KeyStatus::Pending(1)));
    assert!(matches!(
        &keys.run(0, 1)[..],
        [KeyCommand::Write {
            ticket: 1,
            record: KeyRecord::Intent { .. },
            ..
        }]
    ));
    assert_eq!(keys.durable(1), [KeyCommand::Start(1)]);
    (6..=10).for_each(|id| assert_eq!(keys.arrive(0, id, 4), KeyStatus::Pending(1)));
    // The first's caller leaves, and one of the others; the run goes on for the rest.
    keys.history.on_attempt_left(1);
    keys.history.on_attempt_left(4);
    assert!(matches!(
        &keys.ended(1, 1, served("7"))[..],
        [KeyCommand::Write { ticket: 2, .. }]
    ));
    let told: Vec<_> = [2, 3, 5, 6, 7, 8, 9, 10]
        .map(|id| KeyCommand::Respond(id, served("7")))
        .to_vec();
    assert_eq!(keys.durable(2), told);
    assert_eq!(
        (keys.history.pending_attempts(), keys.arrive(2, 11, 4)),
        (0, KeyStatus::Completed)
    );
    assert_eq!(
        keys.history.on_attempt(2, 12, &key(4), 8),
        KeyStatus::Mismatch
    );
}

#[test]
fn inside_its_window_nothing_is_dropped_for_room_and_after_it_a_key_is_new() {
    let mut keys = keys();
    for n in 0..2 {
        assert_eq!(keys.arrive(n, n, n), KeyStatus::First);
        keys.run(n, n);
        keys.durable(u64::MAX);
        keys.ended(n, n, served("x"));
        keys.durable(u64::MAX);
    }
    assert_eq!(keys.arrive(50, 9, 9), KeyStatus::NoCapacity);
    assert_eq!(keys.arrive(99, 10, 0), KeyStatus::Completed);
    assert_eq!(keys.arrive(100, 11, 0), KeyStatus::First);
    assert_eq!(keys.arrive(100, 12, 1), KeyStatus::Completed);
}

/// A disk that does not answer holds up no place on the cores: what waits to start is given up, and no more is taken
/// until it answers; a result goes on waiting.
#[test]
fn a_stalled_disk_gives_up_intents_and_keeps_results() {
    let mut keys = keys();
    keys.arrive(0, 1, 1);
    keys.run(0, 1);
    keys.durable(1);
    keys.ended(5, 1, served("x"));
    keys.arrive(6, 2, 2);
    keys.run(6, 2);
    assert_eq!(
        (keys.advance(14), keys.history.next_deadline()),
        (Vec::new(), Some(15))
    );
    let given_up = keys.advance(15);
    assert_eq!(
        given_up[..2],
        [KeyCommand::CancelRun(2), KeyCommand::Reject(2)]
    );
    assert!(matches!(given_up[2], KeyCommand::Erase { .. }) && !keys.history.has_capacity());
    assert_eq!(
        (keys.history.next_deadline(), keys.arrive(16, 3, 3)),
        (None, KeyStatus::NoCapacity)
    );
    assert_eq!(keys.durable(3), [KeyCommand::Respond(1, served("x"))]);
    assert_eq!(keys.arrive(17, 4, 2), KeyStatus::First, "it never ran");
}

#[test]
fn a_failed_disk_turns_away_what_did_not_start_and_takes_back_nothing() {
    let mut keys = keys();
    keys.arrive(0, 1, 1);
    keys.run(0, 1);
    keys.durable(1);
    keys.ended(1, 1, served("x"));
    keys.arrive(1, 2, 2);
    keys.run(1, 2);
    let told = keys.well(false);
    assert!(
        told.contains(&KeyCommand::Respond(1, KeyOutcome::Failed))
            && told.contains(&KeyCommand::Reject(2)),
        "{told:?}"
    );
    assert_eq!(
        (keys.arrive(2, 3, 1), keys.arrive(2, 4, 3)),
        (KeyStatus::Unknown, KeyStatus::NoCapacity)
    );
    keys.well(true);
    assert_eq!(
        (keys.arrive(3, 5, 1), keys.arrive(3, 6, 3)),
        (KeyStatus::Unknown, KeyStatus::First)
    );
}

/// The next of those who wait takes a first's place where it never started.
#[test]
fn a_first_that_is_gone_gives_way() {
    let mut keys = keys();
    keys.arrive(0, 1, 1);
    keys.arrive(0, 2, 1);
    keys.arrive(0, 3, 1);
    keys.history.yield_to_next(1, &mut keys.effects);
    assert_eq!(std::mem::take(&mut keys.effects), [KeyCommand::Promote(2)]);
    keys.history.on_rejected(2, &mut keys.effects);
    assert_eq!(std::mem::take(&mut keys.effects), [KeyCommand::Reject(3)]);
    assert!(keys.history.is_empty());
}

/// The window counts from the try that ran. Guards against a second run where the first try was given up late in its time and
/// another, which came later, took its place.
#[test]
fn the_window_is_that_of_the_try_that_ran() {
    let mut keys = keys();
    keys.arrive(0, 1, 1);
    keys.arrive(60, 2, 1);
    keys.history.yield_to_next(1, &mut keys.effects);
    assert_eq!(std::mem::take(&mut keys.effects), [KeyCommand::Promote(2)]);
    assert!(matches!(
        &keys.run(70, 2)[..],
        [KeyCommand::Write {
            expires_at: 170,
            ..
        }]
    ));
    keys.durable(u64::MAX);
    keys.ended(80, 2, served("x"));
    keys.durable(u64::MAX);
    assert_eq!(
        keys.arrive(120, 3, 1),
        KeyStatus::Completed,
        "a window from the first try would be over"
    );
    assert_eq!(
        (keys.arrive(169, 4, 1), keys.arrive(170, 5, 1)),
        (KeyStatus::Completed, KeyStatus::First)
    );
}

/// A start that may be lost: who waits waits on, nobody new does, and a late end is told after all.
#[test]
fn a_start_in_doubt_may_still_end() {
    let mut keys = keys();
    keys.arrive(0, 1, 1);
    keys.run(0, 1);
    keys.durable(1);
    keys.history.mark_start_uncertain(1);
    assert_eq!(keys.arrive(1, 2, 1), KeyStatus::Pending(1));
    keys.history.on_attempt_left(1);
    assert_eq!(keys.arrive(1, 3, 1), KeyStatus::Unknown);
    keys.ended(2, 1, served("late"));
    assert_eq!(keys.durable(2), [KeyCommand::Respond(2, served("late"))]);
    // One that never ends is forgotten with its window.
    keys.arrive(3, 4, 2);
    keys.run(3, 4);
    keys.durable(3);
    keys.history.mark_start_uncertain(4);
    keys.history.on_attempt_left(4);
    keys.history.remove_expired(103);
    assert!(keys.history.is_empty() && !keys.history.is_run(4));
}

#[test]
fn a_fence_lets_no_new_key_in_and_what_is_open_or_known_goes_on() {
    let mut keys = keys();
    keys.arrive(0, 1, 5);
    let range = KeyRange::of_owner(5);
    keys.history
        .set_fence(Fence {
            range: range.clone(),
            epoch: 1,
            is_owned: false,
        })
        .expect("the first move");
    assert_eq!(
        (keys.arrive(0, 2, 5), keys.history.pending_keys_in(&range)),
        (KeyStatus::Pending(1), 1)
    );
    keys.run(0, 1);
    keys.durable(1);
    keys.ended(1, 1, served("x"));
    keys.durable(2);
    assert_eq!(
        (keys.arrive(2, 3, 5), keys.history.pending_keys_in(&range)),
        (KeyStatus::Completed, 0)
    );
    assert_eq!(keys.arrive(100, 4, 5), KeyStatus::OwnedElsewhere);
    assert_eq!(keys.arrive(100, 5, 6), KeyStatus::First);
}

#[test]
fn before_it_is_known_what_is_kept_nothing_is_promised() {
    let mut history = KeyTable::new(BOUNDS);
    assert_eq!(
        history.on_attempt(0, 1, &key(1), 7),
        KeyStatus::NotRecovered
    );
    history.set_persistence_available(false, &mut Vec::new());
    assert_eq!(history.on_attempt(0, 2, &key(1), 7), KeyStatus::Unknown);
    let mut found = RecoveredKeys::new(1);
    found.add(key(1), &KeyRecord::Intent { digest: 7 }, 50);
    history.load(found);
    history.set_persistence_available(true, &mut Vec::new());
    assert_eq!(
        history.on_attempt(0, 3, &key(1), 7),
        KeyStatus::Unknown,
        "it may have run"
    );
    assert_eq!(history.on_attempt(50, 4, &key(1), 7), KeyStatus::First);
}
