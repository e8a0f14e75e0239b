//! Crashes beside healthy neighbours, on stable and on unstable sites.

use borageswitch_types::names::ExecutorName;

use super::*;

/// Crashes per second that a healthy task sees on a site where hosts hardly ever crash.
const STABLE: f64 = 1.0 / 3_000.0;
/// The same where each host crashes twice a minute.
const UNSTABLE: f64 = 1.0 / 30.0;

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

/// Returns after how many crashes a task is given up that crashes each executor `window` after its
/// start, beside `neighbours` jobs that are started with it and run on other hosts the next time.
fn crashes_until_given_up(window: Duration, neighbours: usize, rate: f64) -> usize {
    let mut crashes: Vec<Crash> = Vec::new();
    while SuspicionLevel::of(&crashes) != SuspicionLevel::Poison {
        let sum = crashes.iter().map(|crash| crash.evidence).sum();
        let mut jobs = vec![PossibleCause { evidence: sum, window }];
        jobs.resize(1 + neighbours, PossibleCause { evidence: 0, window });
        let number = crashes.len() as u64 + 1;
        let gained = evidence(cause_probabilities(&jobs)[0], window, rate);
        crashes.push(crash(number, window.as_millis() as u64, gained));
    }
    crashes.len()
}

#[test]
fn a_poison_task_is_distinguished_from_its_neighbours_within_a_few_crashes() {
    assert!(crashes_until_given_up(millis(15), 0, STABLE) <= 2);
    assert!(crashes_until_given_up(millis(15), 4, STABLE) <= 4);
    assert!(crashes_until_given_up(millis(500), 4, STABLE) <= MAX_CRASHES);
}

#[test]
fn a_poison_task_is_started_at_most_five_times_however_unstable_the_site() {
    // Guards against evidence that never reaches the threshold because hosts crash all the time
    // anyway.
    assert_eq!(crashes_until_given_up(millis(800), 12, UNSTABLE), MAX_CRASHES);
}

#[test]
fn a_crash_that_is_noticed_late_counts_for_the_bound() {
    // Guards against a poison task whose crashes are noticed only when a poll times out.
    let late = |number| crash(number, 5_000, 0);
    let long_lived = |number| Crash { lived_ms: 4_000, ..late(number) };

    assert_eq!(SuspicionLevel::of(&(1..=5).map(late).collect::<Vec<_>>()), SuspicionLevel::Poison);
    assert_eq!(
        SuspicionLevel::of(&(1..=9).map(long_lived).collect::<Vec<_>>()),
        SuspicionLevel::Clear
    );
}

#[test]
fn a_task_that_runs_with_a_poison_task_is_not_given_up_in_its_place() {
    // Both tasks are on each executor that crashes, as one host after the other has free capacity
    // for both. Nothing distinguishes them, so each gets half of the evidence.
    let window = millis(15);
    let alike = cause_probabilities(&[
        PossibleCause { evidence: 1_000, window },
        PossibleCause { evidence: 1_000, window },
    ]);

    let gained = evidence(alike[0], window, STABLE);

    assert!(
        SuspicionLevel::of(&[crash(1, 15, gained), crash(2, 15, gained)]) < SuspicionLevel::Poison
    );
}

#[test]
fn a_long_running_job_is_a_less_likely_cause_than_one_that_has_just_started() {
    let started = PossibleCause { evidence: 0, window: millis(15) };
    let at_work = PossibleCause { evidence: 0, window: millis(30_000) };

    let probabilities = cause_probabilities(&[started, at_work, at_work]);

    assert!(probabilities[0] > 0.99, "{probabilities:?}");
}

#[test]
fn a_run_that_lives_long_enough_exonerates_its_task() {
    assert!(exonerates(millis(700), &crash(1, 100, 3_000)));
    assert!(!exonerates(millis(700), &crash(1, 400, 3_000)));
}

#[test]
fn a_lost_rack_is_a_common_cause_unless_a_job_had_started_on_most_of_it() {
    let crashed = |others| Coincidence { others, unexplained: others };

    assert!(crashed(3).has_common_cause(0));
    assert!(crashed(3).has_common_cause(2));
    assert!(!crashed(3).has_common_cause(4));
    assert!(!crashed(1).has_common_cause(0));
}

#[test]
fn isolated_suspects_that_crash_executors_together_are_no_common_cause() {
    // Guards against culprits that hide behind each other because they are started at one moment.
    let culprits = Coincidence { others: 4, unexplained: 0 };
    let rack = Coincidence { others: 4, unexplained: 1 };

    assert!(!culprits.has_common_cause(1));
    assert!(rack.has_common_cause(1));
}

#[test]
fn evidence_against_several_tasks_of_a_job_adds_up() {
    let separate = [crash(1, 15, 3_000), crash(2, 15, 3_000), crash(3, 15, 3_000)];
    let at_once = separate.clone().map(|crash| Crash { at: UnixMillis(1), ..crash });

    assert!(is_poison_job(&separate, 3));
    assert!(!is_poison_job(&at_once, 3), "a single cause may explain all crashes");
    assert!(!is_poison_job(&separate, 1_000), "some of a thousand tasks see unrelated crashes");
}

#[test]
fn victims_of_one_crash_are_not_isolated() {
    // Guards against sound tasks that each wait for a host of their own: a dozen of them had been at
    // work on an executor that a task crashed 15 ms after its start.
    let window = millis(15);
    let mut jobs = vec![PossibleCause { evidence: 0, window }];
    jobs.resize(13, PossibleCause { evidence: 0, window: millis(600) });
    let gained: Vec<u32> = cause_probabilities(&jobs)
        .into_iter()
        .zip(&jobs)
        .map(|(probability, job)| evidence(probability, job.window, STABLE))
        .collect();

    let level = |evidence| SuspicionLevel::of(&[crash(1, 600, evidence)]);

    assert_eq!(level(gained[0]), SuspicionLevel::Suspect);
    assert!(gained[1..].iter().all(|&evidence| level(evidence) == SuspicionLevel::Clear));
}

#[test]
fn losses_of_unknown_cause_do_not_lower_the_proof() {
    // Guards against a verdict that needs less evidence because the task was also lost with executors
    // of which nothing is known.
    let unknown = |number| crash(number, u64::MAX, 0);
    let crashes =
        [crash(1, 1_000, 1_500), unknown(2), unknown(3), unknown(4), crash(5, 500, 1_100)];

    assert_eq!(SuspicionLevel::of(&crashes), SuspicionLevel::Isolated);
}
