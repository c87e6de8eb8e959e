//! What a seed stands for: how many matchers and front ends there are, how they behave, and which faults come when.

use crate::front_end::Habit;
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Which process dies in an upgrade, and how long after the new one's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KilledProcess {
    /// The new one.
    New(Micros),
    /// The one whose place it takes.
    Old(Micros),
}

/// Kinds of faults, drawn by their numbers.
const FAULT_KINDS: u32 = 27;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A process takes the place of the one that serves, and one of both may die over it.
    Upgrade(Option<KilledProcess>),
    /// What the next process is told that its predecessor had learned is torn.
    Torn,
    /// Connections are opened at the operators' address that say nothing, so many.
    OperatorCrowd(usize),
    /// A matcher dies and comes back after this time, cold; its runtime dies along, or lives on.
    Crash {
        /// How long it is away.
        down: Micros,
        /// Its runtime dies too.
        runtime: bool,
    },
    /// A matcher's cores are slower by this factor.
    Slow(f64),
    /// A matcher stands still.
    Pause,
    /// The link to the runtime breaks, with what is on it.
    BreakLink,
    /// The link breaks at the moment an answer is due.
    BreakAtDue,
    /// The store refuses, loses, resets or fails some of its calls, each of so many in a thousand.
    Store(u32),
    /// Front ends' connections are reset, so many of them.
    Resets(usize),
    /// The directory is silent.
    Directory,
    /// The disk answers nobody.
    DiskStall,
    /// The disk fails at an operation soon.
    DiskFail,
    /// The disk is full from soon on.
    DiskFull,
    /// A matcher is told to leave, and replaced.
    Drain,
    /// A new configuration: the runtime moves to another address.
    Reload,
    /// Callers ask more by this factor.
    Burst(f64),
    /// Requests by AJP stop halfway through their bodies, so many.
    Stalled(usize),
    /// Connections are opened that say nothing, so many.
    Crowd(usize),
    /// The process has few descriptors left, so many.
    Descriptors(usize),
    /// The runtime tells notices again that it has told, after each of so many in a thousand and on each new link.
    Repeats(u32),
    /// The link ends halfway through a notice.
    Tear,
    /// The store's replies are unreadable or break off, so many in a thousand.
    Spoilt(u32),
    /// A matcher is told to leave, and its successor has other settings.
    Renew,
    /// Connections come from so many addresses other than the front ends', so many of them, each with a health check,
    /// and stay.
    Flood {
        /// Addresses.
        sources: u32,
        /// Connections.
        number: usize,
    },
}

impl Fault {
    /// Its name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Crash { .. } => "crash",
            Self::Slow(_) => "slow",
            Self::Pause => "pause",
            Self::BreakLink => "link break",
            Self::BreakAtDue => "link break at a due time",
            Self::Store(_) => "store trouble",
            Self::Resets(_) => "resets",
            Self::Directory => "directory silent",
            Self::DiskStall => "disk stall",
            Self::DiskFail => "disk failure",
            Self::DiskFull => "disk full",
            Self::Drain => "drain",
            Self::Reload => "reload",
            Self::Burst(_) => "burst",
            Self::Stalled(_) => "stalled bodies",
            Self::Crowd(_) => "silent crowd",
            Self::Descriptors(_) => "few descriptors",
            Self::Repeats(_) => "repeated notices",
            Self::Tear => "link end within a notice",
            Self::Spoilt(_) => "spoilt store replies",
            Self::Renew => "new settings",
            Self::Upgrade(_) => "upgrades asked for",
            Self::Torn => "torn snapshots asked for",
            Self::OperatorCrowd(_) => "silent crowd at the operators' address",
            Self::Flood { .. } => "flood from many addresses",
        }
    }
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// When it begins, from the beginning on.
    pub at: Micros,
    /// How long it lasts, where it lasts.
    pub duration: Micros,
    /// The matcher that it strikes.
    pub matcher: usize,
    /// What it is.
    pub fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at as f64 / 1e6, self.duration as f64 / 1e6);
        write!(
            f,
            "{at:7.3} s  m{} {:?} for {duration:.3} s",
            self.matcher, self.fault
        )
    }
}

/// All that a seed stands for.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Matchers.
    pub matchers: usize,
    /// Cores of each.
    pub cores: u32,
    /// Requests a second of all front ends, as a share of what the cores can do.
    pub load: f64,
    /// Front ends.
    pub habits: Vec<Habit>,
    /// For how long they ask.
    pub request_duration: Micros,
    /// Descriptors of a matcher.
    pub max_descriptors: usize,
    /// Reads and writes are cut short now and then.
    pub partial_io: bool,
    /// The window of kept results.
    pub deduplication_window: Micros,
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// Who gets a place at a matcher.
    pub admission: AdmissionMode,
}

/// Who gets a place at a matcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Whoever comes first.
    Unrestricted,
    /// The front ends' address is known by name.
    Allowlist,
    /// It can earn to be known, and what it earned outlives the process.
    Reputation,
}

