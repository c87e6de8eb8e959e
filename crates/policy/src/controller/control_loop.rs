//! The controller's state, and its processing of events step by step.

use super::arrival_statistics::ArrivalStatistics;
use super::class_statistics::ClassStatistics;
use super::concurrency::RunLimiter;
use super::dependency_limiter::DependencyLimiter;
use super::feedback::Feedback;
use super::key_usage::KeyUsage;
use super::priority::PriorityFilter;
use super::random::SplitMix64;
use super::request_state::{RequestStage, RequestState, RequestTable};
use super::requires_call;
use super::shutdown::Shutdown;
use crate::interface::{Action, Class, Event, Gauges, Micros, RequestId, Settings};
use crate::learned_state::{LearnedState, LearnedStateError};

/// Adjustment periods in the response slack: a deadline is handled with three of four to spare.
const PERIODS_PER_SLACK: u64 = 4;
/// Token of the controller's only timer.
const TIMER_TOKEN: u64 = 0;

/// The overload controller of one server.
#[derive(Debug, Clone)]
pub struct Controller {
    pub(super) settings: Settings,
    pub(super) clock: ControllerClock,
    pub(super) random: SplitMix64,
    pub(super) requests: RequestTable,
    pub(super) keys: KeyUsage,
    pub(super) class_statistics: Vec<ClassStatistics>,
    pub(super) arrivals: ArrivalStatistics,
    pub(super) dependency: DependencyLimiter,
    pub(super) concurrency: RunLimiter,
    pub(super) priority_filter: PriorityFilter,
    pub(super) feedback: Feedback,
    pub(super) shutdown: Option<Shutdown>,
    pub(super) predecessor: PredecessorUsage,
}

/// Current time and adjustment times of the controller.
#[derive(Debug, Clone)]
pub(super) struct ControllerClock {
    pub(super) now: Micros,
    pub(super) started_at: Micros,
    /// Minimum time between two adjustments.
    pub(super) period: Micros,
    adjusted_at: Micros,
}

/// Resource usage of a predecessor that is still draining.
#[derive(Debug, Clone, Default)]
pub(super) struct PredecessorUsage {
    pub(super) running: usize,
    pub(super) memory_kb: f64,
    pub(super) calls: usize,
}

