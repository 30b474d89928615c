//! Keeps the replica up to date: loads all records, then polls the state service's watch for changes. A
//! successful poll also proves contact with the state service. Callers that need the current state request
//! a read barrier, which is an additional poll without a hold time.

use super::LIVE_PREFIX;
use crate::metrics::CpuAccount;
use crate::node::Node;
use rowanmill_state::{ReadError, WatchResponse};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time since the last successful poll after which contact with the state service counts as lost. The next
/// response then starts a new period of contact.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Loads the records and then polls the watch. Loads them again when the service no longer keeps all changes
/// since the replica's revision. Runs for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    loop {
        if load(&node).await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        node.core().loaded = true;
        poll_until_compacted(&node).await;
        node.core().loaded = false;
        tracing::info!("watch compacted before the last applied revision, reloading");
    }
}

/// Loads all records. The pages of the listing are read at different revisions; the poll applies the changes
/// since the first page, which makes the replica consistent.
async fn load(node: &Node) -> Result<(), ReadError> {
    let (pairs, revision) = node.state.list_all(LIVE_PREFIX).await?;
    node.core().replica.reload_from_snapshot(pairs, revision);
    poll(node, Duration::ZERO).await
}

/// Polls until an error shows that the records must be loaded again. Other errors are retried.
async fn poll_until_compacted(node: &Node) {
    let hold = node.settings.watch_timeout();
    while let Ok(()) | Err(ReadError::Failed(_)) = poll(node, hold).await {
        tokio::time::sleep(node.state.watch_interval()).await;
    }
}

/// Requests the changes since the replica's revision once, and applies them. The service waits up to `hold`
/// for a change. After an error this function pauses, unless `hold` is zero, because then a caller waits for
/// the result.
async fn poll(node: &Node, hold: Duration) -> Result<(), ReadError> {
    let from = node.core().replica.revision;
    let sent_at = Instant::now();
    match request_changes(node, from, hold).await {
        Ok(response) => {
            apply(node, response, sent_at);
            Ok(())
        }
        Err(error) => {
            if !hold.is_zero() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(error)
        }
    }
}

async fn request_changes(
    node: &Node,
    from: u64,
    hold: Duration,
) -> Result<WatchResponse, ReadError> {
    let body = node.state.watch(LIVE_PREFIX, from, hold).await?;
    let _charge = node.processor_time.charge(CpuAccount::WatchDecoding);
    WatchResponse::decode(&body)
}

/// Applies the response to a request that was sent at `sent_at`. Afterwards the replica contains every change
/// that was committed before that time.
fn apply(node: &Node, response: WatchResponse, sent_at: Instant) {
    let _charge = node.processor_time.charge(CpuAccount::Replication);
    let mut core = node.core();
    let has_changes = !response.events.is_empty();
    let last_contact = core.last_read_barrier;
    if last_contact.is_none_or(|at| at.elapsed() > CONTACT_TIMEOUT) {
        core.connected_since = Some(sent_at);
    }
    core.replica.apply(response.events, response.revision);
    core.last_read_barrier = last_contact.max(Some(sent_at));
    drop(core);
    if has_changes {
        node.wake_up.notify_one();
    }
}

/// Serves the callers that wait for a read barrier, with one poll for all that are waiting. Each caller is
/// told whether the replica now contains every change that was committed before the caller's request.
pub async fn serve_read_barriers(node: Arc<Node>) {
    loop {
        node.read_barriers.requested().await;
        let waiters = node.read_barriers.take_waiters();
        if waiters.is_empty() {
            continue;
        }
        let is_loaded = node.core().loaded;
        let is_fresh = is_loaded && poll(&node, Duration::ZERO).await.is_ok();
        for waiter in waiters {
            // The caller may have stopped waiting.
            let _ = waiter.send(is_fresh);
        }
        // Callers that arrive during this pause share the next poll.
        tokio::time::sleep(node.state.read_barrier_interval()).await;
    }
}
