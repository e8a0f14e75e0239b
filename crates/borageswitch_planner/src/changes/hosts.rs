//! Changes that move a host between the phases of its lifecycle.

use borageswitch_types::{
    Fleet,
    fleet::{Author, Host, HostPhase, HostPower, LeaveReason, Reason, Refusal},
    names::{HostName, OperationId, PoolName},
    time::UnixMillis,
};

use crate::{
    capacity,
    changes::{find_host, find_wave, set_phase, skip_in_waves, unknown, wrong_state},
};

pub(super) fn move_host(fleet: &mut Fleet, name: &HostName, to: &PoolName) -> Result<(), Refusal> {
    if !fleet.pools.contains_key(to) {
        return Err(unknown("to", to.as_str()));
    }
    let host = find_host(fleet, name)?;
    if host.pool == *to {
        return Err(wrong_state("to", format!("'{name}' stands in '{to}' already")));
    }
    match host.phase {
        HostPhase::Serving => {
            let from = host.pool.clone();
            capacity::check_budgets(fleet, &from, &[name])?;
            let leaving = HostPhase::Leaving { why: LeaveReason::Move { to: to.clone() } };
            set_phase(find_host(fleet, name)?, leaving);
            Ok(())
        }
        // An idle host can change pool at once, because it has no requests of the old pool.
        HostPhase::Held { .. } | HostPhase::Failed { .. } | HostPhase::Parked => {
            host.pool = to.clone();
            host.epoch += 1;
            Ok(())
        }
        HostPhase::Leaving { .. }
        | HostPhase::Rebooting { .. }
        | HostPhase::Trial { .. }
        | HostPhase::Starting { .. } => Err(wrong_state(
            "host",
            format!("'{name}' is {}; try again once it serves", describe_phase(host)),
        )),
    }
}

/// A description of the host's phase for messages.
pub(crate) fn describe_phase(host: &Host) -> &'static str {
    match host.phase {
        HostPhase::Serving => "serving",
        HostPhase::Leaving { why: LeaveReason::Move { .. } } => "leaving for another pool",
        HostPhase::Leaving { why: LeaveReason::Wave { .. } } => "leaving for a wave",
        HostPhase::Leaving { why: LeaveReason::Hold { .. } } => "leaving to be held",
        HostPhase::Leaving { why: LeaveReason::Power } => "leaving to be switched off",
        HostPhase::Rebooting { .. } => "rebooting",
        HostPhase::Trial { .. } => "on trial",
        HostPhase::Held { .. } => "held",
        HostPhase::Parked => "kept off for the power cap",
        HostPhase::Starting { .. } => "starting",
        HostPhase::Failed { .. } => "failed",
    }
}

/// Takes a host out of use.
///
/// An operator's hold must not violate a budget. The planner may hold a host that the platform is
/// about to take away even then: the capacity is lost in any case, and a hold lets requests in
/// flight finish.
pub(super) fn hold(
    fleet: &mut Fleet,
    name: &HostName,
    why: &Reason,
    author: &Author,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    match host.phase {
        HostPhase::Serving => {
            let pool = host.pool.clone();
            if matches!(author, Author::Operator { .. }) {
                capacity::check_budgets(fleet, &pool, &[name])?;
            }
        }
        HostPhase::Leaving { .. } | HostPhase::Trial { .. } => {}
        HostPhase::Parked | HostPhase::Failed { .. } => {
            set_phase(host, HostPhase::Held { reason: why.clone() });
            skip_in_waves(fleet, name, "an operator holds it");
            return Ok(());
        }
        HostPhase::Held { .. } | HostPhase::Rebooting { .. } | HostPhase::Starting { .. } => {
            return Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host))));
        }
    }
    skip_in_waves(fleet, name, "an operator holds it");
    let leaving = HostPhase::Leaving { why: LeaveReason::Hold { reason: why.clone() } };
    set_phase(find_host(fleet, name)?, leaving);
    Ok(())
}

