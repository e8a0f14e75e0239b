//! A leader behind a slow link, in virtual time.

use std::collections::VecDeque;

use super::*;

/// The time after which a start is given up, in milliseconds.
const TIMEOUT: u64 = 450;

/// What became of the starts that were sent.
#[derive(Default)]
struct Outcome {
    in_time: usize,
    too_late: usize,
}

/// Simulates a link that carries one start every `each` milliseconds, while starts are sent for 20 s
/// as fast as `window` allows.
fn simulate(each: u64, submitted_per_tick: usize, mut window: Option<StartWindow>) -> Outcome {
    let mut outcome = Outcome::default();
    let mut queue: VecDeque<(u64, u64)> = VecDeque::new();
    let mut waiting = 0;
    let mut free_at = 0;
    for tick in (0..20_000).step_by(10) {
        while queue.front().is_some_and(|(_, done)| *done <= tick) {
            let Some((sent, done)) = queue.pop_front() else { break };
            let took = done - sent;
            if took >= TIMEOUT {
                outcome.too_late += 1;
                waiting += 1;
                continue;
            }
            outcome.in_time += 1;
            if let Some(window) = &mut window {
                window.record_response(
                    Time::from_millis(tick),
                    Duration::from_millis(took),
                    queue.len(),
                );
            }
        }
        waiting += submitted_per_tick;
        let available = window.as_ref().map_or(usize::MAX, |window| window.available(queue.len()));
        for _ in 0..waiting.min(available) {
            free_at = free_at.max(tick) + each;
            queue.push_back((tick, free_at));
            waiting -= 1;
        }
    }
    outcome
}

#[test]
fn starts_beyond_the_capacity_of_the_link_are_sent_at_its_rate() {
    // Twice the load that the link carries. Without the window, the queue on the link grows until
    // every start in it is too late.
    let with = simulate(5, 4, Some(StartWindow::default()));
    let without = simulate(5, 4, None);

    assert!(with.in_time >= 3_600, "{} of 4,000", with.in_time);
    assert!(with.too_late <= 200, "{}", with.too_late);
    assert!(without.in_time <= 500, "{}", without.in_time);
}

#[test]
fn a_link_with_spare_capacity_is_not_limited() {
    let outcome = simulate(1, 5, Some(StartWindow::default()));

    assert!(outcome.in_time >= 9_900, "{}", outcome.in_time);
    assert_eq!(outcome.too_late, 0);
}

#[test]
fn the_window_grows_again_once_the_link_is_fast() {
    let mut window = StartWindow::default();
    for tick in 0..100 {
        window.record_response(Time::from_millis(tick * 50), Duration::from_millis(300), 20);
    }
    assert!(window.available(0) < 20);

    (0..2_000).for_each(|tick| {
        window.record_response(Time::from_millis(5_000 + tick), Duration::from_millis(5), 20);
    });

    assert!(window.available(0) > 150);
}
