//! Builds the write of one progress page: its new value and the preconditions under which that holds.

use super::selection::Selection;
use super::withdrawal::is_applicable;
use crate::fleet::MachineState;
use crate::jobs::pages::placed_record_bytes;
use crate::jobs::{PageId, ProgressPage, TaskRecord};
use crate::limits::QuotaCharge;
use crate::node::Core;
use crate::state::replica::Job;
use crate::state::{Operation, Precondition, RecordKey};
use std::collections::BTreeSet;

/// Preconditions of each start: its job, page and assignment.
const FIXED_PRECONDITIONS: usize = 3;

/// What a precondition adds to a transaction's body, in bytes: a key and its revision as JSON.
const PRECONDITION_BYTES: usize = 70;

/// One progress page as it is to be written.
pub(super) struct PendingPageWrite {
    pub job: String,
    pub page_id: PageId,
    pub operation: Operation,
    /// The page once it is written.
    pub page: ProgressPage,
    pub preconditions: Vec<Precondition>,
    /// Exits on it have waited so long that it is written before starts.
    pub is_overdue: bool,
    /// Machines on which it starts tasks; empty if it holds exits alone.
    pub machines: BTreeSet<String>,
    /// What the starts are charged to, if their team's quota is divided among controllers.
    pub charge: Option<QuotaCharge>,
    pub is_gang: bool,
    /// No start was left out because it exceeds a value's size or a transaction's preconditions.
    pub is_complete: bool,
}

impl PendingPageWrite {
    /// Whether the page starts tasks.
    pub fn has_starts(&self) -> bool {
        !self.machines.is_empty()
    }

    /// What it takes of a transaction's body, in bytes.
    pub fn bytes(&self) -> usize {
        self.operation.bytes() + self.preconditions.len() * PRECONDITION_BYTES
    }
}

/// The page that a write is for.
pub(super) struct PageTarget<'a> {
    pub id: &'a str,
    pub job: &'a Job,
    pub page: PageId,
}

impl PageTarget<'_> {
    fn precondition(&self, page: PageId) -> Precondition {
        Precondition {
            key: RecordKey::page(self.id, page).into(),
            revision: self.job.page_revision(page),
        }
    }

    /// The page as the records have it. A compact page that does not exist yet starts with what the
    /// plain ones say of its tasks.
    fn recorded_page(&self, core: &Core) -> ProgressPage {
        match (self.job.pages.get(&self.page), self.page) {
            (Some(recorded), _) => recorded.record.clone(),
            (None, PageId::Plain(_)) => ProgressPage::default(),
            (None, PageId::Compact(_)) => self.migrated_from_plain_pages(core),
        }
    }

    fn migrated_from_plain_pages(&self, core: &Core) -> ProgressPage {
        let layout = &core.replica.layout;
        let tasks = layout.tasks_on(self.page).indices();
        let tasks = tasks.take_while(|task| *task < self.job.record.spec.tasks);
        let mut records: Vec<TaskRecord> = tasks
            .map(|task| self.job.task_record(layout, task).clone())
            .collect();
        while records.last() == Some(&TaskRecord::default()) {
            records.pop();
        }
        ProgressPage(records)
    }

    /// Preconditions that follow from the page's encoding. A compact page that replaces plain ones: the
    /// plain pages, which a transaction in flight of a process that has ended may still change. A plain
    /// page, as long as there may be processes that know no other: that no process writes compact
    /// pages yet.
    fn encoding_preconditions(&self, core: &Core) -> Vec<Precondition> {
        let replica = &core.replica;
        match self.page {
            PageId::Compact(_) if !self.job.pages.contains_key(&self.page) => {
                let plain_pages = replica.layout.plain_pages_overlapping(self.page);
                plain_pages
                    .map(|number| self.precondition(PageId::Plain(number)))
                    .collect()
            }
            PageId::Plain(_) if replica.layout.uses_compact() => {
                let revision = replica
                    .schema_versions
                    .as_ref()
                    .map_or(0, |forms| forms.revision);
                let key = RecordKey::SchemaVersions.to_string();
                vec![Precondition { key, revision }]
            }
            _ => Vec::new(),
        }
    }
}

/// The write of a page with those of the changes that still apply and fit. Nothing if none does.
pub(super) fn build_page_write(
    selection: &Selection,
    target: &PageTarget,
    changes: &[(u32, &TaskRecord)],
) -> Option<PendingPageWrite> {
    let encoding = target.encoding_preconditions(selection.core);
    let mut builder = PageWriteBuilder::new(selection, target, encoding.len());
    for (task, change) in changes {
        builder.add_change(*task, change);
    }
    builder
        .is_changed
        .then(|| builder.finish(selection, target, encoding))
}

/// A page to which changes are applied one by one.
struct PageWriteBuilder<'a> {
    selection: &'a Selection<'a>,
    page_id: PageId,
    page: ProgressPage,
    /// Upper bound of the page's encoded size, in bytes.
    value_bytes: usize,
    /// Preconditions beside those of the machines' rentals.
    fixed_preconditions: usize,
    rentals: BTreeSet<Precondition>,
    /// Machines on which tasks are started.
    machines: BTreeSet<String>,
    started_tasks: u32,
    is_changed: bool,
    is_complete: bool,
}

