//! Simulated delivery of writes. A write to the ledger may be carried out without a response, and any write may be
//! carried out late.

use super::records::RecordChange;
use super::{Cell, Ledger, Model};
use rand::RngExt;
use rowanmill_cells::transaction::Transaction;
use std::time::{Duration, Instant};

/// A write that was sent and is carried out later. Its sender gets no response.
pub enum DelayedWrite {
    Ledger(Transaction),
    Records { cell: usize, change: RecordChange },
}

impl DelayedWrite {
    /// Carries out the write; returns whether its preconditions held.
    fn carry_out(&self, ledger: &mut Ledger, cells: &mut [Cell], now: Instant) -> bool {
        match self {
            Self::Ledger(transaction) => ledger.commit(transaction, now).is_ok(),
            Self::Records { cell, change } => cells[*cell].records.apply(change),
        }
    }
}

impl Model {
    /// Sends a transaction to the ledger. Returns the revision if it was committed and its sender got the response.
    pub(super) fn send_to_ledger(&mut self, transaction: Transaction) -> Option<u64> {
        let now = self.now;
        if self.chance(0.1) {
            // The transaction is committed or rejected, but the response is lost.
            let _ = self.ledger.commit(&transaction, now);
            return None;
        }
        if self.chance(0.15) {
            let delay = self.random_delay();
            self.delay_write(delay, DelayedWrite::Ledger(transaction));
            return None;
        }
        self.ledger.commit(&transaction, now).ok()
    }

    /// Sends a change to a cell's own records; it may be carried out late.
    pub(super) fn send_to_records(&mut self, cell: usize, change: RecordChange) {
        if self.chance(0.15) {
            let delay = self.random_delay();
            self.delay_write(delay, DelayedWrite::Records { cell, change });
            return;
        }
        self.cells[cell].records.apply(&change);
    }

    pub(super) fn delay_write(&mut self, delay: Duration, write: DelayedWrite) {
        self.delayed_writes.push((self.now + delay, write));
    }

    fn random_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(100..40_000))
    }

    pub(super) fn carry_out_delayed_writes(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_writes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed_writes = later;
        for (_, write) in due {
            let applied = write.carry_out(&mut self.ledger, &mut self.cells, now);
            self.counts.late_writes_applied += usize::from(applied);
        }
    }
}
