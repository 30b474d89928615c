//! How the controllers share the state service's limit on writes, from the forecasts they publish.

use super::summary::ForecastSummaryRecord;
use crate::node::{Core, Node, age_s};

/// Pages left for the next cycle from which on a controller is short of writes. Those that had writes left
/// wrote each exit at once meanwhile, for which nobody waited.
const SHORT_OF_WRITES_PAGES: f64 = 2.0;
/// From this part of its own share on, a controller is taken to need more writes.
const BUSY_SHARE: f64 = 0.75;
/// Margin on a controller's published write rate, for what it may send before it publishes again.
const RATE_MARGIN: f64 = 1.1;
/// The part of its share that each controller keeps in reserve.
const RESERVED_SHARE: f64 = 0.08;
/// Periods after which a forecast says nothing any more of its controller's writes.
const FRESH_PERIODS: f64 = 2.0;

/// Gives what others leave of their share of the state service's writes to those who are short of it: one
/// controller may have most of the starts for some time. Each keeps its own share, and a reserve for what it
/// may need before it publishes again.
pub(super) fn adjust_write_rate(node: &Node, core: &Core, now_ms: u64) {
    // One controller's refusals tell all of them that the lower limits are in force.
    let mut summaries = core.replica.forecast_summaries.values();
    if summaries.any(|summary| summary.record.has_lower_quota) {
        node.state.adopt_lower_quota();
    }
    let share = node.state.quota().writes_per_s;
    let demand = WriteDemand::new(node, core, share, now_ms);
    node.state
        .set_peers_short_of_writes(peers_are_short_of_writes(node, core, now_ms));
    // In proportion to what each could not write: the busiest controller has the leader's records, most
    // machines and the gangs, and had as much as any other.
    let all = demand.own + demand.of_peers;
    node.state
        .set_write_rate(share + demand.spare_per_s * demand.own / all);
}

struct WriteDemand {
    /// Puts a second that other controllers leave of their shares.
    spare_per_s: f64,
    /// One and the pages that this controller could not write.
    own: f64,
    /// The same, summed over the other controllers that need more than their share.
    of_peers: f64,
}

impl WriteDemand {
    fn new(node: &Node, core: &Core, share: f64, now_ms: u64) -> Self {
        let mut demand = Self {
            spare_per_s: 0.0,
            own: 1.0,
            of_peers: 0.0,
        };
        for (name, summary) in &core.replica.forecast_summaries {
            let record = &summary.record;
            if *name == node.identity.name {
                demand.own = 1.0 + record.write_backlog;
                continue;
            }
            if !is_fresh(node, record, now_ms) {
                continue; // a controller that does not publish may be about to need all of its share
            }
            if record.write_backlog > 0.0 || record.puts_per_s > share * BUSY_SHARE {
                demand.of_peers += 1.0 + record.write_backlog;
            } else {
                let unused = share - record.puts_per_s * RATE_MARGIN - share * RESERVED_SHARE;
                demand.spare_per_s += unused.max(0.0);
            }
        }
        demand
    }
}

fn peers_are_short_of_writes(node: &Node, core: &Core, now_ms: u64) -> bool {
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