impl<'a> PageWriteBuilder<'a> {
    fn new(
        selection: &'a Selection<'a>,
        target: &PageTarget,
        encoding_preconditions: usize,
    ) -> Self {
        let core = selection.core;
        let page = target.recorded_page(core);
        let team = &target.job.record.spec.team;
        let has_charge = core.limits.divided_team(core, team).is_some();
        Self {
            selection,
            page_id: target.page,
            value_bytes: page.bytes(target.page),
            page,
            fixed_preconditions: FIXED_PRECONDITIONS
                + usize::from(has_charge)
                + encoding_preconditions,
            rentals: BTreeSet::new(),
            machines: BTreeSet::new(),
            started_tasks: 0,
            is_changed: false,
            is_complete: true,
        }
    }

    /// Applies a change, unless the records or the machine's owner have changed since it was decided.
    /// What exceeds the transaction's preconditions or the value's size is left for a later write.
    fn add_change(&mut self, task: u32, change: &TaskRecord) {
        let slot = self.selection.core.replica.layout.slot(self.page_id, task);
        let recorded = self.page.get(slot);
        // Another controller may have written the same exit, and the task's next start, meanwhile.
        if !is_applicable(recorded, change) {
            return;
        }
        let Some(needed) = self.rental_preconditions(recorded, change) else {
            return;
        };
        let added = needed
            .iter()
            .filter(|rental| !self.rentals.contains(rental));
        let preconditions = self.rentals.len() + added.count() + self.fixed_preconditions;
        if preconditions > self.selection.max_preconditions {
            self.is_complete = false;
            return;
        }
        if let TaskRecord::Placed { machine, .. } = change {
            self.value_bytes += placed_record_bytes(self.page_id, machine);
            if self.value_bytes > self.selection.core.replica.layout.value_bytes {
                self.is_complete = false;
                return;
            }
            self.machines.insert(machine.clone());
            self.started_tasks += 1;
        }
        self.rentals.extend(needed);
        self.page.set(slot, change.clone());
        self.is_changed = true;
    }

    /// The rentals on which a change depends; nothing if one of its machines is not this controller's.
    fn rental_preconditions(
        &self,
        recorded: &TaskRecord,
        change: &TaskRecord,
    ) -> Option<Vec<Precondition>> {
        let Selection { core, me, .. } = self.selection;
        let machines = &core.replica.fleet.machines;
        let mut needed = Vec::new();
        if let TaskRecord::Placed { machine, .. } = change {
            // The machine may have been reassigned or drained since the start was decided.
            let target = machines.get(machine)?;
            if target.owner != **me || target.state != MachineState::Active {
                return None;
            }
            needed.extend(core.machine_precondition(machine));
        }
        // What was observed of a task holds as long as its machine is ours: a next owner may have sent
        // `run` for what was observed absent. A machine in no record is gone for good.
        if let TaskRecord::Placed { machine, .. } = recorded {
            if machines.get(machine).is_some_and(|m| m.owner != **me) {
                return None;
            }
            needed.extend(core.machine_precondition(machine));
        }
        Some(needed)
    }

    fn finish(
        self,
        selection: &Selection,
        target: &PageTarget,
        encoding: Vec<Precondition>,
    ) -> PendingPageWrite {
        let core = selection.core;
        let has_starts = !self.machines.is_empty();
        let charge = core.limits.charge_for(core, target.id, self.started_tasks);
        let charge = charge.filter(|_| has_starts);
        let mut preconditions = vec![
            Precondition {
                key: RecordKey::Job(target.id).into(),
                revision: target.job.revision,
            },
            target.precondition(target.page),
        ];
        if has_starts {
            preconditions.push(assignment_precondition(core));
        }
        preconditions.extend(charge.iter().map(QuotaCharge::precondition));
        preconditions.extend(encoding);
        preconditions.extend(self.rentals);
        let key = RecordKey::page(target.id, target.page).to_string();
        let operation = match target.page {
            PageId::Plain(_) => Operation::put(key, &self.page),
            PageId::Compact(_) => Operation::put(key, &self.page.to_compact()),
        };
        PendingPageWrite {
            job: target.id.to_owned(),
            page_id: target.page,
            operation,
            page: self.page,
            preconditions,
            is_overdue: false,
            machines: self.machines,
            charge,
            is_gang: target.job.record.spec.is_gang(),
            is_complete: self.is_complete,
        }
    }
}

/// Guards a start against the job's assignment to another controller, which places it from then on.
fn assignment_precondition(core: &Core) -> Precondition {
    let assignment = core.replica.assignment.as_ref();
    Precondition {
        key: RecordKey::Assignment.into(),
        revision: assignment.map_or(0, |assignment| assignment.revision),
    }
}
