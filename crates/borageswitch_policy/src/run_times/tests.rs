use super::*;

fn trained(kinds: &[(u64, u64, u32)]) -> RunTimes {
    let mut times = RunTimes::default();
    for (kind, millis, runs) in kinds {
        for _ in 0..*runs {
            times.record(Time::ZERO, *kind, Duration::from_millis(*millis));
        }
    }
    times.tick(Time::from_millis(1_000));
    times
}

#[test]
fn few_long_among_many_short_are_distinguished() {
    let times = trained(&[(1, 10, 950), (2, 1_000, 50)]);

    assert_eq!((times.length(1), times.length(2)), (RunLength::Short, RunLength::Long));
}

#[test]
fn few_short_among_many_long_are_distinguished() {
    let times = trained(&[(1, 10, 50), (2, 1_000, 950)]);

    assert_eq!((times.length(1), times.length(2)), (RunLength::Short, RunLength::Long));
}

#[test]
fn kinds_of_similar_length_are_not_split() {
    let times = trained(&[(1, 10, 100), (2, 20, 100), (3, 25, 100)]);

    assert_eq!(times.short_load_share(), None);
    assert_eq!(times.length(3), RunLength::Short);
}

#[test]
fn unknown_kind_is_expected_to_run_as_the_service_does() {
    let times = trained(&[(1, 30, 100)]);

    assert_eq!(times.expected(9), Duration::from_millis(30));
    assert_eq!(RunTimes::default().expected(9), DEFAULT_RUN_TIME);
}

#[test]
fn number_of_kinds_is_bounded() {
    let mut times = RunTimes::default();

    for kind in 0..10_000 {
        times.record(Time::from_micros(kind), kind, Duration::from_millis(1));
    }

    assert_eq!(times.kinds.len(), MAX_KINDS);
    assert!(times.kinds.contains_key(&9_999));
}
