//! Tests of the detection of lost responses.

use std::time::Duration;

use borageswitch_types::{Time, names::ExecutorName};

use super::{CallTimeouts, ResponseLoss};

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn executor(index: u64) -> ExecutorName {
    ExecutorName::from(format!("e{index}").as_str())
}

/// Calls to 20 executors, one each 5 ms, of which every `lost`th gets no response within 450 ms.
/// Gives the timeouts after each call.
fn play(loss: &mut ResponseLoss, calls: u64, lost: u64) -> Vec<Option<CallTimeouts>> {
    let mut pending: Vec<(u64, ExecutorName)> = Vec::new();
    let mut timeouts = Vec::new();
    for call in 0..calls {
        let sent = call * 5;
        let to = executor(call % 20);
        for (since, to) in pending.extract_if(.., |(since, _)| sent >= *since + 450) {
            loss.record_order(None);
            loss.record_timeout(at(sent), &to, at(since));
        }
        if call % lost == 0 {
            pending.push((sent, to));
        } else {
            loss.record_order(Some(Duration::from_millis(4)));
            loss.record_response(at(sent + 4), &to, at(sent));
        }
        timeouts.push(loss.timeouts(at(sent + 4)));
    }
    timeouts
}

/// One call in 25 lost: without detection, each lost start delays its job by half a second.
#[test]
fn lost_responses_of_working_executors_shorten_the_timeouts_within_a_second() {
    let mut loss = ResponseLoss::default();

    let timeouts = play(&mut loss, 400, 25);

    let first = timeouts.iter().position(Option::is_some);
    assert!(first.is_some_and(|call| call * 5 < 1_000), "{first:?}");
    let last = timeouts.last().copied().flatten();
    assert_eq!(last.map(|limits| limits.order), Some(Duration::from_millis(80)));
}

/// A rack that loses power responds to nothing: the others must not be treated differently.
#[test]
fn executors_that_never_respond_again_do_not_count_as_losses() {
    let mut loss = ResponseLoss::default();

    for index in 0..10 {
        for call in 0..5 {
            loss.record_timeout(at(450 + 100 * call), &executor(index), at(100 * call));
        }
    }

    assert_eq!(loss.timeouts(at(1_000)), None);
}

/// One faulty executor loses most responses: the timeouts of all others stay.
#[test]
fn losses_of_one_executor_change_nothing() {
    let mut loss = ResponseLoss::default();

    for call in 0..10 {
        loss.record_timeout(at(100 * call + 50), &executor(0), at(100 * call));
        loss.record_response(at(100 * call + 64), &executor(0), at(100 * call + 60));
    }

    assert_eq!(loss.timeouts(at(1_000)), None);
}

/// A leader whose link is congested gets responses after 200 ms: with a short timeout it would
/// give up most orders although they were carried out.
#[test]
fn slow_responses_lengthen_the_timeout() {
    let mut loss = ResponseLoss::default();
    play(&mut loss, 400, 25);

    (0..100).for_each(|_| loss.record_order(Some(Duration::from_millis(200))));

    let limits = loss.timeouts(at(2_000));
    assert!(limits.is_some_and(|limits| limits.order >= Duration::from_millis(200)), "{limits:?}");
}

/// Once no more responses get lost, everything is as before.
#[test]
fn the_timeouts_return_after_the_last_loss() {
    let mut loss = ResponseLoss::default();
    play(&mut loss, 400, 25);

    assert_eq!(loss.timeouts(at(5_000)), None);
}

/// Responses get lost for two seconds, and then take longer than the shortened timeout. Each order
/// that is given up would count as a further loss and keep the timeout in force, so that no order
/// would get a response any more.
#[test]
fn slow_responses_after_losses_do_not_keep_the_timeouts_short() {
    let mut loss = ResponseLoss::default();
    play(&mut loss, 400, 25);
    let takes = Duration::from_millis(150);

    let mut answered = 0;
    for call in 0..400 {
        let sent = at(2_000 + call * 20);
        let limit = loss.timeouts(sent).map_or(Duration::from_millis(450), |limits| limits.order);
        let to = executor(call % 20);
        if takes <= limit {
            answered += 1;
            loss.record_order(Some(takes));
            loss.record_response(sent + takes, &to, sent);
        } else {
            loss.record_order(None);
            loss.record_timeout(sent + limit, &to, sent);
            loss.record_response(sent + limit + takes, &to, sent + limit);
        }
    }

    assert!(answered > 360, "{answered} of 400 orders got a response");
}
