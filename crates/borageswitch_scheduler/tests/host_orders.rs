//! Orders for hosts that get no response or are rejected.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, HostOrderResponse, RegistrationChange},
    fleet::WaveRequest,
};
use borageswitch_types::names::HostName;
use support::session::{Session, active, host, key, registration, step};

/// Advances the session by 200 ms: each list of hosts has one host with this executor, and all
/// appends are stored.
fn advance(session: &mut Session, executor: &str) -> Vec<Effect> {
    let mut all = Vec::new();
    for _ in 0..4 {
        for effect in session.advance(50) {
            match &effect {
                Effect::ListHosts { .. } => {
                    session.list_hosts(vec![host("h", executor)]);
                }
                Effect::Append { append, .. } => {
                    session.handle(Event::Appended { append: *append });
                }
                _ => {}
            }
            all.push(effect);
        }
    }
    all
}

fn respond(session: &mut Session, response: HostOrderResponse) {
    session.handle(Event::HostOrderAnswered { host: HostName::from("h"), response });
}

#[test]
fn a_repeated_maintenance_order_does_not_end_runs_of_the_new_executor() {
    // A host is maintained, and the response to the order is lost. The host comes back with a new
    // executor, which gets a task. Then the order is repeated, and the platform responds that it is
    // already done. If this were taken for the end of the new executor, its task would be started
    // again while the first run continues, and its effects, such as a payment, would occur twice.
    let mut session = Session::new(&["old"]);
    let request = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::WaveRequested(request));
    session.advance(60);
    session.list_hosts(vec![host("h", "old")]);
    let ordered = advance(&mut session, "old");
    assert!(ordered.iter().any(|effect| matches!(effect, Effect::OrderHost(..))), "{ordered:?}");
    respond(&mut session, HostOrderResponse::Lost);
    session.handle(Event::RegistrationChanged(RegistrationChange::Unregistered("old".into())));
    session.handle(Event::RegistrationChanged(RegistrationChange::Present(registration("new"))));
    session.advance(50);
    session.report("new", &[], &[], 0);
    session.submit("j", vec![step(1)]);
    for _ in 0..5 {
        advance(&mut session, "new");
    }
    session.report("new", &[active(&key("j", 0))], &[], 0);

    respond(&mut session, HostOrderResponse::Done);
    let effects = [advance(&mut session, "new"), advance(&mut session, "new")].concat();

    let runs: Vec<_> = session.scheduler.executors().flat_map(|e| e.runs.keys()).collect();
    assert_eq!(runs, [&key("j", 0)], "{effects:?}");
}

/// Requests maintenance of the only host, and counts the orders for it while each gets the given
/// response.
fn count_orders(with: HostOrderResponse, millis: u64) -> usize {
    let mut session = Session::new(&["e"]);
    let request = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::WaveRequested(request));
    let mut orders = 0;
    for _ in 0..millis / 200 {
        let effects = advance(&mut session, "e");
        let ordered =
            effects.iter().filter(|effect| matches!(effect, Effect::OrderHost(..))).count();
        orders += ordered;
        if ordered > 0 {
            respond(&mut session, with);
        }
    }
    orders
}

#[test]
fn a_failed_order_for_a_host_is_repeated_with_growing_pauses() {
    // While one host is stuck, repeated orders must not exhaust the rate limit that the platform
    // applies to all daemons together.
    for rejection in [HostOrderResponse::Lost, HostOrderResponse::TooMany, HostOrderResponse::Busy]
    {
        let orders = count_orders(rejection, 60_000);

        // Six growing pauses, then one order every four seconds plus the duration of a step.
        assert!((10..=6 + 15).contains(&orders), "{rejection}: {orders} orders in a minute");
    }
}
