//! The limiter of calls to the dependency: paces admissions, and decides which calls may be made.
//!
//! Admissions are paced by Bassoon gapping: the smoothed backlog of requests that wait for a call
//! determines a gap, and each admission closes the dependency for one gap (`admission_gap`). The
//! number of calls in flight has a limit that follows their latency (`call_limit`). Where this
//! server's quota is below one concurrent call, a budget of call time applies (`call_quota`).

mod admission_gap;
mod call_latency;
mod call_limit;
mod call_quota;

use super::USABLE_SHARE;
use crate::interface::{DependencyLimit, Micros, Outcome, Settings};
use crate::learned_state::LearnedDependency;
use admission_gap::AdmissionGap;
use call_latency::CallLatency;
use call_limit::CallLimit;
use call_quota::CallQuota;

/// Pause, in call latencies, after the dependency rejected a call or was unreachable. Prevents a
/// retry storm against a dependency that is down.
const CALL_PAUSE_LATENCIES: f64 = 2.0;
/// Lower bound of the call limit, as a share of the quota, which the dependency is known to
/// sustain.
const MINIMUM_QUOTA_SHARE: f64 = 0.5;

/// Limits the calls of one server to its dependency.
#[derive(Debug, Clone)]
pub(super) struct DependencyLimiter {
    limit: CallLimit,
    quota: CallQuota,
    gap: AdmissionGap,
    latency: CallLatency,
    unanswered_calls: UnansweredCalls,
    /// Time before which no call is made.
    paused_until: Micros,
}

/// Tracks calls that ended without a reply from the dependency.
#[derive(Debug, Clone, Default)]
struct UnansweredCalls {
    /// Number of unanswered calls since the last one that ended otherwise.
    consecutive: u32,
    /// Time at which the most recently made call with a reply was made.
    last_replied_call_at: Micros,
}

/// What the outcome of a call indicates about the dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallSignal {
    /// The dependency replied.
    Reply,
    /// The dependency did not reply in time.
    Timeout,
    /// The call was interrupted, most likely by a lost connection.
    Interrupted,
    /// The dependency rejected the call or could not be reached, or the call was cancelled.
    Unavailable,
}

impl From<Outcome> for CallSignal {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success | Outcome::Failure => Self::Reply,
            Outcome::TimedOut => Self::Timeout,
            Outcome::Interrupted => Self::Interrupted,
            Outcome::Overloaded
            | Outcome::Unreachable
            | Outcome::Cancelled
            | Outcome::NotStarted => Self::Unavailable,
        }
    }
}

