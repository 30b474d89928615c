//! The field names of the cells file. Operators write this file, so the names must not change.

use rowanmill_cells::CellsConfig;
use rowanmill_cells::ranking::Candidate;
use rowanmill_config::ConfigFile;
use serde_json::{Value, json};
use std::fmt::Write;

const DEPLOYED: &str = include_str!("../../../deploy/cells.json");

fn minimal_file() -> Value {
    json!({
        "cells": [
            {"name": "hanoi", "controllers": ["10.0.0.1:8081"]},
            {"name": "danang", "controllers": ["10.0.1.1:8081"]}
        ],
        "ledger": {"addr": "10.9.0.1:2379", "rps": 200.0, "write_rps": 80.0, "value_kb": 8.0,
            "txn_ops": 24},
        "cell_lease_s": 30.5, "renew_without_ledger_s": 15.0, "takeover_after_s": 45.0
    })
}

fn shown<T: ToString>(value: Option<T>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}

/// All fields of a file, by their names in the file.
fn config_text(config: &CellsConfig) -> String {
    let mut text = String::new();
    for cell in &config.cells {
        let controllers = cell.controllers.iter().map(ToString::to_string);
        let controllers = controllers.collect::<Vec<_>>().join(" ");
        writeln!(text, "cells = `{}` controllers {controllers}", cell.name).unwrap();
    }
    let mut show = |field: &str, value: String| writeln!(text, "{field} = {value}").unwrap();
    let (ledger, spill) = (&config.ledger, &config.spill);
    show("ledger.addr", ledger.addr.to_string());
    show("ledger.rps", ledger.rps.to_string());
    show("ledger.write_rps", ledger.write_rps.to_string());
    show("ledger.value_kb", ledger.value_kb.to_string());
    show("ledger.txn_ops", ledger.txn_ops.to_string());
    show("cell_lease_s", config.cell_lease_s.to_string());
    show(
        "renew_without_ledger_s",
        config.renew_without_ledger_s.to_string(),
    );
    show("takeover_after_s", config.takeover_after_s.to_string());
    show("spill.after_s", shown(spill.after_s));
    show("spill.at_once", spill.at_once.to_string());
    show("spill.moves", spill.moves.to_string());
    let script = spill.ranking.as_ref().map(|path| path.display());
    show("spill.ranking", shown(script));
    text
}

#[test]
fn cells_file_is_read_field_by_field() {
    let mut all_fields = minimal_file();
    all_fields["spill"] =
        json!({"after_s": 60.5, "at_once": 4, "moves": 2, "ranking": "ranking.script"});
    all_fields["later"] = json!({"unknown": true});
    let mut null_fields = minimal_file();
    null_fields["spill"] = json!({"ranking": null, "after_s": null});
    let mut trace = String::new();
    for (form, text) in [
        ("as deployed", DEPLOYED.to_owned()),
        ("all fields", all_fields.to_string()),
        ("the least", minimal_file().to_string()),
        ("nulls", null_fields.to_string()),
    ] {
        let config = CellsConfig::parse(&text, "cells.json").unwrap();
        writeln!(trace, "== {form}\n{}", config_text(&config)).unwrap();
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn cells_file_without_a_required_field_is_refused_by_its_name() {
    let mut trace = String::new();
    for at in [
        "/cells",
        "/cells/0/name",
        "/cells/0/controllers",
        "/ledger",
        "/ledger/addr",
        "/ledger/rps",
        "/ledger/write_rps",
        "/ledger/value_kb",
        "/ledger/txn_ops",
        "/cell_lease_s",
        "/renew_without_ledger_s",
        "/takeover_after_s",
    ] {
        let mut file = minimal_file();
        let (parent, field) = at.rsplit_once('/').unwrap();
        let parent = file.pointer_mut(parent).unwrap();
        parent.as_object_mut().unwrap().remove(field).unwrap();
        let error = CellsConfig::parse(&file.to_string(), "cells.json").unwrap_err();
        let error = error.to_string();
        // The position depends on the order of the fields in the text.
        let error = error.split(" at line").next().unwrap_or_default();
        writeln!(trace, "without {at}: {error}").unwrap();
    }
    insta::assert_snapshot!(trace);
}

/// The input of the operators' ranking script.
#[test]
fn script_sees_candidates_under_the_documented_field_names() {
    let candidate = Candidate {
        name: "hanoi".to_owned(),
        free_cpus: 40.5,
        can_rent: true,
    };
    let shown = serde_json::to_string(&candidate).unwrap();
    insta::assert_snapshot!(shown, @r#"{"name":"hanoi","free_cpus":40.5,"can_rent":true}"#);
}
