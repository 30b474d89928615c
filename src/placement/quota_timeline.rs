//! A team's quota over time: the amount that is available now, and the amounts that tasks release when they end.
//! Times are seconds from the moment of the snapshot.

use super::{FreeSlot, Resources};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Quota that is released at a time. Releases are ordered by this time alone.
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

/// The quota of one team over time, as tasks take it one after the other. [`QuotaTimeline::take`] takes it at the
/// time that [`QuotaTimeline::earliest`] returned last, at first now.
#[derive(Debug, Clone)]
pub(super) struct QuotaTimeline {
    available: Resources,
    releases: BinaryHeap<Reverse<Release>>,
    /// The latest time of the releases that are included in `available`.
    at: f64,
}

impl QuotaTimeline {
    /// A timeline with `available` now, and with the later releases of running tasks.
    pub fn new(available: Resources, releases: &[FreeSlot]) -> Self {
        let releases = releases.iter().cloned();
        Self {
            available,
            releases: releases.map(|slot| Reverse(Release(slot))).collect(),
            at: 0.0,
        }
    }

    /// The earliest time, not before that of an earlier call, at which the request is available beside what was
    /// taken; `None` if it never is.
    pub fn earliest(&mut self, request: &Resources) -> Option<f64> {
        while !request.fits(&self.available) {
            let Reverse(Release(slot)) = self.releases.pop()?;
            self.at = self.at.max(slot.at);
            self.available.add(&slot.available);
        }
        Some(self.at)
    }

    /// Takes what a task uses and releases it at `end`; without an end it is never released.
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
