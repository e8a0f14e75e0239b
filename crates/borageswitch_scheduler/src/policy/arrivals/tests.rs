use super::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn arrivals_decay_after_a_load_peak() {
    // Guards against a pool without work that keeps its hosts because a past peak is taken to go
    // on.
    let mut rate = ArrivalRate::default();
    for n in 0..100 {
        rate.record_work(at(n * 50), 5.0, Duration::ZERO);
    }
    assert!(
        (80.0..120.0).contains(&rate.expected_cores(at(5_000))),
        "{}",
        rate.expected_cores(at(5_000))
    );

    assert!(rate.expected_cores(at(13_000)) < 1.0);
}

#[test]
fn a_load_peak_is_recognised_within_half_a_second() {
    // A load peak begins: from one moment to the next, forty jobs a second of five core-seconds
    // each. Each tenth of a second until its hosts are requested makes its first jobs late.
    let mut rate = ArrivalRate::default();
    for n in 0..20 {
        rate.record_work(at(n * 25), 5.0, Duration::ZERO);
    }

    let expected = rate.expected_cores(at(500));

    assert!(expected > 150.0, "{expected} of 200 cores");
}

#[test]
fn hosts_for_a_rising_load_are_requested_ahead() {
    // The load of a queue rises for two seconds, from nothing to two hundred cores, and hosts take
    // some two seconds to arrive. Requested for the work that has arrived so far, they are too few
    // during the whole rise.
    let mut rate = ArrivalRate::default();
    for n in 0..40 {
        rate.record_work(at(n * 25), 0.125 * n as f64, Duration::ZERO);
    }

    let at_half = rate.expected_cores(at(1_000));

    assert!(at_half > 150.0, "{at_half} cores requested while 200 a second arrive");
}

#[test]
fn learning_ends_some_seconds_after_the_first_work_or_after_half_a_minute() {
    let mut rate = ArrivalRate::default();
    let led = Duration::from_secs(20);
    assert!(is_learning(led, None, at(20_000)));
    rate.record_work(at(20_000), 5.0, Duration::ZERO);

    assert!(is_learning(led, Some(&rate), at(24_000)));
    assert!(!is_learning(led, Some(&rate), at(26_000)));
    assert!(!is_learning(Duration::from_secs(31), None, at(31_000)));
}

#[test]
fn one_large_job_is_no_load_peak_where_moves_are_expensive() {
    // A job of 800 core-seconds, 250 cores for some three seconds, arrives in a quiet pool of a
    // fleet whose moves are expensive. Taken for a load peak, it fetches some hundred hosts of 64
    // cores for nothing.
    let (mut cheap, mut expensive) = (ArrivalRate::default(), ArrivalRate::default());
    cheap.record_work(at(1_000), 800.0, Duration::ZERO);
    expensive.record_work(at(1_000), 800.0, Duration::from_millis(3_200));

    assert!(cheap.expected_cores(at(1_000)) > 2_500.0);
    assert!(expensive.expected_cores(at(1_000)) < 350.0);
}

#[test]
fn a_sustained_load_is_measured_in_full_however_its_work_is_spread() {
    let mut rate = ArrivalRate::default();
    for tenth in 0..100 {
        rate.record_work(at(1_000 + tenth * 100), 100.0, Duration::from_millis(2_400));
    }

    let cores = rate.expected_cores(at(11_000));

    assert!((900.0..1_100.0).contains(&cores), "{cores}");
}