impl DependencyLimiter {
    pub(super) fn new(settings: &Settings, period: Micros) -> Self {
        let cores = f64::from(settings.cores.max(1));
        let (quota, initial_limit, minimum_limit) = match settings.dependency {
            DependencyLimit::Shared {
                concurrency_quota,
                averaging_window,
            } => {
                let mean_concurrency = USABLE_SHARE * concurrency_quota.max(0.0);
                let minimum = MINIMUM_QUOTA_SHARE * USABLE_SHARE * concurrency_quota;
                (
                    CallQuota::new(mean_concurrency, averaging_window),
                    1.0,
                    minimum,
                )
            }
            DependencyLimit::NoDependency | DependencyLimit::NextTier => {
                let mean_concurrency = cores * settings.overload_concurrency_per_core.max(1.0);
                (
                    CallQuota::new(mean_concurrency, settings.warm_up_time),
                    cores,
                    1.0,
                )
            }
        };
        let tightest_objective = settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0);
        Self {
            limit: CallLimit::new(initial_limit, minimum_limit, quota.max_concurrency()),
            quota,
            gap: AdmissionGap::default(),
            latency: CallLatency::new(tightest_objective, period),
            unanswered_calls: UnansweredCalls::default(),
            paused_until: 0,
        }
    }

    /// Returns the limit on concurrent calls.
    pub(super) fn call_limit(&self) -> f64 {
        self.limit.limit()
    }

    /// Returns the smoothed latency of a call, in microseconds.
    pub(super) fn call_latency(&self) -> f64 {
        self.latency.smoothed()
    }

    /// Returns whether the gap after the last admission still blocks a request of this rank.
    pub(super) fn is_closed(&self, now: Micros, rank: f64) -> bool {
        self.gap.is_closed(now, rank)
    }

    /// Records an admission, which closes the dependency for one gap.
    pub(super) fn on_admission(&mut self, now: Micros) {
        self.gap.on_admission(now, self.latency.smoothed());
    }

    /// Returns whether another call may be made in addition to those in flight.
    pub(super) fn has_capacity(&self, now: Micros, in_flight: usize) -> bool {
        let concurrency = self.quota.concurrency(now, in_flight) as f64;
        let shortest_allowance = self
            .latency
            .smoothed()
            .min(self.quota.call_time_per_window());
        now >= self.paused_until
            && concurrency < self.limit.limit().floor().max(1.0)
            && self.quota.is_within_budget()
            && self
                .quota
                .remaining_time(now)
                .is_none_or(|remaining| remaining >= shortest_allowance)
    }

    /// Returns the remaining call time of the quota, in microseconds, where the quota is below one
    /// concurrent call.
    pub(super) fn remaining_call_time(&self, now: Micros) -> Option<f64> {
        self.quota.remaining_time(now)
    }

    /// Adjusts quota, latency and gap after a period of length `elapsed`, given the number of
    /// requests that wait for their call (`backlog`) and of calls in flight.
    pub(super) fn adjust(
        &mut self,
        now: Micros,
        elapsed: Micros,
        backlog: usize,
        in_flight: usize,
    ) {
        self.quota.adjust(now, elapsed, in_flight);
        let growth = self
            .gap
            .growth_factor(backlog, self.limit.limit(), self.limit.is_degraded());
        self.latency.decay(now, in_flight);
        self.gap.scale(growth, self.latency.smoothed());
    }

    /// Records that a run ended while its call was in flight. The call occupies the dependency
    /// until `released_at`.
    pub(super) fn on_call_orphaned(&mut self, made_at: Micros, released_at: Micros) {
        self.quota.record_call(made_at, released_at);
    }

    /// Records the end of a call. One that timed out occupies the dependency for another `linger`.
    pub(super) fn on_call_ended(
        &mut self,
        now: Micros,
        outcome: Outcome,
        elapsed: Micros,
        linger: Micros,
    ) {
        let signal = CallSignal::from(outcome);
        let made_at = now.saturating_sub(elapsed);
        let released_at = if signal == CallSignal::Timeout {
            now + linger
        } else {
            now
        };
        self.quota.record_call(made_at, released_at);
        if self.unanswered_calls.is_inconclusive(signal, made_at) {
            return;
        }
        match signal {
            CallSignal::Reply => self.latency.on_reply(elapsed),
            CallSignal::Timeout => self.latency.on_timeout(elapsed),
            CallSignal::Interrupted | CallSignal::Unavailable => {
                let pause = CALL_PAUSE_LATENCIES * self.latency.smoothed();
                self.paused_until = now + pause as Micros;
            }
        }
        let is_degraded = signal != CallSignal::Reply || self.latency.is_degraded();
        self.limit
            .on_call_ended(now, is_degraded, self.latency.smoothed());
    }

    pub(super) fn to_learned(&self) -> LearnedDependency {
        LearnedDependency {
            concurrency_limit: self.limit.limit(),
            latency: self.latency.smoothed(),
            baseline_latency: self.latency.baseline(),
            backlog: self.gap.backlog(),
            gap: self.gap.gap(),
        }
    }

    pub(super) fn restore(&mut self, learned: &LearnedDependency) {
        self.limit.restore(learned.concurrency_limit);
        self.latency
            .restore(learned.latency, learned.baseline_latency);
        self.gap.restore(learned.backlog, learned.gap);
    }
}

impl UnansweredCalls {
    /// Records the end of a call that was made at `made_at`. Returns whether it allows no
    /// conclusion about the dependency.
    ///
    /// A lost or unresponsive connection is not taken for a fault of the dependency. During a
    /// fault, the next call and those made after it get no reply either.
    fn is_inconclusive(&mut self, signal: CallSignal, made_at: Micros) -> bool {
        if signal == CallSignal::Reply {
            self.last_replied_call_at = self.last_replied_call_at.max(made_at);
        }
        if !matches!(signal, CallSignal::Timeout | CallSignal::Interrupted) {
            self.consecutive = 0;
            return false;
        }
        self.consecutive += 1;
        self.consecutive == 1 || self.last_replied_call_at > made_at
    }
}
