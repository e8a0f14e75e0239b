use super::{Claim, shares};

fn claim(waiting: u64, hosts: usize) -> Claim {
    Claim { waiting, hosts }
}

#[test]
fn a_pool_without_a_host_gets_one_of_those_that_another_does_not_need() {
    let dealt = shares(&[claim(400, 0), claim(0, 1), claim(300, 1)]);

    assert_eq!(dealt, [1, 0, 1]);
}

#[test]
fn the_only_host_goes_to_a_pool_that_has_waited_long_enough() {
    // The pool that has the host is always about as full; what waits elsewhere adds up.
    let early = shares(&[claim(300, 1), claim(500, 0)]);
    let late = shares(&[claim(300, 1), claim(700, 0)]);

    assert_eq!(early, [1, 0]);
    assert_eq!(late, [0, 1]);
}

#[test]
fn what_waits_decides_and_a_host_stays_where_it_is_in_doubt() {
    let dealt = shares(&[claim(400, 2), claim(380, 2), claim(20, 0)]);

    assert_eq!(dealt, [2, 2, 0]);
}
