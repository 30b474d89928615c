//! Election of the leader among the controllers: a controller's state in the election, and its transitions.
//!
//! A controller registers with a presence record that is attached to a lease. A registered controller is a
//! [`Role::Candidate`] while there is no leader record, the [`Role::Leader`] if the leader record names this process,
//! and a [`Role::Follower`] otherwise. The leader record is attached to the leader's presence lease, so leadership ends
//! with that lease. A controller that cannot reach most of its machines steps down: it gives up the lease, and with it
//! its jobs, machines and leadership, and registers again later.
//!
//! Only the leader record in the state service determines who leads. Controllers do not vote or negotiate.

use super::assignment::Member;
use crate::node::Node;
use crate::state::Replica;
use crate::state::records::LeaderRecord;
use crate::state::{Operation, Precondition, RecordKey, TransactionError};
use std::sync::Arc;
use std::time::Instant;

/// A controller's role in the election, according to the leader record as last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// There is no leader; a registered controller stands for election.
    Candidate,
    /// Another process leads; it may be an earlier process with this controller's name.
    Follower,
    /// This process leads. `revision` is that of the leader record and a precondition of every write that only the
    /// leader may make.
    Leader { revision: u64 },
}

impl Role {
    /// The role of the process `identity`.
    pub fn of(identity: &Member, replica: &Replica) -> Self {
        let Some(leader) = replica.leader.as_ref() else {
            return Self::Candidate;
        };
        let is_own = leader.record.member == identity.name
            && leader.record.incarnation == identity.incarnation;
        if is_own {
            let revision = leader.revision;
            Self::Leader { revision }
        } else {
            Self::Follower
        }
    }
}

/// A controller's registration state, which determines what the membership loop does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The controller has no presence lease and must obtain one.
    Unregistered,
    /// The controller has a presence lease, which must be renewed.
    Registered { lease: u64 },
    /// The controller has stepped down and must still give up its presence lease.
    SteppingDown { lease: u64 },
    /// The controller has stepped down and has no presence lease.
    SteppedDown,
}

/// A term of leadership of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// Revision of the leader record.
    pub revision: u64,
    /// When this process first recorded this term.
    pub since: Instant,
}

/// This controller's state in the election.
#[derive(Debug, Default)]
pub struct ElectionState {
    lease: Option<u64>,
    lease_renewed_at: Option<Instant>,
    leadership: Option<Leadership>,
    stepped_down_until: Option<Instant>,
}

impl ElectionState {
    pub fn phase(&self) -> Phase {
        match (self.lease, self.stepped_down_until) {
            (None, None) => Phase::Unregistered,
            (Some(lease), None) => Phase::Registered { lease },
            (Some(lease), Some(_)) => Phase::SteppingDown { lease },
            (None, Some(_)) => Phase::SteppedDown,
        }
    }

    /// Send time of the last successful request that granted or renewed a presence lease. Kept after the lease ends.
    pub fn lease_renewed_at(&self) -> Option<Instant> {
        self.lease_renewed_at
    }

    /// This process's current term of leadership, as last recorded; `None` if it does not lead.
    pub fn leadership(&self) -> Option<Leadership> {
        self.leadership
    }

    pub fn is_stepped_down(&self) -> bool {
        self.stepped_down_until.is_some()
    }

    /// Records a new presence lease, granted by a request sent at `requested_at`.
    pub(super) fn register(&mut self, lease: u64, requested_at: Instant) {
        self.lease_renewed_at = Some(requested_at);
        self.lease = Some(lease);
    }

    /// Records a renewal of the presence lease by a request sent at `requested_at`.
    pub(super) fn record_renewal(&mut self, requested_at: Instant) {
        self.lease_renewed_at = Some(requested_at);
    }

    /// Discards a presence lease that has expired or was given up.
    pub(super) fn unregister(&mut self) {
        self.lease = None;
    }

    /// Steps down: leaves leadership, jobs and machines to the other controllers until the given time.
    pub fn step_down(&mut self, until: Instant) {
        self.stepped_down_until = Some(until);
    }

    /// Lets the membership loop register again if the time for which this controller stepped down is over, or if no
    /// controller is registered. If all controllers have stepped down, the machines themselves are gone, and the cause is
    /// not this controller's network.
    pub(super) fn resume_candidacy(&mut self, is_any_registered: bool, now: Instant) {
        let is_over = self.stepped_down_until.is_some_and(|until| until <= now);
        if is_over || !is_any_registered {
            self.stepped_down_until = None;
        }
    }

    /// Starts or ends a term of leadership. `revision` is that of the leader record if this process leads.
    fn record_leadership(&mut self, revision: Option<u64>, now: Instant) {
        let previous = self.leadership.map(|leadership| leadership.revision);
        if previous != revision {
            tracing::info!(?revision, "leadership changed");
            self.leadership = revision.map(|revision| Leadership {
                revision,
                since: now,
            });
        }
    }
}

/// Revision of the leader record if this process leads.
pub fn leader_revision(node: &Node) -> Option<u64> {
    match Role::of(&node.identity, &node.core().replica) {
        Role::Leader { revision } => Some(revision),
        Role::Candidate | Role::Follower => None,
    }
}

/// Records whether this process leads, and since when. `revision` is the result of [`leader_revision`].
pub fn record_leadership(node: &Node, revision: Option<u64>) {
    let mut core = node.core();
    let election = &mut core.membership.election;
    election.record_leadership(revision, Instant::now());
}

/// Stands for election if there is no leader. The controller whose leader record is written first wins. A controller
/// that loses or fails tries again in the next iteration if there is still no leader.
pub(super) async fn campaign(node: &Arc<Node>, lease: u64) {
    if Role::of(&node.identity, &node.core().replica) != Role::Candidate {
        return;
    }
    let record = LeaderRecord {
        member: node.identity.name.clone(),
        incarnation: node.identity.incarnation,
        lease,
    };
    let no_leader = Precondition {
        key: RecordKey::Leader.into(),
        revision: 0,
    };
    let put = Operation::put(RecordKey::Leader, &record).with_lease(lease);
    match node.state.compare_and_swap(&[no_leader], &[put]).await {
        Ok(_) => tracing::info!("elected leader"),
        Err(TransactionError::LeaseExpired) => node.core().membership.election.unregister(),
        Err(_) => {}
    }
    node.read_barrier().await;
}
