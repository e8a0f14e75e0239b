use std::time::Duration;

use borageswitch_types::Time;
use fastrand::Rng;

use super::{Candidate, choose};
use crate::policy::backlog::{Drain, EFFICIENCY};

/// A pool that completes one core-second per second.
fn drain() -> Drain {
    Drain::new(1.0 / EFFICIENCY, 0.0, Duration::ZERO)
}

fn candidate(deadline_ms: u64, remaining_ms: u64) -> Candidate {
    let deadline = Duration::from_millis(deadline_ms);
    Candidate {
        objective: deadline,
        deadline: Time::ZERO + deadline,
        remaining: Duration::ZERO,
        work: remaining_ms as f64 / 1_000.0,
        chosen: false,
    }
}

#[test]
fn the_order_is_unchanged_where_all_fit() {
    let candidates: Vec<Candidate> = (1..20).map(|n| candidate(n * 500, 500)).collect();

    assert_eq!(choose(Time::ZERO, &drain(), &candidates), None);
}

#[test]
fn a_chosen_job_is_not_given_up_for_another() {
    // Newer jobs with earlier deadlines keep arriving. If each took the place of a waiting one, jobs
    // would be given up one after the other shortly before their turn.
    let chosen = Candidate { chosen: true, ..candidate(1_600, 1_000) };
    let newer = candidate(1_500, 800);

    let kept = choose(Time::ZERO, &drain(), &[newer, chosen]).unwrap();

    assert_eq!(kept, [false, true]);
}

#[test]
fn a_chosen_job_that_cannot_be_on_time_any_more_makes_room() {
    let hopeless = Candidate { chosen: true, ..candidate(500, 1_000) };
    let other = candidate(1_500, 800);

    let kept = choose(Time::ZERO, &drain(), &[hopeless, other]).unwrap();

    assert_eq!(kept, [false, true]);
}

/// The most work of any subset of the candidates that ends on time, by trying all of them.
fn best(candidates: &[Candidate]) -> f64 {
    let of_subset = |subset: u32| {
        let mut end = 0.0;
        for (index, candidate) in candidates.iter().enumerate() {
            if subset & 1 << index != 0 {
                end += candidate.work;
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
        let Some(kept) = choose(Time::ZERO, &drain(), &candidates) else { continue };
        let kept: Vec<Candidate> =
            candidates.iter().zip(kept).filter(|(_, kept)| *kept).map(|(c, _)| *c).collect();
        let work: f64 = kept.iter().map(|candidate| candidate.work).sum();
        assert!(best(&kept) >= work - 1e-9, "seed {seed}: not all are on time");
        chosen += work;
        bound += best(&candidates);
    }

    assert!(chosen >= 0.9 * bound, "{chosen} of {bound}");
}
