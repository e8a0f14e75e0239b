//! Verifies that the simulation's checks detect faults: with one guard off, a known seed must fail.
//!
//! `BORAGESWITCH_SEARCH=200` searches for the first seeds that fail without each guard.

mod support;

use std::{panic, time::Duration};

use borageswitch_control::config::Guards;
use borageswitch_types::fleet::{FleetChange, WaveSettings};

use crate::support::{faults::Faults, run, world::World};

/// The panic message of a run without a guard, or `None` if no check failed.
fn failure_of_seed(seed: u64, guards: Guards) -> Option<String> {
    panic_message(|| {
        run(seed, guards);
    })
}

fn panic_message<F>(run: F) -> Option<String>
where
    F: FnOnce() + panic::UnwindSafe,
{
    let outcome = panic::catch_unwind(run);
    let payload = outcome.err()?;
    let text = payload.downcast_ref::<String>().cloned();
    text.or_else(|| payload.downcast_ref::<&str>().map(ToString::to_string))
}

/// Asserts that at least one of the seeds fails for the expected reason, and that all pass with
/// every guard on.
fn assert_caught(seeds: &[u64], guards: Guards, expected: &str) {
    let found = seeds.iter().filter_map(|seed| Some((seed, failure_of_seed(*seed, guards)?)));
    let found: Vec<_> = found.collect();
    let caught: Vec<_> = found.iter().filter(|(_, text)| text.contains(expected)).collect();
    println!("caught: {caught:?}");
    assert!(!caught.is_empty(), "no seed is caught by '{expected}', only {found:?}");
    for seed in seeds {
        assert_eq!(failure_of_seed(*seed, Guards::default()), None, "seed {seed} with all guards");
    }
}

/// A paused holder loses its lease and another daemon takes over. Without the lease check by its
/// own clock, the first holder would still send commands to hosts when it resumes.
#[test]
fn without_fencing_a_paused_holder_sends_commands() {
    let guards = Guards { fencing: false, ..Guards::default() };
    assert_caught(&[0, 1], guards, "while the duty is with");
}

/// A host leaves and the planner itself has nothing in flight there. Without waiting for the other
/// daemons' confirmations, the reboot would cut their requests.
#[test]
fn without_acknowledgements_a_reboot_cuts_requests() {
    let guards = Guards { acknowledgements: false, ..Guards::default() };
    assert_caught(&[0, 2], guards, "in flight");
}

/// The store's response to a claim is lost. Without the read-back a daemon would assume that it
/// holds a claim that another one has, and the request would run twice.
#[test]
fn without_the_read_back_a_request_is_granted_twice() {
    let guards = Guards { claim_read_back: false, ..Guards::default() };
    assert_caught(&[0, 1], guards, "is granted to");
}

/// A peer message arrives late. Without the check it would restore an old document.
#[test]
fn without_adopting_only_higher_an_old_document_is_restored() {
    let guards = Guards { adopt_only_higher: false, ..Guards::default() };
    assert_caught(&[3, 20, 31, 39], guards, "go back from revision");
}

/// Cuts one daemon off from the store and from its peers during a wave over all hosts.
fn run_with_a_partitioned_daemon(guards: Guards) {
    let mut world = World::new(7, 5, Faults::none(), guards);
    world.run_until(Duration::from_secs(3));
    let settings = WaveSettings { trial: Duration::from_millis(300), ..Default::default() };
    let change = FleetChange::StartWave { wave: "wave".into(), hosts: vec![], settings };
    let names = world.names();
    let lost = names.last().expect("there are five daemons").clone();
    world.change(&names[0], 2, "start", change);
    world.cut_from_store(&lost, Duration::from_secs(40));
    world.split(&[lost], Duration::from_secs(40));
    world.run_until(Duration::from_secs(60));
    assert_eq!(world.checker.reboots, 12, "the wave goes on without the lost daemon");
}

/// A daemon is cut off while the others continue a wave. Without a permission that expires on its
/// own it would send work to hosts that are out of service.
#[test]
fn without_the_self_fence_a_partitioned_daemon_sends_work() {
    let guards = Guards { self_fence: false, ..Guards::default() };

    let found = panic_message(|| run_with_a_partitioned_daemon(guards)).expect("the run is caught");

    // The order depends on when the host reboots: either the reboot cuts an earlier request of the
    // lost daemon, or a later request goes to a host that is out of service.
    let effects = ["entry-04 sends new work", "requests of [entry-04] in flight"];
    let is_lost_daemons = effects.iter().any(|effect| found.contains(effect));
    assert!(is_lost_daemons, "caught for another reason: {found}");
    assert_eq!(panic_message(|| run_with_a_partitioned_daemon(Guards::default())), None);
}

#[test]
fn search_for_seeds() {
    let Some(count) = std::env::var("BORAGESWITCH_SEARCH").ok().and_then(|t| t.parse().ok()) else {
        return;
    };
    let all = Guards::default();
    let variants = [
        ("fencing", Guards { fencing: false, ..all }),
        ("acknowledgements", Guards { acknowledgements: false, ..all }),
        ("claim_read_back", Guards { claim_read_back: false, ..all }),
        ("adopt_only_higher", Guards { adopt_only_higher: false, ..all }),
        ("self_fence", Guards { self_fence: false, ..all }),
    ];
    for (name, guards) in variants {
        let caught =
            (0..count).filter_map(|seed: u64| Some((seed, failure_of_seed(seed, guards)?)));
        for (seed, text) in caught.take(4) {
            println!("FOUND {name} {seed}: {text}");
        }
    }
}
