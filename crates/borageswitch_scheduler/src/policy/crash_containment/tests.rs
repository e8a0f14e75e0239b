//! Crashes of one queue, of unrelated queues, and the end of a storm.

use super::*;

fn queue(name: &str) -> Group {
    Group::Queue(QueueName::from(name))
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn add(groups: &mut ContainedGroups, millis: u64, names: &[&str]) -> Vec<Group> {
    let named = names.iter().map(|name| queue(name)).collect();
    groups.add_crash(at(millis), Duration::from_millis(100), named)
}

#[test]
fn a_queue_is_contained_from_its_second_crash_until_five_seconds_after_the_last() {
    let mut groups = ContainedGroups::default();

    assert!(add(&mut groups, 1_000, &["runs", "reports"]).is_empty());
    assert_eq!(add(&mut groups, 3_000, &["runs"]), [queue("runs")]);
    assert!(add(&mut groups, 6_000, &["runs"]).is_empty());

    assert!(groups.expire(at(10_900)).is_empty());
    assert_eq!(groups.probe_time(&[queue("runs")]), Some(Duration::from_millis(700)));
    assert_eq!(groups.probe_time(&[queue("reports")]), None);
    assert_eq!(groups.expire(at(11_000)), [queue("runs")]);
    assert!(!groups.is_active());
}

#[test]
fn single_crashes_of_several_queues_contain_none() {
    // Guards against containment on sites where hosts crash now and then.
    let mut groups = ContainedGroups::default();

    add(&mut groups, 1_000, &["runs"]);
    add(&mut groups, 2_000, &["reports"]);
    add(&mut groups, 11_500, &["runs"]);

    assert!(!groups.is_active());
}

#[test]
fn a_probe_has_to_live_for_a_second_at_most() {
    // Guards against probes that make all jobs late because a crash was noticed late.
    let mut groups = ContainedGroups::default();
    for millis in [1_000, 2_000] {
        groups.add_crash(at(millis), Duration::from_secs(4), BTreeSet::from([queue("runs")]));
    }

    assert_eq!(groups.probe_time(&[queue("runs")]), Some(Duration::from_secs(1)));
}

#[test]
fn probes_may_use_one_executor_of_the_smallest_pool() {
    assert_eq!(max_probe_executors(1), 1);
    assert_eq!(max_probe_executors(9), 3);
}
