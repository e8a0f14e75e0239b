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
