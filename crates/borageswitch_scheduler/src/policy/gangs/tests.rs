use std::time::Duration;

use super::{self as gangs, Candidate, Plan, member_capacity};
use crate::job::Size;

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: 1_000, accelerators: 0 }
}

#[test]
fn member_capacity_is_counted_by_host_and_not_by_core() {
    // Two hosts of eight cores have sixteen in total, but each takes only one member of five cores.
    let each = member_capacity(&cores(8), &cores(5), None);

    assert_eq!(each, 1);
    assert_eq!(member_capacity(&cores(8), &cores(2), Some(1)), 1);
    assert_eq!(member_capacity(&cores(1), &cores(2), None), 0);
}

fn candidate(id: &str, max_members: usize, ready_in: u64) -> Candidate<&str> {
    Candidate { id, max_members, ready_in: Duration::from_millis(ready_in) }
}

#[test]
fn the_hosts_that_are_free_soonest_are_reserved() {
    let hosts = vec![candidate("busy", 2, 900), candidate("free", 2, 0), candidate("half", 2, 400)];

    assert_eq!(gangs::plan(3, hosts), Plan::Reserve(vec!["free", "half"]));
}

#[test]
fn no_host_is_reserved_while_others_stay_busy() {
    // One of the two hosts runs a task of ten seconds. Reserved until that has ended, the other
    // would stand idle while small jobs wait.
    let hosts = vec![candidate("long", 2, 10_000), candidate("free", 2, 0)];

    assert_eq!(gangs::plan(3, hosts), Plan::Wait);
}

#[test]
fn nothing_is_reserved_for_a_gang_that_does_not_fit() {
    // Half of a gang would block its hosts for all others without being able to start.
    assert_eq!(gangs::plan(3, vec![candidate("only", 2, 0)]), Plan::Fetch);
}
