//! Cells that share work. Each cell is a whole scheduler with its own controllers, machines, cloud and
//! state service. A *ledger*, one more state service, holds for each job the cell that owns it, an
//! ownership epoch and at last its final state. `docs/cells.md` weighs the alternatives and describes the
//! sequences of events.
//!
//! | module | its job |
//! | --- | --- |
//! | [`config`] | reads and checks the operators' file |
//! | [`record`] | keys and records of the ledger |
//! | [`replica`] | a copy of the live records |
//! | [`contact`] | limits what may be done by the last read of the ledger |
//! | [`plan`] | decides: a state machine over the replica, the cell's own records and the time |
//! | [`ranking`] | which cell a job goes to |
//! | [`transaction`] | builds the ledger's transactions, with their preconditions |
//! | [`service`] | the I/O around these |
//! | [`scheduler`] | the interface to the cell's own scheduler |
//! | [`report`] | what the client shows of cells and jobs |
#![deny(missing_docs)]

pub mod config;
pub mod contact;
pub mod plan;
pub mod ranking;
pub mod record;
pub mod replica;
pub mod report;
pub mod scheduler;
pub mod service;
pub mod transaction;

pub use config::{CellsConfig, WorkerTiming};
pub use record::{FinalState, LedgerJob, OwnershipVersion};
pub use scheduler::{
    AdoptionOutcome, LocalJobState, Scheduler, TrackedJob, Unavailable, WithdrawalCondition,
};
pub use service::{CancelOutcome, CellCoordinator, LedgerJobState, PublishOutcome};
