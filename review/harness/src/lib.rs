//! Stand-ins for the cloud, its workers and the users, and the controllers as processes, for the cases of the review.
//! They follow the users' pages. The state service is the project's own stand-in.

pub mod record;
pub mod site;
pub mod worker;
pub mod world;

/// Whether the case causes its disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exit codes of a case.
pub const RULE_HELD: i32 = 0;
pub const RULE_BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
