//! What each controller's jobs of a team use and wait for. All controllers derive this from the same
//! records, so that they need not ask one another.

use crate::amount::ResourceAmount;
use serde::{Deserialize, Serialize};

/// The smallest part of a waiting job that can start: one task of an array, or a whole gang. Ordered by age.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WaitingUnit {
    /// When the job's objectives began to count, in milliseconds since the epoch.
    pub since_ms: u64,
    /// The job.
    pub job: String,
    /// What it uses once it runs.
    pub need: ResourceAmount,
    /// Whether it is a whole gang.
    pub is_gang: bool,
}

impl WaitingUnit {
    /// The order in which units are served: gangs before array tasks, which find headroom by themselves, and
    /// then by age.
    pub(crate) fn service_order(&self) -> (bool, &Self) {
        (!self.is_gang, self)
    }
}

/// One controller's part of a team's work.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberDemand {
    /// The controller.
    pub member: String,
    /// What its tasks use, by the records.
    pub used: ResourceAmount,
    /// What its waiting tasks would use.
    pub waiting: ResourceAmount,
    /// The part of `waiting` whose jobs can still meet their deadline.
    pub waiting_on_time: ResourceAmount,
    /// The gang that only the limit keeps from starting there, or, without one, a task of the oldest waiting
    /// array.
    pub oldest: Option<WaitingUnit>,
    /// It has no machine, and what waits there has not waited for so long yet that headroom is kept for it all
    /// the same.
    pub lacks_machines: bool,
}

impl MemberDemand {
    /// What a controller without any jobs demands.
    pub fn idle(member: &str) -> Self {
        Self {
            member: member.to_owned(),
            ..Self::default()
        }
    }

    /// What the controller's tasks use and would use if none of them waited.
    pub(crate) fn total(&self) -> ResourceAmount {
        self.used.saturating_add(self.waiting)
    }

    /// What the controller's tasks use, and what those would use that can still meet their deadline.
    pub(crate) fn total_on_time(&self) -> ResourceAmount {
        self.used.saturating_add(self.waiting_on_time)
    }

    /// Keeps `unit` as the oldest if it is served before the present one.
    pub fn consider_unit(&mut self, unit: WaitingUnit) {
        let is_first = match &self.oldest {
            Some(oldest) => unit.service_order() < oldest.service_order(),
            None => true,
        };
        if is_first {
            self.oldest = Some(unit);
        }
    }
}

/// Whether a controller leaves the limit to others for now: it has no machine, and others that have some wait for
/// the limit. Where nobody could use the headroom, it is kept where the next machine may be rented for it. A gang
/// asks for the limit only once its machines are near or it has waited for long, so that nothing is yielded then.
pub(crate) fn yields_headroom(demand: &MemberDemand, members: &[MemberDemand]) -> bool {
    let could_use_it = |other: &MemberDemand| !other.lacks_machines && !other.waiting.is_zero();
    let asks_for_gang = demand.oldest.as_ref().is_some_and(|unit| unit.is_gang);
    demand.lacks_machines && !asks_for_gang && members.iter().any(could_use_it)
}

/// Whether `limit` is enough for all that runs and waits.
pub(crate) fn total_demand_fits(limit: ResourceAmount, members: &[MemberDemand]) -> bool {
    let total: ResourceAmount = members.iter().map(MemberDemand::total).sum();
    total.fits_within(limit)
}
