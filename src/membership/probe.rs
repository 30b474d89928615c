//! Distinguishes a network partition from an outage of the state service for a controller that reaches neither the state
//! service nor its peers, but still reaches its workers.
//!
//! The controller cannot observe the difference, and a wrong decision is costly. In an outage, no other controller may
//! answer redirected workers, so their leases expire and their tasks are lost. In a partition, the other controllers have
//! taken over the machines and wait for their workers. Therefore the controller assumes an outage and tests the
//! assumption by redirecting a single worker. In an outage, the other controllers know no other owner and redirect the
//! worker back at once. In a partition, the worker finds its new owner and does not return.

use std::time::{Duration, Instant};

/// A redirected worker that no other controller answers returns within this time. It tries one controller per second,
/// some of which may not respond.
const RETURN_TIMEOUT: Duration = Duration::from_secs(7);
/// How long an outage is assumed after a redirected worker has returned.
const OUTAGE_EVIDENCE_LIFETIME: Duration = Duration::from_secs(6);

/// The state of the test for a partition.
#[derive(Debug, Default)]
pub struct PartitionProbe {
    /// The machine of the redirected worker, and when the worker was redirected.
    redirected: Option<(String, Instant)>,
    outage_until: Option<Instant>,
    is_partitioned: bool,
}

impl PartitionProbe {
    /// Whether to redirect the worker of `machine`, which has sent a heartbeat at `now`. `is_isolated` says whether this
    /// controller reaches neither the state service nor its peers and its presence has expired.
    pub fn redirects(&mut self, machine: &str, is_isolated: bool, now: Instant) -> bool {
        if !is_isolated {
            *self = Self::default();
            return false;
        }
        if self.is_partitioned {
            return true;
        }
        match &self.redirected {
            Some((redirected, _)) if redirected == machine => {
                self.redirected = None;
                self.outage_until = Some(now + OUTAGE_EVIDENCE_LIFETIME);
                false
            }
            Some((_, at)) => {
                self.is_partitioned = now.saturating_duration_since(*at) > RETURN_TIMEOUT;
                self.is_partitioned
            }
            None if self.outage_until.is_some_and(|until| now < until) => false,
            None => {
                self.redirected = Some((machine.to_owned(), now));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
