//! What the starts of a transaction are charged to.

use super::TeamQuotas;
use crate::node::Core;
use crate::state::{Precondition, RecordKey};
use rowanmill_limits::{InDoubtTransaction, ResourceAmount};

/// What a transaction takes of a team's allocation, and the revisions that it was weighed against.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaCharge {
    /// The team.
    pub team: String,
    /// What the transaction takes of the team's allocation at this controller.
    pub amount: ResourceAmount,
    /// The revision of the team's record, 0 if there is none.
    pub record_revision: u64,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
}

impl QuotaCharge {
    /// What the transaction must require: that the record is still the one its starts were weighed against.
    pub fn precondition(&self) -> Precondition {
        Precondition {
            key: RecordKey::quota_allocations(&self.team).into(),
            revision: self.record_revision,
        }
    }
}

impl TeamQuotas {
    /// The charge for a page that starts `tasks` tasks of a job; `None` if the job's team is not divided.
    pub fn charge_for(&self, core: &Core, job: &str, tasks: u32) -> Option<QuotaCharge> {
        let spec = &core.replica.jobs.get(job)?.record.spec;
        let team = self.divided_team(core, &spec.team)?;
        Some(QuotaCharge {
            team: spec.team.clone(),
            amount: team.amount(spec, tasks),
            record_revision: team.record_revision(),
            assignment_revision: team.assignment_revision,
        })
    }

    /// Keeps the charge of a transaction without an answer until its outcome is known.
    pub fn record_in_doubt(&mut self, charge: &QuotaCharge) {
        let transaction = InDoubtTransaction {
            amount: charge.amount,
            record_revision: charge.record_revision,
            assignment_revision: charge.assignment_revision,
        };
        self.holder.record_in_doubt(&charge.team, transaction);
    }
}
