use std::time::Duration;

use super::delay;

/// How many decisions are made in a second, with an event every `every` microseconds and a decision
/// that takes `cost` microseconds.
fn decisions(every: u64, cost: u64) -> u64 {
    let second = 1_000_000;
    let (mut now, mut last, mut count) = (0, None, 0);
    while now < second {
        let wait = last.map_or(Duration::ZERO, |last| delay(Duration::from_micros(now - last)));
        now += wait.as_micros() as u64;
        last = Some(now);
        count += 1;
        // The next decision waits for the next event.
        now = (now + cost).max(now + every);
    }
    count
}

#[test]
fn thousands_of_events_cost_some_hundred_decisions() {
    // A run ends or an executor responds every half millisecond: one decision at once, then one
    // every four milliseconds.
    assert!(decisions(500, 100) <= 251, "{}", decisions(500, 100));
}

#[test]
fn a_leader_with_little_load_decides_at_once() {
    assert_eq!(delay(Duration::from_millis(50)), Duration::ZERO);
    assert_eq!(decisions(100_000, 100), 10);
}
