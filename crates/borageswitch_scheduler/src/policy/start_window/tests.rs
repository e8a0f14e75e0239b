//! A leader behind a narrow link, in virtual time.

use std::collections::VecDeque;

use super::*;

/// How long a start may take until it is given up.
const TIMEOUT: u64 = 450;

/// A link that carries one start in so many milliseconds, one after the other, and what became of
/// starts that were sent for 20 s as fast as `window` allows.
#[derive(Default)]
struct Outcome {
    in_time: usize,
    too_late: usize,
}

fn play(each: u64, offered_per_tick: usize, mut window: Option<StartWindow>) -> Outcome {
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
                window.answered(Time::from_millis(tick), Duration::from_millis(took), queue.len());
            }
        }
        waiting += offered_per_tick;
        let left = window.as_ref().map_or(usize::MAX, |window| window.left(queue.len()));
        for _ in 0..waiting.min(left) {
            free_at = free_at.max(tick) + each;
            queue.push_back((tick, free_at));
            waiting -= 1;
        }
    }
    outcome
}

#[test]
fn a_rush_beyond_the_link_is_started_at_the_rate_that_the_link_bears() {
    // Twice what the link carries. Without the window the queue on the link grows until every start
    // in it is too late.
    let with = play(5, 4, Some(StartWindow::default()));
    let without = play(5, 4, None);

    assert!(with.in_time >= 3_600, "{} of 4,000", with.in_time);
    assert!(with.too_late <= 200, "{}", with.too_late);
    assert!(without.in_time <= 500, "{}", without.in_time);
}

#[test]
fn a_link_with_room_is_not_held_back() {
    let outcome = play(1, 5, Some(StartWindow::default()));

    assert!(outcome.in_time >= 9_900, "{}", outcome.in_time);
    assert_eq!(outcome.too_late, 0);
}

#[test]
fn the_window_opens_again_once_the_link_does() {
    let mut window = StartWindow::default();
    for tick in 0..100 {
        window.answered(Time::from_millis(tick * 50), Duration::from_millis(300), 20);
    }
    assert!(window.left(0) < 20);

    (0..2_000).for_each(|tick| {
        window.answered(Time::from_millis(5_000 + tick), Duration::from_millis(5), 20);
    });

    assert!(window.left(0) > 150);
}
