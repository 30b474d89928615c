//! Faults that single transactions meet.

use super::store;
use crate::StubRequest;
use serde_json::Value;

/// What happens to a transaction that gets no answer.
#[derive(Clone, Copy, PartialEq)]
pub enum TransactionFault {
    /// It is applied at once.
    AnswerLost,
    /// It is applied when the test delivers it.
    Delayed,
}

/// Transactions that are to meet a fault.
pub(super) struct FaultRule {
    /// What one of a transaction's changes must contain.
    text: String,
    fault: TransactionFault,
    /// How many more transactions meet it.
    left: usize,
}

impl FaultRule {
    pub fn new(text: &str, fault: TransactionFault, count: usize) -> Self {
        Self {
            text: text.to_owned(),
            fault,
            left: count,
        }
    }
}

/// The fault of the first rule that a request matches, which then counts against the rule.
pub(super) fn take_matching(
    rules: &mut [FaultRule],
    request: &StubRequest,
) -> Option<TransactionFault> {
    if request.path != store::TRANSACTION_PATH {
        return None;
    }
    let changes = request.body["then"].as_array()?.iter();
    let changes: Vec<String> = changes.map(Value::to_string).collect();
    let matches = |rule: &&mut FaultRule| {
        rule.left > 0 && changes.iter().any(|change| change.contains(&rule.text))
    };
    let rule = rules.iter_mut().find(matches)?;
    rule.left -= 1;
    Some(rule.fault)
}
