//! One team whose limit is divided, with this controller's part of it.

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
    /// The replica has applied all changes up to this revision.
    pub applied_revision: u64,
    /// What the team uses and waits for, as of the last refresh.
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

    /// Whether there is a record that this version cannot read.
    pub fn is_unreadable(&self) -> bool {
        self.stored.is_some_and(|stored| stored.record.is_none())
    }

    /// What each controller's jobs use and wait for.
    pub fn members(&self) -> &'a [MemberDemand] {
        self.usage.map_or(&[], |usage| &usage.members)
    }

    /// What tasks use whose jobs are assigned to no controller.
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

    /// What this controller's tasks use, and will use once what is planned is recorded.
    pub fn charged(&self) -> ResourceAmount {
        self.held().saturating_add(self.planned())
    }

    fn held(&self) -> ResourceAmount {
        self.usage.map_or(ResourceAmount::ZERO, |usage| usage.held)
    }

    fn planned(&self) -> ResourceAmount {
        self.usage
            .map_or(ResourceAmount::ZERO, |usage| usage.planned)
    }

    /// What this controller may start beside what is charged; infinite for a resource without a limit.
    pub fn headroom(&self) -> Resources {
        let headroom = self
            .holder
            .headroom(self.name, &self.view(), self.charged());
        self.unlimited_elsewhere(headroom)
    }

    /// What all tasks of the team may use; infinite for a resource without a limit.
    pub fn full_limit(&self) -> Resources {
        self.unlimited_elsewhere(self.limit.as_amount())
    }

    fn unlimited_elsewhere(&self, amount: ResourceAmount) -> Resources {
        let or_infinite = |limit: Option<u64>, amount: f64| limit.map_or(f64::INFINITY, |_| amount);
        Resources {
            cpus: or_infinite(self.limit.micro_cpus, amount.cpus()),
            gpus: or_infinite(self.limit.micro_gpus, amount.gpus()),
            memory_gb: f64::INFINITY,
        }
    }

    /// What this controller's tasks may use in all.
    pub fn allocation(&self) -> ResourceAmount {
        self.holder.allocation(&self.view())
    }

    /// What planned starts may use of the allocation; `None` if it does not even cover what runs and what is
    /// in doubt.
    pub fn headroom_for_planned(&self) -> Option<ResourceAmount> {
        let in_doubt = self.holder.in_doubt_amount(self.name);
        let taken = self.held().saturating_add(in_doubt);
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

    /// What `tasks` tasks of a job count against the limit.
    pub fn amount(&self, spec: &JobSpec, tasks: u32) -> ResourceAmount {
        limited_amount(&self.limit, spec, tasks)
    }
}
