//! Tests policies under the load that they are made for.

use std::time::Duration;

use borageswitch_types::Time;

use super::{
    circuit_breaker::CircuitBreaker,
    last_chance::{self, Allowance},
    order::{Class, JobView, Urgency},
    placement::{self, Candidate},
    speed_limits,
    stragglers::{self, ShortRun},
};
use crate::job::Size;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn job(accepted: u64, deadline: u64, remaining: u64) -> JobView {
    JobView {
        lasting: false,
        beyond_share: false,
        priority: 0,
        accepted: at(accepted),
        deadline: at(deadline),
        useful_until: at(accepted + 3 * (deadline - accepted)),
        remaining: Duration::from_millis(remaining),
    }
}

/// Returns how many of `jobs` (arrival, objective, duration, all in milliseconds) are on time when
/// a single slot serves them, always the one with the smallest `rank` next.
fn served_on_time<K, F>(jobs: &[(u64, u64, u64)], rank: F) -> usize
where
    K: Ord,
    F: Fn(&JobView, Time) -> K,
{
    let mut waiting: Vec<JobView> = jobs.iter().map(|&(a, o, l)| job(a, a + o, l)).collect();
    let mut now = at(0);
    let mut on_time = 0;
    while !waiting.is_empty() {
        let arrived = waiting.iter().filter(|job| job.accepted <= now);
        let Some(next) = arrived.min_by_key(|job| rank(job, now)).copied() else {
            now = waiting.iter().map(|job| job.accepted).min().unwrap();
            continue;
        };
        waiting.retain(|job| *job != next);
        now += next.remaining;
        on_time += usize::from(now <= next.deadline);
    }
    on_time
}

#[test]
fn overload_serves_jobs_that_can_be_on_time() {
    // A queue requests four times the capacity of its pool. Served by the earliest deadline alone,
    // the pool only runs jobs that are just about to be late, and nearly all of them are late
    // although the pool was busy all the time.
    let load: Vec<(u64, u64, u64)> = (0..400).map(|n| (n * 25 + n % 7, 1_000, 100)).collect();

    let by_urgency = served_on_time(&load, Urgency::of);
    let by_deadline = served_on_time(&load, |job, _| job.deadline);
    let by_arrival = served_on_time(&load, |job, _| job.accepted);

    assert!(by_urgency > 80, "{by_urgency}");
    assert!(by_urgency > 4 * by_deadline, "{by_urgency} against {by_deadline}");
    assert!(by_urgency > 4 * by_arrival, "{by_urgency} against {by_arrival}");
}

#[test]
fn a_lasting_task_goes_before_a_burst_of_short_ones() {
    // The users of a lasting task are without service until it runs again.
    let lasting = JobView { lasting: true, ..job(0, 10, 10_000) };

    let urgency = Urgency::of(&lasting, at(5_000));

    assert_eq!(urgency.class(), Class::Lasting);
    assert!(urgency < Urgency::of(&job(4_000, 6_000, 10), at(5_000)));
}

#[test]
fn tasks_are_packed_so_that_a_wide_one_still_fits() {
    // Many small tasks arrive before a large one. Spread evenly they would leave a little free
    // capacity on every host, and the largest jobs would wait for as long as small ones keep
    // arriving.
    let mut hosts = [cores(16); 4];
    for _ in 0..20 {
        let candidates = hosts.iter().enumerate().map(|(id, free)| Candidate {
            suspects: 0,
            crash_prone: false,
            tasks: 0,
            id,
            free: *free,
            interferes: false,
            wastes_scarce: false,
            preferred: true,
            in_use: *free != cores(16),
            siblings: 0,
            rack_siblings: 0,
        });
        let chosen = placement::choose(&cores(1), candidates).unwrap();
        hosts[chosen] = hosts[chosen].less(&cores(1));
    }

    let untouched = hosts.iter().filter(|free| **free == cores(16)).count();

    assert_eq!(untouched, 2);
}

#[test]
fn a_best_effort_task_is_placed_apart_from_a_serving_one() {
    // Beside best-effort tasks, a task that serves users responds late.
    let candidate = |id, interferes, in_use| Candidate {
        suspects: 0,
        crash_prone: false,
        tasks: 0,
        id,
        free: cores(8),
        interferes,
        wastes_scarce: false,
        preferred: true,
        in_use,
        siblings: 0,
        rack_siblings: 0,
    };
    let candidates = [candidate(0, true, true), candidate(1, false, false)];

    let chosen = placement::choose(&cores(1), candidates);

    assert_eq!(chosen, Some(1));
}

#[test]
fn an_executor_that_fails_everything_gets_few_runs() {
    // A host fails everything that it starts within a moment, so it is always the emptiest. Without
    // a circuit breaker it would attract all work and use up the attempts of jobs that could
    // succeed.
    let mut breaker = CircuitBreaker::default();
    let mut starts = 0;
    for millis in (0..10_000).step_by(10) {
        if breaker.allows(at(millis)) {
            starts += 1;
            breaker.record_failure(at(millis));
        }
    }

    assert!(starts <= 6, "{starts}");
}

