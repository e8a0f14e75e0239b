//! Which hosts change their pool, under the load that asks for them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::names::PoolName;

use super::{self as lending, IdleHost, LabelNeed, Move, Need, PoolLoad};
use crate::job::Size;

fn cores(cores: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: cores * 1_000, accelerators: 0 }
}

fn idle(hosts: &[(&'static str, u64, &str)]) -> Vec<IdleHost<&'static str>> {
    let each = hosts.iter().map(|(host, ms, label)| IdleHost {
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
        need: Need::default(),
        labelled: Vec::new(),
        lasting: Vec::new(),
        gang: Vec::new(),
        label_hosts: BTreeMap::new(),
        data_racks: BTreeSet::new(),
        arriving_cores: 0.0,
        host: cores(64),
        has_short_work: true,
        kept_on: 0,
    }
}

fn wanting(hosts: u64) -> Need {
    Need { demand: cores(hosts * 54), apart: 0 }
}

#[test]
fn a_pool_in_its_turn_gets_hosts_that_are_off_and_then_idle_ones() {
    // One queue's turn begins while the others rest: its pool holds a quarter of what it asks for.
    let busy = PoolLoad { need: wanting(5), ..load("roster", 2, &[]) };
    let hosts = [("t1", 100, "a"), ("t2", 90, "a"), ("t3", 80, "a"), ("t4", 70, "a")];
    let idle = load("tender", 5, &hosts);
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[busy, idle, off], usize::MAX, |_, _| true);

    let hosts: Vec<&str> = moves.iter().map(|m| m.host).collect();
    assert_eq!(hosts, ["s1", "t1", "t2"]);
    assert!(moves.iter().all(|m| m.to.as_str() == "roster"));
}

#[test]
fn an_idle_host_is_switched_off_but_a_few_stay_for_the_next_turn() {
    let hosts = [("t1", 5_000, "a"), ("t2", 5_000, "a"), ("t3", 5_000, "a"), ("t4", 5_000, "a")];
    let idle = load("tender", 4, &hosts);
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[idle, off], usize::MAX, |_, _| true);

    assert_eq!(moves.len(), 2);
    assert!(moves.iter().all(|m| m.to.as_str() == "spare"));
}

#[test]
fn a_host_that_cannot_be_in_a_pool_is_not_sent_there() {
    let busy = PoolLoad { need: wanting(1), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[busy, off], usize::MAX, |_, _| false);

    assert!(moves.is_empty());
}

#[test]
fn a_task_that_needs_a_label_gets_a_host_that_has_it() {
    // Only some hosts have what a task needs. Were they switched off like any other, or lent to a
    // pool that can do without, the task would wait for ever beside idle hosts.
    let need = Need { demand: cores(1), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, waiting: need.demand.cpu_milli, hosts: 0 };
    let wants = PoolLoad { need, labelled: vec![label], ..load("roster", 3, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 2, &[("s1", 0, "a"), ("s2", 0, "b")]) };

    let moves = lending::decide(&[wants, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "s2", to: PoolName::from("roster") }]);
}

#[test]
fn a_scarce_host_is_left_to_those_who_need_it() {
    // A pool whose tasks can run anywhere takes the only host of a kind; a job that needs the kind
    // waits until the rush is over.
    let busy = PoolLoad { need: wanting(1), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 2, &[("s1", 0, "b"), ("s2", 0, "a")]) };

    let moves = lending::decide(&[busy, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "s2", to: PoolName::from("roster") }]);
}

#[test]
fn the_last_host_with_a_label_in_demand_stays() {
    let need = Need { demand: cores(1), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, waiting: need.demand.cpu_milli, hosts: 1 };
    let idle = [("t1", 9_000, "b"), ("t2", 9_000, "a"), ("t3", 9_000, "a"), ("t4", 9_000, "a")];
    let rests = PoolLoad { labelled: vec![label], ..load("tender", 4, &idle) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[rests, off], usize::MAX, |_, _| true);

    assert!(!moves.is_empty());
    assert!(moves.iter().all(|m| m.host != "t1"), "{moves:?}");
}

