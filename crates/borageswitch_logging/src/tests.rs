use super::*;

#[test]
fn a_flood_of_lines_blocks_nobody_and_is_counted() {
    // Nobody reads the output any more while the scheduler decides a thousand times a second. A
    // thread that waited to log would hold up leases.
    let (tx, rx) = sync_channel(10);
    let dropped = AtomicU64::new(0);

    for number in 0..1_000 {
        offer(&tx, &dropped, number.to_string());
    }

    assert_eq!(rx.try_iter().count(), 10);
    assert_eq!(dropped.load(Ordering::Relaxed), 990);
}

#[test]
fn a_flood_of_one_kind_leaves_room_for_the_others() {
    // A fault makes one kind of line come ten thousand times a second. On-call engineers look for
    // the line that says why a job was refused in that second.
    let mut budget = Budget::default();
    let written = (0..10_000).filter(|_| budget.spend("start-refused", 7).allowed).count();

    let refusal = budget.spend("not-accepted", 7);

    assert_eq!(written, budget::LINES_A_SECOND as usize);
    assert!(refusal.allowed);
}

#[test]
fn what_is_left_out_is_counted_in_the_next_second() {
    let mut budget = Budget::default();
    let flood = budget::LINES_A_SECOND + 30;
    for _ in 0..flood {
        budget.spend("start-refused", 7);
    }

    let next = budget.spend("not-accepted", 8);

    assert_eq!(next.left_out, [("start-refused".into(), 30)]);
    assert!(budget.spend("start-refused", 8).allowed);
    assert_eq!(budget.spend("not-accepted", 9).left_out, []);
}

#[test]
fn texts_that_never_repeat_do_not_fill_the_memory() {
    let mut budget = Budget::default();
    let flood = 10 * budget::LINES_A_SECOND;

    let written = (0..flood).filter(|n| budget.spend(&format!("error {n}"), 7).allowed).count();

    assert!(written < 2 * budget::LINES_A_SECOND as usize, "{written}");
}
