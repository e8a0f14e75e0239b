//! Each decision under the load that it answers.

use std::time::Duration;

use borageswitch_types::Time;

use super::{
    circuit_breaker::Trust,
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

/// How many of `jobs` (arrival, objective, length, all in milliseconds) are on time when a single
/// slot serves them, the next always being the one with the least `rank`.
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
fn overload_serves_those_that_can_be_on_time() {
    // A queue asks for four times what its pool holds. Served by the earliest deadline alone, the
    // pool spends itself on jobs that are just about to be late; callers see nearly all of them
    // late although the pool was busy all the time.
    let rush: Vec<(u64, u64, u64)> = (0..400).map(|n| (n * 25 + n % 7, 1_000, 100)).collect();

    let by_urgency = served_on_time(&rush, Urgency::of);
    let by_deadline = served_on_time(&rush, |job, _| job.deadline);
    let by_arrival = served_on_time(&rush, |job, _| job.accepted);

    assert!(by_urgency > 80, "{by_urgency}");
    assert!(by_urgency > 4 * by_deadline, "{by_urgency} against {by_deadline}");
    assert!(by_urgency > 4 * by_arrival, "{by_urgency} against {by_arrival}");
}

#[test]
fn a_lasting_task_goes_before_a_rush_of_short_ones() {
    // The users of a lasting task are without service until it runs again.
    let lasting = JobView { lasting: true, ..job(0, 10, 10_000) };

    let urgency = Urgency::of(&lasting, at(5_000));

    assert_eq!(urgency.class(), Class::Lasting);
    assert!(urgency < Urgency::of(&job(4_000, 6_000, 10), at(5_000)));
}

#[test]
fn tasks_are_packed_so_that_a_wide_one_still_fits() {
    // Many small tasks arrive before a large one. Spread evenly they would leave a little room on
    // every host, and the largest jobs would wait for as long as small ones keep coming.
    let mut hosts = [cores(16); 4];
    for _ in 0..20 {
        let candidates = hosts.iter().enumerate().map(|(id, free)| Candidate {
            suspects: 0,
            unsteady: false,
            tasks: 0,
            id,
            free: *free,
            disturbs: false,
            wasted: false,
            near: true,
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
fn a_task_that_fills_gaps_stays_away_from_one_that_serves() {
    // Beside work that fills gaps, a task that serves users answers late, and its users notice.
    let candidate = |id, disturbs, in_use| Candidate {
        suspects: 0,
        unsteady: false,
        tasks: 0,
        id,
        free: cores(8),
        disturbs,
        wasted: false,
        near: true,
        in_use,
        siblings: 0,
        rack_siblings: 0,
    };
    let candidates = [candidate(0, true, true), candidate(1, false, false)];

    let chosen = placement::choose(&cores(1), candidates);

    assert_eq!(chosen, Some(1));
}

#[test]
fn an_executor_that_fails_everything_gets_little() {
    // A host fails whatever it starts within a moment, so it is always the emptiest. Trusted, it
    // would draw all work and use up the attempts of jobs that could be done.
    let mut trust = Trust::default();
    let mut starts = 0;
    for millis in (0..10_000).step_by(10) {
        if trust.allows(at(millis)) {
            starts += 1;
            trust.failed(at(millis));
        }
    }

    assert!(starts <= 6, "{starts}");
}

#[test]
fn an_executor_that_recovers_gets_work_again() {
    let mut trust = Trust::default();
    trust.failed(at(0));
    trust.failed(at(10));
    assert!(!trust.allows(at(100)));

    trust.succeeded();

    assert!(trust.allows(at(101)));
}

#[test]
fn a_doubted_executor_that_still_runs_something_is_tried_again() {
    // Two jobs that can never be done have failed on a sound host that also runs a lasting task.
    // Tried only when empty, it would never get work again, and what only it can run would wait
    // for ever beside its free room.
    let mut trust = Trust::default();
    trust.failed(at(0));
    trust.failed(at(10));

    assert!(trust.allows(at(5_000)));
    trust.placed(at(5_000));
    assert!(!trust.allows(at(5_100)));
    assert!(trust.allows(at(9_000)));
}

#[test]
fn fillers_give_way_at_once_and_come_back_slowly() {
    // The tail of a serving task grows beyond its target within a second. Slowed in small steps,
    // its neighbours would keep its users waiting for the length of the whole descent.
    let mut pace = 100;
    for tail_percent in [130, 130, 130] {
        pace = speed_limits::next_pace(pace, tail_percent);
    }
    assert_eq!(pace, 0);

    let back = speed_limits::next_pace(pace, 30);

    assert!(back > 0 && back < 50, "{back}");
}

/// Whether a run is given up of whose kind most take a second.
fn gives_up(millis: u64, percent: u8, given_up: u32) -> bool {
    stragglers::gives_up(&ShortRun {
        elapsed: Duration::from_millis(millis),
        percent,
        expected: Duration::from_millis(1_000),
        kept: 0.0,
        given_up,
    })
}

#[test]
fn a_run_that_stands_still_is_given_up_soon_and_a_slow_estimate_is_not() {
    // A host stands still for six seconds without a sign of it. Waited for, each of its runs makes
    // its job late; but runs that are merely longer than declared must not be thrown away.
    assert!(gives_up(1_500, 5, 0));
    assert!(gives_up(1_500, 0, 0));
    assert!(!gives_up(1_500, 60, 0));
    assert!(!gives_up(900, 0, 0));
}

#[test]
fn a_task_that_stands_still_wherever_it_runs_is_given_up_ever_more_seldom() {
    // Guards against a task that is much longer than declared and is stopped each time before it
    // could be done, so that its job never ends.
    let stops_in = |millis: u64| {
        let (mut at, mut stops) = (0, 0);
        while let Some(after) = (1..).map(|n| n * 100).find(|&after| gives_up(after, 0, stops)) {
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
    assert!(!stragglers::gives_up_lasting(Duration::from_secs(6), 0, 1));
    assert!(stragglers::gives_up_lasting(Duration::from_secs(8), 0, 1));
}

#[test]
fn a_lasting_run_that_will_be_at_work_soon_is_let_be() {
    // A host works at a quarter of its speed for some seconds, and two tasks that serve the same users
    // start there. After almost four seconds they are nearly at work. Stopped then, both are away
    // where one may be.
    let after = Duration::from_millis;

    assert!(!stragglers::gives_up_lasting(after(3_848), 84, 0));
    assert!(!stragglers::gives_up_lasting(after(3_844), 67, 0));
    assert!(stragglers::gives_up_lasting(after(3_844), 20, 0));
    assert!(stragglers::gives_up_lasting(after(3_844), 0, 0));
    assert!(!stragglers::gives_up_lasting(after(3_000), 0, 0));
}

#[test]
fn a_late_job_runs_before_it_is_of_no_use() {
    // A rush lasts: there is always a job that can still be on time. A late one that only gets what
    // these leave waits until it is of no use to its caller, although it would have taken a moment.
    let on_time = job(5_000, 8_000, 1_000);
    let late = job(0, 2_400, 1_000);

    assert!(!last_chance::is_due(&late, at(4_000)));
    assert!(last_chance::is_due(&late, at(5_400)));
    let ahead = Urgency::of(&late, at(5_400)).let_ahead();
    assert!(ahead < Urgency::of(&on_time, at(5_400)), "{ahead:?}");
    assert!(!last_chance::is_due(&late, at(7_000)), "it is of no use any more");
}

#[test]
fn late_jobs_do_not_push_out_those_that_can_be_on_time() {
    // A rush asks for four times what there is, for long. More jobs come to their last moment than
    // could run at all: let ahead without a limit, they would make every later job late as well.
    let mut allowance = Allowance::of(100_000, 0);
    let granted = (0..40).filter(|_| allowance.take(5_000)).count();
    assert_eq!(granted, 4, "a fifth of the pool, in jobs of a twentieth");

    let mut in_use = Allowance::of(100_000, 20_000);
    assert!(!in_use.take(5_000));
}
