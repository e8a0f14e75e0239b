//! Crash rates of stable sites, failing hosts and poison tasks.

use super::*;

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn jobs(names: &[&str]) -> BTreeSet<JobName> {
    names.iter().map(|name| JobName::from(*name)).collect()
}

fn rate(history: &CrashHistory, job: &str, host: &str) -> f64 {
    let (job, host) = (JobName::from(job), HostName::from(host));
    history.rate(at(100), at(0), &RateContext { job: &job, host: Some(&host), executors: 50 })
}

#[test]
fn a_host_that_crashes_repeatedly_has_its_own_rate() {
    let mut history = CrashHistory::default();
    for second in 90..100 {
        history.add_crash(at(second), Some(HostName::from("bad")), jobs(&["j"]));
    }

    assert!(rate(&history, "new", "bad") > 10.0 * rate(&history, "new", "good"));
    assert!(history.is_crash_prone(at(100), &HostName::from("bad")));
    assert!(!history.is_crash_prone(at(200), &HostName::from("bad")));
}

#[test]
fn crashes_under_a_job_do_not_raise_its_own_crash_rate() {
    // Guards against a poison task that seems less suspicious the more hosts it has crashed.
    let mut history = CrashHistory::default();
    let before = rate(&history, "poison", "h");
    for second in 90..100 {
        history.add_crash(at(second), Some(HostName::from("h")), jobs(&["poison", "other"]));
    }

    assert!((rate(&history, "poison", "h") - before).abs() < 1e-9);
    assert!(rate(&history, "third", "h") > before);
}

#[test]
fn crashes_under_an_identified_poison_task_do_not_count() {
    let mut history = CrashHistory::default();
    history.add_crash(at(99), None, jobs(&["poison", "other"]));

    history.discard_caused_by(&JobName::from("poison"));

    assert!(history.is_empty());
}
