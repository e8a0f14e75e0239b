use std::time::Duration;

use super::pause;

/// How many decisions a second of events takes, which come every so many microseconds.
fn decisions(every: u64, cost: u64) -> u64 {
    let second = 1_000_000;
    let (mut now, mut last, mut count) = (0, None, 0);
    while now < second {
        let wait = last.map_or(Duration::ZERO, |last| pause(Duration::from_micros(now - last)));
        now += wait.as_micros() as u64;
        last = Some(now);
        count += 1;
        // The next decision waits for an event that has come since.
        now = (now + cost).max(now + every);
    }
    count
}

#[test]
fn thousands_of_answers_cost_some_hundred_decisions() {
    // An executor's end or an answer comes every half millisecond. One decision at once, then one
    // every four milliseconds.
    assert!(decisions(500, 100) <= 251, "{}", decisions(500, 100));
}

#[test]
fn a_leader_with_little_to_do_decides_at_once() {
    assert_eq!(pause(Duration::from_millis(50)), Duration::ZERO);
    assert_eq!(decisions(100_000, 100), 10);
}
