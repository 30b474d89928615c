//! Randomized simulations ("schedules") of jobs that are spilled to other cells because they wait, in simulated time.
//! Cells read the ledger late, rely on outdated summaries, decline jobs, or cannot rent machines although their
//! summaries say that they can. Every job must end, because one cell always accepts it and has room for it. A job must
//! not be spilled earlier after its previous spill, or after the start, than the configuration allows.

#[path = "model/ledger.rs"]
mod ledger;
#[path = "spilling/cell.rs"]
mod spilling_cell;

use ledger::Ledger;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rowanmill_cells::LedgerJob;
use rowanmill_cells::transaction;
use serde_json::json;
use spilling_cell::{Capacity, Cell, SPILL_AFTER, SPILL_MOVES};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SEEDS: u64 = 200;
const NAMES: [&str; 3] = ["a", "b", "c"];
const JOBS: usize = 6;
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(100);
/// Maximum age of a summary that the planner uses.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(15);
/// Time within which all jobs must end. A job may make [`SPILL_MOVES`] moves and one more, slower move out of each of
/// the two cells that cannot run it. Each time, it may wait for a cell that lags behind the ledger, rents a machine,
/// and runs the jobs ahead of it first.
const MAX_SCHEDULE_TIME: Duration = Duration::from_secs(150);

/// The spills of a job, as observed in the ledger. Handovers by a cell that declines the job do not count.
#[derive(Default)]
struct Moves {
    count: u32,
    last_at: Option<Instant>,
}

struct Schedule {
    rng: StdRng,
    start: Instant,
    now: Instant,
    ledger: Ledger,
    cells: Vec<Cell>,
    moves: BTreeMap<String, Moves>,
}

impl Schedule {
    /// Cell `a` has no machines, and one of the others can rent some. The remaining one can rent a single machine or
    /// none, or declines all jobs.
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let last = match rng.random_range(0..3) {
            0 => Capacity::Declines,
            1 => Capacity::None,
            _ => Capacity::Machines(1),
        };
        let with_room = Capacity::Machines(rng.random_range(1..=JOBS));
        let mut capacities = [Capacity::None, with_room, last];
        if rng.random_bool(0.5) {
            capacities.swap(1, 2);
        }
        let mut ledger = Ledger::default();
        let cells = NAMES.iter().zip(capacities);
        let cells = cells
            .map(|(name, capacity)| Cell::register(name, capacity, &mut ledger, now))
            .collect();
        Self {
            rng,
            start: now,
            now,
            ledger,
            cells,
            moves: BTreeMap::new(),
        }
    }

    fn publish_jobs(&mut self) {
        for number in 0..JOBS {
            let id = format!("job-{number}");
            let description = json!({"cpus": 1.0, "sacks": 1});
            let job = LedgerJob::accepted_by(NAMES[0], 0, Vec::new(), description);
            let transaction = transaction::publish(&id, &job);
            self.ledger.commit(&transaction, self.now).unwrap();
            self.moves.insert(id, Moves::default());
        }
    }

    /// Runs until all jobs have ended or a job moves too early. Returns the violation, if any.
    fn run(&mut self) -> Result<(), String> {
        self.publish_jobs();
        while self.now < self.start + MAX_SCHEDULE_TIME {
            self.now += STEP;
            for index in 0..self.cells.len() {
                if self.rng.random_bool(0.02) {
                    let lag = Duration::from_millis(self.rng.random_range(200..4_000));
                    self.cells[index].lags_until = self.now + lag;
                }
                self.cells[index].step(&mut self.ledger, self.now);
            }
            if let Some(violation) = self.premature_move() {
                return Err(violation);
            }
            if self.open_jobs().next().is_none() {
                return Ok(());
            }
        }
        let open: Vec<_> = self.open_jobs().collect();
        Err(format!("jobs have not ended: {open:?}"))
    }

    fn open_jobs(&self) -> impl Iterator<Item = (&String, LedgerJob)> {
        let jobs = self.moves.keys();
        jobs.filter_map(|id| Some((id, self.ledger.job(id)?.record)))
    }

    /// The violation if the time between two spills of a job, or before its first one, is shorter than the
    /// configuration requires.
    fn premature_move(&mut self) -> Option<String> {
        let now = self.now;
        for (id, moves) in &mut self.moves {
            let Some(held) = self.ledger.job(id) else {
                continue;
            };
            let count = held.record.spill_count;
            if count == moves.count {
                continue;
            }
            let wait = if moves.count < SPILL_MOVES {
                SPILL_AFTER
            } else {
                SPILL_AFTER * 2 + MAX_SUMMARY_AGE
            };
            let since = moves.last_at.unwrap_or(self.start);
            if count > moves.count + 1 || now.duration_since(since) < wait {
                let after = now.duration_since(since);
                return Some(format!("{id} moved after {after:?}: {:?}", held.record));
            }
            moves.count = count;
            moves.last_at = Some(now);
        }
        None
    }
}

#[test]
fn waiting_jobs_end_where_there_is_room_and_do_not_move_early() {
    let mut moved = 0;
    let mut moved_more_often = 0;
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed);
        if let Err(violation) = schedule.run() {
            panic!("seed {seed}: {violation}");
        }
        for moves in schedule.moves.values() {
            moved += u32::from(moves.count > 0);
            moved_more_often += u32::from(moves.count > SPILL_MOVES);
        }
    }
    println!("jobs that moved: {moved}; more than {SPILL_MOVES} times: {moved_more_often}");
    // The schedules must contain the moves that they are meant to test.
    assert!(moved > 500);
}
