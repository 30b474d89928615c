//! The operators' own settings.

use crate::renting::Knobs;

#[derive(Debug, Clone, Default)]
pub struct Policy {
    pub knobs: Knobs,
}
