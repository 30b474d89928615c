//! Cells as users and operators meet them: controllers as processes of the real program, against the
//! stand-ins for the ledger, state services, clouds and workers, on loopback.

mod cancel;
mod client;
mod kill;
mod ledger;
mod measure;
mod moves;
mod protection;
mod site;
mod spill;
mod storm;
