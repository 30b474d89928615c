//! Machines where a task could start now, ranked by the paper's equation 1: earliest completion first.

use super::Packer;
use crate::placement::{END_TOLERANCE, SLACK};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A machine where a task could start now. Times are seconds from now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Index of the machine in the snapshot.
    pub machine: usize,
    /// When the task's image would be there.
    pub fetch: f64,
    /// When the task would be complete.
    pub end: f64,
}

/// A candidate with what decides between several: ends that count as equal, then the cheaper and fuller
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

/// Candidates, best first. A heap, since mostly only the first few are asked for.
pub(super) struct Candidates(BinaryHeap<RankedCandidate>);

impl Iterator for Candidates {
    type Item = Candidate;

    fn next(&mut self) -> Option<Candidate> {
        self.0.pop().map(|ranked| ranked.candidate)
    }
}

impl Packer<'_> {
    /// Machines where a task of the job could start now, best first.
    pub(super) fn candidates(&mut self, job: usize) -> Candidates {
        let found = self.find_candidates(job);
        let earliest_end = found.iter().map(|c| c.end).fold(f64::INFINITY, f64::min);
        let tolerance = (self.jobs[job].duration * END_TOLERANCE).max(SLACK);
        let ranked = found.into_iter().map(|candidate| RankedCandidate {
            end_class: ((candidate.end - earliest_end) / tolerance) as u64,
            price: self.machines.price(candidate.machine)
                + self.machines.emptiness(candidate.machine),
            candidate,
        });
        Candidates(ranked.collect())
    }

    fn find_candidates(&mut self, job: usize) -> Vec<Candidate> {
        let view = &self.jobs[job];
        let zones = &self.progress[job].zones;
        let times = self.machines.task_times(view);
        let mut machines_examined = 0;
        let mut found = Vec::new();
        for machine in self.machines.usable_open(view) {
            machines_examined += 1;
            let free = &self.free[machine];
            let zone = self.machines.zone(machine);
            if !view.resources.fits(free) || !view.may_add_in_zone(zones, zone) {
                continue;
            }
            let snapshot = &self.machines.machines()[machine];
            let fetch = times.fetch(machine);
            let end = fetch + times.run(machine);
            if snapshot.accommodates(&view.resources, free)
                && snapshot.respects_reservations(&view.resources, end)
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
