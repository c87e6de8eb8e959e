//! Bugs that can be injected, to verify that the simulator finds them. Without the feature
//! `bug-injection` none can be, and the checks compile to nothing.

#[cfg(feature = "bug-injection")]
use std::cell::Cell;

/// A bug that can be injected; each is checked for in the one place where it takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// A rejection is sent twice.
    ResponseSentTwice,
    /// A connection's count of open requests does not fall with a rejection.
    ConnectionSlotLeaked,
    /// Deadlines are met a quarter of a second late.
    DeadlinesLate,
    /// Commands written to a lost connection are sent again on the next one.
    StartResent,
    /// The controller is not notified that draining has started.
    DrainIgnored,
    /// A sync is reported as done and is not.
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
    /// After a shortage of descriptors no connection is accepted any more.
    AcceptNotResumed,
    /// The process exits before every request has its response.
    ExitBeforeResponses,
    /// A queued request whose connection is lost keeps its entry.
    RequestLeaked,
    /// Commands that were not written to a lost connection are dropped.
    CommandQueueLost,
    /// A completed key is evicted inside its deduplication window.
    KeyEvictedInWindow,
    /// Silent callers of the management endpoint keep their connection slots.
    ManagementStarved,
    /// A listening socket passed by the predecessor is not used.
    PassedListenerDropped,
    /// A successor ignores its predecessor's usage of the machine.
    PredecessorUsageIgnored,
    /// Keys recovered from the store are dropped.
    RecoveredKeysDropped,
    /// A store of results that another process has open is opened anyway.
    LockIgnored,
    /// A process that has a successor exits without responding to what it read.
    PredecessorExitsEarly,
    /// A snapshot is accepted whatever its checksum.
    TornSnapshotAccepted,
    /// A caller with a reputation does not displace one without.
    UnknownAddressKept,
    /// An address's connection attempts are not counted.
    ConnectionRateUncounted,
    /// The prefix with most connections yields none to a lighter one.
    PrefixQuotaStuck,
    /// The spare descriptor kept for a shortage is not reserved again.
    SpareDescriptorLeaked,
    /// Reputation earned before a restart is not restored.
    ReputationLost,
    /// A process whose successor died reopens the store of results, whichever process owns it by then.
    StoreReopened,
}

impl InjectedBug {
    /// Bugs of connection admission, searched for by connection floods.
    pub const CONNECTION_ADMISSION: [Self; 5] = [
        Self::UnknownAddressKept,
        Self::ConnectionRateUncounted,
        Self::PrefixQuotaStuck,
        Self::SpareDescriptorLeaked,
        Self::ReputationLost,
    ];

    /// Bugs of chains of processes, searched for by overlapping hot restarts.
    pub const HOT_RESTART_CHAINS: [Self; 2] = [Self::StoreReopened, Self::LockIgnored];

    /// Bugs searched for by general random schedules: all that are in neither of the lists above.
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

/// Injects a bug on this thread, or removes it. Returns false where the feature is off.
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
