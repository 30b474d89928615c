//! Places gangs, whose tasks start together or not at all, and large tasks, which fill most of a machine.
//! Capacity is reserved for those that must wait: otherwise smaller work could delay them indefinitely.

use super::candidates::Candidate;
use super::{Packer, Unplaced};
use crate::placement::gang::{GangSlots, gang_slots};
use crate::placement::{JobSnapshot, Milestone, ROUNDING_TOLERANCE, Reservation};

/// Largest fraction of the machines that one packing reserves for work that waits for capacity, where each
/// task counts as one machine. The first job's reservation may be larger.
const MAX_RESERVED_FRACTION: f64 = 0.5;
/// If a gang exceeds its team's headroom, other starts of the team stop once the gang's machines are free
/// within this time: running tasks of the team take about as long to end and release their quota.
const READY_WITHIN_S: f64 = 10.0;
/// After this multiple of the reservation delay, they stop even if no machines will be free soon.
const QUOTA_BEFORE_MACHINES_FACTOR: f64 = 3.0;
/// After this many gangs and large tasks that must wait although slots were found for them, a packing
/// searches slots for no more of them.
const MAX_LOOKAHEADS: usize = 16;

/// The result of one attempt to place a gang or a large task.
enum Outcome {
    Started,
    /// It will be late in any case and is ordered by its next due time.
    Deferred,
    /// No more of its tasks can start now.
    MustWait,
}

/// Slots for all tasks that start together, and when the last of them becomes free.
struct Placement {
    slots: Vec<GangSlots>,
    start: f64,
}

impl Packer<'_> {
    /// Whether the job is a gang or has large tasks, and so is placed by [`Packer::place_or_reserve`].
    pub(super) fn may_reserve(&self, job: usize) -> bool {
        self.jobs[job].gang || self.jobs[job].large
    }

    /// Plans the start of a gang or of large tasks, or reserves capacity for them.
    pub(super) fn place_or_reserve(&mut self, job: usize) {
        let snapshot = &self.jobs[job];
        let size = if snapshot.gang {
            snapshot.waiting.len() - self.progress[job].next_task
        } else {
            1
        };
        while self.remaining(job) >= size {
            match self.try_place_or_reserve(job, size) {
                Outcome::Started => {}
                Outcome::Deferred => return,
                Outcome::MustWait => break,
            }
        }
        self.progress[job].exhausted = true;
    }

    fn try_place_or_reserve(&mut self, job: usize, size: usize) -> Outcome {
        let snapshot = &self.jobs[job];
        let exceeds_quota = self.headroom.tasks(snapshot) < size;
        if exceeds_quota && !self.may_look_ahead_for(snapshot, size) {
            return Outcome::MustWait;
        }
        if self.lookaheads >= MAX_LOOKAHEADS {
            return Outcome::MustWait;
        }
        let placement = self.find_placement(job, size);
        let start = placement.as_ref().map(|placement| placement.start);
        let starts_now = !exceeds_quota && start.is_some_and(|start| start <= ROUNDING_TOLERANCE);
        if !starts_now {
            self.close_headroom_if_blocked(job, size, exceeds_quota, start);
        }
        let Some(placement) = placement else {
            return Outcome::MustWait;
        };
        if starts_now {
            self.start_all(job, placement.slots);
            return Outcome::Started;
        }
        if !exceeds_quota && self.should_defer(job, placement.start) {
            self.progress[job].deferred = true;
            return Outcome::Deferred;
        }
        self.lookaheads += 1;
        self.reserve(job, size, placement);
        Outcome::MustWait
    }

    fn find_placement(&mut self, job: usize, size: usize) -> Option<Placement> {
        let examined = &mut self.result.machines_examined;
        let slots = gang_slots(&self.jobs[job], size, &mut self.machines, examined)?;
        if !self.zones_allow(job, &slots) {
            return None;
        }
        let start = slots.iter().map(|slot| slot.start).fold(0.0, f64::max);
        Some(Placement { slots, start })
    }

    /// Whether an array's rules on zones permit the slots, given the zones of its other tasks. For a gang,
    /// whose tasks all start together, `gang_slots` has applied the rules.
    fn zones_allow(&self, job: usize, slots: &[GangSlots]) -> bool {
        let snapshot = &self.jobs[job];
        let zones = &self.progress[job].zones;
        let allows =
            |slot: &GangSlots| snapshot.may_add_in_zone(zones, self.machines.zone(slot.machine));
        snapshot.gang || slots.iter().all(allows)
    }

    /// Stops further starts of the team and records the job as blocked by the quota, if the job exceeds the
    /// team's headroom or has quota reserved for it, and either its machines are free now or soon, or it
    /// has waited very long.
    fn close_headroom_if_blocked(
        &mut self,
        job: usize,
        size: usize,
        exceeds_quota: bool,
        start: Option<f64>,
    ) {
        let snapshot = &self.jobs[job];
        let waits_for_quota = exceeds_quota || self.headroom.is_reserved_for(snapshot);
        let is_ready = start.is_some_and(|start| start <= READY_WITHIN_S);
        if waits_for_quota && (is_ready || self.quota_precedes_machines(snapshot, size)) {
            self.headroom.close(snapshot.team);
            self.result.quota_blocked_gangs.push(job);
        }
    }

    /// Whether a gang has waited so long that quota is kept for it before its machines are free. No machines
    /// are rented for work that exceeds its team's quota, so its machines might never be free.
    fn quota_precedes_machines(&self, job: &JobSnapshot, size: usize) -> bool {
        let delay = self.reservation_delay_s * QUOTA_BEFORE_MACHINES_FACTOR;
        self.headroom.is_due_for_reservation(job, size, delay)
    }

    /// Whether machines may be reserved for a job that exceeds its team's headroom: for one job per team,
    /// after it has waited long enough.
    fn may_look_ahead_for(&mut self, job: &JobSnapshot, size: usize) -> bool {
        if !self
            .headroom
            .is_due_for_reservation(job, size, self.reservation_delay_s)
        {
            return false;
        }
        job.team
            .is_some_and(|team| self.teams_looked_ahead.insert(team))
    }

    fn start_all(&mut self, job: usize, slots: Vec<GangSlots>) {
        for slot in slots {
            let candidate = Candidate {
                machine: slot.machine,
                fetch: slot.fetch,
                end: slot.end,
            };
            self.start(job, &candidate, slot.tasks);
        }
    }

    /// Whether a job that will miss its start time in any case should be ordered by its next due time
    /// instead: smaller gangs that can still be in time do not wait for a large one that is late anyway.
    fn should_defer(&self, job: usize, start: f64) -> bool {
        let snapshot = &self.jobs[job];
        snapshot.due > 0.0
            && snapshot.next_due > snapshot.due
            && snapshot.due_milestone == Milestone::Start
            && start > snapshot.due
            && !self.progress[job].deferred
    }

    fn reserve(&mut self, job: usize, size: usize, placement: Placement) {
        let reserved = self.reserved_machines + size;
        let max_reserved = self.free.len() as f64 * MAX_RESERVED_FRACTION;
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
                resources: self.jobs[job].resources.scaled(slot.tasks as f64),
                job,
            };
            self.machines.reserve(slot.machine, reservation);
        }
    }
}