/// Returns a host to service.
///
/// A host that failed while it booted may still be booting, and a host that is off cannot serve.
/// Such hosts are switched off first and started as soon as their power fits under the cap.
pub(super) fn release(
    fleet: &mut Fleet,
    name: &HostName,
    operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    match host.phase {
        HostPhase::Held { .. } | HostPhase::Failed { .. } => {
            host.failures = 0;
            let next = match host.power {
                HostPower::Off | HostPower::SwitchingOff { .. } => HostPhase::Parked,
                HostPower::Surging => {
                    begin_switch_off(host, operation);
                    HostPhase::Parked
                }
                HostPower::Full
                | HostPower::Throttling { .. }
                | HostPower::Throttled
                | HostPower::Lifting { .. } => HostPhase::Serving,
            };
            set_phase(host, next);
            Ok(())
        }
        HostPhase::Leaving { .. } => {
            set_phase(host, HostPhase::Serving);
            skip_in_waves(fleet, name, "an operator let it serve on");
            Ok(())
        }
        _ => {
            let state = describe_phase(host);
            let why = format!("'{name}' is {state}, neither held, failed nor leaving");
            Err(wrong_state("host", why))
        }
    }
}

/// Begins to switch a host off. Its power stays reserved until the agent confirms.
pub(super) fn begin_switch_off(host: &mut Host, operation: &OperationId) {
    let reserved = host.reserved_power();
    host.power = HostPower::SwitchingOff { operation: operation.clone(), reserved };
}

pub(super) fn finish_leave(
    fleet: &mut Fleet,
    name: &HostName,
    not_after: UnixMillis,
    operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let HostPhase::Leaving { why } = host.phase.clone() else {
        return Err(wrong_state("host", format!("'{name}' is not leaving")));
    };
    match why {
        LeaveReason::Move { to } => {
            host.pool = to;
            set_phase(host, HostPhase::Serving);
        }
        LeaveReason::Hold { reason } => set_phase(host, HostPhase::Held { reason }),
        LeaveReason::Power => {
            begin_switch_off(host, operation);
            set_phase(host, HostPhase::Parked);
        }
        LeaveReason::Wave { wave } => {
            // The throttle does not survive a reboot, so the host's full power is reserved from
            // here on.
            host.power = HostPower::Full;
            set_phase(host, HostPhase::Rebooting { wave, operation: operation.clone(), not_after });
        }
    }
    Ok(())
}

pub(super) fn renew_reboot(
    fleet: &mut Fleet,
    name: &HostName,
    new_not_after: UnixMillis,
    new_operation: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let (HostPhase::Rebooting { operation, not_after, .. }
    | HostPhase::Starting { operation, not_after }) = &mut host.phase
    else {
        return Err(wrong_state("host", format!("'{name}' is {}", describe_phase(host))));
    };
    if new_not_after <= *not_after {
        return Err(wrong_state("not_after", "the running command is valid for longer".to_owned()));
    }
    *operation = new_operation.clone();
    *not_after = new_not_after;
    Ok(())
}

pub(super) fn host_back(
    fleet: &mut Fleet,
    name: &HostName,
    reported: &OperationId,
) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let (operation, next) = match host.phase.clone() {
        HostPhase::Rebooting { wave, operation, .. } => (operation, HostPhase::Trial { wave }),
        HostPhase::Starting { operation, .. } => (operation, HostPhase::Serving),
        _ => return Err(wrong_state("host", format!("'{name}' is not rebooting"))),
    };
    if operation != *reported {
        return Err(wrong_state("operation", "another reboot was asked for since".to_owned()));
    }
    set_phase(host, next);
    Ok(())
}

pub(super) fn pass_trial(fleet: &mut Fleet, name: &HostName) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let HostPhase::Trial { wave } = host.phase.clone() else {
        return Err(wrong_state("host", format!("'{name}' is not on trial")));
    };
    host.failures = 0;
    set_phase(host, HostPhase::Serving);
    let record = find_wave(fleet, &wave)?;
    record.out.remove(name);
    record.done.insert(name.clone());
    Ok(())
}

pub(super) fn fail(fleet: &mut Fleet, name: &HostName, why: &Reason) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    if matches!(host.phase, HostPhase::Failed { .. }) {
        return Err(wrong_state("host", format!("'{name}' has failed already")));
    }
    host.failures = host.failures.saturating_add(1);
    if matches!(host.phase, HostPhase::Rebooting { .. } | HostPhase::Starting { .. }) {
        host.power = HostPower::Surging;
    }
    set_phase(host, HostPhase::Failed { reason: why.clone() });
    for wave in fleet.waves.values_mut() {
        if wave.out.remove(name) {
            wave.failed.insert(name.clone(), why.clone());
        }
    }
    skip_in_waves(fleet, name, "it failed before its turn");
    Ok(())
}
