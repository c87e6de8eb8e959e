//! What a seed determines: the number of matchers and front ends, the front ends' habits, and the
//! faults with their times.

use crate::front_end::Habit;
use cleatpulley_policy::interface::Micros;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Process that is killed during an upgrade, and the time after the start of the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KilledProcess {
    /// The new process.
    New(Micros),
    /// The process that it replaces.
    Old(Micros),
}

/// Number of fault kinds; a kind is drawn by its number.
const FAULT_KINDS: u32 = 27;

/// A fault. Histories print it with these names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A process replaces the running one; either may be killed meanwhile.
    Upgrade(Option<KilledProcess>),
    /// The next snapshot of learned state that a process receives from its predecessor is
    /// corrupted.
    Torn,
    /// This many silent connections are opened to the management address.
    OperatorCrowd(usize),
    /// A matcher dies and restarts cold after some time; its runtime dies too, or lives on.
    Crash {
        /// Time until the restart.
        down: Micros,
        /// Its runtime dies too.
        runtime: bool,
    },
    /// A matcher's cores are slower by this factor.
    Slow(f64),
    /// A matcher's machine is paused.
    Pause,
    /// The link to the runtime breaks, and messages in flight are lost.
    BreakLink,
    /// The link breaks at the moment a response is due.
    BreakAtDue,
    /// The store rejects, loses, resets or fails some of its calls; each of these for this many
    /// calls in a thousand.
    Store(u32),
    /// This many of the front ends' connections are reset.
    Resets(usize),
    /// The directory does not respond.
    Directory,
    /// The disk stalls.
    DiskStall,
    /// The disk fails at one of the next operations.
    DiskFail,
    /// The disk becomes full soon.
    DiskFull,
    /// A matcher is told to shut down, and is replaced.
    Drain,
    /// A configuration reload: the runtime moves to another address.
    Reload,
    /// Callers send more requests by this factor.
    Burst(f64),
    /// This many AJP requests stop halfway through their bodies.
    Stalled(usize),
    /// This many silent connections are opened.
    Crowd(usize),
    /// The process has only this many descriptors left.
    Descriptors(usize),
    /// The runtime repeats notices that it has already sent: after each of this many in a thousand,
    /// and on each new link.
    Repeats(u32),
    /// The link ends halfway through a notice.
    Tear,
    /// This many store replies in a thousand are malformed or end early.
    Spoilt(u32),
    /// A matcher is told to shut down, and its successor has different settings.
    Renew,
    /// Connections arrive from other addresses than the front ends', each with a health check, and
    /// stay open.
    Flood {
        /// Number of source addresses.
        sources: u32,
        /// Number of connections.
        number: usize,
    },
}

impl Fault {
    /// Name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Crash { .. } => "crash",
            Self::Slow(_) => "slow",
            Self::Pause => "pause",
            Self::BreakLink => "link break",
            Self::BreakAtDue => "link break at a response deadline",
            Self::Store(_) => "store faults",
            Self::Resets(_) => "resets",
            Self::Directory => "directory unresponsive",
            Self::DiskStall => "disk stall",
            Self::DiskFail => "disk failure",
            Self::DiskFull => "disk full",
            Self::Drain => "drain",
            Self::Reload => "reload",
            Self::Burst(_) => "burst",
            Self::Stalled(_) => "stalled request bodies",
            Self::Crowd(_) => "silent connections",
            Self::Descriptors(_) => "few descriptors",
            Self::Repeats(_) => "repeated notices",
            Self::Tear => "link end within a notice",
            Self::Spoilt(_) => "malformed store replies",
            Self::Renew => "new settings",
            Self::Upgrade(_) => "upgrade requested",
            Self::Torn => "snapshot corruption requested",
            Self::OperatorCrowd(_) => "silent connections to the management address",
            Self::Flood { .. } => "flood from many addresses",
        }
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Start, relative to the start of the simulation.
    pub at: Micros,
    /// Duration of faults that last.
    pub duration: Micros,
    /// Index of the affected matcher.
    pub matcher: usize,
    /// The fault.
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

/// Everything that a seed determines.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Number of matchers.
    pub matchers: usize,
    /// Cores of each matcher.
    pub cores: u32,
    /// Request rate of all front ends together, as a share of the cores' capacity.
    pub load: f64,
    /// Front ends, by their behaviour.
    pub habits: Vec<Habit>,
    /// Time during which front ends send requests.
    pub request_duration: Micros,
    /// Descriptor limit of a matcher's process.
    pub max_descriptors: usize,
    /// Reads and writes are occasionally cut short.
    pub partial_io: bool,
    /// Deduplication window of stored results.
    pub deduplication_window: Micros,
    /// The faults, in the order of their starts.
    pub faults: Vec<PlannedFault>,
    /// Connection admission of the matchers.
    pub admission: AdmissionMode,
}

/// How matchers admit connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Every connection is admitted while there is room.
    Unrestricted,
    /// The front ends' address is on the allowlist.
    Allowlist,
    /// Addresses earn a reputation, which outlives the process.
    Reputation,
}

impl Plan {
    /// The plan of a seed.
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
        // Swarm testing: each seed draws its own set of fault kinds, so that no kind hides what
        // another would show.
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
        // Drawn from a separate generator, so that the rest of each seed's plan stays as it was.
        let mut extra_random = SmallRng::seed_from_u64(seed ^ 0xF100_D5EE);
        plan.admission = *[
            AdmissionMode::Unrestricted,
            AdmissionMode::Unrestricted,
            AdmissionMode::Allowlist,
            AdmissionMode::Reputation,
        ]
        .choose(&mut extra_random)
        .unwrap_or(&AdmissionMode::Allowlist);
        // Without admission control a flood that sends requests and stays takes all slots, and
        // everyone after it is rejected: preventing that is the purpose of admission control.
        if plan.admission != AdmissionMode::Unrestricted && extra_random.random_range(0..2) == 0 {
            plan.add_floods(&mut extra_random);
        }
        plan.faults.sort_by_key(|planned| planned.at);
        plan
    }

    /// A plan with admission control and floods, so that their interaction is covered more often.
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

    /// A plan with overlapping upgrades, some of whose processes are killed, and front ends that
    /// send idempotency keys.
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
            // Resources that a process holds without reporting them matter when cores or
            // descriptors are short.
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
                // Within the time in which the previous process still responds, and often before
                // that one has taken over.
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
            // Puts the connection limit into a drain or an upgrade, and lets a known caller return
            // after a restart.
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

    /// Adds two faults whose combination is critical, one shortly after the other on the same
    /// matcher.
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

/// Draws a moment within an upgrade: most of its steps happen in the first milliseconds.
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
