//! Charges starts to the team whose headroom they use.

use super::TeamQuotas;
use crate::node::Core;
use crate::state::{Precondition, RecordKey};
use rowanmill_limits::{InDoubtTransaction, ResourceAmount};

/// The part of a team's allocation that a transaction takes, and the revisions of the records from which the
/// headroom for it was computed.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaCharge {
    /// The team.
    pub team: String,
    /// The part of the team's allocation at this controller that the transaction takes.
    pub amount: ResourceAmount,
    /// The revision of the team's record, 0 if there is none.
    pub record_revision: u64,
    /// The revision of the assignment of jobs.
    pub assignment_revision: u64,
}

impl QuotaCharge {
    /// The precondition of the transaction: the record is still the one that its starts were checked against.
    pub fn precondition(&self) -> Precondition {
        Precondition {
            key: RecordKey::quota_allocations(&self.team).into(),
            revision: self.record_revision,
        }
    }
}

impl TeamQuotas {
    /// The charge for a page that starts `tasks` tasks of a job; `None` if the limit of the job's team is not
    /// divided.
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

    /// Keeps the charge of a transaction that got no answer until its outcome is known.
    pub fn record_in_doubt(&mut self, charge: &QuotaCharge) {
        let transaction = InDoubtTransaction {
            amount: charge.amount,
            record_revision: charge.record_revision,
            assignment_revision: charge.assignment_revision,
        };
        self.holder.record_in_doubt(&charge.team, transaction);
    }
}
