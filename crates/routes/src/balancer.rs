//! Which target of a pool takes a try, and what is believed of each target's health. Decisions alone: no I/O, no clock.
//!
//! A target is left alone while it is `down`, drains, has asked to be left alone, failed too often, or has as many
//! requests open as it may. After too many failures one request goes to it once its time is over, and its end decides.

use crate::model::{BalancingMethod, Pool, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Microseconds.
pub type Micros = u64;

/// Points on the ring for each unit of weight, and at most in all.
const POINTS: u32 = 160;
const MOST_POINTS: u64 = 200_000;
/// By how much the open requests of a target may exceed its share on the ring before its keys go on to the next: a
/// popular key would crowd its target out.
const BOUND: f64 = 1.25;
/// Looks for another place before a plain hash gives up and the targets are taken in turn.
const REHASHES: u64 = 20;

/// How a try ended, as far as its target's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered, whatever the answer was.
    Responded,
    /// It was not: no connection, a broken one, or no answer in time.
    Failed,
    /// Nobody knows, and it is nobody's fault: the caller has left.
    Abandoned,
}

#[derive(Debug, Clone)]
struct State {
    target: Target,
    /// Its weight at present: failures lower it, and choices raise it again.
    effective: i64,
    current: i64,
    open: u32,
    fails: u32,
    /// When it failed last, and when it was last chosen after its time was over.
    failed_at: Micros,
    checked_at: Micros,
    /// When its weight began to grow again.
    growing_from: Option<Micros>,
    alone_until: Micros,
    draining: bool,
    /// It wishes to have no more requests open than this.
    advised: Option<u32>,
}

impl State {
    fn new(target: &Target) -> Self {
        Self {
            target: target.clone(),
            effective: i64::from(target.weight) * 1_000,
            current: 0,
            open: 0,
            fails: 0,
            failed_at: 0,
            checked_at: 0,
            growing_from: None,
            alone_until: 0,
            draining: false,
            advised: None,
        }
    }

    fn timeout(&self) -> Micros {
        self.target.fail_timeout_ms * 1_000
    }

    fn is_out(&self) -> bool {
        self.target.max_fails > 0 && self.fails >= self.target.max_fails
    }

    /// From when on it can be chosen; `None` where no time alone makes that so.
    fn free_at(&self, now: Micros, alone: bool) -> Option<Micros> {
        let Target {
            down,
            max_connections,
            ..
        } = self.target;
        let full = max_connections > 0 && self.open >= max_connections
            || self.advised.is_some_and(|most| self.open >= most);
        if down || self.draining || full {
            return None;
        }
        let mut at = self.alone_until;
        // A pool's only target is never given up: nobody else could serve.
        if self.is_out() && !alone {
            let over = self.checked_at + self.timeout();
            // While the one request is out that decides, no other follows.
            at = at.max(over);
        }
        Some(at.max(now))
    }

    /// Its weight in thousandths, which grows after it was away.
    fn weight(&self, now: Micros) -> u64 {
        let full = u64::from(self.target.weight) * 1_000;
        let growth = self.target.slow_start_ms * 1_000;
        match self.growing_from {
            Some(from) if growth > 0 && now < from + growth => {
                (full * (now - from) / growth).max(1)
            }
            _ => full,
        }
    }

    /// Open requests by weight, counted with the one that is to come: a target that is idle is not chosen before one
    /// that has room for more.
    fn crowd(&self, now: Micros) -> f64 {
        f64::from(self.open + 1) / self.weight(now) as f64
    }
}

/// None can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoTargetAvailable {
    /// When one can be, if time alone makes that so.
    pub available_at: Option<Micros>,
}

/// A pool at work.
#[derive(Debug, Clone)]
pub struct Balancer {
    method: BalancingMethod,
    states: Vec<State>,
    /// Points and targets, by points.
    ring: Vec<(u64, u32)>,
    random: SmallRng,
}