#[test]
fn an_executor_that_recovers_gets_work_again() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(at(0));
    breaker.record_failure(at(10));
    assert!(!breaker.allows(at(100)));

    breaker.record_success();

    assert!(breaker.allows(at(101)));
}

#[test]
fn an_executor_that_still_runs_something_is_probed() {
    // Two jobs that can never succeed have failed on a healthy host that also runs a lasting task.
    // If only empty executors were probed, this one would never get work again, and tasks that can
    // only run there would wait forever beside its free capacity.
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(at(0));
    breaker.record_failure(at(10));

    assert!(breaker.allows(at(5_000)));
    breaker.record_placement(at(5_000));
    assert!(!breaker.allows(at(5_100)));
    assert!(breaker.allows(at(9_000)));
}

#[test]
fn best_effort_tasks_are_slowed_at_once_and_sped_up_slowly() {
    // The tail latency of a serving task exceeds its target within a second. Slowed down in small
    // steps, its neighbours would keep its users waiting until the last step.
    let mut limit = 100;
    for tail_percent in [130, 130, 130] {
        limit = speed_limits::next_limit(limit, tail_percent);
    }
    assert_eq!(limit, 0);

    let back = speed_limits::next_limit(limit, 30);

    assert!(back > 0 && back < 50, "{back}");
}

/// Returns whether a run is restarted if such runs usually take a second.
fn should_restart(millis: u64, percent: u8, restarts: u32) -> bool {
    stragglers::should_restart(&ShortRun {
        elapsed: Duration::from_millis(millis),
        percent,
        expected: Duration::from_millis(1_000),
        saved: 0.0,
        restarts,
    })
}

#[test]
fn a_run_without_progress_is_restarted_soon_and_a_long_one_is_not() {
    // A host stops for six seconds without any sign of it. If its runs are not replaced, each makes
    // its job late; but runs that are merely longer than declared must not be discarded.
    assert!(should_restart(1_500, 5, 0));
    assert!(should_restart(1_500, 0, 0));
    assert!(!should_restart(1_500, 60, 0));
    assert!(!should_restart(900, 0, 0));
}

#[test]
fn a_task_without_progress_on_any_host_is_restarted_less_and_less_often() {
    // Guards against a task that is much longer than declared and is stopped each time before it
    // could be done, so that its job never ends.
    let stops_in = |millis: u64| {
        let (mut at, mut stops) = (0, 0);
        while let Some(after) =
            (1..).map(|n| n * 100).find(|&after| should_restart(after, 0, stops))
        {
            at += after;
            if at > millis {
                break;
            }
            stops += 1;
        }
        stops
    };

    assert!(stops_in(10_000) <= 3);
    assert!(stops_in(600_000) <= 9);
    assert!(!stragglers::should_restart_lasting(Duration::from_secs(6), 0, 1));
    assert!(stragglers::should_restart_lasting(Duration::from_secs(8), 0, 1));
}

#[test]
fn a_lasting_run_that_will_serve_soon_is_left_alone() {
    // A host runs at a quarter of its speed for some seconds, and two tasks that serve the same
    // users start there. After almost four seconds they nearly serve. Stopped then, both are
    // unavailable where only one may be.
    let after = Duration::from_millis;

    assert!(!stragglers::should_restart_lasting(after(3_848), 84, 0));
    assert!(!stragglers::should_restart_lasting(after(3_844), 67, 0));
    assert!(stragglers::should_restart_lasting(after(3_844), 20, 0));
    assert!(stragglers::should_restart_lasting(after(3_844), 0, 0));
    assert!(!stragglers::should_restart_lasting(after(3_000), 0, 0));
}

#[test]
fn a_late_job_runs_before_it_is_of_no_use() {
    // During a long load peak there is always a job that can still be on time. A late one that only
    // gets the remaining capacity waits until it is of no use to its caller, although it would have
    // taken only a moment.
    let on_time = job(5_000, 8_000, 1_000);
    let late = job(0, 2_400, 1_000);

    assert!(!last_chance::is_due(&late, at(4_000)));
    assert!(last_chance::is_due(&late, at(5_400)));
    let ahead = Urgency::of(&late, at(5_400)).as_last_chance();
    assert!(ahead < Urgency::of(&on_time, at(5_400)), "{ahead:?}");
    assert!(!last_chance::is_due(&late, at(7_000)), "it is of no use any more");
}

#[test]
fn late_jobs_do_not_displace_those_that_can_be_on_time() {
    // A long load peak requests four times the available capacity. More jobs reach their last
    // chance than could run at all. Moved ahead without a limit, they would make every later job
    // late as well.
    let mut allowance = Allowance::new(100_000, 0);
    let granted = (0..40).filter(|_| allowance.try_take(5_000)).count();
    assert_eq!(granted, 4, "a fifth of the pool, in jobs of a twentieth");

    let mut in_use = Allowance::new(100_000, 20_000);
    assert!(!in_use.try_take(5_000));
}
