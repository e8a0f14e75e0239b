use std::time::Duration;

use borageswitch_types::Time;
use fastrand::Rng;

use super::{Candidate, Capacity, Load, choose};
use crate::policy::backlog::{Drain, EFFICIENCY};

/// A pool that completes one core-second per second.
fn hosts() -> Capacity {
    let drain = Drain::new(1.0 / EFFICIENCY, 0.0, Duration::ZERO);
    Capacity { drain: Some(drain), ..Capacity::default() }
}

/// A leader that starts ten tasks per second, on hosts with ample room.
fn leader() -> Capacity {
    Capacity { starts_per_s: Some(10.0), ..Capacity::default() }
}

fn candidate(deadline_ms: u64, remaining_ms: u64) -> Candidate {
    let deadline = Duration::from_millis(deadline_ms);
    Candidate {
        objective: deadline,
        deadline: Time::ZERO + deadline,
        remaining: Duration::ZERO,
        load: Load { work: remaining_ms as f64 / 1_000.0, tasks: remaining_ms as f64 / 100.0 },
        chosen: false,
    }
}

#[test]
fn the_order_is_unchanged_where_all_fit() {
    let candidates: Vec<Candidate> = (1..20).map(|n| candidate(n * 500, 500)).collect();

    assert_eq!(choose(Time::ZERO, &hosts(), &candidates), None);
}

#[test]
fn a_chosen_job_is_not_given_up_for_another() {
    // Newer jobs with earlier deadlines keep arriving. If each took the place of a waiting one, jobs
    // would be given up one after the other shortly before their turn.
    let chosen = Candidate { chosen: true, ..candidate(1_600, 1_000) };
    let newer = candidate(1_500, 800);

    let kept = choose(Time::ZERO, &hosts(), &[newer, chosen]).unwrap();

    assert_eq!(kept, [false, true]);
}

#[test]
fn a_chosen_job_that_cannot_be_on_time_any_more_makes_room() {
    let hopeless = Candidate { chosen: true, ..candidate(500, 1_000) };
    let other = candidate(1_500, 800);

    let kept = choose(Time::ZERO, &hosts(), &[hopeless, other]).unwrap();

    assert_eq!(kept, [false, true]);
}

/// The most work of any subset of the candidates that ends on time, by trying all of them.
fn best(candidates: &[Candidate]) -> f64 {
    let of_subset = |subset: u32| {
        let mut end = 0.0;
        for (index, candidate) in candidates.iter().enumerate() {
            if subset & 1 << index != 0 {
                end += candidate.load.work;
                if end > candidate.deadline.since(Time::ZERO).as_secs_f64() {
                    return 0.0;
                }
            }
        }
        end
    };
    (0..1 << candidates.len()).map(of_subset).fold(0.0, f64::max)
}

#[test]
fn nearly_as_much_is_on_time_as_could_be() {
    // All subsets of small backlogs that exceed the capacity, each job ten times as long as the
    // delay of a start and an end or more.
    let (mut chosen, mut bound) = (0.0, 0.0);
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let mut candidates: Vec<Candidate> =
            (0..12).map(|_| candidate(rng.u64(8_000..20_000), rng.u64(1_500..3_000))).collect();
        candidates.sort_by_key(|candidate| candidate.deadline);
        let Some(kept) = choose(Time::ZERO, &hosts(), &candidates) else { continue };
        let kept: Vec<Candidate> =
            candidates.iter().zip(kept).filter(|(_, kept)| *kept).map(|(c, _)| *c).collect();
        let work: f64 = kept.iter().map(|candidate| candidate.load.work).sum();
        assert!(best(&kept) >= work - 1e-9, "seed {seed}: not all are on time");
        chosen += work;
        bound += best(&candidates);
    }

    assert!(chosen >= 0.9 * bound, "{chosen} of {bound}");
}

#[test]
fn a_leader_that_can_start_too_few_tasks_chooses_like_hosts_with_too_little_room() {
    // Guards against jobs that all end late behind a slow leader while hosts have room.
    let candidates: Vec<Candidate> = (0..10).map(|_| candidate(2_000, 500)).collect();

    let by_leader = choose(Time::ZERO, &leader(), &candidates).unwrap();

    assert_eq!(by_leader, choose(Time::ZERO, &hosts(), &candidates).unwrap());
    assert_eq!(by_leader.iter().filter(|kept| **kept).count(), 3);
}