impl Controller {
    /// Creates the controller of a server that has just started. `seed` is that of its random
    /// numbers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let slack_share = settings.response_slack / PERIODS_PER_SLACK;
        let period = settings.tick.max(slack_share).max(1);
        let class_statistics = settings
            .classes
            .iter()
            .map(|class| ClassStatistics::new(class, settings.cold_start))
            .collect();
        Self {
            clock: ControllerClock {
                now: 0,
                started_at: 0,
                period,
                adjusted_at: 0,
            },
            random: SplitMix64::new(seed),
            requests: RequestTable::default(),
            keys: KeyUsage::new(),
            class_statistics,
            arrivals: ArrivalStatistics::new(settings.tenants.len()),
            dependency: DependencyLimiter::new(&settings, period),
            concurrency: RunLimiter::new(settings.cores),
            priority_filter: PriorityFilter::new(),
            feedback: Feedback::new(settings.client_idle_timeout),
            shutdown: None,
            predecessor: PredecessorUsage::default(),
            settings,
        }
    }

    /// Handles the events that occurred up to `now`, and appends the resulting actions.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.clock.now = self.clock.now.max(now);
        for event in events {
            self.handle_event(event, actions);
        }
        if self.clock.now >= self.clock.adjusted_at + self.clock.period {
            self.adjust(actions);
        }
        self.respond_to_due(actions);
        self.shed(actions);
        self.make_calls(actions);
        self.start_runs(actions);
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match *event {
            Event::Started => self.on_started(actions),
            Event::Arrived(ref request) => self.on_arrival(request, actions),
            Event::Abandoned(id) => self.settle(id, actions),
            Event::CallRequested(id) => self.on_call_requested(id),
            Event::CallEnded {
                id,
                outcome,
                elapsed,
            } => self.on_call_ended(id, outcome, elapsed, actions),
            Event::RunEnded {
                id,
                outcome,
                elapsed,
            } => self.on_run_ended(id, outcome, elapsed, actions),
            Event::TimerExpired { gauges, .. } => self.on_timer(gauges, actions),
            Event::DrainStarted { stop_at } => self.begin_shutdown(stop_at, false, actions),
            Event::Replaced { stop_at } => self.begin_shutdown(stop_at, true, actions),
            Event::PredecessorUsage {
                running,
                memory_kb,
                calls,
            } => {
                self.predecessor = PredecessorUsage {
                    running,
                    memory_kb,
                    calls,
                };
            }
            Event::IdempotencyTableUsage {
                entries,
                has_capacity,
            } => self.keys.on_usage_report(entries, has_capacity),
        }
    }

    fn on_started(&mut self, actions: &mut Vec<Action>) {
        self.clock.started_at = self.clock.now;
        self.clock.adjusted_at = self.clock.now;
        self.concurrency.on_progress(self.clock.now);
        // Health checks that do real work would compete with requests for cores and calls.
        actions.push(Action::SetHealth {
            healthy: true,
            from_state: true,
        });
        self.set_timer(actions);
    }

    fn on_timer(&mut self, gauges: Gauges, actions: &mut Vec<Action>) {
        self.concurrency.runnable = gauges.runnable;
        self.set_timer(actions);
    }

    fn set_timer(&self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            at: self.clock.now + self.clock.period,
            token: TIMER_TOKEN,
        });
    }

    fn on_call_requested(&mut self, id: RequestId) {
        self.concurrency.on_progress(self.clock.now);
        self.requests.set_stage(id, RequestStage::AwaitingCall);
    }

    /// Adjusts limits, thresholds and feedback after an adjustment period.
    fn adjust(&mut self, actions: &mut Vec<Action>) {
        let now = self.clock.now;
        let elapsed = now - self.clock.adjusted_at;
        self.clock.adjusted_at = now;
        self.keys.remove_expired(now);
        let statistics_window = self.statistics_window();
        self.arrivals.decay_counts(elapsed, statistics_window);
        let backlog = self.call_backlog();
        let in_flight = self.calls_in_flight();
        self.dependency.adjust(now, elapsed, backlog, in_flight);
        self.adjust_run_limit();
        self.arrivals.decay_read_delay();
        self.adjust_rank_threshold(elapsed);
        self.adjust_advertised_capacity(elapsed);
        self.advertise_capacity(actions);
        self.adjust_idle_timeout(actions);
    }

    /// Returns the number of requests that wait for a call that they can't skip.
    fn call_backlog(&self) -> usize {
        self.requests
            .iter()
            .filter(|request| request.stage == RequestStage::AwaitingCall)
            .filter(|request| requires_call(self.class(request)))
            .count()
    }

    pub(super) fn class(&self, request: &RequestState) -> &Class {
        &self.settings.classes[request.class]
    }

    /// Returns the expected run time of this request, in microseconds.
    pub(super) fn run_time(&self, request: &RequestState) -> f64 {
        self.class_statistics[request.class].run_time * request.value.relative_size
    }

    /// Returns the state that this controller has learned.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            classes: self
                .class_statistics
                .iter()
                .map(ClassStatistics::to_learned)
                .collect(),
            dependency: self.dependency.to_learned(),
            run_limit: self.concurrency.limit,
            rank_threshold: self.priority_filter.threshold,
            advertised_capacity: self.feedback.capacity,
            read_delay: self.arrivals.read_delay,
            retry_ratio: self.arrivals.retry_ratio,
        }
    }

    /// Restores the state that another controller has learned on this machine. Limits are reduced
    /// to the maximum of this controller.
    ///
    /// # Errors
    /// Returns an error if a value is outside its valid range; nothing is restored then.
    pub fn restore_learned_state(
        &mut self,
        learned: &LearnedState,
    ) -> Result<(), LearnedStateError> {
        learned.validate(self.class_statistics.len())?;
        for (statistics, class) in self.class_statistics.iter_mut().zip(&learned.classes) {
            statistics.restore(class);
        }
        self.dependency.restore(&learned.dependency);
        // The next adjustment reduces it to the concurrency that this server sustains.
        self.concurrency.limit = learned.run_limit;
        self.priority_filter.threshold = learned.rank_threshold;
        self.feedback.capacity = learned.advertised_capacity;
        self.arrivals.read_delay = learned.read_delay;
        self.arrivals.retry_ratio = learned.retry_ratio;
        Ok(())
    }
}
