use super::*;
use crate::placement::tests::{job, machine};
use std::cell::Cell;
use std::rc::Rc;

/// Guards against a controller that answers nobody while it makes a forecast: with a thousand waiting jobs and thousands
/// of machines, a forecast took a second of the controller's share of a core, with the state locked. Other tasks of the
/// runtime run again before the forecast has examined much more than a turn's machines, and the result is the same.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_while_a_forecast_is_made() {
    let machines: Vec<MachineSnapshot> = (0..1_000)
        .map(|number| machine(&format!("vm-{number}"), 0.0, 16.0))
        .collect();
    let jobs: Vec<JobSnapshot> = (0..200)
        .map(|index| JobSnapshot {
            index,
            gang: index % 4 == 0,
            ..job(&format!("job-{index}"), 0.01, 50, 0.0)
        })
        .collect();
    let headroom = QuotaHeadroom::default();
    let turns = Rc::new(Cell::new(0));
    let other_turns = turns.clone();
    let other_task = async move {
        loop {
            other_turns.set(other_turns.get() + 1);
            tokio::task::yield_now().await;
        }
    };
    let predicted = tokio::select! {
        biased;
        () = other_task => unreachable!("it never ends"),
        predicted = forecast_in_turns(&jobs, &machines, &headroom, 2) => predicted,
    };
    assert_eq!(predicted, forecast(&jobs, &machines, &headroom, 2));
    let examined = predicted.machines_examined + predicted.slots_examined;
    // A step examines each machine a few times at most: for a startup task, the head of the queue, and the array.
    let largest_turn = MAX_EXAMINED_PER_TURN + 8 * machines.len() as u64;
    let least_turns = examined / largest_turn;
    assert!(least_turns > 5, "{examined} examined in all");
    assert!(turns.get() >= least_turns, "{} turns", turns.get());
}
