//! The program as operators and their scripts meet it: what its client and its check print, and the codes
//! they exit with. The records that it reads are put there by the test.
#![allow(clippy::too_many_lines, reason = "a test plays a whole scenario")]

mod check;
mod client;
mod run;
