//! Takes out hosts that the platform's list shows as leaving, and lets them back.
//!
//! The platform takes such a host away whatever is promised here: if it went on serving, the
//! requests on it would be cut. So it is held, beyond its pool's budget too. The list lags and can
//! be wrong. A host that has just come back may still be shown as leaving for its own reboot, and
//! a list that shows half of the fleet as leaving must not empty it; hence the two limits.

use std::time::Duration;

use borageswitch_types::fleet::{FleetChange, HostPhase, PLATFORM_LEAVES};

use crate::steps::Plan;

/// What the list shows of a host counts once the host has been in its phase for this time.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(30);
/// A host is held beyond its pool's budget only while fewer than one in so many of all hosts are
/// held for the list.
const FORCED_SHARE: usize = 10;

pub(crate) fn plan(plan: &mut Plan<'_>) {
    let Some(leaving) = &plan.observed.listed_leaving else { return };
    let mut held = plan.fleet.hosts.values().filter(|host| is_held_for_list(&host.phase)).count();
    let most_forced = plan.fleet.hosts.len().div_ceil(FORCED_SHARE);
    for (name, host) in &plan.fleet.hosts {
        let is_settled = plan.observed.in_phase_for(name) >= LIST_LAG;
        let is_leaving = leaving.contains(name);
        match &host.phase {
            HostPhase::Serving if is_leaving && is_settled && !plan.is_touched(name) => {
                let is_spared = plan.ledger.check_without(name, host).is_ok();
                if !is_spared && held >= most_forced {
                    continue;
                }
                held += 1;
                let hold =
                    FleetChange::HoldHost { host: name.clone(), reason: PLATFORM_LEAVES.into() };
                plan.change_host(name, host, hold, format!("{name} is held: {PLATFORM_LEAVES}"));
            }
            HostPhase::Held { reason } if &**reason == PLATFORM_LEAVES && !is_leaving => {
                let release = FleetChange::ReleaseHost { host: name.clone() };
                plan.touch(name);
                plan.change(
                    release,
                    format!("{name} may serve again: the list shows it as staying"),
                );
            }
            _ => {}
        }
    }
}

fn is_held_for_list(phase: &HostPhase) -> bool {
    matches!(phase, HostPhase::Held { reason } if &**reason == PLATFORM_LEAVES)
}
