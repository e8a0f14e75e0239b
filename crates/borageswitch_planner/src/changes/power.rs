//! Throttles, switches off and starts hosts under the power cap.
//!
//! The cap is enforced by reservation. A host's peak draw stays reserved until a throttle is
//! confirmed, and a throttle is lifted only after the peak is reserved again. Both are states of
//! the document, so that after a takeover the new planner finds which commands were sent and their
//! operation ids.

use borageswitch_types::{
    Fleet,
    fleet::{HostPhase, HostPower, LeaveReason, Refusal, Watts},
    names::{HostName, OperationId},
    time::UnixMillis,
};

use crate::changes::{
    find_host,
    hosts::{begin_switch_off, describe_phase},
    invalid, set_phase, skip_in_waves, wrong_state,
};

pub(super) fn set_cap(fleet: &mut Fleet, cap: Watts) -> Result<(), Refusal> {
    if cap == Watts(0) && !fleet.hosts.is_empty() {
        return Err(invalid("cap", "a site with hosts needs a cap above 0 W"));
    }
    fleet.power_cap = cap;
    Ok(())
}

pub(super) fn begin_throttle(
    fleet: &mut Fleet,
    name: &HostName,
    operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let running = matches!(
        host.phase,
        HostPhase::Serving | HostPhase::Trial { .. } | HostPhase::Leaving { .. }
    );
    if !running {
        return Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host))));
    }
    match host.power {
        HostPower::Full | HostPower::Lifting { .. } => {
            host.power = HostPower::Throttling { operation: operation.clone() };
            Ok(())
        }
        _ => Err(wrong_state("host", format!("'{name}' is throttled or off already"))),
    }
}

pub(super) fn confirm_throttle(
    fleet: &mut Fleet,
    name: &HostName,
    reported: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    host.power = match &host.power {
        HostPower::Throttling { operation } if operation == reported => HostPower::Throttled,
        HostPower::Lifting { operation } if operation == reported => HostPower::Full,
        HostPower::Throttling { .. } | HostPower::Lifting { .. } => {
            let why = "another command was given since".to_owned();
            return Err(wrong_state("operation", why));
        }
        _ => return Err(wrong_state("host", format!("no throttle was asked of '{name}'"))),
    };
    Ok(())
}

pub(super) fn lift_throttle(
    fleet: &mut Fleet,
    name: &HostName,
    operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    match host.power {
        HostPower::Throttled | HostPower::Throttling { .. } => {
            host.power = HostPower::Lifting { operation: operation.clone() };
            Ok(())
        }
        _ => Err(wrong_state("host", format!("'{name}' is not throttled"))),
    }
}

/// Takes a host out of service to release its power.
///
/// The cap is a physical limit and takes precedence over budgets, so this change may remove
/// capacity promised to a service. It is refused while the reservation is within the cap.
pub(super) fn park(fleet: &mut Fleet, name: &HostName) -> Result<(), Refusal> {
    if fleet.reserved_power() <= fleet.power_cap {
        return Err(wrong_state("host", "the reservation is within the power cap".to_owned()));
    }
    let host = find_host(fleet, name)?;
    match host.phase {
        HostPhase::Serving | HostPhase::Trial { .. } | HostPhase::Leaving { .. } => {
            set_phase(host, HostPhase::Leaving { why: LeaveReason::Power });
            skip_in_waves(fleet, name, "the power cap left no watts for it");
            Ok(())
        }
        _ => Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host)))),
    }
}

pub(super) fn switch_off(
    fleet: &mut Fleet,
    name: &HostName,
    operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let idle =
        matches!(host.phase, HostPhase::Held { .. } | HostPhase::Failed { .. } | HostPhase::Parked);
    if !idle {
        return Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host))));
    }
    match host.power {
        HostPower::Off | HostPower::SwitchingOff { .. } => {
            Err(wrong_state("host", format!("'{name}' is off already")))
        }
        HostPower::Full
        | HostPower::Throttling { .. }
        | HostPower::Throttled
        | HostPower::Surging
        | HostPower::Lifting { .. } => {
            begin_switch_off(host, operation);
            Ok(())
        }
    }
}

pub(super) fn confirm_off(fleet: &mut Fleet, name: &HostName) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    match host.power {
        HostPower::SwitchingOff { .. } => {
            host.power = HostPower::Off;
            Ok(())
        }
        _ => Err(wrong_state("host", format!("'{name}' was not asked to switch off"))),
    }
}

/// Starts a parked host that is off, or restarts a failed one.
pub(super) fn start(
    fleet: &mut Fleet,
    name: &HostName,
    not_after: UnixMillis,
    operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let may_start = match host.phase {
        HostPhase::Parked => host.power == HostPower::Off,
        // A pending command to switch a failed host off could arrive after the start.
        HostPhase::Failed { .. } => !matches!(host.power, HostPower::SwitchingOff { .. }),
        _ => false,
    };
    if !may_start {
        return Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host))));
    }
    host.power = HostPower::Full;
    set_phase(host, HostPhase::Starting { operation: operation.clone(), not_after });
    Ok(())
}
