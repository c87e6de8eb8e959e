//! Load balancing: chooses the target of a pool for an attempt, and tracks the health of targets.
//! No I/O and no clock.
//!
//! A target gets no requests while it is `down`, drains, has asked for a backoff, has failed too
//! often, or is at its limit of open requests. After too many failures and its fail timeout, one
//! trial request goes to it; the outcome decides whether it is healthy again.

use crate::model::{BalancingMethod, Pool, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Points on the hash ring for each unit of weight.
const POINTS_PER_WEIGHT: u32 = 160;
/// Maximum number of points on a hash ring.
const MAX_RING_POINTS: u64 = 200_000;
/// Open requests of a target, relative to its share, from which its keys go to the next target on
/// the ring. Without a bound one popular key would overload its target.
const MAX_LOAD_RATIO: f64 = 1.25;
/// Number of hashes that a plain hash tries before it falls back to round robin.
const MAX_REHASHES: u64 = 20;

/// Outcome of an attempt, as far as the health of its target is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target responded, with whatever status.
    Responded,
    /// No connection, a broken connection, or no response in time.
    Failed,
    /// Unknown, and not the target's fault: the caller has disconnected.
    Abandoned,
}

#[derive(Debug, Clone)]
struct TargetState {
    config: Target,
    /// Weight in thousandths. Failures lower it, and each round robin choice raises it again.
    effective_weight: i64,
    current_weight: i64,
    open_requests: u32,
    failures: u32,
    /// Time of the last failure.
    last_failure_at: Micros,
    /// Time of the last failure, or of the last trial request after it.
    last_trial_at: Micros,
    /// Time at which the slow start began.
    ramp_started_at: Option<Micros>,
    backed_off_until: Micros,
    draining: bool,
    /// Maximum number of open requests that the target has asked for.
    advised_concurrency: Option<u32>,
}

impl TargetState {
    fn new(config: &Target) -> Self {
        Self {
            config: config.clone(),
            effective_weight: i64::from(config.weight) * 1_000,
            current_weight: 0,
            open_requests: 0,
            failures: 0,
            last_failure_at: 0,
            last_trial_at: 0,
            ramp_started_at: None,
            backed_off_until: 0,
            draining: false,
            advised_concurrency: None,
        }
    }

    fn fail_timeout(&self) -> Micros {
        self.config.fail_timeout_ms * 1_000
    }

    fn is_unhealthy(&self) -> bool {
        self.config.max_fails > 0 && self.failures >= self.config.max_fails
    }

    /// Returns the time from which the target can be chosen; `None` if that depends on more than
    /// time.
    fn available_at(&self, now: Micros, is_only_target: bool) -> Option<Micros> {
        let Target {
            down,
            max_connections,
            ..
        } = self.config;
        let is_at_limit = max_connections > 0 && self.open_requests >= max_connections
            || self
                .advised_concurrency
                .is_some_and(|max| self.open_requests >= max);
        if down || self.draining || is_at_limit {
            return None;
        }
        let mut available = self.backed_off_until;
        // The only target of a pool is never excluded for its failures: no other could serve.
        if self.is_unhealthy() && !is_only_target {
            let trial_at = self.last_trial_at + self.fail_timeout();
            // No second trial request goes out while the outcome of the first is open.
            available = available.max(trial_at);
        }
        Some(available.max(now))
    }

    /// Returns the weight in thousandths, which grows from zero to full during a slow start.
    fn ramped_weight(&self, now: Micros) -> u64 {
        let full_weight = u64::from(self.config.weight) * 1_000;
        let ramp_duration = self.config.slow_start_ms * 1_000;
        match self.ramp_started_at {
            Some(started_at) if ramp_duration > 0 && now < started_at + ramp_duration => {
                (full_weight * (now - started_at) / ramp_duration).max(1)
            }
            _ => full_weight,
        }
    }

    /// Returns the open requests per weight, including the request to be placed; without it an idle
    /// target of low weight would precede one of high weight that has more capacity left.
    fn load(&self, now: Micros) -> f64 {
        f64::from(self.open_requests + 1) / self.ramped_weight(now) as f64
    }
}

/// No target can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoTargetAvailable {
    /// Time from which a target can be chosen, if that depends only on time.
    pub available_at: Option<Micros>,
}

