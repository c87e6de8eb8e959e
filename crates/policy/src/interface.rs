//! Types exchanged between the controller and its caller: settings, events and actions. This module
//! contains no decision logic.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies one attempt of a request. Every retry has an id of its own.
pub type RequestId = u64;

/// Whether a request may be run more than once, given its external side effects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The request may run any number of times.
    Idempotent,
    /// The caller may retry within the deduplication window; the request must not run twice on one
    /// server.
    Deduplicated,
    /// The request must not be retried once it may have run.
    AtMostOnce,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Whether requests of this class may run more than once.
    pub effect: Effect,
    /// Maximum time between the client's first attempt and the response for the response to earn
    /// the full weight.
    pub latency_objective: Micros,
    /// Multiple of the request's expected work that is added to the latency objective.
    pub latency_objective_stretch: f64,
    /// Time for which a client waits, over all its attempts.
    pub client_timeout: Micros,
    /// Share of the priority weight that a response earns after the latency objective.
    pub late_weight_ratio: f64,
    /// Priority weight of one request, or of one unit of its work.
    pub priority_weight: f64,
    /// Time after its arrival within which a request with an idempotency key may be retried.
    pub deduplication_window: Micros,
    /// Whether requests of this class may call the dependency.
    pub calls_dependency: bool,
    /// Share of the priority weight that remains when the call is skipped; 0 forbids skipping it.
    pub weight_ratio_without_call: f64,
}

/// A tenant and its quota.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Quota in requests per second over the whole fleet.
    pub quota_per_second: f64,
}

/// The dependency that requests of this server call, and this server's share of it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum DependencyLimit {
    /// Requests call no dependency.
    #[default]
    NoDependency,
    /// All servers share one dependency.
    Shared {
        /// This server's quota of concurrent calls, as a mean over `averaging_window`. May be below
        /// 1.
        concurrency_quota: f64,
        /// Window over which the mean is taken.
        averaging_window: Micros,
    },
    /// The dependency is the next tier of servers, behind its own load balancer.
    NextTier,
}

/// How callers interpret the feedback value carried by responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FeedbackKind {
    /// Callers ignore the value.
    #[default]
    Unused,
    /// The lowest rank of the requests that callers send to this server.
    MinimumRank,
    /// Maximum number of requests that each caller has outstanding at this server.
    ConcurrencyAllowance,
    /// Probability with which a caller considers this server.
    Weight,
}

/// How a deployment allows a running request to be preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Preemption {
    /// A run is never preempted.
    #[default]
    Never,
    /// A run is stopped, and its work is lost.
    Discard,
    /// A run is suspended; the run of a request that has its response is removed.
    Suspend,
}

/// Configuration of a controller, fixed when it is created.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Request classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a share of its class's priority weight.
    pub over_quota_weight_ratio: f64,
    /// Whether the priority weight counts per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Whether callers mark retries as such.
    pub marks_retries: bool,
    /// Number of servers in the endpoint list at startup.
    pub servers: u32,
    /// Number of callers at startup.
    pub callers: u32,
    /// Number of cores of this server.
    pub cores: u32,
    /// Memory of this server, in kB.
    pub memory_kb: f64,
    /// Memory of one entry in the table of idempotency keys, in kB.
    pub key_entry_kb: f64,
    /// Memory of a running request, as a multiple of its memory while queued.
    pub running_memory_factor: f64,
    /// The dependency that requests call.
    pub dependency: DependencyLimit,
    /// Idle time after which callers close a connection; 0 where they never do.
    pub client_idle_timeout: Micros,
    /// Time for which the dependency may keep working on an abandoned call.
    pub abandoned_call_linger: Micros,
    /// Time for which the response to a read may be shared with other requests; 0 for never.
    pub shared_response_lifetime: Micros,
    /// How callers interpret the feedback value.
    pub feedback: FeedbackKind,
    /// The longest Retry-After that callers honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Whether callers notify the server of requests that they abandon, possibly late.
    pub reports_abandonment: bool,
    /// How a running request can be preempted.
    pub preemption: Preemption,
    /// Whether the callers' endpoint list follows the health checks.
    pub discovery_follows_health: bool,
    /// Whether the process has just started and has to warm up.
    pub cold_start: bool,
    /// Minimum speed of a cold server, as a share of its full speed.
    pub cold_start_speed: f64,
    /// Time after which a cold server has reached its full speed.
    pub warm_up_time: Micros,
    /// Time after its deadline within which a response may still be sent.
    pub response_slack: Micros,
    /// Time after the start of draining; requests that arrive later must not run.
    pub drain_grace: Micros,
    /// Running requests per core that a warm server sustains without failing.
    pub overload_concurrency_per_core: f64,
    /// Minimum time between two steps of the controller.
    pub tick: Micros,
}

