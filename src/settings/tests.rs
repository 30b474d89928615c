use super::*;
use crate::fleet::max_machines_per_rental;
use serde_json::json;
use std::time::Duration;

fn settings(size: u32, sockets: usize, value_kb: f64, lease_s: f64, cancel_s: f64) -> String {
    json!({"member": "n", "site": "a", "api_addr": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "known": [], "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {"size": size, "zones": ["a"], "teams": [{"name": "t"}],
            "workers": {"report_s": 5.0, "lease_s": lease_s, "gang_wait_s": 35.0,
                "gang_peer_s": 8.0, "cancel_s": cancel_s},
            "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": value_kb, "txn_ops": 24},
            "cloud": {"rps": 9.0, "list_lag_s": 8.0},
            "limits": {"core_share": 0.2, "mem_mb": 188.0, "sockets": sockets},
            "skew_ms": 25.0}})
    .to_string()
}

/// A single remaining controller, of three or of five, owns all machines of a fleet. The fleet is meant to be 1.5 times
/// the largest known one. The machines' connections must fit the controller's socket limit, and a takeover must end
/// within a worker's lease. A lease that a controller renews after its last contact with the state service must end
/// within `cancel_s` of it.
#[test]
fn derived_limits_suffice_for_one_controller_with_the_whole_fleet() {
    let mut trace = String::new();
    for (machines, size, sockets, kb, lease_s, cancel_s) in [
        (2080_usize, 3, 3663, 8.0, 31.0, 56.0),
        (1580, 5, 3332, 32.0, 22.0, 47.0),
    ] {
        let s = Settings::parse(&settings(size, sockets, kb, lease_s, cancel_s), "t").unwrap();
        let records = machines.div_ceil(max_machines_per_rental(s.max_value_bytes()));
        // Assumes that the leader writes ten records at a time and waits up to 700 ms for each response.
        let takeover = s.presence_ttl() + Duration::from_millis(700) * records.div_ceil(10) as u32;
        assert!(
            machines + 200 < sockets - crate::api::RESERVED_SOCKETS,
            "{sockets} sockets do not suffice for {machines} machines"
        );
        assert!(
            takeover < s.worker_lease(),
            "the takeover takes {takeover:?}"
        );
        assert!(
            s.disconnected_lease_limit() + s.worker_lease() < Duration::from_secs_f64(cancel_s),
            "leases renewed without contact end later than {cancel_s} s after it"
        );
        trace.push_str(&format!(
            "{machines} machines: {records} records, {} tasks a page, taken over within {:.1} s \
             of {lease_s}, answers workers for {:.1} s without state\n",
            s.page_layout().plain_tasks,
            takeover.as_secs_f64(),
            s.disconnected_lease_limit().as_secs_f64()
        ));
    }
    insta::assert_snapshot!(trace, @r#"
    2080 machines: 42 records, 170 tasks a page, taken over within 8.5 s of 31, answers workers for 22.8 s without state
    1580 machines: 32 records, 512 tasks a page, taken over within 7.8 s of 22, answers workers for 22.9 s without state
    "#);
}

#[test]
fn invalid_values_are_rejected_by_field() {
    let error = |text: &str| Settings::parse(text, "s.json").unwrap_err().to_string();
    let good = settings(3, 3663, 8.0, 31.0, 56.0);
    let lines = [
        error(&good.replace("\"size\":3", "\"size\":0")),
        error(&good.replace("\"sockets\":3663", "\"sockets\":3")),
        error(&good.replace("\"lease_s\":31.0", "\"lease_s\":-1.0")),
        error(&good.replace("\"txn_ops\":24", "\"txn_ops\":1")),
        error(&good.replace("\"txn_ops\":24", "\"txn_ops\":24,\"next\":{\"txn_ops\":1}")),
        error(&good.replace(
            "\"txn_ops\":24",
            "\"txn_ops\":24,\"next\":{\"value_kb\":0.0}",
        )),
        error(&good.replace(
            "\"txn_ops\":24",
            "\"txn_ops\":24,\"next\":{\"write_rps\":-2}",
        )),
    ];
    insta::assert_snapshot!(lines.join("\n"), @r#"
    settings s.json: field `params.size`: must be at least 1
    settings s.json: field `params.limits.sockets`: must be at least 32, is 3
    settings s.json: field `params.workers.lease_s`: must be above 0, is -1
    settings s.json: field `params.state.txn_ops`: must be at least 4, is 1
    settings s.json: field `params.state.next.txn_ops`: must be at least 4, is 1
    settings s.json: field `params.state.next.value_kb`: must be above 0, is 0
    settings s.json: field `params.state.next.write_rps`: must be above 0, is -2
    "#);
}
