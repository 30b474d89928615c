//! The state service's client: transactions, leases and the log, within a node's share of the
//! service's limits. What is stored under which key is the caller's own matter.
#![deny(missing_docs)]

pub mod budget;
pub mod client;
pub mod http;

pub use budget::{Budget, Need};
pub use client::{
    KeyValue, Listing, Operation, Precondition, ReadError, StateClient, StateShare,
    TransactionError, Used, WatchEvent, WatchResponse,
};
