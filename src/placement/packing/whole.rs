//! Gangs, whose tasks start together or not at all, and tasks that fill most of a machine. One that must
//! wait has capacity reserved: otherwise smaller work would keep it waiting for ever.

use super::candidates::Candidate;
use super::{Packer, Unplaced};
use crate::placement::gang::{GangSlot, gang_slots};
use crate::placement::{JobSnapshot, Milestone, Reservation, SLACK};

/// Share of the machines that may be reserved at a time for work that waits for capacity.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// A gang whose machines are free within this time waits for its team's quota, if that is short:
/// what others use of the quota takes about as long to end.
const READY_WITHIN_S: f64 = 10.0;
/// After this multiple of the reservation delay, quota is reserved before there are machines.
const QUOTA_FIRST_FACTOR: f64 = 3.0;
/// Most jobs whose future start is worked out in one scheduling cycle.
const MAX_LOOKAHEADS: usize = 16;

/// What became of one attempt to place a gang or a large task.
enum WholeOutcome {
    Started,
    /// It is late whatever is done, and goes by its next due time.
    Deferred,
    /// Nothing more of it can start now.
    MustWait,
}

/// Slots for all tasks that start together, and when the last of them is free.
struct WholePlacement {
    slots: Vec<GangSlot>,
    start: f64,
}

impl Packer<'_> {
    /// Whether the job is placed by [`Packer::place_whole`].
    pub(super) fn is_placed_whole(&self, job: usize) -> bool {
        self.jobs[job].gang || self.jobs[job].large
    }

    /// Starts a gang or large tasks, or reserves capacity for them.
    pub(super) fn place_whole(&mut self, job: usize) {
        let view = &self.jobs[job];
        let size = if view.gang {
            view.waiting.len() - self.progress[job].next_task
        } else {
            1
        };
        while self.remaining(job) >= size {
            match self.try_place_whole(job, size) {
                WholeOutcome::Started => {}
                WholeOutcome::Deferred => return,
                WholeOutcome::MustWait => break,
            }
        }
        self.progress[job].exhausted = true;
    }

    fn try_place_whole(&mut self, job: usize, size: usize) -> WholeOutcome {
        let view = &self.jobs[job];
        let is_limited = self.headroom.tasks(view) < size;
        if is_limited && !self.may_look_ahead_for(view, size) {
            return WholeOutcome::MustWait;
        }
        if self.lookaheads >= MAX_LOOKAHEADS {
            return WholeOutcome::MustWait;
        }
        let placement = self.find_whole_placement(job, size);
        let start = placement.as_ref().map(|placement| placement.start);
        let starts_now = !is_limited && start.is_some_and(|start| start <= SLACK);
        if !starts_now {
            self.close_headroom_if_blocked(job, size, is_limited, start);
        }
        let Some(placement) = placement else {
            return WholeOutcome::MustWait;
        };
        if starts_now {
            self.start_whole(job, placement.slots);
            return WholeOutcome::Started;
        }
        if !is_limited && self.is_better_deferred(job, placement.start) {
            self.progress[job].deferred = true;
            return WholeOutcome::Deferred;
        }
        self.lookaheads += 1;
        self.reserve_whole(job, size, placement);
        WholeOutcome::MustWait
    }

    fn find_whole_placement(&mut self, job: usize, size: usize) -> Option<WholePlacement> {
        let examined = &mut self.result.machines_examined;
        let slots = gang_slots(&self.jobs[job], size, &mut self.machines, examined)?;
        if !self.zones_allow(job, &slots) {
            return None;
        }
        let start = slots.iter().map(|slot| slot.start).fold(0.0, f64::max);
        Some(WholePlacement { slots, start })
    }

    /// Array tasks in one zone, or spread, depend on where the others are.
    fn zones_allow(&self, job: usize, slots: &[GangSlot]) -> bool {
        let view = &self.jobs[job];
        let zones = &self.progress[job].zones;
        let allows =
            |slot: &GangSlot| view.may_add_in_zone(zones, self.machines.zone(slot.machine));
        view.gang || slots.iter().all(allows)
    }

    /// Stops further starts of the team, if its quota alone, or nearly so, keeps the job waiting.
    fn close_headroom_if_blocked(
        &mut self,
        job: usize,
        size: usize,
        is_limited: bool,
        start: Option<f64>,
    ) {
        let view = &self.jobs[job];
        let waits_for_quota = is_limited || self.headroom.is_reserved_for(view);
        let is_ready = start.is_some_and(|start| start <= READY_WITHIN_S);
        if waits_for_quota && (is_ready || self.quota_goes_first(view, size)) {
            self.headroom.close(view.team);
            self.result.quota_blocked_gangs.push(job);
        }
    }

    /// Whether a gang has waited for so long that quota is reserved for it before there are machines: none
    /// are rented for what its quota keeps waiting.
    fn quota_goes_first(&self, job: &JobSnapshot, size: usize) -> bool {
        let delay = self.reservation_delay_s * QUOTA_FIRST_FACTOR;
        self.headroom.is_overdue(job, size, delay)
    }

    /// Whether machines are reserved for work that waits for its team's quota: of each team for one job
    /// at a time, which has waited for long enough.
    fn may_look_ahead_for(&mut self, job: &JobSnapshot, size: usize) -> bool {
        if !self
            .headroom
            .is_overdue(job, size, self.reservation_delay_s)
        {
            return false;
        }
        job.team
            .is_some_and(|team| self.looked_ahead_for.insert(team))
    }

    fn start_whole(&mut self, job: usize, slots: Vec<GangSlot>) {
        for slot in slots {
            let candidate = Candidate {
                machine: slot.machine,
                fetch: slot.fetch,
                end: slot.end,
            };
            self.start(job, &candidate);
        }
    }

    /// A job that is late whatever is done goes by its next due time: smaller gangs that can still be in
    /// time are not kept waiting for a large one that is late anyway.
    fn is_better_deferred(&self, job: usize, start: f64) -> bool {
        let view = &self.jobs[job];
        view.due > 0.0
            && view.next_due > view.due
            && view.due_milestone == Milestone::Start
            && start > view.due
            && !self.progress[job].deferred
    }

    fn reserve_whole(&mut self, job: usize, size: usize, placement: WholePlacement) {
        let reserved = self.reserved_machines + size;
        let max_reserved = self.free.len() as f64 * MAX_RESERVED_SHARE;
        if self.reserved_machines > 0 && reserved as f64 > max_reserved {
            return;
        }
        self.reserved_machines = reserved;
        self.result.unplaced.push(Unplaced {
            job,
            start: Some(placement.start),
            reserved: true,
        });
        for slot in placement.slots {
            let reservation = Reservation {
                at: placement.start,
                resources: self.jobs[job].resources,
                job,
            };
            self.machines.reserve(slot.machine, reservation);
        }
    }
}
