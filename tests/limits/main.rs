//! End-to-end tests of team limits with three controllers that run as processes. At each start of a task, the tasks
//! that the machines run are checked against the team's limit.

mod client;
mod failures;
mod mixed_versions;
mod races;
mod site;
