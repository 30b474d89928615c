//! A submission: read strictly, with a reason for each refusal.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::HashSet;

pub const MOST_TASKS: u64 = 100_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled: one that ends is started again.
    #[serde(rename = "standing")]
    Service,
}

/// Later is more urgent, so that urgencies compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    BestEffort,
    Standard,
    Urgent,
    Critical,
}

impl Urgency {
    const ALL: [Urgency; 4] = [
        Urgency::BestEffort,
        Urgency::Standard,
        Urgency::Urgent,
        Urgency::Critical,
    ];

    /// Its name on the wire and in policies.
    pub fn name(self) -> &'static str {
        match self {
            Urgency::BestEffort => "best_effort",
            Urgency::Standard => "standard",
            Urgency::Urgent => "urgent",
            Urgency::Critical => "critical",
        }
    }
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "nameId")]
    pub id: String,
    #[serde(rename = "grist")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub shape: Shape,
    pub urgency: Urgency,
    #[serde(rename = "sacks")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "mould")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "stones", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "grindS")]
    pub estimate_s: f64,
    #[serde(rename = "bankS")]
    pub checkpoint_s: f64,
    #[serde(rename = "bankWriteS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    #[error("the body is not JSON")]
    NotJson,
    #[error("the body is not an object")]
    NotObject,
    #[error("`{0}` is missing")]
    Missing(&'static str),
    #[error("`{0}` is invalid")]
    Invalid(&'static str),
}

/// A job as it is submitted, with the jobs that have to be done before any of its tasks starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    pub spec: JobSpec,
    /// Each once.
    pub awaits: Vec<String>,
}

/// `job-` and then digits: the only form an accepted id can have.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

impl Submission {
    /// The job that a body is about which may be no submission otherwise.
    pub fn names(body: &[u8]) -> Option<String> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let id = value.get("nameId")?.as_str()?;
        is_job_id(id).then(|| id.to_owned())
    }

    pub fn read(body: &[u8]) -> Result<Self, SpecError> {
        let value: Value = serde_json::from_slice(body).map_err(|_| SpecError::NotJson)?;
        let Value::Object(map) = value else {
            return Err(SpecError::NotObject);
        };
        let id = text(&map, "nameId")?;
        if !is_job_id(&id) {
            return Err(SpecError::Invalid("nameId"));
        }
        let shape = match text(&map, "shape")?.as_str() {
            "array" => Shape::Array,
            "group" => Shape::Gang,
            "standing" => Shape::Service,
            _ => return Err(SpecError::Invalid("shape")),
        };
        let urgency = text(&map, "urgency")?;
        let urgency = Urgency::ALL
            .into_iter()
            .find(|u| u.name() == urgency)
            .ok_or(SpecError::Invalid("urgency"))?;
        let tasks = match map.get("sacks").ok_or(SpecError::Missing("sacks"))? {
            Value::Number(n) => whole(n).filter(|n| (1..=MOST_TASKS).contains(n)),
            _ => None,
        }
        .ok_or(SpecError::Invalid("sacks"))?;
        let awaits = awaits(&map)?;
        let spec = JobSpec {
            id,
            class: text(&map, "grist")?,
            team: text(&map, "crew")?,
            shape,
            urgency,
            tasks: tasks as u32,
            cpus: amount(&map, "cpus")?,
            gpus: amount(&map, "cards")?,
            memory_gb: amount(&map, "memGb")?,
            image: text(&map, "mould")?,
            image_gb: amount(&map, "pullGb")?,
            types: types(&map)?,
            zone: match map.get("yard") {
                None | Some(Value::Null) => None,
                Some(Value::String(zone)) if !zone.is_empty() => Some(zone.clone()),
                Some(_) => return Err(SpecError::Invalid("yard")),
            },
            one_zone: flag(&map, "together")?,
            spread: flag(&map, "spread")?,
            spot: flag(&map, "borrowed")?,
            estimate_s: amount(&map, "grindS")?,
            checkpoint_s: amount(&map, "bankS")?,
            save_s: amount(&map, "bankWriteS")?,
            deadline_s: match map.get("dueS") {
                None | Some(Value::Null) => None,
                Some(_) => Some(amount(&map, "dueS")?),
            },
        };
        Ok(Self { spec, awaits })
    }
}

impl JobSpec {
    /// Most tasks that `spread` lets be in one zone.
    pub fn most_in_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether its tasks need two zones.
    pub fn is_parted(&self) -> bool {
        self.most_in_zone() < self.tasks
    }

    pub fn is_service(&self) -> bool {
        self.shape == Shape::Service
    }

    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }
}

