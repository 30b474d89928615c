//! Divides the state service's limit on writes among the controllers, based on the forecasts they publish.

use super::summary::ForecastSummaryRecord;
use crate::node::{Core, Node, age_s};

/// Write backlog in pages at which a controller counts as short of writes. Its peers then defer writes that nobody
/// waits for; without this, those with writes left wrote each task exit at once.
const SHORT_OF_WRITES_PAGES: f64 = 2.0;
/// Fraction of its own share above which a controller is assumed to need more writes.
const BUSY_FRACTION: f64 = 0.75;
/// Factor on a controller's published write rate, to allow for an increase before it publishes again.
const RATE_MARGIN: f64 = 1.1;
/// Fraction of its share that each controller keeps in reserve.
const RESERVED_FRACTION: f64 = 0.08;
/// Age in periods after which a forecast no longer describes its controller's writes.
const FRESH_PERIODS: f64 = 2.0;

/// Sets this controller's write rate to its own share of the state service's limit plus a part of what the other
/// controllers leave unused, because one controller may have most of the task starts for some time. Of the unused
/// writes, each controller keeps a reserve for what it may need before it publishes again.
pub(super) fn adjust_write_rate(node: &Node, core: &Core, now_ms: u64) {
    // If one controller was refused because of the lower limits, they are in force for all controllers.
    let mut summaries = core.replica.forecast_summaries.values();
    if summaries.any(|summary| summary.record.has_lower_quota) {
        node.state.adopt_lower_quota();
    }
    let share = node.state.quota().writes_per_s;
    let demand = WriteDemand::new(node, core, share, now_ms);
    node.state
        .set_peers_short_of_writes(any_peer_short_of_writes(node, core, now_ms));
    // Unused writes are divided in proportion to the backlogs. Divided equally, they left the busiest controller,
    // which has the leader's records, most machines and the gangs, with no more than any other.
    let total_weight = demand.own_weight + demand.peer_weight;
    node.state
        .set_write_rate(share + demand.spare_per_s * demand.own_weight / total_weight);
}

/// The unused writes, and the weights by which they are divided.
struct WriteDemand {
    /// Puts per second that other controllers leave unused of their shares.
    spare_per_s: f64,
    /// Weight of this controller: one plus its write backlog in pages.
    own_weight: f64,
    /// Sum of the weights of the other controllers that need more than their share.
    peer_weight: f64,
}

impl WriteDemand {
    fn new(node: &Node, core: &Core, share: f64, now_ms: u64) -> Self {
        let mut demand = Self {
            spare_per_s: 0.0,
            own_weight: 1.0,
            peer_weight: 0.0,
        };
        for (name, summary) in &core.replica.forecast_summaries {
            let record = &summary.record;
            if *name == node.identity.name {
                demand.own_weight = 1.0 + record.write_backlog;
                continue;
            }
            if !is_fresh(node, record, now_ms) {
                continue; // a controller without a recent forecast may need all of its share
            }
            if record.write_backlog > 0.0 || record.puts_per_s > share * BUSY_FRACTION {
                demand.peer_weight += 1.0 + record.write_backlog;
            } else {
                let unused = share - record.puts_per_s * RATE_MARGIN - share * RESERVED_FRACTION;
                demand.spare_per_s += unused.max(0.0);
            }
        }
        demand
    }
}

fn any_peer_short_of_writes(node: &Node, core: &Core, now_ms: u64) -> bool {
    let summaries = core.replica.forecast_summaries.iter();
    let mut peers = summaries.filter(|(name, _)| **name != node.identity.name);
    peers.any(|(_, summary)| {
        let record = &summary.record;
        record.write_backlog >= SHORT_OF_WRITES_PAGES && is_fresh(node, record, now_ms)
    })
}

fn is_fresh(node: &Node, record: &ForecastSummaryRecord, now_ms: u64) -> bool {
    age_s(record.at_ms, now_ms) < node.policy.period_s * FRESH_PERIODS
}
