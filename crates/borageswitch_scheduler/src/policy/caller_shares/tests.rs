use super::*;

fn taken(rate: &mut JobRate, millis: u64, per_second: f64) -> bool {
    rate.take(Time::from_millis(millis), per_second)
}

#[test]
fn a_flood_is_within_its_share_only_as_far_as_that_goes() {
    // A caller with ten jobs a second hands in fifty a second for two seconds.
    let mut rate = JobRate::new(Time::ZERO, 10.0);

    let within = (0..100).filter(|n| taken(&mut rate, n * 20, 10.0)).count();

    assert!((28..=30).contains(&within), "{within}");
}

#[test]
fn whoever_keeps_to_its_share_is_never_beyond_it() {
    let mut rate = JobRate::new(Time::ZERO, 10.0);

    assert!((0..100).all(|n| taken(&mut rate, n * 100, 10.0)));
}

#[test]
fn a_caller_with_a_small_share_may_hand_in_a_job_now_and_then() {
    let mut rate = JobRate::new(Time::ZERO, 0.2);

    assert!(taken(&mut rate, 0, 0.2));
    assert!(!taken(&mut rate, 1_000, 0.2));
    assert!(taken(&mut rate, 6_000, 0.2));
}
