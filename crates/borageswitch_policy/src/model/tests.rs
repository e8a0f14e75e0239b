use std::time::Duration;

use borageswitch_types::ErrorKind;

use super::{scenarios::*, *};

const SEED: u64 = 7;

/// Three times as many requests arrive as can run. Without early refusal every request waits until
/// it is too late: every slot is busy, and callers see almost nothing but timeouts.
#[test]
fn overload_keeps_goodput_and_refuses_correctly_and_early() {
    let (goodput, report) = overload_goodput(SEED, 1, Engine::Policy);
    let (baseline, _) = overload_goodput(SEED, 1, Engine::FirstCome);

    let group = report.group("usual");
    assert!(goodput >= 0.95, "{goodput}");
    assert!(baseline < 0.5, "{baseline}");
    assert_eq!(group.false_not_run, 0);
    let refused_late = Duration::from_micros(group.refusals.value_at_percentile(90.0));
    assert!(refused_late <= Duration::from_millis(10), "{refused_late:?}");
}

/// As above, with nine entries that divide the slots among them: refusals at one entry must not
/// leave slots idle at another.
#[test]
fn overload_keeps_goodput_over_nine_entries() {
    let (goodput, report) = overload_goodput(SEED, 9, Engine::Policy);

    assert!(goodput >= 0.95, "{goodput}");
    assert_eq!((report.max_in_flight, report.overcommitted), (8, 0));
}

/// One caller sends twenty times its part. In a first-come queue all other callers wait behind it.
#[test]
fn hot_caller_does_not_delay_others() {
    let (ratio, report) = hot_caller_ratio(SEED, Engine::Policy);
    let (baseline, _) = hot_caller_ratio(SEED, Engine::FirstCome);

    assert!(ratio <= 1.5, "{ratio}");
    assert!(baseline > 2.0, "{baseline}");
    assert_eq!(report.group("usual").refusals(), 0);
    assert!(report.group("hot").refused.contains_key(&ErrorKind::CallerOverShare));
}

/// One target of ten runs at a tenth of its speed. Requests sent there take ten times as long.
#[test]
fn slow_target_hardly_affects_response_times() {
    let (ratio, _) = slow_target_ratio(SEED, 1, Engine::Policy);
    let (shared, _) = slow_target_ratio(SEED, 9, Engine::Policy);

    assert!(ratio <= 1.3, "{ratio}");
    assert!(shared <= 1.3, "{shared}");
}

/// Long jobs arrive among short requests, some of them in a burst. In a first-come queue they take
/// every slot and the short requests wait for seconds.
#[test]
fn short_requests_do_not_wait_behind_long_ones() {
    let (ratio, report) = long_among_short_ratio(SEED, Engine::Policy);
    let (baseline, _) = long_among_short_ratio(SEED, Engine::FirstCome);

    assert!(ratio <= 2.0, "{ratio}");
    assert!(baseline > 2.0, "{baseline}");
    let long = report.group("long");
    assert!(long.good * 10 >= long.offered * 9, "{} of {}", long.good, long.offered);
}

/// A host fails every request at once, so it always has a free slot and attracts all work; half of
/// the callers' requests fail.
#[test]
fn host_that_fails_everything_attracts_no_work() {
    for (entries, fault) in [(1, Fault::FailsFast), (9, Fault::FailsFast), (9, Fault::Breaks)] {
        let (permille, _) = failing_host_permille(SEED, entries, fault, Engine::Policy);

        assert!(permille < 10.0, "{entries} entries, {fault:?}: {permille}");
    }
    let (baseline, _) = failing_host_permille(SEED, 1, Fault::FailsFast, Engine::FirstCome);
    assert!(baseline > 100.0, "{baseline}");
}

/// Every target breaks its connections for five seconds. Retrying every request would triple the
/// load on targets that can't handle it.
#[test]
fn outage_is_not_multiplied_by_retries() {
    let (attempts, report) = outage_attempt_ratio(SEED, Engine::Policy);

    let group = report.group("usual");
    assert!(attempts <= 1.1, "{attempts}");
    assert_eq!(group.false_not_run, 0);
    assert!(group.good * 10 >= group.offered * 7, "{} of {}", group.good, group.offered);
}

/// Four times capacity for one second, which the callers' deadlines allow for: no request that
/// could have been served should be refused.
#[test]
fn burst_is_served_where_it_can_be() {
    let (good, report) = burst_success_share(SEED, Engine::Policy);
    let (baseline, _) = burst_success_share(SEED, Engine::FirstCome);

    assert!(good >= baseline - 0.02, "{good} against {baseline}");
    assert_eq!(report.group("usual").false_not_run, 0);
}

