use std::sync::Arc;

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

fn outage(since: Time) -> OutageReport {
    OutageReport { available: false, since }
}

/// A daemon that has learned at 1,000 ms of an outage that began at 900 ms.
fn informed() -> Arc<StoreHealth> {
    let health = Arc::<StoreHealth>::default();
    health.record_success(at(500));
    assert!(health.receive(at(1_000), outage(at(900))));
    health
}

#[test]
fn a_report_rejects_no_callers_by_itself() {
    let health = informed();

    assert!((0..2_000).all(|n| !health.is_unavailable(at(1_000 + n))));
    assert!(!health.receive(at(1_010), outage(at(900))), "forwarded twice");
}

#[test]
fn after_a_report_the_first_failed_or_slow_call_shows_the_outage() {
    // Without the report a daemon sends its callers' jobs until its first write times out.
    let (refused, slow) = (informed(), informed());

    StoreCall::begin(&refused, at(1_020)).refuse();
    let call = StoreCall::begin(&slow, at(1_020));

    assert!(refused.is_unavailable(at(1_021)));
    assert!(!slow.is_unavailable(at(1_069)));
    assert!(slow.is_unavailable(at(1_070)));
    call.succeed(at(1_090));
    assert!(!slow.is_unavailable(at(1_091)));
}

#[test]
fn a_daemon_that_the_store_serves_ignores_and_does_not_forward_reports() {
    // The store refuses one daemon in three. A slow call of another one is no outage.
    let health = Arc::<StoreHealth>::default();
    health.record_success(at(960));

    let forwards = health.receive(at(1_000), outage(at(900)));
    let _call = StoreCall::begin(&health, at(1_010));

    assert!(!forwards);
    assert!(!health.is_unavailable(at(1_110)));
}

#[test]
fn a_response_that_never_came_is_no_outage_once_a_later_call_was_answered() {
    // A probe that was sent during an outage times out after the store has recovered.
    let health = Arc::<StoreHealth>::default();
    let lost = StoreCall::begin(&health, at(1_000));

    StoreCall::begin(&health, at(1_300)).succeed(at(1_310));
    lost.lose();

    assert!(!health.is_unavailable(at(1_450)));
}

#[test]
fn few_jobs_are_written_while_the_store_is_suspect() {
    let health = Arc::<StoreHealth>::default();
    let take = |now| (0..100).map_while(|_| WriteSlot::try_take(&health, now)).collect::<Vec<_>>();

    assert_eq!(take(at(1_000)).len(), 32);
    let _silent = StoreCall::begin(&health, at(1_000));
    assert_eq!(take(at(1_149)).len(), 32);
    assert_eq!(take(at(1_150)).len(), 4);
    health.record_success(at(1_160));
    assert_eq!(take(at(1_170)).len(), 32);
    health.record_failure(at(1_180));
    assert_eq!(take(at(1_181)).len(), 4);
}

#[test]
fn callers_return_sooner_in_the_first_second_of_an_outage() {
    let health = StoreHealth::default();
    health.record_failure(at(1_000));

    assert_eq!(health.retry_after(at(1_999)), Duration::from_secs(1));
    assert_eq!(health.retry_after(at(2_000)), Duration::from_secs(2));
    health.record_success(at(2_100));
    assert_eq!(health.retry_after(at(2_101)), Duration::from_secs(1));
}

#[test]
fn a_watch_from_before_an_outage_does_not_end_it() {
    // The store does not respond to new calls, and ends an earlier watch at its timeout. Jobs that
    // were sent for that reason had an unknown outcome.
    let health = StoreHealth::default();
    health.record_failure(at(1_000));

    health.record_watch(at(500), at(2_000));
    assert!(health.is_unavailable(at(2_001)));

    health.record_watch(at(2_100), at(3_600));
    assert!(!health.is_unavailable(at(3_601)));
}

#[test]
fn a_first_failed_call_is_verified_before_it_counts_as_an_outage() {
    // Without a probe in between, one failed call of an idle daemon rejects its callers, and is
    // reported to all daemons.
    let health = StoreHealth::default();
    health.record_failure(at(1_000));

    let (state, probed) = (health.lock(), at(1_060));
    assert_eq!(state.next_check(at(1_001), Time::ZERO), Some(probed));
    assert!(state.verification_due(probed, Time::ZERO));
    assert!(!state.verification_due(at(1_070), probed));
    assert_eq!(state.next_check(at(1_070), probed), Some(at(1_120)));
}
