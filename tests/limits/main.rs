//! End-to-end tests of team limits with three controllers that run as processes. Whether a limit is kept is checked
//! against the tasks that the machines run at each moment.

mod client;
mod failures;
mod mixed_versions;
mod races;
mod site;