impl Plan {
    /// That of a seed.
    #[must_use]
    pub fn from_seed(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x5EED_5EED);
        let matchers = *[1, 1, 2, 2, 3].choose(&mut random).unwrap_or(&1);
        let request_duration = random.random_range(4..10) * SECOND;
        let habits = (0..random.random_range(2..5))
            .map(|number| draw_habit(&mut random, number))
            .collect();
        let mut plan = Self {
            seed,
            matchers,
            cores: *[4, 6, 8].choose(&mut random).unwrap_or(&6),
            load: random.random_range(0.3..1.25),
            habits,
            request_duration,
            max_descriptors: *[128, 192, 512].choose(&mut random).unwrap_or(&512),
            partial_io: random.random(),
            deduplication_window: 60 * SECOND,
            faults: Vec::new(),
            admission: AdmissionMode::Unrestricted,
        };
        // A swarm: each seed has a set of its own, so that no fault hides what another would show.
        for kind in 0..FAULT_KINDS {
            if random.random_range(0..100) < 28 {
                for _ in 0..random.random_range(1..3) {
                    let at = random.random_range(SECOND / 2..request_duration);
                    let planned = plan.draw_fault(&mut random, kind, at);
                    plan.faults.push(planned);
                }
            }
        }
        if random.random_range(0..3) == 0 {
            plan.add_fault_pair(&mut random);
        }
        // Drawn apart, so that what every other seed stands for stays as it was.
        let mut extra_random = SmallRng::seed_from_u64(seed ^ 0xF100_D5EE);
        plan.admission = *[
            AdmissionMode::Unrestricted,
            AdmissionMode::Unrestricted,
            AdmissionMode::Allowlist,
            AdmissionMode::Reputation,
        ]
        .choose(&mut extra_random)
        .unwrap_or(&AdmissionMode::Allowlist);
        // Without decisions on places a flood that speaks and stays takes them all, and the door turns the next away,
        // whoever they are: that is what they are for.
        if plan.admission != AdmissionMode::Unrestricted && extra_random.random_range(0..2) == 0 {
            plan.add_floods(&mut extra_random);
        }
        plan.faults.sort_by_key(|planned| planned.at);
        plan
    }

    /// One of those that decide on places, with floods: what is looked for there is met more often.
    #[must_use]
    pub fn with_floods(seed: u64) -> Self {
        let mut plan = Self::from_seed(seed);
        let mut extra_random = SmallRng::seed_from_u64(seed ^ 0xC204_D000);
        if plan.admission == AdmissionMode::Unrestricted {
            plan.admission = if extra_random.random() {
                AdmissionMode::Allowlist
            } else {
                AdmissionMode::Reputation
            };
        }
        plan.add_floods(&mut extra_random);
        plan.faults.sort_by_key(|planned| planned.at);
        plan
    }

    /// One with upgrades that fall into each other, some of whose processes die, and front ends that send keys.
    #[must_use]
    pub fn with_upgrade_chains(seed: u64) -> Self {
        let mut plan = Self::from_seed(seed);
        let mut extra_random = SmallRng::seed_from_u64(seed ^ 0xC4A1_4ED0);
        plan.habits
            .iter_mut()
            .for_each(|draw_habit| draw_habit.keyed = true);
        for _ in 0..extra_random.random_range(1..3) {
            let matcher = extra_random.random_range(0..plan.matchers);
            let mut at = extra_random.random_range(SECOND / 2..plan.request_duration);
            // What a process has that nobody hears of counts where there is little left: of cores, or of descriptors.
            let shortage = match extra_random.random_range(0..3) {
                0 => Some(Fault::Slow(extra_random.random_range(4.0..9.0))),
                1 => Some(Fault::Crowd(extra_random.random_range(100..400))),
                _ => None,
            };
            if let Some(fault) = shortage {
                let at = at.saturating_sub(300 * MS);
                plan.faults.push(PlannedFault {
                    at,
                    duration: 2_500 * MS,
                    matcher,
                    fault,
                });
            }
            for _ in 0..extra_random.random_range(2..5) {
                let killed = match extra_random.random_range(0..5) {
                    0 => Some(KilledProcess::New(upgrade_step_delay(&mut extra_random))),
                    1 | 2 => Some(KilledProcess::Old(upgrade_step_delay(&mut extra_random))),
                    _ => None,
                };
                plan.faults.push(PlannedFault {
                    at,
                    duration: SECOND,
                    matcher,
                    fault: Fault::Upgrade(killed),
                });
                // Within the time in which the process before it still answers, and often before it has the place.
                at += match extra_random.random_range(0..3) {
                    0 => extra_random.random_range(1..40) * MS,
                    1 => extra_random.random_range(40..300) * MS,
                    _ => extra_random.random_range(300..1_500) * MS,
                };
            }
        }
        plan.faults.sort_by_key(|planned| planned.at);
        plan
    }

    fn add_floods(&mut self, random: &mut SmallRng) {
        for _ in 0..random.random_range(1..3) {
            let at = random.random_range(SECOND / 2..self.request_duration);
            let sources = *[1, 3, 50, 5_000].choose(random).unwrap_or(&1);
            let fault = Fault::Flood {
                sources,
                number: random.random_range(50..1_500),
            };
            let (duration, matcher) = (
                random.random_range(200..3_000) * MS,
                random.random_range(0..self.matchers),
            );
            self.faults.push(PlannedFault {
                at,
                duration,
                matcher,
                fault,
            });
            // The limit in the middle of a drain, of an upgrade, and a known caller that comes back after a restart.
            let companion = match random.random_range(0..6) {
                0 => Fault::Drain,
                1 => Fault::Upgrade(None),
                2 => Fault::Crash {
                    down: random.random_range(50..500) * MS,
                    runtime: false,
                },
                3 => Fault::Descriptors(random.random_range(0..4)),
                _ => continue,
            };
            let at = at + random.random_range(0..duration);
            self.faults.push(PlannedFault {
                at,
                duration: SECOND,
                matcher,
                fault: companion,
            });
        }
    }

    fn draw_fault(&self, random: &mut SmallRng, kind: u32, at: Micros) -> PlannedFault {
        let fault = match kind {
            0 => Fault::Crash {
                down: random.random_range(50..1_500) * MS,
                runtime: random.random_range(0..4) > 0,
            },
            1 => Fault::Slow(random.random_range(2.0..9.0)),
            2 => Fault::Pause,
            3 => Fault::BreakLink,
            4 => Fault::BreakAtDue,
            5 => Fault::Store(random.random_range(20..300)),
            6 => Fault::Resets(random.random_range(1..6)),
            7 => Fault::Directory,
            8 => Fault::DiskStall,
            9 => Fault::DiskFail,
            10 => Fault::DiskFull,
            11 => Fault::Drain,
            12 => Fault::Reload,
            13 => Fault::Burst(random.random_range(1.3..3.0)),
            14 => Fault::Stalled(random.random_range(1..20)),
            15 => Fault::Crowd(random.random_range(20..400)),
            16 => Fault::Descriptors(random.random_range(0..4)),
            17 => Fault::Repeats(random.random_range(20..600)),
            18 => Fault::Tear,
            19 => Fault::Spoilt(random.random_range(20..300)),
            20 => Fault::Renew,
            21 | 22 => Fault::Upgrade(None),
            23 => Fault::Upgrade(Some(KilledProcess::New(upgrade_step_delay(random)))),
            24 => Fault::Upgrade(Some(KilledProcess::Old(upgrade_step_delay(random)))),
            25 => Fault::Torn,
            _ => Fault::OperatorCrowd(random.random_range(5..120)),
        };
        let duration = match fault {
            Fault::Pause => random.random_range(20..700) * MS,
            Fault::BreakLink | Fault::BreakAtDue => random.random_range(0..400) * MS,
            _ => random.random_range(200..3_000) * MS,
        };
        PlannedFault {
            at,
            duration,
            matcher: random.random_range(0..self.matchers),
            fault,
        }
    }

    /// Faults that are feared together, one shortly after the other on one matcher.
    fn add_fault_pair(&mut self, random: &mut SmallRng) {
        let pairs = [
            (1, 11),
            (14, 11),
            (12, 3),
            (16, 11),
            (8, 0),
            (11, 4),
            (1, 12),
            (3, 0),
            (2, 11),
            (15, 16),
            (17, 3),
            (15, 21),
            (25, 21),
            (20, 22),
            (21, 22),
            (21, 12),
            (8, 21),
            (2, 22),
            (26, 21),
            (16, 22),
        ];
        let &(first_kind, second_kind) = pairs.choose(random).unwrap_or(&pairs[0]);
        let at = random.random_range(SECOND / 2..self.request_duration);
        let mut planned = self.draw_fault(random, first_kind, at);
        planned.duration = planned.duration.max(SECOND);
        let later = at + random.random_range(1..300) * MS;
        let mut second = self.draw_fault(random, second_kind, later);
        second.matcher = planned.matcher;
        self.faults.extend([planned, second]);
    }
}

/// A moment in an upgrade: most of its steps lie in its first milliseconds.
fn upgrade_step_delay(random: &mut SmallRng) -> Micros {
    match random.random_range(0..3) {
        0 => random.random_range(0..2_000),
        1 => random.random_range(0..20) * MS,
        _ => random.random_range(20..1_500) * MS,
    }
}

fn draw_habit(random: &mut SmallRng, number: usize) -> Habit {
    let maybe_duration = |random: &mut SmallRng, share: u32, from: Micros, to: Micros| {
        (random.random_range(0..100) < share).then(|| random.random_range(from..to) * MS)
    };
    Habit {
        ajp: number % 2 == 1 && random.random_range(0..3) > 0,
        retries: random.random_range(0..4) > 0,
        hasty: maybe_duration(random, 25, 150, 900),
        copies: maybe_duration(random, 25, 100, 600),
        by_subject: random.random_range(0..3) == 0,
        heeds: random.random_range(0..5) > 0,
        keyed: random.random_range(0..3) > 0,
        connections: random.random_range(1..6),
    }
}
