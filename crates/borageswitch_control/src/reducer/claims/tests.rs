use borageswitch_types::{
    Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome},
    time::UnixMillis,
};
use std::time::Duration;

use super::{
    chain::{Chain, Step},
    requests::{ChainRequest, Release, Requester},
    segment::{Claim, Kind, Segment},
};
use crate::store::{KeyValue, StoreError, StoreRequest, StoreResponse, Version};

const WALL: UnixMillis = UnixMillis(1_000_000);

fn chain_request(key: u128, nonce: u64) -> ChainRequest {
    ChainRequest {
        key: ClaimKey(key),
        nonce: ClaimNonce(nonce),
        window: Duration::from_secs(600),
        received_at: Time::ZERO,
        deadline: Time::from_millis(10_000),
        requester: Requester::Local,
    }
}

fn loaded_chain() -> Chain {
    let mut chain = Chain::new("claims/0/".into(), true);
    chain.enqueue(Time::ZERO, chain_request(99, 99));
    let (step, _) = chain.next_call(Time::ZERO, WALL, true).expect("the chain is loaded first");
    assert_eq!(step, Step::Load);
    let none = Ok(StoreResponse::Values(vec![]));
    chain.on_response(step, Time::ZERO, Time::ZERO, none);
    chain
}

fn outcomes(chain: &mut Chain) -> Vec<(u64, ClaimOutcome)> {
    chain.take_resolutions().into_iter().map(|v| (v.nonce.0, v.outcome)).collect()
}

#[test]
fn a_segment_round_trips_through_text() {
    let claim = Claim {
        key: ClaimKey(7),
        nonce: ClaimNonce(8),
        claimed_at: WALL,
        until: WALL,
        kind: Kind::Claimed,
    };
    let segment =
        Segment { claims: vec![claim, Claim { kind: Kind::Released, ..claim }], sealed: true };

    let read = Segment::from_bytes(segment.to_text().as_bytes());

    assert_eq!(read, Some(segment));
    assert_eq!(Segment::from_bytes(b"neither"), None);
    assert_eq!(Segment::from_bytes(b"open\nff"), None);
}

/// The store appends a claim but its response is lost. The request must still run: the segment is
/// read back and the nonce identifies the claim as the requester's own.
#[test]
fn a_lost_response_is_resolved_by_the_nonce() {
    let mut chain = loaded_chain();
    let now = Time::from_millis(10);
    let (step, request) = chain.next_call(now, WALL, true).expect("an append");
    let StoreRequest::CompareAndSwap { key, value, .. } = request else { panic!("{request:?}") };

    chain.on_response(step, now, now, Err(StoreError::AnswerLost));
    assert_eq!(outcomes(&mut chain), []);
    let later = Time::from_millis(500);
    let (step, _) = chain.next_call(later, WALL, true).expect("a read");
    assert_eq!(step, Step::ReadHead);
    let kv = KeyValue { key, version: Version(5), value };
    chain.on_response(step, later, later, Ok(StoreResponse::Value(Some(kv))));
    chain.next_call(later, WALL, true);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::Granted)]);
}

/// Two daemons consider themselves the owner of a shard and claim one key at the same time. The
/// loser of the compare-and-swap must read the winner's claim and reject its own, or the request
/// would run twice.
#[test]
fn the_loser_of_a_race_reads_the_winners_claim() {
    let mut chain = loaded_chain();
    let now = Time::from_millis(10);
    let (step, request) = chain.next_call(now, WALL, true).expect("an append");
    let StoreRequest::CompareAndSwap { key, .. } = request else { panic!("{request:?}") };
    let winner = Claim {
        key: ClaimKey(99),
        nonce: ClaimNonce(1),
        claimed_at: WALL,
        until: WALL,
        kind: Kind::Claimed,
    };
    let segment = Segment { claims: vec![winner], sealed: false };

    chain.on_response(step, now, now, Ok(StoreResponse::Conflict));
    let later = Time::from_millis(500);
    let (step, _) = chain.next_call(later, WALL, true).expect("a read");
    let value = segment.to_text().into_bytes().into();
    let kv = KeyValue { key, version: Version(5), value };
    chain.on_response(step, later, later, Ok(StoreResponse::Value(Some(kv))));
    chain.next_call(later, WALL, true);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::AlreadyClaimed)]);
}

/// If the store is unavailable until the deadline, the claim must be reported as unavailable.
#[test]
fn an_outage_past_the_deadline_is_unavailable() {
    let mut chain = loaded_chain();
    let now = Time::from_millis(10);
    let (step, _) = chain.next_call(now, WALL, true).expect("an append");

    chain.on_response(step, now, now, Err(StoreError::NotSent));
    chain.next_call(Time::from_millis(10_001), WALL, true);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::Unavailable)]);
}

/// The write that fills a segment must seal it, and the next claim must start another one;
/// otherwise writes would grow without bound.
#[test]
fn a_full_segment_is_sealed_and_followed() {
    let mut chain = loaded_chain();
    let mut now = Time::from_millis(10);
    for key in 0..400 {
        chain.enqueue(now, chain_request(1_000 + key, key as u64));
    }
    let mut keys = Vec::new();
    for version in 1..=8 {
        let Some((step, request)) = chain.next_call(now, WALL, true) else { break };
        let StoreRequest::CompareAndSwap { key, .. } = request else { panic!("{request:?}") };
        keys.push(key.to_string());
        let written = Ok(StoreResponse::Written { version: Version(version) });
        chain.on_response(step, now, now, written);
        now += Duration::from_millis(100);
    }

    let granted = outcomes(&mut chain);
    assert_eq!(granted.len(), 401);
    assert!(granted.iter().all(|(_, outcome)| *outcome == ClaimOutcome::Granted));
    assert_eq!(keys.first().map(String::as_str), Some("claims/0/000000000001"));
    assert_eq!(keys.last().map(String::as_str), Some("claims/0/000000000002"));
}

