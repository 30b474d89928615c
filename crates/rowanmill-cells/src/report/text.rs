//! Formats the reports as text for people.

use super::{CellReport, CellsReport, Explanation};
use std::fmt;

const TABLE_HEADER: &str =
    "cell            state      jobs  foreign  cancelled  waiting  free cpus  controller";
/// Printed in place of an unknown value.
const NO_VALUE: &str = "-";

impl fmt::Display for CellsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{TABLE_HEADER}")?;
        for cell in &self.cells {
            write_row(f, cell)?;
        }
        if self.malformed > 0 {
            writeln!(f, "{} records cannot be read", self.malformed)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, cell: &CellReport) -> fmt::Result {
    let state = match (cell.present, cell.draining) {
        (true, true) => "draining",
        (true, false) => "present",
        (false, _) => "missing",
    };
    let rounded =
        |value: Option<f64>| value.map_or(NO_VALUE.to_owned(), |value| format!("{value:.0}"));
    writeln!(
        f,
        "{:<15} {state:<9} {:>5} {:>8} {:>10} {:>8} {:>10}  {}",
        cell.cell,
        cell.jobs,
        cell.foreign,
        cell.cancelled,
        rounded(cell.waiting.map(|tasks| tasks as f64)),
        rounded(cell.free_cpus),
        cell.controller.as_deref().unwrap_or(NO_VALUE),
    )
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.job, self.state)?;
        for reason in &self.reasons {
            writeln!(f, "  {reason}")?;
        }
        Ok(())
    }
}
