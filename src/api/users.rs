//! Submissions, polls and cancellations.

use super::{Answer, Server, come_back, error, json};
use crate::jobs::{Final, JobRecord, JobSpec, Stage, is_job_id};
use crate::membership;
use crate::node::{Core, Node, wall_ms};
use crate::placement::views::{kinds_for, room_of};
use crate::state::budget::Need;
use crate::state::{Guard, Op, TxnError, final_key, job_key};
use hyper::StatusCode;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

#[derive(Serialize)]
struct Told<'a> {
    #[serde(rename = "nameId")]
    id: &'a str,
    stage: Stage,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

fn told(id: &str, stage: Stage) -> Told<'_> {
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

fn no_state() -> Answer {
    come_back(StatusCode::SERVICE_UNAVAILABLE, 1, "no state service")
}

fn busy() -> Answer {
    come_back(StatusCode::TOO_MANY_REQUESTS, 1, "too much at once")
}

/// What is known of a job, with nothing older than the call.
enum Known {
    Live(Stage, u32, u32),
    Over(Final),
    Never,
    Unclear,
}

fn live(core: &Core, id: &str) -> Option<Known> {
    let job = core.replica.jobs.get(id)?;
    Some(Known::Live(job.stage(), job.done, job.placed))
}

async fn look_up(node: &Arc<Node>, id: &str) -> Known {
    // A final state never changes, so that memory may answer it at any time.
    if let Some(last) = node.core().replica.ended(id) {
        return Known::Over(last);
    }
    if !node.has_state(OUT) || !node.sync().await {
        return Known::Unclear;
    }
    {
        let core = node.core();
        if let Some(known) = live(&core, id) {
            return known;
        }
        if let Some(last) = core.replica.ended(id) {
            return Known::Over(last);
        }
    }
    match node.state.get(&final_key(id)).await {
        Ok(Some(value)) => match serde_json::from_value::<Final>(value) {
            Ok(last) => {
                node.core().replica.remember_ended(id, last);
                Known::Over(last)
            }
            Err(_) => Known::Unclear,
        },
        Ok(None) => Known::Never,
        Err(_) => Known::Unclear,
    }
}

pub async fn poll(server: &Server, id: &str) -> Answer {
    if !is_job_id(id) {
        return error(StatusCode::NOT_FOUND, "no such job");
    }
    let node = &server.node;
    let ended = {
        let mut core = node.core();
        core.counts.polls += 1;
        core.replica.ended(id)
    };
    if let Some(last) = ended {
        return json(StatusCode::OK, &told(id, last.into()));
    }
    let Some(_permit) = server.limit.enter(0.9) else {
        return busy();
    };
    match look_up(node, id).await {
        Known::Live(stage, done, placed) => json(
            StatusCode::OK,
            &Told {
                id,
                stage,
                done: Some(done),
                running: Some(placed),
            },
        ),
        Known::Over(last) => json(StatusCode::OK, &told(id, last.into())),
        Known::Never => error(StatusCode::NOT_FOUND, "no such job"),
        Known::Unclear => no_state(),
    }
}

