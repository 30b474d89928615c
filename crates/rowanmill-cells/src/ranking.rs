//! Which cell a job goes to: the one with most capacity, or the one that an operator's script names.
//!
//! The script is in Rhai and has a function `choose(job, cells)`. It gets the job's description, as its user
//! submitted it, and the cells that could take the job, and returns the name of one of them. It runs for a
//! bounded number of operations and has access to nothing else. When it fails, does not end or names no
//! cell, that is logged and the built-in order applies.

use rhai::{AST, Dynamic, Engine, Scope};
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;

/// A cell that could take a job. Scripts see these fields under these names.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// CPUs of its machines that no task uses.
    pub free_cpus: f64,
    /// Its cloud has not recently refused a rental.
    pub can_rent: bool,
}

/// CPUs that a cell which may rent counts for beyond its free ones; more than any cell has. Any such cell
/// comes before one that may not rent, and of two of them the one with more free CPUs comes first, since a
/// rented machine has to boot.
const RENTABLE_CPUS: f64 = 1_000_000.0;

impl Candidate {
    /// The score of the built-in order, in CPUs.
    pub fn capacity_score(&self) -> f64 {
        let rentable = if self.can_rent { RENTABLE_CPUS } else { 0.0 };
        self.free_cpus + rentable
    }
}

/// Name of the script's function.
const FUNCTION: &str = "choose";
/// Number of its arguments.
const ARGUMENTS: usize = 2;
/// Most operations of a run.
const MAX_OPERATIONS: u64 = 50_000;
/// Deepest nesting of calls.
const MAX_CALL_DEPTH: usize = 16;
/// Largest string, in bytes.
const MAX_STRING_BYTES: usize = 64 << 10;
/// Most elements of an array or a map.
const MAX_ELEMENTS: usize = 10_000;
/// Most characters of a returned value that an error shows.
const MAX_SHOWN_CHARS: usize = 80;

/// What is wrong with a script, or with a run of it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ScriptError {
    /// It is not a script.
    #[error("{0}")]
    Malformed(String),
    /// It has no function of that name with two arguments.
    #[error("has no function `choose(job, cells)`")]
    NoFunction,
    /// It failed, or exceeded a limit.
    #[error("failed: {0}")]
    Failed(String),
    /// It returned something that is not the name of a candidate.
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
            .map_err(|error| ScriptError::Malformed(error.to_string()))?;
        let is_choose =
            |f: rhai::ScriptFnMetadata| f.name == FUNCTION && f.params.len() == ARGUMENTS;
        if !program.iter_functions().any(is_choose) {
            return Err(ScriptError::NoFunction);
        }
        Ok(Self {
            engine: Arc::new(engine),
            program: Arc::new(program),
        })
    }

    fn choose(&self, job: &Value, cells: &[Candidate]) -> Result<String, ScriptError> {
        let failed = |error: Box<rhai::EvalAltResult>| ScriptError::Failed(error.to_string());
        let job = rhai::serde::to_dynamic(job).map_err(failed)?;
        let candidates = rhai::serde::to_dynamic(cells).map_err(failed)?;
        let mut scope = Scope::new();
        let chosen: Dynamic = self
            .engine
            .call_fn(&mut scope, &self.program, FUNCTION, (job, candidates))
            .map_err(failed)?;
        let name = chosen.to_string();
        if cells.iter().any(|cell| cell.name == name) {
            Ok(name)
        } else {
            let shown = name.chars().take(MAX_SHOWN_CHARS).collect();
            Err(ScriptError::NoCell(shown))
        }
    }
}

/// An engine that stops a script which runs too long or uses too much memory.
fn bounded_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_DEPTH);
    engine.set_max_string_size(MAX_STRING_BYTES);
    engine.set_max_array_size(MAX_ELEMENTS);
    engine.set_max_map_size(MAX_ELEMENTS);
    engine
}

/// The order in which cells are chosen.
#[derive(Debug, Clone, Default)]
pub struct Ranking {
    script: Option<Script>,
}

impl Ranking {
    /// A ranking by an operator's script, or by the built-in order.
    pub fn new(script: Option<Script>) -> Self {
        Self { script }
    }

    /// The name of the cell that should have a job; `None` if there is no candidate.
    pub fn choose(&self, job: &Value, cells: &[Candidate]) -> Option<String> {
        let built_in = cells
            .iter()
            .max_by(|a, b| a.capacity_score().total_cmp(&b.capacity_score()))?;
        let Some(script) = &self.script else {
            return Some(built_in.name.clone());
        };
        match script.choose(job, cells) {
            Ok(name) => Some(name),
            Err(error) => {
                let chosen = &built_in.name;
                tracing::warn!(%error, chosen, "ranking script failed, built-in order applied");
                Some(chosen.clone())
            }
        }
    }
}

#[cfg(test)]
mod tests;
