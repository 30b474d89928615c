//! Keeps the replica up to date, and proves contact with the state service.

use super::LIVE;
use crate::metrics::CpuAccount;
use crate::node::Node;
use rowanmill_state::{ReadError, WatchResponse};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Contact with the state service that was lost for longer begins anew with the next answer.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(200);

/// Loads the records once, then follows the log for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let hold = node.settings.watch_timeout();
    loop {
        if load(&node).await.is_err() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        node.core().loaded = true;
        while let Ok(()) | Err(ReadError::Failed(_)) = turn(&node, hold).await {
            tokio::time::sleep(node.state.watch_interval()).await;
        }
        node.core().loaded = false;
        tracing::info!("the log was cut before our place: loading anew");
    }
}

/// Serves those who wait for a read of their own, one read at a time for all of them.
pub async fn serve_read_barriers(node: Arc<Node>) {
    loop {
        node.read_barrier_requested.notified().await;
        let waiters = node.take_read_barrier_waiters();
        if waiters.is_empty() {
            continue;
        }
        let loaded = node.core().loaded;
        let fresh = loaded && turn(&node, Duration::ZERO).await.is_ok();
        for waiter in waiters {
            let _ = waiter.send(fresh);
        }
        // Whoever comes meanwhile shares the next read.
        tokio::time::sleep(node.state.read_barrier_interval()).await;
    }
}

async fn turn(node: &Node, hold: Duration) -> Result<(), ReadError> {
    let from = node.core().replica.revision;
    let sent = Instant::now();
    match follow(node, from, hold).await {
        Ok(followed) => {
            let _charge = node.processor_time.charge(CpuAccount::Replication);
            let mut core = node.core();
            let wake_up = !followed.events.is_empty();
            if core
                .last_read_barrier
                .is_none_or(|p| p.elapsed() > CONTACT_TIMEOUT)
            {
                core.connected_since = Some(sent);
            }
            core.replica.apply(followed.events, followed.revision);
            core.last_read_barrier = core.last_read_barrier.max(Some(sent));
            drop(core);
            if wake_up {
                node.wake_up.notify_one();
            }
            Ok(())
        }
        Err(error) => {
            if !hold.is_zero() {
                tokio::time::sleep(PAUSE).await;
            }
            Err(error)
        }
    }
}

async fn follow(node: &Node, from: u64, hold: Duration) -> Result<WatchResponse, ReadError> {
    let body = node.state.watch(LIVE, from, hold).await?;
    let _charge = node.processor_time.charge(CpuAccount::WatchDecoding);
    WatchResponse::decode(&body)
}

async fn load(node: &Node) -> Result<(), ReadError> {
    let (pairs, revision) = node.state.list_all(LIVE).await?;
    node.core().replica.reload_from_snapshot(pairs, revision);
    // The pages of the listing are of different moments; the log from the first one on makes
    // them agree.
    turn(node, Duration::ZERO).await
}
