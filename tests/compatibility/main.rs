//! The program as operators and their scripts use it: the output and the exit codes of the client, of `check`, and of
//! `serve` when a file is invalid. The records that the client reads are written by the tests.
#![allow(clippy::too_many_lines, reason = "a test plays a whole scenario")]

mod check;
mod client;
mod old_build;
mod run;