/// Load balancer of one pool.
#[derive(Debug, Clone)]
pub struct Balancer {
    method: BalancingMethod,
    targets: Vec<TargetState>,
    /// Points of the hash ring with the index of their target, sorted by point.
    ring: Vec<(u64, u32)>,
    random: SmallRng,
}

impl Balancer {
    /// Creates a balancer without knowledge of its targets' health.
    #[must_use]
    pub fn new(pool: &Pool, seed: u64) -> Self {
        let targets: Vec<_> = pool.targets.iter().map(TargetState::new).collect();
        let ring = if matches!(
            pool.method,
            BalancingMethod::Hash {
                consistent: true,
                ..
            }
        ) {
            build_ring(&pool.targets)
        } else {
            Vec::new()
        };
        Self {
            method: pool.method.clone(),
            targets,
            ring,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the targets. The state of an address that stays is kept; open requests at addresses
    /// that are gone are no longer counted. Returns the old index of each new target, if it had one.
    pub fn reload(&mut self, pool: &Pool) -> Vec<Option<usize>> {
        let mut reloaded = Self::new(pool, 0);
        let mut is_taken = vec![false; self.targets.len()];
        let mut old_indexes = Vec::new();
        for target in &mut reloaded.targets {
            // An address may be listed twice; each entry takes over one old state.
            let is_same_address = |(index, old): &(usize, &TargetState)| {
                old.config.address == target.config.address && !is_taken[*index]
            };
            let old_index = self
                .targets
                .iter()
                .enumerate()
                .find(is_same_address)
                .map(|(index, _)| index);
            if let Some(index) = old_index {
                is_taken[index] = true;
                let old = &self.targets[index];
                *target = TargetState {
                    config: target.config.clone(),
                    current_weight: 0,
                    effective_weight: target.effective_weight,
                    ..old.clone()
                };
            }
            old_indexes.push(old_index);
        }
        reloaded.random = self.random.clone();
        *self = reloaded;
        old_indexes
    }

    /// Iterates over the addresses of the targets, in their order.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.targets
            .iter()
            .map(|state| state.config.address.as_str())
    }

    /// Returns the number of open requests of a target.
    #[must_use]
    pub fn open_requests(&self, target: usize) -> u32 {
        self.targets
            .get(target)
            .map_or(0, |state| state.open_requests)
    }

    /// Chooses a target for an attempt and counts the attempt as open there. Targets in `attempted`
    /// are left out; backups are chosen only without any other target.
    ///
    /// # Errors
    /// No target can be chosen.
    pub fn pick(
        &mut self,
        now: Micros,
        key: &[u8],
        attempted: &[usize],
    ) -> Result<usize, NoTargetAvailable> {
        let is_only_target = self.targets.len() == 1;
        for backup in [false, true] {
            let candidates: Vec<usize> = (0..self.targets.len())
                .filter(|index| {
                    self.targets[*index].config.backup == backup && !attempted.contains(index)
                })
                .filter(|index| {
                    self.targets[*index]
                        .available_at(now, is_only_target)
                        .is_some_and(|available_at| available_at <= now)
                })
                .collect();
            let Some(&first) = candidates.first() else {
                continue;
            };
            let chosen = match &self.method {
                _ if candidates.len() == 1 => first,
                BalancingMethod::RoundRobin => self.pick_round_robin(now, &candidates),
                BalancingMethod::LeastConnections => self.pick_least_loaded(now, &candidates),
                BalancingMethod::Random => self.pick_random(now, &candidates),
                BalancingMethod::RandomTwo => self.pick_better_of_two(now, &candidates),
                BalancingMethod::Hash {
                    consistent: true, ..
                } => self.pick_on_ring(now, key, &candidates),
                BalancingMethod::Hash { .. } | BalancingMethod::AddressHash => {
                    self.pick_by_hash(now, key, &candidates)
                }
            };
            let target = &mut self.targets[chosen];
            target.open_requests += 1;
            if target.is_unhealthy() {
                target.last_trial_at = now;
            }
            return Ok(chosen);
        }
        let untried = self
            .targets
            .iter()
            .enumerate()
            .filter(|(index, _)| !attempted.contains(index));
        Err(NoTargetAvailable {
            available_at: untried
                .filter_map(|(_, target)| target.available_at(now, is_only_target))
                .filter(|available_at| *available_at > now)
                .min(),
        })
    }

    /// Smooth weighted round robin.
    fn pick_round_robin(&mut self, now: Micros, candidates: &[usize]) -> usize {
        let (mut total, mut best) = (0, candidates[0]);
        for &index in candidates {
            let ramped_weight = self.targets[index].ramped_weight(now);
            let target = &mut self.targets[index];
            let full_weight = i64::from(target.config.weight) * 1_000;
            // A weight that failures have lowered rises by one step at each choice.
            let step = (full_weight / 10).max(1);
            target.effective_weight = (target.effective_weight + step).min(full_weight);
            let weight = target.effective_weight.min(ramped_weight as i64);
            target.current_weight += weight;
            total += weight;
            if target.current_weight > self.targets[best].current_weight {
                best = index;
            }
        }
        self.targets[best].current_weight -= total;
        best
    }

    fn pick_least_loaded(&mut self, now: Micros, candidates: &[usize]) -> usize {
        let load = |index: &usize| self.targets[*index].load(now);
        let lowest_load = candidates.iter().map(load).fold(f64::INFINITY, f64::min);
        let ties: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|index| load(index) <= lowest_load * (1.0 + 1e-9))
            .collect();
        self.pick_round_robin(now, &ties)
    }

