use super::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn callers_are_not_held_while_the_store_is_away() {
    // The store is silent for five seconds and forty callers a second come. Each that tries it is
    // held until its patience ends; a few trials tell as much.
    let health = StoreHealth::default();
    health.failed(at(0));

    let tries = (0..200).filter(|n| health.may_try(at(200 + n * 25))).count();

    assert!(tries <= 21, "{tries}");
}

#[test]
fn callers_are_served_again_with_the_first_answer() {
    let health = StoreHealth::default();
    health.failed(at(0));
    assert!(health.may_try(at(1_000)));
    assert!(!health.may_try(at(1_001)));

    health.answered();

    assert!(health.may_try(at(1_002)));
    assert!(health.may_try(at(1_003)));
}

#[test]
fn one_call_that_fails_turns_nobody_away() {
    let health = StoreHealth::default();

    health.failed(at(1_000));

    assert!((0..50).all(|n| health.may_try(at(1_001 + n))));
}
