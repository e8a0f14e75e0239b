use super::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn arrivals_are_forgotten_after_their_turn() {
    // A turn has ended. Believed to go on, it would keep hosts in a pool that has nothing to do.
    let mut rate = ArrivalRate::default();
    for n in 0..100 {
        rate.arrived(at(n * 50), 5.0, Duration::ZERO);
    }
    assert!((80.0..120.0).contains(&rate.cores(at(5_000))), "{}", rate.cores(at(5_000)));

    assert!(rate.cores(at(13_000)) < 1.0);
}

#[test]
fn a_turn_is_believed_within_half_a_second() {
    // A queue's turn begins: forty jobs a second of five core-seconds each, from one moment to the
    // next. Each tenth of a second until its hosts are sent for makes its first jobs late.
    let mut rate = ArrivalRate::default();
    for n in 0..20 {
        rate.arrived(at(n * 25), 5.0, Duration::ZERO);
    }

    let believed = rate.cores(at(500));

    assert!(believed > 150.0, "{believed} of 200 cores");
}

#[test]
fn a_turn_that_rises_is_asked_for_ahead() {
    // The load of a queue rises for two seconds, from nothing to two hundred cores. Hosts take some
    // two seconds to come: asked for by what has come so far, they are too few all the way up.
    let mut rate = ArrivalRate::default();
    for n in 0..40 {
        rate.arrived(at(n * 25), 0.125 * n as f64, Duration::ZERO);
    }

    let at_half = rate.cores(at(1_000));

    assert!(at_half > 150.0, "{at_half} cores asked for while 200 a second arrive");
}

#[test]
fn a_load_is_known_some_seconds_after_the_first_work_or_after_half_a_minute() {
    let mut rate = ArrivalRate::default();
    let led = Duration::from_secs(20);
    assert!(is_learning(led, None, at(20_000)));
    rate.arrived(at(20_000), 5.0, Duration::ZERO);

    assert!(is_learning(led, Some(&rate), at(24_000)));
    assert!(!is_learning(led, Some(&rate), at(26_000)));
    assert!(!is_learning(Duration::from_secs(31), None, at(31_000)));
}

#[test]
fn one_large_job_is_no_rush_where_moves_are_dear() {
    // A job of 800 core-seconds, 250 cores for some three seconds, comes into a quiet pool of a fleet
    // whose moves are dear. Taken for a rush, it fetches some hundred hosts of 64 cores for nothing.
    let (mut cheap, mut dear) = (ArrivalRate::default(), ArrivalRate::default());
    cheap.arrived(at(1_000), 800.0, Duration::ZERO);
    dear.arrived(at(1_000), 800.0, Duration::from_millis(3_200));

    assert!(cheap.cores(at(1_000)) > 2_500.0);
    assert!(dear.cores(at(1_000)) < 350.0);
}

#[test]
fn a_lasting_rush_is_seen_in_full_however_its_work_is_spread() {
    let mut rate = ArrivalRate::default();
    for tenth in 0..100 {
        rate.arrived(at(1_000 + tenth * 100), 100.0, Duration::from_millis(2_400));
    }

    let cores = rate.cores(at(11_000));

    assert!((900.0..1_100.0).contains(&cores), "{cores}");
}
