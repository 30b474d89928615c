//! What the client tells of teams' limits, for people and for scripts.

use crate::amount::{Amount, Limit};
use crate::demand::WaitingUnit;
use crate::holder::TeamView;
use serde::Serialize;

/// The version of the answers' format: it changes when a field is taken away or comes to mean something
/// else.
pub const FORMAT: u32 = 1;

/// CPUs and cards as people write them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// Cards.
    pub cards: f64,
}

impl From<Amount> for Resources {
    fn from(amount: Amount) -> Self {
        Self {
            cpus: amount.cpus_f64(),
            cards: amount.cards_f64(),
        }
    }
}

impl std::fmt::Display for Resources {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} CPUs {} cards", self.cpus, self.cards)
    }
}

/// A team's limit: none for a resource without one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LimitReport {
    /// CPUs.
    pub cpus: Option<f64>,
    /// Cards.
    pub cards: Option<f64>,
}

impl From<Limit> for LimitReport {
    fn from(limit: Limit) -> Self {
        let amount = limit.amount();
        Self {
            cpus: limit.cpus.map(|_| amount.cpus_f64()),
            cards: limit.cards.map(|_| amount.cards_f64()),
        }
    }
}

impl std::fmt::Display for LimitReport {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let text = |limit: Option<f64>| limit.map_or("any".to_owned(), |l| l.to_string());
        write!(f, "{} CPUs {} cards", text(self.cpus), text(self.cards))
    }
}

/// How a team's limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It is divided among the controllers.
    Divided,
    /// It is about to be divided: nothing of the team starts for the moment.
    Pending,
    /// One controller has it whole.
    Whole,
}

/// One controller's part.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControllerReport {
    /// The controller.
    pub controller: String,
    /// What its tasks may use.
    pub allotment: Resources,
    /// What they use.
    pub used: Resources,
    /// What its waiting tasks would use.
    pub waiting: Resources,
}

/// One team.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TeamReport {
    /// The team.
    pub team: String,
    /// How its limit is kept.
    pub mode: Mode,
    /// Its limit.
    pub limit: LimitReport,
    /// What its tasks use.
    pub used: Resources,
    /// Each controller's part; empty where one has the limit whole.
    pub controllers: Vec<ControllerReport>,
}

impl TeamReport {
    /// A team whose limit is divided, or about to be.
    pub fn divided(team: &str, view: &TeamView) -> Self {
        let record = view
            .record
            .filter(|kept| kept.record.is_valid(view.assignment, &view.limit));
        let used: Amount = view.members.iter().map(|m| m.used).sum();
        let controllers = view.members.iter().map(|member| ControllerReport {
            controller: member.member.clone(),
            allotment: record
                .map_or(Amount::ZERO, |kept| kept.record.of(&member.member))
                .into(),
            used: member.used.into(),
            waiting: member.waiting.into(),
        });
        Self {
            team: team.to_owned(),
            mode: if record.is_some() {
                Mode::Divided
            } else {
                Mode::Pending
            },
            limit: view.limit.into(),
            used: used.into(),
            controllers: controllers.collect(),
        }
    }

    /// A team whose limit one controller has whole.
    pub fn whole(team: &str, limit: Limit, used: Amount) -> Self {
        Self {
            team: team.to_owned(),
            mode: Mode::Whole,
            limit: limit.into(),
            used: used.into(),
            controllers: Vec::new(),
        }
    }

    fn text(&self) -> String {
        let mode = match self.mode {
            Mode::Divided => "divided",
            Mode::Pending => "about to be divided, nothing starts",
            Mode::Whole => "whole at one controller",
        };
        let mut text = format!("{}: {} of {}, {mode}\n", self.team, self.used, self.limit);
        for part in &self.controllers {
            let ControllerReport {
                controller,
                allotment,
                used,
                waiting,
            } = part;
            text.push_str(&format!(
                "  {controller}: {used} of {allotment}, waiting for {waiting}\n"
            ));
        }
        text
    }
}

/// How all limited teams stand.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// See [`FORMAT`].
    pub format: u32,
    /// The teams that have a limit.
    pub teams: Vec<TeamReport>,
}

