//! The types exchanged between the controller and its caller: settings, events and actions. No
//! decisions are made here.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies one attempt of a request. Every retry has an id of its own.
pub type RequestId = u64;

/// What repeating a run does to the outside world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// Its caller may repeat it within the deduplication window, and it must not run twice on one
    /// server.
    Deduplicated,
    /// It must not be repeated once it may have run.
    AtMostOnce,
}

/// One class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// What repeating a run does.
    pub effect: Effect,
    /// A response within this time of the client's first attempt earns the full weight.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's expected work.
    pub latency_objective_stretch: f64,
    /// How long a client waits, over all its attempts.
    pub client_timeout: Micros,
    /// Share of the priority weight that a response earns after the latency objective.
    pub late_weight_ratio: f64,
    /// Priority weight of one request, or of one unit of its work.
    pub priority_weight: f64,
    /// How long after its arrival a request with an idempotency key may be repeated.
    pub deduplication_window: Micros,
    /// Its requests may call the dependency.
    pub calls_dependency: bool,
    /// Share of the priority weight that remains when the call is left out; 0 forbids leaving it
    /// out.
    pub weight_ratio_without_call: f64,
}

/// One tenant and its quota.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Requests per second, over the whole fleet.
    pub quota_per_second: f64,
}

/// What the requests of this server call, and how much of it this server may use.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum DependencyLimit {
    /// There is no dependency.
    #[default]
    NoDependency,
    /// One dependency is shared by all servers.
    Shared {
        /// This server's quota of concurrent calls, as a mean over `averaging_window`; it may be
        /// below one.
        concurrency_quota: f64,
        /// The time over which the mean is taken.
        averaging_window: Micros,
    },
    /// The next tier of servers, behind a load balancer of its own.
    NextTier,
}

/// How callers interpret the feedback value that responses carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FeedbackKind {
    /// They ignore it.
    #[default]
    Unused,
    /// They send no requests of a lower rank.
    MinimumRank,
    /// Each caller keeps at most this many requests outstanding here.
    ConcurrencyAllowance,
    /// The probability with which a caller considers this server.
    Weight,
}

/// What a deployment allows to be done to a running request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Preemption {
    /// It always runs to its end.
    #[default]
    Never,
    /// It is stopped, and its work is lost.
    Discard,
    /// It is suspended; a request that has its response is removed.
    Suspend,
}

/// The configuration of a controller, fixed at its start.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a share of its class's priority weight.
    pub over_quota_weight_ratio: f64,
    /// The priority weight counts per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Retries are marked as such.
    pub marks_retries: bool,
    /// Servers in the endpoint list at the start.
    pub servers: u32,
    /// Callers at the start.
    pub callers: u32,
    /// Cores of this server.
    pub cores: u32,
    /// Memory of this server.
    pub memory_kb: f64,
    /// Memory of one entry in the table of idempotency keys.
    pub key_entry_kb: f64,
    /// Memory of a running request, as a multiple of its memory while queued.
    pub running_memory_factor: f64,
    /// What requests call.
    pub dependency: DependencyLimit,
    /// Callers close connections that were idle for this time; 0 where they do not.
    pub client_idle_timeout: Micros,
    /// How long the dependency may still work on an abandoned call.
    pub abandoned_call_linger: Micros,
    /// How long the response of a read may be shared with other requests; 0 for never.
    pub shared_response_lifetime: Micros,
    /// How callers interpret the feedback value.
    pub feedback: FeedbackKind,
    /// The longest Retry-After that callers honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Callers notify the server of requests that they abandon, possibly late.
    pub reports_abandonment: bool,
    /// How a running request can be preempted.
    pub preemption: Preemption,
    /// The callers' endpoint list follows the health checks.
    pub discovery_follows_health: bool,
    /// The process has only just started and has to warm up.
    pub cold_start: bool,
    /// Share of its full speed that a cold server has at least.
    pub cold_start_speed: f64,
    /// A cold server has its full speed after this time.
    pub warm_up_time: Micros,
    /// How long after its deadline a response may still be sent.
    pub response_slack: Micros,
    /// Requests that arrive later than this after the start of draining must not run.
    pub drain_grace: Micros,
    /// Running requests per core that a warm server survives.
    pub overload_concurrency_per_core: f64,
    /// The shortest time between two steps of the controller.
    pub tick: Micros,
}

