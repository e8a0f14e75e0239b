//! The response to an operator who waits for a revision.

use std::{net::SocketAddr, time::Duration};

use borageswitch_control::{
    Effect, Event, State,
    config::ControlConfig,
    event::{OperatorCallId, TrafficReport},
};
use borageswitch_types::{Fleet, Time, fleet::Revision, time::UnixMillis};
use borageswitch_wire::{
    PeerMessage,
    operator::{OperatorAnswer, OperatorRequest},
    peer::{Heartbeat, Member, Progress},
};

const CALL: OperatorCallId = OperatorCallId(1);

fn member(name: &str) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_700));
    Member { daemon: name.into(), data_centre: "midrand".into(), address }
}

fn fleet(revision: u64) -> PeerMessage {
    let mut fleet = Fleet::empty("gauteng".into());
    fleet.revision = Revision(revision);
    PeerMessage::Snapshot { fleet: Box::new(fleet), store_version: revision }
}

/// A heartbeat that echoes the send time `now`, so that its content has age zero.
fn heartbeat(now: Time, applied: u64) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        sent: now,
        echo: Some(now),
        to_parent: false,
        revision: Revision(applied),
        progress: Progress { applied: Revision(applied), serving: true, ..Progress::default() },
        duties: Vec::new(),
        heard: Vec::new(),
    })
}

/// Ticks until the given time and returns the response to the operator with its time, if there is
/// one.
fn response_by(state: &mut State, from: Time, until: Time) -> Option<(Time, OperatorAnswer)> {
    let mut now = from;
    while now < until {
        now += Duration::from_millis(50);
        let effects = state.handle(now, Event::Tick { wall: UnixMillis(now.as_micros() / 1_000) });
        for effect in effects {
            if let Effect::RespondToOperator { call: CALL, response } = effect {
                return Some((now, response));
            }
        }
    }
    None
}

/// A daemon is paused just before a change. An operator waits for the change at another daemon,
/// which is not the planner and so has not listed the leases. The paused daemon may resume and
/// serve by the old revision while its lease is valid, so it must count as lagging as
/// long as that lease may be valid.
#[test]
fn a_silent_daemon_whose_lease_may_stand_lags() {
    let cfg = ControlConfig::new(member("d2"), "gauteng".into(), 1);
    let (silence, ttl) = (cfg.silence_timeout, cfg.duty_ttl);
    let mut state = State::new(cfg);
    let peer = |message| Event::Peer { from: "d3".into(), message };
    let start = Time::from_millis(1_000);
    state.handle(start, Event::Started);
    state.handle(start, Event::PeerUp { member: member("d3") });
    state.handle(start, peer(fleet(1)));
    state.handle(start, peer(heartbeat(start, 1)));

    state.handle(start, peer(fleet(2)));
    let applied = TrafficReport { applied: Revision(2), ..TrafficReport::default() };
    state.handle(start, Event::Traffic(applied));
    let timeout = Duration::from_secs(60);
    let request = OperatorRequest::WaitInForce { revision: Revision(2), timeout };
    state.handle(start, Event::Operator { call: CALL, request });
    let (at, response) = response_by(&mut state, start, start + timeout).unwrap();

    assert!(at.since(start) >= ttl, "reported after {:?}", at.since(start));
    assert!(at.since(start) <= silence + ttl + Duration::from_secs(1));
    let lagging = Vec::new();
    assert_eq!(response, OperatorAnswer::InForce { revision: Revision(2), lagging });
}
