//! Tests of heartbeat handling, with heartbeats that arrive in order, late, or from an agent that receives no response.

use super::*;
use crate::fleet::{MachinePool, MachineState, Rental, RentedMachine};
use crate::membership::assignment::Member;
use crate::membership::schema_versions::FeatureLevel;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::state::{Operation, RecordKey};
use crate::workers::ingest::record_unanswered_heartbeat;
use crate::workers::wire::HeartbeatResponse;
use rowanmill_config::ConfigFile;
use serde_json::{Value, json};

struct Fixture {
    node: Node,
    start: Instant,
    revision: u64,
    /// Whether the records were read when a heartbeat arrives. If not, the last read is too old to permit starts.
    records_recent: bool,
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

impl Fixture {
    fn new() -> Self {
        let fixture = Self {
            node: Node::new(FeatureLevel::COMPACT_PAGES, settings(), Policy::default()),
            start: Instant::now(),
            revision: 10,
            records_recent: true,
            trace: String::new(),
        };
        let job = json!({"spec": {"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":4,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0}, "accepted_ms": 0});
        fixture.put("r/j/job-1", job, 5);
        fixture
    }

    fn put(&self, key: &str, data: Value, revision: u64) {
        let mut core = self.node.core();
        core.replica.apply_put(key, &data.to_string(), revision);
    }

    /// Records vm-1 as owned by this controller or by another, with the fencing token `token`.
    fn set_owner(&mut self, ours: bool, token: u64) {
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
        let identity = self.node.identity.clone();
        core.update_ownership(&identity, self.start);
        self.trace.push_str(&format!(
            "-- token {token}, {}\n",
            if ours { "ours" } else { "another's" }
        ));
    }

    /// Records that job-1/0 is placed on vm-1 in this incarnation of the agent.
    fn record_placement(&mut self, attempt: u64, incarnation: u64) {
        self.revision += 1;
        self.put(
            "r/p/job-1/0",
            json!([[attempt, "vm-1", incarnation]]),
            self.revision,
        );
        self.trace.push_str(&format!(
            "-- attempt {attempt} recorded in session {incarnation}\n"
        ));
    }

