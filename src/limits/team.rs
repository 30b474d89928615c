//! A team whose limit is divided, with this controller's part of the limit.

use super::StoredAllocations;
use super::usage::{TeamUsage, limited_amount};
use crate::jobs::JobSpec;
use crate::placement::Resources;
use rowanmill_limits::{
    AllocationRecord, MemberDemand, QuotaHolder, ResourceAmount, TeamLimit, TeamView, Versioned,
};

/// A team whose limit is divided, as the replica shows it.
#[derive(Clone, Copy)]
pub struct DividedTeam<'a> {
    /// The team.
    pub name: &'a str,
    /// Its limit in the settings.
    pub limit: TeamLimit,
    /// The record of its allocations, if there is one.
    pub(super) stored: Option<&'a StoredAllocations>,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
    /// The revision up to which the replica has applied all changes.
    pub applied_revision: u64,
    /// The team's usage and demand, as of the last refresh.
    pub(super) usage: Option<&'a TeamUsage>,
    /// This controller's quota state of all teams.
    pub(super) holder: &'a QuotaHolder,
}

impl<'a> DividedTeam<'a> {
    /// The record, if there is one that can be read.
    pub fn record(&self) -> Option<Versioned<&'a AllocationRecord>> {
        let stored = self.stored?;
        Some(Versioned {
            record: stored.record.as_ref()?,
            revision: stored.revision,
        })
    }

    /// The revision of its record, 0 if there is none.
    pub fn record_revision(&self) -> u64 {
        self.stored.map_or(0, |stored| stored.revision)
    }

    /// Whether there is a record that this version of the program cannot read.
    pub fn is_unreadable(&self) -> bool {
        self.stored.is_some_and(|stored| stored.record.is_none())
    }

    /// The demand of the team's jobs at each controller.
    pub fn members(&self) -> &'a [MemberDemand] {
        self.usage.map_or(&[], |usage| &usage.members)
    }

    /// Resources that are used by tasks whose jobs are assigned to no controller.
    pub fn unowned(&self) -> ResourceAmount {
        self.usage
            .map_or(ResourceAmount::ZERO, |usage| usage.unowned)
    }

    /// The input of the rules in `rowanmill-limits`.
    pub fn view(&self) -> TeamView<'a> {
        TeamView {
            limit: self.limit,
            record: self.record(),
            assignment_revision: self.assignment_revision,
            applied_revision: self.applied_revision,
            members: self.members(),
        }
    }

    /// Resources that this controller's tasks use, plus those that its planned starts will use.
    pub fn charged(&self) -> ResourceAmount {
        self.in_use().saturating_add(self.planned())
    }

    fn in_use(&self) -> ResourceAmount {
        self.usage
            .map_or(ResourceAmount::ZERO, |usage| usage.in_use)
    }

    fn planned(&self) -> ResourceAmount {
        self.usage
            .map_or(ResourceAmount::ZERO, |usage| usage.planned)
    }

    /// The resources with which this controller may start tasks in addition to what is charged; infinite for
    /// a resource without a limit.
    pub fn headroom(&self) -> Resources {
        let headroom = self
            .holder
            .headroom(self.name, &self.view(), self.charged());
        self.infinite_where_unlimited(headroom)
    }

    /// The team's whole limit; infinite for a resource without a limit.
    pub fn full_limit(&self) -> Resources {
        self.infinite_where_unlimited(self.limit.as_amount())
    }

    fn infinite_where_unlimited(&self, amount: ResourceAmount) -> Resources {
        let or_infinite = |limit: Option<u64>, amount: f64| limit.map_or(f64::INFINITY, |_| amount);
        Resources {
            cpus: or_infinite(self.limit.micro_cpus, amount.cpus()),
            gpus: or_infinite(self.limit.micro_gpus, amount.gpus()),
            memory_gb: f64::INFINITY,
        }
    }

    /// This controller's allocation: the maximum that its tasks may use.
    pub fn allocation(&self) -> ResourceAmount {
        self.holder.allocation(&self.view())
    }

    /// The part of the allocation that planned starts may use; `None` if the allocation does not even cover
    /// the tasks that run and the transactions in doubt.
    pub fn headroom_for_planned(&self) -> Option<ResourceAmount> {
        let in_doubt = self.holder.in_doubt_amount(self.name);
        let taken = self.in_use().saturating_add(in_doubt);
        let allocation = self.allocation();
        taken
            .fits_within(allocation)
            .then(|| allocation.saturating_sub(taken))
    }

    /// Whether more starts are planned than the allocation covers.
    pub fn is_overcommitted(&self) -> bool {
        let planned = self.planned();
        let headroom = self.headroom_for_planned();
        !planned.is_zero() && headroom.is_none_or(|headroom| !planned.fits_within(headroom))
    }

    /// The amount that `tasks` tasks of a job count against the limit.
    pub fn amount(&self, spec: &JobSpec, tasks: u32) -> ResourceAmount {
        limited_amount(&self.limit, spec, tasks)
    }
}
