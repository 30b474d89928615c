//! What may be written once no process of the version before can be there any more. That version
//! would run a job that waits for others at once, and cannot read dense pages. So each node says in
//! its presence what it can do, and new forms begin when every configured node has been seen to; from
//! then on they stay, by a record that nothing removes.

use crate::jobs::PageLayout;
use crate::node::Node;
use crate::state::Replica;
use crate::state::{FORMS_KEY, Operation, Precondition, presence_key};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What this version can do: jobs that wait for others, dense pages.
pub const CAN: u32 = 1;
/// The same, and that it was told to divide teams' limits.
pub const CAN_DIVIDE_LIMITS: u32 = 2;

/// Who has been seen to be of this version, and whether all have.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SchemaVersions {
    pub seen: BTreeSet<String>,
    /// How jobs are divided into pages, from the beginning on: it must not change with the settings
    /// while there are pages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<PageLayout>,
}

impl SchemaVersions {
    pub fn begun(&self) -> bool {
        self.layout.is_some()
    }
}

/// The record as it should be, if that is not what is there. A node that is absent counts as last
/// seen: one of this version is not put back to the one before once the new forms have begun, and
/// before that its presence tells.
pub fn wanted(members: &[&str], layout: &PageLayout, replica: &Replica) -> Option<SchemaVersions> {
    let before = replica.forms.as_ref().map(|f| &f.record);
    if before.is_some_and(SchemaVersions::begun) {
        return None;
    }
    let mut forms = before.cloned().unwrap_or_default();
    for name in members {
        match replica.presence.get(*name) {
            Some(presence) if presence.record.forms >= CAN => {
                forms.seen.insert((*name).to_owned());
            }
            Some(_) => {
                forms.seen.remove(*name);
            }
            None => {}
        }
    }
    if members.iter().all(|name| forms.seen.contains(*name)) {
        forms.layout = Some(*layout);
    }
    (before != Some(&forms) && !forms.seen.is_empty()).then_some(forms)
}

/// Any node of this version brings the record up to date: the leader may be of the one before.
pub async fn keep(node: &Node) {
    if node.can < CAN {
        return;
    }
    let (forms, guards) = {
        let core = node.core();
        let members = node.settings.member_names();
        let Some(forms) = wanted(&members, &node.settings.page_layout(), &core.replica) else {
            return;
        };
        // Under the presences that it follows from: one may be back with the version before.
        let presence = |name: &&str| core.replica.presence.get(*name).map_or(0, |p| p.revision);
        let mut guards: Vec<Precondition> = members
            .iter()
            .map(|name| Precondition {
                key: presence_key(name),
                revision: presence(name),
            })
            .collect();
        guards.truncate(node.settings.max_transaction_operations() * 4 - 1);
        let revision = core.replica.forms.as_ref().map_or(0, |f| f.revision);
        guards.push(Precondition {
            key: FORMS_KEY.into(),
            revision,
        });
        (forms, guards)
    };
    let begun = forms.begun();
    let put = Operation::put(FORMS_KEY.into(), &forms);
    if let Ok(revision) = node
        .state
        .compare_and_swap(&guards, std::slice::from_ref(&put))
        .await
    {
        node.core().apply(vec![put], revision);
        if begun {
            tracing::info!("all controllers are of this version: its forms begin");
        }
    }
}

#[cfg(test)]
mod tests;
