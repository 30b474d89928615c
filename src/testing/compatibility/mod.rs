//! Kept traces of every interface. What they show was fixed before names in the code changed: a
//! snapshot here changes only with the protocol, never with the code's own names.
//!
//! Of stored records and of frames between controllers a snapshot holds only what is written (keys, JSON,
//! bytes in hexadecimal), never the `Debug` form of a type.

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
