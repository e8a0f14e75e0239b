//! Repetition of failed starts is limited.

mod support;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, OrderResponse, StartResponse},
    job::Step,
};
use borageswitch_types::Time;
use support::session::{Session, step};

/// The duration of each test, in milliseconds.
const TEST_DURATION: u64 = 10_000;
/// The most starts of one task in ten seconds: two at once, five with growing pauses, and one a
/// second.
const MAX_STARTS: usize = 2 + 5 + 10;

/// Counts the starts of the tasks of a job while each start gets the given response.
fn count_starts(response: StartResponse, steps: Vec<Step>) -> usize {
    let mut session = Session::new(&["e1", "e2", "e3"]);
    session.submit("j", steps);
    let mut starts = 0;
    for _ in 0..TEST_DURATION / 20 {
        for effect in session.advance(20) {
            match effect {
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Start(to, order) => {
                    starts += 1;
                    let clock_ms = (response != StartResponse::Lost).then_some(session.now);
                    session.handle(Event::StartAnswered {
                        executor: to.executor,
                        task: order.task,
                        run: order.run,
                        sent: Time::from_millis(session.now),
                        clock_ms,
                        response,
                    });
                }
                Effect::Stop(to, task, run) => session.handle(Event::StopAnswered {
                    executor: to.executor,
                    task,
                    run,
                    response: OrderResponse::Done,
                }),
                Effect::Poll(to, _) => session.report(to.executor.as_str(), &[], &[], 0),
                _ => {}
            }
        }
    }
    starts
}

#[test]
fn a_start_that_every_executor_rejects_is_repeated_with_pauses() {
    // Without pauses one impossible order would overload the store and all executors.
    let rejections = [
        StartResponse::Malformed,
        StartResponse::Outdated,
        StartResponse::Late,
        StartResponse::NoRoom,
        StartResponse::Unhealthy,
        StartResponse::NotSent,
        StartResponse::Lost,
    ];
    for rejection in rejections {
        let starts = count_starts(rejection, vec![step(1)]);

        assert!((2..=MAX_STARTS).contains(&starts), "{rejection}: {starts} starts");
    }
}

#[test]
fn a_rejected_gang_is_repeated_with_pauses() {
    let gang = Step { gang: true, ..step(3) };

    let starts = count_starts(StartResponse::Outdated, vec![gang]);

    assert!((6..=3 * MAX_STARTS).contains(&starts), "{starts} starts");
}
