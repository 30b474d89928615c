//! Versioned traces of every interface. What they show was fixed before names in the code changed: a
//! snapshot here changes only with the protocol, never with the code's own names.

mod cloud;
mod files;
mod interfaces;
mod observability;
