//! What may be written once no process of the version before can be there any more. That version
//! would run a job that waits for others at once, and cannot read dense pages. So each node says in
//! its presence what it can do, and new forms begin when every configured node has been seen to; from
//! then on they stay, by a record that nothing removes.

use crate::jobs::Layout;
use crate::node::Node;
use crate::state::Replica;
use crate::state::{FORMS_KEY, Guard, Op, presence_key};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What this version can do: jobs that wait for others, dense pages.
pub const CAN: u32 = 1;

/// Who has been seen to be of this version, and whether all have.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Forms {
    pub seen: BTreeSet<String>,
    /// How jobs are divided into pages, from the beginning on: it must not change with the settings
    /// while there are pages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<Layout>,
}

impl Forms {
    pub fn begun(&self) -> bool {
        self.layout.is_some()
    }
}

/// The record as it should be, if that is not what is there. A node that is absent counts as last
/// seen: one of this version is not put back to the one before once the new forms have begun, and
/// before that its presence tells.
pub fn wanted(members: &[&str], layout: &Layout, replica: &Replica) -> Option<Forms> {
    let before = replica.forms.as_ref().map(|f| &f.record);
    if before.is_some_and(Forms::begun) {
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
        let members = node.settings.members();
        let Some(forms) = wanted(&members, &node.settings.layout(), &core.replica) else {
            return;
        };
        // Under the presences that it follows from: one may be back with the version before.
        let presence = |name: &&str| core.replica.presence.get(*name).map_or(0, |p| p.mark);
        let mut guards: Vec<Guard> = members
            .iter()
            .map(|name| Guard {
                k: presence_key(name),
                mark: presence(name),
            })
            .collect();
        guards.truncate(node.settings.txn_ops() * 4 - 1);
        let mark = core.replica.forms.as_ref().map_or(0, |f| f.mark);
        guards.push(Guard {
            k: FORMS_KEY.into(),
            mark,
        });
        (forms, guards)
    };
    let begun = forms.begun();
    let put = Op::set(FORMS_KEY.into(), &forms);
    if let Ok(ledger) = node
        .state
        .transact(&guards, std::slice::from_ref(&put))
        .await
    {
        node.core().apply(vec![put], ledger);
        if begun {
            tracing::info!("all controllers are of this version: its forms begin");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::pages::tests::wide;
    use crate::state::replica::{Kept, PresenceRecord};

    fn presence(incarnation: u64, forms: u32) -> Kept<PresenceRecord> {
        let record = PresenceRecord {
            incarnation,
            lease: 1,
            forms,
        };
        let mark = incarnation;
        Kept { record, mark }
    }

    /// Rule `too_early`: a node of the version before runs a job that waits as soon as it sees it. So
    /// one that is merely absent keeps the new forms from beginning, one that was seen new does not.
    #[test]
    fn new_forms_begin_when_every_node_was_seen_new_and_stay() {
        let members = ["a", "b", "c"];
        let mut replica = Replica::new(wide(8));
        let mut mark = 100;
        let mut trace = String::new();
        let mut step = |what: &str, replica: &mut Replica| {
            if let Some(forms) = wanted(&members, &wide(8), replica) {
                mark += 1;
                let text = serde_json::to_string(&forms).unwrap();
                replica.put("r/forms", &text, mark);
            }
            let forms = replica.forms.as_ref().map(|f| &f.record);
            let seen: Vec<_> = forms.iter().flat_map(|f| &f.seen).collect();
            let begun = replica.has_begun();
            trace.push_str(&format!("{what}: seen {seen:?}, begun {begun}\n"));
        };
        for name in members {
            replica.presence.insert(name.into(), presence(1, 0));
        }
        step("all old", &mut replica);
        replica.presence.insert("a".into(), presence(2, CAN));
        step("a is new", &mut replica);
        replica.presence.remove("b");
        step("b is absent", &mut replica);
        replica.presence.insert("b".into(), presence(3, CAN));
        step("b is new", &mut replica);
        replica.presence.insert("a".into(), presence(4, 0));
        step("a was put back", &mut replica);
        replica.presence.insert("a".into(), presence(5, CAN));
        replica.presence.remove("b");
        step("a is new, b absent", &mut replica);
        replica.presence.remove("c");
        step("c is absent, too", &mut replica);
        replica.presence.insert("c".into(), presence(6, CAN));
        step("c is new, b still absent", &mut replica);
        replica.presence.insert("b".into(), presence(7, 0));
        step("whatever comes", &mut replica);
        insta::assert_snapshot!(trace, @r#"
        all old: seen [], begun false
        a is new: seen ["a"], begun false
        b is absent: seen ["a"], begun false
        b is new: seen ["a", "b"], begun false
        a was put back: seen ["b"], begun false
        a is new, b absent: seen ["a", "b"], begun false
        c is absent, too: seen ["a", "b"], begun false
        c is new, b still absent: seen ["a", "b", "c"], begun true
        whatever comes: seen ["a", "b", "c"], begun true
        "#);
    }
}
