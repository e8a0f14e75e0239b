use super::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn callers_are_not_held_while_the_store_is_away() {
    // The store is silent for five seconds and forty callers a second come. Each that tries it is
    // held until its patience ends; what they would find out is known.
    let health = StoreHealth::default();
    health.failed(at(0));

    let tries = (0..200).filter(|n| !health.is_away(at(200 + n * 25))).count();

    assert_eq!(tries, 0);
}

#[test]
fn callers_are_served_again_with_the_first_answer() {
    let health = StoreHealth::default();
    health.failed(at(0));
    assert!(health.is_away(at(1_000)));

    health.answered();

    assert!(!health.is_away(at(1_002)));
    assert!(!health.is_away(at(1_003)));
}

#[test]
fn one_call_that_fails_turns_nobody_away() {
    let health = StoreHealth::default();

    health.failed(at(1_000));

    assert!((0..50).all(|n| !health.is_away(at(1_001 + n))));
}
