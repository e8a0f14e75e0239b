use super::Full;
use crate::job::Size;

fn size(cpu_milli: u64, memory_mb: u64) -> Size {
    Size { cpu_milli, memory_mb, accelerators: 0 }
}

#[test]
fn thousands_of_tasks_that_wait_are_told_by_the_few_smallest_sizes() {
    // A pool is full, and thousands of tasks of all sizes wait. Where there is no room for a small
    // task there is none for a larger one; asked host by host for each of them, every decision
    // would take longer the longer the backlog is.
    let mut full = Full::default();
    for cores in (1..2_000).rev() {
        full.note(size(cores, 2 * cores));
    }

    assert_eq!(full.sizes, [size(1, 2)]);
    assert!(full.is_certain(&size(1, 2)));
    assert!(full.is_certain(&size(900, 900)));
}

#[test]
fn a_task_that_needs_less_of_something_is_asked_for() {
    let mut full = Full::default();
    full.note(size(4_000, 500));
    full.note(size(500, 4_000));

    assert!(!full.is_certain(&size(3_000, 3_000)));
    assert!(full.is_certain(&size(4_000, 4_000)));
}
