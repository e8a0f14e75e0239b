//! Each decision under the load that it answers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use borageswitch_types::{Time, names::PoolName};

use super::{
    last_chance::{self, Allowance},
    lasting::{self, Room, Seeker},
    lending::{self, ArrivalRate, IdleHost, LabelNeed, Move, Need, PoolLoad},
    order::{Class, JobView, Urgency},
    pacing,
    placing::{self, Candidate},
    stragglers,
    trust::Trust,
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
            id,
            free: *free,
            disturbs: false,
            wasted: false,
            near: true,
            in_use: *free != cores(16),
            siblings: 0,
            rack_siblings: 0,
        });
        let chosen = placing::choose(&cores(1), candidates).unwrap();
        hosts[chosen] = hosts[chosen].less(&cores(1));
    }

    let untouched = hosts.iter().filter(|free| **free == cores(16)).count();

    assert_eq!(untouched, 2);
}

#[test]
fn a_task_that_fills_gaps_stays_away_from_one_that_serves() {
    // Beside work that fills gaps, a task that serves users answers late, and its users notice.
    let candidate = |id, disturbs, in_use| Candidate {
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

    let chosen = placing::choose(&cores(1), candidates);

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
        pace = pacing::next_pace(pace, tail_percent);
    }
    assert_eq!(pace, 0);

    let back = pacing::next_pace(pace, 30);

    assert!(back > 0 && back < 50, "{back}");
}

