//! One controller's quota of the state service's limits: the current quota, the announced lower one, and
//! whether that one is in force yet. The service does not say when lower limits take effect; refused
//! transactions show it.

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

/// Number of refusals within [`REFUSAL_WINDOW`] that shows that the lower limits are in force. A single
/// refusal may come from simultaneous bursts of several controllers.
const REFUSALS_BEFORE_LOWERING: usize = 3;
const REFUSAL_WINDOW: Duration = Duration::from_secs(10);

/// Which quota is in force. It is lowered at most once and never raised again.
#[derive(Debug)]
pub(crate) struct QuotaState {
    current: ServiceQuota,
    announced: ServiceQuota,
    lowered: bool,
    /// Times at which the service refused a transaction, oldest first, within [`REFUSAL_WINDOW`].
    refusals: VecDeque<Instant>,
}

impl QuotaState {
    /// Starts with the `current` quota; `announced` is the one to lower it to.
    pub(crate) fn new(current: ServiceQuota, announced: ServiceQuota) -> Self {
        Self {
            current,
            announced,
            lowered: false,
            refusals: VecDeque::new(),
        }
    }

    /// The quota that is in force as far as this client knows.
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

    /// Lowers the quota to the announced one. Returns the new quota, or `None` if nothing changes because
    /// the announced quota is not lower or is in force already.
    pub(crate) fn lower(&mut self) -> Option<ServiceQuota> {
        if self.lowered || !self.announced.is_lower_than(&self.current) {
            return None;
        }
        self.lowered = true;
        Some(self.announced)
    }

    /// Records a refusal at `now`. Returns whether the recent refusals show that the lower limits are in
    /// force.
    pub(crate) fn record_refusal(&mut self, now: Instant) -> bool {
        self.refusals.push_back(now);
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > REFUSAL_WINDOW;
        while self.refusals.front().is_some_and(is_old) {
            self.refusals.pop_front();
        }
        self.refusals.len() >= REFUSALS_BEFORE_LOWERING
    }
}
