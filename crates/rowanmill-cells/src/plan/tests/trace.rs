//! The text of states and actions in the snapshots. The snapshots were taken with earlier names, which
//! this text keeps, so that they show that the decisions are the same.

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

/// Withdrawals with one field a line; the text of anything else differs from the snapshots.
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
