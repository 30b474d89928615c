//! Keeps a controller's in-memory state of machines consistent with the recorded owners of the machines.

use super::Core;
use crate::jobs::TaskId;
use crate::membership::assignment::Member;
use crate::state::{Precondition, RecordKey};
use crate::workers::Ownership;
use std::time::Instant;

impl Core {
    /// Whether `member` owns a job, that is, places its tasks and ends it.
    pub fn owns_job(&self, member: &Member, id: &str) -> bool {
        let job = self.replica.jobs.get(id);
        job.is_some_and(|job| self.replica.owner_of(&job.record) == Some(member))
    }

    /// The precondition for writing a change that was planned for a machine: its rental's record is unchanged. That
    /// record changes whenever the machine's owner or state does. `None` for a machine without a record, which is
    /// known to be gone.
    pub fn machine_precondition(&self, machine: &str) -> Option<Precondition> {
        let machine = self.replica.fleet.machines.get(machine)?;
        let rental = self.replica.fleet.rentals.get(&machine.rental)?;
        Some(Precondition {
            key: RecordKey::Rental(&machine.rental).into(),
            revision: rental.revision,
        })
    }

    /// Updates the in-memory ownership of every machine whose record has changed since the last call. `identity` is
    /// this controller.
    pub fn update_ownership(&mut self, identity: &Member, now: Instant) {
        for name in self.replica.fleet.take_changed_machines() {
            self.update_owner(identity, &name, now);
        }
    }

    /// Updates the in-memory ownership of one machine. If the fencing token of an owned machine has changed, another
    /// controller may have owned the machine and acted on it in between. Earlier observations are then discarded; the
    /// agent's next heartbeat replaces them.
    pub fn update_owner(&mut self, identity: &Member, name: &str, now: Instant) {
        self.pending_changes.mark_machine_changed(name);
        let machine = self.replica.fleet.machines.get(name);
        let token = machine
            .filter(|machine| machine.owner == *identity)
            .map(|machine| machine.fencing_token);
        let known = self.workers.owned.get(name).map(|o| o.fencing_token);
        if token == known {
            return;
        }
        match token {
            Some(fencing_token) => {
                let ownership = Ownership {
                    since: now,
                    fencing_token,
                };
                self.workers.owned.insert(name.to_owned(), ownership);
            }
            None => {
                self.workers.owned.remove(name);
                self.scaling.releasing.remove(name);
            }
        }
        self.discard_observations(name);
    }

    /// Discards what a machine's agent reported, and the pending changes that are based on it.
    fn discard_observations(&mut self, name: &str) {
        self.workers.agents.remove(name);
        // A heartbeat response that is being held back for this machine is sent now. If another controller owns the
        // machine, the response names that controller.
        self.workers.release_held_response(name);
        let recorded = self.replica.tasks_by_machine.get(name).cloned();
        // Planned starts that are not written yet are also discarded: no other code would do so, and their tasks
        // would count as placed indefinitely.
        let planned: Vec<TaskId> = self.pending_changes.starts_on(name).cloned().collect();
        for id in recorded.unwrap_or_default().into_iter().chain(planned) {
            self.discard_change(&id);
        }
    }
}
