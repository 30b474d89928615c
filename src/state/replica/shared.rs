//! Records in the replica other than those of jobs: presence, the leader, the assignment, schema versions,
//! forecast summaries, quota allocations and rentals.

use super::{Put, Replica};
use crate::jobs::JobRecord;
use crate::limits::parse_allocations;
use crate::membership::assignment::Member;
use crate::state::records::{PresenceRecord, Versioned};
use std::collections::BTreeSet;

impl Replica {
    /// The controllers that are present.
    pub fn present_members(&self) -> BTreeSet<Member> {
        let presence = self.presence.iter();
        presence
            .map(|(name, presence)| Member {
                name: name.clone(),
                incarnation: presence.record.incarnation,
            })
            .collect()
    }

    /// The controller that places a job and records its end; `None` before the first assignment.
    pub fn owner_of(&self, job: &JobRecord) -> Option<&Member> {
        self.assignment.as_ref()?.record.owner(job)
    }

    /// Whether the new record encodings are activated, because all controllers support them.
    pub fn is_current_schema_active(&self) -> bool {
        let versions = self.schema_versions.as_ref();
        versions.is_some_and(|versions| versions.record.is_activated())
    }

    pub(super) fn put_rental(&mut self, name: &str, put: Put) {
        if let Some(Versioned { record, revision }) = put.decode() {
            self.fleet.apply_put(name, record, revision);
        }
    }

    pub(super) fn put_presence(&mut self, member: &str, put: Put) {
        if !Versioned::is_superseded(self.presence.get(member), put.revision) {
            return;
        }
        let Some(presence) = put.decode::<PresenceRecord>() else {
            return;
        };
        let incarnation = presence.record.incarnation;
        self.incarnations.insert(member.to_owned(), incarnation);
        self.presence.insert(member.to_owned(), presence);
    }

    pub(super) fn delete_presence(&mut self, member: &str, revision: u64) {
        if Versioned::is_deleted(self.presence.get(member), revision) {
            self.presence.remove(member);
        }
    }

    pub(super) fn put_forecast_summary(&mut self, member: &str, put: Put) {
        if !Versioned::is_superseded(self.forecast_summaries.get(member), put.revision) {
            return;
        }
        if let Some(summary) = put.decode() {
            self.forecast_summaries.insert(member.to_owned(), summary);
        }
    }

    pub(super) fn put_quota_allocations(&mut self, team: &str, put: Put) {
        if !Versioned::is_superseded(self.quota_allocations.get(team), put.revision) {
            return;
        }
        let allocations = Versioned {
            record: parse_allocations(put.key, put.value),
            revision: put.revision,
        };
        self.quota_allocations.insert(team.to_owned(), allocations);
    }

    pub(super) fn delete_quota_allocations(&mut self, team: &str, revision: u64) {
        if Versioned::is_deleted(self.quota_allocations.get(team), revision) {
            self.quota_allocations.remove(team);
        }
    }

    /// A record that cannot be decoded leaves the replica without schema versions.
    pub(super) fn put_schema_versions(&mut self, put: Put) {
        if !Versioned::is_superseded(self.schema_versions.as_ref(), put.revision) {
            return;
        }
        self.schema_versions = put.decode();
        // The recorded layout takes precedence over the settings, because existing pages have that layout.
        if let Some(versions) = &self.schema_versions
            && let Some(layout) = versions.record.layout
        {
            self.layout.plain_tasks = layout.plain_tasks;
            self.layout.compact_tasks = layout.compact_tasks;
        }
    }

    /// A record that cannot be decoded leaves the replica without an assignment.
    pub(super) fn put_assignment(&mut self, put: Put) {
        if Versioned::is_superseded(self.assignment.as_ref(), put.revision) {
            self.assignment = put.decode();
        }
    }

    /// A record that cannot be decoded leaves the replica without a leader.
    pub(super) fn put_leader(&mut self, put: Put) {
        if Versioned::is_superseded(self.leader.as_ref(), put.revision) {
            self.leader = put.decode();
        }
    }

    pub(super) fn delete_leader(&mut self, revision: u64) {
        if Versioned::is_deleted(self.leader.as_ref(), revision) {
            self.leader = None;
        }
    }
}