impl Balancer {
    /// A pool of which nothing is known yet.
    #[must_use]
    pub fn new(pool: &Pool, seed: u64) -> Self {
        let states: Vec<_> = pool.targets.iter().map(State::new).collect();
        let ring = if matches!(
            pool.method,
            BalancingMethod::Hash {
                consistent: true,
                ..
            }
        ) {
            ring(&pool.targets)
        } else {
            Vec::new()
        };
        Self {
            method: pool.method.clone(),
            states,
            ring,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes up a new table of targets. What is known of an address stays known; open requests at addresses that are
    /// gone end without a trace. Returns the old numbers of targets that are still there, by their new ones.
    pub fn reload(&mut self, pool: &Pool) -> Vec<Option<usize>> {
        let mut next = Self::new(pool, 0);
        let mut taken = vec![false; self.states.len()];
        let mut from = Vec::new();
        for state in &mut next.states {
            // The same address may stand there twice: each takes over one.
            let same = |(at, old): &(usize, &State)| {
                old.target.address == state.target.address && !taken[*at]
            };
            let found = self.states.iter().enumerate().find(same).map(|(at, _)| at);
            if let Some(at) = found {
                taken[at] = true;
                let old = &self.states[at];
                *state = State {
                    target: state.target.clone(),
                    current: 0,
                    effective: state.effective,
                    ..old.clone()
                };
            }
            from.push(found);
        }
        next.random = self.random.clone();
        *self = next;
        from
    }

    /// The targets' addresses, in order.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.states
            .iter()
            .map(|state| state.target.address.as_str())
    }

    /// Open requests of a target.
    #[must_use]
    pub fn open_requests(&self, target: usize) -> u32 {
        self.states.get(target).map_or(0, |state| state.open)
    }

    /// Chooses a target for a try, and counts it as open there. Targets that the request has tried are left out.
    ///
    /// # Errors
    /// Where none can be chosen.
    pub fn pick(
        &mut self,
        now: Micros,
        key: &[u8],
        tried: &[usize],
    ) -> Result<usize, NoTargetAvailable> {
        let alone = self.states.len() == 1;
        for backup in [false, true] {
            let can: Vec<usize> = (0..self.states.len())
                .filter(|at| self.states[*at].target.backup == backup && !tried.contains(at))
                .filter(|at| {
                    self.states[*at]
                        .free_at(now, alone)
                        .is_some_and(|free| free <= now)
                })
                .collect();
            let Some(&first) = can.first() else { continue };
            let chosen = match &self.method {
                _ if can.len() == 1 => first,
                BalancingMethod::RoundRobin => self.in_turn(now, &can),
                BalancingMethod::LeastConnections => self.least(now, &can),
                BalancingMethod::Random => self.at_random(now, &can),
                BalancingMethod::RandomTwo => self.better_of_two(now, &can),
                BalancingMethod::Hash {
                    consistent: true, ..
                } => self.on_ring(now, key, &can),
                BalancingMethod::Hash { .. } | BalancingMethod::AddressHash => {
                    self.by_hash(now, key, &can)
                }
            };
            let state = &mut self.states[chosen];
            state.open += 1;
            if state.is_out() {
                state.checked_at = now;
            }
            return Ok(chosen);
        }
        let untried = self
            .states
            .iter()
            .enumerate()
            .filter(|(at, _)| !tried.contains(at));
        Err(NoTargetAvailable {
            available_at: untried
                .filter_map(|(_, state)| state.free_at(now, alone))
                .filter(|free| *free > now)
                .min(),
        })
    }

    /// Smooth weighted round robin.
    fn in_turn(&mut self, now: Micros, can: &[usize]) -> usize {
        let (mut total, mut best) = (0, can[0]);
        for &at in can {
            let growing = self.states[at].weight(now);
            let state = &mut self.states[at];
            let full = i64::from(state.target.weight) * 1_000;
            // Lowered by failures it comes back a step at each choice.
            let step = (full / 10).max(1);
            state.effective = (state.effective + step).min(full);
            let weight = state.effective.min(growing as i64);
            state.current += weight;
            total += weight;
            if state.current > self.states[best].current {
                best = at;
            }
        }
        self.states[best].current -= total;
        best
    }

    fn least(&mut self, now: Micros, can: &[usize]) -> usize {
        let crowd = |at: &usize| self.states[*at].crowd(now);
        let least = can.iter().map(crowd).fold(f64::INFINITY, f64::min);
        let equal: Vec<_> = can
            .iter()
            .copied()
            .filter(|at| crowd(at) <= least * (1.0 + 1e-9))
            .collect();
        self.in_turn(now, &equal)
    }

    fn at_random(&mut self, now: Micros, can: &[usize]) -> usize {
        let total: u64 = can.iter().map(|at| self.states[*at].weight(now)).sum();
        let mut at = self.random.random_range(0..total.max(1));
        for &target in can {
            let weight = self.states[target].weight(now);
            if at < weight {
                return target;
            }
            at -= weight;
        }
        can[0]
    }

    fn better_of_two(&mut self, now: Micros, can: &[usize]) -> usize {
        let one = self.at_random(now, can);
        let others: Vec<_> = can.iter().copied().filter(|at| *at != one).collect();
        let two = self.at_random(now, &others);
        if self.states[two].crowd(now) < self.states[one].crowd(now) {
            two
        } else {
            one
        }
    }

    /// The first target on the ring from the key's point on that is not crowded.
    fn on_ring(&mut self, now: Micros, key: &[u8], can: &[usize]) -> usize {
        let weights: u64 = can.iter().map(|at| self.states[*at].weight(now)).sum();
        let open: u32 = can.iter().map(|at| self.states[*at].open).sum();
        let is_crowded = |at: usize| {
            let share = self.states[at].weight(now) as f64 / weights.max(1) as f64;
            f64::from(self.states[at].open) + 1.0 > (BOUND * f64::from(open + 1) * share).ceil()
        };
        let start = self
            .ring
            .partition_point(|(point, _)| *point < xxh3_64(key));
        let mut seen = vec![false; self.states.len()];
        let mut left = can.len();
        let around = self.ring[start..].iter().chain(&self.ring[..start]);
        for &(_, target) in around {
            let target = target as usize;
            if std::mem::replace(&mut seen[target], true) || !can.contains(&target) {
                continue;
            }
            if !is_crowded(target) {
                return target;
            }
            left -= 1;
            if left == 0 {
                break;
            }
        }
        self.least(now, can)
    }

    fn by_hash(&mut self, now: Micros, key: &[u8], can: &[usize]) -> usize {
        let found = (0..REHASHES)
            .find_map(|turn| self.hashed(key, turn).filter(|target| can.contains(target)));
        if let Some(target) = found {
            return target;
        }
        self.in_turn(now, can)
    }

    /// A try at a target is over.
    pub fn record_outcome(&mut self, now: Micros, target: usize, outcome: AttemptOutcome) {
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        state.open = state.open.saturating_sub(1);
        match outcome {
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Failed => {
                let was_out = state.is_out();
                // Failures count together while they are no further apart than the time.
                if !was_out && now > state.failed_at + state.timeout() {
                    state.fails = 0;
                }
                state.fails = state.fails.saturating_add(1);
                state.failed_at = now;
                state.checked_at = now;
                let full = i64::from(state.target.weight) * 1_000;
                state.effective =
                    (state.effective - full / i64::from(state.target.max_fails.max(1))).max(0);
            }
            AttemptOutcome::Responded => {
                // Answers to what was sent before it went away tell nothing of now; one after its time is over does.
                if state.is_out() && state.checked_at > state.failed_at {
                    state.growing_from = Some(now);
                    state.fails = 0;
                } else if !state.is_out() && now > state.failed_at + state.timeout() {
                    state.fails = 0;
                }
            }
        }
    }

    /// A target asked to be left alone until then.
    pub fn back_off_until(&mut self, target: usize, resume_at: Micros) {
        if let Some(state) = self.states.get_mut(target) {
            state.alone_until = state.alone_until.max(resume_at);
        }
    }

    /// A target wishes to have no more requests open than this. One is always let through: its answer brings the next wish.
    pub fn set_advised_concurrency(&mut self, target: usize, most: u32) {
        if let Some(state) = self.states.get_mut(target) {
            state.advised = Some(most.max(1));
        }
    }

    /// A target drains, or takes requests again.
    pub fn set_draining(&mut self, now: Micros, target: usize, draining: bool) {
        let Some(state) = self.states.get_mut(target) else {
            return;
        };
        if std::mem::replace(&mut state.draining, draining) && !draining {
            // Whoever comes back after a drain is a new process: nothing is known of it but that it is cold.
            (state.fails, state.alone_until, state.growing_from) = (0, 0, Some(now));
        }
    }

    /// Where a key goes while all is well and nothing is open: what a table alone says of it.
    #[must_use]
    pub fn preferred_target(&self, key: &[u8]) -> Option<usize> {
        let can = |target: &usize| {
            let target = &self.states[*target].target;
            !target.down && !target.backup
        };
        match &self.method {
            BalancingMethod::Hash {
                consistent: true, ..
            } => {
                let start = self
                    .ring
                    .partition_point(|(point, _)| *point < xxh3_64(key));
                let around = self.ring[start..].iter().chain(&self.ring[..start]);
                around.map(|(_, target)| *target as usize).find(can)
            }
            BalancingMethod::Hash { .. } | BalancingMethod::AddressHash => {
                (0..REHASHES).find_map(|turn| self.hashed(key, turn).filter(can))
            }
            _ => None,
        }
    }

    /// The target at a key's place in one turn of a plain hash.
    fn hashed(&self, key: &[u8], turn: u64) -> Option<usize> {
        // All targets count, so that one that is away does not move the keys of the others.
        let mut all = self
            .states
            .iter()
            .enumerate()
            .filter(|(_, state)| !state.target.backup);
        let total: u64 = all
            .clone()
            .map(|(_, state)| u64::from(state.target.weight))
            .sum();
        let mut at = xxh3_64_with_seed(key, turn) % total.max(1);
        let found = all.find(|(_, state)| {
            let weight = u64::from(state.target.weight);
            let here = at < weight;
            at = at.saturating_sub(weight);
            here
        });
        found.map(|(target, _)| target)
    }
}

/// The points of all targets. An address that stands there twice has the points of both weights.
fn ring(targets: &[Target]) -> Vec<(u64, u32)> {
    let weights: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    // Guards against weights in the thousands, which would make a ring of millions.
    let each = (MOST_POINTS / weights.max(1)).clamp(1, u64::from(POINTS)) as u32;
    let mut ring = Vec::new();
    let mut used: std::collections::HashMap<&str, u32> = std::collections::HashMap::new();
    for (at, target) in targets.iter().enumerate() {
        let seed = xxh3_64(target.address.as_bytes());
        let from = used.entry(&target.address).or_default();
        let count = (each * target.weight.min(10_000)).max(1);
        ring.extend(
            (*from..*from + count)
                .map(|point| (xxh3_64_with_seed(&point.to_le_bytes(), seed), at as u32)),
        );
        *from += count;
    }
    ring.sort_unstable();
    ring
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::diagnostic::SourcePosition;

    const MS: Micros = 1_000;
    const SECOND: Micros = 1_000_000;

    fn pool(method: BalancingMethod, weights: &[u32]) -> Pool {
        let position = SourcePosition {
            file: "t".into(),
            line: 1,
            column: 1,
        };
        let target = |(at, weight): (usize, &u32)| Target {
            weight: *weight,
            ..Target::new(position.clone(), format!("t{at}:1"))
        };
        let targets = weights.iter().enumerate().map(target).collect();
        Pool {
            position: position.clone(),
            method,
            keepalive: 0,
            targets,
        }
    }

    fn consistent() -> BalancingMethod {
        BalancingMethod::Hash {
            key: "$http_x".to_owned(),
            consistent: true,
        }
    }

    #[test]
    fn weights_are_kept_smoothly_and_exactly() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[5, 1, 1]), 1);
        let order: Vec<_> = (0..14)
            .map(|_| balancer.pick(0, b"", &[]).unwrap())
            .collect();
        assert_eq!(order, [0, 0, 1, 0, 2, 0, 0, 0, 0, 1, 0, 2, 0, 0]);
    }

    #[test]
    fn a_target_that_failed_is_left_alone_then_asked_once_and_grows_slowly() {
        let mut pool = pool(BalancingMethod::LeastConnections, &[1, 1]);
        pool.targets[0].slow_start_ms = 10_000;
        let mut balancer = Balancer::new(&pool, 1);
        assert_eq!(balancer.pick(0, b"", &[]), Ok(0));
        balancer.record_outcome(MS, 0, AttemptOutcome::Failed);
        for _ in 0..5 {
            assert_eq!(balancer.pick(2 * MS, b"", &[]), Ok(1));
        }
        // One request decides, and while it is out no other goes there, though it is idle.
        let later = 10 * SECOND + 2 * MS;
        assert_eq!(balancer.pick(later, b"", &[]), Ok(0));
        assert_eq!(balancer.pick(later + MS, b"", &[]), Ok(1));
        balancer.record_outcome(later + 2 * MS, 0, AttemptOutcome::Responded);
        assert_eq!(balancer.open_requests(1), 6);
        // At first it has a thousandth of its weight, then a half, then all.
        assert_eq!(balancer.pick(later + 3 * MS, b"", &[]), Ok(1));
        let mut at = later + 5 * SECOND;
        let mut first = 0;
        while balancer.pick(at, b"", &[]) == Ok(0) {
            (first, at) = (first + 1, at + 1);
        }
        assert_eq!(
            first, 3,
            "half of the seven that are open at the other, less the one to come"
        );
    }

    #[test]
    fn a_failure_after_the_time_is_over_leaves_it_alone_again() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[1, 1]), 1);
        let zero = balancer.pick(0, b"", &[1]).unwrap();
        balancer.record_outcome(0, zero, AttemptOutcome::Failed);
        let later = 11 * SECOND;
        assert_eq!(balancer.pick(later, b"", &[1]), Ok(0));
        balancer.record_outcome(later, 0, AttemptOutcome::Failed);
        assert_eq!(
            balancer.pick(later + 9 * SECOND, b"", &[1]),
            Err(NoTargetAvailable {
                available_at: Some(later + 10 * SECOND)
            })
        );
    }

    #[test]
    fn an_answer_to_what_was_sent_before_a_failure_does_not_bring_a_target_back() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[1, 1]), 1);
        for _ in 0..2 {
            balancer.pick(0, b"", &[1]).unwrap();
        }
        balancer.record_outcome(MS, 0, AttemptOutcome::Failed);
        balancer.record_outcome(2 * MS, 0, AttemptOutcome::Responded);
        assert!(balancer.pick(3 * MS, b"", &[1]).is_err());
    }

    #[test]
    fn backups_serve_only_where_all_others_are_away_and_down_never() {
        let mut pool = pool(BalancingMethod::RoundRobin, &[1, 1, 1]);
        pool.targets[1].backup = true;
        (pool.targets[2].backup, pool.targets[2].down) = (true, true);
        let mut balancer = Balancer::new(&pool, 1);
        assert_eq!(balancer.pick(0, b"", &[]), Ok(0));
        balancer.record_outcome(0, 0, AttemptOutcome::Failed);
        for _ in 0..3 {
            assert_eq!(balancer.pick(MS, b"", &[]), Ok(1));
        }
        balancer.set_draining(MS, 1, true);
        assert_eq!(
            balancer.pick(MS, b"", &[]),
            Err(NoTargetAvailable {
                available_at: Some(10 * SECOND)
            })
        );
    }

    #[test]
    fn all_that_are_away_are_told_with_the_time_when_one_comes_back() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[1, 1]), 1);
        for at in [0, 1] {
            assert_eq!(balancer.pick(0, b"", &[1 - at]), Ok(at));
            balancer.record_outcome(at as u64 * SECOND, at, AttemptOutcome::Failed);
        }
        assert_eq!(
            balancer.pick(2 * SECOND, b"", &[]),
            Err(NoTargetAvailable {
                available_at: Some(10 * SECOND)
            })
        );
        let mut empty = Balancer::new(&self::pool(BalancingMethod::LeastConnections, &[]), 1);
        assert_eq!(
            empty.pick(0, b"", &[]),
            Err(NoTargetAvailable { available_at: None })
        );
        // A pool's only target is never given up.
        let mut only = Balancer::new(&self::pool(BalancingMethod::RoundRobin, &[1]), 1);
        only.pick(0, b"", &[]).unwrap();
        only.record_outcome(0, 0, AttemptOutcome::Failed);
        assert_eq!(only.pick(0, b"", &[]), Ok(0));
        only.back_off_until(0, SECOND);
        assert_eq!(
            only.pick(MS, b"", &[]),
            Err(NoTargetAvailable {
                available_at: Some(SECOND)
            })
        );
    }

    #[test]
    fn no_more_is_open_than_a_target_takes_and_a_reload_loses_no_count() {
        let mut pool = pool(BalancingMethod::RoundRobin, &[1, 1]);
        pool.targets[0].max_connections = 1;
        let mut balancer = Balancer::new(&pool, 1);
        let picks: Vec<_> = (0..4)
            .map(|_| balancer.pick(0, b"", &[]).unwrap())
            .collect();
        assert_eq!(picks.iter().filter(|at| **at == 0).count(), 1);
        // The first is gone, and the second has its open requests still.
        let mut other = self::pool(BalancingMethod::RoundRobin, &[1, 1]);
        other.targets[0].address = "t1:1".to_owned();
        other.targets[1].address = "new:1".to_owned();
        assert_eq!(balancer.reload(&other), [Some(1), None]);
        assert_eq!(
            (balancer.open_requests(0), balancer.open_requests(1)),
            (3, 0)
        );
        // A pool emptied while requests are open.
        let none = self::pool(BalancingMethod::RoundRobin, &[]);
        assert_eq!(balancer.reload(&none), []);
        balancer.record_outcome(0, 0, AttemptOutcome::Responded);
        assert_eq!(
            balancer.pick(0, b"", &[]),
            Err(NoTargetAvailable { available_at: None })
        );
    }

    #[test]
    fn on_a_ring_a_lost_target_moves_its_own_keys_only() {
        let whole = pool(consistent(), &[1, 1, 1, 2]);
        let mut less = whole.clone();
        less.targets.remove(1);
        let (whole, less) = (Balancer::new(&whole, 1), Balancer::new(&less, 1));
        let preferred_target = |balancer: &Balancer, key: &str| {
            let at = balancer.preferred_target(key.as_bytes()).unwrap();
            balancer.states[at].target.address.clone()
        };
        let mut counts = std::collections::BTreeMap::new();
        for number in 0..2_000 {
            let key = format!("racer-{number}");
            let (before, after) = (
                preferred_target(&whole, &key),
                preferred_target(&less, &key),
            );
            *counts.entry(before.clone()).or_insert(0) += 1;
            assert!(
                before == after || before == "t1:1",
                "{key} moved from {before} to {after}"
            );
        }
        assert!(
            counts.values().all(|count| (280..=1_000).contains(count)),
            "{counts:?}"
        );
    }

    #[test]
    fn one_popular_key_does_not_crowd_its_target_on_the_ring() {
        let mut balancer = Balancer::new(&pool(consistent(), &[1, 1, 1, 1]), 1);
        for _ in 0..100 {
            balancer.pick(0, b"popular", &[]).unwrap();
        }
        let most = (0..4).map(|at| balancer.open_requests(at)).max().unwrap();
        assert!(most <= 32, "{most} of 100 at one of four targets");
    }

    #[test]
    fn no_choice_breaks_a_rule_whatever_happens() {
        let ways = [
            BalancingMethod::RoundRobin,
            BalancingMethod::LeastConnections,
            BalancingMethod::Random,
            BalancingMethod::RandomTwo,
            consistent(),
            BalancingMethod::AddressHash,
        ];
        for (number, method) in ways.into_iter().cycle().take(120).enumerate() {
            let mut random = SmallRng::seed_from_u64(number as u64);
            let count = random.random_range(1..6);
            let mut pool = pool(method, &vec![1; count]);
            for target in &mut pool.targets {
                target.weight = random.random_range(1..9);
                target.max_fails = random.random_range(0..3);
                target.max_connections = random.random_range(0..4);
                target.down = random.random_range(0..8) == 0;
            }
            let mut balancer = Balancer::new(&pool, number as u64);
            let (mut now, mut open, mut alone) = (0, vec![0; count], vec![0; count]);
            for _ in 0..400 {
                now += random.random_range(0..3 * SECOND);
                let target = random.random_range(0..count);
                match random.random_range(0..5) {
                    0 | 1 => {
                        let tried: Vec<_> = (0..count)
                            .filter(|_| random.random_range(0..4) == 0)
                            .collect();
                        if let Ok(at) = balancer.pick(now, b"key", &tried) {
                            let chosen = &pool.targets[at];
                            assert!(!tried.contains(&at) && !chosen.down && alone[at] <= now);
                            assert!(
                                chosen.max_connections == 0 || open[at] < chosen.max_connections
                            );
                            open[at] += 1;
                        }
                    }
                    2 if open[target] > 0 => {
                        open[target] -= 1;
                        balancer.record_outcome(now, target, AttemptOutcome::Responded);
                    }
                    3 if open[target] > 0 => {
                        open[target] -= 1;
                        balancer.record_outcome(now, target, AttemptOutcome::Failed);
                    }
                    4 => {
                        alone[target] = now + SECOND;
                        balancer.back_off_until(target, now + SECOND);
                    }
                    _ => {}
                }
                assert!((0..count).all(|at| balancer.open_requests(at) == open[at]));
            }
        }
    }
}
