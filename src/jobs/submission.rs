//! Parses and validates submissions, and gives a reason for each refusal. Whether the cluster can run a job is
//! checked at admission, in `api`.

use super::spec::{JobSpec, Shape, Urgency, is_job_id};
use serde_json::{Map, Number, Value};
use std::collections::HashSet;

/// Maximum number of tasks in a job.
const MAX_TASKS: u64 = 100_000;

/// Maximum length of a text field, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Exclusive upper bound of amounts.
const AMOUNT_BOUND: f64 = 1e9;

/// Exclusive upper bound of integers in floating-point notation. Below it, each integer is represented exactly.
const INTEGER_BOUND: f64 = 1e15;

/// Why a submission is refused.
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

/// A job as submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The job.
    pub spec: JobSpec,
    /// The jobs that must be done before any of its tasks starts, without duplicates.
    pub depends_on: Vec<String>,
}

impl Submission {
    /// The job's id in a submission's body, even if the rest of the body is invalid.
    pub fn parse_job_id(body: &[u8]) -> Option<String> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let id = value.get("nameId")?.as_str()?;
        is_job_id(id).then(|| id.to_owned())
    }

    /// Parses a submission's body. The error names the first missing or invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, SpecError> {
        let value: Value = serde_json::from_slice(body).map_err(|_| SpecError::NotJson)?;
        let Value::Object(object) = value else {
            return Err(SpecError::NotObject);
        };
        let fields = Fields(&object);
        let id = fields.job_id()?;
        let shape = fields.shape()?;
        let urgency = fields.urgency()?;
        let tasks = fields.tasks()?;
        let depends_on = fields.depends_on()?;
        let spec = JobSpec {
            id,
            class: fields.text("grist")?,
            team: fields.text("crew")?,
            shape,
            urgency,
            tasks,
            cpus: fields.amount("cpus")?,
            gpus: fields.amount("cards")?,
            memory_gb: fields.amount("memGb")?,
            image: fields.text("mould")?,
            image_gb: fields.amount("pullGb")?,
            machine_types: fields.machine_types()?,
            zone: fields.zone()?,
            one_zone: fields.flag("together")?,
            spread: fields.flag("spread")?,
            spot: fields.flag("borrowed")?,
            estimate_s: fields.amount("grindS")?,
            checkpoint_interval_s: fields.amount("bankS")?,
            checkpoint_write_s: fields.amount("bankWriteS")?,
            deadline_s: fields.optional_amount("dueS")?,
        };
        Ok(Self { spec, depends_on })
    }
}

/// The fields of a submission's body.
struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn required(&self, field: &'static str) -> Result<&'a Value, SpecError> {
        self.0.get(field).ok_or(SpecError::Missing(field))
    }

    /// The field's value; `None` if it is missing or null.
    fn optional(&self, field: &'static str) -> Option<&'a Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn text(&self, field: &'static str) -> Result<String, SpecError> {
        match self.required(field)? {
            Value::String(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => {
                Ok(text.clone())
            }
            _ => Err(SpecError::Invalid(field)),
        }
    }

    fn amount(&self, field: &'static str) -> Result<f64, SpecError> {
        let amount = self.required(field)?.as_f64();
        let amount = amount.filter(|amount| (0.0..AMOUNT_BOUND).contains(amount));
        amount.ok_or(SpecError::Invalid(field))
    }

    fn optional_amount(&self, field: &'static str) -> Result<Option<f64>, SpecError> {
        if self.optional(field).is_none() {
            return Ok(None);
        }
        self.amount(field).map(Some)
    }

    fn flag(&self, field: &'static str) -> Result<bool, SpecError> {
        let flag = self.required(field)?.as_bool();
        flag.ok_or(SpecError::Invalid(field))
    }

    fn job_id(&self) -> Result<String, SpecError> {
        let id = self.text("nameId")?;
        if !is_job_id(&id) {
            return Err(SpecError::Invalid("nameId"));
        }
        Ok(id)
    }

    fn shape(&self) -> Result<Shape, SpecError> {
        match self.text("shape")?.as_str() {
            "array" => Ok(Shape::Array),
            "group" => Ok(Shape::Gang),
            "standing" => Ok(Shape::Service),
            _ => Err(SpecError::Invalid("shape")),
        }
    }

    fn urgency(&self) -> Result<Urgency, SpecError> {
        let name = self.text("urgency")?;
        let mut urgencies = Urgency::ALL.into_iter();
        let urgency = urgencies.find(|urgency| urgency.name() == name);
        urgency.ok_or(SpecError::Invalid("urgency"))
    }

    fn tasks(&self) -> Result<u32, SpecError> {
        let tasks = match self.required("sacks")? {
            Value::Number(number) => integer(number),
            _ => None,
        };
        let tasks = tasks.filter(|tasks| (1..=MAX_TASKS).contains(tasks));
        tasks
            .map(|tasks| tasks as u32)
            .ok_or(SpecError::Invalid("sacks"))
    }

    fn zone(&self) -> Result<Option<String>, SpecError> {
        match self.optional("yard") {
            None => Ok(None),
            Some(Value::String(zone)) if !zone.is_empty() => Ok(Some(zone.clone())),
            Some(_) => Err(SpecError::Invalid("yard")),
        }
    }

    fn machine_types(&self) -> Result<Option<Vec<String>>, SpecError> {
        let list = match self.optional("stones") {
            None => return Ok(None),
            Some(Value::Array(list)) => list,
            Some(_) => return Err(SpecError::Invalid("stones")),
        };
        let names = list.iter().map(|name| name.as_str().map(str::to_owned));
        let names: Option<Vec<String>> = names.collect();
        names.map(Some).ok_or(SpecError::Invalid("stones"))
    }

    fn depends_on(&self) -> Result<Vec<String>, SpecError> {
        let list = match self.optional("awaits") {
            None => return Ok(Vec::new()),
            Some(Value::Array(list)) => list,
            Some(_) => return Err(SpecError::Invalid("awaits")),
        };
        let mut ids: Vec<String> = Vec::with_capacity(list.len());
        let mut seen = HashSet::new();
        for id in list {
            let id = id.as_str().filter(|id| is_job_id(id));
            let id = id.ok_or(SpecError::Invalid("awaits"))?;
            if seen.insert(id) {
                ids.push(id.to_owned());
            }
        }
        Ok(ids)
    }
}

/// The value of a non-negative integer, which may be in floating-point notation.
fn integer(number: &Number) -> Option<u64> {
    number.as_u64().or_else(|| {
        let float = number.as_f64()?;
        let is_exact = float.fract() == 0.0 && (0.0..INTEGER_BOUND).contains(&float);
        is_exact.then_some(float as u64)
    })
}

#[cfg(test)]
mod tests;
