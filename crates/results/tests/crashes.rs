//! Keyed requests against a runtime that has effects, with crashes at any operation of the disk: no key runs twice, no
//! two results of a key differ, nobody is turned away after a run, and every try is answered or its process died.

use cleatpulley_keep::memory::{Fault, Memory};
use cleatpulley_keep::Options;
use cleatpulley_results::history::{Bounds, Verdict};
use cleatpulley_results::kept::{Act, Kept};
use cleatpulley_results::record::{digest, Outcome, ScopedKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

const WINDOW: u64 = 1_000_000;

struct World {
    random: SmallRng,
    now: u64,
    next_id: u64,
    /// The key of every try.
    keys: HashMap<u64, u64>,
    /// Runs of each key, and the result of its run.
    runs: BTreeMap<u64, (u32, u64)>,
    /// The result that somebody was told.
    told: BTreeMap<u64, Vec<u8>>,
    /// Tries without an answer, in this process.
    open: Vec<u64>,
    /// Runs under way at the runtime, which may outlive the matcher or not.
    running: Vec<u64>,
    repeats_served: u32,
    unknown: u32,
}

impl World {
    fn result(&self, key: u64) -> Vec<u8> {
        format!("seat of {key} by run {}", self.runs[&key].1).into_bytes()
    }

    fn answered(&mut self, id: u64) {
        let place = self.open.iter().position(|open| *open == id);
        self.open.swap_remove(place.expect("one answer for each try"));
    }

    fn known(&mut self, id: u64, outcome: &Outcome) {
        let key = self.keys[&id];
        match outcome {
            Outcome::Served(result) => {
                assert_eq!(result, &self.result(key), "the result of its own run");
                let first = self.told.entry(key).or_insert_with(|| result.clone());
                assert_eq!(first, result, "no two results differ");
            }
            Outcome::Failed => {
                assert!(!self.told.contains_key(&key), "a result that was told is forgotten");
                self.unknown += 1;
            }
        }
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Start(id) => {
                    let key = self.keys[&id];
                    let run = self.runs.entry(key).or_insert((0, id));
                    run.0 += 1;
                    assert_eq!(run.0, 1, "key {key} ran twice");
                    self.running.push(id);
                }
                Act::Tell(id, outcome) => {
                    self.answered(id);
                    self.known(id, &outcome);
                }
                Act::TurnAway(id) => {
                    self.answered(id);
                    assert!(!self.runs.contains_key(&self.keys[&id]), "turned away after a run");
                }
            }
        }
    }

    fn step(&mut self, kept: &mut Kept<Memory>) {
        let mut acts = Vec::new();
        match self.random.random_range(0..12) {
            0..=4 => {
                let key = self.random.random_range(0..12);
                let id = self.next_id;
                self.next_id += 1;
                self.keys.insert(id, key);
                let scoped = ScopedKey::new(1, 3, &key.to_be_bytes());
                // Now and then somebody sends another body under a key that is taken.
                let other = self.random.random_range(0..15) == 0 && self.runs.contains_key(&key);
                let digest = if other { digest(3, b"other") } else { digest(3, &key.to_be_bytes()) };
                self.open.push(id);
                match kept.arrive(self.now, id, &scoped, digest) {
                    Verdict::First if self.random.random_range(0..6) == 0 => {
                        // The controller has answered it itself.
                        self.answered(id);
                        kept.turned_away(id, &mut acts);
                    }
                    Verdict::First => kept.run(id, &mut acts),
                    Verdict::Waits(_) => assert!(!other),
                    Verdict::Known(outcome) => {
                        self.answered(id);
                        self.repeats_served += 1;
                        self.known(id, &outcome);
                    }
                    Verdict::Unknown => {
                        self.answered(id);
                        assert!(!self.told.contains_key(&key), "a result that was told is forgotten");
                        self.unknown += 1;
                    }
                    Verdict::OtherRequest => {
                        assert!(other);
                        self.answered(id);
                    }
                    Verdict::NoRoom => self.answered(id),
                }
            }
            5..=6 => kept.flush(&mut acts),
            7 => {
                if let Some(mut flush) = kept.begin_flush(&mut acts) {
                    flush.run();
                    kept.end_flush(flush, &mut acts);
                }
            }
            8..=9 if !self.running.is_empty() => {
                let place = self.random.random_range(0..self.running.len());
                let id = self.running.swap_remove(place);
                if self.random.random_range(0..8) == 0 {
                    kept.doubtful(id, &mut acts);
                } else {
                    kept.ended(id, Outcome::Served(self.result(self.keys[&id])), &mut acts);
                }
            }
            10 => {
                if let Some(id) = self.open.first().copied().filter(|_| self.random.random_range(0..4) == 0) {
                    // Its caller gives up; the key lives on.
                    kept.left(id);
                    self.answered(id);
                }
            }
            _ => {
                // A failing disk is told to nobody here: the histories must hold all the same.
                let _ = kept.maintain(self.now, 2_000);
                self.now += 10;
            }
        }
        self.act(acts);
    }
}

