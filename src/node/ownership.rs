//! What a controller keeps in memory of the machines that it owns, brought in line with the records of their owners.

use super::Core;
use crate::jobs::TaskId;
use crate::membership::assignment::Member;
use crate::state::{Precondition, RecordKey};
use crate::workers::Ownership;
use std::time::Instant;

impl Core {
    /// Whether a controller places a job's tasks and ends it.
    pub fn owns_job(&self, member: &Member, id: &str) -> bool {
        let job = self.replica.jobs.get(id);
        job.is_some_and(|job| self.replica.owner_of(&job.record) == Some(member))
    }

    /// The precondition under which what is planned on a machine holds: its rental's record, which changes with the
    /// machine's owner and state. `None` for a machine in no record, which is provably gone.
    pub fn machine_precondition(&self, machine: &str) -> Option<Precondition> {
        let machine = self.replica.fleet.machines.get(machine)?;
        let rental = self.replica.fleet.rentals.get(&machine.rental)?;
        Some(Precondition {
            key: RecordKey::Rental(&machine.rental).into(),
            revision: rental.revision,
        })
    }

    /// Limits what is kept in memory to the machines that `identity`, this controller, owns. Only machines whose records changed
    /// are examined.
    pub fn update_ownership(&mut self, identity: &Member, now: Instant) {
        for name in self.replica.fleet.take_changed_machines() {
            self.update_owner(identity, &name, now);
        }
    }

    /// Does so for one machine. A new fencing token of an owned machine means that another controller owned it in
    /// between and acted on it: what was observed before is void, and what is true of it will be reported again.
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
        self.forget_observations(name);
    }

    /// Forgets what a machine's agent reported, and the changes planned by it.
    fn forget_observations(&mut self, name: &str) {
        self.workers.agents.remove(name);
        // A response that is held back there now names the owner.
        self.workers.release_held_response(name);
        let recorded = self.replica.tasks_by_machine.get(name).cloned();
        // Starts planned there and not written yet, too: nobody else would ever discard them, and their tasks would
        // count as placed for good.
        let planned: Vec<TaskId> = self.pending_changes.starts_on(name).cloned().collect();
        for id in recorded.unwrap_or_default().into_iter().chain(planned) {
            self.discard_change(&id);
        }
    }
}
