use super::UnplaceableSizes;
use crate::job::Size;

fn size(cpu_milli: u64, memory_mb: u64) -> Size {
    Size { cpu_milli, memory_mb, accelerators: 0 }
}

#[test]
fn a_long_backlog_leaves_only_the_smallest_unplaceable_sizes() {
    // Guards against decisions that take longer the longer the backlog is. A pool is full, and
    // thousands of tasks of all sizes wait: a size that does not fit rules out all larger ones, so
    // that hosts are not checked again for each of them.
    let mut unplaceable = UnplaceableSizes::default();
    for cores in (1..2_000).rev() {
        unplaceable.add(size(cores, 2 * cores));
    }

    assert_eq!(unplaceable.sizes, [size(1, 2)]);
    assert!(unplaceable.rules_out(&size(1, 2)));
    assert!(unplaceable.rules_out(&size(900, 900)));
}

#[test]
fn a_size_that_is_smaller_in_one_dimension_is_not_ruled_out() {
    let mut unplaceable = UnplaceableSizes::default();
    unplaceable.add(size(4_000, 500));
    unplaceable.add(size(500, 4_000));

    assert!(!unplaceable.rules_out(&size(3_000, 3_000)));
    assert!(unplaceable.rules_out(&size(4_000, 4_000)));
}
