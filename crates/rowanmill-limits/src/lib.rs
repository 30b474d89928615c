//! Team limits that hold while several controllers start tasks at the same time.
//!
//! A team's limit is divided into *allotments*, one for each controller, in one record of the state
//! service. A controller starts tasks within its own allotment only, and each transaction that records
//! starts requires the revision of that record and of the assignment of jobs. `docs/concurrent-limits.md`
//! weighs the options and proves the invariant.
//!
//! The parts: [`amount`] counts in exact units; [`record`] is what the state service holds; [`demand`]
//! says what each controller's jobs use and wait for, and what part of the limit each should have;
//! [`holder`] is a controller's side: its room, the starts whose outcome it does not know, and with
//! `transfer` what it gives to others;
//! [`division`] is the leader's side; [`config`] reads the operators' file; [`report`] answers the client.
#![deny(missing_docs)]

pub mod amount;
pub mod config;
pub mod demand;
pub mod division;
pub mod holder;
pub mod record;
pub mod report;
mod transfer;

pub use amount::{Amount, AmountError, Limit};
pub use config::{ConfigError, LimitsConfig};
pub use demand::{MemberDemand, WaitingUnit, targets};
pub use division::{Division, divide};
pub use holder::{Change, ChangeKind, Holder, TeamView};
pub use record::{AllotmentRecord, Versioned};