/// Carries out appends until the chain has no call to make, and returns the last value written.
fn write_all(chain: &mut Chain, now: &mut Time) -> Option<Segment> {
    let mut last = None;
    for version in 10.. {
        *now += Duration::from_millis(100);
        let Some((step, request)) = chain.next_call(*now, WALL, false) else { break };
        let StoreRequest::CompareAndSwap { value, .. } = request else { panic!("{request:?}") };
        last = Segment::from_bytes(&value);
        let written = Ok(StoreResponse::Written { version: Version(version) });
        chain.on_response(step, *now, *now, written);
    }
    last
}

fn release(key: u128, nonce: u64) -> Release {
    let window = Duration::from_secs(600);
    let deadline = Time::from_millis(60_000);
    Release { key: ClaimKey(key), nonce: ClaimNonce(nonce), window, deadline }
}

/// A request is granted, refused by every target and sent again under its id. The retry arrives
/// before the release is written: it must wait for the release and be granted. Neither a delayed
/// copy of the first request nor reloading the chain may restore the first claim.
#[test]
fn a_released_claim_no_longer_blocks_its_key() {
    let mut chain = loaded_chain();
    let mut now = Time::from_millis(10);
    write_all(&mut chain, &mut now);
    chain.release(now, release(99, 99));
    chain.enqueue(now, chain_request(99, 100));

    let written = write_all(&mut chain, &mut now).expect("writes");
    chain.enqueue(now, ChainRequest { received_at: now, ..chain_request(99, 99) });
    write_all(&mut chain, &mut now);
    let granted = outcomes(&mut chain);
    let mut other = Chain::new("claims/0/".into(), true);
    other.enqueue(now, ChainRequest { received_at: now, ..chain_request(99, 101) });
    let (step, _) = other.next_call(now, WALL, true).expect("a load");
    let value = written.to_text().into_bytes().into();
    let kv = KeyValue { key: "claims/0/000000000001".into(), version: Version(12), value };
    other.on_response(step, now, now, Ok(StoreResponse::Values(vec![kv])));
    other.next_call(now, WALL, true);

    assert_eq!(
        granted,
        [
            (99, ClaimOutcome::Granted),
            (100, ClaimOutcome::Granted),
            (99, ClaimOutcome::Unavailable)
        ]
    );
    assert_eq!(outcomes(&mut other), [(101, ClaimOutcome::AlreadyClaimed)]);
}

/// A release of a nonce that does not hold the key must leave the key's claim in place, or the
/// request would run twice.
#[test]
fn a_release_of_another_nonce_changes_nothing() {
    let mut chain = loaded_chain();
    let mut now = Time::from_millis(10);
    write_all(&mut chain, &mut now);
    chain.release(now, release(99, 7));

    let written = write_all(&mut chain, &mut now).expect("the release is written");
    chain.release(now, release(99, 7));
    chain.enqueue(now, chain_request(99, 100));
    let again = write_all(&mut chain, &mut now);

    assert_eq!(written.claims.len(), 2);
    assert_eq!(again, None);
    let expected = [(99, ClaimOutcome::Granted), (100, ClaimOutcome::AlreadyClaimed)];
    assert_eq!(outcomes(&mut chain), expected);
}

/// The chain contains two claims of a key, and the first was released only after the second was
/// made. Two daemons may have sent the request, so the daemon that reads the chain must panic.
#[test]
#[should_panic(expected = "is claimed twice")]
fn a_release_after_the_second_claim_is_a_violation() {
    let until = UnixMillis(WALL.0 + 600_000);
    let first = Claim {
        key: ClaimKey(5),
        nonce: ClaimNonce(1),
        claimed_at: WALL,
        until,
        kind: Kind::Claimed,
    };
    let second = Claim { nonce: ClaimNonce(2), ..first };
    let late = Claim { kind: Kind::Released, ..first };
    let segment = Segment { claims: vec![first, second, late], sealed: false };
    let mut chain = Chain::new("claims/0/".into(), true);
    chain.enqueue(Time::ZERO, chain_request(6, 6));
    let (step, _) = chain.next_call(Time::ZERO, WALL, true).expect("a load");

    let value = segment.to_text().into_bytes().into();
    let kv = KeyValue { key: "claims/0/000000000001".into(), version: Version(5), value };
    chain.on_response(step, Time::ZERO, Time::ZERO, Ok(StoreResponse::Values(vec![kv])));
}

/// Another daemon has written a release that this one has not read. A retry must not be rejected
/// because of the outdated claim: the end of the chain must be read first.
#[test]
fn an_outdated_claim_is_read_again_before_it_rejects_a_request() {
    let mut chain = loaded_chain();
    let mut now = Time::from_millis(10);
    let mut segment = write_all(&mut chain, &mut now).expect("a write");
    let first = segment.claims[0];
    segment.claims.push(Claim { kind: Kind::Released, ..first });
    chain.enqueue(now, ChainRequest { received_at: now, ..chain_request(99, 100) });

    let (step, _) = chain.next_call(now, WALL, true).expect("a read");
    assert_eq!(step, Step::ReadHead);
    let value = segment.to_text().into_bytes().into();
    let kv = KeyValue { key: "claims/0/000000000001".into(), version: Version(11), value };
    chain.on_response(step, now, now, Ok(StoreResponse::Value(Some(kv))));
    write_all(&mut chain, &mut now);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::Granted), (100, ClaimOutcome::Granted)]);
}
