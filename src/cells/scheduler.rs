//! Implements the scheduler interface of `rowanmill-cells` on the cell's own records of the ledger's jobs.
//! Each write has preconditions on the records that it was decided from.

use super::attestation;
use super::local_state::{capacity_summary, local_job_state, tracked_jobs};
use super::protection::{self, ProtectionExclusion};
use super::withdrawal::progress_unchanged;
use crate::api::admission::{Admission, check_eligibility, record_fits};
use crate::jobs::{JobRecord, Relinquished, SpecError, StoredJob, Submission};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::state::replica::Job;
use crate::state::{Operation, Precondition, RecordKey, TransactionError, max_preconditions};
use rowanmill_cells::record::CapacitySummary;
use rowanmill_cells::{
    AdoptionOutcome, CellCoordinator, LedgerJob, LocalJobState, OwnershipVersion, Scheduler,
    TrackedJob, Unavailable, WithdrawalCondition,
};
use rowanmill_state::WritePriority;
use std::sync::Arc;
use std::time::Instant;

/// The scheduler of this cell.
pub struct CellScheduler {
    node: Arc<Node>,
    cells: Arc<CellCoordinator>,
}

/// Revision of a key that does not exist: a precondition with it holds while the key is absent.
pub const NO_REVISION: u64 = 0;

/// The stored record of a job's last relinquishment by this cell.
struct RelinquishedRecord {
    /// Epoch of the ledger's record under which the job was relinquished.
    epoch: u64,
    /// Revision of the stored record.
    revision: u64,
}

/// A new version of an open job's record.
struct RecordUpdate {
    record: JobRecord,
    /// Preconditions in addition to the job's record being unchanged.
    preconditions: Vec<Precondition>,
}

/// Why the cell does not adopt a job.
enum Refusal {
    /// The cell cannot run the job, for this reason.
    Ineligible(String),
    /// Whether the cell can run the job is unknown at the moment.
    Undetermined,
}

impl CellScheduler {
    /// The scheduler of the cell that this controller belongs to.
    pub fn new(node: &Arc<Node>, cells: &Arc<CellCoordinator>) -> Self {
        Self {
            node: node.clone(),
            cells: cells.clone(),
        }
    }

    /// Builds the cell's own record of one of the ledger's jobs. The description is validated as strictly
    /// as a user's request, because other cells are not trusted more than users.
    fn record_of(&self, job: &LedgerJob, revision: u64) -> Result<JobRecord, SpecError> {
        let text = job.description.to_string();
        let Submission { spec, .. } = Submission::parse(text.as_bytes())?;
        Ok(JobRecord {
            spec,
            accepted_ms: job.accepted_ms,
            cancelled: false,
            placer: None,
            released_ms: (!job.depends_on.is_empty()).then(wall_ms),
            ledger: Some(OwnershipVersion {
                epoch: job.epoch,
                revision,
            }),
            adopted_ms: Some(wall_ms()),
            foreign: job.home != self.cells.cell_name(),
            withdrawn: false,
        })
    }

    /// Builds the record with which the cell would run one of the ledger's jobs, if it can run it.
    fn eligible_record(&self, job: &LedgerJob, revision: u64) -> Result<JobRecord, Refusal> {
        let record = self
            .record_of(job, revision)
            .map_err(|error| Refusal::Ineligible(error.to_string()))?;
        if let Some(exclusion) = self.exclusion_of(&record) {
            return Err(Refusal::Ineligible(exclusion.to_string()));
        }
        match self.admission_of(&record) {
            Admission::Admitted => Ok(record),
            Admission::Ineligible(reason) => Err(Refusal::Ineligible(reason.to_owned())),
            Admission::RecordTooLarge => {
                Err(Refusal::Ineligible("job record is too large".to_owned()))
            }
            Admission::CatalogueUnknown
            | Admission::InsufficientMemory
            | Admission::DependenciesUnsupported => Err(Refusal::Undetermined),
        }
    }

    fn admission_of(&self, record: &JobRecord) -> Admission {
        if record_fits(&self.node, record, &[]) {
            check_eligibility(&self.node, &record.spec, &[])
        } else {
            Admission::RecordTooLarge
        }
    }

    /// The protection that excludes a job of another cell from all machines that it may use. `None` if it
    /// may use an unprotected machine, or if this cell accepted it.
    fn exclusion_of(&self, record: &JobRecord) -> Option<ProtectionExclusion> {
        if !record.foreign {
            return None;
        }
        protection::exclusion_of(&self.node, &self.node.core(), &record.spec, wall_ms())
    }

