use super::*;
use crate::job::Step;

fn size(cpu_milli: u64, memory_mb: u64, accelerators: u64) -> Size {
    Size { cpu_milli, memory_mb, accelerators }
}

fn left(quota: Size, used: Size, wanted: Size) -> Option<(u64, u64)> {
    startable(&quota, &used, &wanted).map(|left| (left.whole, left.with_overshoot))
}

fn charge(caller: &str, size: Size) -> Charge {
    Charge { caller: CallerName::from(caller), size }
}

#[test]
fn tasks_start_until_the_quota_is_reached() {
    let (quota, wanted) = (size(10_000, 0, 0), size(3_000, 500, 0));

    assert_eq!(left(quota, size(0, 0, 0), wanted), Some((3, 4)));
    assert_eq!(left(quota, size(9_000, 0, 0), wanted), Some((0, 1)));
    assert_eq!(left(quota, size(10_000, 0, 0), wanted), Some((0, 0)));
    assert_eq!(left(quota, size(12_000, 0, 0), wanted), Some((0, 0)));
}

#[test]
fn only_a_task_without_others_in_flight_exceeds_the_quota() {
    // A large task and a small one are ordered together, and the large one arrives first. The small
    // one then finds its caller over the quota by most of the large one's size.
    let nearly_full = Startable { whole: 0, with_overshoot: 1 };
    let ample = Startable { whole: 3, with_overshoot: 4 };

    assert_eq!(nearly_full.independent(5, false), 1);
    assert_eq!(nearly_full.independent(5, true), 0);
    assert_eq!(ample.independent(5, false), 3);
    assert!(ample.allows_gang(4, false));
    assert!(!ample.allows_gang(4, true));
}

#[test]
fn a_task_larger_than_the_quota_runs_alone() {
    // An operator lowers a quota below the size of a single accepted task. If only tasks that fit
    // could start, the job would wait forever although nothing else of its caller runs.
    assert_eq!(left(size(1_000, 0, 0), size(0, 0, 0), size(4_000, 0, 0)), Some((0, 1)));
}

#[test]
fn the_scarcest_resource_decides_and_unneeded_ones_do_not() {
    let quota = size(10_000, 4_000, 1);

    assert_eq!(left(quota, size(0, 3_500, 1), size(1_000, 1_000, 0)), Some((0, 1)));
    assert_eq!(left(quota, size(0, 0, 1), size(1_000, 0, 1)), Some((0, 0)));
    assert_eq!(left(size(0, 0, 0), size(9, 9, 9), size(1, 1, 1)), None);
}

#[test]
fn a_gang_that_exceeds_the_quota_is_rejected_at_once() {
    // A caller submits a gang of ten tasks and may use four cores. If accepted, the job would wait
    // forever, and its caller would notice only after the time that it has allowed for the job.
    let gang = Step { count: 10, size: size(1_000, 0, 0), gang: true, ..Step::default() };
    let spec = JobSpec { payload: "".into(), steps: vec![Step::default(), gang], schedule: None };

    let rejected = check(&size(4_000, 0, 0), &spec);

    assert_eq!(rejected, Err(QuotaError { step: 1, count: 10, most: 4 }));
    assert_eq!(check(&size(10_000, 0, 0), &spec), Ok(()));
    assert_eq!(check(&size(0, 0, 0), &spec), Ok(()));
}

#[test]
fn usage_is_the_sum_of_runs_added_and_not_subtracted() {
    let mut usage = Usage::default();
    usage.add(&charge("nosipho", size(2_000, 100, 1)), false);
    usage.add(&charge("nosipho", size(1_000, 50, 0)), false);
    usage.add(&charge("thandi", size(500, 10, 0)), true);
    usage.confirm(&CallerName::from("nosipho"));

    usage.subtract(&charge("nosipho", size(2_000, 100, 1)), true);
    usage.subtract(&charge("thandi", size(500, 10, 0)), true);

    let used = usage.of(&CallerName::from("nosipho"));
    assert_eq!(used, Used { size: size(1_000, 50, 0), in_flight: 1 });
    assert_eq!(usage.iter().count(), 1);
}