    fn pick_random(&mut self, now: Micros, candidates: &[usize]) -> usize {
        let total: u64 = candidates
            .iter()
            .map(|index| self.targets[*index].ramped_weight(now))
            .sum();
        let mut offset = self.random.random_range(0..total.max(1));
        for &target in candidates {
            let weight = self.targets[target].ramped_weight(now);
            if offset < weight {
                return target;
            }
            offset -= weight;
        }
        candidates[0]
    }

    fn pick_better_of_two(&mut self, now: Micros, candidates: &[usize]) -> usize {
        let first = self.pick_random(now, candidates);
        let others: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|index| *index != first)
            .collect();
        let second = self.pick_random(now, &others);
        if self.targets[second].load(now) < self.targets[first].load(now) {
            second
        } else {
            first
        }
    }

    /// Returns the first target on the ring after the key's point that is not overloaded.
    fn pick_on_ring(&mut self, now: Micros, key: &[u8], candidates: &[usize]) -> usize {
        let weights: u64 = candidates
            .iter()
            .map(|index| self.targets[*index].ramped_weight(now))
            .sum();
        let open_requests: u32 = candidates
            .iter()
            .map(|index| self.targets[*index].open_requests)
            .sum();
        let is_overloaded = |index: usize| {
            let share = self.targets[index].ramped_weight(now) as f64 / weights.max(1) as f64;
            f64::from(self.targets[index].open_requests) + 1.0
                > (MAX_LOAD_RATIO * f64::from(open_requests + 1) * share).ceil()
        };
        let start = self
            .ring
            .partition_point(|(point, _)| *point < xxh3_64(key));
        let mut seen = vec![false; self.targets.len()];
        let mut candidates_left = candidates.len();
        let ring_from_key = self.ring[start..].iter().chain(&self.ring[..start]);
        for &(_, target) in ring_from_key {
            let target = target as usize;
            if std::mem::replace(&mut seen[target], true) || !candidates.contains(&target) {
                continue;
            }
            if !is_overloaded(target) {
                return target;
            }
            candidates_left -= 1;
            if candidates_left == 0 {
                break;
            }
        }
        self.pick_least_loaded(now, candidates)
    }

    fn pick_by_hash(&mut self, now: Micros, key: &[u8], candidates: &[usize]) -> usize {
        let found = (0..MAX_REHASHES).find_map(|rehash| {
            self.hashed_target(key, rehash)
                .filter(|target| candidates.contains(target))
        });
        if let Some(target) = found {
            return target;
        }
        self.pick_round_robin(now, candidates)
    }

    /// Records that an attempt at a target has ended.
    pub fn record_outcome(&mut self, now: Micros, target: usize, outcome: AttemptOutcome) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.open_requests = state.open_requests.saturating_sub(1);
        match outcome {
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Failed => {
                let was_unhealthy = state.is_unhealthy();
                // Failures add up while they are no further apart than the fail timeout.
                if !was_unhealthy && now > state.last_failure_at + state.fail_timeout() {
                    state.failures = 0;
                }
                state.failures = state.failures.saturating_add(1);
                state.last_failure_at = now;
                state.last_trial_at = now;
                let full_weight = i64::from(state.config.weight) * 1_000;
                state.effective_weight = (state.effective_weight
                    - full_weight / i64::from(state.config.max_fails.max(1)))
                .max(0);
            }
            AttemptOutcome::Responded => {
                // Only the response to a trial request restores an unhealthy target; responses to
                // requests sent before the failure say nothing about its state now.
                if state.is_unhealthy() && state.last_trial_at > state.last_failure_at {
                    state.ramp_started_at = Some(now);
                    state.failures = 0;
                } else if !state.is_unhealthy()
                    && now > state.last_failure_at + state.fail_timeout()
                {
                    state.failures = 0;
                }
            }
        }
    }

    /// Excludes a target until `resume_at`, as it has asked for.
    pub fn back_off_until(&mut self, target: usize, resume_at: Micros) {
        if let Some(state) = self.targets.get_mut(target) {
            state.backed_off_until = state.backed_off_until.max(resume_at);
        }
    }

    /// Limits the open requests of a target to what it has asked for. One request is always allowed,
    /// because its response brings the next advice.
    pub fn set_advised_concurrency(&mut self, target: usize, max: u32) {
        if let Some(state) = self.targets.get_mut(target) {
            state.advised_concurrency = Some(max.max(1));
        }
    }

    /// Records that a target drains, or takes requests again.
    pub fn set_draining(&mut self, now: Micros, target: usize, draining: bool) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if std::mem::replace(&mut state.draining, draining) && !draining {
            // A target that returns after a drain is a new process: its failures are forgotten, and
            // it starts slowly because it is cold.
            (
                state.failures,
                state.backed_off_until,
                state.ramp_started_at,
            ) = (0, 0, Some(now));
        }
    }

    /// Returns the target for a key while all targets are healthy and idle; it follows from the
    /// configuration alone. `None` if the method doesn't use a key.
    #[must_use]
    pub fn preferred_target(&self, key: &[u8]) -> Option<usize> {
        let is_eligible = |target: &usize| {
            let target = &self.targets[*target].config;
            !target.down && !target.backup
        };
        match &self.method {
            BalancingMethod::Hash {
                consistent: true, ..
            } => {
                let start = self
                    .ring
                    .partition_point(|(point, _)| *point < xxh3_64(key));
                let ring_from_key = self.ring[start..].iter().chain(&self.ring[..start]);
                ring_from_key
                    .map(|(_, target)| *target as usize)
                    .find(is_eligible)
            }
            BalancingMethod::Hash { .. } | BalancingMethod::AddressHash => (0..MAX_REHASHES)
                .find_map(|rehash| self.hashed_target(key, rehash).filter(is_eligible)),
            _ => None,
        }
    }

    /// Returns the target for a key at one rehash of a plain hash.
    fn hashed_target(&self, key: &[u8], rehash: u64) -> Option<usize> {
        // Unavailable targets count too, so that they don't move the keys of the others.
        let mut targets = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, state)| !state.config.backup);
        let total: u64 = targets
            .clone()
            .map(|(_, state)| u64::from(state.config.weight))
            .sum();
        let mut offset = xxh3_64_with_seed(key, rehash) % total.max(1);
        let found = targets.find(|(_, state)| {
            let weight = u64::from(state.config.weight);
            let is_hit = offset < weight;
            offset = offset.saturating_sub(weight);
            is_hit
        });
        found.map(|(target, _)| target)
    }
}

