use super::*;
use std::thread::{scope, sleep};

/// How long the lock is held in each attempt.
const HELD: Duration = Duration::from_millis(50);
/// Attempts to have another thread wait for the lock. On a busy machine it may not run while the lock is held.
const MAX_ATTEMPTS: usize = 200;

/// Holds the lock while another thread takes it, too. Returns the measurements and the line of the holder.
fn hold_while_another_thread_locks(lock: &StateLock) -> (LockTimes, u32) {
    scope(|threads| {
        let held = lock.lock();
        let line = line!() - 1;
        let waiting = threads.spawn(|| drop(lock.lock()));
        sleep(HELD);
        drop(held);
        waiting.join().unwrap();
        (lock.take_times(), line)
    })
}

/// Guards against a hang whose place nobody can tell: the measurements name the call that held the lock for longest,
/// and how long others waited for it.
#[test]
fn the_longest_holder_and_the_waits_are_measured() {
    let layout = crate::jobs::pages::tests::plain_layout(8);
    let lock = StateLock::new(Core::new(layout, Instant::now()));
    for _ in 0..MAX_ATTEMPTS {
        let started_at = Instant::now();
        let (times, line) = hold_while_another_thread_locks(&lock);
        let elapsed = started_at.elapsed();
        assert_eq!(times.acquisitions, 2);
        assert!(times.longest_hold >= HELD && times.longest_hold <= elapsed);
        // The other thread may be woken some time after the lock was released.
        assert!(times.longest_wait <= elapsed);
        assert_eq!(times.waited, times.longest_wait);
        let holder = times.longest_holder.unwrap();
        assert_eq!((holder.file(), holder.line()), (file!(), line));
        assert_eq!(lock.take_times().acquisitions, 0);
        if times.waits == 1 {
            assert!(times.longest_wait > Duration::ZERO);
            return;
        }
        assert_eq!((times.waits, times.waited), (0, Duration::ZERO));
    }
    panic!("no thread waited for the lock in {MAX_ATTEMPTS} attempts");
}
