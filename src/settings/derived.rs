//! Values computed from the settings: this controller's share of the state service's limits, lengths of leases,
//! timeouts, and the number of tasks per progress page.

use super::{NextLimits, Settings, StateParams};
use crate::jobs::pages::PageLayout;
use rowanmill_state::ServiceQuota;
use std::time::Duration;

const BYTES_PER_KIB: f64 = 1024.0;

/// Length of a presence lease as a fraction of a worker's lease, and its bounds in seconds.
const PRESENCE_LEASE_FRACTION: f64 = 0.25;
const PRESENCE_TTL_MIN_S: f64 = 2.0;
const PRESENCE_TTL_MAX_S: f64 = 5.0;

/// Maximum relative drift of a clock. [`Settings::disconnected_lease_limit`] calculates with a worker's lease that is
/// longer by this fraction, and with a `cancel_s` that is shorter by twice this fraction.
const CLOCK_DRIFT: f64 = 0.001;
/// Allowance for the time between the end of a worker's lease and the end of its tasks, in seconds.
const LEASE_END_MARGIN_S: f64 = 2.0;

/// Bounds of the time that a watch request waits for changes.
const WATCH_TIMEOUT_MIN: Duration = Duration::from_millis(100);
const WATCH_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Bounds of the number of tasks on a progress page.
const PAGE_TASKS_MIN: usize = 8;
const PAGE_TASKS_MAX: usize = 512;
/// Size of a started task on a plain page, in bytes, used to divide jobs into pages. The record is
/// `[attempt,"machine",incarnation]`, and the size allows for long machine names.
const PLAIN_TASK_BYTES: usize = 48;
/// Size of a task on a compact page, in bytes, used to divide jobs into pages. Most of it is the name of the
/// machine.
const COMPACT_TASK_BYTES: usize = 16;

impl StateParams {
    /// Maximum number of operations of a transaction, under both the current and the announced limit.
    fn min_transaction_operations(&self) -> usize {
        let next = self.next().txn_ops.unwrap_or(self.txn_ops);
        self.txn_ops.min(next)
    }

    /// Maximum size of a value in bytes under the current limit; the announced limit is ignored.
    fn current_value_bytes(&self) -> usize {
        (self.value_kb * BYTES_PER_KIB) as usize
    }
}

impl Settings {
    /// This controller's share of the current request limits of the state service.
    pub fn state_quota(&self) -> ServiceQuota {
        let controllers = f64::from(self.params.size);
        ServiceQuota {
            requests_per_s: self.params.state.rps / controllers,
            writes_per_s: self.params.state.write_rps / controllers,
        }
    }

    /// This controller's share of the request limits once the announced limits apply. An announced limit that
    /// is higher than the current one is ignored.
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

    /// Maximum size of a new value in bytes: the lower of the current and the announced limit, because the
    /// announced one may apply at any time.
    pub fn max_value_bytes(&self) -> usize {
        let state = &self.params.state;
        let next = state.next().value_kb.unwrap_or(state.value_kb);
        (state.value_kb.min(next) * BYTES_PER_KIB) as usize
    }

    /// Maximum number of operations of a transaction: the lower of the current and the announced limit.
    pub fn max_transaction_operations(&self) -> usize {
        self.params.state.min_transaction_operations()
    }

    /// The names of all controllers of the site, including those that are not running.
    pub fn member_names(&self) -> Vec<&str> {
        let peers = self.peers.iter().map(|peer| peer.member.as_str());
        peers.chain([self.member.as_str()]).collect()
    }

    /// Length of a worker's lease: how long it keeps running tasks while no heartbeat is answered.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.lease_s)
    }

    /// Interval between a worker's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.params.workers.report_s)
    }

    /// Length of a controller's presence lease. It is short enough for a takeover of the controller's machines
    /// to finish before the leases of their workers expire.
    pub fn presence_ttl(&self) -> Duration {
        let ttl_s = self.params.workers.lease_s * PRESENCE_LEASE_FRACTION;
        Duration::from_secs_f64(ttl_s.clamp(PRESENCE_TTL_MIN_S, PRESENCE_TTL_MAX_S))
    }

    /// How long a controller may renew its workers' leases after its last confirmed contact with the state
    /// service. If it renewed them for longer, a task whose cancellation it has not read could run for more
    /// than `cancel_s` after the confirmation.
    ///
    /// The limit is `cancel_s` minus a worker's lease, the clock skew, allowances for clock drift, and a margin
    /// for ending the tasks after the lease. The margin is at most a third of the remaining time, so that a
    /// `cancel_s` just above `lease_s` still allows renewals. If no time remains, the limit is 0, and every
    /// renewal requires a new read.
    pub fn disconnected_lease_limit(&self) -> Duration {
        let workers = &self.params.workers;
        let cancel_s = workers.cancel_s * (1.0 - 2.0 * CLOCK_DRIFT);
        let lease_s = workers.lease_s * (1.0 + CLOCK_DRIFT);
        let spare_s = cancel_s - lease_s - self.params.skew_ms / 1000.0;
        let margin_s = (spare_s / 3.0).min(LEASE_END_MARGIN_S);
        Duration::from_secs_f64((spare_s - margin_s).max(0.0))
    }

    /// How long a watch request may wait for changes. Its response confirms contact with the state service, so
    /// it must arrive well within [`Settings::disconnected_lease_limit`]: a third of that limit is used.
    pub fn watch_timeout(&self) -> Duration {
        (self.disconnected_lease_limit() / 3).clamp(WATCH_TIMEOUT_MIN, WATCH_TIMEOUT_MAX)
    }

    /// How jobs are divided into progress pages. All controllers of a site must use the same layout, whatever
    /// their version.
    pub fn page_layout(&self) -> PageLayout {
        let value_bytes = self.max_value_bytes();
        let current_bytes = self.params.state.current_value_bytes();
        // The previous version used only the current limit, and both versions must divide plain pages alike.
        let plain_tasks = (current_bytes / PLAIN_TASK_BYTES).clamp(PAGE_TASKS_MIN, PAGE_TASKS_MAX);
        // A task whose record does not fit on its compact page is not started until there is room.
        let compact_tasks =
            (value_bytes / COMPACT_TASK_BYTES).clamp(PAGE_TASKS_MIN, PAGE_TASKS_MAX);
        let limit_decreases = value_bytes < current_bytes;
        PageLayout {
            plain_tasks,
            compact_tasks: if limit_decreases {
                compact_tasks.min(plain_tasks)
            } else {
                plain_tasks
            },
            value_bytes,
        }
    }
}
