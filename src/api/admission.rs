//! Decides whether a new job is admitted, without side effects on jobs. [`super::submit`] acts on the decision for jobs
//! that users submit here, and [`crate::cells`] for jobs that the cell adopts from the ledger.

use crate::http::{HttpResponse, error_response, retry_later};
use crate::jobs::{JobRecord, JobSpec, StoredJob};
use crate::metrics::{CpuAccount, memory};
use crate::node::{Core, Node};
use crate::placement::capacity_of;
use crate::placement::snapshot::eligible_machine_types;
use crate::settings::Team;
use hyper::StatusCode;
use rowanmill_limits::{ResourceAmount, TeamLimit};
use std::collections::BTreeSet;

/// Bytes reserved for fields that are added to a job's record later: its placer, its release time and its cancellation.
const RECORD_GROWTH_BYTES: usize = 160;

/// The decision on a new job.
#[derive(Debug, PartialEq)]
pub enum Admission {
    Admitted,
    /// The job can never run, for this reason.
    Ineligible(&'static str),
    /// The job's record would exceed the state service's limit on a value's size.
    RecordTooLarge,
    /// The cloud's catalogue of machine types is not known yet.
    CatalogueUnknown,
    InsufficientMemory,
    /// The job has dependencies, which not all controllers support yet.
    DependenciesUnsupported,
}

impl Admission {
    /// The response to a job that is not admitted.
    pub fn refusal(&self) -> HttpResponse {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        match self {
            Admission::Ineligible(reason) => {
                error_response(StatusCode::UNPROCESSABLE_ENTITY, reason)
            }
            Admission::RecordTooLarge => {
                let reason = "the job is more than a record takes";
                error_response(StatusCode::BAD_REQUEST, reason)
            }
            Admission::CatalogueUnknown => retry_later(unavailable, 1, "no catalogue yet"),
            Admission::InsufficientMemory => {
                retry_later(unavailable, 2, "too little memory for more work")
            }
            Admission::DependenciesUnsupported => {
                let reason = "jobs that wait for others are taken once all controllers can";
                retry_later(unavailable, 3, reason)
            }
            Admission::Admitted => retry_later(unavailable, 1, "to be taken"),
        }
    }
}

/// Decides whether a job that a user submitted is admitted.
pub fn admit(node: &Node, record: &JobRecord, depends_on: &[String]) -> Admission {
    let admission = check_eligibility(node, &record.spec, depends_on);
    if !record_fits(node, record, depends_on) {
        return Admission::RecordTooLarge;
    }
    // A process that is killed for lack of memory can't answer the heartbeats of its machines.
    if admission == Admission::Admitted && node.memory.update(memory::allocated()) {
        return Admission::InsufficientMemory;
    }
    admission
}

/// Whether a job's record, including the fields that are added later, fits into a value under both the present and the
/// next size limit of the state service.
pub fn record_fits(node: &Node, record: &JobRecord, depends_on: &[String]) -> bool {
    let blocked = StoredJob::Blocked {
        record: record.clone(),
        depends_on: depends_on.to_vec(),
    };
    let bytes = serde_json::to_vec(&blocked).map_or(usize::MAX, |text| text.len());
    bytes + RECORD_GROWTH_BYTES <= node.settings.max_value_bytes()
}

/// Decides whether a job can run with the configured teams and the available machine types, and whether all controllers
/// support it.
pub fn check_eligibility(node: &Node, spec: &JobSpec, depends_on: &[String]) -> Admission {
    let _charge = node.processor_time.charge(CpuAccount::UserRequests);
    if depends_on.contains(&spec.id) {
        return Admission::Ineligible("`awaits` names the job itself");
    }
    let teams = &node.settings.params.teams;
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Admission::Ineligible("unknown team");
    };
    if !minimum_fits_team_limit(team, spec) {
        return Admission::Ineligible("more than the team's limit");
    }
    let core = node.core();
    if core.machine_types.is_empty() {
        return Admission::CatalogueUnknown;
    }
    if let Some(reason) = machine_ineligibility(&core, spec) {
        return Admission::Ineligible(reason);
    }
    // A controller of the previous version would run the job without waiting for its dependencies.
    if !depends_on.is_empty() && !core.replica.is_current_schema_active() {
        return Admission::DependenciesUnsupported;
    }
    Admission::Admitted
}

/// The reason why the available machine types can't run a job's tasks, if they can't.
fn machine_ineligibility(core: &Core, spec: &JobSpec) -> Option<&'static str> {
    let machine_types = eligible_machine_types(core, spec);
    if machine_types.is_empty() {
        let mut catalogue = core.machine_types.iter();
        let fits_any =
            catalogue.any(|machine_type| spec.resources().fits(&capacity_of(machine_type)));
        return Some(if fits_any {
            "no allowed machine type takes a task of it"
        } else {
            "no machine type takes a task of it"
        });
    }
    if spec.needs_two_zones() && !has_two_zones(core, spec, &machine_types) {
        return Some("no two zones for tasks that may not all be in one");
    }
    None
}

/// Whether the smallest set of tasks that the job can start with fits its team's limit, in the units in which limits are
/// counted. An admitted job must be able to start.
fn minimum_fits_team_limit(team: &Team, spec: &JobSpec) -> bool {
    let limit = TeamLimit::from_settings(team.max_cpus, team.max_gpus).unwrap_or_default();
    if !limit.is_limited() {
        return true;
    }
    let tasks_at_once = if spec.is_gang() { spec.tasks } else { 1 };
    let amount = ResourceAmount::for_tasks(spec.cpus, spec.gpus, tasks_at_once);
    amount.is_ok_and(|amount| limit.limited_part_of(amount).fits_within(limit.as_amount()))
}

/// Whether a job whose tasks must not all be in one zone can use at least two zones.
fn has_two_zones(core: &Core, spec: &JobSpec, machine_types: &[String]) -> bool {
    let machine_types = machine_types
        .iter()
        .filter_map(|name| core.machine_type(name));
    let zones: BTreeSet<&String> = machine_types
        .flat_map(|machine_type| &machine_type.zones)
        .collect();
    !spec.one_zone && spec.zone.is_none() && zones.len() > 1
}
