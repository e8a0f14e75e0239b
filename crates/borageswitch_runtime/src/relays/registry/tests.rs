use borageswitch_scheduler::effect::{Recipient, StartOrder};
use borageswitch_types::names::JobName;

use super::*;

const CORES: f64 = 0.5;
const TOKEN: u64 = 7;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn task(number: u32) -> TaskKey {
    TaskKey { job: JobName::from("1"), occurrence: 0, step: 0, index: number }
}

fn start(executor: u32, number: u32) -> Effect {
    let to =
        Recipient { executor: ExecutorName::from(format!("e{executor}")), address: address(1) };
    let order = StartOrder {
        task: task(number),
        run: 1,
        payload: "text".into(),
        until_ms: 5_000,
        checkpoint: None,
        ticket: None,
    };
    Effect::Start(to, order)
}

/// Relays on ports 1 and up that have all sent a frame at `now`, with their clocks at `clock`.
fn relays(count: u16, now: Time, clock: u64) -> (Relays, Vec<RelayId>) {
    let relays = Relays::default();
    let ids = (1..=count).map(|port| {
        let (id, _) = relays.add(now, address(port), CORES);
        relays.receive(now, id, OutcomeFrame { clock, outcomes: Vec::new() });
        id
    });
    let ids = ids.collect();
    relays.lock().usage.in_use = true;
    relays.lock().usage.last_high = now;
    (relays, ids)
}

fn is_relayed(relays: &Relays, now: Time, effect: Effect) -> bool {
    matches!(relays.route(now, CORES, TOKEN, effect), Routed::Relayed)
}

#[test]
fn a_leader_with_few_calls_makes_them_itself() {
    // Guards against the delay of a relay on sites whose leader is not busy.
    let (relays, _) = relays(2, at(0), 0);
    relays.lock().usage = Usage::default();

    let relayed = (0..100).filter(|n| is_relayed(&relays, at(n * 10), start(1, *n as u32)));

    assert_eq!(relayed.count(), 0);
}

#[test]
fn a_leader_with_many_calls_relays_them_until_the_rate_has_been_low_for_long() {
    let (relays, ids) = relays(2, at(0), 0);
    relays.lock().usage = Usage::default();
    let keep_alive = |now| {
        for id in &ids {
            relays.receive(now, *id, OutcomeFrame { clock: 0, outcomes: Vec::new() });
        }
    };
    for n in 0..2_000 {
        let _ = is_relayed(&relays, at(1_000 + n / 4), start(1, n as u32));
    }
    keep_alive(at(1_500));
    assert!(is_relayed(&relays, at(1_501), start(1, 2_000)));

    let stop = (1..60).map(|n| 1_501 + n * 500).find(|now| {
        keep_alive(at(*now));
        !is_relayed(&relays, at(*now), start(1, 2_000))
    });

    let after = stop.unwrap() - 1_501;
    assert!((19_000..22_000).contains(&after), "{after}");
}

#[test]
fn a_relay_that_leaves_changes_the_relay_of_its_own_executors_only() {
    let (relays, ids) = relays(4, at(0), 0);
    let executors: Vec<ExecutorName> = (0..400).map(|n| format!("e{n}").into()).collect();
    let assign = || -> Vec<RelayId> {
        let registry = relays.lock();
        executors.iter().map(|executor| registry.relay_of(at(0), executor).unwrap()).collect()
    };
    let before = assign();

    relays.remove(ids[0]);

    let after = assign();
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    assert_eq!(moved, before.iter().filter(|id| **id == ids[0]).count());
    assert!((50..150).contains(&moved), "{moved}");
}

#[test]
fn calls_of_a_relay_that_leaves_count_as_without_a_response() {
    // Guards against tasks that wait for ever for the outcome of a lost relay.
    let (relays, ids) = relays(1, at(0), 0);
    assert!(is_relayed(&relays, at(5), start(1, 3)));

    let events = relays.remove(ids[0]);

    let [(TOKEN, Event::StartAnswered { response: StartResponse::Lost, task: lost, sent, .. })] =
        &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!((lost, *sent), (&task(3), at(5)));
}

#[test]
fn an_overdue_call_counts_as_without_a_response_and_its_late_outcome_is_ignored() {
    // Guards against a second event for a run that has been given up meanwhile.
    let (relays, ids) = relays(1, at(0), 0);
    assert!(is_relayed(&relays, at(5), start(1, 3)));
    let number = relays.take_frame(ids[0], at(500)).unwrap().calls[0].0;

    let (overdue, silent) = relays.expire(at(1_300), ids[0]);
    let late = Outcome::Start(StartResponse::Started, Some(9));
    let frame = OutcomeFrame { clock: 0, outcomes: vec![(number, late)] };
    let events = relays.receive(at(1_310), ids[0], frame);

    assert_eq!((overdue.len(), silent), (1, false));
    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn the_outcome_of_another_kind_of_call_is_ignored() {
    // Guards against a damaged frame that would end the leader.
    let (relays, ids) = relays(1, at(0), 0);
    assert!(is_relayed(&relays, at(5), start(1, 3)));
    let number = relays.take_frame(ids[0], at(500)).unwrap().calls[0].0;

    let outcomes = vec![
        (number, Outcome::Stop(OrderResponse::Done)),
        (99, Outcome::Stop(OrderResponse::Done)),
    ];
    let events = relays.receive(at(10), ids[0], OutcomeFrame { clock: 0, outcomes });

    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn the_authority_of_a_frame_ends_no_later_on_the_clock_of_the_relay() {
    // The relay's clock was 900 ms when it sent the frame, and the leader received it at 100 ms. In
    // the leader's time the frame was under way for some of that, so the relay's clock is ahead by
    // 800 ms or more. Guards against orders after the end of the leader's lease.
    let (relays, ids) = relays(1, at(100), 900_000);
    assert!(is_relayed(&relays, at(110), start(1, 3)));

    let frame = relays.take_frame(ids[0], at(1_100)).unwrap();

    assert_eq!(frame.authority_until, 1_900_000);
}

#[test]
fn a_frame_has_no_calls_of_an_earlier_term() {
    // Guards against tasks that run twice: when the same daemon leads again at once, starts of its
    // earlier term that wait for their frame would be made with the fencing token of the new one.
    let (relays, ids) = relays(1, at(100), 0);
    let route = |token, number| relays.route(at(110), CORES, token, start(1, number));
    route(TOKEN, 1);
    route(TOKEN + 1, 2);
    route(TOKEN, 3);

    let frame = relays.take_frame(ids[0], at(2_000)).unwrap();

    let starts = frame.calls.iter().map(|(_, call)| match call {
        Call::Start(_, order) => order.task.index,
        other => panic!("{other:?}"),
    });
    assert_eq!((frame.token, starts.collect::<Vec<_>>()), (TOKEN + 1, vec![2]));
}

#[test]
fn a_relay_that_has_fallen_silent_gets_no_more_calls() {
    let (relays, ids) = relays(1, at(0), 0);

    let relayed = is_relayed(&relays, at(1_500), start(1, 3));
    let (_, silent) = relays.expire(at(2_500), ids[0]);

    assert!(!relayed);
    assert!(silent);
}
