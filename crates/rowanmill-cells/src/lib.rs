//! Cells that share work. Each cell is a whole scheduler with its own controllers, machines, cloud and
//! state service. A *ledger*, one more state service, holds for each job the cell that owns it, an
//! ownership epoch and at last its final state. `docs/cells.md` weighs the options and gives the orders
//! of events.
//!
//! The parts: [`config`] reads the operators' file; [`record`] is what the ledger holds; [`replica`]
//! follows it; [`contact`] tells what may be done without it; [`plan`] decides, as a state machine over
//! the replica, the cell's own jobs and the time; [`ranking`] which cell a
//! job goes to; [`transaction`] makes the ledger's changes; [`service`]
//! is the I/O around these. The scheduler is reached through [`scheduler::Scheduler`].
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

pub use config::{CellsConfig, ConfigError, WorkerTimes};
pub use record::{FinalState, LedgerJob, Stamp};
pub use scheduler::{Adoption, LocalJob, Scheduler, StampedJob, Unavailable};
pub use service::{Cancelled, Cells, KnownJob, Published};