/// A request as it was read.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// When its caller stops waiting, where that is known.
    pub respond_by: Option<Micros>,
    /// The earlier request that it repeats, or whose response it may share.
    pub duplicate_of: Option<RequestId>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; 0 where there are none.
    pub tenant: usize,
    /// How long before it was read it reached the machine.
    pub read_delay: Micros,
    /// Expected work on a standard core, where a hint was given.
    pub expected_work: Option<Micros>,
    /// Known to be a retry or a hedged request.
    pub is_retry: bool,
    /// It writes.
    pub is_write: bool,
    /// It names a subject.
    pub has_subject: bool,
    /// The caller's number.
    pub caller: u64,
    /// Rank from 0 to 1 by class and user.
    pub rank: f64,
    /// Memory while queued.
    pub memory_kb: f64,
    /// Its result is to be cached for its repeats, in the table that
    /// [`Event::IdempotencyTableUsage`] reports on.
    pub caches_result: bool,
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Success,
    /// It failed and may have taken effect.
    Failure,
    /// It was rejected without being processed.
    Overloaded,
    /// It was abandoned and may have taken effect.
    TimedOut,
    /// The dependency could not be reached.
    Unreachable,
    /// It was interrupted and may have taken effect.
    Interrupted,
    /// It was stopped, or nobody waited for it any longer.
    Cancelled,
    /// Nothing was started.
    NotStarted,
}

/// The server's own gauges, where it has them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Tasks that demand a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
}

/// What the controller is notified of.
#[derive(Debug, Clone)]
pub enum Event {
    /// The process has started; the first event of every controller.
    Started,
    /// A request was read and is queued.
    Arrived(Request),
    /// Nobody waits for this request any longer.
    Abandoned(RequestId),
    /// A running request waits for its call to the dependency.
    CallRequested(RequestId),
    /// A call ended.
    CallEnded {
        /// The request that called.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        elapsed: Micros,
    },
    /// A run, or the sharing of a response, ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was started.
        elapsed: Micros,
    },
    /// A timer expired.
    TimerExpired {
        /// The token that it was set with.
        token: u64,
        /// The gauges at this moment.
        gauges: Gauges,
    },
    /// The server has to drain and shut down.
    DrainStarted {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// The process will be stopped, and a successor on the same machine has taken over: callers are
    /// not affected.
    Replaced {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// What the predecessor of this process, which is still draining, uses of the machine.
    PredecessorUsage {
        /// Its requests on the cores.
        running: usize,
        /// Memory reserved for its requests.
        memory_kb: f64,
        /// Its calls in flight to the dependency.
        calls: usize,
    },
    /// How full the table of cached results is.
    IdempotencyTableUsage {
        /// Its entries, each of which takes memory.
        entries: usize,
        /// It takes more entries: without capacity no request may be admitted whose result is to be
        /// cached.
        has_capacity: bool,
    },
}

/// What the controller wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Run(RequestId),
    /// Reject a request: final, and a promise that it never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// The caller should avoid this server for so long; 0 where it need not.
        retry_after: Micros,
        /// The caller should not retry on another server either.
        no_failover: bool,
    },
    /// Fail a request: final, without a promise.
    Fail(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Abandon the call after this time.
        timeout: Micros,
    },
    /// Continue a request without its call.
    SkipCall(RequestId),
    /// Preempt the run of a request that has its response.
    Preempt(RequestId),
    /// Respond to a queued request with the outcome of the one that it repeats.
    ShareResponse(RequestId),
    /// Insert a request into the table of keys.
    InsertKey {
        /// The request.
        id: RequestId,
        /// For how long from now.
        lifetime: Micros,
    },
    /// Remove a request from the table of keys.
    RemoveKey(RequestId),
    /// Set a timer.
    SetTimer {
        /// When it expires.
        at: Micros,
        /// Returned with [`Event::TimerExpired`].
        token: u64,
    },
    /// Set the feedback value that responses carry from now on.
    SetFeedback(f64),
    /// Close connections that were idle for this time, from now on.
    CloseIdleConnections(Micros),
    /// Set the response to health checks from now on.
    SetHealth {
        /// Whether the server is healthy.
        healthy: bool,
        /// Health checks are answered from this setting alone.
        from_state: bool,
    },
}
