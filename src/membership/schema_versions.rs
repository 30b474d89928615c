//! Activation of new encodings of durable records during a rolling upgrade.
//!
//! A controller of the previous version would run a job with dependencies at once, and cannot read a compact
//! progress page. So each controller publishes its [`FeatureLevel`] in its presence record, and the new encodings
//! are activated once every configured controller was seen at the required level. The activation is a durable
//! record that nothing removes: it must never be undone, since compact pages may exist from then on.

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
    /// The previous version, which publishes no level.
    pub const NONE: Self = Self(0);
    /// Jobs with dependencies, and compact progress pages.
    pub const COMPACT_PAGES: Self = Self(1);
    /// In addition, the process was configured to divide teams' quotas among the controllers.
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

/// Durable record of the upgrade: who supports the new encodings, and whether they are activated.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SchemaVersions {
    /// Controllers that were at [`FeatureLevel::COMPACT_PAGES`] or above when last seen.
    #[serde(rename = "seen")]
    pub upgraded_members: BTreeSet<String>,
    /// How jobs are divided into pages, present once activated: it must not follow the settings while there
    /// are pages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<PageLayout>,
}

impl SchemaVersions {
    /// Whether the new encodings may be written.
    pub fn is_activated(&self) -> bool {
        self.layout.is_some()
    }
}

/// Decides what the record should become, `None` if it is up to date or already activated.
///
/// An absent controller counts as last seen: one of this version is not downgraded once the new encodings are
/// activated, and before that its next presence record shows its level.
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

/// Brings the durable record up to date. Every controller of this version does so, not the leader alone, which
/// may be of the previous version. A refused transaction is tried again by the next call.
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

/// The record to write, and the revisions that it was derived from.
fn prepare_update(node: &Node) -> Option<(SchemaVersions, Vec<Precondition>)> {
    let core = node.core();
    let members = node.settings.member_names();
    let record = next_record(&members, &node.settings.page_layout(), &core.replica)?;
    // Under the presence records that it was derived from: a controller may have returned with the previous version.
    let mut preconditions: Vec<Precondition> = members
        .iter()
        .map(|name| Precondition {
            key: RecordKey::Presence(name).into(),
            revision: core.replica.presence.get(*name).map_or(0, |p| p.revision),
        })
        .collect();
    preconditions.truncate(node.settings.max_transaction_operations() * 4 - 1);
    preconditions.push(Precondition {
        key: RecordKey::SchemaVersions.into(),
        revision: core
            .replica
            .schema_versions
            .as_ref()
            .map_or(0, |f| f.revision),
    });
    Some((record, preconditions))
}

#[cfg(test)]
mod tests;
