//! The state service's client: transactions, leases and the log, within a node's share of the
//! service's limits. What is stored under which key is the caller's own matter.
#![deny(missing_docs)]

pub mod client;
pub mod http;
pub mod rate_limit;

pub use client::{
    KeyValue, Listing, Operation, Precondition, ReadError, RequestCounters, ServiceQuota,
    StateClient, TransactionError, WatchEvent, WatchResponse,
};
pub use rate_limit::{RateLimiter, WritePriority};
