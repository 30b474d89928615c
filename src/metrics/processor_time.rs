//! Counts the processor time that this process spends on each kind of work. Elapsed time is not measured
//! here.

use rustix::time::{ClockId, clock_gettime};
use std::future::poll_fn;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A kind of work whose processor time is counted. The work does not await.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CpuAccount {
    /// Workers' heartbeats: decoding them, and reconciling them with the records to decide on commands.
    Heartbeats,
    /// Decoding users' submissions, and checking whether a job can run. Status polls and cancellations are charged
    /// to no account.
    UserRequests,
    /// Decoding the responses of the watch on the state service.
    WatchDecoding,
    /// Applying decoded changes to the replica.
    Replication,
    /// Updating the cached snapshots of machines and jobs.
    Snapshots,
    /// Mapping all waiting tasks to predict deadline misses.
    Forecast,
    /// Placing the tasks that can start now.
    Placement,
    /// Turning placements and preemptions into pending changes.
    Planning,
    /// Selecting the changes and the ended jobs to write, and encoding the progress pages.
    RecordWrites,
    /// Renting, releasing and assigning machines.
    Scaling,
}

impl CpuAccount {
    /// All accounts, each at the index of its discriminant.
    pub const ALL: [CpuAccount; 10] = [
        CpuAccount::Heartbeats,
        CpuAccount::UserRequests,
        CpuAccount::WatchDecoding,
        CpuAccount::Replication,
        CpuAccount::Snapshots,
        CpuAccount::Forecast,
        CpuAccount::Placement,
        CpuAccount::Planning,
        CpuAccount::RecordWrites,
        CpuAccount::Scaling,
    ];
}

/// Nanoseconds of processor time charged to each account since the process started.
#[derive(Debug, Default)]
pub struct ProcessorTime {
    charged_ns: [AtomicU64; CpuAccount::ALL.len()],
}

/// Charges the thread's processor time to an account until it is dropped. It must not be held across an await:
/// the work of other tasks on the thread would be charged to the account too.
#[must_use]
pub struct Charge<'a> {
    account_ns: &'a AtomicU64,
    started: Duration,
}

impl ProcessorTime {
    /// Starts charging an account until the returned guard is dropped.
    pub fn charge(&self, account: CpuAccount) -> Charge<'_> {
        Charge {
            account_ns: &self.charged_ns[account as usize],
            started: thread_time(),
        }
    }

    /// Runs a future and charges the time of each of its polls to an account, but not the time in between, in which
    /// other tasks run.
    pub async fn charge_future<F: Future>(&self, account: CpuAccount, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|context| {
            let _charge = self.charge(account);
            future.as_mut().poll(context)
        })
        .await
    }

    /// The processor time charged to each account so far, in the order of [`CpuAccount::ALL`].
    pub fn totals(&self) -> [Duration; CpuAccount::ALL.len()] {
        std::array::from_fn(|account| {
            Duration::from_nanos(self.charged_ns[account].load(Ordering::Relaxed))
        })
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        let spent = thread_time().saturating_sub(self.started);
        self.account_ns
            .fetch_add(spent.as_nanos() as u64, Ordering::Relaxed);
    }
}

/// Processor time of the calling thread, without the time that it waits.
fn thread_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Processor time of the whole process, including what is charged to no account.
pub fn process_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

#[cfg(test)]
mod tests;
