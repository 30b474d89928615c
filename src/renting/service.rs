//! The loop of renting, and its state.

use super::ForecastSummaryRecord;
use super::Outlook;
use super::decide::{Flow, Tally, Wish, event, remedy, summed};
use super::provision::{fulfil, resend_hires};
use super::release::{close_machines, mark_returning, merge_rentals, take_list};
use crate::membership;
use crate::metrics::CpuAccount;
use crate::node::{Node, wall_ms};
use crate::state::{Operation, Precondition, RecordKey};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct RentState {
    /// When this controller looks ahead next.
    pub next_event: Instant,
    /// When the leader sums up and decides next.
    pub leader_event: Option<Instant>,
    pub last_remedy: HashMap<String, Instant>,
    pub wishes: Vec<Wish>,
    /// Machines being given back, with why.
    pub closing: BTreeMap<String, &'static str>,
    /// Machines to be marked as returning.
    pub to_return: Vec<String>,
    /// Offers that were refused, and until when they are not asked for.
    pub refused: HashMap<(String, String, bool), Instant>,
    pub tally: HashMap<String, Tally>,
    pub flow: HashMap<String, Flow>,
    pub rented_in_all: u32,
    /// When the leader last looked for small rentals to merge.
    pub merged_at: Option<Instant>,
    /// To be published: what this node expects.
    pub outlook: Option<ForecastSummaryRecord>,
    pub published: Option<(Instant, ForecastSummaryRecord)>,
}

impl RentState {
    pub fn new(now: Instant) -> Self {
        Self {
            next_event: now,
            leader_event: None,
            last_remedy: HashMap::new(),
            wishes: Vec::new(),
            closing: BTreeMap::new(),
            to_return: Vec::new(),
            refused: HashMap::new(),
            tally: HashMap::new(),
            flow: HashMap::new(),
            rented_in_all: 0,
            merged_at: None,
            outlook: None,
            published: None,
        }
    }
}

/// Publishes what is to be published; the leader then has its event.
async fn publish(node: &Arc<Node>) {
    let Some(record) = node.core().rent.outlook.take() else {
        return;
    };
    let mut record = record;
    record.puts_per_s = node.state.measure_write_rate();
    record.fallen = node.state.has_lower_quota();
    let put = Operation::put(RecordKey::ForecastSummary(&node.identity.name), &record);
    if let Ok(revision) = node
        .state
        .compare_and_swap(&[], std::slice::from_ref(&put))
        .await
    {
        let mut core = node.core();
        core.apply(vec![put], revision);
        core.rent.published = Some((Instant::now(), record));
    }
}

const PAUSE: Duration = Duration::from_millis(500);

/// Fetches the catalogue on every node, which needs it to admit submissions, and does the
/// leader's business with the cloud.
pub async fn run(node: Arc<Node>) {
    let mut catalog_at: Option<Instant> = None;
    let mut list_at: Option<Instant> = None;
    let every = Duration::from_secs_f64(node.settings.params.cloud.list_lag_s.max(3.0));
    loop {
        if catalog_at.is_none_or(|at| at.elapsed() > Duration::from_secs(30))
            && let Ok(kinds) = node.cloud.catalog().await
        {
            node.core().kinds = kinds;
            catalog_at = Some(Instant::now());
            node.wake_up.notify_one();
        }
        publish(&node).await;
        close_machines(&node).await;
        if let Some(revision) = membership::leader_revision(&node) {
            lead_event(&node);
            merge_rentals(&node, revision).await;
            mark_returning(&node, revision).await;
            resend_hires(&node, revision).await;
            fulfil(&node, revision).await;
            if list_at.is_none_or(|at| at.elapsed() > every) {
                list_at = Some(Instant::now());
                take_list(&node, revision).await;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn lead_event(node: &Node) {
    let _charge = node.processor_time.charge(CpuAccount::Scaling);
    let (now, now_ms) = (Instant::now(), wall_ms());
    let mut core = node.core();
    if core.rent.leader_event.is_none_or(|at| at <= now) {
        let period = Duration::from_secs_f64(node.policy.period_s);
        // Before anything was submitted there is nothing to decide on: the first event comes with
        // the first outlooks, not a period after.
        let sums = summed(node, &core, now_ms);
        let any = |o: &Outlook| o.counted_next + o.counted_now + o.running > 0.0;
        if sums.values().any(any) || !core.replica.fleet.machines.is_empty() {
            core.rent.leader_event = Some(now + period);
            event(node, &mut core, now_ms);
        }
    }
    remedy(node, &mut core, now, now_ms);
}

pub(super) fn guard(revision: u64) -> Precondition {
    Precondition {
        key: RecordKey::Leader.into(),
        revision,
    }
}
