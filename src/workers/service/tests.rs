//! Traces of heartbeats as they arrive: early, late, or from an agent that receives no response.

use super::*;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::membership::assignment::Member;
use crate::membership::schema_versions::FeatureLevel;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::state::{Operation, RecordKey};
use crate::workers::ingest::record_sign_of_life;
use crate::workers::wire::HeartbeatResponse;
use rowanmill_config::ConfigFile;
use serde_json::{Value, json};

struct Scene {
    node: Node,
    start: Instant,
    revision: u64,
    /// Whether the records were read right before each report, or seconds ago.
    contact: bool,
    trace: String,
}

fn settings() -> Settings {
    let settings = json!({"member": "millstone-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2", "known": [],
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {"size": 1, "zones": ["a"], "teams": [{"name": "t"}],
            "workers": {"report_s": 1.5, "lease_s": 11.0, "gang_wait_s": 5.0,
                "gang_peer_s": 2.0, "cancel_s": 36.0},
            "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 4.0},
            "limits": {"core_share": 1.0, "mem_mb": 72.0, "sockets": 500}, "skew_ms": 25.0}});
    Settings::parse(&settings.to_string(), "test").unwrap()
}

impl Scene {
    fn new() -> Self {
        let scene = Self {
            node: Node::new(FeatureLevel::COMPACT_PAGES, settings(), Policy::default()),
            start: Instant::now(),
            revision: 10,
            contact: true,
            trace: String::new(),
        };
        let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":4,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
        scene.put("r/j/job-1", job, 5);
        scene
    }

    fn put(&self, key: &str, data: Value, revision: u64) {
        let mut core = self.node.core();
        core.replica.apply_put(key, &data.to_string(), revision);
    }

    /// vm-1 belongs to this node, or to another, under that token.
    fn owner(&mut self, ours: bool, token: u64) {
        let other = Member {
            name: "millstone-1".into(),
            incarnation: 1,
        };
        let rental = Rental {
            pool: MachinePool {
                machine_type: "m".into(),
                zone: "a".into(),
                spot: false,
            },
            count: 1,
            requested_ms: 0,
            unconfirmed: false,
            machines: vec![RentedMachine {
                name: "vm-1".into(),
                owner: if ours {
                    self.node.identity.clone()
                } else {
                    other
                },
                fencing_token: token,
                state: MachineState::Active,
            }],
        };
        self.revision += 1;
        let mut core = self.node.core();
        core.apply(
            vec![Operation::put(RecordKey::Rental("r-1"), &rental)],
            self.revision,
        );
        let me = self.node.identity.clone();
        core.update_ownership(&me, self.start);
        self.trace.push_str(&format!(
            "-- token {token}, {}\n",
            if ours { "ours" } else { "another's" }
        ));
    }

    /// The records place job-1/0 on vm-1.
    fn placed(&mut self, attempt: u64, session: u64) {
        self.revision += 1;
        self.put(
            "r/p/job-1/0",
            json!([[attempt, "vm-1", session]]),
            self.revision,
        );
        self.trace.push_str(&format!(
            "-- attempt {attempt} recorded in session {session}\n"
        ));
    }

    fn heartbeat(&mut self, at_s: u64, session: u64, seq: u64, token: u64, tasks: Value) {
        let heartbeat: Heartbeat =
            serde_json::from_value(json!({"millstone": "vm-1", "endpoint": "",
            "stone": "m", "yard": "a", "shift": session, "tally": seq, "warrant": token,
            "sacks": tasks}))
            .unwrap();
        let now = self.start + Duration::from_secs(at_s);
        let mut core = self.node.core();
        // Without contact they were read longer ago than starts may go by.
        let age = if self.contact { 0 } else { 4 };
        core.last_read_barrier = now.checked_sub(Duration::from_secs(age));
        let ingestion = ingest_heartbeat(&self.node, &mut core, &Arc::new(heartbeat), now);
        let what = match ingestion {
            Ingestion::NotOwner => "not ours".to_owned(),
            Ingestion::Stale => "late, changes nothing".to_owned(),
            Ingestion::Reconciled { response, .. } => {
                let commands = serde_json::to_string(&response.commands).unwrap();
                format!("token {} orders {commands}", response.fencing_token)
            }
        };
        let status = core.workers.agents.get("vm-1");
        let seen = status.map_or("unknown".to_owned(), |status| {
            let heard = status
                .last_heartbeat_at
                .saturating_duration_since(self.start);
            let heard = heard.as_secs();
            let deaf = if status.unresponsive_since.is_some() {
                ", deaf"
            } else {
                ""
            };
            let ready = if status.ownership_acknowledged {
                ""
            } else {
                ", not to be placed on"
            };
            format!("heard at {heard} s{ready}{deaf}")
        });
        let planned = core.pending_changes.get("job-1", 0);
        let planned = planned.map_or(String::new(), |p| format!("; to record: {p:?}"));
        let line =
            format!("{at_s} s session {session} #{seq} token {token}: {what}; {seen}{planned}\n");
        drop(core);
        self.trace.push_str(&line);
    }
}

