//! This controller's part in the cells that share work: what `rowanmill-cells` asks of the scheduler, and
//! what the ledger changes about users' requests and workers' reports. Without an operators' file there
//! are no cells, and none of this does anything.

mod attestation;
pub mod protection;
pub mod requests;

pub use attestation::{ATTESTATION_QUERY, answer_query};

use crate::api::users::{Verdict, check_acceptance, fits};
use crate::jobs::{Final, GivenUp, JobRecord, Stored, Submission};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::state::{Guard, Op, TxnError, final_key, given_up_key, job_key};
use crate::workers::Report;
use protection::ProtectionExclusion;
use rowanmill_cells::record::CapacitySummary;
use rowanmill_cells::service::BackgroundTask;
use rowanmill_cells::{
    AdoptionOutcome, CellCoordinator, FinalState, LedgerJob, LocalJobState, OwnershipVersion,
    Scheduler, TrackedJob, Unavailable, WithdrawalCondition, WorkerTiming,
};
use rowanmill_state::Need;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

impl From<FinalState> for Final {
    fn from(last: FinalState) -> Self {
        match last {
            FinalState::Done => Final::Done,
            FinalState::Cancelled => Final::Cancelled,
        }
    }
}

/// What the cells' file is checked against.
pub fn worker_timing(settings: &crate::settings::Settings) -> WorkerTiming {
    WorkerTiming {
        lease: settings.worker_lease(),
        disconnected_lease_limit: settings.disconnected_lease_limit(),
        state_service: settings.endpoints.state,
    }
}

/// The scheduler as the cells reach it.
pub struct CellScheduler {
    node: Arc<Node>,
    cells: Arc<CellCoordinator>,
}

/// The endless tasks of this controller's part in the cells, with names for the log; none without cells.
pub fn background_tasks(
    node: &Arc<Node>,
) -> impl Iterator<Item = (&'static str, BackgroundTask)> + use<> {
    let tasks = node.cells.as_ref().map(|cells| {
        let scheduler = Arc::new(CellScheduler::new(node, cells));
        cells.background_tasks(&scheduler)
    });
    tasks.into_iter().flatten()
}

/// A job that the ledger should know, by its record.
fn stamped(id: &str, record: &JobRecord) -> Option<TrackedJob> {
    Some(TrackedJob {
        id: id.to_owned(),
        ownership: record.ledger?,
        is_stopped: record.cancelled,
    })
}

/// Jobs with tasks on a machine, by the records or by its report, that the ledger should know.
fn stamped_on(core: &Core, report: &Report) -> Vec<TrackedJob> {
    let recorded = core.replica.on.get(&report.machine).into_iter().flatten();
    let recorded = recorded.map(|(job, _)| job.as_str());
    let planned = core.plans.on(&report.machine).map(|(job, _)| job.as_str());
    let reported = report.tasks.iter();
    let reported = reported.filter_map(|task| crate::jobs::split_task(&task.task));
    let reported = reported.map(|(job, _)| job);
    let ids: BTreeSet<&str> = recorded.chain(planned).chain(reported).collect();
    let jobs = &core.replica.jobs;
    let stamped_job = |id: &str| stamped(id, &jobs.get(id)?.record);
    ids.into_iter().filter_map(stamped_job).collect()
}

/// Jobs on a machine that must not run by the ledger, whatever the cell's own records say yet.
pub fn halted_jobs_on(node: &Node, core: &Core, report: &Report) -> BTreeSet<String> {
    let Some(cells) = &node.cells else {
        return BTreeSet::new();
    };
    let stamped = stamped_on(core, report);
    match stamped.is_empty() {
        true => BTreeSet::new(),
        false => cells.halted_among(&stamped),
    }
}

