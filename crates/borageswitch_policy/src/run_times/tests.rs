use super::*;

fn learned(kinds: &[(u64, u64, u32)]) -> RunTimes {
    let mut times = RunTimes::default();
    for (kind, millis, runs) in kinds {
        for _ in 0..*runs {
            times.learn(Time::ZERO, *kind, Duration::from_millis(*millis));
        }
    }
    times.tick(Time::from_millis(1_000));
    times
}

#[test]
fn few_long_among_many_short_are_told_apart() {
    let times = learned(&[(1, 10, 950), (2, 1_000, 50)]);

    assert_eq!((times.length(1), times.length(2)), (Length::Short, Length::Long));
}

#[test]
fn few_short_among_many_long_are_told_apart() {
    let times = learned(&[(1, 10, 50), (2, 1_000, 950)]);

    assert_eq!((times.length(1), times.length(2)), (Length::Short, Length::Long));
}

#[test]
fn kinds_of_like_length_are_not_split() {
    let times = learned(&[(1, 10, 100), (2, 20, 100), (3, 25, 100)]);

    assert_eq!(times.short_share(), None);
    assert_eq!(times.length(3), Length::Short);
}

#[test]
fn unknown_kind_is_expected_to_run_as_the_service_does() {
    let times = learned(&[(1, 30, 100)]);

    assert_eq!(times.expected(9), Duration::from_millis(30));
    assert_eq!(RunTimes::default().expected(9), FIRST_GUESS);
}

#[test]
fn flood_of_kinds_is_bounded() {
    let mut times = RunTimes::default();

    for kind in 0..10_000 {
        times.learn(Time::from_micros(kind), kind, Duration::from_millis(1));
    }

    assert_eq!(times.kinds.len(), MAX_KINDS);
    assert!(times.kinds.contains_key(&9_999));
}
