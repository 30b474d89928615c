//! Activation of new encodings of durable records during a rolling upgrade.
//!
//! A controller of the previous version would run a job with dependencies without waiting for them, and cannot read a
//! compact progress page. Therefore each controller publishes its [`FeatureLevel`] in its presence record, and the new
//! encodings are activated once every configured controller has been seen at the required level. The activation is a
//! durable record that is never removed, since compact pages may exist from then on.

use crate::jobs::PageLayout;
use crate::node::Node;
use crate::state::Replica;
use crate::state::{Operation, Precondition, RecordKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// The features that a controller's process supports; each level includes those below it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureLevel(u32);

impl FeatureLevel {
    /// The level of the previous version, which does not publish one.
    pub const NONE: Self = Self(0);
    /// Jobs with dependencies, and compact progress pages.
    pub const COMPACT_PAGES: Self = Self(1);
    /// In addition, dividing the teams' quotas among the controllers. A process has this level only if it is configured
    /// to do so.
    pub const DIVIDED_QUOTAS: Self = Self(2);
}

impl Default for FeatureLevel {
    fn default() -> Self {
        Self::NONE
    }
}

impl fmt::Display for FeatureLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Durable record of the upgrade: which controllers support the new encodings, and whether these are activated.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SchemaVersions {
    /// Controllers that were at [`FeatureLevel::COMPACT_PAGES`] or above when last seen.
    #[serde(rename = "seen")]
    pub upgraded_members: BTreeSet<String>,
    /// How jobs are divided into pages; present once the new encodings are activated. It is stored because later changes
    /// of the settings must not affect existing pages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<PageLayout>,
}

impl SchemaVersions {
    /// Whether the new encodings may be written.
    pub fn is_activated(&self) -> bool {
        self.layout.is_some()
    }
}

/// The record's next value; `None` if the record is up to date or the new encodings are already activated.
///
/// An absent controller counts with the level at which it was last seen. This is safe: a controller of this version is
/// not downgraded after the activation, and before it the controller's next presence record shows its level.
pub fn next_record(
    members: &[&str],
    layout: &PageLayout,
    replica: &Replica,
) -> Option<SchemaVersions> {
    let current = replica
        .schema_versions
        .as_ref()
        .map(|versioned| &versioned.record);
    if current.is_some_and(SchemaVersions::is_activated) {
        return None;
    }
    let mut next = current.cloned().unwrap_or_default();
    for name in members {
        let Some(presence) = replica.presence.get(*name) else {
            continue;
        };
        if presence.record.supported_level >= FeatureLevel::COMPACT_PAGES {
            next.upgraded_members.insert((*name).to_owned());
        } else {
            next.upgraded_members.remove(*name);
        }
    }
    if members
        .iter()
        .all(|name| next.upgraded_members.contains(*name))
    {
        next.layout = Some(*layout);
    }
    let is_changed = current != Some(&next) && !next.upgraded_members.is_empty();
    is_changed.then_some(next)
}

/// Updates the durable record. Every controller of this version does so, because the leader may be of the previous
/// version. If the transaction is refused, the next call tries again.
pub async fn update_record(node: &Node) {
    if node.supported_level < FeatureLevel::COMPACT_PAGES {
        return;
    }
    let Some((record, preconditions)) = prepare_update(node) else {
        return;
    };
    let put = Operation::put(RecordKey::SchemaVersions, &record);
    let written = node
        .state
        .compare_and_swap(&preconditions, std::slice::from_ref(&put))
        .await;
    if let Ok(revision) = written {
        node.core().apply(vec![put], revision);
        if record.is_activated() {
            tracing::info!("schema version activated");
        }
    }
}

/// The record to write, with the revisions of the records that it is based on as preconditions.
fn prepare_update(node: &Node) -> Option<(SchemaVersions, Vec<Precondition>)> {
    let core = node.core();
    let members = node.settings.member_names();
    let record = next_record(&members, &node.settings.page_layout(), &core.replica)?;
    // The presence records must be unchanged: a controller may have been restarted with the previous version.
    let mut preconditions: Vec<Precondition> = members
        .iter()
        .map(|name| Precondition {
            key: RecordKey::Presence(name).into(),
            revision: core.replica.presence.get(*name).map_or(0, |p| p.revision),
        })
        .collect();
    // Leaves room for the precondition below within the limit on preconditions, see `state::max_preconditions`.
    preconditions.truncate(node.settings.max_transaction_operations() * 4 - 1);
    preconditions.push(Precondition {
        key: RecordKey::SchemaVersions.into(),
        revision: core
            .replica
            .schema_versions
            .as_ref()
            .map_or(0, |versioned| versioned.revision),
    });
    Some((record, preconditions))
}

#[cfg(test)]
mod tests;
