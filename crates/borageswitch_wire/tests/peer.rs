//! Frames from peers, whatever is in them.

use std::{net::SocketAddr, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome},
    fleet::{Duty, Revision},
    slots::SlotMessage,
};
use borageswitch_wire::{
    PeerMessage,
    peer::{self, ClaimAsk, ClaimRelease, Delta, Heard, Heartbeat, MAX_FRAME, Member, Progress},
};
use proptest::{prelude::*, test_runner::RngSeed};

fn member() -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_700));
    Member { daemon: "d1".into(), data_centre: "midrand".into(), address }
}

fn progress() -> Progress {
    Progress {
        applied: Revision(4),
        draining: [("h1".into(), (2, 3))].into(),
        failing: [("h2".into(), 990)].into(),
        serving: true,
    }
}

fn heartbeat() -> Heartbeat {
    let heard = Heard {
        daemon: "d2".into(),
        age_ms: 300,
        revision: Revision(4),
        progress: progress(),
        duties: vec![Duty::Relay("midrand".into())],
    };
    Heartbeat {
        sent: Time::from_millis(10),
        echo: Some(Time::from_millis(5)),
        to_parent: true,
        revision: Revision(5),
        progress: progress(),
        duties: vec![Duty::Planner],
        heard: vec![heard],
    }
}

/// One message of each kind.
fn messages() -> Vec<PeerMessage> {
    let ask = ClaimAsk {
        key: ClaimKey(1 << 100),
        nonce: ClaimNonce(9),
        window: Duration::from_secs(600),
        wait: Duration::from_millis(50),
    };
    let delta = Delta { base: Revision(4), changes: Vec::new(), store_version: 8, digest: 1 };
    vec![
        PeerMessage::Heartbeat(heartbeat()),
        PeerMessage::Roster(vec![member(), member()]),
        PeerMessage::Changes(delta),
        PeerMessage::Snapshot { fleet: Box::new(Fleet::empty("gauteng".into())), store_version: 8 },
        PeerMessage::AskFleet { have: Revision(3) },
        PeerMessage::ClaimAsks(vec![ask]),
        PeerMessage::ClaimReleases(vec![ClaimRelease {
            key: ClaimKey(7),
            nonce: ClaimNonce(9),
            window: Duration::from_secs(600),
        }]),
        PeerMessage::ClaimAnswers(vec![(ClaimNonce(9), ClaimOutcome::Granted)]),
        PeerMessage::Slots(SlotMessage::Hold { service: "billing".into(), loans: vec![1, 300] }),
    ]
}

#[test]
fn each_message_is_read_as_it_was_written() {
    for message in messages() {
        let frame = peer::encode(&message).unwrap();

        assert_eq!(peer::decode(&frame).unwrap(), message);
    }
}

/// A frame is cut short, or two run into each other. Reading on would shift every later message.
#[test]
fn a_frame_that_is_too_short_or_too_long_is_refused() {
    for message in messages() {
        let mut frame = peer::encode(&message).unwrap();

        for len in 0..frame.len() {
            assert!(peer::decode(&frame[..len]).is_err(), "{message:?} cut to {len}");
        }
        frame.push(0);
        assert!(peer::decode(&frame).is_err(), "{message:?} with a byte more");
    }
}

/// A short frame claims to hold billions of members. Room must not be made for them on its word.
#[test]
fn a_frame_that_claims_more_than_it_holds_is_refused() {
    let roster = peer::encode(&PeerMessage::Roster(Vec::new())).unwrap();
    let kind = roster[0];
    let mut claims = vec![kind, 253];
    claims.extend_from_slice(&u64::MAX.to_le_bytes());
    let mut plausible = vec![kind, 252];
    plausible.extend_from_slice(&(MAX_FRAME as u32).to_le_bytes());

    assert!(peer::decode(&claims).is_err());
    assert!(peer::decode(&plausible).is_err());
}

/// Cases that are the same in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn any_bytes_are_read_or_refused(frame in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = peer::decode(&frame) {
            let again = peer::encode(&message).unwrap();
            prop_assert_eq!(peer::decode(&again).unwrap(), message);
        }
    }

    #[test]
    fn a_message_with_changed_bytes_is_read_or_refused(
        which in 0..messages().len(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut frame = peer::encode(&messages()[which]).unwrap();
        for (at, byte) in changes {
            let at = at.index(frame.len());
            frame[at] = byte;
        }
        let _ = peer::decode(&frame);
    }
}
