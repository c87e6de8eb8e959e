//! Bugs that can be injected to verify that the simulator finds them. Without the feature
//! `bug-injection` no bug can be injected, and the checks compile to nothing.

#[cfg(feature = "bug-injection")]
use std::cell::Cell;

/// A bug that can be injected. Each is checked for in the single place where it takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A rejection is sent twice.
    ResponseSentTwice,
    /// A rejection does not decrement its connection's count of open requests.
    ConnectionSlotLeaked,
    /// Responses at the deadline are sent 250 ms late.
    DeadlinesLate,
    /// Commands written to a lost connection are sent again on the next one.
    StartResent,
    /// The controller is not notified that draining has started.
    DrainIgnored,
    /// A sync is reported as completed but is not executed.
    SyncSkipped,
    /// A request with an idempotency key is started before its intent is durable.
    IntentSkipped,
    /// A response is sent before its result is durable.
    ResponseBeforeDurable,
    /// The body of a request with an idempotency key is not compared.
    BodyIgnored,
    /// A running request is rejected at its deadline.
    RejectedAfterRun,
    /// An abandoned call keeps its connection.
    CallConnectionLeaked,
    /// After a shortage of file descriptors, no further connection is accepted.
    AcceptNotResumed,
    /// The process exits before every request has its response.
    ExitBeforeResponses,
    /// A queued request whose connection is lost keeps its entry.
    RequestLeaked,
    /// Commands not yet written when a connection is lost are dropped.
    CommandQueueLost,
    /// A completed key is evicted inside its deduplication window.
    KeyEvictedInWindow,
    /// Callers of the management endpoint that send nothing keep their connection slots.
    ManagementStarved,
    /// A listening socket passed by the predecessor is not used.
    PassedListenerDropped,
    /// A successor ignores the resource usage of its predecessor.
    PredecessorUsageIgnored,
    /// Keys recovered from the store are dropped.
    RecoveredKeysDropped,
    /// A result store that another process has open is opened anyway.
    LockIgnored,
    /// A process that has a successor exits without responding to requests that it has read.
    PredecessorExitsEarly,
    /// A snapshot is accepted whatever its checksum.
    TornSnapshotAccepted,
    /// A connection from an address with a reputation does not displace one from an unknown
    /// address.
    UnknownAddressKept,
    /// An address's connection attempts are not counted.
    ConnectionRateUncounted,
    /// No connection of the prefix with the most connections is closed in favour of another prefix.
    PrefixQuotaStuck,
    /// The spare descriptor kept for descriptor shortages is not reserved again after its use.
    SpareDescriptorLeaked,
    /// Reputation earned before a restart is not restored.
    ReputationLost,
    /// A process whose successor died reopens the result store even if another process owns it by
    /// then.
    StoreReopened,
}

impl InjectedBug {
    /// Bugs in connection admission, searched for by connection floods.
    pub const CONNECTION_ADMISSION: [Self; 5] = [
        Self::UnknownAddressKept,
        Self::ConnectionRateUncounted,
        Self::PrefixQuotaStuck,
        Self::SpareDescriptorLeaked,
        Self::ReputationLost,
    ];

    /// Bugs in chains of processes, searched for by overlapping hot restarts.
    pub const HOT_RESTART_CHAINS: [Self; 2] = [Self::StoreReopened, Self::LockIgnored];

    /// All other bugs, searched for by the simulator's general schedules.
    pub const GENERAL: [Self; 22] = [
        Self::ResponseSentTwice,
        Self::ConnectionSlotLeaked,
        Self::DeadlinesLate,
        Self::StartResent,
        Self::DrainIgnored,
        Self::SyncSkipped,
        Self::IntentSkipped,
        Self::ResponseBeforeDurable,
        Self::BodyIgnored,
        Self::RejectedAfterRun,
        Self::CallConnectionLeaked,
        Self::AcceptNotResumed,
        Self::ExitBeforeResponses,
        Self::RequestLeaked,
        Self::CommandQueueLost,
        Self::KeyEvictedInWindow,
        Self::ManagementStarved,
        Self::PassedListenerDropped,
        Self::PredecessorUsageIgnored,
        Self::RecoveredKeysDropped,
        Self::PredecessorExitsEarly,
        Self::TornSnapshotAccepted,
    ];
}

#[cfg(feature = "bug-injection")]
thread_local! {
    static INJECTED: Cell<Option<InjectedBug>> = const { Cell::new(None) };
}

/// Injects a bug on this thread, or removes the injected one. Without the feature no bug can be
/// injected, and false is returned for any.
pub fn inject_bug(bug: Option<InjectedBug>) -> bool {
    #[cfg(feature = "bug-injection")]
    {
        INJECTED.set(bug);
        true
    }
    #[cfg(not(feature = "bug-injection"))]
    {
        bug.is_none()
    }
}

/// Returns whether this bug is injected on this thread.
#[inline(always)]
#[must_use]
pub fn is_bug_injected(bug: InjectedBug) -> bool {
    #[cfg(feature = "bug-injection")]
    {
        INJECTED.get() == Some(bug)
    }
    #[cfg(not(feature = "bug-injection"))]
    {
        let _ = bug;
        false
    }
}
