//! Locks of the client. This is the one place that decides what a poisoned lock means.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`.
///
/// # Panics
/// If another thread panicked while it held the lock: what it guards may be half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds a lock of the client")
}
