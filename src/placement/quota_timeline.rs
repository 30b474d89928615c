//! A team's quota over time: what is available now, and what running and mapped tasks release. Times are seconds
//! from the moment of the snapshot.

use super::{FreeSlot, Resources};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Quota that is released at a time, ordered by it.
#[derive(Debug, Clone)]
struct Release(FreeSlot);

impl PartialEq for Release {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Release {}

impl PartialOrd for Release {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Release {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.at.total_cmp(&other.0.at)
    }
}

/// The quota of one team as tasks take it one after the other.
#[derive(Debug, Clone)]
pub(super) struct QuotaTimeline {
    available: Resources,
    releases: BinaryHeap<Reverse<Release>>,
    /// No later task takes quota before this.
    at: f64,
}

impl QuotaTimeline {
    /// A timeline that begins with `available`.
    pub fn new(available: Resources, releases: &[FreeSlot]) -> Self {
        let releases = releases.iter().cloned();
        Self {
            available,
            releases: releases.map(|slot| Reverse(Release(slot))).collect(),
            at: 0.0,
        }
    }

    /// The earliest time at which the request is available beside what was taken; `None` if it never is.
    pub fn earliest(&mut self, request: &Resources) -> Option<f64> {
        while !request.fits(&self.available) {
            let Reverse(Release(slot)) = self.releases.pop()?;
            self.at = self.at.max(slot.at);
            self.available.add(&slot.available);
        }
        Some(self.at)
    }

    /// Takes what a task uses; without an end it is never released.
    pub fn take(&mut self, request: &Resources, end: Option<f64>) {
        self.available.sub(request);
        let released = end.map(|at| FreeSlot {
            at,
            available: *request,
        });
        self.releases
            .extend(released.map(|slot| Reverse(Release(slot))));
    }
}
