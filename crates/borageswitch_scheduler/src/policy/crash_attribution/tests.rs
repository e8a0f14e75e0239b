//! Crashes beside sound neighbours, on calm sites and on bad ones.

use borageswitch_types::names::ExecutorName;

use super::*;

/// Crashes a second that a sound task sees on a site where hosts hardly ever crash.
const CALM: f64 = 1.0 / 3_000.0;
/// The same where each host crashes twice a minute.
const BAD: f64 = 1.0 / 30.0;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn crash(number: u64, age_ms: u64, evidence: u32) -> Crash {
    Crash {
        executor: ExecutorName::from(format!("e{number}")),
        at: UnixMillis(1_000 * number),
        run: number as u32,
        age_ms,
        lived_ms: 0,
        evidence,
    }
}

/// A task that crashes each executor `window` after it has started, beside `neighbours` jobs that
/// were started with it and run elsewhere the next time. Gives the crashes until it is given up.
fn crashes_until_given_up(window: Duration, neighbours: usize, rate: f64) -> usize {
    let mut crashes: Vec<Crash> = Vec::new();
    while Standing::of(&crashes) != Standing::Culprit {
        let sum = crashes.iter().map(|crash| crash.evidence).sum();
        let mut present = vec![Present { evidence: sum, window }];
        present.resize(1 + neighbours, Present { evidence: 0, window });
        let number = crashes.len() as u64 + 1;
        let gained = evidence(shares(&present)[0], window, rate);
        crashes.push(crash(number, window.as_millis() as u64, gained));
    }
    crashes.len()
}

#[test]
fn a_culprit_is_told_from_its_neighbours_within_a_few_crashes() {
    assert!(crashes_until_given_up(millis(15), 0, CALM) <= 2);
    assert!(crashes_until_given_up(millis(15), 4, CALM) <= 4);
    assert!(crashes_until_given_up(millis(500), 4, CALM) <= MOST_CRASHES);
}

#[test]
fn a_culprit_is_started_at_most_five_times_however_bad_the_site() {
    // Guards against evidence that never suffices because hosts crash all the time anyway.
    assert_eq!(crashes_until_given_up(millis(800), 12, BAD), MOST_CRASHES);
}

#[test]
fn a_crash_that_is_learned_of_late_counts_for_the_bound() {
    // Guards against a culprit whose crashes are noticed only when a look has run out of time.
    let late = |number| crash(number, 5_000, 0);
    let long_lived = |number| Crash { lived_ms: 4_000, ..late(number) };

    assert_eq!(Standing::of(&(1..=5).map(late).collect::<Vec<_>>()), Standing::Culprit);
    assert_eq!(Standing::of(&(1..=9).map(long_lived).collect::<Vec<_>>()), Standing::Isolated);
}

#[test]
fn a_task_that_goes_along_with_a_culprit_is_not_given_up_in_its_place() {
    // Both are on each executor that crashes, as one host after the other has room for both: nothing
    // tells them apart, and half of the evidence goes to each.
    let window = millis(15);
    let alike = shares(&[Present { evidence: 1_000, window }, Present { evidence: 1_000, window }]);

    let gained = evidence(alike[0], window, CALM);

    assert!(Standing::of(&[crash(1, 15, gained), crash(2, 15, gained)]) < Standing::Culprit);
}

#[test]
fn whoever_had_run_for_long_is_a_less_likely_cause_than_whoever_has_just_started() {
    let started = Present { evidence: 0, window: millis(15) };
    let at_work = Present { evidence: 0, window: millis(30_000) };

    let shares = shares(&[started, at_work, at_work]);

    assert!(shares[0] > 0.99, "{shares:?}");
}

#[test]
fn a_run_that_lives_on_clears_its_task() {
    assert!(refutes(millis(700), &crash(1, 100, 3_000)));
    assert!(!refutes(millis(700), &crash(1, 400, 3_000)));
}

#[test]
fn a_rack_that_is_lost_is_a_common_cause_unless_a_job_had_started_all_over_it() {
    assert!(has_common_cause(3, 0));
    assert!(has_common_cause(3, 2));
    assert!(!has_common_cause(3, 4));
    assert!(!has_common_cause(1, 0));
}

#[test]
fn the_tasks_of_a_job_that_crash_executors_by_turns_are_given_up_together() {
    let by_turns = [crash(1, 15, 3_000), crash(2, 15, 3_000), crash(3, 15, 3_000)];
    let at_once = by_turns.clone().map(|crash| Crash { at: UnixMillis(1), ..crash });

    assert!(is_certain_of_job(&by_turns, 3));
    assert!(!is_certain_of_job(&at_once, 3), "one cause may explain them all");
    assert!(!is_certain_of_job(&by_turns, 1_000), "some of a thousand tasks meet with crashes");
}
