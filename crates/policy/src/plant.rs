//! Planted bugs, so that it can be seen whether seeds find them. Without the feature `planted` none can be planted, and
//! nothing of this is left in the program.

#[cfg(feature = "planted")]
use std::cell::Cell;

/// A bug that can be planted; each is asked for in the one place where it sits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bug {
    /// A refusal is sent twice.
    AnswerTwice,
    /// A connection's count of open requests does not fall with a refusal.
    PlaceLeaked,
    /// Due times are kept a quarter of a second late.
    DueLate,
    /// What was handed to a link that broke is sent again on the next one.
    StartRepeated,
    /// The notice to leave is not told to the controller.
    DrainForgotten,
    /// A sync is said to be done and is not.
    SyncSkipped,
    /// A keyed start goes out before its intent is durable.
    IntentSkipped,
    /// A result is told before it is durable.
    ResultEarly,
    /// The body of a keyed request is not looked at.
    BodyIgnored,
    /// A request that runs is turned away when it is due.
    RefusedAfterRun,
    /// A call that is given up keeps its connection.
    CallLeaked,
    /// After a want of descriptors nothing is accepted any more.
    AcceptForgotten,
    /// The matcher ends before all is answered.
    LeftEarly,
    /// A held request whose connection is lost keeps its entry.
    EntryLeaked,
    /// Commands that were not handed to a link that broke are forgotten.
    QueueLost,
    /// A key that has ended is dropped inside its window.
    EntryDropped,
    /// Silent callers at the operators' address keep their places.
    OperatorsStarved,
    /// A listening socket that was passed is not taken up.
    SocketDropped,
    /// A successor leaves no room for what its predecessor still has.
    ShareTwice,
    /// What a store held before is not taken up.
    ResultForgotten,
    /// A store of results that another process has open is opened all the same.
    LockIgnored,
    /// A process whose successor is there ends without answering what it read.
    SucceededEarly,
    /// A snapshot is believed whatever its checksum.
    TornBelieved,
    /// A known caller takes no stranger's place.
    StrangerStays,
    /// New connections of an address are not counted.
    RateUncounted,
    /// The heaviest prefix gives nothing to a lighter one.
    ShareStuck,
    /// The descriptor kept for a shortage is not given back.
    SpareLeaked,
    /// What was earned before a restart is not taken up.
    StandingForgotten,
    /// A process whose successor died takes the store of results again, whoever has the place by then.
    StoreReopened,
}

impl Bug {
    /// Those about places for connections, looked for among floods.
    pub const PLACES: [Self; 5] = [
        Self::StrangerStays,
        Self::RateUncounted,
        Self::ShareStuck,
        Self::SpareLeaked,
        Self::StandingForgotten,
    ];

    /// Those about chains of processes, looked for among upgrades that overlap.
    pub const CHAINS: [Self; 2] = [Self::StoreReopened, Self::LockIgnored];

    /// All others.
    pub const ALL: [Self; 22] = [
        Self::AnswerTwice,
        Self::PlaceLeaked,
        Self::DueLate,
        Self::StartRepeated,
        Self::DrainForgotten,
        Self::SyncSkipped,
        Self::IntentSkipped,
        Self::ResultEarly,
        Self::BodyIgnored,
        Self::RefusedAfterRun,
        Self::CallLeaked,
        Self::AcceptForgotten,
        Self::LeftEarly,
        Self::EntryLeaked,
        Self::QueueLost,
        Self::EntryDropped,
        Self::OperatorsStarved,
        Self::SocketDropped,
        Self::ShareTwice,
        Self::ResultForgotten,
        Self::SucceededEarly,
        Self::TornBelieved,
    ];
}

#[cfg(feature = "planted")]
thread_local! {
    static PLANTED: Cell<Option<Bug>> = const { Cell::new(None) };
}

/// Plants a bug on this thread, or takes it away; false where none can be planted.
pub fn plant(bug: Option<Bug>) -> bool {
    #[cfg(feature = "planted")]
    {
        PLANTED.set(bug);
        true
    }
    #[cfg(not(feature = "planted"))]
    {
        bug.is_none()
    }
}

/// Whether this bug is planted here.
#[inline(always)]
#[must_use]
pub fn planted(bug: Bug) -> bool {
    #[cfg(feature = "planted")]
    {
        PLANTED.get() == Some(bug)
    }
    #[cfg(not(feature = "planted"))]
    {
        let _ = bug;
        false
    }
}
