//! Interning of names as small integers.

use std::collections::HashMap;

/// Interned names of machine types, zones, images and teams. Packing compares many of them for each placement,
/// and integers are cheaper to compare than strings.
#[derive(Debug, Default)]
pub struct NameTable {
    ids: HashMap<String, u32>,
}

impl NameTable {
    /// The id of a name; a new name gets the next free id.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.ids.len() as u32;
        self.ids.insert(name.to_owned(), id);
        id
    }
}
