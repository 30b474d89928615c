//! Which cell a job goes to: the one with most room, or the one that an operator's script names.
//!
//! The script is in Rhai and has a function `choose(job, cells)`. It gets the job's description as its user
//! submitted it, and the cells that could take it, and returns the name of one of them. It runs for a bounded
//! number of operations and sees nothing else. One that fails, does not end or names no cell is logged, and
//! the built-in order holds.

use rhai::{AST, Dynamic, Engine, Scope};
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;

/// A cell that could take a job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// CPUs of its machines on which nothing runs.
    pub free_cpus: f64,
    /// Its cloud refused nothing of late.
    pub can_rent: bool,
}

/// What a cell that may rent counts for beyond its idle room: renting takes a boot, so that of two that
/// may rent the one with more idle room comes first, and either before one that may not.
const RENTED_ROOM_CPUS: f64 = 1_000_000.0;

impl Candidate {
    /// What it could take, for the built-in order.
    pub fn room(&self) -> f64 {
        let rented = if self.can_rent { RENTED_ROOM_CPUS } else { 0.0 };
        self.free_cpus + rented
    }
}

const FUNCTION: &str = "choose";
const ARGUMENTS: usize = 2;
const MOST_OPERATIONS: u64 = 50_000;
const MOST_CALLS: usize = 16;
const LONGEST_TEXT: usize = 64 << 10;
const LONGEST_LIST: usize = 10_000;

/// What is wrong with a script, or with what it did.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ScriptError {
    /// It cannot be read as a script.
    #[error("{0}")]
    Malformed(String),
    /// It has no function of that name with two arguments.
    #[error("has no function `choose(job, cells)`")]
    NoFunction,
    /// It failed, or did not end in time.
    #[error("failed: {0}")]
    Failed(String),
    /// It returned what is none of the cells' names.
    #[error("named no cell: {0}")]
    NoCell(String),
}

/// An operator's script.
#[derive(Clone)]
pub struct Script {
    engine: Arc<Engine>,
    program: Arc<AST>,
}

impl std::fmt::Debug for Script {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Script")
    }
}

impl Script {
    /// Reads and checks a script.
    pub fn parse(text: &str) -> Result<Self, ScriptError> {
        let engine = bounded_engine();
        let program = engine
            .compile(text)
            .map_err(|problem| ScriptError::Malformed(problem.to_string()))?;
        let fits = |f: rhai::ScriptFnMetadata| f.name == FUNCTION && f.params.len() == ARGUMENTS;
        if !program.iter_functions().any(fits) {
            return Err(ScriptError::NoFunction);
        }
        Ok(Self {
            engine: Arc::new(engine),
            program: Arc::new(program),
        })
    }

    fn choose(&self, job: &Value, cells: &[Candidate]) -> Result<String, ScriptError> {
        let failed = |problem: Box<rhai::EvalAltResult>| ScriptError::Failed(problem.to_string());
        let job = rhai::serde::to_dynamic(job).map_err(failed)?;
        let offered = rhai::serde::to_dynamic(cells).map_err(failed)?;
        let mut scope = Scope::new();
        let chosen: Dynamic = self
            .engine
            .call_fn(&mut scope, &self.program, FUNCTION, (job, offered))
            .map_err(failed)?;
        let name = chosen.to_string();
        match cells.iter().any(|cell| cell.name == name) {
            true => Ok(name),
            false => Err(ScriptError::NoCell(name.chars().take(80).collect())),
        }
    }
}

/// An engine that ends whatever runs too long or grows too large.
fn bounded_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MOST_OPERATIONS);
    engine.set_max_call_levels(MOST_CALLS);
    engine.set_max_string_size(LONGEST_TEXT);
    engine.set_max_array_size(LONGEST_LIST);
    engine.set_max_map_size(LONGEST_LIST);
    engine
}

/// The order in which cells are chosen.
#[derive(Debug, Clone, Default)]
pub struct Ranking {
    script: Option<Script>,
}

impl Ranking {
    /// With an operator's script, if there is one.
    pub fn new(script: Option<Script>) -> Self {
        Self { script }
    }

    /// The cell that should have a job; none if there is no candidate.
    pub fn choose(&self, job: &Value, cells: &[Candidate]) -> Option<String> {
        let built_in = cells.iter().max_by(|a, b| a.room().total_cmp(&b.room()))?;
        let Some(script) = &self.script else {
            return Some(built_in.name.clone());
        };
        match script.choose(job, cells) {
            Ok(name) => Some(name),
            Err(problem) => {
                let instead = &built_in.name;
                tracing::warn!(%problem, instead, "the ranking script chose nothing");
                Some(instead.clone())
            }
        }
    }
}

#[cfg(test)]
mod tests;