fn idle(hosts: &[(&'static str, u64, &str)]) -> Vec<IdleHost<&'static str>> {
    let each = hosts.iter().map(|(host, ms, label)| IdleHost {
        host: *host,
        idle: Duration::from_millis(*ms),
        labels: vec![Arc::from(*label)],
        scarce: *label == "b",
    });
    each.collect()
}

fn load(
    pool: &str,
    hosts: usize,
    idle_hosts: &[(&'static str, u64, &str)],
) -> PoolLoad<&'static str> {
    PoolLoad {
        pool: PoolName::from(pool),
        standby: false,
        hosts,
        idle: idle(idle_hosts),
        busy: Vec::new(),
        need: Need::default(),
        labelled: Vec::new(),
        lasting: Vec::new(),
        data_racks: BTreeSet::new(),
        arriving_cores: 0.0,
        host: cores(64),
        has_short_work: true,
    }
}

fn wanting(hosts: u64) -> Need {
    Need { demand: cores(hosts * 54), apart: 0 }
}

#[test]
fn a_pool_in_its_turn_gets_hosts_that_are_off_and_then_idle_ones() {
    // One queue's turn begins while the others rest: its pool holds a quarter of what it asks for.
    let busy = PoolLoad { need: wanting(5), ..load("roster", 2, &[]) };
    let hosts = [("t1", 100, "a"), ("t2", 90, "a"), ("t3", 80, "a"), ("t4", 70, "a")];
    let idle = load("tender", 5, &hosts);
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[busy, idle, off], |_, _| true);

    let hosts: Vec<&str> = moves.iter().map(|m| m.host).collect();
    assert_eq!(hosts, ["s1", "t1", "t2"]);
    assert!(moves.iter().all(|m| m.to.as_str() == "roster"));
}

#[test]
fn an_idle_host_is_switched_off_but_a_few_stay_for_the_next_turn() {
    let hosts = [("t1", 5_000, "a"), ("t2", 5_000, "a"), ("t3", 5_000, "a"), ("t4", 5_000, "a")];
    let idle = load("tender", 4, &hosts);
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[idle, off], |_, _| true);

    assert_eq!(moves.len(), 2);
    assert!(moves.iter().all(|m| m.to.as_str() == "spare"));
}

#[test]
fn a_host_that_cannot_be_in_a_pool_is_not_sent_there() {
    let busy = PoolLoad { need: wanting(1), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[busy, off], |_, _| false);

    assert!(moves.is_empty());
}

#[test]
fn a_task_that_needs_a_label_gets_a_host_that_has_it() {
    // Only some hosts have what a task needs. Were they switched off like any other, or lent to a
    // pool that can do without, the task would wait for ever beside idle hosts.
    let need = Need { demand: cores(1), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, hosts: 0 };
    let wants = PoolLoad { need, labelled: vec![label], ..load("roster", 3, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 2, &[("s1", 0, "a"), ("s2", 0, "b")]) };

    let moves = lending::decide(&[wants, off], |_, _| true);

    assert_eq!(moves, [Move { host: "s2", to: PoolName::from("roster") }]);
}

#[test]
fn a_scarce_host_is_left_to_those_who_need_it() {
    // A pool whose tasks can run anywhere takes the only host of a kind; a job that needs the kind
    // waits until the rush is over.
    let busy = PoolLoad { need: wanting(1), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 2, &[("s1", 0, "b"), ("s2", 0, "a")]) };

    let moves = lending::decide(&[busy, off], |_, _| true);

    assert_eq!(moves, [Move { host: "s2", to: PoolName::from("roster") }]);
}

#[test]
fn the_last_host_with_a_label_in_demand_stays() {
    let need = Need { demand: cores(1), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, hosts: 1 };
    let idle = [("t1", 9_000, "b"), ("t2", 9_000, "a"), ("t3", 9_000, "a"), ("t4", 9_000, "a")];
    let rests = PoolLoad { labelled: vec![label], ..load("tender", 4, &idle) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[rests, off], |_, _| true);

    assert!(!moves.is_empty());
    assert!(moves.iter().all(|m| m.host != "t1"), "{moves:?}");
}

#[test]
fn arrivals_are_forgotten_after_their_turn() {
    // A turn has ended. Believed to go on, it would keep hosts in a pool that has nothing to do.
    let mut rate = ArrivalRate::default();
    for n in 0..100 {
        rate.arrived(at(n * 50), 5.0);
    }
    assert!((80.0..120.0).contains(&rate.cores(at(5_000))), "{}", rate.cores(at(5_000)));

    assert!(rate.cores(at(13_000)) < 1.0);
}

#[test]
fn a_turn_is_believed_within_half_a_second() {
    // A queue's turn begins: forty jobs a second of five core-seconds each, from one moment to the
    // next. Each tenth of a second until its hosts are sent for makes its first jobs late.
    let mut rate = ArrivalRate::default();
    for n in 0..20 {
        rate.arrived(at(n * 25), 5.0);
    }

    let believed = rate.cores(at(500));

    assert!(believed > 150.0, "{believed} of 200 cores");
}

#[test]
fn a_run_that_stands_still_is_given_up_soon_and_a_slow_estimate_is_not() {
    // A host stands still for six seconds without a sign of it. Waited for, each of its runs makes
    // its job late; but runs that are merely longer than declared must not be thrown away.
    let expected = Duration::from_millis(1_000);
    let after = Duration::from_millis;

    assert!(stragglers::gives_up(after(1_500), 5, expected, 0.0));
    assert!(stragglers::gives_up(after(1_500), 0, expected, 0.0));
    assert!(!stragglers::gives_up(after(1_500), 60, expected, 0.0));
    assert!(!stragglers::gives_up(after(900), 0, expected, 0.0));
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

#[test]
fn a_reserve_gives_up_the_last_host_with_a_wanted_label() {
    // Two pools keep idle hosts for their next turn, among them the only free one with a label.
    // Kept there, the tasks of a third pool that need it would wait beside it.
    let need = Need { demand: cores(1), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, hosts: 0 };
    let wants = PoolLoad { labelled: vec![label], ..load("roster", 3, &[]) };
    let rests = load("tender", 2, &[("t1", 9_000, "a"), ("t2", 9_000, "b")]);
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[wants, rests, off], |_, _| true);

    assert_eq!(moves, [Move { host: "t2", to: PoolName::from("roster") }]);
}

#[test]
fn a_lasting_task_gets_a_host_that_short_tasks_use() {
    // Short tasks of another pool work off their backlog on all hosts with a label. A lasting task
    // that waited for them would leave its users without service for as long as the backlog lasts.
    let need = Need { demand: cores(900), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, hosts: 1 };
    let busy = idle(&[("t1", 0, "b")]);
    let rushes = PoolLoad { labelled: vec![label], busy, ..load("tender", 1, &[]) };
    let wants = PoolLoad { lasting: vec![Some("b".into())], ..load("roster", 3, &[]) };

    let moves = lending::decide(&[rushes, wants], |_, _| true);

    assert_eq!(moves, [Move { host: "t1", to: PoolName::from("roster") }]);
}

#[test]
fn a_turn_that_rises_is_asked_for_ahead() {
    // The load of a queue rises for two seconds, from nothing to two hundred cores. Hosts take some
    // two seconds to come: asked for by what has come so far, they are too few all the way up.
    let mut rate = ArrivalRate::default();
    for n in 0..40 {
        rate.arrived(at(n * 25), 0.125 * n as f64);
    }

    let at_half = rate.cores(at(1_000));

    assert!(at_half > 150.0, "{at_half} cores asked for while 200 a second arrive");
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