/// Whether a machine's report may be answered as far as the ledger goes: one with tasks of its jobs would
/// else keep alive what another cell was told is cancelled, or has taken over.
pub fn permits_renewal(node: &Node, report: &Report, now: Instant) -> bool {
    let Some(cells) = &node.cells else {
        return true;
    };
    cells.permits_renewals(now) || stamped_on(&node.core(), report).is_empty()
}

/// Whether tasks may be started as far as the ledger goes.
pub fn permits_starts(node: &Node, now: Instant) -> bool {
    let cells = node.cells.as_ref();
    cells.is_none_or(|cells| cells.permits_starts(now))
}

impl CellScheduler {
    pub fn new(node: &Arc<Node>, cells: &Arc<CellCoordinator>) -> Self {
        Self {
            node: node.clone(),
            cells: cells.clone(),
        }
    }

    /// The job's description, read as strictly as a user's: another cell is trusted no more.
    fn record_of(&self, job: &LedgerJob, mark: u64) -> Result<JobRecord, String> {
        let text = job.description.to_string();
        let Submission { spec, .. } =
            Submission::read(text.as_bytes()).map_err(|problem| problem.to_string())?;
        Ok(JobRecord {
            spec,
            accepted_ms: job.accepted_ms,
            cancelled: false,
            placer: None,
            released_ms: (!job.depends_on.is_empty()).then(wall_ms),
            ledger: Some(OwnershipVersion {
                epoch: job.epoch,
                revision: mark,
            }),
            foreign: job.home != self.cells.cell_name(),
            withdrawn: false,
        })
    }

    fn verdict(&self, record: &JobRecord) -> Verdict {
        match fits(&self.node, record, &[]) {
            true => check_acceptance(&self.node, &record.spec, &[]),
            false => Verdict::TooLarge,
        }
    }

    /// Whether the job is another cell's and all its room is protected.
    fn exclusion_of(&self, record: &JobRecord) -> Option<ProtectionExclusion> {
        let exclusion =
            || protection::exclusion_of(&self.node, &self.node.core(), &record.spec, wall_ms());
        if record.foreign { exclusion() } else { None }
    }

    /// The revision and epoch of the cell's having given up the job.
    async fn given_up(&self, id: &str) -> Result<Option<(u64, GivenUp)>, Unavailable> {
        let pair = self.node.state.get_pair(&given_up_key(id)).await;
        let Some(pair) = pair.map_err(|_| Unavailable)? else {
            return Ok(None);
        };
        let given_up = serde_json::from_str(pair.data.get()).map_err(|_| Unavailable)?;
        Ok(Some((pair.mark, given_up)))
    }

    /// How the job ended in this cell, if it did.
    async fn ended(&self, id: &str) -> Result<bool, Unavailable> {
        if self.node.core().replica.ended(id).is_some() {
            return Ok(true);
        }
        let value = self.node.state.get(&final_key(id)).await;
        let Some(value) = value.map_err(|_| Unavailable)? else {
            return Ok(false);
        };
        let last = serde_json::from_value(value).map_err(|_| Unavailable)?;
        self.node.core().replica.remember_ended(id, last);
        Ok(true)
    }

    /// Puts the record of a job there. Its guards fail if the job was here since, however it left.
    pub async fn put(
        &self,
        id: &str,
        mut record: JobRecord,
        given_up: u64,
    ) -> Result<(), Unavailable> {
        let node = &self.node;
        if node.state.writes_left(Need::User) == 0 {
            return Err(Unavailable);
        }
        record.placer = membership::choose_placer(node, &mut node.core(), &record);
        let guards = [
            Guard::absent(job_key(id)),
            Guard::absent(final_key(id)),
            Guard {
                k: given_up_key(id),
                mark: given_up,
            },
        ];
        self.write(&guards, vec![Op::set(job_key(id), &Stored::Open(record))])
            .await
    }

