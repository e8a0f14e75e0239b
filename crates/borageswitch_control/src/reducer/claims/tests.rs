use borageswitch_types::{
    Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome, ClaimTicket},
    time::UnixMillis,
};
use std::time::Duration;

use super::{
    chain::{Ask, Asker, Chain, Step},
    segment::{Claim, Segment},
};
use crate::store::{KeyValue, StoreAnswer, StoreError, StoreRequest, Version};

const WALL: UnixMillis = UnixMillis(1_000_000);

fn ask(key: u128, nonce: u64) -> Ask {
    Ask {
        key: ClaimKey(key),
        nonce: ClaimNonce(nonce),
        window: Duration::from_secs(600),
        deadline: Time::from_millis(10_000),
        asker: Asker::Here(ClaimTicket(nonce)),
    }
}

fn loaded_chain() -> Chain {
    let mut chain = Chain::new("claims/0/".into(), true);
    chain.ask(Time::ZERO, ask(99, 99));
    let (step, _) = chain.next_call(Time::ZERO, WALL, true).expect("the chain is loaded first");
    assert_eq!(step, Step::Load);
    let none = Ok(StoreAnswer::Values(vec![]));
    chain.answered(step, Time::ZERO, Time::ZERO, none);
    chain
}

fn outcomes(chain: &mut Chain) -> Vec<(u64, ClaimOutcome)> {
    chain.take_verdicts().into_iter().map(|v| (v.nonce.0, v.outcome)).collect()
}

#[test]
fn a_segment_survives_its_text() {
    let claim = Claim { key: ClaimKey(7), nonce: ClaimNonce(8), made: WALL, until: WALL };
    let segment = Segment { claims: vec![claim], sealed: true };

    let read = Segment::from_bytes(segment.to_text().as_bytes());

    assert_eq!(read, Some(segment));
    assert_eq!(Segment::from_bytes(b"neither"), None);
    assert_eq!(Segment::from_bytes(b"open\nff"), None);
}

/// The store appends a claim and its answer is lost on the way. The caller must get its one
/// execution: the segment is read back and the nonce tells that the claim is its own.
#[test]
fn a_lost_answer_is_settled_by_the_nonce() {
    let mut chain = loaded_chain();
    let now = Time::from_millis(10);
    let (step, request) = chain.next_call(now, WALL, true).expect("an append");
    let StoreRequest::CompareAndSwap { key, value, .. } = request else { panic!("{request:?}") };

    chain.answered(step, now, now, Err(StoreError::AnswerLost));
    assert_eq!(outcomes(&mut chain), []);
    let later = Time::from_millis(500);
    let (step, _) = chain.next_call(later, WALL, true).expect("a read");
    assert_eq!(step, Step::ReadHead);
    let kv = KeyValue { key, version: Version(5), value };
    chain.answered(step, later, later, Ok(StoreAnswer::Value(Some(kv))));
    chain.next_call(later, WALL, true);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::Granted)]);
}

/// Two daemons believe to own a shard and claim one key at the same time. The second loses the
/// compare-and-swap, reads the first one's claim and refuses: one execution, not two.
#[test]
fn the_loser_of_a_race_reads_the_winners_claim() {
    let mut chain = loaded_chain();
    let now = Time::from_millis(10);
    let (step, request) = chain.next_call(now, WALL, true).expect("an append");
    let StoreRequest::CompareAndSwap { key, .. } = request else { panic!("{request:?}") };
    let winner = Claim { key: ClaimKey(99), nonce: ClaimNonce(1), made: WALL, until: WALL };
    let segment = Segment { claims: vec![winner], sealed: false };

    chain.answered(step, now, now, Ok(StoreAnswer::Conflict));
    let later = Time::from_millis(500);
    let (step, _) = chain.next_call(later, WALL, true).expect("a read");
    let value = segment.to_text().into_bytes().into();
    let kv = KeyValue { key, version: Version(5), value };
    chain.answered(step, later, later, Ok(StoreAnswer::Value(Some(kv))));
    chain.next_call(later, WALL, true);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::AlreadyClaimed)]);
}

/// The store stays away until the deadline. The caller is told in time that nothing ran.
#[test]
fn an_outage_past_the_deadline_refuses() {
    let mut chain = loaded_chain();
    let now = Time::from_millis(10);
    let (step, _) = chain.next_call(now, WALL, true).expect("an append");

    chain.answered(step, now, now, Err(StoreError::NotSent));
    chain.next_call(Time::from_millis(10_001), WALL, true);

    assert_eq!(outcomes(&mut chain), [(99, ClaimOutcome::Unavailable)]);
}

/// A burst fills a segment: the write that fills it seals it, and the next claim begins another
/// one, so that no write grows without bound.
#[test]
fn a_full_segment_is_sealed_and_followed() {
    let mut chain = loaded_chain();
    let mut now = Time::from_millis(10);
    for key in 0..400 {
        chain.ask(now, ask(1_000 + key, key as u64));
    }
    let mut keys = Vec::new();
    for version in 1..=8 {
        let Some((step, request)) = chain.next_call(now, WALL, true) else { break };
        let StoreRequest::CompareAndSwap { key, .. } = request else { panic!("{request:?}") };
        keys.push(key.to_string());
        let written = Ok(StoreAnswer::Written { version: Version(version) });
        chain.answered(step, now, now, written);
        now += Duration::from_millis(100);
    }

    let granted = outcomes(&mut chain);
    assert_eq!(granted.len(), 401);
    assert!(granted.iter().all(|(_, outcome)| *outcome == ClaimOutcome::Granted));
    assert_eq!(keys.first().map(String::as_str), Some("claims/0/000000000001"));
    assert_eq!(keys.last().map(String::as_str), Some("claims/0/000000000002"));
}
