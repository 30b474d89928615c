use super::*;
use std::fmt::Write;

#[test]
fn memory_is_short_from_the_upper_bound_until_the_lower_one() {
    let pressure = MemoryPressure::new(46.0);
    let mut trace = String::new();
    for megabytes in [10, 32, 33, 31, 28, 27, 32, 40, 27, 10] {
        let is_short = pressure.update(megabytes * 1_000_000);
        writeln!(
            trace,
            "{megabytes} of 46 MB: {}",
            if is_short { "short" } else { "enough" }
        )
        .unwrap();
    }
    insta::assert_snapshot!(trace, @r"
    10 of 46 MB: enough
    32 of 46 MB: enough
    33 of 46 MB: short
    31 of 46 MB: short
    28 of 46 MB: short
    27 of 46 MB: enough
    32 of 46 MB: enough
    40 of 46 MB: short
    27 of 46 MB: enough
    10 of 46 MB: enough
    ");
}

/// Guards against a count that drifts from the allocated memory: the controller would in time refuse all jobs,
/// or none.
#[test]
fn freed_memory_is_no_longer_counted() {
    const BLOCK_BYTES: usize = 64 << 20;
    let before = allocated();
    let block: Vec<u8> = Vec::with_capacity(BLOCK_BYTES);
    assert!(
        allocated() >= before + BLOCK_BYTES / 2,
        "the allocated block is not counted: {before} bytes before, {} after",
        allocated()
    );
    drop(block);
    assert!(
        allocated() < before + BLOCK_BYTES / 2,
        "the freed block is still counted: {before} bytes before, {} after",
        allocated()
    );
}
