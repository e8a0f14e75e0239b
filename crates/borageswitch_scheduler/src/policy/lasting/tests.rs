//! Which more hosts lasting tasks need.

use std::sync::Arc;

use super::{self as lasting, Room, Seeker};
use crate::job::Size;

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn seeker(step: u32, label: Option<&str>) -> Seeker<u32> {
    Seeker { step, size: cores(10), label: label.map(Arc::from), max_per_host: Some(1) }
}

fn room(free: u64, label: &str, steps: &[u32]) -> Room<u32> {
    let tasks = steps.iter().map(|step| (*step, 1)).collect();
    Room { labels: vec![Arc::from(label)], free: cores(free), tasks }
}

#[test]
fn a_full_host_with_a_label_is_no_help_to_a_lasting_task() {
    // A lasting task needs a label. The only hosts of its pool that have it are full of other
    // lasting tasks, or have a task of the same step. Counted as help, they would leave its users
    // without service for the rest of the day.
    let rooms = vec![room(5, "b", &[7]), room(60, "b", &[1]), room(60, "a", &[])];

    let more = lasting::more_hosts(&[seeker(1, Some("b"))], rooms, &cores(64));

    assert_eq!(more, [Some(Arc::from("b"))]);
}

#[test]
fn lasting_tasks_share_the_hosts_that_are_fetched_for_them() {
    let seekers = [seeker(1, None), seeker(2, Some("b")), seeker(3, None), seeker(1, None)];

    let more = lasting::more_hosts(&seekers, Vec::new(), &cores(64));

    assert_eq!(more, [Some(Arc::from("b")), None]);
}