/// Twenty thousand requests arrive and are cancelled together; the other callers must not notice.
#[test]
fn wave_of_cancellations_does_not_delay_others() {
    let (ratio, report) = cancelled_wave_ratio(SEED, Engine::Policy);

    assert!(ratio <= 1.5, "{ratio}");
    assert!(report.group("wave").cancelled > 1_000);
}

/// Normal and batch work fill every slot three times over; urgent work still has to start within
/// 2.4 s, and batch work must not be starved.
#[test]
fn urgent_work_starts_in_time_and_batch_work_is_not_starved() {
    let (wait, report) = urgent_wait(SEED, Engine::Policy);

    assert!(wait <= 2.4, "{wait}");
    assert_eq!(report.group("urgent").refusals(), 0);
    let batch = report.group("batch");
    assert!(batch.good as f64 >= 0.03 * rate(1.0) * 30.0, "{}", batch.good);
}

/// Two teams fill the slots; the one with three times the weight gets three times as much.
#[test]
fn teams_share_by_weight() {
    let mut heavy = Stream::new("heavy", rate(2.0), MEAN_RUN);
    (heavy.team, heavy.deadline) = (Some(("payroll", 3)), Duration::from_secs(2));
    let mut light = Stream::new("light", rate(2.0), MEAN_RUN);
    (light.team, light.deadline) = (Some(("quoting", 1)), Duration::from_secs(2));

    let report = run(&Plan::new(SEED, vec![heavy, light]), Engine::Policy);

    let ratio = report.group("heavy").good as f64 / report.group("light").good as f64;
    assert!((2.4..=3.6).contains(&ratio), "{ratio}");
}

/// Nine entries share the slots, reached evenly or not. While views agree no target may be sent
/// more requests than it has slots, and a request must not wait for seconds at one entry while
/// slots are idle at others.
#[test]
fn shared_slots_are_never_exceeded_and_hardly_wait() {
    for (skew, seed) in [(0.0, 1), (0.7, 2), (0.7, 3)] {
        let mut plan = Plan::new(seed, vec![Stream::new("all", rate(0.9), MEAN_RUN)]);
        (plan.entries, plan.skew) = (9, skew);

        let report = run(&plan, Engine::Policy);

        assert_eq!((report.max_in_flight, report.overcommitted), (8, 0), "skew {skew}");
        let wait = report.group("all").wait(99.0);
        assert!(wait <= Duration::from_millis(200), "skew {skew}: {wait:?}");
        assert_eq!(report.group("all").refusals(), 0);
    }
}

/// An entry is replaced while slots are lent, and the new view allocates them again. Requests still
/// running on lent slots may make new ones exceed a target's slots for a moment; the target refuses
/// those, and they run elsewhere without their callers noticing.
#[test]
fn replacing_an_entry_loses_no_request() {
    let mut stream = Stream::new("all", rate(0.6), MEAN_RUN);
    stream.retryable = false;
    let mut plan = Plan::new(SEED, vec![stream]);
    (plan.entries, plan.skew) = (9, 1.5);
    plan.entry_replaced_at = Some(Duration::from_secs(10));

    let report = run(&plan, Engine::Policy);

    let group = report.group("all");
    assert_eq!(group.good, group.offered);
    assert!(report.replaced_at.is_some_and(|at| at < plan.length), "{:?}", report.replaced_at);
    assert!(report.overcommitted <= 40, "{}", report.overcommitted);
}

/// At low load hardly any messages are sent.
#[test]
fn low_load_takes_hardly_any_messages() {
    let mut plan = Plan::new(SEED, vec![Stream::new("all", rate(0.1), MEAN_RUN)]);
    plan.entries = 9;

    let report = run(&plan, Engine::Policy);

    assert!(report.messages <= 30 * 5, "{}", report.messages);
}

#[test]
fn same_seed_gives_the_same_report() {
    let simulate = || {
        let mut plan = Plan::new(SEED, vec![Stream::new("all", rate(0.8), MEAN_RUN)]);
        (plan.entries, plan.length) = (3, Duration::from_secs(10));
        let report = run(&plan, Engine::Policy);
        (report.messages, report.attempts, report.group("all").wait(99.0))
    };

    assert_eq!(simulate(), simulate());
}
