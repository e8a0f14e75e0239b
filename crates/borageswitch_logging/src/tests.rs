use super::*;

#[test]
fn a_full_queue_drops_and_counts_lines_without_blocking() {
    // The reader of the output has stopped while the scheduler makes a thousand decisions a second.
    // A thread that blocked on logging would delay the handling of leases.
    let (tx, rx) = sync_channel(10);
    let dropped = AtomicU64::new(0);

    for number in 0..1_000 {
        send_or_drop(&tx, &dropped, number.to_string());
    }

    assert_eq!(rx.try_iter().count(), 10);
    assert_eq!(dropped.load(Ordering::Relaxed), 990);
}

#[test]
fn a_flood_of_one_kind_does_not_suppress_other_kinds() {
    // A fault produces ten thousand lines of one kind in a second. On-call engineers need the line
    // that says why a job was refused in the same second.
    let mut budget = Budget::default();
    let written = (0..10_000).filter(|_| budget.spend("start-refused", 7).allowed).count();

    let refusal = budget.spend("not-accepted", 7);

    assert_eq!(written, budget::MAX_LINES_PER_SECOND as usize);
    assert!(refusal.allowed);
}

#[test]
fn suppressed_lines_are_reported_in_the_next_second() {
    let mut budget = Budget::default();
    let flood = budget::MAX_LINES_PER_SECOND + 30;
    for _ in 0..flood {
        budget.spend("start-refused", 7);
    }

    let next = budget.spend("not-accepted", 8);

    assert_eq!(next.suppressed, [("start-refused".into(), 30)]);
    assert!(budget.spend("start-refused", 8).allowed);
    assert_eq!(budget.spend("not-accepted", 9).suppressed, []);
}

#[test]
fn kinds_that_never_repeat_use_bounded_memory() {
    let mut budget = Budget::default();
    let flood = 10 * budget::MAX_LINES_PER_SECOND;

    let written = (0..flood).filter(|n| budget.spend(&format!("error {n}"), 7).allowed).count();

    assert!(written < 2 * budget::MAX_LINES_PER_SECOND as usize, "{written}");
}
