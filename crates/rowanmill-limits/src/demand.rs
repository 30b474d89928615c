//! The demand of a team's jobs at each controller. All controllers derive it from the same records, so they
//! need not exchange messages about it.

use crate::amount::ResourceAmount;
use serde::{Deserialize, Serialize};

/// The smallest part of a waiting job that can start: one task of an array, or a whole gang. Ordered by age.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WaitingUnit {
    /// When the job's tasks could first start, in milliseconds since the epoch.
    pub since_ms: u64,
    /// The job.
    pub job: String,
    /// Resources that it uses while it runs.
    pub need: ResourceAmount,
    /// Whether it is a whole gang.
    pub is_gang: bool,
}

impl WaitingUnit {
    /// The order in which units are served: gangs before array tasks, which can start one by one in whatever
    /// headroom becomes free, and then by age.
    pub(crate) fn service_order(&self) -> (bool, &Self) {
        (!self.is_gang, self)
    }
}

/// One controller's part of a team's demand.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberDemand {
    /// The controller.
    pub member: String,
    /// Resources that its tasks use, according to the records.
    pub used: ResourceAmount,
    /// Resources that its waiting tasks would use.
    pub waiting: ResourceAmount,
    /// The part of `waiting` that belongs to jobs that can still meet their deadline.
    pub waiting_on_time: ResourceAmount,
    /// The unit to serve first: a gang that only the limit keeps from starting or, without one, a task of the
    /// oldest waiting array.
    pub oldest: Option<WaitingUnit>,
    /// The controller has no machine, and its oldest work has not waited for so long that headroom is kept
    /// for it regardless.
    pub lacks_machines: bool,
}

impl MemberDemand {
    /// The demand of a controller without jobs.
    pub fn idle(member: &str) -> Self {
        Self {
            member: member.to_owned(),
            ..Self::default()
        }
    }

    /// Resources that the controller's tasks use, plus those that its waiting tasks would use.
    pub(crate) fn total(&self) -> ResourceAmount {
        self.used.saturating_add(self.waiting)
    }

    /// The same as [`total`](Self::total), without waiting tasks of jobs that can no longer meet their
    /// deadline.
    pub(crate) fn total_on_time(&self) -> ResourceAmount {
        self.used.saturating_add(self.waiting_on_time)
    }

    /// Replaces the oldest unit by `unit` if that is served first.
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

/// Whether a controller leaves its headroom to others for now. It does so if it has no machine while a
/// controller that has machines also has waiting tasks. Without such a controller nobody could use the
/// headroom, so it stays where it is: the next machine may be rented for this controller. A controller whose
/// oldest unit is a gang yields nothing: a gang asks for the limit only once its machines are nearly available
/// or it has waited for long.
pub(crate) fn yields_headroom(demand: &MemberDemand, members: &[MemberDemand]) -> bool {
    let could_use_it = |other: &MemberDemand| !other.lacks_machines && !other.waiting.is_zero();
    let asks_for_gang = demand.oldest.as_ref().is_some_and(|unit| unit.is_gang);
    demand.lacks_machines && !asks_for_gang && members.iter().any(could_use_it)
}

/// Whether `limit` covers all running and waiting tasks.
pub(crate) fn total_demand_fits(limit: ResourceAmount, members: &[MemberDemand]) -> bool {
    let total: ResourceAmount = members.iter().map(MemberDemand::total).sum();
    total.fits_within(limit)
}
