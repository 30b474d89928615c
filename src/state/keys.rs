//! Keys of the records in the state service: a closed set, printed and parsed here alone. What a record
//! holds is not known here.

use std::borrow::Cow;
use std::fmt::{Display, Formatter};

/// Prefix of the records that every controller keeps a replica of. Final states lie outside it, so that
/// what the controllers hold in memory stays bounded as finished jobs pile up.
pub const LIVE_PREFIX: &str = "r/";

/// A record's key. It borrows the names in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordKey<'a> {
    /// A job that has not ended, or whose end is not archived yet.
    Job(&'a str),
    /// A page of a job's progress in the plain encoding.
    PlainPage {
        /// The job's identifier.
        job: &'a str,
        /// The page's number.
        number: usize,
    },
    /// A page of a job's progress in the compact encoding.
    CompactPage {
        /// The job's identifier.
        job: &'a str,
        /// The page's number.
        number: usize,
    },
    /// A rental, by its name.
    Rental(&'a str),
    /// A controller's presence, by its name.
    Presence(&'a str),
    /// What a controller published last of its demand, by its name.
    ForecastSummary(&'a str),
    /// How a team's limit is divided. Keys take no spaces: what is not plain in a team's name is written
    /// in hexadecimal, so that two names never share a key.
    QuotaAllocations(Cow<'a, str>),
    /// What all controllers support; see `membership::schema_versions`.
    SchemaVersions,
    /// The leader.
    Leader,
    /// Which controller has which jobs.
    Assignment,
    /// How a job ended.
    FinalState(&'a str),
    /// That a job of the cells' ledger was here and was relinquished. Of a job that was ever here, exactly
    /// one of its open record, its final state and this exists, and this one is never deleted: whatever
    /// would put the job into the records late fails on it.
    Relinquished(&'a str),
}

impl<'a> RecordKey<'a> {
    /// The key of a team's quota allocations.
    pub fn quota_allocations(team: &'a str) -> Self {
        RecordKey::QuotaAllocations(Cow::Borrowed(team))
    }

    /// The live record that `key` names; none if it is none that this version knows.
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

/// The job and the number in what follows a page's kind.
fn parse_page(name: &str) -> Option<(&str, usize)> {
    let (job, number) = name.split_once('/')?;
    Some((job, number.parse().ok()?))
}

impl Display for RecordKey<'_> {
    fn fmt(&self, to: &mut Formatter) -> std::fmt::Result {
        match self {
            RecordKey::Job(id) => write!(to, "r/j/{id}"),
            RecordKey::PlainPage { job, number } => write!(to, "r/p/{job}/{number}"),
            RecordKey::CompactPage { job, number } => write!(to, "r/q/{job}/{number}"),
            RecordKey::Rental(name) => write!(to, "r/m/{name}"),
            RecordKey::Presence(member) => write!(to, "r/n/{member}"),
            RecordKey::ForecastSummary(member) => write!(to, "r/o/{member}"),
            RecordKey::QuotaAllocations(team) => {
                write!(to, "r/a/{}", rowanmill_limits::key::encode_team(team))
            }
            RecordKey::SchemaVersions => to.write_str("r/forms"),
            RecordKey::Leader => to.write_str("r/leader"),
            RecordKey::Assignment => to.write_str("r/shares"),
            RecordKey::FinalState(id) => write!(to, "e/{id}"),
            RecordKey::Relinquished(id) => write!(to, "x/{id}"),
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
