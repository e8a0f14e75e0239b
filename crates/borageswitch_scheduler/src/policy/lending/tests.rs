//! Which hosts move to another pool, under the load that requires it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::names::PoolName;

use super::{self as lending, Demand, LabelDemand, MovableHost, Move, PoolLoad};
use crate::job::Size;

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn idle(hosts: &[(&'static str, u64, &str)]) -> Vec<MovableHost<&'static str>> {
    let each = hosts.iter().map(|(host, ms, label)| MovableHost {
        host: *host,
        idle: Duration::from_millis(*ms),
        labels: vec![Arc::from(*label)],
        scarce: *label == "b",
    });
    each.collect()
}

fn load(
    pool: &str,
    hosts: usize,
    idle_hosts: &[(&'static str, u64, &str)],
) -> PoolLoad<&'static str> {
    PoolLoad {
        pool: PoolName::from(pool),
        standby: false,
        hosts,
        idle: idle(idle_hosts),
        busy: Vec::new(),
        demand: Demand::default(),
        label_demands: Vec::new(),
        missing_for_lasting: Vec::new(),
        missing_for_gang: Vec::new(),
        hosts_by_label: BTreeMap::new(),
        data_racks: BTreeSet::new(),
        arriving_cores: 0.0,
        host_size: cores(64),
        has_short_work: true,
        min_powered_on: 0,
    }
}

fn demand_for(hosts: u64) -> Demand {
    Demand { resources: cores(hosts * 54), separate_hosts: 0 }
}

#[test]
fn a_pool_at_its_peak_gets_hosts_that_are_off_and_then_idle_ones() {
    // One queue has a load peak while the others are quiet: its pool has a quarter of the capacity
    // that it requests.
    let busy = PoolLoad { demand: demand_for(5), ..load("roster", 2, &[]) };
    let hosts = [("t1", 100, "a"), ("t2", 90, "a"), ("t3", 80, "a"), ("t4", 70, "a")];
    let idle = load("tender", 5, &hosts);
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[busy, idle, off], usize::MAX, |_, _| true);

    let hosts: Vec<&str> = moves.iter().map(|m| m.host).collect();
    assert_eq!(hosts, ["s1", "t1", "t2"]);
    assert!(moves.iter().all(|m| m.to.as_str() == "roster"));
}

#[test]
fn idle_hosts_are_switched_off_but_a_few_stay_for_the_next_peak() {
    let hosts = [("t1", 5_000, "a"), ("t2", 5_000, "a"), ("t3", 5_000, "a"), ("t4", 5_000, "a")];
    let idle = load("tender", 4, &hosts);
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[idle, off], usize::MAX, |_, _| true);

    assert_eq!(moves.len(), 2);
    assert!(moves.iter().all(|m| m.to.as_str() == "spare"));
}

#[test]
fn a_host_that_cannot_be_in_a_pool_is_not_sent_there() {
    let busy = PoolLoad { demand: demand_for(1), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[busy, off], usize::MAX, |_, _| false);

    assert!(moves.is_empty());
}

#[test]
fn a_task_that_needs_a_label_gets_a_host_that_has_it() {
    // Only some hosts have what a task needs. If they were switched off like any other, or lent to
    // a pool that does not need the label, the task would wait forever beside idle hosts.
    let demand = Demand { resources: cores(1), separate_hosts: 1 };
    let label =
        LabelDemand { label: "b".into(), demand, waiting: demand.resources.cpu_milli, hosts: 0 };
    let requester = PoolLoad { demand, label_demands: vec![label], ..load("roster", 3, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 2, &[("s1", 0, "a"), ("s2", 0, "b")]) };

    let moves = lending::decide(&[requester, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "s2", to: PoolName::from("roster") }]);
}

#[test]
fn a_scarce_host_is_left_to_tasks_that_need_it() {
    // A pool whose tasks can run anywhere takes the only host of a kind, and a job that needs the
    // kind waits until the load peak is over.
    let busy = PoolLoad { demand: demand_for(1), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 2, &[("s1", 0, "b"), ("s2", 0, "a")]) };

    let moves = lending::decide(&[busy, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "s2", to: PoolName::from("roster") }]);
}

#[test]
fn the_last_host_with_a_label_in_demand_stays() {
    let demand = Demand { resources: cores(1), separate_hosts: 1 };
    let label =
        LabelDemand { label: "b".into(), demand, waiting: demand.resources.cpu_milli, hosts: 1 };
    let idle = [("t1", 9_000, "b"), ("t2", 9_000, "a"), ("t3", 9_000, "a"), ("t4", 9_000, "a")];
    let quiet = PoolLoad { label_demands: vec![label], ..load("tender", 4, &idle) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[quiet, off], usize::MAX, |_, _| true);

    assert!(!moves.is_empty());
    assert!(moves.iter().all(|m| m.host != "t1"), "{moves:?}");
}