/// Builds the ring of the points of all targets. An address that is listed twice has the points of
/// both weights.
fn build_ring(targets: &[Target]) -> Vec<(u64, u32)> {
    let weights: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    // Bounds the ring: weights in the thousands would make millions of points.
    let points_per_weight =
        (MAX_RING_POINTS / weights.max(1)).clamp(1, u64::from(POINTS_PER_WEIGHT)) as u32;
    let mut ring = Vec::new();
    let mut points_used: std::collections::HashMap<&str, u32> = std::collections::HashMap::new();
    for (index, target) in targets.iter().enumerate() {
        let seed = xxh3_64(target.address.as_bytes());
        let first_point = points_used.entry(&target.address).or_default();
        let count = (points_per_weight * target.weight.min(10_000)).max(1);
        ring.extend(
            (*first_point..*first_point + count)
                .map(|point| (xxh3_64_with_seed(&point.to_le_bytes(), seed), index as u32)),
        );
        *first_point += count;
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
        let target = |(index, weight): (usize, &u32)| Target {
            weight: *weight,
            ..Target::new(position.clone(), format!("t{index}:1"))
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
    fn round_robin_follows_the_weights_smoothly() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[5, 1, 1]), 1);
        let order: Vec<_> = (0..14)
            .map(|_| balancer.pick(0, b"", &[]).unwrap())
            .collect();
        assert_eq!(order, [0, 0, 1, 0, 2, 0, 0, 0, 0, 1, 0, 2, 0, 0]);
    }

    #[test]
    fn a_failed_target_gets_one_trial_request_then_ramps_up_slowly() {
        let mut pool = pool(BalancingMethod::LeastConnections, &[1, 1]);
        pool.targets[0].slow_start_ms = 10_000;
        let mut balancer = Balancer::new(&pool, 1);
        assert_eq!(balancer.pick(0, b"", &[]), Ok(0));
        balancer.record_outcome(MS, 0, AttemptOutcome::Failed);
        for _ in 0..5 {
            assert_eq!(balancer.pick(2 * MS, b"", &[]), Ok(1));
        }
        // After the fail timeout one trial request goes out, and no other while it is open.
        let after_timeout = 10 * SECOND + 2 * MS;
        assert_eq!(balancer.pick(after_timeout, b"", &[]), Ok(0));
        assert_eq!(balancer.pick(after_timeout + MS, b"", &[]), Ok(1));
        balancer.record_outcome(after_timeout + 2 * MS, 0, AttemptOutcome::Responded);
        assert_eq!(balancer.open_requests(1), 6);
        // The slow start raises the weight from a thousandth through a half to the full weight.
        assert_eq!(balancer.pick(after_timeout + 3 * MS, b"", &[]), Ok(1));
        let mut now = after_timeout + 5 * SECOND;
        let mut picked_first = 0;
        while balancer.pick(now, b"", &[]) == Ok(0) {
            (picked_first, now) = (picked_first + 1, now + 1);
        }
        assert_eq!(
            picked_first, 3,
            "half of the seven open requests of the other target, less the one to be placed"
        );
    }

    #[test]
    fn a_failed_trial_request_excludes_the_target_again() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[1, 1]), 1);
        let target = balancer.pick(0, b"", &[1]).unwrap();
        balancer.record_outcome(0, target, AttemptOutcome::Failed);
        let after_timeout = 11 * SECOND;
        assert_eq!(balancer.pick(after_timeout, b"", &[1]), Ok(0));
        balancer.record_outcome(after_timeout, 0, AttemptOutcome::Failed);
        assert_eq!(
            balancer.pick(after_timeout + 9 * SECOND, b"", &[1]),
            Err(NoTargetAvailable {
                available_at: Some(after_timeout + 10 * SECOND)
            })
        );
    }

    #[test]
    fn a_response_to_a_request_sent_before_the_failure_does_not_restore_the_target() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[1, 1]), 1);
        for _ in 0..2 {
            balancer.pick(0, b"", &[1]).unwrap();
        }
        balancer.record_outcome(MS, 0, AttemptOutcome::Failed);
        balancer.record_outcome(2 * MS, 0, AttemptOutcome::Responded);
        assert!(balancer.pick(3 * MS, b"", &[1]).is_err());
    }

    #[test]
    fn backups_serve_only_without_other_targets_and_down_targets_never() {
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
    fn an_error_names_the_time_when_the_first_target_is_available_again() {
        let mut balancer = Balancer::new(&pool(BalancingMethod::RoundRobin, &[1, 1]), 1);
        for index in [0, 1] {
            assert_eq!(balancer.pick(0, b"", &[1 - index]), Ok(index));
            balancer.record_outcome(index as u64 * SECOND, index, AttemptOutcome::Failed);
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
        // The only target of a pool is never excluded for its failures.
        let mut single = Balancer::new(&self::pool(BalancingMethod::RoundRobin, &[1]), 1);
        single.pick(0, b"", &[]).unwrap();
        single.record_outcome(0, 0, AttemptOutcome::Failed);
        assert_eq!(single.pick(0, b"", &[]), Ok(0));
        single.back_off_until(0, SECOND);
        assert_eq!(
            single.pick(MS, b"", &[]),
            Err(NoTargetAvailable {
                available_at: Some(SECOND)
            })
        );
    }

    #[test]
    fn max_connections_is_kept_and_a_reload_keeps_the_open_requests() {
        let mut pool = pool(BalancingMethod::RoundRobin, &[1, 1]);
        pool.targets[0].max_connections = 1;
        let mut balancer = Balancer::new(&pool, 1);
        let picks: Vec<_> = (0..4)
            .map(|_| balancer.pick(0, b"", &[]).unwrap())
            .collect();
        assert_eq!(picks.iter().filter(|index| **index == 0).count(), 1);
        // The first target is gone; the second keeps its open requests.
        let mut reloaded_pool = self::pool(BalancingMethod::RoundRobin, &[1, 1]);
        reloaded_pool.targets[0].address = "t1:1".to_owned();
        reloaded_pool.targets[1].address = "new:1".to_owned();
        assert_eq!(balancer.reload(&reloaded_pool), [Some(1), None]);
        assert_eq!(
            (balancer.open_requests(0), balancer.open_requests(1)),
            (3, 0)
        );
        // The pool becomes empty while requests are open.
        let empty_pool = self::pool(BalancingMethod::RoundRobin, &[]);
        assert_eq!(balancer.reload(&empty_pool), []);
        balancer.record_outcome(0, 0, AttemptOutcome::Responded);
        assert_eq!(
            balancer.pick(0, b"", &[]),
            Err(NoTargetAvailable { available_at: None })
        );
    }

    #[test]
    fn removing_a_target_from_the_ring_moves_only_its_own_keys() {
        let complete = pool(consistent(), &[1, 1, 1, 2]);
        let mut smaller = complete.clone();
        smaller.targets.remove(1);
        let (complete, smaller) = (Balancer::new(&complete, 1), Balancer::new(&smaller, 1));
        let preferred_target = |balancer: &Balancer, key: &str| {
            let index = balancer.preferred_target(key.as_bytes()).unwrap();
            balancer.targets[index].config.address.clone()
        };
        let mut counts = std::collections::BTreeMap::new();
        for number in 0..2_000 {
            let key = format!("racer-{number}");
            let (before, after) = (
                preferred_target(&complete, &key),
                preferred_target(&smaller, &key),
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
    fn one_popular_key_does_not_overload_its_target_on_the_ring() {
        let mut balancer = Balancer::new(&pool(consistent(), &[1, 1, 1, 1]), 1);
        for _ in 0..100 {
            balancer.pick(0, b"popular", &[]).unwrap();
        }
        let highest = (0..4)
            .map(|index| balancer.open_requests(index))
            .max()
            .unwrap();
        assert!(highest <= 32, "{highest} of 100 at one of four targets");
    }

    #[test]
    fn picks_respect_every_limit_under_random_events() {
        let methods = [
            BalancingMethod::RoundRobin,
            BalancingMethod::LeastConnections,
            BalancingMethod::Random,
            BalancingMethod::RandomTwo,
            consistent(),
            BalancingMethod::AddressHash,
        ];
        for (number, method) in methods.into_iter().cycle().take(120).enumerate() {
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
            let (mut now, mut open_requests, mut backed_off_until) =
                (0, vec![0; count], vec![0; count]);
            for _ in 0..400 {
                now += random.random_range(0..3 * SECOND);
                let target = random.random_range(0..count);
                match random.random_range(0..5) {
                    0 | 1 => {
                        let attempted: Vec<_> = (0..count)
                            .filter(|_| random.random_range(0..4) == 0)
                            .collect();
                        if let Ok(index) = balancer.pick(now, b"key", &attempted) {
                            let chosen = &pool.targets[index];
                            assert!(
                                !attempted.contains(&index)
                                    && !chosen.down
                                    && backed_off_until[index] <= now
                            );
                            assert!(
                                chosen.max_connections == 0
                                    || open_requests[index] < chosen.max_connections
                            );
                            open_requests[index] += 1;
                        }
                    }
                    2 if open_requests[target] > 0 => {
                        open_requests[target] -= 1;
                        balancer.record_outcome(now, target, AttemptOutcome::Responded);
                    }
                    3 if open_requests[target] > 0 => {
                        open_requests[target] -= 1;
                        balancer.record_outcome(now, target, AttemptOutcome::Failed);
                    }
                    4 => {
                        backed_off_until[target] = now + SECOND;
                        balancer.back_off_until(target, now + SECOND);
                    }
                    _ => {}
                }
                assert!(
                    (0..count).all(|index| balancer.open_requests(index) == open_requests[index])
                );
            }
        }
    }
}
