//! Builds the write of one progress page: the new value and its preconditions.

use super::discard::is_applicable;
use super::selection::Selection;
use crate::fleet::MachineState;
use crate::jobs::pages::placed_record_bytes;
use crate::jobs::{PageId, ProgressPage, TaskRecord};
use crate::limits::QuotaCharge;
use crate::node::Core;
use crate::state::replica::Job;
use crate::state::{Operation, Precondition, RecordKey};
use std::collections::BTreeSet;

/// Preconditions of each page with starts: the revisions of the job, the page and the assignment.
const FIXED_PRECONDITIONS: usize = 3;

/// Size of a precondition in a transaction's body, in bytes: a key and its revision as JSON.
const PRECONDITION_BYTES: usize = 70;

/// The write of one progress page.
pub(super) struct PendingPageWrite {
    pub job: String,
    pub page_id: PageId,
    pub operation: Operation,
    /// The page's new content.
    pub page: ProgressPage,
    pub preconditions: Vec<Precondition>,
    /// Whether the page's exits have waited so long that it is written before pages with starts.
    pub is_overdue: bool,
    /// The machines on which the page starts tasks; empty if it has only exits.
    pub machines: BTreeSet<String>,
    /// The charge for the starts, if their team's quota is divided among controllers.
    pub charge: Option<QuotaCharge>,
    pub is_gang: bool,
}

/// The result of building the write of a page.
pub(super) struct BuiltPage {
    /// The write with those changes that are still valid and fit; `None` if there are none.
    pub write: Option<PendingPageWrite>,
    /// Whether all changes fit the maximum size of a value and the maximum number of preconditions.
    pub is_complete: bool,
}

impl PendingPageWrite {
    /// Whether the page starts tasks.
    pub fn has_starts(&self) -> bool {
        !self.machines.is_empty()
    }

    /// Size in a transaction's body, in bytes.
    pub fn bytes(&self) -> usize {
        self.operation.bytes() + self.preconditions.len() * PRECONDITION_BYTES
    }
}

/// The page to be written.
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

    /// The page's recorded content. A compact page that does not exist yet takes its tasks' records from the plain
    /// pages.
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

    /// Preconditions that follow from the page's encoding:
    ///
    /// - A new compact page requires that the plain pages that it replaces are unchanged: a transaction of a
    ///   process that has ended may still be in flight and change them.
    /// - A plain page requires, if compact pages are to be used, that the record of the schema versions is
    ///   unchanged, and so that no process writes compact pages yet.
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
                    .map_or(0, |stored| stored.revision);
                let key = RecordKey::SchemaVersions.to_string();
                vec![Precondition { key, revision }]
            }
            _ => Vec::new(),
        }
    }
}

/// Builds the write of a page from its pending changes.
pub(super) fn build_page_write(
    selection: &Selection,
    target: &PageTarget,
    changes: &[(u32, &TaskRecord)],
) -> BuiltPage {
    let encoding = target.encoding_preconditions(selection.core);
    let mut builder = PageWriteBuilder::new(selection, target, encoding.len());
    for (task, change) in changes {
        builder.add_change(*task, change);
    }
    BuiltPage {
        is_complete: builder.is_complete,
        write: builder
            .is_changed
            .then(|| builder.finish(selection, target, encoding)),
    }
}

/// Applies changes to a page one by one.
struct PageWriteBuilder<'a> {
    selection: &'a Selection<'a>,
    page_id: PageId,
    page: ProgressPage,
    /// Encoded size of the recorded page and an upper bound for each added start, in bytes.
    value_bytes: usize,
    /// Number of preconditions other than those on the machines' rentals.
    fixed_preconditions: usize,
    /// Preconditions on the machines' rentals.
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

    /// Applies a change. A change that is no longer valid, because the records or the machine's owner have changed
    /// since, is skipped. One that exceeds the number of preconditions or the size of the value is left for a
    /// later write.
    fn add_change(&mut self, task: u32, change: &TaskRecord) {
        let slot = self.selection.core.replica.layout.slot(self.page_id, task);
        let recorded = self.page.get(slot);
        // Another controller may already have written the same exit, and even the task's next start.
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

    /// The preconditions on rentals that a change needs; `None` if the change can no longer be written, because a
    /// machine is not owned by this controller any more or no longer accepts starts.
    fn rental_preconditions(
        &self,
        recorded: &TaskRecord,
        change: &TaskRecord,
    ) -> Option<Vec<Precondition>> {
        let Selection { core, me, .. } = self.selection;
        let machines = &core.replica.fleet.machines;
        let mut needed = Vec::new();
        if let TaskRecord::Placed { machine, .. } = change {
            // The machine may have been reassigned or drained since the start was planned.
            let target = machines.get(machine)?;
            if target.owner != **me || target.state != MachineState::Active {
                return None;
            }
            needed.extend(core.machine_precondition(machine));
        }
        // An observation of a task is valid only while this controller owns the machine: a later owner may have sent
        // `run` for a task that was observed to be absent. A machine without a record is gone for good, so what was
        // observed of its tasks stays valid.
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
        }
    }
}

/// Prevents starts of a job that has been assigned to another controller, which places the job from then on.
fn assignment_precondition(core: &Core) -> Precondition {
    let assignment = core.replica.assignment.as_ref();
    Precondition {
        key: RecordKey::Assignment.into(),
        revision: assignment.map_or(0, |assignment| assignment.revision),
    }
}
