//! Read barriers: waiting for a read of the state service that was sent after the request for it. One read serves all
//! who wait; `state::watch` sends it.

use std::sync::Mutex;
use tokio::sync::{Notify, oneshot};

/// Tells a waiter whether its read succeeded.
pub type Waiter = oneshot::Sender<bool>;

/// The barriers that are waited for.
#[derive(Debug, Default)]
pub struct ReadBarriers {
    waiters: Mutex<Vec<Waiter>>,
    requested: Notify,
}

impl ReadBarriers {
    /// Waits for a read that is sent after this call; whether it succeeded.
    pub async fn wait(&self) -> bool {
        let (waiter, result) = oneshot::channel();
        self.waiters.lock().unwrap().push(waiter);
        self.requested.notify_one();
        result.await.unwrap_or(false)
    }

    /// Completes once a barrier has been requested since the last call.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// All who wait now; a read sent after this call serves them.
    pub fn take_waiters(&self) -> Vec<Waiter> {
        std::mem::take(&mut *self.waiters.lock().unwrap())
    }
}
