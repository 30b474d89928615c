//! Figures that follow from the settings: shares of the state service's limits, leases and timeouts, and the
//! sizes of pages.

use super::{NextLimits, Settings, StateParams};
use crate::jobs::pages::PageLayout;
use rowanmill_state::ServiceQuota;
use std::time::Duration;

const BYTES_PER_KIB: f64 = 1024.0;

/// Part of a worker's lease that a presence lease lasts, and its bounds in seconds.
const PRESENCE_LEASE_PART: f64 = 0.25;
const PRESENCE_TTL_MIN_S: f64 = 2.0;
const PRESENCE_TTL_MAX_S: f64 = 5.0;

/// Part by which clocks may run apart, allowed for once on a worker's lease and twice on `cancel_s`.
const CLOCK_DRIFT: f64 = 0.001;
/// Seconds kept for what passes between the end of a lease and the end of its tasks.
const LEASE_END_MARGIN_S: f64 = 2.0;

/// Shortest and longest time that one request of the watch may wait for changes.
const WATCH_TIMEOUT_MIN: Duration = Duration::from_millis(100);
const WATCH_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Fewest and most tasks of a page.
const PAGE_TASKS_MIN: usize = 8;
const PAGE_TASKS_MAX: usize = 512;
/// Bytes of a placed task in a plain page, `[attempt,"machine",incarnation]`: enough for long names.
const PLAIN_TASK_BYTES: usize = 48;
/// Bytes of a task in a compact page, where the names of machines are the most.
const COMPACT_TASK_BYTES: usize = 16;

impl StateParams {
    /// The most changes of a transaction that hold now and later.
    fn min_transaction_operations(&self) -> usize {
        let next = self.next().txn_ops.unwrap_or(self.txn_ops);
        self.txn_ops.min(next)
    }

    /// Bytes of a value that hold now alone.
    fn current_value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KIB) as usize
    }
}

impl Settings {
    /// This controller's share of the state service's limits of now.
    pub fn state_quota(&self) -> ServiceQuota {
        let controllers = f64::from(self.params.size);
        ServiceQuota {
            requests_per_s: self.params.state.rps / controllers,
            writes_per_s: self.params.state.write_rps / controllers,
        }
    }

    /// This controller's share once the announced limits hold, where they are lower.
    pub fn announced_state_quota(&self) -> ServiceQuota {
        let controllers = f64::from(self.params.size);
        let lower = |share: f64, announced: Option<f64>| {
            announced.map_or(share, |limit| share.min(limit / controllers))
        };
        let current = self.state_quota();
        let NextLimits { rps, write_rps, .. } = self.params.state.next();
        ServiceQuota {
            requests_per_s: lower(current.requests_per_s, rps),
            writes_per_s: lower(current.writes_per_s, write_rps),
        }
    }

    /// The most bytes of a new value: the lower of the limits of now and of later, which may hold from any
    /// moment on.
    pub fn max_value_bytes(&self) -> usize {
        let state = &self.params.state;
        let next = state.next().value_kb.unwrap_or(state.value_kb);
        (state.value_kb.min(next) * BYTES_PER_KIB) as usize
    }

    /// The most changes of a transaction, likewise.
    pub fn max_transaction_operations(&self) -> usize {
        self.params.state.min_transaction_operations()
    }

    /// The names of all controllers of the site, whether they run or not.
    pub fn member_names(&self) -> Vec<&str> {
        let peers = self.peers.iter().map(|peer| peer.member.as_str());
        peers.chain([self.member.as_str()]).collect()
    }

    /// How long a worker goes on without an answer to its heartbeats.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.lease_s)
    }

    /// How often a worker sends a heartbeat.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.report_s)
    }

    /// The length of a controller's presence lease: short enough that a takeover ends within a worker's
    /// lease.
    pub fn presence_ttl(&self) -> Duration {
        let ttl_s = self.params.workers.lease_s * PRESENCE_LEASE_PART;
        Duration::from_secs_f64(ttl_s.clamp(PRESENCE_TTL_MIN_S, PRESENCE_TTL_MAX_S))
    }

    /// How long a controller may renew workers after its last proof of contact with the state service. Past
    /// this, a cancellation that it never learned of could outlive `cancel_s` on a machine that it keeps
    /// alive. The margin is for what passes between the end of a lease and the end of its tasks, and for
    /// clocks that run apart; where `cancel_s` is hardly above `lease_s` it takes a third of what lies
    /// between, and where it is not above it no lease may be renewed without a new read.
    pub fn disconnected_lease_limit(&self) -> Duration {
        let workers = &self.params.workers;
        let cancel_s = workers.cancel_s * (1.0 - 2.0 * CLOCK_DRIFT);
        let lease_s = workers.lease_s * (1.0 + CLOCK_DRIFT);
        let spare_s = cancel_s - lease_s - self.params.skew_ms / 1000.0;
        let margin_s = (spare_s / 3.0).min(LEASE_END_MARGIN_S);
        Duration::from_secs_f64((spare_s - margin_s).max(0.0))
    }

    /// How long one request of the watch may wait for changes: a third of what workers may be answered by,
    /// so that the proof of contact that it gives is never much older.
    pub fn watch_timeout(&self) -> Duration {
        (self.disconnected_lease_limit() / 3).clamp(WATCH_TIMEOUT_MIN, WATCH_TIMEOUT_MAX)
    }

    /// How jobs are divided into progress pages. All controllers of a site, and all versions, must agree.
    pub fn page_layout(&self) -> PageLayout {
        let value_bytes = self.max_value_bytes();
        let current_bytes = self.params.state.current_value_bytes();
        // The version before went by the limit of now alone, and pages of both must agree.
        let plain_tasks = (current_bytes / PLAIN_TASK_BYTES).clamp(PAGE_TASKS_MIN, PAGE_TASKS_MAX);
        // What does not fit into a compact page waits.
        let compact_tasks =
            (value_bytes / COMPACT_TASK_BYTES).clamp(PAGE_TASKS_MIN, PAGE_TASKS_MAX);
        let shrinks = value_bytes < current_bytes;
        PageLayout {
            plain_tasks,
            compact_tasks: if shrinks {
                compact_tasks.min(plain_tasks)
            } else {
                plain_tasks
            },
            value_bytes,
        }
    }
}
