//! Keeps the replica up to date, and proves contact with the state service: a load of all records, then
//! polls of the watch, and read barriers for those who need to know what holds now.

use super::LIVE_PREFIX;
use crate::metrics::CpuAccount;
use crate::node::Node;
use rowanmill_state::{ReadError, WatchResponse};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Contact with the state service that was lost for longer begins again with the next response.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Loads the records, then polls the watch; loads them again when the service no longer keeps the changes
/// from here on. Runs for as long as the process lives.
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

/// Loads all records. The pages of the listing are of different moments; the changes from the first one
/// on make them agree.
async fn load(node: &Node) -> Result<(), ReadError> {
    let (pairs, revision) = node.state.list_all(LIVE_PREFIX).await?;
    node.core().replica.reload_from_snapshot(pairs, revision);
    poll(node, Duration::ZERO).await
}

/// Polls until an error says that the records must be loaded again.
async fn poll_until_compacted(node: &Node) {
    let hold = node.settings.watch_timeout();
    while let Ok(()) | Err(ReadError::Failed(_)) = poll(node, hold).await {
        tokio::time::sleep(node.state.watch_interval()).await;
    }
}

/// Requests the changes since the replica's revision once, and applies them. The service waits for one at
/// most for `hold`. Pauses after an error, unless somebody waits for the answer (no `hold`).
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

/// Applies a response to a request sent at `sent_at`: from then on the replica holds all that was written
/// before.
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

/// Serves those who wait for a read barrier, one request at a time for all of them: each is told whether
/// the replica now holds all that was written before it asked.
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
            // Whoever gave up waiting needs no answer.
            let _ = waiter.send(is_fresh);
        }
        // Whoever comes meanwhile shares the next request.
        tokio::time::sleep(node.state.read_barrier_interval()).await;
    }
}