fn open(disk: &Memory, now: u64) -> Kept<Memory> {
    let options = Options { segment_bytes: 4_096, ..Options::default() };
    let bounds = Bounds { entries: 1_000, bytes: 1_000_000, window: WINDOW };
    Kept::open(disk.clone(), options, bounds, now).expect("it opens").0
}

fn history(seed: u64) -> World {
    let mut world = World {
        random: SmallRng::seed_from_u64(seed),
        now: 5_000_000,
        next_id: 1,
        keys: HashMap::new(),
        runs: BTreeMap::new(),
        told: BTreeMap::new(),
        open: Vec::new(),
        running: Vec::new(),
        repeats_served: 0,
        unknown: 0,
    };
    let mut disk = Memory::default();
    for life in 0..6_u64 {
        let mut kept = open(&disk, world.now);
        let crash = world.random.random_range(5..70);
        disk.set_faults(&[match (seed + life) % 3 {
            0 => Fault::Fail(crash),
            _ => Fault::Crash(crash),
        }]);
        for _ in 0..world.random.random_range(20..90) {
            world.step(&mut kept);
        }
        // The process dies: its tries are answered by nobody, its runs are lost or not, the clock may step back.
        world.open.clear();
        world.running.clear();
        disk = disk.crash(seed ^ life);
        if world.random.random_range(0..4) == 0 {
            world.now -= 500;
        }
    }
    world
}

/// Tens of thousands of lives, each ended by a crash somewhere.
#[test]
fn no_key_runs_twice_whatever_crashes() {
    let number = std::env::var("RESULTS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(2_500);
    let (mut runs, mut repeats, mut unknown) = (0, 0, 0);
    for seed in 0..number {
        let world = history(seed);
        runs += world.runs.len();
        repeats += world.repeats_served;
        unknown += world.unknown;
    }
    // Nobody should trust histories that meet nothing.
    assert!(
        runs > 5_000 && repeats > 5_000 && unknown > 1_000,
        "{runs} runs, {repeats} repeats, {unknown} unknown"
    );
}

#[test]
fn after_its_window_a_key_is_new_again_and_inside_it_nothing_is_dropped_for_room() {
    let disk = Memory::default();
    let bounds = Bounds { entries: 2, bytes: 1_000, window: 100 };
    let (mut kept, _) = Kept::open(disk, Options::default(), bounds, 0).expect("it opens");
    let key = |n: u64| ScopedKey::new(0, 0, &n.to_be_bytes());
    let mut acts = Vec::new();
    for n in 0..2 {
        assert_eq!(kept.arrive(n, n, &key(n), 7), Verdict::First);
        kept.run(n, &mut acts);
        kept.flush(&mut acts);
        kept.ended(n, Outcome::Served(vec![n as u8]), &mut acts);
        kept.flush(&mut acts);
    }
    assert_eq!(acts.len(), 4, "two starts and two answers: {acts:?}");
    assert_eq!(kept.arrive(50, 9, &key(9), 7), Verdict::NoRoom);
    assert_eq!(kept.arrive(50, 10, &key(0), 7), Verdict::Known(Outcome::Served(vec![0])));
    assert_eq!(kept.arrive(50, 11, &key(0), 8), Verdict::OtherRequest);
    assert_eq!(kept.arrive(100, 12, &key(0), 8), Verdict::First, "its window is over");
    assert_eq!(kept.arrive(100, 13, &key(1), 7), Verdict::Known(Outcome::Served(vec![1])));
}

#[test]
fn ten_repeats_at_once_share_one_run_and_one_answer() {
    let bounds = Bounds { entries: 10, bytes: 1_000, window: 100 };
    let (mut kept, _) = Kept::open(Memory::default(), Options::default(), bounds, 0).expect("it opens");
    let key = ScopedKey::new(4, 1, b"seat");
    let mut acts = Vec::new();
    assert_eq!(kept.arrive(0, 1, &key, 7), Verdict::First);
    for id in 2..=5 {
        assert_eq!(kept.arrive(0, id, &key, 7), Verdict::Waits(1));
    }
    kept.run(1, &mut acts);
    assert!(acts.is_empty(), "nothing starts before its intent is durable");
    kept.flush(&mut acts);
    assert_eq!(std::mem::take(&mut acts), [Act::Start(1)]);
    for id in 6..=10 {
        assert_eq!(kept.arrive(0, id, &key, 7), Verdict::Waits(1));
    }
    // The first's caller leaves, and one of the others; the run goes on for the rest.
    kept.left(1);
    kept.left(4);
    kept.ended(1, Outcome::Served(b"7".to_vec()), &mut acts);
    assert!(acts.is_empty(), "nobody is told before the result is durable");
    kept.flush(&mut acts);
    let told: Vec<_> =
        [2, 3, 5, 6, 7, 8, 9, 10].map(|id| Act::Tell(id, Outcome::Served(b"7".to_vec()))).to_vec();
    assert_eq!(acts, told);
    assert_eq!(kept.history().open(), 0);
}
