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
    pub fn sends_on(&mut self, machine: &str, alone: bool, now: Instant) -> bool {
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
mod tests {
    use super::*;

    /// Lost work either way: sending all workers on in an outage, and keeping them when cut off.
    #[test]
    fn one_worker_tells_a_cut_from_an_outage() {
        let start = Instant::now();
        let mut trace = String::new();
        let mut say = |probe: &mut Probe, at: u64, machine: &str, alone: bool| {
            let sent_on = probe.sends_on(machine, alone, start + Duration::from_secs(at));
            let what = if sent_on { "sent on" } else { "answered" };
            trace.push_str(&format!("{at} s {machine} {what}\n"));
        };
        let mut outage = Probe::default();
        for (at, machine) in [
            (1, "vm-1"),
            (2, "vm-2"),
            (3, "vm-1"),
            (8, "vm-2"),
            (10, "vm-3"),
        ] {
            say(&mut outage, at, machine, true);
        }
        say(&mut outage, 11, "vm-3", false);
        let mut cut = Probe::default();
        for (at, machine) in [
            (21, "vm-1"),
            (24, "vm-2"),
            (27, "vm-3"),
            (29, "vm-2"),
            (30, "vm-3"),
        ] {
            say(&mut cut, at, machine, true);
        }
        insta::assert_snapshot!(trace, @r"
        1 s vm-1 sent on
        2 s vm-2 answered
        3 s vm-1 answered
        8 s vm-2 answered
        10 s vm-3 sent on
        11 s vm-3 answered
        21 s vm-1 sent on
        24 s vm-2 answered
        27 s vm-3 answered
        29 s vm-2 sent on
        30 s vm-3 sent on
        ");
    }
}
