//! Submissions, polls and cancellations.

use super::Server;
use crate::cells::requests;
use crate::http::{HttpResponse, error_response, json_response, retry_later};
use crate::jobs::{
    JobRecord, JobSpec, SpecError, Stage, StoredJob, Submission, TerminalState, is_job_id,
};
use crate::membership;
use crate::metrics::{CpuAccount, memory};
use crate::node::{Core, Node, wall_ms};
use crate::pipelines::service::{CANCELLED, look_up_needs};
use crate::placement::capacity_of;
use crate::placement::snapshot::eligible_machine_types;
use crate::settings::Team;
use crate::state::{Operation, Precondition, TransactionError, final_key, job_key};
use hyper::StatusCode;
use rowanmill_limits::{ResourceAmount, TeamLimit};
use rowanmill_state::WritePriority;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

#[derive(Serialize)]
pub struct Told<'a> {
    #[serde(rename = "nameId")]
    id: &'a str,
    stage: Stage,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

/// A job's stage and how far it is.
pub fn told_progress(id: &str, stage: Stage, done: u32, running: u32) -> HttpResponse {
    let told = Told {
        id,
        stage,
        done: Some(done),
        running: Some(running),
    };
    json_response(StatusCode::OK, &told)
}

pub fn told(id: &str, stage: Stage) -> Told<'_> {
    Told {
        id,
        stage,
        done: None,
        running: None,
    }
}

/// Whether the state service has been out of reach for longer than a call takes: then a refusal
/// now is better than one after a wait.
const OUT: Duration = Duration::from_millis(3000);

fn no_state() -> HttpResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, 1, "no state service")
}

fn busy() -> HttpResponse {
    retry_later(StatusCode::TOO_MANY_REQUESTS, 1, "too much at once")
}

/// What is known of a job, with nothing older than the call.
pub enum Known {
    Live(Stage, u32, u32),
    Over(TerminalState),
    Never,
    Unclear,
}

fn live(core: &Core, id: &str) -> Option<Known> {
    if core.replica.pipelines.get(id).is_some() {
        // Cancelled with what it needs, whether that is in its own record yet or not.
        let stage = match core.replica.pipelines.is_doomed(id) {
            true => Stage::Cancelled,
            false => Stage::Queued,
        };
        return Some(Known::Live(stage, 0, 0));
    }
    let job = core.replica.jobs.get(id)?;
    Some(Known::Live(job.stage(), job.done, job.placed))
}

pub async fn current_state(node: &Arc<Node>, id: &str) -> Known {
    // A final state never changes, so that memory may answer it at any time.
    if let Some(last) = node.core().replica.final_state(id) {
        return Known::Over(last);
    }
    // Nor does a cancellation that another node confirmed, whether it is in the records here or not.
    if node.peer_status().cancelled.contains(id) {
        return Known::Live(Stage::Cancelled, 0, 0);
    }
    if !node.is_connected_within(OUT) || !node.read_barrier().await {
        return Known::Unclear;
    }
    // One that waits may be cancelled by what ended before this process began.
    let unknown = node.core().replica.unknown_ancestors(id);
    if !unknown.is_empty() && !look_up_needs(node, unknown).await {
        return Known::Unclear;
    }
    {
        let core = node.core();
        if let Some(known) = live(&core, id) {
            return known;
        }
        if let Some(last) = core.replica.final_state(id) {
            return Known::Over(last);
        }
        if core.replica.is_unreadable(id) {
            return Known::Unclear;
        }
    }
    match node.state.get(&final_key(id)).await {
        Ok(Some(value)) => match serde_json::from_value::<TerminalState>(value) {
            Ok(last) => {
                node.core().replica.record_final_state(id, last);
                Known::Over(last)
            }
            Err(_) => Known::Unclear,
        },
        Ok(None) => Known::Never,
        Err(_) => Known::Unclear,
    }
}

pub async fn poll(server: &Server, id: &str) -> HttpResponse {
    if !is_job_id(id) {
        return error_response(StatusCode::NOT_FOUND, "no such job");
    }
    let node = &server.node;
    node.core().metrics.status_polls += 1;
    if let Some(last) = ended_in_memory(node, id) {
        return json_response(StatusCode::OK, &told(id, last.into()));
    }
    let Some(_permit) = server.limit.enter(0.9) else {
        return busy();
    };
    if let Some(cells) = &node.cells {
        return requests::poll(node, cells, id).await;
    }
    match current_state(node, id).await {
        Known::Live(stage, done, placed) => told_progress(id, stage, done, placed),
        Known::Over(last) => json_response(StatusCode::OK, &told(id, last.into())),
        Known::Never => error_response(StatusCode::NOT_FOUND, "no such job"),
        Known::Unclear => no_state(),
    }
}

