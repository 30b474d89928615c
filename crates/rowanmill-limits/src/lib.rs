//! Team limits that hold while several controllers start tasks at the same time.
//!
//! A team's limit is divided into *quota allocations*, one for each controller, in one record of the state
//! service. A controller starts tasks within its own allocation only, and each transaction that records
//! starts requires the revision of that record and of the assignment of jobs to controllers.
//! `docs/concurrent-limits.md` weighs the alternatives and proves the invariant.
//!
//! Dependencies between the modules go one way, in this order:
//! - [`amount`] and [`limit`] count resources in exact integer units;
//! - [`config`] and [`teams`] read and check what operators set;
//! - [`record`] and [`key`] define what the state service holds;
//! - [`demand`] describes what each controller's jobs use and wait for; [`targets`] derives from that what
//!   each allocation should come to;
//! - [`view`] is a controller's picture of one team;
//! - [`in_doubt`] tracks transactions without an answer; `transfer` plans what a controller hands to
//!   others; [`holder`] combines both into a controller's side of the protocol;
//! - [`allocation`] is the leader's side;
//! - [`report`] answers the command-line client.
//!
//! The crate decides and computes only: it does no input or output besides reading the operators' file, and
//! it takes the time as an argument.
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
