//! A client of the state service: transactions, reads, the watch and leases, within one controller's quota
//! of the service's limits. It does not depend on which records are stored under which keys.
#![deny(missing_docs)]

pub mod client;
pub mod counters;
pub mod error;
pub mod http;
pub mod messages;
pub mod quota;
pub mod rate_limit;
mod sync;

pub use client::StateClient;
pub use counters::RequestCounters;
pub use error::{ReadError, RequestError, TransactionError};
pub use messages::{KeyValue, Listing, Operation, Precondition, WatchEvent, WatchResponse};
pub use quota::ServiceQuota;
pub use rate_limit::{RateLimiter, WritePriority};
