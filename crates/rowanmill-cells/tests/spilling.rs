//! Seeded schedules of jobs that move between cells because they wait, with the time passed in: ledgers that
//! cells read late, summaries that are out of date, cells that decline, and cells without machines whose cloud
//! seems to have some. Every job ends as long as one willing cell has room, and none moves more often than the
//! settings allow.

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
const STEP: Duration = Duration::from_millis(100);
/// A summary that was read longer ago is not relied on.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(15);
/// A job may make its moves, then one more slow one out of each of the two cells that cannot run it, and wait
/// each time for one that lags behind the ledger, rents, and works off the jobs before it.
const ENDS_WITHIN: Duration = Duration::from_secs(150);

/// What is known of a job from outside the cells.
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
    /// Cell `a` has no machines, one of the others has some, and the last one has none or declines all work.
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

    /// Plays until all jobs have ended, or to the first violation.
    fn run(&mut self) -> Result<(), String> {
        self.publish_jobs();
        while self.now < self.start + ENDS_WITHIN {
            self.now += STEP;
            for index in 0..self.cells.len() {
                if self.rng.random_bool(0.02) {
                    let lag = Duration::from_millis(self.rng.random_range(200..4_000));
                    self.cells[index].lags_until = self.now + lag;
                }
                self.cells[index].step(&mut self.ledger, self.now);
            }
            if let Some(violation) = self.too_hasty_move() {
                return Err(violation);
            }
            if self.open_jobs().next().is_none() {
                return Ok(());
            }
        }
        let open: Vec<_> = self.open_jobs().collect();
        Err(format!("not ended: {open:?}"))
    }

    fn open_jobs(&self) -> impl Iterator<Item = (&String, LedgerJob)> {
        let jobs = self.moves.keys();
        jobs.filter_map(|id| Some((id, self.ledger.job(id)?.record)))
    }

    /// A job that moved although it cannot have waited in its cell for as long as the settings say.
    fn too_hasty_move(&mut self) -> Option<String> {
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
fn jobs_that_wait_end_wherever_there_is_room_and_move_slowly() {
    let mut moved = 0;
    let mut moved_beyond_bound = 0;
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed);
        if let Err(violation) = schedule.run() {
            panic!("seed {seed}: {violation}");
        }
        for moves in schedule.moves.values() {
            moved += u32::from(moves.count > 0);
            moved_beyond_bound += u32::from(moves.count > SPILL_MOVES);
        }
    }
    println!("moved: {moved}, more often than {SPILL_MOVES} times: {moved_beyond_bound}");
    // The schedules contain what they are for.
    assert!(moved > 500);
}
