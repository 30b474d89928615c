//! The outside world for tests: stand-ins for the state service, the cloud and its workers, written from the
//! published protocol, on loopback; users; and checkers of what all of them observe. Only the harness of
//! [`cluster`] starts controllers; nothing here knows how they work inside.
#![cfg_attr(
    test,
    allow(clippy::too_many_lines, reason = "a test plays a whole scenario")
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

pub use http::{Handler, ReplyFuture, StubRequest, ask, free_addr, serve, serve_on_loopback};
pub use timeouts::{DEFAULT_TIMEOUTS, Timeouts};
pub use wait::{join_all, until, until_within};
