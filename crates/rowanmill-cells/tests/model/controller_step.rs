//! A controller's part of a simulation step: it reads the ledger and, as the leader, renews the cell's presence and
//! carries out the actions that its planner returns.

use super::records::RecordChange;
use super::{CELLS, Defect, Model};
use rand::RngExt;
use rowanmill_cells::plan::Action;
use rowanmill_cells::transaction::LedgerChange;
use rowanmill_cells::{OwnershipVersion, WithdrawalCondition};

/// Maximum number of operations of a ledger transaction.
const MAX_OPERATIONS: usize = 8;

impl Model {
    pub(super) fn step_controller(&mut self, cell: usize, number: usize) {
        let now = self.now;
        if !self.cells[cell].is_running(number, now) {
            return;
        }
        if !self.cells[cell].controllers[number].reaches_ledger(now) {
            return;
        }
        self.cells[cell].read_ledger(number, &self.ledger, now);
        // Both controllers may consider themselves the leader at the same time.
        let is_leader = number == 0 || self.rng.random_bool(0.05);
        if !is_leader {
            return;
        }
        self.maintain_presence(cell, number);
        if self.rng.random_bool(0.5) {
            return;
        }
        for action in self.cells[cell].plan(number, now) {
            self.carry_out(cell, number, action);
        }
    }

    fn maintain_presence(&mut self, cell: usize, number: usize) {
        let now = self.now;
        let transaction = self.cells[cell].renew_presence(number, &mut self.ledger, now);
        if let Some(transaction) = transaction
            && self.send_to_ledger(transaction).is_none()
        {
            self.cells[cell].controllers[number].lease = None;
        }
    }

    fn carry_out(&mut self, cell: usize, number: usize, action: Action) {
        match &action {
            Action::Adopt { id } => self.adopt(cell, number, id),
            Action::Cancel { id } => self.cancel_record(cell, id),
            Action::Withdraw {
                id,
                ownership,
                condition,
            } => self.withdraw(cell, id, *ownership, *condition),
            Action::Relinquish { .. } | Action::ReadFinalState { .. } => {}
            Action::Finish { .. }
            | Action::CancelInLedger { .. }
            | Action::HandOver { .. }
            | Action::Reclaim { .. }
            | Action::TakeOver { .. } => self.change_ledger(cell, number, &action),
        }
    }

    fn change_ledger(&mut self, cell: usize, number: usize, action: &Action) {
        let replica = &self.cells[cell].controllers[number].replica;
        let change = LedgerChange::for_action(replica, CELLS[cell], action, MAX_OPERATIONS);
        let Some(change) = change else {
            return;
        };
        let mut transaction = change.transaction;
        if self.defect == Defect::FinishWithoutPrecondition
            && matches!(action, Action::Finish { .. })
        {
            transaction.preconditions.clear();
        }
        let Some(revision) = self.send_to_ledger(transaction) else {
            return;
        };
        match action {
            Action::TakeOver { .. } => self.counts.takeovers += 1,
            Action::HandOver { .. } => self.counts.handovers += 1,
            _ => {}
        }
        let now = self.now;
        let replica = &mut self.cells[cell].controllers[number].replica;
        for (id, record) in change.updated_jobs {
            replica.apply_own_write(&id, record, revision, now);
        }
        if let Some((id, final_state)) = change.ended_job {
            replica.record_final_state(&id, final_state);
        }
    }

    fn adopt(&mut self, cell: usize, number: usize, id: &str) {
        let adopting = &mut self.cells[cell];
        let controller = &mut adopting.controllers[number];
        let Some(held) = controller.replica.jobs.get(id) else {
            return;
        };
        let ownership = OwnershipVersion {
            epoch: held.record.epoch,
            revision: held.revision,
        };
        if adopting.records.has(id) {
            return;
        }
        let relinquished = adopting.records.relinquished(id);
        if let Some(relinquished) = relinquished
            && relinquished.epoch == ownership.epoch
        {
            controller.planner.record_relinquished(id, ownership.epoch);
            return;
        }
        self.counts.readoptions += usize::from(relinquished.is_some());
        let adopt = RecordChange::Adopt {
            id: id.to_owned(),
            ownership,
            relinquished_revision: relinquished.map_or(0, |relinquished| relinquished.revision),
        };
        self.send_to_records(cell, adopt);
    }

    fn cancel_record(&mut self, cell: usize, id: &str) {
        let Some(revision) = self.cells[cell].records.revision_of(id) else {
            return;
        };
        let id = id.to_owned();
        self.send_to_records(cell, RecordChange::Cancel { id, revision });
    }

    fn withdraw(
        &mut self,
        cell: usize,
        id: &str,
        ownership: OwnershipVersion,
        condition: WithdrawalCondition,
    ) {
        let has_started = self.cells[cell].running.contains_key(id);
        if condition == WithdrawalCondition::NotStarted && has_started {
            return;
        }
        let Some(revision) = self.cells[cell].records.revision_of(id) else {
            return;
        };
        let withdraw = RecordChange::Withdraw {
            id: id.to_owned(),
            revision,
            ownership,
        };
        self.send_to_records(cell, withdraw);
    }
}
