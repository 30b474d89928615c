//! The environment of controllers in tests: stand-ins for the state service and the cloud, which are served on
//! loopback; simulated workers and users, which send requests to the controllers; and checkers of what users and
//! machines observe. The stand-ins, workers and users are written from the published protocol. Only the harness in
//! [`cluster`] starts controllers, as processes. Nothing here depends on how controllers work internally, except that
//! the harness finds the leader in its record in the state service, and errors in the logs.
#![cfg_attr(
    test,
    allow(clippy::too_many_lines, reason = "a test covers a whole scenario")
)]
#![deny(missing_docs)]

pub mod cloud;
pub mod cluster;
pub mod exchange;
pub mod folder;
pub mod history;
mod http;
pub mod jobs;
pub mod quota;
pub mod state;
mod timeouts;
mod wait;

pub use http::{Handler, ResponseFuture, StubRequest, ask, free_addr, serve, serve_on_loopback};
pub use timeouts::{DEFAULT_TIMEOUTS, Timeouts};
pub use wait::{join_all, until, until_within};