pub async fn submit(server: &Server, body: &[u8]) -> HttpResponse {
    let node = &server.node;
    let read = {
        let _charge = node.processor_time.charge(CpuAccount::UserRequests);
        Submission::read(body)
    };
    let Submission { spec, awaits } = match read {
        Ok(read) => read,
        Err(problem) => return refuse(server, body, &problem).await,
    };
    let id = spec.id.clone();
    node.core().metrics.submissions += 1;
    if let Some(last) = ended_in_memory(node, &id) {
        return json_response(StatusCode::OK, &told(&id, last.into()));
    }
    let Some(_permit) = server.limit.enter(0.8) else {
        return busy();
    };
    if !node.is_connected_within(OUT) {
        return no_state();
    }
    // A known job's state must be of now; for a new one the guards of its record say the same.
    let seems_known = node.core().replica.is_known(&id);
    let record = JobRecord {
        spec,
        accepted_ms: wall_ms(),
        cancelled: false,
        placer: None,
        released_ms: None,
        ledger: None,
        foreign: false,
        withdrawn: false,
    };
    let verdict = check_acceptance(node, &record.spec, &awaits);
    let verdict = match (verdict, fits(node, &record, &awaits)) {
        (_, false) => Verdict::TooLarge,
        // A process that ends for memory takes all its machines' answers with it.
        (Verdict::Takes, _) if node.memory.update(memory::allocated()) => Verdict::NoMemory,
        (verdict, true) => verdict,
    };
    let (record, awaits, verdict) = match &node.cells {
        None => (record, awaits, verdict),
        Some(cells) => {
            let (job, needs) = (record.clone(), awaits.clone());
            match requests::submit(server, cells, job, needs, verdict).await {
                Some(answer) => return answer,
                None => (record, awaits, Verdict::Takes),
            }
        }
    };
    let mut record = record;
    if seems_known || verdict != Verdict::Takes {
        match current_state(node, &id).await {
            Known::Live(stage, ..) => return json_response(StatusCode::OK, &told(&id, stage)),
            Known::Over(last) => return json_response(StatusCode::OK, &told(&id, last.into())),
            Known::Unclear => return no_state(),
            Known::Never => {}
        }
    }
    if verdict != Verdict::Takes {
        return refuse_for(&verdict);
    }
    let before = match what_is_before(node, &awaits).await {
        Ok(before) => before,
        Err(answer) => return answer,
    };
    if node.state.available_writes(WritePriority::UserFacing) == 0 {
        return busy();
    }
    if before == Before::Done {
        record.placer = membership::choose_placer(node, &mut node.core(), &record);
    }
    let guards = [
        Precondition {
            key: job_key(&id),
            revision: 0,
        },
        Precondition {
            key: final_key(&id),
            revision: 0,
        },
    ];
    let (put, stage) = match before {
        Before::Done => (
            Operation::put(job_key(&id), &StoredJob::Open(record)),
            Stage::Queued,
        ),
        Before::Open => {
            let blocked = StoredJob::Blocked { record, awaits };
            (Operation::put(job_key(&id), &blocked), Stage::Queued)
        }
        // It needs a cancelled job, and so it is over: taken all the same.
        Before::Cancelled => (
            Operation::put(final_key(&id), &TerminalState::Cancelled),
            Stage::Cancelled,
        ),
    };
    match node
        .state
        .compare_and_swap(&guards, std::slice::from_ref(&put))
        .await
    {
        Ok(revision) => {
            let mut core = node.core();
            match before {
                Before::Cancelled => core
                    .replica
                    .record_final_state(&id, TerminalState::Cancelled),
                _ => core.apply(vec![put], revision),
            }
            drop(core);
            node.wake_up.notify_one();
            json_response(StatusCode::CREATED, &told(&id, stage))
        }
        Err(TransactionError::Conflict(_)) => match current_state(node, &id).await {
            Known::Live(stage, ..) => json_response(StatusCode::OK, &told(&id, stage)),
            Known::Over(last) => json_response(StatusCode::OK, &told(&id, last.into())),
            Known::Never | Known::Unclear => no_state(),
        },
        Err(_) => no_state(),
    }
}

