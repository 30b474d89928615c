use super::*;
use std::hint::black_box;

/// Guards against measuring elapsed time, which would charge an account for waiting and for the work of other
/// processes on the machine.
#[test]
fn a_charge_counts_the_threads_processor_time_and_no_waiting() {
    let time = ProcessorTime::default();
    {
        let _charge = time.charge(CpuAccount::Placement);
        std::thread::sleep(Duration::from_millis(200));
    }
    let waited = time.totals()[CpuAccount::Placement as usize];
    assert!(
        waited < Duration::from_millis(100),
        "{waited:?} charged for 200 ms of waiting"
    );
    {
        let _charge = time.charge(CpuAccount::RecordWrites);
        let began = thread_time();
        let mut sum = 0_u64;
        while thread_time() - began < Duration::from_millis(20) {
            sum = black_box(sum.wrapping_add(1));
        }
    }
    let worked = time.totals()[CpuAccount::RecordWrites as usize];
    assert!(
        worked >= Duration::from_millis(20),
        "{worked:?} charged for 20 ms of work"
    );
}

#[test]
fn each_account_has_its_discriminant_as_index() {
    for (index, account) in CpuAccount::ALL.into_iter().enumerate() {
        assert_eq!(account as usize, index);
    }
}
