//! Processor time of this process, divided among the duties that spend it.

use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Work that a controller does between two points where it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Workers' reports: decoding, reading, and the orders they get.
    Reports,
    /// Submissions, polls and cancellations.
    Users,
    /// Decoding what the state service's log tells.
    Decode,
    /// Taking decoded changes into the replica.
    Replicate,
    /// Bringing cached views of machines and jobs up to date.
    Views,
    /// Mapping all waiting tasks to predict misses.
    Forecast,
    /// Placing what can start now.
    Placement,
    /// Turning placements and preemption into planned changes.
    Planning,
    /// Making up the records that are to be written.
    Records,
    /// Renting, releasing and distributing machines.
    Renting,
}

impl Duty {
    pub const ALL: [Duty; 10] = [
        Duty::Reports,
        Duty::Users,
        Duty::Decode,
        Duty::Replicate,
        Duty::Views,
        Duty::Forecast,
        Duty::Placement,
        Duty::Planning,
        Duty::Records,
        Duty::Renting,
    ];
}

/// Nanoseconds of processor time spent on each duty since the process began.
#[derive(Debug, Default)]
pub struct ProcessorTime {
    spent: [AtomicU64; Duty::ALL.len()],
}

/// Charges its lifetime to a duty. It must not be held across an await: what other tasks of the
/// thread do meanwhile would be charged to it.
#[must_use]
pub struct Charge<'a> {
    account: &'a AtomicU64,
    began: Duration,
}

impl ProcessorTime {
    /// Begins charging a duty; the charge ends when the returned value is dropped.
    pub fn charge(&self, duty: Duty) -> Charge<'_> {
        Charge {
            account: &self.spent[duty as usize],
            began: thread_time(),
        }
    }

    /// What each duty has been charged so far, in the order of `Duty::ALL`.
    pub fn spent(&self) -> [Duration; Duty::ALL.len()] {
        std::array::from_fn(|duty| Duration::from_nanos(self.spent[duty].load(Ordering::Relaxed)))
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        let spent = thread_time().saturating_sub(self.began);
        self.account
            .fetch_add(spent.as_nanos() as u64, Ordering::Relaxed);
    }
}

/// Processor time of the calling thread: waiting and other processes do not count.
fn thread_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Processor time of the whole process, with what no duty is charged for.
pub fn process_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

#[cfg(test)]
mod tests;
