//! Elastic scaling: rents and releases machines of each type by the provisioning policies of the CVSS paper
//! (section V).
//!
//! Once per period, each controller predicts the deadline misses of its own tasks and publishes a summary
//! (`forecast`). The leader sums the summaries and decides (`rules`, `decide`). It records and sends rentals
//! (`provision`, `rental`) and reconciles the records with the cloud's list (`cloud_list`). Each controller
//! releases the machines that it owns (`release`). `placement` places tasks on the machines.

mod cloud_list;
mod decide;
pub mod forecast;
mod initial_owners;
mod machine_writes;
mod merge;
mod provision;
mod release;
mod release_decision;
mod rental;
mod rules;
pub mod service;
pub mod state;
pub mod summary;
mod write_rate;

pub use summary::ForecastSummaryRecord;

#[cfg(test)]
mod tests;
