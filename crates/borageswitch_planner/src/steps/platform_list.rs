//! Holds hosts that the platform's list shows as leaving, and releases them when the list no longer
//! does.
//!
//! The platform takes such a host away regardless of any budget, and requests still running on it
//! would be cut. It is therefore held even if its pool's budget is violated. The list lags and can
//! be wrong: a host that has just come back may still be shown as leaving for its own reboot, and a
//! list that shows half of the fleet as leaving must not drain it. Two limits guard against that.

use std::time::Duration;

use borageswitch_types::fleet::{FleetChange, HostPhase, PLATFORM_LEAVES};

use crate::steps::Plan;

/// A host is held because of the list only after it has been in its phase for this long.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(30);
/// A host is held in violation of its pool's budget only while fewer than one in this many of all
/// hosts are held because of the list.
const FORCED_HOLD_DIVISOR: usize = 10;

pub(crate) fn plan(plan: &mut Plan<'_>) {
    let Some(leaving) = &plan.observed.listed_leaving else { return };
    let mut held = plan.fleet.hosts.values().filter(|host| is_held_for_list(&host.phase)).count();
    let max_forced = plan.fleet.hosts.len().div_ceil(FORCED_HOLD_DIVISOR);
    for (name, host) in &plan.fleet.hosts {
        let is_settled = plan.observed.in_phase_for(name) >= LIST_LAG;
        let is_leaving = leaving.contains(name);
        match &host.phase {
            HostPhase::Serving if is_leaving && is_settled && !plan.is_changed(name) => {
                let keeps_budget = plan.ledger.check_without(name, host).is_ok();
                if !keeps_budget && held >= max_forced {
                    continue;
                }
                held += 1;
                let hold =
                    FleetChange::HoldHost { host: name.clone(), reason: PLATFORM_LEAVES.into() };
                plan.change_host(name, host, hold, format!("{name} is held: {PLATFORM_LEAVES}"));
            }
            HostPhase::Held { reason } if &**reason == PLATFORM_LEAVES && !is_leaving => {
                let release = FleetChange::ReleaseHost { host: name.clone() };
                plan.mark_changed(name);
                plan.add_change(
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
