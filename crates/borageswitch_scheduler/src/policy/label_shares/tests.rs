use super::{PoolDemand, shares};

fn demand(waiting: u64, hosts: usize) -> PoolDemand {
    PoolDemand { waiting, hosts }
}

#[test]
fn a_pool_without_a_host_gets_one_that_another_pool_does_not_need() {
    let allocated = shares(&[demand(400, 0), demand(0, 1), demand(300, 1)]);

    assert_eq!(allocated, [1, 0, 1]);
}

#[test]
fn the_only_host_goes_to_a_pool_that_has_waited_long_enough() {
    // The load of the pool that has the host stays the same, while the tasks waiting in the other
    // pool add up.
    let early = shares(&[demand(300, 1), demand(500, 0)]);
    let late = shares(&[demand(300, 1), demand(700, 0)]);

    assert_eq!(early, [1, 0]);
    assert_eq!(late, [0, 1]);
}

#[test]
fn a_host_stays_in_its_pool_when_demands_are_similar() {
    let allocated = shares(&[demand(400, 2), demand(380, 2), demand(20, 0)]);

    assert_eq!(allocated, [2, 2, 0]);
}
