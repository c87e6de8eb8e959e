//! The limit on running requests, and the start and end of runs.

use super::request_state::RequestStage;
use super::{requires_call, Controller, USABLE_SHARE};
use crate::interface::{Action, Effect, Micros, Outcome, RequestId};

/// Upper bound of the run limit, as a share of the concurrency that the server sustains.
const OVERLOAD_CONCURRENCY_SHARE: f64 = 0.5;
/// Runnable tasks per core above which the run limit decreases: one run, and one request being read
/// or connection being opened.
pub(super) const BUSY_TASKS_PER_CORE: f64 = 2.0;
/// Change of the run limit in one period, as a share of the cores.
const RUN_LIMIT_STEP: f64 = 0.05;

/// The limit on concurrently running requests.
#[derive(Debug, Clone)]
pub(super) struct RunLimiter {
    pub(super) limit: f64,
    /// Last measured number of tasks that are running or ready to run.
    pub(super) runnable: Option<f64>,
    /// Last time at which a run ended, a run began to wait, or nothing was running.
    last_progress_at: Micros,
}

impl RunLimiter {
    pub(super) fn new(cores: u32) -> Self {
        Self {
            limit: f64::from(cores.max(1)),
            runnable: None,
            last_progress_at: 0,
        }
    }

    pub(super) fn limit(&self) -> usize {
        self.limit as usize
    }

    pub(super) fn on_progress(&mut self, now: Micros) {
        self.last_progress_at = now;
    }
}

impl Controller {
    /// Starts queued requests in order while cores, memory and the dependency have capacity.
    pub(super) fn start_runs(&mut self, actions: &mut Vec<Action>) {
        let mut running = self.cores_in_use();
        let mut memory_kb = self.memory_kb();
        let usable_memory_kb = USABLE_SHARE * self.settings.memory_kb;
        if running == 0 && !self.requests.has_queued() {
            self.concurrency.on_progress(self.clock.now);
        }
        for id in self.run_order() {
            if running >= self.concurrency.limit() {
                return;
            }
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let more_kb = request.memory_kb * (self.running_memory_factor() - 1.0);
            let fits = memory_kb + more_kb <= usable_memory_kb;
            if !fits || (requires_call(self.class(request)) && self.is_call_queue_too_long(request))
            {
                continue;
            }
            memory_kb += more_kb;
            if running == 0 {
                self.concurrency.on_progress(self.clock.now);
            }
            running += 1;
            self.requests.set_stage(id, RequestStage::Running);
            actions.push(Action::Run(id));
        }
    }

    pub(super) fn on_run_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        let now = self.clock.now;
        match request.stage {
            RequestStage::Sharing(original) => self.requests.remove_sharing_request(original),
            RequestStage::Calling => {
                let released_at = now + self.settings.abandoned_call_linger;
                self.dependency
                    .on_call_orphaned(request.call_made_at, released_at);
                self.concurrency.on_progress(now);
            }
            RequestStage::Queued | RequestStage::Running | RequestStage::AwaitingCall => {
                self.concurrency.on_progress(now);
            }
        }
        let is_idempotent = self.class(&request).effect == Effect::Idempotent;
        if outcome != Outcome::Success {
            if is_idempotent {
                self.remove_key(id, actions);
            }
            return;
        }
        if matches!(request.stage, RequestStage::Sharing(_)) {
            return;
        }
        self.class_statistics[request.class].on_run_completed(elapsed, request.value.relative_size);
        if is_idempotent && self.keys.contains(id) {
            self.insert_key(id, self.settings.shared_response_lifetime, actions);
        }
    }

    /// Raises the run limit while cores are idle and work is queued, lowers it towards the number
    /// of cores while they are overcommitted, and keeps it below the concurrency that the server
    /// sustains at its current speed.
    pub(super) fn adjust_run_limit(&mut self) {
        let cores = f64::from(self.settings.cores.max(1));
        let is_at_limit = self.cores_in_use() as f64 >= self.concurrency.limit.floor();
        let is_limiting = self.requests.has_queued() && is_at_limit;
        let limit = &mut self.concurrency.limit;
        match self.concurrency.runnable {
            Some(tasks) if tasks > BUSY_TASKS_PER_CORE * cores => *limit -= RUN_LIMIT_STEP * cores,
            Some(tasks) if tasks < cores && is_limiting => *limit += RUN_LIMIT_STEP * cores,
            _ => {}
        }
        let extra_per_core = (self.settings.overload_concurrency_per_core - 1.0).max(0.0);
        let sustainable_now = (1.0 + extra_per_core * self.speed()) * cores;
        let max_limit = (OVERLOAD_CONCURRENCY_SHARE * sustainable_now).max(cores);
        self.concurrency.limit = self.concurrency.limit.clamp(cores, max_limit);
    }

    /// Returns the speed that a possibly cold server has reached for certain, as a share of its
    /// full speed.
    pub(super) fn speed(&self) -> f64 {
        let warm_up_time = self.settings.warm_up_time.max(1) as f64;
        let warm_up_progress = (self.clock.now - self.clock.started_at) as f64 / warm_up_time;
        let initial_speed = if self.settings.cold_start {
            self.settings.cold_start_speed
        } else {
            1.0
        };
        (initial_speed + (1.0 - initial_speed) * warm_up_progress).min(1.0)
    }

    /// Returns the number of requests that occupy a core, those of a predecessor included.
    pub(super) fn cores_in_use(&self) -> usize {
        self.requests.running_count() + self.predecessor.running
    }

    /// Returns the number of calls in flight, those of a predecessor included.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.requests.calling_count() + self.predecessor.calls
    }

    /// Returns the number of runs that can be in progress at a time, those waiting for a call
    /// included.
    pub(super) fn parallel_runs(&self) -> f64 {
        self.concurrency.limit + self.requests.in_call_count() as f64
    }

    /// Returns the time without progress of any run, in microseconds. A long time indicates stalled
    /// cores.
    pub(super) fn stall_time(&self) -> f64 {
        (self.clock.now - self.concurrency.last_progress_at) as f64
    }
}
