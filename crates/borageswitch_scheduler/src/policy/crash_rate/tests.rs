//! Crash rates of calm sites, failing hosts and tasks that cause crashes themselves.

use super::*;

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn jobs(names: &[&str]) -> BTreeSet<JobName> {
    names.iter().map(|name| JobName::from(*name)).collect()
}

fn rate(history: &History, job: &str, host: &str) -> f64 {
    let (job, host) = (JobName::from(job), HostName::from(host));
    history.rate(at(100), at(0), &Site { job: &job, host: Some(&host), executors: 50 })
}

#[test]
fn a_host_that_fails_again_and_again_counts_for_itself() {
    let mut history = History::default();
    for second in 90..100 {
        history.note(at(second), Some(HostName::from("bad")), jobs(&["j"]));
    }

    assert!(rate(&history, "new", "bad") > 10.0 * rate(&history, "new", "good"));
    assert!(history.is_unsteady(at(100), &HostName::from("bad")));
    assert!(!history.is_unsteady(at(200), &HostName::from("bad")));
}

#[test]
fn what_happens_under_a_job_makes_no_crash_rate_for_it() {
    // Guards against a culprit that looks the more innocent the more hosts it has taken down.
    let mut history = History::default();
    let before = rate(&history, "culprit", "h");
    for second in 90..100 {
        history.note(at(second), Some(HostName::from("h")), jobs(&["culprit", "other"]));
    }

    assert!((rate(&history, "culprit", "h") - before).abs() < 1e-9);
    assert!(rate(&history, "third", "h") > before);
}

#[test]
fn a_culprit_once_found_explains_the_crashes_under_it() {
    let mut history = History::default();
    history.note(at(99), None, jobs(&["culprit", "other"]));

    history.explain(&JobName::from("culprit"));

    assert!(history.is_empty());
}
