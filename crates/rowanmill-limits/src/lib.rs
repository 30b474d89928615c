//! Team limits that hold while several controllers start tasks at the same time.
//!
//! A team's limit is divided into *quota allocations*, one for each controller, in one record of the state
//! service. A controller starts tasks only within its own allocation, and each transaction that records
//! starts requires the revisions of that record and of the assignment of jobs to controllers.
//! `docs/concurrent-limits.md` compares the alternatives and proves the invariant.
//!
//! Each module depends only on those before it in this list:
//! - [`amount`] and [`limit`] count resources in exact integer units;
//! - [`config`] and [`teams`] read and validate what operators set;
//! - [`record`] and [`key`] define what the state service stores;
//! - [`demand`] describes what each controller's jobs use and wait for; from this, [`targets`] derives the
//!   allocation that each controller should have;
//! - [`view`] is what a controller's replica holds about one team;
//! - [`in_doubt`] tracks transactions that got no answer; `transfer` plans what a controller transfers to
//!   others; [`holder`] combines both into a controller's side of the protocol;
//! - [`allocation`] is the leader's side;
//! - [`report`] builds the reports of the command-line client.
//!
//! The crate contains decisions and calculations only: it performs no input or output except reading the
//! operators' file, and callers pass in the time.
#![deny(missing_docs)]

pub mod allocation;
pub mod amount;
pub mod config;
pub mod demand;
pub mod holder;
pub mod in_doubt;
pub mod key;
pub mod limit;
pub mod record;
pub mod report;
pub mod targets;
pub mod teams;
mod transfer;
pub mod view;

pub use allocation::{AllocationDecision, LeaderView, decide_allocation};
pub use amount::{AmountError, ResourceAmount};
pub use config::LimitsConfig;
pub use demand::{MemberDemand, WaitingUnit};
pub use holder::{QuotaHolder, RecordChange, RecordChangeKind};
pub use in_doubt::InDoubtTransaction;
pub use limit::TeamLimit;
pub use record::{AllocationRecord, Versioned};
pub use targets::allocation_targets;
pub use view::TeamView;