fn running(attempt: u64) -> Value {
    json!([{"sack": "job-1/0", "turn": attempt, "stage": "running"}])
}

/// Rule `ran_twice`: a copy of a heartbeat from before a start would prove the task absent; one from
/// before a change of owner would bring a dead machine back.
#[test]
fn stale_heartbeats_prove_nothing() {
    let mut scene = Scene::new();
    scene.owner(true, 7);
    scene.heartbeat(1, 1, 1, 0, json!([]));
    scene.heartbeat(2, 1, 2, 7, json!([]));
    scene.placed(1, 1);
    scene.heartbeat(4, 1, 3, 7, json!([]));
    scene.heartbeat(6, 1, 4, 7, running(1));
    // A copy of #3, and one of #4 itself: no news, and no sign of life.
    scene.heartbeat(9, 1, 3, 7, json!([]));
    scene.heartbeat(10, 1, 4, 7, running(1));
    // A copy that comes long after the session ended.
    scene.heartbeat(20, 2, 9, 7, json!([]));
    scene.heartbeat(45, 1, 4, 7, running(1));
    // Another's for a while, then ours again: what was seen before is void, and the copy from
    // then shows a machine that does not know our token.
    scene.owner(false, 8);
    scene.heartbeat(46, 2, 12, 7, json!([]));
    scene.owner(true, 9);
    scene.placed(2, 2);
    scene.heartbeat(50, 2, 12, 7, json!([]));
    scene.heartbeat(51, 2, 13, 9, running(2));
    insta::assert_snapshot!(scene.trace);
}

/// An agent whose heartbeats arrive and which receives no response: its machine must not be counted on, and what was
/// recorded there starts elsewhere only once its lease has provably ended.
#[test]
fn an_unresponsive_agent_is_known_by_ignored_commands() {
    let mut scene = Scene::new();
    scene.owner(true, 7);
    scene.heartbeat(1, 1, 1, 0, json!([]));
    scene.heartbeat(2, 1, 2, 7, json!([]));
    scene.placed(1, 1);
    for n in 0..8 {
        scene.heartbeat(3 + n * 2, 1, 3 + n, 7, json!([]));
    }
    scene.heartbeat(19, 2, 12, 7, json!([]));
    // One that never heard us at all.
    let mut other = Scene::new();
    other.owner(true, 7);
    for n in 0..3 {
        other.heartbeat(1 + n * 5, 1, 1 + n, 0, json!([]));
    }
    insta::assert_snapshot!(format!("{}never heard us\n{}", scene.trace, other.trace));
}

