//! Snapshots of every interface, for the compatibility with other versions, clients and workers. A snapshot changes only
//! when the protocol changes, not when a name in the code does.
//!
//! For stored records and for frames between controllers, a snapshot holds only what is written (keys, JSON, bytes in
//! hexadecimal), never the `Debug` form of a type.

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
