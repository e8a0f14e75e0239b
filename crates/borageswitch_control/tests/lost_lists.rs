//! A wave after a daemon has crashed, while most member lists are lost, in virtual time.

mod support;

use std::time::Duration;

use borageswitch_control::config::Guards;
use borageswitch_types::fleet::{FleetChange, WaveSettings};

use crate::support::{faults::Faults, world::World};

/// Upper bound on the duration of the wave: one silence timeout, one lease and one longest deadline
/// of the crashed daemon, and some seconds for the hosts.
const LIMIT: Duration = Duration::from_secs(60);

/// A wave waits for the requests that a crashed daemon may have had in flight. On a busy machine
/// most store responses arrive too late, and successful lists are half a lease apart. The wait must
/// not restart with each list, or the wave would hardly progress.
#[test]
fn lost_lists_do_not_delay_a_wave() {
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
