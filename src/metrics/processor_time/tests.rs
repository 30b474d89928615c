use super::*;
use std::hint::black_box;

/// Elapsed time would charge a duty for what other processes of the machine did meanwhile.
#[test]
fn a_charge_counts_work_of_the_thread_and_no_waiting() {
    let time = ProcessorTime::default();
    {
        let _charge = time.charge(Duty::Placement);
        std::thread::sleep(Duration::from_millis(200));
    }
    let waited = time.spent()[Duty::Placement as usize];
    assert!(waited < Duration::from_millis(100), "{waited:?}");
    {
        let _charge = time.charge(Duty::Records);
        let began = thread_time();
        let mut sum = 0_u64;
        while thread_time() - began < Duration::from_millis(20) {
            sum = black_box(sum.wrapping_add(1));
        }
    }
    let worked = time.spent()[Duty::Records as usize];
    assert!(worked >= Duration::from_millis(20), "{worked:?}");
}

#[test]
fn each_duty_has_an_account_of_its_own() {
    for (place, duty) in Duty::ALL.into_iter().enumerate() {
        assert_eq!(duty as usize, place);
    }
}
