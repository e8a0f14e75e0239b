use super::*;

fn queue() -> QueueName {
    QueueName::from("runs")
}

fn caller(name: &str) -> CallerName {
    CallerName::from(name)
}

fn limits(set: &[(LimitSubject, f64)]) -> ManualLimits {
    let mut limits = ManualLimits::default();
    for (subject, per_second) in set {
        assert!(limits.set(subject.clone(), Some(*per_second)));
    }
    limits
}

fn try_take(
    limits: &mut ManualLimits,
    now: Time,
    caller: Option<&CallerName>,
) -> Result<(), Option<Duration>> {
    let permit = limits.permit(now, &queue(), caller)?;
    limits.take(permit);
    Ok(())
}

/// How many of the jobs that a caller submits every 10 ms for 10 s are admitted.
fn admitted(limits: &mut ManualLimits, name: &str) -> usize {
    let times = (0..1_000).map(|number| Time::from_millis(1_000 + 10 * number));
    times.filter(|now| try_take(limits, *now, Some(&caller(name))).is_ok()).count()
}

#[test]
fn a_caller_that_submits_in_a_loop_is_held_to_its_limit_and_others_are_not() {
    let mut limits = limits(&[(LimitSubject::Caller(caller("loop")), 5.0)]);

    // The jobs of 10 s, and of one more second at the beginning.
    assert!((50..=55).contains(&admitted(&mut limits, "loop")));
    assert_eq!(admitted(&mut limits, "other"), 1_000);
}

#[test]
fn a_job_that_one_limit_refuses_does_not_use_up_the_other() {
    // A flood of one caller would otherwise take the whole queue's limit for jobs that never run.
    let limited =
        [(LimitSubject::Caller(caller("loop")), 1.0), (LimitSubject::Queue(queue()), 9.0)];
    let mut limits = limits(&limited);
    let now = Time::from_millis(1_000);
    let mut take = |name: &str| try_take(&mut limits, now, Some(&caller(name)));

    let flood = (0..100).filter(|_| take("loop").is_ok()).count();
    let others = (0..100).filter(|_| take("other").is_ok()).count();

    assert_eq!((flood, others), (1, 8));
}

#[test]
fn a_limit_of_nothing_names_no_time_to_return_and_a_lifted_one_ends_at_once() {
    let subject = LimitSubject::Queue(queue());
    let mut limits = limits(&[(subject.clone(), 0.0)]);
    let now = Time::from_millis(1_000);

    assert_eq!(try_take(&mut limits, now, None), Err(None));
    assert!(concern(limits.subjects(), &queue(), None));
    limits.set(subject, None);

    assert_eq!(try_take(&mut limits, now, None), Ok(()));
    assert!(!concern(limits.subjects(), &queue(), None));
}
