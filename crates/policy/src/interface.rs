//! The types between the controller and whatever drives it: settings, events, actions. No decisions here.

/// Clock time and durations, in microseconds.
pub type Micros = u64;

/// A request's id. Further tries of the same request bear new ids.
pub type RequestId = u64;

/// What running a request may do to the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Safe to run any number of times.
    Safe,
    /// May be repeated by its caller within the window, and must not run twice on one server.
    Keyed,
    /// Must not be repeated once it may have run.
    Unsafe,
}

/// One class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// What repeating a run would do.
    pub effect: Effect,
    /// An answer within this time of the client's first try earns the full worth.
    pub aim: Micros,
    /// The aim is longer by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// Share of the worth earned by an answer after the aim.
    pub late_worth: f64,
    /// Worth of one request, or of one unit of work.
    pub worth: f64,
    /// How long after its arrival a keyed request may come again.
    pub window: Micros,
    /// Its requests may call below.
    pub calls: bool,
    /// Share of the worth kept when a call is left out; 0 forbids leaving it out.
    pub skip_worth: f64,
}

/// One tenant and what it is entitled to.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Requests a second of the whole fleet that are its share.
    pub quota_per_s: f64,
}

/// What the requests of this server call.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Below {
    /// Nothing.
    #[default]
    Nothing,
    /// One dependency of all servers.
    Shared {
        /// This server's share of the calls in hand, as a mean over `span`; it may be below one.
        share: f64,
        /// The time the mean is taken over.
        span: Micros,
    },
    /// The next tier, behind a balancer of its own.
    Tier,
}

/// How callers read the advertised value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Advert {
    /// They don't.
    #[default]
    Unused,
    /// They send nothing of lower rank.
    Floor,
    /// Each caller keeps at most this many requests outstanding here.
    Allowance,
    /// The chance that a caller does not pass this server by.
    Weight,
}

/// What a deployment lets be done to running work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Halt {
    /// Nothing.
    #[default]
    Never,
    /// It is stopped, and what was done is lost.
    Discard,
    /// It is paused; that of a request which is over is gone.
    Freeze,
}

/// All that a controller is told at its start.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The classes; events name them by index.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Worth is counted for each unit of work and not for each request.
    pub worth_by_work: bool,
    /// Further tries are marked as such.
    pub marks_retry: bool,
    /// Servers in the callers' list at the start.
    pub servers: u32,
    /// Callers at the start.
    pub callers: u32,
    /// This server's cores.
    pub cores: u32,
    /// This server's memory.
    pub memory_kb: f64,
    /// Memory of one entry in the table of keys.
    pub entry_kb: f64,
    /// Memory of a running request relative to a held one.
    pub run_factor: f64,
    /// What requests call.
    pub below: Below,
    /// Callers close connections that carried nothing for this time; 0 where they don't.
    pub idle: Micros,
    /// How long an abandoned call may stay in the hands of what lies below.
    pub linger: Micros,
    /// How long a read's answer may serve others; 0 for never.
    pub fresh: Micros,
    /// How the advertised value is read.
    pub advert: Advert,
    /// The longest advice to stay away that is honoured; 0 where none is.
    pub max_avoid: Micros,
    /// Callers tell where they no longer wait, perhaps late.
    pub tells_gone: bool,
    /// How running work is stopped.
    pub halt: Halt,
    /// The callers' list follows health.
    pub list_follows_health: bool,
    /// This process was started only now, and is cold.
    pub cold_start: bool,
    /// Share of its full speed that a cold server has at least.
    pub cold_speed: f64,
    /// A cold server is warm after this time.
    pub warm_after: Micros,
    /// An answer may be this much later than the due time.
    pub answer_slack: Micros,
    /// What arrives later than this after the notice to leave must not run.
    pub drain_grace: Micros,
    /// A warm server survives this many requests on each core.
    pub crowd: f64,
    /// The smallest time between two rounds of events.
    pub tick: Micros,
}