impl StatusReport {
    /// For people.
    pub fn text(&self) -> String {
        if self.teams.is_empty() {
            return "no team has a limit\n".to_owned();
        }
        self.teams.iter().map(TeamReport::text).collect()
    }
}

/// What holds a job up, as far as limits go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldBy {
    /// Nothing of it waits.
    Nothing,
    /// Its team has no limit, or the limit has room: it waits for machines, or its turn.
    Machines,
    /// The team uses its limit: a task of it must end first.
    Limit,
    /// The limit has room, at other controllers: it is being given over.
    Allotment,
    /// The limit is about to be divided.
    Division,
}

/// Why a job waits.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// See [`FORMAT`].
    pub format: u32,
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// The controller that places it.
    pub controller: Option<String>,
    /// What holds it up.
    pub held_by: HeldBy,
    /// Since when its times count, in milliseconds since the epoch.
    pub since_ms: u64,
    /// The least that it can start with.
    pub needs: Resources,
    /// What its controller's allotment leaves.
    pub free_here: Resources,
    /// What the team's limit leaves.
    pub free_in_all: Resources,
}

/// Explains a job of a divided team of which something waits.
pub fn explain_waiting(
    team: &str,
    view: &TeamView,
    unit: &WaitingUnit,
    controller: Option<&str>,
) -> Explanation {
    let record = view
        .record
        .filter(|kept| kept.record.is_valid(view.assignment, &view.limit));
    let used: Amount = view.members.iter().map(|m| m.used).sum();
    let free_in_all = view.limit.amount().minus(used);
    let here = view
        .members
        .iter()
        .find(|m| Some(m.member.as_str()) == controller);
    let free_here = record.zip(here).map_or(Amount::ZERO, |(kept, demand)| {
        kept.record.of(&demand.member).minus(demand.used)
    });
    let held_by = match (record, unit.need) {
        (None, _) => HeldBy::Division,
        (_, need) if need.fits(free_here) => HeldBy::Machines,
        (_, need) if need.fits(free_in_all) => HeldBy::Allotment,
        _ => HeldBy::Limit,
    };
    Explanation {
        format: FORMAT,
        job: unit.job.clone(),
        team: team.to_owned(),
        controller: controller.map(str::to_owned),
        held_by,
        since_ms: unit.since_ms,
        needs: unit.need.into(),
        free_here: free_here.into(),
        free_in_all: free_in_all.into(),
    }
}

impl Explanation {
    /// A job that no divided limit holds: its team has none, or nothing of it waits.
    pub fn without_limit(
        job: &str,
        team: &str,
        controller: Option<&str>,
        unit: Option<&WaitingUnit>,
        since_ms: u64,
    ) -> Self {
        Self {
            format: FORMAT,
            job: job.to_owned(),
            team: team.to_owned(),
            controller: controller.map(str::to_owned),
            held_by: match unit {
                Some(_) => HeldBy::Machines,
                None => HeldBy::Nothing,
            },
            since_ms,
            needs: unit.map_or(Amount::ZERO, |unit| unit.need).into(),
            free_here: Amount::ZERO.into(),
            free_in_all: Amount::ZERO.into(),
        }
    }

    /// For people.
    pub fn text(&self) -> String {
        let at = self.controller.as_deref().unwrap_or("nobody");
        let why = match self.held_by {
            HeldBy::Nothing => "nothing of it waits".to_owned(),
            HeldBy::Machines => "no limit holds it; it waits for machines or its turn".to_owned(),
            HeldBy::Limit => format!(
                "the limit of team {} holds it: {} are free; a task of the team must end",
                self.team, self.free_in_all
            ),
            HeldBy::Allotment => format!(
                "{at} has {} of team {}'s limit free, others have the rest of {}; it is being given over",
                self.free_here, self.team, self.free_in_all
            ),
            HeldBy::Division => format!(
                "the limit of team {} is about to be divided; ask again in a few seconds",
                self.team
            ),
        };
        format!(
            "{}: needs {}, placed by {at}; {why}\n",
            self.job, self.needs
        )
    }
}
