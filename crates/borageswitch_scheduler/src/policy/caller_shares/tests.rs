use super::*;

fn taken(bucket: &mut JobBucket, millis: u64, per_second: f64) -> bool {
    bucket.try_take(Time::from_millis(millis), per_second)
}

#[test]
fn a_burst_is_within_the_share_only_up_to_the_rate() {
    // A caller that is promised ten jobs a second submits fifty a second for two seconds.
    let mut bucket = JobBucket::new(Time::ZERO, 10.0);

    let within = (0..100).filter(|n| taken(&mut bucket, n * 20, 10.0)).count();

    assert!((28..=30).contains(&within), "{within}");
}

#[test]
fn a_caller_at_its_rate_never_exceeds_its_share() {
    let mut bucket = JobBucket::new(Time::ZERO, 10.0);

    assert!((0..100).all(|n| taken(&mut bucket, n * 100, 10.0)));
}

#[test]
fn a_caller_with_a_small_share_may_submit_a_job_now_and_then() {
    let mut bucket = JobBucket::new(Time::ZERO, 0.2);

    assert!(taken(&mut bucket, 0, 0.2));
    assert!(!taken(&mut bucket, 1_000, 0.2));
    assert!(taken(&mut bucket, 6_000, 0.2));
}