#[test]
fn a_reserve_gives_up_the_last_host_with_a_wanted_label() {
    // Two pools keep idle hosts for their next turn, among them the only free one with a label.
    // Kept there, the tasks of a third pool that need it would wait beside it.
    let need = Need { demand: cores(1), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, waiting: need.demand.cpu_milli, hosts: 0 };
    let wants = PoolLoad { labelled: vec![label], ..load("roster", 3, &[]) };
    let rests = load("tender", 2, &[("t1", 9_000, "a"), ("t2", 9_000, "b")]);
    let off = PoolLoad { standby: true, ..load("spare", 1, &[("s1", 0, "a")]) };

    let moves = lending::decide(&[wants, rests, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "t2", to: PoolName::from("roster") }]);
}

#[test]
fn a_lasting_task_gets_a_host_that_short_tasks_use() {
    // Short tasks of another pool work off their backlog on all hosts with a label. A lasting task
    // that waited for them would leave its users without service for as long as the backlog lasts.
    let need = Need { demand: cores(900), apart: 1 };
    let label = LabelNeed { label: "b".into(), need, waiting: need.demand.cpu_milli, hosts: 1 };
    let busy = idle(&[("t1", 0, "b")]);
    let rushes = PoolLoad { labelled: vec![label], busy, ..load("tender", 1, &[]) };
    let wants = PoolLoad { lasting: vec![Some("b".into())], ..load("roster", 3, &[]) };

    let moves = lending::decide(&[rushes, wants], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "t1", to: PoolName::from("roster") }]);
}

#[test]
fn a_scarce_label_is_shared_although_no_host_with_it_is_ever_idle() {
    // One host in all has a label, and its pool keeps it busy with tasks that can do without. The
    // tasks of another pool that need it wait; were hosts given only when idle, they would for ever.
    let need = wanting(3);
    let label = LabelNeed { label: "b".into(), need, waiting: 1_000, hosts: 0 };
    let starved = PoolLoad { labelled: vec![label], ..load("roster", 4, &[]) };
    let content = PoolLoad {
        need: wanting(5),
        busy: idle(&[("h", 0, "b")]),
        label_hosts: BTreeMap::from([("b".into(), 1)]),
        ..load("tender", 5, &[])
    };

    let moves = lending::decide(&[starved, content], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "h", to: PoolName::from("roster") }]);
}

#[test]
fn a_pool_keeps_on_what_its_next_rush_will_need() {
    // A fleet of thousands of hosts between two rushes of one queue.
    let hosts = [("t1", 9_000, "a"), ("t2", 8_000, "a"), ("t3", 7_000, "a"), ("t4", 6_000, "a")];
    let rests = PoolLoad { kept_on: 3, has_short_work: false, ..load("tender", 4, &hosts) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[rests, off], usize::MAX, |_, _| true);

    assert_eq!(moves, [Move { host: "t1", to: PoolName::from("spare") }]);
}

#[test]
fn no_more_hosts_are_switched_off_at_once_than_calls_are_left_for() {
    let hosts = [("t1", 9_000, "a"), ("t2", 8_000, "a"), ("t3", 7_000, "a"), ("t4", 6_000, "a")];
    let rests = PoolLoad { has_short_work: false, ..load("tender", 4, &hosts) };
    let wants = PoolLoad { need: wanting(2), ..load("roster", 0, &[]) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };

    let moves = lending::decide(&[rests, wants, off], 1, |_, _| true);

    let switched_off = moves.iter().filter(|m| m.to.as_str() == "spare").count();
    assert_eq!((moves.len(), switched_off), (3, 1));
}

#[test]
fn a_new_leader_keeps_hosts_on_until_it_knows_the_load() {
    // The site starts, and nothing comes for some seconds. Then the first turn begins at full rate.
    // With its hosts switched off, the first seconds of jobs wait until they are back, and all that
    // comes behind them is late as well.
    let hosts = [("t1", 9_000, "a"), ("t2", 9_000, "a"), ("t3", 9_000, "a"), ("t4", 9_000, "a")];
    let silent =
        PoolLoad { kept_on: usize::MAX, has_short_work: false, ..load("tender", 4, &hosts) };
    let off = PoolLoad { standby: true, ..load("spare", 0, &[]) };
    let busy = PoolLoad { need: wanting(2), ..load("roster", 1, &[]) };

    assert_eq!(lending::decide(&[silent.clone(), off], usize::MAX, |_, _| true), []);
    // Another pool that lacks them gets them all the same.
    assert_eq!(lending::decide(&[silent, busy], usize::MAX, |_, _| true).len(), 1);
}
