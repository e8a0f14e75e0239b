use super::*;

fn observe(overheads_ms: &[u64]) -> Duration {
    let mut overhead = RunOverhead::default();
    for millis in overheads_ms.iter().cycle().take(1_000) {
        let work = Duration::from_millis(200);
        overhead.record(work + Duration::from_millis(*millis), work);
    }
    overhead.expected()
}

#[test]
fn a_steady_overhead_is_expected_as_it_is() {
    let expected = observe(&[300]).as_millis();

    assert!((295..=310).contains(&expected), "{expected}");
}

#[test]
fn most_runs_stay_below_the_expected_overhead() {
    // Guards against jobs that are late by the slowest of their tasks.
    let expected = observe(&[100, 200, 300, 400, 500]).as_millis();

    assert!(expected >= 500, "{expected}");
}