/// A request as it was read.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// When its caller stops waiting, where that is known.
    pub due: Option<Micros>,
    /// The kept request that it repeats, or whose answer it may share.
    pub prior: Option<RequestId>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; 0 where there are none.
    pub tenant: usize,
    /// How long ago it reached the machine.
    pub waited: Micros,
    /// Expected work on a standard core, where a hint was given.
    pub work: Option<Micros>,
    /// Known to be a further try or a second copy.
    pub retry: bool,
    /// It writes.
    pub write: bool,
    /// It names a subject.
    pub has_subject: bool,
    /// The caller's number.
    pub caller: u64,
    /// Position from 0 to 1 by class and user.
    pub rank: f64,
    /// Memory while held.
    pub memory_kb: f64,
    /// Its result is to be kept for its repeats, in a table that is told of by [`Event::Kept`].
    pub keep: bool,
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Success,
    /// It failed and may have taken effect.
    Failure,
    /// It was rejected unseen.
    Overloaded,
    /// It was abandoned and may have taken effect.
    TimedOut,
    /// What lies below could not be reached.
    Unreachable,
    /// It was interrupted and may have taken effect.
    Broken,
    /// It was stopped, or nobody waited any longer.
    Withdrawn,
    /// Nothing was started.
    Void,
}

/// The server's own gauges, where it has them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Work that demands a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
}

/// What the controller hears.
#[derive(Debug, Clone)]
pub enum Event {
    /// The process has started; the first event of a life.
    Started,
    /// A request was read and is held.
    Arrived(Request),
    /// Nobody waits for this request any longer.
    Gone(RequestId),
    /// A running request stands at a call.
    CallNeeded(RequestId),
    /// A call ended.
    CallEnded {
        /// The request that called.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        elapsed: Micros,
    },
    /// A run, or the sharing of an answer, ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was started.
        elapsed: Micros,
    },
    /// A timer fell due.
    Timer {
        /// The token it was set with.
        token: u64,
        /// The gauges of this moment.
        gauges: Gauges,
    },
    /// The server is to leave.
    Drain {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// The process is to be stopped, and another on the same machine has taken its place: callers come to no harm.
    Succeeded {
        /// When the process is stopped.
        stop_at: Micros,
    },
    /// What another process, which this one takes the place of, still has of the machine.
    Beside {
        /// Its requests on the cores.
        running: usize,
        /// Memory booked for its requests.
        memory_kb: f64,
        /// Its calls in the hands of what lies below.
        calls: usize,
    },
    /// How the table of kept results stands.
    Kept {
        /// Its entries, each of which takes memory.
        entries: usize,
        /// It takes more: without room nothing that is to be kept may be admitted.
        room: bool,
    },
}

/// What the controller wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a held request.
    Run(RequestId),
    /// Turn a request away: final, and a promise that it never ran.
    Refuse {
        /// The request.
        id: RequestId,
        /// The caller should avoid this server for so long; 0 gives no advice.
        avoid_for: Micros,
        /// The caller should not try elsewhere.
        last: bool,
    },
    /// Fail a request: final, with no promise.
    Fail(RequestId),
    /// Make the call that a request stands at.
    Call {
        /// The request.
        id: RequestId,
        /// Abandon the call after this time.
        timeout: Micros,
    },
    /// Go on without the call.
    SkipCall(RequestId),
    /// Stop the run of a request that is over.
    Halt(RequestId),
    /// Answer a held request with the outcome of the one it repeats.
    Share(RequestId),
    /// Enter a request in the table of keys.
    Remember {
        /// The request.
        id: RequestId,
        /// For how long from now.
        lifetime: Micros,
    },
    /// Remove a request's entry from the table of keys.
    Forget(RequestId),
    /// Wake the controller.
    Timer {
        /// When.
        at: Micros,
        /// Told back with the event.
        token: u64,
    },
    /// Set the value that answers carry from now on.
    Advertise(f64),
    /// Close connections that carried nothing for this time, from now on.
    CloseIdle(Micros),
    /// Set the answer to health checks from now on.
    Health {
        /// Whether it is good.
        good: bool,
        /// Checks are answered from this setting alone.
        from_state: bool,
    },
}