    async fn write(&self, guards: &[Guard], changes: Vec<Op>) -> Result<(), Unavailable> {
        let node = &self.node;
        match node.state.transact(guards, &changes).await {
            Ok(ledger) => {
                node.core().apply(changes, ledger);
                node.wake_up.notify_one();
                Ok(())
            }
            Err(error) => {
                if !matches!(error, TxnError::Refused) {
                    node.sync().await;
                }
                Err(Unavailable)
            }
        }
    }

    /// Changes an open job's record, if `change` makes another of it.
    async fn change(
        &self,
        id: &str,
        change: impl FnOnce(&Core, &crate::state::replica::Job) -> Option<JobRecord>,
    ) -> Result<(), Unavailable> {
        let (guard, record) = {
            let core = self.node.core();
            let Some(job) = core.replica.jobs.get(id) else {
                return Ok(());
            };
            let Some(record) = change(&core, job) else {
                return Ok(());
            };
            let guard = Guard {
                k: job_key(id),
                mark: job.mark,
            };
            (guard, record)
        };
        let put = Op::set(job_key(id), &Stored::Open(record));
        self.write(&[guard], vec![put]).await
    }
}

/// Where a job stands, by the records in memory.
fn local_job(node: &Node, core: &Core, id: &str, now_ms: u64) -> LocalJobState {
    let Some(job) = core.replica.jobs.get(id) else {
        return match core.replica.ended(id) {
            Some(Final::Done) => LocalJobState::Completed,
            Some(Final::Cancelled) => LocalJobState::Cancelled,
            // Nothing is done about one whose record cannot be read.
            None if core.replica.is_unreadable(id) => LocalJobState::Cancelling,
            None => LocalJobState::Absent,
        };
    };
    if job.record.withdrawn {
        return LocalJobState::Withdrawn;
    }
    if job.record.cancelled {
        return LocalJobState::Cancelling;
    }
    let planned = core.plans.of(id).is_some_and(|planned| !planned.is_empty());
    let begun = job.placed > 0 || job.done > 0 || planned;
    let spec = &job.record.spec;
    LocalJobState::Open {
        has_started: begun,
        age_ms: now_ms.saturating_sub(job.record.since_ms()),
        excluded_by_protection: job.record.foreign
            && !begun
            && protection::exclusion_of(node, core, spec, now_ms).is_some(),
    }
}

/// What the cell has to offer, by its records.
fn summary(core: &Core, now_ms: u64) -> CapacitySummary {
    let capacity: f64 = core.replica.fleet.machines.values().fold(0.0, |sum, m| {
        sum + core.kind(&m.kind).map_or(0.0, |kind| kind.cpus)
    });
    let (mut used, mut waiting) = (0.0, 0);
    for job in core.replica.jobs.values() {
        used += f64::from(job.placed) * job.record.spec.cpus;
        if !job.record.cancelled {
            let left = job.record.spec.tasks.saturating_sub(job.done + job.placed);
            waiting += u64::from(left);
        }
    }
    CapacitySummary {
        computed_ms: now_ms,
        waiting_tasks: waiting,
        free_cpus: (capacity - used).max(0.0),
        can_rent: core.rent.refused.is_empty(),
    }
}

impl Scheduler for CellScheduler {
    fn is_leader(&self) -> bool {
        membership::lead_mark(&self.node).is_some()
    }

    fn local_job_states(&self, ids: &[String]) -> Vec<LocalJobState> {
        let core = self.node.core();
        let now_ms = wall_ms();
        let local = ids
            .iter()
            .map(|id| local_job(&self.node, &core, id, now_ms));
        local.collect()
    }

    fn tracked_jobs(&self) -> Vec<TrackedJob> {
        let core = self.node.core();
        let jobs = core.replica.jobs.iter();
        jobs.filter_map(|(id, job)| stamped(id, &job.record))
            .collect()
    }

    fn capacity_summary(&self) -> CapacitySummary {
        summary(&self.node.core(), wall_ms())
    }

    fn can_run(&self, job: &LedgerJob) -> bool {
        self.record_of(job, 0).is_ok_and(|record| {
            self.exclusion_of(&record).is_none() && self.verdict(&record) == Verdict::Takes
        })
    }