/// A request as read from its connection.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Deadline after which the caller stops waiting, where known.
    pub respond_by: Option<Micros>,
    /// Id of the earlier request that this one repeats, or whose response it may share.
    pub duplicate_of: Option<RequestId>,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant; 0 where there are none.
    pub tenant: usize,
    /// Time between the arrival at the machine and the read.
    pub read_delay: Micros,
    /// Expected work on a standard core, where a hint was given.
    pub expected_work: Option<Micros>,
    /// Whether the request is known to be a retry or a hedged request.
    pub is_retry: bool,
    /// Whether the request writes.
    pub is_write: bool,
    /// Whether the request names a subject.
    pub has_subject: bool,
    /// Number of the caller.
    pub caller: u64,
    /// Rank by class and user, from 0 to 1.
    pub rank: f64,
    /// Memory while queued, in kB.
    pub memory_kb: f64,
    /// Whether the result is to be cached for later attempts, in the table that
    /// [`Event::IdempotencyTableUsage`] reports on.
    pub caches_result: bool,
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Completed successfully.
    Success,
    /// Failed and may have taken effect.
    Failure,
    /// Rejected without being processed.
    Overloaded,
    /// Abandoned after its timeout; may have taken effect.
    TimedOut,
    /// The dependency could not be reached.
    Unreachable,
    /// Interrupted; may have taken effect.
    Interrupted,
    /// Stopped, or no longer waited for.
    Cancelled,
    /// Never started.
    NotStarted,
}

/// Gauges of the server, where it has them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Number of tasks that are running or ready to run.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
}

/// An event that the controller is notified of.
#[derive(Debug, Clone)]
pub enum Event {
    /// The process has started. This is the first event of every controller.
    Started,
    /// A request was read and is queued.
    Arrived(Request),
    /// The caller no longer waits for this request.
    Abandoned(RequestId),
    /// A running request waits for its call to the dependency.
    CallRequested(RequestId),
    /// A call ended.
    CallEnded {
        /// Id of the request that made the call.
        id: RequestId,
        /// Outcome of the call.
        outcome: Outcome,
        /// Time since the call was made.
        elapsed: Micros,
    },
    /// A run, or the sharing of a response, ended.
    RunEnded {
        /// Id of the request.
        id: RequestId,
        /// Outcome of the run.
        outcome: Outcome,
        /// Time since the run was started.
        elapsed: Micros,
    },
    /// A timer expired.
    TimerExpired {
        /// Token that the timer was set with.
        token: u64,
        /// Current gauges.
        gauges: Gauges,
    },
    /// The server has to drain and shut down.
    DrainStarted {
        /// Time at which the process is stopped.
        stop_at: Micros,
    },
    /// The process will be stopped, and a successor on the same machine has taken over. Callers are
    /// not affected.
    Replaced {
        /// Time at which the process is stopped.
        stop_at: Micros,
    },
    /// Resource usage of the predecessor of this process, which is still draining.
    PredecessorUsage {
        /// Number of the predecessor's requests that occupy a core.
        running: usize,
        /// Memory reserved for the predecessor's requests, in kB.
        memory_kb: f64,
        /// Number of the predecessor's calls in flight to the dependency.
        calls: usize,
    },
    /// Usage of the table of cached results.
    IdempotencyTableUsage {
        /// Number of entries, each of which takes memory.
        entries: usize,
        /// Whether the table takes further entries. Without capacity, no request whose result is to
        /// be cached may be admitted.
        has_capacity: bool,
    },
}

/// An action that the caller of the controller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Run(RequestId),
    /// Reject a request. This is its final response, and guarantees that it never ran.
    Reject {
        /// Id of the request.
        id: RequestId,
        /// Time for which the caller should avoid this server; 0 where it need not.
        retry_after: Micros,
        /// Whether the caller should not retry on another server either.
        no_failover: bool,
    },
    /// Fail a request. This is its final response; the request may have run.
    Fail(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// Id of the request.
        id: RequestId,
        /// Time after which the call is abandoned.
        timeout: Micros,
    },
    /// Continue a request without its call.
    SkipCall(RequestId),
    /// Preempt the run of a request that has its response.
    Preempt(RequestId),
    /// Respond to a queued request with the outcome of the request that it repeats.
    ShareResponse(RequestId),
    /// Insert a request into the table of keys.
    InsertKey {
        /// Id of the request.
        id: RequestId,
        /// Time from now until the entry expires.
        lifetime: Micros,
    },
    /// Remove a request from the table of keys.
    RemoveKey(RequestId),
    /// Set a timer.
    SetTimer {
        /// Time at which the timer expires.
        at: Micros,
        /// Token that [`Event::TimerExpired`] returns.
        token: u64,
    },
    /// Set the feedback value that responses carry from now on.
    SetFeedback(f64),
    /// From now on, close connections that have been idle for this time.
    CloseIdleConnections(Micros),
    /// Set the response to health checks from now on.
    SetHealth {
        /// Whether the server is healthy.
        healthy: bool,
        /// Whether health checks get this state without doing any work.
        from_state: bool,
    },
}
