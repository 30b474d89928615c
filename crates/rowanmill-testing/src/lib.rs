//! The environment of controllers in tests: stand-ins for the state service, the cloud and its workers, which are
//! served on loopback and written from the published protocol; simulated users; and checkers of what users and machines
//! observe. Only the harness in [`cluster`] starts controllers, as processes. Nothing here depends on how they work
//! internally.
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