pub async fn submit(server: &Server, body: &[u8]) -> Answer {
    let node = &server.node;
    let spec = match JobSpec::read(body) {
        Ok(spec) => spec,
        Err(problem) => {
            // A job that was accepted is known whatever a repeat of it carries.
            return error(StatusCode::BAD_REQUEST, &problem.to_string());
        }
    };
    let id = spec.id.clone();
    let ended = {
        let mut core = node.core();
        core.counts.submitted += 1;
        core.replica.ended(&id)
    };
    if let Some(last) = ended {
        return json(StatusCode::OK, &told(&id, last.into()));
    }
    let Some(_permit) = server.limit.enter(0.8) else {
        return busy();
    };
    if !node.has_state(OUT) {
        return no_state();
    }
    // A known job's state must be of now; for a new one the guards of its record say the same.
    let seems_known = node.core().replica.jobs.contains_key(&id);
    let verdict = judge(node, &spec);
    if seems_known || verdict != Verdict::Takes {
        match look_up(node, &id).await {
            Known::Live(stage, ..) => return json(StatusCode::OK, &told(&id, stage)),
            Known::Over(last) => return json(StatusCode::OK, &told(&id, last.into())),
            Known::Unclear => return no_state(),
            Known::Never => {}
        }
    }
    match verdict {
        Verdict::Never(reason) => return error(StatusCode::UNPROCESSABLE_ENTITY, reason),
        Verdict::Undecided => {
            return come_back(StatusCode::SERVICE_UNAVAILABLE, 1, "no catalogue yet");
        }
        Verdict::Takes => {}
    }
    if node.state.writes_left(Need::User) == 0 {
        return busy();
    }
    let placer = membership::choose_placer(node, &mut node.core(), &spec);
    let record = JobRecord {
        spec,
        accepted_ms: wall_ms(),
        cancelled: false,
        placer,
    };
    let guards = [
        Guard {
            k: job_key(&id),
            mark: 0,
        },
        Guard {
            k: final_key(&id),
            mark: 0,
        },
    ];
    let put = Op::set(job_key(&id), &record);
    match node
        .state
        .transact(&guards, std::slice::from_ref(&put))
        .await
    {
        Ok(ledger) => {
            node.core().apply(vec![put], ledger);
            node.stirred.notify_one();
            json(StatusCode::CREATED, &told(&id, Stage::Queued))
        }
        Err(TxnError::Conflict(_)) => match look_up(node, &id).await {
            Known::Live(stage, ..) => json(StatusCode::OK, &told(&id, stage)),
            Known::Over(last) => json(StatusCode::OK, &told(&id, last.into())),
            Known::Never | Known::Unclear => no_state(),
        },
        Err(_) => no_state(),
    }
}

#[derive(Debug, PartialEq)]
enum Verdict {
    Takes,
    Never(&'static str),
    Undecided,
}

fn judge(node: &Node, spec: &JobSpec) -> Verdict {
    let teams = &node.settings.params.teams;
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Verdict::Never("unknown team");
    };
    let at_once = if spec.is_gang() { spec.tasks } else { 1 };
    let all = spec.need().times(f64::from(at_once));
    let over = |max: f64, needs: f64| max > 0.0 && needs > max + 1e-6;
    if over(team.cpus_max, all.cpus) || over(team.gpus_max, all.gpus) {
        return Verdict::Never("more than the team's limit");
    }
    let core = node.core();
    if core.kinds.is_empty() {
        return Verdict::Undecided;
    }
    if kinds_for(&core, spec).is_empty() {
        let fits_some = core.kinds.iter().any(|k| spec.need().fits(&room_of(k)));
        return Verdict::Never(match fits_some {
            true => "no allowed machine type takes a task of it",
            false => "no machine type takes a task of it",
        });
    }
    Verdict::Takes
}

pub async fn abort(server: &Server, id: &str) -> Answer {
    if !is_job_id(id) {
        return error(StatusCode::NOT_FOUND, "no such job");
    }
    let node = &server.node;
    if let Some(last) = node.core().replica.ended(id) {
        return json(StatusCode::OK, &told(id, last.into()));
    }
    let Some(_permit) = server.limit.enter(1.0) else {
        return busy();
    };
    for _ in 0..4 {
        match look_up(node, id).await {
            Known::Over(last) => return json(StatusCode::OK, &told(id, last.into())),
            Known::Live(Stage::Cancelled, ..) => {
                return json(StatusCode::OK, &told(id, Stage::Cancelled));
            }
            Known::Never => return error(StatusCode::NOT_FOUND, "no such job"),
            Known::Unclear => return no_state(),
            Known::Live(..) => {}
        }
        let Some((mut record, mark)) = node
            .core()
            .replica
            .jobs
            .get(id)
            .map(|j| (j.record.clone(), j.mark))
        else {
            continue;
        };
        record.cancelled = true;
        let guards = [Guard {
            k: job_key(id),
            mark,
        }];
        let put = Op::set(job_key(id), &record);
        match node
            .state
            .transact(&guards, std::slice::from_ref(&put))
            .await
        {
            Ok(ledger) => {
                node.core().apply(vec![put], ledger);
                node.stirred.notify_one();
                return json(StatusCode::OK, &told(id, Stage::Cancelled));
            }
            // It changed under us: perhaps it is done by now.
            Err(TxnError::Conflict(_)) => continue,
            Err(_) => return no_state(),
        }
    }
    no_state()
}
