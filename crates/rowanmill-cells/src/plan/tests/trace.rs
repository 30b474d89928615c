//! Formats states and actions for the snapshots. The snapshots contain earlier names of types and fields;
//! this text keeps those names, so that an unchanged snapshot shows unchanged decisions.

use super::*;

pub fn trace_state(state: LocalJobState) -> String {
    match state {
        LocalJobState::Open {
            has_started,
            age_ms,
            excluded_by_protection,
        } => format!(
            "Open {{ begun: {has_started}, age_ms: {age_ms}, is_barred: {excluded_by_protection} }}"
        ),
        LocalJobState::Cancelling => "Cancelled".to_owned(),
        LocalJobState::Completed => "Done".to_owned(),
        LocalJobState::Cancelled => "EndedCancelled".to_owned(),
        LocalJobState::Absent => "Absent".to_owned(),
        LocalJobState::Withdrawn => "Withdrawn".to_owned(),
    }
}

pub fn trace_action(action: &Action) -> String {
    match action {
        Action::Withdraw {
            id,
            ownership: OwnershipVersion { epoch, revision },
            condition,
        } => format!(
            "Withdraw {{ id: {id:?}, stamp: Stamp {{ epoch: {epoch}, mark: {revision} }}, \
             only_unbegun: {} }}",
            *condition == WithdrawalCondition::NotStarted
        ),
        Action::Finish { id, final_state } => {
            format!("Finish {{ id: {id:?}, last: {final_state:?} }}")
        }
        other => format!("{other:?}"),
    }
}

/// Withdrawals with one field per line. Other actions are printed under their current names, so that a
/// snapshot of withdrawals fails on them.
pub fn trace_withdrawals(actions: &[Action]) -> String {
    let mut trace = "[\n".to_owned();
    for action in actions {
        let Action::Withdraw {
            id,
            ownership: OwnershipVersion { epoch, revision },
            condition,
        } = action
        else {
            trace.push_str(&format!("    {action:?},\n"));
            continue;
        };
        let only_unbegun = *condition == WithdrawalCondition::NotStarted;
        trace.push_str(&format!(
            "    Withdraw {{\n        id: {id:?},\n        stamp: Stamp {{\n            \
             epoch: {epoch},\n            mark: {revision},\n        }},\n        \
             only_unbegun: {only_unbegun},\n    }},\n"
        ));
    }
    trace + "]"
}
