//! Which additional hosts lasting tasks need.

use std::sync::Arc;

use super::{self as lasting, HostCapacity, UnplacedTask};
use crate::job::Size;

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn task(step: u32, label: Option<&str>) -> UnplacedTask<u32> {
    UnplacedTask { step, size: cores(10), label: label.map(Arc::from), max_per_host: Some(1) }
}

fn host(free: u64, label: &str, steps: &[u32]) -> HostCapacity<u32> {
    let tasks = steps.iter().map(|step| (*step, 1)).collect();
    HostCapacity { labels: vec![Arc::from(label)], free: cores(free), tasks }
}

#[test]
fn a_full_host_with_a_label_does_not_count_for_a_lasting_task() {
    // A lasting task needs a label. The only hosts of its pool with that label are full of other
    // lasting tasks, or run a task of the same step. If they counted as free, its users would be
    // without service for the rest of the day.
    let hosts = vec![host(5, "b", &[7]), host(60, "b", &[1]), host(60, "a", &[])];

    let more = lasting::additional_hosts(&[task(1, Some("b"))], hosts, &cores(64), 10);

    assert_eq!(more, [Some(Arc::from("b"))]);
}

#[test]
fn lasting_tasks_share_the_hosts_that_are_fetched_for_them() {
    let unplaced = [task(1, None), task(2, Some("b")), task(3, None), task(1, None)];

    let more = lasting::additional_hosts(&unplaced, Vec::new(), &cores(64), 10);

    assert_eq!(more, [Some(Arc::from("b")), None]);
}