    async fn adopt(
        &self,
        id: &str,
        job: &LedgerJob,
        mark: u64,
    ) -> Result<AdoptionOutcome, Unavailable> {
        if !self.node.sync().await {
            return Err(Unavailable);
        }
        {
            let core = self.node.core();
            if core.replica.is_unreadable(id) {
                return Err(Unavailable);
            }
            if let Some(held) = core.replica.jobs.get(id) {
                // One that is on its way out is taken again once it has left.
                return match held.record.withdrawn {
                    true => Err(Unavailable),
                    false => Ok(AdoptionOutcome::Adopted),
                };
            }
        }
        // Read before the other key: a job that ends or leaves meanwhile fails the guards.
        let given_up = self.given_up(id).await?;
        if self.ended(id).await? {
            return Ok(AdoptionOutcome::AlreadyEnded);
        }
        if let Some((_, GivenUp { epoch })) = given_up
            && epoch == job.epoch
        {
            return Ok(AdoptionOutcome::Relinquished { epoch });
        }
        let record = match self.record_of(job, mark) {
            Ok(record) => record,
            Err(reason) => return Ok(AdoptionOutcome::Ineligible { reason }),
        };
        if let Some(ProtectionExclusion { until_ms }) = self.exclusion_of(&record) {
            let reason = match until_ms {
                Some(at_ms) => format!("only protected room, until {at_ms} ms of the epoch"),
                None => "only protected room".to_owned(),
            };
            return Ok(AdoptionOutcome::Ineligible { reason });
        }
        match self.verdict(&record) {
            Verdict::Takes => {}
            Verdict::Never(reason) => {
                let reason = reason.to_owned();
                return Ok(AdoptionOutcome::Ineligible { reason });
            }
            Verdict::TooLarge => {
                let reason = "more than a record takes".to_owned();
                return Ok(AdoptionOutcome::Ineligible { reason });
            }
            Verdict::Undecided | Verdict::NoMemory | Verdict::NotYet => return Err(Unavailable),
        }
        let mark = given_up.map_or(0, |(mark, _)| mark);
        self.put(id, record, mark)
            .await
            .map(|()| AdoptionOutcome::Adopted)
    }

    async fn relinquish(&self, id: &str, epoch: u64) -> Result<bool, Unavailable> {
        if !self.node.sync().await {
            return Err(Unavailable);
        }
        let given_up = self.given_up(id).await?;
        let guards = [
            Guard::absent(job_key(id)),
            Guard::absent(final_key(id)),
            Guard {
                k: given_up_key(id),
                mark: given_up.map_or(0, |(mark, _)| mark),
            },
        ];
        let put = Op::set(given_up_key(id), &GivenUp { epoch });
        self.write(&guards, vec![put]).await.map(|()| true)
    }

    async fn cancel(&self, id: &str) -> Result<(), Unavailable> {
        self.change(id, |_, job| {
            let record = &job.record;
            (!record.cancelled).then(|| record.clone().into_cancelled())
        })
        .await
    }

    async fn withdraw(
        &self,
        id: &str,
        ownership: OwnershipVersion,
        condition: WithdrawalCondition,
    ) -> Result<(), Unavailable> {
        self.change(id, |core, job| {
            let local = local_job(&self.node, core, id, wall_ms());
            let begun = matches!(
                local,
                LocalJobState::Open {
                    has_started: true,
                    ..
                }
            );
            let stays =
                job.record.withdrawn || (condition == WithdrawalCondition::NotStarted && begun);
            (!stays).then(|| job.record.clone().into_withdrawn(ownership))
        })
        .await
    }

    async fn collect_attestations(&self, cell: &str, revision: u64) -> Option<Vec<String>> {
        let others = self.cells.other_controllers(self.node.settings.mesh_addr);
        attestation::collect_attestations(others, cell, revision).await
    }
}
