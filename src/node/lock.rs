//! The lock on a controller's shared state, with measurements of how long callers wait for it and hold it. The
//! controller has one thread, so nothing is answered while the lock is held; the measurements name the call that held
//! it for longest.

use super::Core;
use std::ops::{Deref, DerefMut};
use std::panic::Location;
use std::sync::{Mutex, MutexGuard, TryLockError};
use std::time::{Duration, Instant};

/// The shared state behind its lock.
pub struct StateLock {
    core: Mutex<Core>,
    times: Mutex<LockTimes>,
}

/// Waits for the lock and the longest time that it was held, within a period.
#[derive(Debug, Clone, Copy, Default)]
pub struct LockTimes {
    /// Number of times that the lock was taken.
    pub acquisitions: u64,
    /// Of these, how many had to wait since another thread held the lock.
    pub waits: u64,
    /// Time of all waits.
    pub waited: Duration,
    /// The longest wait.
    pub longest_wait: Duration,
    /// The longest time for which the lock was held.
    pub longest_hold: Duration,
    /// Where the lock was taken that was held for longest.
    pub longest_holder: Option<&'static Location<'static>>,
}

/// Access to the shared state while the lock is held. It must not be held across an `await`.
pub struct CoreGuard<'a> {
    core: MutexGuard<'a, Core>,
    times: &'a Mutex<LockTimes>,
    holder: &'static Location<'static>,
    acquired_at: Instant,
    waited: Option<Duration>,
}

impl StateLock {
    pub fn new(core: Core) -> Self {
        Self {
            core: Mutex::new(core),
            times: Mutex::default(),
        }
    }

    /// Takes the lock.
    #[track_caller]
    pub fn lock(&self) -> CoreGuard<'_> {
        let holder = Location::caller();
        let requested_at = Instant::now();
        let (core, waited) = match self.core.try_lock() {
            Ok(core) => (core, None),
            Err(TryLockError::WouldBlock) => {
                let core = self.core.lock().unwrap();
                (core, Some(requested_at.elapsed()))
            }
            Err(TryLockError::Poisoned(poisoned)) => panic!("{poisoned}"),
        };
        CoreGuard {
            core,
            times: &self.times,
            holder,
            acquired_at: waited.map_or(requested_at, |waited| requested_at + waited),
            waited,
        }
    }

    /// The measurements since the last call.
    pub fn take_times(&self) -> LockTimes {
        std::mem::take(&mut self.times.lock().unwrap())
    }
}

impl LockTimes {
    fn record_hold(&mut self, held: Duration, holder: &'static Location<'static>) {
        self.acquisitions += 1;
        if held > self.longest_hold {
            self.longest_hold = held;
            self.longest_holder = Some(holder);
        }
    }

    fn record_wait(&mut self, waited: Duration) {
        self.waits += 1;
        self.waited += waited;
        self.longest_wait = self.longest_wait.max(waited);
    }
}

impl Deref for CoreGuard<'_> {
    type Target = Core;

    fn deref(&self) -> &Core {
        &self.core
    }
}

impl DerefMut for CoreGuard<'_> {
    fn deref_mut(&mut self) -> &mut Core {
        &mut self.core
    }
}

impl Drop for CoreGuard<'_> {
    fn drop(&mut self) {
        let held = self.acquired_at.elapsed();
        // A panic while the lock is held poisons the state itself; these measurements stay usable.
        let mut times = self
            .times
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        times.record_hold(held, self.holder);
        if let Some(waited) = self.waited {
            times.record_wait(waited);
        }
    }
}

#[cfg(test)]
mod tests;
