use super::*;
use rowanmill_config::ConfigError;
use serde_json::{Value, json};

pub fn valid_file() -> Value {
    json!({
        "cells": [
            {"name": "hanoi", "controllers": ["10.0.0.1:8081", "10.0.0.2:8081"]},
            {"name": "danang", "controllers": ["10.0.1.1:8081"]}
        ],
        "ledger": {"addr": "10.9.0.1:2379", "rps": 200.0, "write_rps": 80.0, "value_kb": 8.0,
            "txn_ops": 24},
        "cell_lease_s": 30.0, "renew_without_ledger_s": 15.0, "takeover_after_s": 45.0,
        "spill": {"after_s": 60.0}
    })
}

fn worker_timing() -> WorkerTiming {
    WorkerTiming {
        lease: Duration::from_secs(24),
        disconnected_lease_limit: Duration::from_secs(22),
        state_service: "10.2.0.1:2379".parse().unwrap(),
    }
}

fn check(file: &Value) -> Result<(), ConfigError> {
    let config = CellsConfig::parse(&file.to_string(), "cells.json")?;
    let checked = config.check_cell("hanoi", &worker_timing());
    checked.map_err(|problem| CellsConfig::error("cells.json", problem))
}

/// A value is rejected if it is invalid, contradicts another one of the file or of the cell's settings, or would
/// let two cells run the same job. The error names a field or, if the value cannot be parsed, its position.
#[test]
fn invalid_files_are_refused_by_field_name() {
    assert!(check(&valid_file()).is_ok());
    let invalid: [(&str, Value); 17] = [
        (
            "/cells",
            json!([{"name": "hanoi", "controllers": ["10.0.0.1:8081"]}]),
        ),
        ("/cells/1/name", json!("hanoi")),
        ("/cells/1/name", json!("Đà Nẵng")),
        ("/cells/0/name", json!("saigon")),
        ("/cells/1/controllers", json!([])),
        ("/cells/1/controllers/0", json!("10.0.0.1:8081")),
        ("/cells/0/controllers/1", json!("10.0.0.1:8081")),
        ("/cells/0/controllers/1", json!("nowhere")),
        ("/ledger/addr", json!("10.0.0.1:8081")),
        ("/ledger/addr", json!("10.2.0.1:2379")),
        ("/ledger/txn_ops", json!(3)),
        ("/cell_lease_s", json!(0.0)),
        ("/cell_lease_s", json!(10.0)),
        ("/renew_without_ledger_s", json!(23.0)),
        ("/takeover_after_s", json!(39.0)),
        ("/spill/after_s", json!(1e9)),
        ("/spill/at_once", json!(0)),
    ];
    let mut trace = String::new();
    for (at, value) in invalid {
        let mut file = valid_file();
        let shown = value.to_string();
        match file.pointer_mut(at) {
            Some(field) => *field = value,
            // The valid file leaves out only `spill.at_once`.
            None => file["spill"]["at_once"] = value,
        }
        let error = check(&file).expect_err(at);
        trace.push_str(&format!("{at} = {shown}\n  {error}\n"));
    }
    insta::assert_snapshot!(trace);
}