/// With heartbeats seconds apart a gang waited for the last of its machines' heartbeats. Only the response to a
/// machine that has nothing to report meanwhile is held, and it goes out at once when there is work or a new
/// owner.
#[test]
fn the_response_to_an_idle_machine_is_held_until_there_is_work() {
    let mut scene = Scene::new();
    let say = |scene: &mut Scene, what: &str, tasks: Value| {
        let heartbeat: Heartbeat =
            serde_json::from_value(json!({"millstone": "vm-1", "endpoint": "",
            "stone": "m", "yard": "a", "shift": 1, "tally": 1, "warrant": 7, "sacks": tasks}))
            .unwrap();
        let response = HeartbeatResponse {
            fencing_token: 7,
            commands: Vec::new(),
        };
        let mut core = scene.node.core();
        let wait = hold_while_idle(&scene.node, &mut core, &heartbeat, &response);
        drop(core);
        let shown = match &wait {
            Some((_, within)) => format!("waits for {} ms", within.as_millis()),
            None => "is answered at once".into(),
        };
        scene.trace.push_str(&format!("{what}: {shown}\n"));
        wait.map(|(released, _)| released)
    };
    scene.owner(true, 7);
    scene.heartbeat(1, 1, 1, 7, json!([]));
    assert!(say(&mut scene, "with a task", running(1)).is_none());
    let mut released = say(&mut scene, "idle", json!([])).unwrap();
    assert!(released.try_recv().is_err());
    scene.node.core().workers.release_held_response("vm-1");
    assert!(released.try_recv().is_ok());
    let mut released = say(&mut scene, "idle", json!([])).unwrap();
    scene.owner(false, 8);
    assert!(released.try_recv().is_ok(), "it was reassigned");
    scene.owner(true, 9);
    assert!(say(&mut scene, "yet to see our token", json!([])).is_none());
    insta::assert_snapshot!(scene.trace, @r#"
    -- token 7, ours
    1 s session 1 #1 token 7: token 7 orders []; heard at 1 s
    with a task: is answered at once
    idle: waits for 750 ms
    idle: waits for 750 ms
    -- token 8, another's
    -- token 9, ours
    yet to see our token: is answered at once
    "#);
}

/// Rule `ran_cancelled`: a node that the state service refuses alone does not know what another has
/// confirmed since. It starts nothing by what its records still say, and stops what it is told of.
#[test]
fn a_node_without_recent_records_starts_nothing_and_stops_what_peers_cancelled() {
    let mut scene = Scene::new();
    scene.owner(true, 7);
    scene.heartbeat(1, 1, 1, 7, json!([]));
    scene.contact = false;
    scene.placed(1, 1);
    scene.heartbeat(2, 1, 2, 7, json!([]));
    scene.contact = true;
    scene.heartbeat(3, 1, 3, 7, json!([]));
    scene.contact = false;
    let runs = json!([{"sack": "job-1/0", "turn": 1, "stage": "running"}]);
    scene.heartbeat(4, 1, 4, 7, runs.clone());
    scene.trace.push_str("-- told that it is cancelled\n");
    scene.node.peer_status().record_cancelled("job-1");
    scene.heartbeat(5, 1, 5, 7, runs);
    scene.heartbeat(6, 1, 6, 7, json!([]));
    insta::assert_snapshot!(scene.trace, @r#"
    -- token 7, ours
    1 s session 1 #1 token 7: token 7 orders []; heard at 1 s
    -- attempt 1 recorded in session 1
    2 s session 1 #2 token 7: token 7 orders []; heard at 2 s
    3 s session 1 #3 token 7: token 7 orders [{"verb":"run","sack":"job-1/0","turn":1}]; heard at 3 s
    4 s session 1 #4 token 7: token 7 orders []; heard at 4 s
    -- told that it is cancelled
    5 s session 1 #5 token 7: token 7 orders [{"verb":"stop","sack":"job-1/0","turn":1,"windDownS":0.0}]; heard at 5 s
    6 s session 1 #6 token 7: token 7 orders []; heard at 6 s; to record: Waiting { last: 1 }
    "#);
}

/// Machines that were released right after an outage, and controllers that stepped down, found in a recorded
/// run: heartbeats that a node may not answer were no sign of life. A stale copy is none.
#[test]
fn a_refused_heartbeat_is_a_sign_of_life() {
    let mut scene = Scene::new();
    scene.owner(true, 7);
    scene.heartbeat(1, 1, 4, 7, json!([]));
    let mut trace = String::new();
    for (at_s, seq, token) in [(30, 4, 7), (31, 5, 6), (32, 6, 7)] {
        let heartbeat = json!({"millstone": "vm-1", "endpoint": "", "stone": "m", "yard": "a",
            "shift": 1, "tally": seq, "warrant": token, "sacks": []});
        let heartbeat: Heartbeat = serde_json::from_value(heartbeat).unwrap();
        let mut core = scene.node.core();
        record_sign_of_life(
            &mut core,
            &heartbeat,
            scene.start + Duration::from_secs(at_s),
        );
        let heard = core.workers.agents["vm-1"].last_heartbeat_at - scene.start;
        trace.push_str(&format!(
            "{at_s} s #{seq} token {token}: heard at {} s\n",
            heard.as_secs()
        ));
    }
    insta::assert_snapshot!(trace, @r"
    30 s #4 token 7: heard at 1 s
    31 s #5 token 6: heard at 1 s
    32 s #6 token 7: heard at 32 s
    ");
}