#[test]
fn a_pool_gives_up_its_idle_reserve_for_a_requested_label() {
    // A pool keeps idle hosts for its next load peak, among them the only free one with a label. If
    // it stayed there, the tasks of another pool that need it would wait beside it.
    let demand = Demand { resources: cores(1), separate_hosts: 1 };
    let label =
        LabelDemand { label: "b".into(), demand, waiting: demand.resources.cpu_milli, hosts: 0 };
    let requester = PoolLoad { label_demands: vec![label], ..load("roster", 3, &[]) };
    let quiet = load("tender", 2, &[("t1", 9_000, "a"), ("t2", 9_000, "b")]);
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[requester, quiet, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "t2", to: PoolName::from("roster") }]);
}

#[test]
fn a_lasting_task_gets_a_host_of_the_idle_reserve_of_another_pool() {
    // Guards against a lasting task without a host beside one that is idle, and with it against
    // hosts that are never drained, as too many tasks of its step are unavailable already.
    let needy = PoolLoad { missing_for_lasting: vec![None], ..load("roster", 2, &[]) };
    let reserve = load("payroll", 4, &[("p1", 100, "a")]);
    let in_need = PoolLoad { demand: demand_for(4), ..reserve.clone() };

    let moves = lending::decide(&[needy.clone(), reserve], usize::MAX, |_, _| true);
    let moves_in_need = lending::decide(&[needy, in_need], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "p1", to: PoolName::from("roster") }]);
    assert_eq!(moves_in_need, []);
}

#[test]
fn a_lasting_task_gets_a_host_that_short_tasks_use() {
    // Short tasks of another pool work through a backlog on all hosts with a label. A lasting task
    // that waited for them would leave its users without service for as long as the backlog lasts.
    let demand = Demand { resources: cores(900), separate_hosts: 1 };
    let label =
        LabelDemand { label: "b".into(), demand, waiting: demand.resources.cpu_milli, hosts: 1 };
    let busy = idle(&[("t1", 0, "b")]);
    let loaded = PoolLoad { label_demands: vec![label], busy, ..load("tender", 1, &[]) };
    let requester =
        PoolLoad { missing_for_lasting: vec![Some("b".into())], ..load("roster", 3, &[]) };

    let moves = lending::decide(&[loaded, requester], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "t1", to: PoolName::from("roster") }]);
}

#[test]
fn hosts_with_a_scarce_label_are_shared_even_if_none_is_ever_idle() {
    // Only one host has a label, and its pool keeps it busy with tasks that do not need it. If only
    // idle hosts were lent, the tasks of another pool that need it would wait forever.
    let demand = demand_for(3);
    let label = LabelDemand { label: "b".into(), demand, waiting: 1_000, hosts: 0 };
    let starved = PoolLoad { label_demands: vec![label], ..load("roster", 4, &[]) };
    let satisfied = PoolLoad {
        demand: demand_for(5),
        busy: idle(&[("h", 0, "b")]),
        hosts_by_label: BTreeMap::from([("b".into(), 1)]),
        ..load("tender", 5, &[])
    };

    let moves = lending::decide(&[starved, satisfied], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "h", to: PoolName::from("roster") }]);
}

#[test]
fn a_pool_keeps_the_hosts_powered_on_that_its_next_peak_will_need() {
    // A fleet of thousands of hosts between two load peaks of one queue.
    let hosts = [("t1", 9_000, "a"), ("t2", 8_000, "a"), ("t3", 7_000, "a"), ("t4", 6_000, "a")];
    let quiet = PoolLoad { min_powered_on: 3, has_short_work: false, ..load("tender", 4, &hosts) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[quiet, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "t1", to: PoolName::from("spare") }]);
}

#[test]
fn no_more_hosts_are_switched_off_than_the_call_budget_allows() {
    let hosts = [("t1", 9_000, "a"), ("t2", 8_000, "a"), ("t3", 7_000, "a"), ("t4", 6_000, "a")];
    let quiet = PoolLoad { has_short_work: false, ..load("tender", 4, &hosts) };
    let requester = PoolLoad { demand: demand_for(2), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[quiet, requester, off], 1, |_, _| true);

    let switched_off = moves.iter().filter(|m| m.to.as_str() == "spare").count();
    assert_eq!((moves.len(), switched_off), (3, 1));
}

#[test]
fn a_new_leader_keeps_hosts_powered_on_until_it_knows_the_load() {
    // The site starts, and no work arrives for some seconds. Then the first load peak begins at its
    // full rate. With the hosts switched off, the first seconds of jobs wait until they are back,
    // and all later jobs are late as well.
    let hosts = [("t1", 9_000, "a"), ("t2", 9_000, "a"), ("t3", 9_000, "a"), ("t4", 9_000, "a")];
    let without_load =
        PoolLoad { min_powered_on: usize::MAX, has_short_work: false, ..load("tender", 4, &hosts) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };
    let busy = PoolLoad { demand: demand_for(2), ..load("roster", 1, &[]) };

    assert_eq!(lending::decide(&[without_load.clone(), off], usize::MAX, |_, _| true), []);
    // Another pool that is short of them still gets them.
    assert_eq!(lending::decide(&[without_load, busy], usize::MAX, |_, _| true).len(), 1);
}
