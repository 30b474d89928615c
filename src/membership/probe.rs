//! Tells a network partition from an outage for a controller that reaches neither the state service nor its peers, but its
//! workers.
//!
//! From within both look the same, and the wrong guess is costly: in an outage, workers that are redirected find nobody else
//! who may answer them, and lose what they run when their leases expire; of a partitioned controller, the others
//! wait for its workers. So an outage is assumed and tested: one worker is redirected. In an outage the others know of no
//! other owner and redirect it back at once; from a partition it does not return, since it has found its new owner.

use std::time::{Duration, Instant};

/// A redirected worker returns within this if nobody else answers it: it tries the next controller a second later,
/// and may pass a few that do not answer.
const RETURN_TIMEOUT: Duration = Duration::from_secs(7);
/// How long a worker's return counts as evidence of an outage.
const OUTAGE_EVIDENCE_LIFETIME: Duration = Duration::from_secs(6);

/// The state of the test.
#[derive(Debug, Default)]
pub struct Probe {
    /// The redirected worker's machine, and when it was redirected.
    redirected: Option<(String, Instant)>,
    outage_until: Option<Instant>,
    is_partitioned: bool,
}

impl Probe {
    /// Whether a worker that reports now is redirected. `is_isolated`: this controller has lost both the state service
    /// and its peers, and its presence has expired.
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
