//! The log lines that a controller writes at the end of each period. Scripts read their fields.

use crate::membership::schema_versions::FeatureLevel;
use crate::metrics::log_period;
use crate::node::Node;
use crate::policy::Policy;
use serde_json::json;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::Level;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The log lines that a function writes, in a controller's log format.
fn capture_log(level: Level, run: impl FnOnce()) -> String {
    let output = Output::default();
    let writer = output.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(move || writer.clone())
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .finish();
    tracing::subscriber::with_default(subscriber, run);
    let bytes = output.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

/// Replaces the values of fields that differ between runs.
fn without_measured(log: &str) -> String {
    let measured = |line: &str, field: &str| {
        let is_time = ["processor time", "cycle phases", "state lock"]
            .iter()
            .any(|kind| line.contains(kind));
        is_time || ["seconds", "allocated"].contains(&field)
    };
    let lines = log.lines().map(|line| {
        let words = line.split(' ').map(|word| match word.split_once('=') {
            Some((field, _)) if measured(line, field) => format!("{field}=#"),
            _ => word.to_owned(),
        });
        words.collect::<Vec<_>>().join(" ")
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn node() -> Node {
    let settings = super::interfaces::settings(1, "127.0.0.1:4".parse().unwrap());
    let node = Node::new(FeatureLevel::COMPACT_PAGES, settings, Policy::default());
    {
        let mut core = node.core();
        let spec = json!({"nameId":"job-1","grist":"c","crew":"t","shape":"array",
            "urgency":"standard","sacks":4,"cpus":1.0,"cards":0.0,"memGb":1.0,"mould":"i",
            "pullGb":1.0,"together":false,"spread":false,"borrowed":true,"grindS":10.0,
            "bankS":0.0,"bankWriteS":0.0});
        let record = json!({"spec": spec, "accepted_ms": 0});
        core.replica.apply_put("r/j/job-1", &record.to_string(), 5);
        let member = json!({"name": node.identity.name, "incarnation": node.identity.incarnation});
        let assignment = json!({"members": [member], "teams": {}, "gangs": [0],
            "had_gangs": false, "slots": [0]});
        core.replica
            .apply_put("r/shares", &assignment.to_string(), 6);
        core.replica.apply_put("r/p/job-1/0", "[true]", 7);
        let counters = &mut core.metrics;
        counters.heartbeats = 1;
        counters.status_polls = 2;
        counters.submissions = 3;
        counters.scheduling_cycles = 4;
        counters.task_starts = 5;
        counters.start_pages = 6;
        counters.exit_pages = 7;
        counters.foreign_pages = 8;
        counters.ended_jobs = 9;
        counters.deferred_pages = 10;
        counters.write_conflicts = 11;
        counters.quota_transfers = 12;
        counters.fence_writes = 13;
        counters.machines_examined = 14;
        counters.slots_examined = 18;
        counters.rebuilt_snapshots = 15;
        counters.scheduling_time = Duration::from_millis(160);
        counters.longest_cycle = Duration::from_millis(17);
    }
    node
}

#[test]
fn a_period_is_logged_field_by_field_and_its_counters_are_reset() {
    let node = node();
    let log = capture_log(Level::DEBUG, || {
        log_period(&node, Instant::now());
        log_period(&node, Instant::now());
    });
    insta::assert_snapshot!(without_measured(&log));
}

/// At level info a period is logged without the jobs that have been unfinished for longest, which are logged at level
/// debug. At level error nothing is logged.
#[test]
fn a_period_is_logged_at_level_info_without_single_jobs() {
    let node = node();
    let log = capture_log(Level::INFO, || log_period(&node, Instant::now()));
    insta::assert_snapshot!(without_measured(&log));
    let log = capture_log(Level::ERROR, || log_period(&node, Instant::now()));
    assert_eq!(log, "");
}
