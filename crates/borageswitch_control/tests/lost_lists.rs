//! A wave beside a daemon that is gone, while most lists of members are lost, in virtual time.

mod support;

use std::time::Duration;

use borageswitch_control::config::Guards;
use borageswitch_types::fleet::{FleetChange, WaveSettings};

use crate::support::{faults::Faults, world::World};

/// The most that the wave may take: once the silence, the lease and the longest deadline of the
/// crashed daemon, and some seconds for the hosts.
const LIMIT: Duration = Duration::from_secs(60);

/// A daemon crashes and a wave waits for what it may have had in flight. On a busy machine most
/// answers of the store come too late, and two lists that are answered lie half a lease apart.
/// Operators would see the wait begin anew with each list, and the wave would hardly go on.
#[test]
fn lost_lists_do_not_hold_a_wave_back() {
    let mut world = World::new(11, 5, Faults::none(), Guards::default());
    world.run_until(Duration::from_secs(3));
    let names = world.names();
    let settings = WaveSettings { trial: Duration::from_millis(300), ..Default::default() };
    let change = FleetChange::StartWave { wave: "wave".into(), hosts: vec![], settings };
    world.list_response_interval = 3;

    world.crash(names.last().expect("there are five daemons"));
    world.change(&names[0], 2, "start", change);
    world.run_until(LIMIT);

    assert_eq!(world.checker.reboots, 12, "the wave has gone over all hosts");
}