    /// Reads the record of the job's last relinquishment by this cell, if there is one.
    async fn read_relinquished(&self, id: &str) -> Result<Option<RelinquishedRecord>, Unavailable> {
        let pair = self
            .node
            .state
            .get_key_value(&RecordKey::Relinquished(id).to_string())
            .await;
        let Some(pair) = pair.map_err(|_| Unavailable)? else {
            return Ok(None);
        };
        let Relinquished { epoch } =
            serde_json::from_str(pair.value.get()).map_err(|_| Unavailable)?;
        Ok(Some(RelinquishedRecord {
            epoch,
            revision: pair.revision,
        }))
    }

    /// Whether the job ended in this cell, by the replica or else by the state service. A final state that
    /// is read from the state service is added to the replica.
    async fn has_ended(&self, id: &str) -> Result<bool, Unavailable> {
        if self.node.core().replica.final_state(id).is_some() {
            return Ok(true);
        }
        let value = self
            .node
            .state
            .get(&RecordKey::FinalState(id).to_string())
            .await;
        let Some(value) = value.map_err(|_| Unavailable)? else {
            return Ok(false);
        };
        let final_state = serde_json::from_value(value).map_err(|_| Unavailable)?;
        self.node.core().replica.record_final_state(id, final_state);
        Ok(true)
    }

    /// Whether the cell's records already hold the job. An error if its record cannot be read or if it is
    /// withdrawn.
    fn is_adopted(&self, id: &str) -> Result<bool, Unavailable> {
        let core = self.node.core();
        if core.replica.is_unreadable(id) {
            return Err(Unavailable);
        }
        match core.replica.jobs.get(id) {
            // A withdrawn job can be adopted again once its record is deleted.
            Some(job) if job.record.withdrawn => Err(Unavailable),
            Some(_) => Ok(true),
            None => Ok(false),
        }
    }

    /// Writes the record of a job that is not in the cell's records. `relinquished_revision` is the
    /// revision of its last relinquishment. The write fails if the job has been added in the meantime, even
    /// if it has ended or been relinquished since.
    pub async fn write_adopted(
        &self,
        id: &str,
        mut record: JobRecord,
        relinquished_revision: u64,
    ) -> Result<(), Unavailable> {
        let node = &self.node;
        if node.state.available_writes(WritePriority::UserFacing) == 0 {
            return Err(Unavailable);
        }
        record.placer = membership::choose_placer(node, &mut node.core(), &record);
        let preconditions = not_adopted_since(id, relinquished_revision);
        let put = Operation::put(RecordKey::Job(id), &StoredJob::Open(record));
        self.write(&preconditions, vec![put]).await
    }

    /// Writes changes to the cell's records and applies them to the replica.
    async fn write(
        &self,
        preconditions: &[Precondition],
        operations: Vec<Operation>,
    ) -> Result<(), Unavailable> {
        let node = &self.node;
        match node
            .state
            .compare_and_swap(preconditions, &operations)
            .await
        {
            Ok(revision) => {
                node.core().apply(operations, revision);
                node.wake_up.notify_one();
                Ok(())
            }
            Err(error) => {
                tracing::debug!(%error, "cell record not written");
                if !matches!(error, TransactionError::Refused(_)) {
                    // The records in the replica may be outdated.
                    node.read_barrier().await;
                }
                Err(Unavailable)
            }
        }
    }

    /// Replaces an open job's record with the result of `update`. Does nothing if the result is `None` or
    /// the replica has no record of the job.
    async fn update_record(
        &self,
        id: &str,
        update: impl FnOnce(&Core, &Job) -> Option<RecordUpdate>,
    ) -> Result<(), Unavailable> {
        let RecordUpdate {
            record,
            preconditions,
        } = {
            let core = self.node.core();
            let Some(job) = core.replica.jobs.get(id) else {
                return Ok(());
            };
            let Some(mut update) = update(&core, job) else {
                return Ok(());
            };
            update.preconditions.push(Precondition {
                key: RecordKey::Job(id).into(),
                revision: job.revision,
            });
            update
        };
        let put = Operation::put(RecordKey::Job(id), &StoredJob::Open(record));
        self.write(&preconditions, vec![put]).await
    }
}

