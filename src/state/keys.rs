//! Keys of the records in the state service. All keys are formatted and parsed in this module, which does
//! not depend on the contents of the records.

use std::borrow::Cow;
use std::fmt::{Display, Formatter};

/// Prefix of the live records, of which every controller keeps a replica. Final states are stored outside
/// this prefix, so that the replica's memory does not grow with the number of finished jobs.
pub const LIVE_PREFIX: &str = "r/";

/// The key of a record, with names borrowed from the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordKey<'a> {
    /// The record of a job that has not ended, or whose final state is not archived yet.
    Job(&'a str),
    /// A progress page of a job in the plain encoding.
    PlainPage {
        /// The job's identifier.
        job: &'a str,
        /// The page's number.
        number: usize,
    },
    /// A progress page of a job in the compact encoding.
    CompactPage {
        /// The job's identifier.
        job: &'a str,
        /// The page's number.
        number: usize,
    },
    /// A rental, by its name.
    Rental(&'a str),
    /// The presence record of a controller, by the controller's name.
    Presence(&'a str),
    /// The latest forecast summary of a controller, by the controller's name.
    ForecastSummary(&'a str),
    /// How the limit of a team is divided among the controllers, by the team's name. Bytes other than letters,
    /// digits, `-`, `_` and `.` are encoded in hexadecimal, because a key may contain neither spaces nor
    /// slashes, and so that different names have different keys.
    QuotaAllocations(Cow<'a, str>),
    /// Which controllers support the new record encodings, and whether these are activated; see
    /// `membership::schema_versions`.
    SchemaVersions,
    /// The record of the leader.
    Leader,
    /// The assignment of jobs to controllers.
    Assignment,
    /// The final state of a job.
    FinalState(&'a str),
    /// Marks a job of the cells' ledger that this cell has relinquished to another cell. For every job that
    /// this cell has ever had, exactly one of the job's record, its final state and this marker exists.
    /// The marker is never deleted: a delayed transaction that would add the job again fails because of it.
    Relinquished(&'a str),
}

impl<'a> RecordKey<'a> {
    /// The key of a team's quota allocations.
    pub fn quota_allocations(team: &'a str) -> Self {
        RecordKey::QuotaAllocations(Cow::Borrowed(team))
    }

    /// Parses the key of a live record; `None` if this version does not know the key.
    pub fn parse_live(key: &'a str) -> Option<Self> {
        let live = key.strip_prefix(LIVE_PREFIX)?;
        let Some((kind, name)) = live.split_once('/') else {
            return match live {
                "forms" => Some(RecordKey::SchemaVersions),
                "leader" => Some(RecordKey::Leader),
                "shares" => Some(RecordKey::Assignment),
                _ => None,
            };
        };
        match kind {
            "j" => Some(RecordKey::Job(name)),
            "p" => parse_page(name).map(|(job, number)| RecordKey::PlainPage { job, number }),
            "q" => parse_page(name).map(|(job, number)| RecordKey::CompactPage { job, number }),
            "m" => Some(RecordKey::Rental(name)),
            "n" => Some(RecordKey::Presence(name)),
            "o" => Some(RecordKey::ForecastSummary(name)),
            "a" => {
                let team = rowanmill_limits::key::decode_team(name)?;
                Some(RecordKey::QuotaAllocations(Cow::Owned(team)))
            }
            _ => None,
        }
    }
}

/// Parses the job and the page number in the part of a page's key after the kind.
fn parse_page(name: &str) -> Option<(&str, usize)> {
    let (job, number) = name.split_once('/')?;
    Some((job, number.parse().ok()?))
}

impl Display for RecordKey<'_> {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        match self {
            RecordKey::Job(id) => write!(f, "r/j/{id}"),
            RecordKey::PlainPage { job, number } => write!(f, "r/p/{job}/{number}"),
            RecordKey::CompactPage { job, number } => write!(f, "r/q/{job}/{number}"),
            RecordKey::Rental(name) => write!(f, "r/m/{name}"),
            RecordKey::Presence(member) => write!(f, "r/n/{member}"),
            RecordKey::ForecastSummary(member) => write!(f, "r/o/{member}"),
            RecordKey::QuotaAllocations(team) => {
                write!(f, "r/a/{}", rowanmill_limits::key::encode_team(team))
            }
            RecordKey::SchemaVersions => f.write_str("r/forms"),
            RecordKey::Leader => f.write_str("r/leader"),
            RecordKey::Assignment => f.write_str("r/shares"),
            RecordKey::FinalState(id) => write!(f, "e/{id}"),
            RecordKey::Relinquished(id) => write!(f, "x/{id}"),
        }
    }
}

impl From<RecordKey<'_>> for String {
    fn from(key: RecordKey) -> Self {
        key.to_string()
    }
}

#[cfg(test)]
mod tests;
