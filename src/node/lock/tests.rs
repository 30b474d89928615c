use super::*;
use std::thread::{scope, sleep};

/// Guards against a hang whose place nobody can tell: the measurements name the call that held the lock for longest,
/// and how long others waited for it.
#[test]
fn the_longest_holder_and_the_waits_are_measured() {
    let layout = crate::jobs::pages::tests::plain_layout(8);
    let lock = StateLock::new(Core::new(layout, Instant::now()));
    drop(lock.lock());
    scope(|threads| {
        let held = lock.lock();
        let line = line!() - 1;
        let waiting = threads.spawn(|| drop(lock.lock()));
        sleep(Duration::from_millis(50));
        drop(held);
        waiting.join().unwrap();
        let times = lock.take_times();
        assert_eq!((times.acquisitions, times.waits), (3, 1));
        assert!(times.longest_hold >= Duration::from_millis(50));
        let holder = times.longest_holder.unwrap();
        assert_eq!((holder.file(), holder.line()), (file!(), line));
        assert!(times.longest_wait > Duration::ZERO && times.longest_wait <= times.longest_hold);
        assert_eq!(times.waited, times.longest_wait);
    });
    assert_eq!(lock.take_times().acquisitions, 0);
}
