//! A node that reaches neither the state service nor the other controllers, but its workers: is it
//! cut off while the others go on without it, or is this an outage for all in which connections
//! between controllers are refused too? From within both look the same, and the wrong guess is
//! dear: in an outage, workers that are sent on find nobody else who may answer them, and lose
//! what they run when their lease is out; of a cut node, the others wait for its workers.
//!
//! An outage is assumed, and tried: a worker is sent on. In an outage the others know of no other
//! owner and send it back at once; from a cut it does not return, since it has found its new one.

use std::time::{Duration, Instant};

/// A worker that was sent on is back within this if nobody else answers it: it tries the next
/// node a second later, and may pass a few that do not answer.
const BACK_WITHIN: Duration = Duration::from_secs(7);
/// How long a worker's return counts.
const CALM_FOR: Duration = Duration::from_secs(6);

#[derive(Debug, Default)]
pub struct Probe {
    sent: Option<(String, Instant)>,
    calm_until: Option<Instant>,
    cut: bool,
}

impl Probe {
    /// Whether a worker that reports now is sent on. `alone`: this node has lost both the state
    /// service and the others, and its presence is over.
    pub fn redirects(&mut self, machine: &str, alone: bool, now: Instant) -> bool {
        if !alone {
            *self = Self::default();
            return false;
        }
        if self.cut {
            return true;
        }
        match &self.sent {
            Some((sent, _)) if sent == machine => {
                self.sent = None;
                self.calm_until = Some(now + CALM_FOR);
                false
            }
            Some((_, at)) => {
                self.cut = now.saturating_duration_since(*at) > BACK_WITHIN;
                self.cut
            }
            None if self.calm_until.is_some_and(|until| now < until) => false,
            None => {
                self.sent = Some((machine.to_owned(), now));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