/// The answer to a new job that is not taken.
pub fn refuse_for(verdict: &Verdict) -> HttpResponse {
    let later = StatusCode::SERVICE_UNAVAILABLE;
    match verdict {
        Verdict::Never(reason) => error_response(StatusCode::UNPROCESSABLE_ENTITY, reason),
        Verdict::TooLarge => {
            let reason = "the job is more than a record takes";
            error_response(StatusCode::BAD_REQUEST, reason)
        }
        Verdict::Undecided => retry_later(later, 1, "no catalogue yet"),
        Verdict::NoMemory => retry_later(later, 2, "too little memory for more work"),
        Verdict::NotYet => {
            let reason = "jobs that wait for others are taken once all controllers can";
            retry_later(later, 3, reason)
        }
        Verdict::Takes => retry_later(later, 1, "to be taken"),
    }
}

/// How a job ended, if that is in memory: final states never change. Where there are cells, only what the
/// ledger holds is told to users.
fn ended_in_memory(node: &Node, id: &str) -> Option<TerminalState> {
    match &node.cells {
        Some(cells) => cells.final_state(id).map(TerminalState::from),
        None => node.core().replica.final_state(id),
    }
}

/// What cannot be read as a submission. A job that was accepted is known whatever a repeat of it
/// carries: a 400 would tell its user that it is not.
async fn refuse(server: &Server, body: &[u8], problem: &SpecError) -> HttpResponse {
    let never = || error_response(StatusCode::BAD_REQUEST, &problem.to_string());
    let Some(id) = Submission::names(body) else {
        return never();
    };
    let Some(_permit) = server.limit.enter(0.8) else {
        return busy();
    };
    if let Some(cells) = &server.node.cells
        && let Some(answer) = requests::answer_if_known(&server.node, cells, &id).await
    {
        return answer;
    }
    match current_state(&server.node, &id).await {
        Known::Live(stage, ..) => json_response(StatusCode::OK, &told(&id, stage)),
        Known::Over(last) => json_response(StatusCode::OK, &told(&id, last.into())),
        Known::Unclear => no_state(),
        Known::Never => never(),
    }
}

/// How the jobs stand that a new one has to wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Before {
    Done,
    Open,
    Cancelled,
}

/// Whatever becomes of them afterwards, what the new one's record says stays true: that one of them is
/// done or cancelled is final, and all else follows from the records when it is asked for.
async fn what_is_before(node: &Arc<Node>, awaits: &[String]) -> Result<Before, HttpResponse> {
    if awaits.is_empty() {
        return Ok(Before::Done);
    }
    if !node.read_barrier().await {
        return Err(no_state());
    }
    let mut before = Before::Done;
    for id in awaits {
        let known = {
            let core = node.core();
            if core.replica.is_unreadable(id) {
                return Err(no_state());
            }
            core.replica.is_known(id)
        };
        if !known {
            // With a read of its own: a job is in one of the two places from its acceptance on.
            match node.state.get(&final_key(id)).await {
                Ok(None) => {
                    let reason = "`awaits` names a job that was never accepted";
                    return Err(error_response(StatusCode::UNPROCESSABLE_ENTITY, reason));
                }
                Ok(Some(value)) => match serde_json::from_value::<TerminalState>(value) {
                    Ok(last) => node.core().replica.record_final_state(id, last),
                    Err(_) => return Err(no_state()),
                },
                Err(_) => return Err(no_state()),
            }
        }
        let unknown = node.core().replica.unknown_ancestors(id);
        if !unknown.is_empty() && !look_up_needs(node, unknown).await {
            return Err(no_state());
        }
        let core = node.core();
        let cancelled = core.replica.pipelines.is_doomed(id)
            || core
                .replica
                .jobs
                .get(id)
                .is_some_and(|j| j.record.cancelled);
        match (core.replica.final_state(id), cancelled) {
            (Some(TerminalState::Cancelled), _) | (_, true) => before = Before::Cancelled,
            (Some(TerminalState::Done), _) => {}
            (None, false) if before == Before::Done => before = Before::Open,
            (None, false) => {}
        }
    }
    Ok(before)
}

/// Whether a job's record fits a value for as long as it is kept, whichever limit holds by then.
pub fn fits(node: &Node, record: &JobRecord, awaits: &[String]) -> bool {
    let blocked = StoredJob::Blocked {
        record: record.clone(),
        awaits: awaits.to_vec(),
    };
    let bytes = serde_json::to_vec(&blocked).map_or(usize::MAX, |text| text.len());
    bytes + MORE_BYTES <= node.settings.max_value_bytes()
}

/// What comes to a job's record later: who places it, when it was released, that it was cancelled.
const MORE_BYTES: usize = 160;

