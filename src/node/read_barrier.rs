//! Read barriers: a caller waits for a read of the state service that is sent after its request. One read serves all
//! waiting callers; `state::watch` sends it.

use std::sync::Mutex;
use tokio::sync::{Notify, oneshot};

/// Sends one waiting caller the result of its read: whether it succeeded.
pub type Waiter = oneshot::Sender<bool>;

/// The callers that are waiting for a read.
#[derive(Debug, Default)]
pub struct ReadBarriers {
    waiters: Mutex<Vec<Waiter>>,
    requested: Notify,
}

impl ReadBarriers {
    /// Waits for a read that is sent after this call, and returns whether it succeeded.
    pub async fn wait(&self) -> bool {
        let (waiter, result) = oneshot::channel();
        self.waiters.lock().unwrap().push(waiter);
        self.requested.notify_one();
        result.await.unwrap_or(false)
    }

    /// Completes once a read barrier has been requested since the last call.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Takes all callers that are waiting now. A read sent after this call may serve them.
    pub fn take_waiters(&self) -> Vec<Waiter> {
        std::mem::take(&mut *self.waiters.lock().unwrap())
    }
}
