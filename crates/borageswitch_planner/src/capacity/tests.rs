//! Tests which hosts a pool can spare.

use borageswitch_types::{
    Fleet,
    fleet::{FailureDomain, Host},
    names::{HostName, PoolName, RackName},
};
use proptest::{collection::vec, prelude::*};

use crate::{
    capacity::{self, Ledger},
    model::sites,
};

/// A single pool with hosts in racks of the given sizes.
fn pool_in_racks(racks: &[u8], promised: u32, survives: FailureDomain) -> (Fleet, PoolName) {
    let mut fleet = sites::spotless_ridge(2, 0).fleet();
    let pool = PoolName::from("payroll");
    let spec = fleet.hosts["h0000"].spec.clone();
    fleet.hosts.clear();
    for (rack, hosts) in racks.iter().enumerate() {
        for index in 0..*hosts {
            let mut spec = spec.clone();
            spec.rack = RackName::from(format!("r{rack}"));
            let name = HostName::from(format!("h{rack}-{index}"));
            fleet.hosts.insert(name, Host::serving(spec, pool.clone()));
        }
    }
    let service = fleet.services.get_mut("payroll").expect("the site has it");
    service.promised_slots = promised;
    service.survives = survives;
    (fleet, pool)
}

fn removable(fleet: &Fleet, pool: &PoolName) -> usize {
    let hosts: Vec<_> = fleet.hosts_in(pool).collect();
    Ledger::new(fleet, |_| true).removable(&hosts).len()
}

#[test]
fn hosts_of_the_largest_rack_are_removable_down_to_the_next_size() {
    let (fleet, pool) = pool_in_racks(&[4, 2, 2], 32, FailureDomain::Rack);

    assert_eq!(capacity::surviving_slots(&fleet, &pool, FailureDomain::Rack, |_, _| true), 32);
    assert_eq!(removable(&fleet, &pool), 2);
}

#[test]
fn a_wider_failure_domain_leaves_fewer_removable_hosts() {
    let left = |survives| {
        let (fleet, pool) = pool_in_racks(&[3, 3, 3], 32, survives);
        removable(&fleet, &pool)
    };

    let kinds =
        [FailureDomain::None, FailureDomain::Host, FailureDomain::Rack, FailureDomain::DataCentre];

    assert_eq!(kinds.map(left), [5, 4, 3, 0]);
}

#[test]
fn a_violated_budget_names_its_service() {
    let (fleet, pool) = pool_in_racks(&[1, 1], 16, FailureDomain::Rack);

    let refusal = capacity::check_budgets(&fleet, &pool, &[]).unwrap_err();

    let expected = "service: 'payroll' would keep 8 slots of the promised 16";
    assert_eq!(refusal.to_string(), expected);
    assert_eq!(Ledger::new(&fleet, |_| true).check_pool(&pool), Err(refusal));
}

/// The maximum number of hosts that can leave, by trying every subset.
fn max_removable_brute_force(fleet: &Fleet, pool: &PoolName) -> usize {
    let hosts: Vec<_> = fleet.hosts_in(pool).map(|(name, _)| name).collect();
    (0..1_u32 << hosts.len())
        .filter(|subset| {
            let gone: Vec<_> = (0..hosts.len())
                .filter(|index| subset >> index & 1 == 1)
                .map(|index| hosts[index])
                .collect();
            capacity::check_budgets(fleet, pool, &gone).is_ok()
        })
        .map(|subset| subset.count_ones() as usize)
        .max()
        .unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_other_choice_removes_more_hosts(racks in vec(1..4u8, 1..5), promised in 0..10u32) {
        let (fleet, pool) = pool_in_racks(&racks, promised * 8, FailureDomain::Rack);

        prop_assert_eq!(removable(&fleet, &pool), max_removable_brute_force(&fleet, &pool));
    }

    #[test]
    fn the_ledger_agrees_with_the_check_of_one_pool(racks in vec(1..4u8, 1..5), promised in 0..10u32) {
        let (fleet, pool) = pool_in_racks(&racks, promised * 8, FailureDomain::Rack);
        let ledger = Ledger::new(&fleet, |_| true);

        for (name, host) in fleet.hosts_in(&pool) {
            prop_assert_eq!(
                ledger.check_without(name, host),
                capacity::check_budgets(&fleet, &pool, &[name])
            );
        }
    }
}
