//! Locking of the client's mutexes. All modules of the client use it, so that a poisoned mutex is handled
//! the same way everywhere.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`.
///
/// # Panics
/// If another thread panicked while it held the lock, since the guarded data may be inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds a lock of the client")
}