fn whole(n: &serde_json::Number) -> Option<u64> {
    n.as_u64().or_else(|| {
        let f = n.as_f64()?;
        (f.fract() == 0.0 && (0.0..1e15).contains(&f)).then_some(f as u64)
    })
}

fn text(map: &Map<String, Value>, field: &'static str) -> Result<String, SpecError> {
    match map.get(field) {
        None => Err(SpecError::Missing(field)),
        Some(Value::String(s)) if !s.is_empty() && s.len() <= 200 => Ok(s.clone()),
        Some(_) => Err(SpecError::Invalid(field)),
    }
}

fn amount(map: &Map<String, Value>, field: &'static str) -> Result<f64, SpecError> {
    let value = map.get(field).ok_or(SpecError::Missing(field))?;
    let n = value.as_f64().ok_or(SpecError::Invalid(field))?;
    if n.is_finite() && (0.0..1e9).contains(&n) {
        Ok(n)
    } else {
        Err(SpecError::Invalid(field))
    }
}

fn flag(map: &Map<String, Value>, field: &'static str) -> Result<bool, SpecError> {
    match map.get(field) {
        None => Err(SpecError::Missing(field)),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(SpecError::Invalid(field)),
    }
}

fn awaits(map: &Map<String, Value>) -> Result<Vec<String>, SpecError> {
    let list = match map.get("awaits") {
        None | Some(Value::Null) => return Ok(Vec::new()),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(SpecError::Invalid("awaits")),
    };
    let mut ids: Vec<String> = Vec::with_capacity(list.len());
    let mut seen = HashSet::new();
    for id in list {
        match id {
            Value::String(id) if is_job_id(id) => {
                if seen.insert(id) {
                    ids.push(id.clone());
                }
            }
            _ => return Err(SpecError::Invalid("awaits")),
        }
    }
    Ok(ids)
}

fn types(map: &Map<String, Value>) -> Result<Option<Vec<String>>, SpecError> {
    let list = match map.get("stones") {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::Array(list)) => list,
        Some(_) => return Err(SpecError::Invalid("stones")),
    };
    let mut names = Vec::with_capacity(list.len());
    for name in list {
        match name {
            Value::String(s) => names.push(s.clone()),
            _ => return Err(SpecError::Invalid("stones")),
        }
    }
    Ok(Some(names))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    pub fn good() -> Value {
        json!({"nameId":"job-000412","grist":"train","crew":"vision","shape":"group",
            "urgency":"urgent","sacks":16,"cpus":8.0,"cards":1.0,"memGb":64.0,"mould":"img-07",
            "pullGb":6.2,"stones":["g8"],"yard":null,"together":true,"spread":false,
            "borrowed":true,"grindS":240.0,"bankS":30.0,"bankWriteS":4.0,"dueS":900.0})
    }

    #[test]
    fn refusals_name_the_field() {
        let mut trace = String::new();
        let mut show = |what: &str, body: &[u8]| {
            let verdict = match Submission::read(body) {
                Ok(Submission { spec, awaits }) if awaits.is_empty() => {
                    format!("accepted {}", spec.id)
                }
                Ok(read) => format!("accepted {} after {:?}", read.spec.id, read.awaits),
                Err(error) => format!("refused: {error}"),
            };
            trace.push_str(&format!("{what} -> {verdict}\n"));
        };
        show("as documented", good().to_string().as_bytes());
        show("half a body", b"{\"nameId\":");
        show("a list", b"[]");
        show("NaN", br#"{"nameId":"job-1","cpus":NaN}"#);
        for (field, value) in [
            ("nameId", json!("task-1")),
            ("sacks", json!(0)),
            ("sacks", json!(100_001)),
            ("sacks", json!(100_000)),
            ("sacks", json!(2.5)),
            ("cpus", json!(-1.0)),
            ("shape", json!("ring")),
            ("urgency", json!("later")),
            ("stones", json!("g8")),
            ("stones", Value::Null),
            ("borrowed", json!("yes")),
            ("dueS", Value::Null),
            ("dueS", json!("soon")),
            ("awaits", json!([])),
            ("awaits", Value::Null),
            ("awaits", json!(["job-000398", "job-000405", "job-000398"])),
            ("awaits", json!("job-000398")),
            ("awaits", json!(["job-000398", "task-1"])),
            ("awaits", json!(["job-000398", 405])),
        ] {
            let mut body = good();
            body[field] = value.clone();
            show(&format!("{field}={value}"), body.to_string().as_bytes());
        }
        let mut body = good();
        body.as_object_mut().unwrap().remove("mould");
        show("no mould", body.to_string().as_bytes());
        insta::assert_snapshot!(trace);
    }
}
