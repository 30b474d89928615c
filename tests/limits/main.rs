//! Teams' limits with three controllers as processes, some of which fail. Whether a limit held is judged by
//! what the machines run at each instant.

mod client;
mod failures;
mod races;
mod site;