    /// Ingests a heartbeat of vm-1 and appends the result to the trace, which calls an incarnation `session`, commands
    /// `orders` and an unresponsive agent `deaf`.
    fn ingest(&mut self, at_s: u64, incarnation: u64, sequence: u64, token: u64, tasks: Value) {
        let heartbeat: Heartbeat =
            serde_json::from_value(json!({"millstone": "vm-1", "endpoint": "",
            "stone": "m", "yard": "a", "shift": incarnation, "tally": sequence,
            "warrant": token, "sacks": tasks}))
            .unwrap();
        let now = self.start + Duration::from_secs(at_s);
        let mut core = self.node.core();
        // 4 s exceeds `MAX_RECORDS_AGE_FOR_STARTS`.
        let age = if self.records_recent { 0 } else { 4 };
        core.last_read_barrier = now.checked_sub(Duration::from_secs(age));
        let ingestion = ingest_heartbeat(&self.node, &mut core, &Arc::new(heartbeat), now);
        let result = match ingestion {
            Ingestion::NotOwner => "not ours".to_owned(),
            Ingestion::Stale => "late, changes nothing".to_owned(),
            Ingestion::Reconciled { response, .. } => {
                let commands = serde_json::to_string(&response.commands).unwrap();
                format!("token {} orders {commands}", response.fencing_token)
            }
        };
        let status = core.workers.agents.get("vm-1");
        let agent_state = status.map_or("unknown".to_owned(), |status| {
            let heard = status
                .last_heartbeat_at
                .saturating_duration_since(self.start);
            let heard = heard.as_secs();
            let unresponsive = if status.unresponsive_since.is_some() {
                ", deaf"
            } else {
                ""
            };
            let unacknowledged = if status.ownership_acknowledged {
                ""
            } else {
                ", not to be placed on"
            };
            format!("heard at {heard} s{unacknowledged}{unresponsive}")
        });
        let pending = core.pending_changes.get("job-1", 0);
        let pending = pending.map_or(String::new(), |p| format!("; to record: {p:?}"));
        let line = format!(
            "{at_s} s session {incarnation} #{sequence} token {token}: {result}; {agent_state}{pending}\n"
        );
        drop(core);
        self.trace.push_str(&line);
    }
}

fn running(attempt: u64) -> Value {
    json!([{"sack": "job-1/0", "turn": attempt, "stage": "running"}])
}

/// Guards against a task that starts again although an attempt of it may still be running: a delayed heartbeat from
/// before a start must not count as proof that the task is absent, and one from before a change of owner must not count
/// as the agent's acknowledgement of the new owner, because the machine may be dead. No task is placed on the machine
/// before that acknowledgement.
#[test]
fn stale_heartbeats_prove_nothing() {
    let mut fixture = Fixture::new();
    fixture.set_owner(true, 7);
    fixture.ingest(1, 1, 1, 0, json!([]));
    fixture.ingest(2, 1, 2, 7, json!([]));
    fixture.record_placement(1, 1);
    fixture.ingest(4, 1, 3, 7, json!([]));
    fixture.ingest(6, 1, 4, 7, running(1));
    // Copies of #3 and of #4 change neither the state nor the time at which the agent was last heard from.
    fixture.ingest(9, 1, 3, 7, json!([]));
    fixture.ingest(10, 1, 4, 7, running(1));
    // A copy that arrives long after its incarnation ended.
    fixture.ingest(20, 2, 9, 7, json!([]));
    fixture.ingest(45, 1, 4, 7, running(1));
    // The machine is reassigned to another controller and back. The status from before is discarded, and the copy from
    // that time shows an agent that has not received the new token.
    fixture.set_owner(false, 8);
    fixture.ingest(46, 2, 12, 7, json!([]));
    fixture.set_owner(true, 9);
    fixture.record_placement(2, 2);
    fixture.ingest(50, 2, 12, 7, json!([]));
    fixture.ingest(51, 2, 13, 9, running(2));
    insta::assert_snapshot!(fixture.trace);
}

/// An agent whose heartbeats arrive but which no longer receives responses must be marked unresponsive once it has
/// ignored a command for long enough. The tasks recorded on its machine may start elsewhere only once a higher
/// incarnation proves that its lease has ended.
#[test]
fn an_unresponsive_agent_is_known_by_ignored_commands() {
    let mut fixture = Fixture::new();
    fixture.set_owner(true, 7);
    fixture.ingest(1, 1, 1, 0, json!([]));
    fixture.ingest(2, 1, 2, 7, json!([]));
    fixture.record_placement(1, 1);
    for n in 0..8 {
        fixture.ingest(3 + n * 2, 1, 3 + n, 7, json!([]));
    }
    fixture.ingest(19, 2, 12, 7, json!([]));
    // An agent that has never received a response does not count as unresponsive: no task is placed on its machine.
    let mut never_answered = Fixture::new();
    never_answered.set_owner(true, 7);
    for n in 0..3 {
        never_answered.ingest(1 + n * 5, 1, 1 + n, 0, json!([]));
    }
    insta::assert_snapshot!(format!(
        "{}never heard us\n{}",
        fixture.trace, never_answered.trace
    ));
}

/// Guards against slow starts of gangs: with heartbeats seconds apart, a gang waited for the next heartbeat of each of
/// its machines. Only the response to an idle machine is held, and it is sent at once when there is work or the machine
/// gets a new owner.
#[test]
fn the_response_to_an_idle_machine_is_held_until_there_is_work() {
    let mut fixture = Fixture::new();
    let hold_response = |fixture: &mut Fixture, case: &str, tasks: Value| {
        let heartbeat: Heartbeat =
            serde_json::from_value(json!({"millstone": "vm-1", "endpoint": "",
            "stone": "m", "yard": "a", "shift": 1, "tally": 1, "warrant": 7, "sacks": tasks}))
            .unwrap();
        let response = HeartbeatResponse {
            fencing_token: 7,
            commands: Vec::new(),
        };
        let mut core = fixture.node.core();
        let hold = hold_while_idle(&fixture.node, &mut core, &heartbeat, &response);
        drop(core);
        let outcome = match &hold {
            Some((_, limit)) => format!("waits for {} ms", limit.as_millis()),
            None => "is answered at once".into(),
        };
        fixture.trace.push_str(&format!("{case}: {outcome}\n"));
        hold.map(|(released, _)| released)
    };
    fixture.set_owner(true, 7);
    fixture.ingest(1, 1, 1, 7, json!([]));
    assert!(hold_response(&mut fixture, "with a task", running(1)).is_none());
    let mut released = hold_response(&mut fixture, "idle", json!([])).unwrap();
    assert!(
        released.try_recv().is_err(),
        "the response was released without a reason"
    );
    fixture.node.core().workers.release_held_response("vm-1");
    assert!(released.try_recv().is_ok(), "the response is still held");
    let mut released = hold_response(&mut fixture, "idle", json!([])).unwrap();
    fixture.set_owner(false, 8);
    assert!(
        released.try_recv().is_ok(),
        "the reassignment did not release the response"
    );
    fixture.set_owner(true, 9);
    assert!(hold_response(&mut fixture, "yet to see our token", json!([])).is_none());
    insta::assert_snapshot!(fixture.trace, @r#"
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

/// Guards against tasks that start, or are not stopped, although their job's cancellation was confirmed: a controller
/// that alone is disconnected from the state service doesn't know which cancellations others have confirmed since. It
/// must not start tasks by its old records, and must stop the tasks of jobs that its peers report as cancelled.
#[test]
fn a_controller_without_recent_records_starts_nothing_and_stops_what_peers_cancelled() {
    let mut fixture = Fixture::new();
    fixture.set_owner(true, 7);
    fixture.ingest(1, 1, 1, 7, json!([]));
    fixture.records_recent = false;
    fixture.record_placement(1, 1);
    fixture.ingest(2, 1, 2, 7, json!([]));
    fixture.records_recent = true;
    fixture.ingest(3, 1, 3, 7, json!([]));
    fixture.records_recent = false;
    let runs = json!([{"sack": "job-1/0", "turn": 1, "stage": "running"}]);
    fixture.ingest(4, 1, 4, 7, runs.clone());
    fixture.trace.push_str("-- told that it is cancelled\n");
    fixture.node.peer_status().record_cancelled("job-1");
    fixture.ingest(5, 1, 5, 7, runs);
    fixture.ingest(6, 1, 6, 7, json!([]));
    insta::assert_snapshot!(fixture.trace, @r#"
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

/// Guards against a failure found in a recorded run: heartbeats that a controller may not answer did not count as signs
/// that the machine is alive. Machines were released right after an outage of the state service, and controllers stepped
/// down. Copies, and heartbeats with an earlier fencing token, still don't count.
#[test]
fn a_refused_heartbeat_shows_that_the_machine_is_alive() {
    let mut fixture = Fixture::new();
    fixture.set_owner(true, 7);
    fixture.ingest(1, 1, 4, 7, json!([]));
    let mut trace = String::new();
    for (at_s, sequence, token) in [(30, 4, 7), (31, 5, 6), (32, 6, 7)] {
        let heartbeat = json!({"millstone": "vm-1", "endpoint": "", "stone": "m", "yard": "a",
            "shift": 1, "tally": sequence, "warrant": token, "sacks": []});
        let heartbeat: Heartbeat = serde_json::from_value(heartbeat).unwrap();
        let mut core = fixture.node.core();
        record_unanswered_heartbeat(
            &mut core,
            &heartbeat,
            fixture.start + Duration::from_secs(at_s),
        );
        let heard = core.workers.agents["vm-1"].last_heartbeat_at - fixture.start;
        trace.push_str(&format!(
            "{at_s} s #{sequence} token {token}: heard at {} s\n",
            heard.as_secs()
        ));
    }
    insta::assert_snapshot!(trace, @r"
    30 s #4 token 7: heard at 1 s
    31 s #5 token 6: heard at 1 s
    32 s #6 token 7: heard at 32 s
    ");
}