#[derive(Debug, PartialEq)]
pub enum Verdict {
    Takes,
    Never(&'static str),
    TooLarge,
    Undecided,
    NoMemory,
    NotYet,
}

pub fn check_acceptance(node: &Node, spec: &JobSpec, awaits: &[String]) -> Verdict {
    let _charge = node.processor_time.charge(CpuAccount::UserRequests);
    if awaits.contains(&spec.id) {
        return Verdict::Never("`awaits` names the job itself");
    }
    let teams = &node.settings.params.teams;
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Verdict::Never("unknown team");
    };
    if !may_ever_start(team, spec) {
        return Verdict::Never("more than the team's limit");
    }
    let core = node.core();
    if core.kinds.is_empty() {
        return Verdict::Undecided;
    }
    let kinds = eligible_machine_types(&core, spec);
    if kinds.is_empty() {
        let fits_some = core
            .kinds
            .iter()
            .any(|k| spec.resources().fits(&capacity_of(k)));
        return Verdict::Never(match fits_some {
            true => "no allowed machine type takes a task of it",
            false => "no machine type takes a task of it",
        });
    }
    if spec.is_parted() && !has_two_zones(&core, spec, &kinds) {
        return Verdict::Never("no two zones for tasks that may not all be in one");
    }
    // A controller of the version before would run it at once.
    if !awaits.is_empty() && !core.replica.is_current_schema_active() {
        return Verdict::NotYet;
    }
    Verdict::Takes
}

/// Whether the least that a job can start with fits its team's limit, in the units in which limits are
/// counted: what is accepted must be able to start.
fn may_ever_start(team: &Team, spec: &JobSpec) -> bool {
    let at_once = if spec.is_gang() { spec.tasks } else { 1 };
    let limit = TeamLimit::from_settings(team.max_cpus, team.max_gpus).unwrap_or_default();
    let amount = ResourceAmount::for_tasks(spec.cpus, spec.gpus, at_once);
    !limit.is_limited()
        || amount.is_ok_and(|amount| limit.limited_part_of(amount).fits_within(limit.as_amount()))
}

/// Whether a job whose tasks must not all be in one zone may use two.
fn has_two_zones(core: &Core, spec: &JobSpec, kinds: &[String]) -> bool {
    let kinds = kinds.iter().filter_map(|name| core.kind(name));
    let zones: BTreeSet<&String> = kinds.flat_map(|kind| &kind.zones).collect();
    !spec.one_zone && spec.zone.is_none() && zones.len() > 1
}

pub async fn abort(server: &Server, id: &str) -> HttpResponse {
    if !is_job_id(id) {
        return error_response(StatusCode::NOT_FOUND, "no such job");
    }
    let node = &server.node;
    if let Some(last) = ended_in_memory(node, id) {
        return json_response(StatusCode::OK, &told(id, last.into()));
    }
    let Some(_permit) = server.limit.enter(1.0) else {
        return busy();
    };
    if let Some(cells) = &node.cells
        && let Some(answer) = requests::cancel(node, cells, id).await
    {
        return answer;
    }
    for _ in 0..4 {
        match current_state(node, id).await {
            Known::Over(last) => return json_response(StatusCode::OK, &told(id, last.into())),
            Known::Live(Stage::Cancelled, ..) => {
                return json_response(StatusCode::OK, &told(id, Stage::Cancelled));
            }
            Known::Never => return error_response(StatusCode::NOT_FOUND, "no such job"),
            Known::Unclear => return no_state(),
            Known::Live(..) => {}
        }
        let (revision, ops) = {
            let core = node.core();
            if let Some(held) = core.replica.pipelines.get(id) {
                // Nothing of it runs: it is over at once, and with it all that need it.
                (held.revision, vec![Operation::put(job_key(id), &CANCELLED)])
            } else if let Some(job) = core.replica.jobs.get(id) {
                let record = job.record.clone().into_cancelled();
                let put = Operation::put(job_key(id), &StoredJob::Open(record));
                (job.revision, vec![put])
            } else {
                continue;
            }
        };
        let guards = [Precondition {
            key: job_key(id),
            revision,
        }];
        match node.state.compare_and_swap(&guards, &ops).await {
            Ok(revision) => {
                node.core().apply(ops, revision);
                node.wake_up.notify_one();
                return json_response(StatusCode::OK, &told(id, Stage::Cancelled));
            }
            // It changed under us: perhaps it is done by now.
            Err(TransactionError::Conflict(_)) => continue,
            Err(_) => return no_state(),
        }
    }
    no_state()
}
