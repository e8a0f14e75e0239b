use super::*;

const MIN: Duration = Duration::from_secs(2);

fn request(sent: Instant) -> InFlight {
    InFlight { kind: 7, idempotent: true, sent }
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// A target that has answered ten requests of the kind in `millis` each, over a connection opened
/// at `start`.
fn seen(start: Instant, millis: u64) -> Silence {
    let mut silence = Silence::default();
    for _ in 0..10 {
        silence.answered(start, request(start), after(start, millis));
    }
    silence
}

#[test]
fn a_request_far_beyond_its_kind_is_lost_once_a_newer_connection_answers() {
    let start = Instant::now();
    let mut silence = seen(start, 100);
    let silent = request(after(start, 1_000));

    let before = silence.is_lost(silent, MIN, after(start, 4_000));
    silence.opened_and_answered(after(start, 3_500));

    assert!(!before);
    assert!(silence.is_suspect(silent, MIN, after(start, 4_000)));
    assert!(silence.is_lost(silent, MIN, after(start, 4_000)));
}

/// A long job runs among short ones of another kind. New connections answer all the time, and
/// still the job's connection must stay: cutting it would lose the work.
#[test]
fn a_long_job_of_a_kind_never_seen_is_left_alone() {
    let start = Instant::now();
    let mut silence = seen(start, 1);
    silence.opened_and_answered(after(start, 50_000));
    let job = InFlight { kind: 9, ..request(after(start, 1_000)) };

    assert!(!silence.is_lost(job, MIN, after(start, 100_000)));
}

#[test]
fn a_kind_known_to_be_long_gets_its_time() {
    let start = Instant::now();
    let mut silence = seen(start, 30_000);
    silence.opened_and_answered(after(start, 70_000));
    let job = request(after(start, 60_000));

    assert!(!silence.is_lost(job, MIN, after(start, 160_000)));
    assert!(silence.is_lost(job, MIN, after(start, 190_000)));
}

#[test]
fn a_request_that_is_not_idempotent_gets_longer() {
    let start = Instant::now();
    let mut silence = seen(start, 1_000);
    silence.opened_and_answered(after(start, 11_000));
    let once = InFlight { idempotent: false, ..request(after(start, 10_000)) };

    assert!(!silence.is_lost(once, MIN, after(start, 20_000)));
    assert!(silence.is_lost(once, MIN, after(start, 27_000)));
}

#[test]
fn kinds_beyond_the_limit_are_not_kept() {
    let start = Instant::now();
    let mut silence = Silence::default();

    for kind in 0..1_000 {
        silence.answered(start, InFlight { kind, ..request(start) }, after(start, 1));
    }

    assert_eq!(silence.kinds.len(), MAX_KINDS);
}
