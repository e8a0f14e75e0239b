//! Orders for hosts whose answers are lost.

mod support;

use std::time::Duration;

use borageswitch_scheduler::{
    effect::Effect,
    event::{Event, HostOrderResponse, RegistrationChange},
    fleet::WaveRequest,
};
use borageswitch_types::names::HostName;
use support::session::{Session, active, host, key, registration, step};

/// Lists one host with this executor whenever the hosts are asked for, and stores every append.
fn advance(session: &mut Session, executor: &str) -> Vec<Effect> {
    let mut all = Vec::new();
    for _ in 0..4 {
        for effect in session.advance(50) {
            match &effect {
                Effect::ListHosts => {
                    session.handle(Event::HostsListed(Some(vec![host("h", executor)])));
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
fn a_host_that_was_maintained_unheard_keeps_what_it_has_begun_since() {
    // A host is maintained, and the answer to the order is lost. The host is back under a new
    // executor, which gets a task, when the order is given once more and the platform says that it
    // is done already. If that is taken for the end of the new executor, its task is started a
    // second time while the first run goes on, and a cleaner is paid twice.
    let mut session = Session::new(&["old"]);
    let request = WaveRequest {
        wave: 1,
        hosts: vec![HostName::from("h")],
        allowed: Duration::from_secs(20),
        max_down: 1,
    };
    session.handle(Event::WaveRequested(request));
    session.advance(60);
    session.handle(Event::HostsListed(Some(vec![host("h", "old")])));
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

/// Asks for the maintenance of the only host, and gives how many orders for it leave in that time
/// while each gets this answer.
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
fn an_order_for_a_host_that_comes_to_nothing_is_repeated_with_growing_pauses() {
    // Guards against orders for hosts that use up what the platform takes from all daemons, for as
    // long as one host is stuck.
    for refusal in [HostOrderResponse::Lost, HostOrderResponse::TooMany, HostOrderResponse::Busy] {
        let orders = count_orders(refusal, 60_000);

        // Six pauses until the longest, then one every four seconds and the time of a pass.
        assert!((10..=6 + 15).contains(&orders), "{refusal}: {orders} orders in a minute");
    }
}
