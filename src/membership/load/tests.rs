use super::*;
use crate::cloud::MachineType;
use crate::membership::schema_versions;
use crate::policy::Policy;
use crate::settings::Settings;
use rowanmill_config::ConfigFile;
use serde_json::json;

/// Guards against a new load estimate for each of many submissions, which delayed the answers to heartbeats after an
/// outage. The submissions share one estimate and are still distributed among the controllers.
#[test]
fn submissions_in_quick_succession_are_distributed_by_a_single_load_estimate() {
    let settings = json!({"member": "n-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:2", "known": [],
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {"size": 2, "zones": ["a"], "teams": [{"name": "t"}],
            "workers": {"report_s": 1.5, "lease_s": 11.0, "gang_wait_s": 5.0,
                "gang_peer_s": 2.0, "cancel_s": 36.0},
            "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 4.0},
            "limits": {"core_share": 1.0, "mem_mb": 72.0, "sockets": 500}, "skew_ms": 25.0}});
    let settings = Settings::parse(&settings.to_string(), "test").unwrap();
    let node = Node::new(
        schema_versions::FeatureLevel::COMPACT_PAGES,
        settings,
        Policy::default(),
    );
    let mut core = node.core();
    let machine_type = json!({"sku":"m","cpus":4.0,"memGb":16.0,"hourly":1.0,"yards":["a"]});
    core.machine_types = vec![serde_json::from_value::<MachineType>(machine_type).unwrap()];
    let members = json!([{"name":"n-0","incarnation":1},{"name":"n-1","incarnation":1}]);
    let assignment =
        json!({"members":members,"teams":{},"gangs":[0],"had_gangs":false,"slots":[0]});
    core.replica
        .apply_put("r/shares", &assignment.to_string(), 5);
    let job = |tasks: u32| -> JobRecord {
        let spec = json!({"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":tasks,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0});
        serde_json::from_value(json!({"spec": spec, "accepted_ms": 0})).unwrap()
    };
    let chosen = [40, 4, 4, 4, 40, 8].map(|tasks| {
        let name = choose_placer(&node, &mut core, &job(tasks)).unwrap();
        format!("{tasks} tasks to {name}")
    });
    let estimated_at = core.membership.load.as_ref().map(|e| e.estimated_at);
    choose_placer(&node, &mut core, &job(1)).unwrap();
    assert_eq!(
        core.membership.load.as_ref().map(|e| e.estimated_at),
        estimated_at,
        "the last submission made a new estimate"
    );
    insta::assert_snapshot!(chosen.join("\n"), @r#"
    40 tasks to n-0
    4 tasks to n-1
    4 tasks to n-1
    4 tasks to n-1
    40 tasks to n-1
    8 tasks to n-0
    "#);
}
