//! One controller's quota of the state service's limits: the one that holds now, the lower one that was
//! announced, and whether that one holds by now. Nobody says when it begins to: refusals show it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// One controller's share of the state service's limits.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQuota {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Puts and deletes a second.
    pub writes_per_s: f64,
}

impl ServiceQuota {
    fn is_lower_than(&self, other: &ServiceQuota) -> bool {
        self.writes_per_s < other.writes_per_s || self.requests_per_s < other.requests_per_s
    }
}

/// Refusals within [`REFUSAL_WINDOW`] that show the lower limits: a single one may be a burst of several
/// controllers at once, so many are none.
const REFUSALS_OF_LOWER_QUOTA: usize = 3;
const REFUSAL_WINDOW: Duration = Duration::from_secs(10);

/// Which quota holds. It is lowered once and never raised again.
#[derive(Debug)]
pub(crate) struct QuotaState {
    current: ServiceQuota,
    announced: ServiceQuota,
    lowered: bool,
    /// When the service refused a transaction, in order, none older than the window.
    refusals: VecDeque<Instant>,
}

impl QuotaState {
    /// The `current` quota holds until the lower `announced` one is seen to.
    pub(crate) fn new(current: ServiceQuota, announced: ServiceQuota) -> Self {
        Self {
            current,
            announced,
            lowered: false,
            refusals: VecDeque::new(),
        }
    }

    /// The quota that holds, as far as is known by now.
    pub(crate) fn quota(&self) -> ServiceQuota {
        if self.lowered {
            self.announced
        } else {
            self.current
        }
    }

    pub(crate) fn is_lowered(&self) -> bool {
        self.lowered
    }

    /// Lowers the quota to the announced one. Returns it if that changes anything: it is lower, and did
    /// not hold yet.
    pub(crate) fn lower(&mut self) -> Option<ServiceQuota> {
        if self.lowered || !self.announced.is_lower_than(&self.current) {
            return None;
        }
        self.lowered = true;
        Some(self.announced)
    }

    /// Records a refusal at `now`. Returns whether the recent ones show that the lower limits hold.
    pub(crate) fn record_refusal(&mut self, now: Instant) -> bool {
        self.refusals.push_back(now);
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > REFUSAL_WINDOW;
        while self.refusals.front().is_some_and(is_old) {
            self.refusals.pop_front();
        }
        self.refusals.len() >= REFUSALS_OF_LOWER_QUOTA
    }
}
