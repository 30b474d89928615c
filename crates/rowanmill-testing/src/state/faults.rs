//! Faults that are injected into single transactions.

use super::store;
use crate::StubRequest;
use serde_json::Value;

/// A fault because of which a transaction gets no answer.
#[derive(Clone, Copy, PartialEq)]
pub enum TransactionFault {
    /// The transaction is executed at once, but its answer is lost.
    AnswerLost,
    /// The transaction is executed only when the test delivers it.
    Delayed,
}

/// The transactions into which a fault is injected.
pub(super) struct FaultRule {
    /// The text that must occur in the JSON text of one of a transaction's operations.
    text: String,
    fault: TransactionFault,
    /// The number of transactions that are still to get the fault.
    remaining: usize,
}

impl FaultRule {
    pub fn new(text: &str, fault: TransactionFault, count: usize) -> Self {
        Self {
            text: text.to_owned(),
            fault,
            remaining: count,
        }
    }
}

/// The fault of the first rule that a request matches and that has transactions remaining. Counts the request in that
/// rule.
pub(super) fn take_matching(
    rules: &mut [FaultRule],
    request: &StubRequest,
) -> Option<TransactionFault> {
    if request.path != store::TRANSACTION_PATH {
        return None;
    }
    let operations = request.body["then"].as_array()?.iter();
    let operations: Vec<String> = operations.map(Value::to_string).collect();
    let matches = |rule: &&mut FaultRule| {
        rule.remaining > 0
            && operations
                .iter()
                .any(|operation| operation.contains(&rule.text))
    };
    let rule = rules.iter_mut().find(matches)?;
    rule.remaining -= 1;
    Some(rule.fault)
}
