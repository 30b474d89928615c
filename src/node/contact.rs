//! Decisions that depend on whether a controller reaches the state service and its peers: whether it answers the
//! heartbeats of workers or redirects them.

use super::Node;
use std::time::{Duration, Instant};

/// Peers, which are queried once a second, count as unreachable when none has answered for this long.
const PEER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a peer's report that it reaches the state service stays valid.
const PEER_CONTACT_LIFETIME: Duration = Duration::from_secs(4);

impl Node {
    /// Whether this controller has lost the state service while a peer still reaches it. Its presence has then expired
    /// and its machines are reassigned. In an outage of the state service for every controller, no lease expires and
    /// the machines keep their owners.
    pub fn is_partitioned(&self) -> bool {
        let reached_at = self.peer_status().state_service_reached_at;
        self.has_lost_presence_for(self.settings.presence_ttl())
            && reached_at.is_some_and(|at| at.elapsed() < PEER_CONTACT_LIFETIME)
    }

    /// Whether a heartbeat from this machine's worker is answered with a redirect to another controller. A worker that
    /// receives a 200 stays with this controller, even if the machine has a new owner.
    pub fn redirects_worker(&self, machine: &str) -> bool {
        if self.is_partitioned() {
            return true;
        }
        let is_isolated = self.is_isolated();
        let mut core = self.core();
        let probe = &mut core.membership.probe;
        probe.redirects(machine, is_isolated, Instant::now())
    }

    /// Whether this controller reaches neither the state service nor any peer, and its presence has expired.
    fn is_isolated(&self) -> bool {
        self.settings.params.size > 1
            && self.has_lost_presence_for(self.settings.presence_ttl() + PEER_RESPONSE_TIMEOUT)
            && self
                .peer_status()
                .last_response_at
                .is_none_or(|at| at.elapsed() > PEER_RESPONSE_TIMEOUT)
    }

    /// Whether the presence lease has not been renewed within `length`.
    fn has_lost_presence_for(&self, length: Duration) -> bool {
        let renewed_at = self.core().membership.election.lease_renewed_at();
        renewed_at.is_none_or(|at| at.elapsed() > length)
    }

    /// Whether this controller may answer workers' heartbeats, which renews their leases. While a lease is renewed, a
    /// cancelled task that this controller does not know to be cancelled could run for longer than `cancel_s`.
    /// Therefore one of two conditions must hold within the last `disconnected_lease_limit`: this controller has read the
    /// records, or every peer was also disconnected from the state service and has attested the cancelled jobs.
    pub fn may_renew_leases(&self) -> bool {
        let limit = self.settings.disconnected_lease_limit();
        let core = self.core();
        let Some(last_read) = core.last_read_barrier.filter(|_| core.loaded) else {
            return false;
        };
        let peers = self.settings.peers.iter().map(|p| p.member.as_str());
        let are_all_peers_configured =
            self.settings.peers.len() + 1 >= self.settings.params.size as usize;
        let attested = self.peer_status().attested_until(peers);
        let attested = attested.filter(|_| are_all_peers_configured);
        last_read.max(attested.unwrap_or(last_read)).elapsed() <= limit
    }

    /// Whether the state service has answered a request that was sent at most `length` ago.
    pub fn is_connected_within(&self, length: Duration) -> bool {
        let last_read = self.core().last_read_barrier;
        last_read.is_some_and(|at| at.elapsed() <= length)
    }
}
