//! Finds the machines on which a task could start now, ranked by completion time (equation 1 of the CVSS
//! paper).

use super::Packer;
use crate::placement::{END_TOLERANCE, ROUNDING_TOLERANCE};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A machine on which a task could start now. Times are seconds from now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Index of the machine in the snapshot.
    pub machine: usize,
    /// When the machine would have the task's image.
    pub fetch: f64,
    /// When the task would be complete.
    pub end: f64,
}

/// A candidate with its sort key: the class of ends that count as equal, then the cheaper and the fuller
/// machine.
#[derive(Debug, Clone, Copy)]
struct RankedCandidate {
    end_class: u64,
    price: f64,
    candidate: Candidate,
}

impl Ord for RankedCandidate {
    /// The best candidate is the greatest, since the heap yields the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let order = self.end_class.cmp(&other.end_class);
        let order = order.then(self.price.total_cmp(&other.price));
        let order = order.then(self.candidate.machine.cmp(&other.candidate.machine));
        order.reverse()
    }
}

impl PartialOrd for RankedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedCandidate {}

/// Candidates, best first. A heap, since usually only the first few are used.
pub(super) struct Candidates(BinaryHeap<RankedCandidate>);

impl Iterator for Candidates {
    type Item = Candidate;

    fn next(&mut self) -> Option<Candidate> {
        self.0.pop().map(|ranked| ranked.candidate)
    }
}

impl Packer<'_> {
    /// Machines on which a task of the job could start now, best first.
    pub(super) fn candidates(&mut self, job: usize) -> Candidates {
        let found = self.find_candidates(job);
        let earliest_end = found.iter().map(|c| c.end).fold(f64::INFINITY, f64::min);
        let tolerance = (self.jobs[job].duration * END_TOLERANCE).max(ROUNDING_TOLERANCE);
        let ranked = found.into_iter().map(|candidate| RankedCandidate {
            end_class: ((candidate.end - earliest_end) / tolerance) as u64,
            price: self.machines.price(candidate.machine)
                + self.machines.emptiness(candidate.machine),
            candidate,
        });
        Candidates(ranked.collect())
    }

    fn find_candidates(&mut self, job: usize) -> Vec<Candidate> {
        let snapshot = &self.jobs[job];
        let zones = &self.progress[job].zones;
        let times = self.machines.task_times(snapshot);
        let mut machines_examined = 0;
        let mut found = Vec::new();
        for machine in self.machines.usable_open(snapshot) {
            machines_examined += 1;
            let free = &self.free[machine];
            let zone = self.machines.zone(machine);
            if !snapshot.resources.fits(free) || !snapshot.may_add_in_zone(zones, zone) {
                continue;
            }
            let machine_snapshot = &self.machines.machines()[machine];
            let fetch = times.fetch(machine);
            let end = fetch + times.run(machine);
            if machine_snapshot.accommodates(&snapshot.resources, free)
                && machine_snapshot.respects_reservations(&snapshot.resources, end)
            {
                found.push(Candidate {
                    machine,
                    fetch,
                    end,
                });
            }
        }
        self.result.machines_examined += machines_examined;
        found
    }
}
