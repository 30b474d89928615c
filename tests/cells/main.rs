//! End-to-end tests of cells. The controllers are processes of the real program. The ledger, the state services,
//! the clouds and the workers are stand-ins served on loopback.

mod cancel;
mod client;
mod kill;
mod ledger;
mod measure;
mod mixed_versions;
mod moves;
mod protection;
mod random_kills;
mod site;
mod spill;
