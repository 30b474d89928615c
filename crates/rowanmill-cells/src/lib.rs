//! Sharing of jobs between cells. Each cell is a complete scheduler with its own controllers, machines, cloud
//! and state service. A further state service, the *ledger*, stores for each job the cell that owns it, an
//! ownership epoch and, once it has ended, its final state. `docs/cells.md` compares the alternatives to this
//! design and describes the sequences of events.
//!
//! | Module | Purpose |
//! | --- | --- |
//! | [`config`] | reads and validates the operators' file |
//! | [`record`] | the ledger's keys and records |
//! | [`replica`] | an in-memory copy of the ledger's live records |
//! | [`contact`] | limits for how long a controller may act on its last read of the ledger |
//! | [`plan`] | decides on the actions of a cell's leader, from the replica, the cell's own records and the time |
//! | [`ranking`] | chooses the cell that a job goes to |
//! | [`transaction`] | builds the transactions on the ledger, with their preconditions |
//! | [`service`] | the I/O around the other modules |
//! | [`scheduler`] | the interface to the cell's own scheduler |
//! | [`report`] | the client's reports on cells and jobs |
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
