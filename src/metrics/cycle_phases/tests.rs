use super::*;
use std::thread::sleep;

/// Guards against measurements that tell nothing apart: each phase has its own total and maximum, and a period starts
/// with zeros.
#[test]
fn each_phase_has_its_own_total_and_maximum() {
    let times = PhaseTimes::default();
    for milliseconds in [5, 1] {
        let _timer = times.start(CyclePhase::Packing);
        sleep(Duration::from_millis(milliseconds));
    }
    drop(times.start(CyclePhase::Forecast));
    let taken = times.take();
    let packing = taken[CyclePhase::Packing as usize];
    assert!(packing.longest >= Duration::from_millis(5), "{packing:?}");
    assert!(packing.total >= packing.longest + Duration::from_millis(1));
    assert!(taken[CyclePhase::Forecast as usize].total < packing.total);
    assert_eq!(taken[CyclePhase::Snapshot as usize], PhaseTime::default());
    assert_eq!(
        times.take()[CyclePhase::Packing as usize].total,
        Duration::ZERO
    );
}
