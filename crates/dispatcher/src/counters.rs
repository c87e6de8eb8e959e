//! Counters of responses by class. All responses are counted here only; every process starts from
//! 0.

use crate::response::Response;

/// The counters of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Number of requests served.
    pub served: u64,
    /// Number of requests rejected.
    pub rejected: u64,
    /// Number of requests that failed, including expired and invalid ones.
    pub failed: u64,
    /// Number of requests whose deadline passed before any other response.
    pub expired: u64,
    /// Number of invalid requests.
    pub invalid: u64,
    /// Number of runs sent to the runtime. A run sent again after a lost connection counts once.
    pub forwarded: u64,
}

impl ClassCounters {
    /// Returns the number of failures that another server might have avoided: those of requests
    /// that neither expired nor were invalid.
    #[must_use]
    pub fn server_failures(&self) -> u64 {
        self.failed - self.expired - self.invalid
    }
}

impl std::ops::AddAssign for ClassCounters {
    fn add_assign(&mut self, other: Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.expired += other.expired;
        self.invalid += other.invalid;
        self.forwarded += other.forwarded;
    }
}

/// The counters of all classes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counters {
    classes: Vec<ClassCounters>,
}

impl Counters {
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            classes: vec![ClassCounters::default(); class_count],
        }
    }

    /// Returns the counters by class index.
    #[must_use]
    pub fn classes(&self) -> &[ClassCounters] {
        &self.classes
    }

    /// Returns the sum over all classes.
    #[must_use]
    pub fn total(&self) -> ClassCounters {
        let mut total = ClassCounters::default();
        for class in &self.classes {
            total += *class;
        }
        total
    }

    pub(crate) fn on_response(&mut self, class: usize, response: &Response) {
        let Some(counters) = self.classes.get_mut(class) else {
            return;
        };
        match response {
            Response::Served(_) | Response::Direct { .. } => counters.served += 1,
            Response::Rejected { .. } => counters.rejected += 1,
            Response::Failed => counters.failed += 1,
            Response::Expired => {
                counters.failed += 1;
                counters.expired += 1;
            }
            Response::Invalid(_) => {
                counters.failed += 1;
                counters.invalid += 1;
            }
        }
    }

    pub(crate) fn on_forwarded(&mut self, class: usize) {
        if let Some(counters) = self.classes.get_mut(class) {
            counters.forwarded += 1;
        }
    }
}
