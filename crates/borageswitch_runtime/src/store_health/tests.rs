use super::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn callers_are_not_held_while_the_store_is_unavailable() {
    // The store gives no response for five seconds, with forty requests a second. Each request that
    // calls the store is held until its timeout, only to find out what is known already.
    let health = StoreHealth::default();
    health.record_failure(at(0));

    let calls = (0..200).filter(|n| !health.is_unavailable(at(200 + n * 25))).count();

    assert_eq!(calls, 0);
}

#[test]
fn callers_are_served_again_after_the_first_response() {
    let health = StoreHealth::default();
    health.record_failure(at(0));
    assert!(health.is_unavailable(at(1_000)));

    health.record_success(at(1_001));

    assert!(!health.is_unavailable(at(1_002)));
    assert!(!health.is_unavailable(at(1_003)));
}

#[test]
fn one_failed_call_rejects_no_callers() {
    let health = StoreHealth::default();

    health.record_failure(at(1_000));

    assert!((0..50).all(|n| !health.is_unavailable(at(1_001 + n))));
}
