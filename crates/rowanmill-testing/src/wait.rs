//! Waiting for conditions and for several futures.

use std::task::Poll;
use std::time::{Duration, Instant};

/// How long [`until`] waits. It exceeds the duration of a takeover of another controller's machines.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a condition holds, and fails the test after 40 s. `what` names the condition in the failure.
pub async fn until(what: &str, holds: impl AsyncFnMut() -> bool) {
    until_within(DEFAULT_TIMEOUT, what, holds).await;
}

/// Waits until a condition holds, and fails the test after `timeout`. `what` names the condition in the failure.
pub async fn until_within(timeout: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds().await {
        assert!(
            Instant::now() < deadline,
            "condition not met within {timeout:?}: {what}"
        );
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Runs futures concurrently until all of them are complete.
pub async fn join_all(futures: impl Iterator<Item = impl Future>) {
    let mut pending: Vec<_> = futures.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}
