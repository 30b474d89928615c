//! `check`, and how `serve` refuses invalid files.

use crate::run::{folder, run, write};
use serde_json::{Value, json};
use std::path::Path;

const CELLS: &str = include_str!("../../deploy/cells.json");
const LIMITS: &str = include_str!("../../deploy/limits.json");
const POLICY: &str = include_str!("../../deploy/default.policy");

fn settings() -> Value {
    json!({"member": "millstone-0", "site": "a", "api_addr": "10.0.0.1:8080",
        "mesh_addr": "10.0.0.1:8081", "known": [],
        "endpoints": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "params": {"size": 1, "zones": ["a"],
            "teams": [{"name": "t", "cpus": 2.0, "cpus_max": 6.0}],
            "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0,
                "cancel_s": 49.0},
            "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 24},
            "cloud": {"rps": 8.0, "list_lag_s": 8.0},
            "limits": {"core_share": 0.16, "mem_mb": 136.0, "sockets": 3000},
            "skew_ms": 25.0}})
}

/// Commands that read the files of [`write_files`], and files that do not exist.
pub const COMMANDS: [&[&str]; 13] = [
    &["check", "--config", "settings.json"],
    &[
        "check",
        "--config",
        "settings.json",
        "--cells",
        "cells.json",
        "--cell",
        "hanoi",
        "--limits",
        "limits.json",
        "--policy",
        "default.policy",
    ],
    &["check", "--config", "broken.json"],
    &["check", "--config", "absent.json"],
    &["check", "--policy", "wrong.policy"],
    &["check", "--policy", "absent.policy"],
    &["check", "--cells", "broken.json"],
    &[
        "check",
        "--config",
        "settings.json",
        "--cells",
        "cells.json",
        "--cell",
        "saigon",
    ],
    &["check", "--limits", "step.json"],
    &["check", "--config", "over.json", "--limits", "limits.json"],
    &["serve", "--config", "broken.json"],
    &[
        "serve",
        "--config",
        "settings.json",
        "--policy",
        "wrong.policy",
    ],
    &["serve", "--config", "over.json", "--limits", "limits.json"],
];

/// Writes settings, policies, cells files and limits files. Some of them are invalid.
pub fn write_files(folder: &Path) {
    write(folder, "settings.json", &settings().to_string());
    let mut over_limit = settings();
    over_limit["params"]["teams"][0]["cpus"] = json!(7.0);
    write(folder, "over.json", &over_limit.to_string());
    write(folder, "broken.json", "{");
    write(folder, "cells.json", CELLS);
    write(folder, "limits.json", LIMITS);
    write(folder, "step.json", r#"{"step": 0.7}"#);
    write(folder, "default.policy", POLICY);
    write(folder, "wrong.policy", "beta = 3\n");
}

#[test]
fn invalid_files_are_reported_with_an_exit_code() {
    let folder = folder();
    write_files(&folder);
    let trace: String = COMMANDS.iter().map(|args| run(&folder, args)).collect();
    insta::assert_snapshot!(trace);
}

/// Invalid arguments exit with code 2, whereas `check` and `serve` exit with code 1 if a file is invalid. The output is
/// that of the argument parser and is not compared.
#[test]
fn invalid_arguments_exit_with_code_2() {
    let folder = folder();
    let commands: [&[&str]; 8] = [
        &[],
        &["grind"],
        &["check"],
        &["serve"],
        &["serve", "--config", "s", "--cells", "c"],
        &["cells", "status"],
        &["limits", "explain", "--config", "s"],
        &["cells", "status", "--cells", "c", "--output", "yaml"],
    ];
    for arguments in commands {
        let output = run(&folder, arguments);
        assert!(
            output.contains("exit code 2\n"),
            "other exit code than 2:\n{output}"
        );
    }
}
