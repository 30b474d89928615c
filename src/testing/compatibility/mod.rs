//! Snapshots of a controller's interfaces, for the compatibility with other versions, clients and workers. A snapshot
//! changes only when the interface changes, not when a name in the code does.
//!
//! For stored records and for frames between controllers, a snapshot shows under each label only what is written (keys,
//! JSON, bytes in hexadecimal), never the `Debug` form of a record or frame.

mod cloud;
mod cluster_records;
mod files;
mod frames;
mod interfaces;
mod job_records;
mod keys;
mod observability;
mod recorded_run;
pub mod trace;
