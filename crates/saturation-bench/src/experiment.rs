//! One run of an emulated upstream under a load.

use crate::limiter::Limiter;
use crate::upstream_kind::{draw_exponential, UpstreamKind};
use cleatpulley_saturation::{Completion, ModelSettings, UpstreamModel};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::VecDeque;

/// Time on the model's clock at the start of a run, in microseconds.
const CLOCK_START_MICROS: u64 = 1_000_000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Share of a run before goodput is measured.
const WARM_UP_SHARE: f64 = 0.25;
/// Interval between two observations of the model, in seconds.
const OBSERVATION_INTERVAL_SECONDS: f64 = 1.0;
/// Minimum arrival rate, in requests per second.
const MIN_ARRIVALS_PER_SECOND: f64 = 0.1;
/// Remaining work up to which a request counts as completed.
const NEGLIGIBLE_WORK: f64 = 1e-12;

/// Parameters of a run. Times are in seconds since the start of the run.
pub struct Experiment<'a> {
    /// The upstream.
    pub kind: UpstreamKind,
    /// Arrival rate as a function of time, in requests per second.
    pub arrival_rate: &'a dyn Fn(f64) -> f64,
    /// Length of the run.
    pub seconds: f64,
    /// Fault that slows down the upstream.
    pub slowdown: Option<Slowdown>,
    /// Limiter of the requests in flight; requests beyond the limit are rejected.
    pub limiter: Limiter,
    /// Maximum latency of a response that counts as goodput, in seconds.
    pub deadline: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// A fault that slows down an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    /// Start of the fault, in seconds.
    pub start: f64,
    /// Factor by which service times increase.
    pub factor: f64,
}

impl<'a> Experiment<'a> {
    /// Creates a run without limit, deadline or fault.
    #[must_use]
    pub fn new(
        kind: UpstreamKind,
        arrival_rate: &'a dyn Fn(f64) -> f64,
        seconds: f64,
        seed: u64,
    ) -> Self {
        Self {
            kind,
            arrival_rate,
            seconds,
            slowdown: None,
            limiter: Limiter::Unlimited,
            deadline: f64::INFINITY,
            seed,
        }
    }

    /// Returns the factor by which service times are increased at a time.
    fn slowdown_factor(&self, now: f64) -> f64 {
        match self.slowdown {
            Some(slowdown) if now >= slowdown.start => slowdown.factor,
            _ => 1.0,
        }
    }

    fn arrival_rate(&self, now: f64) -> f64 {
        (self.arrival_rate)(now).max(MIN_ARRIVALS_PER_SECOND)
    }

    /// Returns the start of the measurement of goodput, in seconds.
    fn measured_from(&self) -> f64 {
        self.seconds * WARM_UP_SHARE
    }
}

/// The result of a run.
pub struct Outcome {
    /// The model at the end of the run.
    pub model: UpstreamModel,
    /// Number of responses after the warm-up that met their deadline.
    pub timely_responses: u64,
    /// Length of the run after the warm-up, in seconds.
    pub measured_seconds: f64,
}

impl Outcome {
    /// Returns the goodput: responses per second that met their deadline.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.timely_responses as f64 / self.measured_seconds
    }
}

/// Converts seconds since the start of a run to the model's clock, in microseconds.
#[must_use]
pub fn to_micros(seconds: f64) -> u64 {
    CLOCK_START_MICROS + (seconds * MICROS_PER_SECOND) as u64
}

/// Runs an experiment, and calls `observe` with the time and the model about once a second.
pub fn run_experiment(
    experiment: Experiment<'_>,
    mut observe: impl FnMut(f64, &mut UpstreamModel),
) -> Outcome {
    let mut run = Run::new(experiment);
    while run.now < run.experiment.seconds {
        run.advance();
        run.start_service();
        if run.now >= run.last_observation + OBSERVATION_INTERVAL_SECONDS {
            run.last_observation = run.now;
            run.update_limiter();
            observe(run.now, &mut run.model);
        }
    }
    let measured_seconds = run.experiment.seconds - run.experiment.measured_from();
    Outcome {
        model: run.model,
        timely_responses: run.timely_responses,
        measured_seconds,
    }
}

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct Request {
    arrival: f64,
    /// Number of requests in flight right after this one arrived, including itself.
    concurrency: usize,
}

/// A request in service.
struct ActiveRequest {
    request: Request,
    remaining_work: f64,
}

/// The state of a run.
struct Run<'a> {
    experiment: Experiment<'a>,
    rng: SmallRng,
    model: UpstreamModel,
    now: f64,
    next_arrival: f64,
    in_service: Vec<ActiveRequest>,
    queue: VecDeque<Request>,
    last_observation: f64,
    timely_responses: u64,
}

impl<'a> Run<'a> {
    fn new(experiment: Experiment<'a>) -> Self {
        let mut rng = SmallRng::seed_from_u64(experiment.seed);
        let next_arrival = draw_exponential(&mut rng) / experiment.arrival_rate(0.0);
        Self {
            experiment,
            rng,
            model: UpstreamModel::new(ModelSettings::default()),
            now: 0.0,
            next_arrival,
            in_service: Vec::new(),
            queue: VecDeque::new(),
            last_observation: 0.0,
            timely_responses: 0,
        }
    }

    /// Advances to the next completion or arrival.
    fn advance(&mut self) {
        let service_rate = self.experiment.kind.service_rate(self.in_service.len())
            / self.experiment.slowdown_factor(self.now);
        let until_completion = self
            .in_service
            .iter()
            .map(|job| job.remaining_work / service_rate)
            .fold(f64::INFINITY, f64::min);
        let step = until_completion.min(self.next_arrival - self.now).max(0.0);
        self.now += step;
        for job in &mut self.in_service {
            job.remaining_work -= step * service_rate;
        }
        if until_completion <= step {
            self.complete();
        } else {
            self.arrive();
        }
    }

    fn complete(&mut self) {
        let index = self
            .in_service
            .iter()
            .position(|job| job.remaining_work <= NEGLIGIBLE_WORK)
            .unwrap_or(0);
        let request = self.in_service.swap_remove(index).request;
        let latency = self.now - request.arrival;
        let completion = Completion {
            concurrency: request.concurrency,
            latency: (latency * MICROS_PER_SECOND) as u64,
        };
        let now = to_micros(self.now);
        self.experiment
            .limiter
            .on_completion(now, completion, self.model.in_flight());
        self.model.on_completion(now, completion);
        let is_measured = self.now >= self.experiment.measured_from();
        if is_measured && latency <= self.experiment.deadline {
            self.timely_responses += 1;
        }
    }

    fn arrive(&mut self) {
        let interval = draw_exponential(&mut self.rng) / self.experiment.arrival_rate(self.now);
        self.next_arrival = self.now + interval;
        if self.model.in_flight() < self.experiment.limiter.limit() {
            let concurrency = self.model.on_request_sent(to_micros(self.now));
            self.queue.push_back(Request {
                arrival: self.now,
                concurrency,
            });
        }
    }

    /// Starts the service of queued requests while a server is free.
    fn start_service(&mut self) {
        let servers = self.experiment.kind.servers();
        while self.in_service.len() < servers {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            let remaining_work = self.experiment.kind.draw_work(&mut self.rng);
            self.in_service.push(ActiveRequest {
                request,
                remaining_work,
            });
        }
    }

    fn update_limiter(&mut self) {
        if self.experiment.limiter.uses_estimates() {
            let prediction = self.model.predict(to_micros(self.now));
            self.experiment
                .limiter
                .set_estimate(prediction.estimate.as_ref());
        }
    }
}