/// Preconditions that a job is not in the cell's records, has no final state in this cell, and has not been
/// relinquished since the relinquishment with this revision.
fn not_adopted_since(id: &str, relinquished_revision: u64) -> [Precondition; 3] {
    [
        Precondition::absent(RecordKey::Job(id)),
        Precondition::absent(RecordKey::FinalState(id)),
        Precondition {
            key: RecordKey::Relinquished(id).into(),
            revision: relinquished_revision,
        },
    ]
}

impl Scheduler for CellScheduler {
    fn is_leader(&self) -> bool {
        membership::leader_revision(&self.node).is_some()
    }

    fn local_job_states(&self, ids: &[String]) -> Vec<LocalJobState> {
        let core = self.node.core();
        let now_ms = wall_ms();
        let state = |id: &String| local_job_state(&self.node, &core, id, now_ms);
        ids.iter().map(state).collect()
    }

    fn tracked_jobs(&self) -> Vec<TrackedJob> {
        tracked_jobs(&self.node.core())
    }

    fn capacity_summary(&self) -> CapacitySummary {
        capacity_summary(&self.node.core(), Instant::now(), wall_ms())
    }

    fn can_run(&self, job: &LedgerJob) -> bool {
        self.eligible_record(job, NO_REVISION).is_ok()
    }

    async fn adopt(
        &self,
        id: &str,
        job: &LedgerJob,
        revision: u64,
    ) -> Result<AdoptionOutcome, Unavailable> {
        if !self.node.read_barrier().await {
            return Err(Unavailable);
        }
        if self.is_adopted(id)? {
            return Ok(AdoptionOutcome::Adopted);
        }
        // Read before the final state: if the job ends or is relinquished after this read, the preconditions
        // of the write fail.
        let relinquished = self.read_relinquished(id).await?;
        if self.has_ended(id).await? {
            return Ok(AdoptionOutcome::AlreadyEnded);
        }
        if let Some(relinquished) = &relinquished
            && relinquished.epoch == job.epoch
        {
            let epoch = job.epoch;
            return Ok(AdoptionOutcome::Relinquished { epoch });
        }
        let record = match self.eligible_record(job, revision) {
            Ok(record) => record,
            Err(Refusal::Ineligible(reason)) => return Ok(AdoptionOutcome::Ineligible { reason }),
            Err(Refusal::Undetermined) => return Err(Unavailable),
        };
        let relinquished_revision = relinquished.map_or(NO_REVISION, |record| record.revision);
        self.write_adopted(id, record, relinquished_revision)
            .await?;
        Ok(AdoptionOutcome::Adopted)
    }

    async fn relinquish(&self, id: &str, epoch: u64) -> Result<bool, Unavailable> {
        if !self.node.read_barrier().await {
            return Err(Unavailable);
        }
        let previous = self.read_relinquished(id).await?;
        let previous_revision = previous.map_or(NO_REVISION, |record| record.revision);
        let preconditions = not_adopted_since(id, previous_revision);
        let put = Operation::put(RecordKey::Relinquished(id), &Relinquished { epoch });
        self.write(&preconditions, vec![put]).await?;
        Ok(true)
    }

    async fn cancel(&self, id: &str) -> Result<(), Unavailable> {
        self.update_record(id, |_, job| {
            let record = &job.record;
            (!record.cancelled).then(|| RecordUpdate {
                record: record.clone().into_cancelled(),
                preconditions: Vec::new(),
            })
        })
        .await
    }

    async fn withdraw(
        &self,
        id: &str,
        ownership: OwnershipVersion,
        condition: WithdrawalCondition,
    ) -> Result<(), Unavailable> {
        let max_preconditions = max_preconditions(self.node.settings.max_transaction_operations());
        self.update_record(id, |core, job| {
            let state = local_job_state(&self.node, core, id, wall_ms());
            let has_started = matches!(
                state,
                LocalJobState::Open {
                    has_started: true,
                    ..
                }
            );
            let only_unstarted = condition == WithdrawalCondition::NotStarted;
            if job.record.withdrawn || (only_unstarted && has_started) {
                return None;
            }
            let preconditions = if only_unstarted {
                let layout = &core.replica.layout;
                // One precondition is for the job's record.
                progress_unchanged(layout, id, job, max_preconditions - 1)
            } else {
                Vec::new()
            };
            Some(RecordUpdate {
                record: job.record.clone().into_withdrawn(ownership),
                preconditions,
            })
        })
        .await
    }

    async fn collect_attestations(&self, cell: &str, revision: u64) -> Option<Vec<String>> {
        let others = self.cells.other_controllers(self.node.settings.mesh_addr);
        attestation::collect_attestations(others, cell, revision).await
    }
}
