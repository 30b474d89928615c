//! Chooses the cell that a job goes to: the one with the most capacity, or the one that an operator's script
//! names.
//!
//! The script is written in Rhai and defines a function `choose(job, cells)`. The function receives the job's
//! description, as its user submitted it, and the cells that could take the job, and returns the name of one
//! of them. It may execute a limited number of operations and has access to nothing else. If it fails, exceeds
//! a limit or does not return the name of such a cell, that is logged and the built-in order applies.

use rhai::{AST, Dynamic, Engine, Scope};
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;

/// A cell that could take a job. Scripts access the fields by these names.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// CPUs of its machines that no task uses, less those of jobs that it received after it published them.
    pub free_cpus: f64,
    /// Whether the cell may rent machines: its cloud has not recently refused a rental.
    pub can_rent: bool,
}

/// CPUs that are added to the score of a cell that may rent machines. The number exceeds the CPUs of any
/// cell, so that such a cell precedes every cell that may not rent. Of two cells that may rent, the one with
/// more free CPUs comes first, because a rented machine has to boot.
const RENTABLE_CPUS: f64 = 1_000_000.0;

impl Candidate {
    /// The score by which the built-in order compares cells, in CPUs.
    pub fn capacity_score(&self) -> f64 {
        let rentable = if self.can_rent { RENTABLE_CPUS } else { 0.0 };
        self.free_cpus + rentable
    }
}

/// Name of the function that a script defines.
const FUNCTION: &str = "choose";
/// Number of arguments of that function.
const ARGUMENTS: usize = 2;
/// Largest number of operations in one run of a script.
const MAX_OPERATIONS: u64 = 50_000;
/// Largest depth of nested calls in a script.
const MAX_CALL_DEPTH: usize = 16;
/// Largest string in a script, in bytes.
const MAX_STRING_BYTES: usize = 64 << 10;
/// Largest number of elements of an array or a map in a script.
const MAX_ELEMENTS: usize = 10_000;
/// Largest number of characters of an invalid return value that the error contains.
const MAX_ERROR_VALUE_CHARS: usize = 80;

/// An error in a script, or in a run of it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ScriptError {
    /// It cannot be parsed.
    #[error("{0}")]
    Malformed(String),
    /// It does not define the function `choose` with two arguments.
    #[error("has no function `choose(job, cells)`")]
    NoFunction,
    /// It failed, or exceeded a limit.
    #[error("failed: {0}")]
    Failed(String),
    /// It returned something that is not the name of a candidate.
    #[error("returned a value that is not the name of a candidate cell: {0}")]
    NotACandidate(String),
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
    /// Parses a script and checks that it defines the function.
    pub fn parse(text: &str) -> Result<Self, ScriptError> {
        let engine = bounded_engine();
        let program = engine
            .compile(text)
            .map_err(|error| ScriptError::Malformed(error.to_string()))?;
        let is_choose = |function: rhai::ScriptFnMetadata| {
            function.name == FUNCTION && function.params.len() == ARGUMENTS
        };
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
            let truncated = name.chars().take(MAX_ERROR_VALUE_CHARS).collect();
            Err(ScriptError::NotACandidate(truncated))
        }
    }
}

/// An engine that aborts a script that runs too long or uses too much memory.
fn bounded_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_DEPTH);
    engine.set_max_string_size(MAX_STRING_BYTES);
    engine.set_max_array_size(MAX_ELEMENTS);
    engine.set_max_map_size(MAX_ELEMENTS);
    engine
}

/// The rule by which a cell is chosen.
#[derive(Debug, Clone, Default)]
pub struct Ranking {
    script: Option<Script>,
}

impl Ranking {
    /// A ranking by the operator's script, or by the built-in order if there is none.
    pub fn new(script: Option<Script>) -> Self {
        Self { script }
    }

    /// The name of the cell that a job should go to; `None` if there is no candidate.
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
