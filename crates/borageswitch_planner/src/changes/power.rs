//! Throttles, switches off and starts hosts under the power cap.
//!
//! The cap is kept by reservation. A host counts at its peak until a throttle is confirmed, and a
//! throttle is lifted only after the peak is reserved again; both are states of the document, so a
//! planner that takes over finds what was asked and with which operation id.

use borageswitch_types::{
    Fleet,
    fleet::{HostPhase, HostPower, LeaveReason, Refusal, Watts},
    names::{HostName, OperationId},
    time::UnixMillis,
};

use crate::changes::{
    find_host,
    hosts::{begin_off, doing},
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
        return Err(wrong_state("host", format!("'{name}' is {}", doing(host))));
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
    answered: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    host.power = match &host.power {
        HostPower::Throttling { operation } if operation == answered => HostPower::Throttled,
        HostPower::Lifting { operation } if operation == answered => HostPower::Full,
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

/// Takes a host out of service for its watts.
///
/// The cap is physical and goes before a budget, so this alone may take capacity that a service
/// was promised; it is refused while the reservation is within the cap.
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
        _ => Err(wrong_state("host", format!("'{name}' is {}", doing(host)))),
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
        return Err(wrong_state("host", format!("'{name}' is {}", doing(host))));
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
            begin_off(host, operation);
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
        // While a failed host is being switched off, a start could be overtaken by that command.
        HostPhase::Failed { .. } => !matches!(host.power, HostPower::SwitchingOff { .. }),
        _ => false,
    };
    if !may_start {
        return Err(wrong_state("host", format!("'{name}' is {}", doing(host))));
    }
    host.power = HostPower::Full;
    set_phase(host, HostPhase::Starting { operation: operation.clone(), not_after });
    Ok(())
}
