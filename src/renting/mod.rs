//! Elastic scaling: when machines are rented and released, by the provisioning policies of the CVSS paper
//! (section V), per machine type.
//!
//! Each controller predicts the deadline misses of its own tasks once a period and publishes a summary
//! (`forecast`). The leader adds the summaries up and decides (`rules`, `decide`); it records and sends
//! rentals (`provision`, `rental`) and keeps the records in line with the cloud's list (`cloud_list`). Each
//! controller releases the machines that it owns (`release`). Placing tasks is not done here.

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
