//! What a controller may do by its contact with the state service and its peers.

use super::Node;
use std::time::{Duration, Instant};

/// Without an answer of any peer for this long, each queried once a second, all count as silent.
const PEERS_SILENT: Duration = Duration::from_secs(5);
/// A peer that reached the state service at most this long ago still does.
const PEER_CONTACT_LIFETIME: Duration = Duration::from_secs(4);

impl Node {
    /// Whether this controller is cut off from the state service while peers reach it: then its presence has expired,
    /// and its machines belong to others. In an outage for all, leases stand still and the machines stay.
    pub fn is_partitioned(&self) -> bool {
        let reached_at = self.peer_status().state_service_reached_at;
        self.has_lost_presence_for(self.settings.presence_ttl())
            && reached_at.is_some_and(|at| at.elapsed() < PEER_CONTACT_LIFETIME)
    }

    /// Whether a heartbeat of this worker is answered by a redirection: the worker must find its new owner, and as
    /// long as it gets a 200 it stays here.
    pub fn redirects_worker(&self, machine: &str) -> bool {
        if self.is_partitioned() {
            return true;
        }
        let is_isolated = self.is_isolated();
        let mut core = self.core();
        let probe = &mut core.membership.probe;
        probe.redirects(machine, is_isolated, Instant::now())
    }

    /// Whether this controller has lost both the state service, with its presence, and all peers.
    fn is_isolated(&self) -> bool {
        self.settings.params.size > 1
            && self.has_lost_presence_for(self.settings.presence_ttl() + PEERS_SILENT)
            && self
                .peer_status()
                .last_response_at
                .is_none_or(|at| at.elapsed() > PEERS_SILENT)
    }

    /// Whether the presence lease was last renewed longer ago than this, or never.
    fn has_lost_presence_for(&self, length: Duration) -> bool {
        let renewed_at = self.core().membership.election.lease_renewed_at();
        renewed_at.is_none_or(|at| at.elapsed() > length)
    }

    /// Whether a worker's heartbeat may be answered, which renews its lease. A cancellation that this controller does not
    /// know would outlive `cancel_s` on a machine that it keeps alive. So it must have read the records within
    /// `disconnected_lease_limit`, or every peer, disconnected itself, must have attested within that time what
    /// was cancelled.
    pub fn may_renew_leases(&self) -> bool {
        let limit = self.settings.disconnected_lease_limit();
        let core = self.core();
        let Some(last_read) = core.last_read_barrier.filter(|_| core.loaded) else {
            return false;
        };
        let peers = self.settings.peers.iter().map(|p| p.member.as_str());
        let are_all_known = self.settings.peers.len() + 1 >= self.settings.params.size as usize;
        let attested = self.peer_status().attested(peers);
        let attested = attested.filter(|_| are_all_known);
        last_read.max(attested.unwrap_or(last_read)).elapsed() <= limit
    }

    /// Whether the state service answered at most this long ago.
    pub fn is_connected_within(&self, length: Duration) -> bool {
        let last_read = self.core().last_read_barrier;
        last_read.is_some_and(|at| at.elapsed() <= length)
    }
}
