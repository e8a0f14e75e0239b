//! Applies changes to the fleet document.
//!
//! Every daemon applies the same changes with the same function, so all of them reach the same
//! document.
//!
//! - [`site`] replaces the whole declared configuration.
//! - [`objects`] creates, changes and deletes pools, services, teams and callers.
//! - [`hosts`] moves a host between the phases of its lifecycle.
//! - [`waves`] starts, pauses, resumes, aborts and finishes maintenance waves.
//! - [`power`] throttles, switches off and starts hosts under the power cap.

mod hosts;
mod objects;
mod power;
mod site;
mod waves;

#[cfg(test)]
mod tests;

use std::sync::Arc;

use borageswitch_types::{
    Fleet,
    fleet::{
        AppliedChange, Author, ChangeRequest, FleetChange, Host, HostPhase, RECENT_CHANGES, Reason,
        Refusal, Revision, Wave,
    },
    names::{HostName, WaveName},
};

use crate::invariants;

pub(crate) use self::{hosts::describe_phase, waves::status_name};

/// Applies a change and returns the revision that it created.
///
/// A repeated operation changes nothing and returns the revision of its first application.
///
/// # Errors
///
/// Returns a [`Refusal`] with the reason; the document is unchanged then.
///
/// # Panics
///
/// If the change violates an invariant that no refusal covers. The daemon must not write such a
/// document, and no daemon may continue from it.
pub fn apply(fleet: &mut Fleet, req: &ChangeRequest) -> Result<Revision, Refusal> {
    if let Some(applied) = fleet.find_operation(&req.operation) {
        return Ok(applied.revision);
    }
    check_revision(fleet, req)?;
    let mut next = fleet.clone();
    advance_fence(&mut next, req)?;
    apply_change(&mut next, req)?;
    check_power(fleet, &next)?;
    next.revision = fleet.revision.next();
    next.recent.push_back(AppliedChange { revision: next.revision, request: req.clone() });
    while next.recent.len() > RECENT_CHANGES {
        next.recent.pop_front();
    }
    invariants::assert_invariants(fleet, &next);
    *fleet = next;
    Ok(fleet.revision)
}

fn check_revision(fleet: &Fleet, req: &ChangeRequest) -> Result<(), Refusal> {
    let Some(expected) = req.expected else { return Ok(()) };
    if expected == fleet.revision {
        return Ok(());
    }
    let since = match fleet.changes_since(expected) {
        Some(changes) => {
            changes.iter().map(|c| c.request.reason.to_string()).collect::<Vec<_>>().join("; ")
        }
        None => "more than is remembered".to_owned(),
    };
    Err(Refusal::RevisionConflict { expected, found: fleet.revision, since: since.into() })
}

fn advance_fence(fleet: &mut Fleet, req: &ChangeRequest) -> Result<(), Refusal> {
    let Author::Holder { duty, fence } = &req.author else { return Ok(()) };
    if fleet.fences.get(duty).is_some_and(|seen| seen > fence) {
        return Err(Refusal::Fenced { duty: duty.clone() });
    }
    fleet.fences.insert(duty.clone(), *fence);
    Ok(())
}

/// Refuses a change that reserves more power than the cap allows.
///
/// The reserved power may exceed a cap that was just lowered. Changes that do not increase the
/// reservation are accepted even then, since otherwise the throttles that reduce it could not be
/// written.
fn check_power(before: &Fleet, after: &Fleet) -> Result<(), Refusal> {
    let needed = after.reserved_power();
    if needed <= after.power_cap || needed <= before.reserved_power() {
        return Ok(());
    }
    Err(Refusal::PowerExceeded { needed, cap: after.power_cap })
}

fn apply_change(fleet: &mut Fleet, req: &ChangeRequest) -> Result<(), Refusal> {
    let operation = &req.operation;
    match &req.change {
        FleetChange::ApplySite(site) => site::apply_site(fleet, site),
        FleetChange::SetPool { pool, spec } => objects::set_pool(fleet, pool, spec),
        FleetChange::RemovePool { pool } => objects::remove_pool(fleet, pool),
        FleetChange::SetService { service, spec } => objects::set_service(fleet, service, spec),
        FleetChange::RemoveService { service } => objects::remove_service(fleet, service),
        FleetChange::AddHost { host, spec, pool } => objects::add_host(fleet, host, spec, pool),
        FleetChange::RemoveHost { host } => objects::remove_host(fleet, host),
        FleetChange::SetTeam { team, spec } => objects::set_team(fleet, team, spec),
        FleetChange::RemoveTeam { team } => objects::remove_team(fleet, team),
        FleetChange::SetCaller { caller, team } => objects::set_caller(fleet, caller, team),
        FleetChange::SetPowerCap { cap } => power::set_cap(fleet, *cap),
        FleetChange::SetEntriesExpected { entries } => {
            objects::set_entries_expected(fleet, *entries)
        }
        FleetChange::MoveHost { host, to } => hosts::move_host(fleet, host, to),
        FleetChange::HoldHost { host, reason } => hosts::hold(fleet, host, reason, &req.author),
        FleetChange::ReleaseHost { host } => hosts::release(fleet, host, operation),
        FleetChange::StartWave { wave, hosts, settings } => {
            waves::start(fleet, wave, hosts, settings)
        }
        FleetChange::PauseWave { wave } => waves::pause(fleet, wave),
        FleetChange::ResumeWave { wave } => waves::resume(fleet, wave),
        FleetChange::AbortWave { wave } => waves::abort(fleet, wave),
        FleetChange::RemoveWave { wave } => waves::remove(fleet, wave),
        FleetChange::TakeDuty { .. } => Ok(()),
        FleetChange::BeginLeave { host, wave } => waves::begin_leave(fleet, host, wave),
        FleetChange::FinishLeave { host, not_after } => {
            hosts::finish_leave(fleet, host, *not_after, operation)
        }
        FleetChange::HostBack { host, operation } => hosts::host_back(fleet, host, operation),
        FleetChange::PassTrial { host } => hosts::pass_trial(fleet, host),
        FleetChange::FailHost { host, reason } => hosts::fail(fleet, host, reason),
        FleetChange::HaltWave { wave, reason } => waves::halt(fleet, wave, reason),
        FleetChange::FinishWave { wave } => waves::finish(fleet, wave),
        FleetChange::BeginThrottle { host } => power::begin_throttle(fleet, host, operation),
        FleetChange::ConfirmThrottle { host, operation } => {
            power::confirm_throttle(fleet, host, operation)
        }
        FleetChange::LiftThrottle { host } => power::lift_throttle(fleet, host, operation),
        FleetChange::RenewReboot { host, not_after } => {
            hosts::renew_reboot(fleet, host, *not_after, operation)
        }
        FleetChange::ParkHost { host } => power::park(fleet, host),
        FleetChange::SwitchOff { host } => power::switch_off(fleet, host, operation),
        FleetChange::StartHost { host, not_after } => {
            power::start(fleet, host, *not_after, operation)
        }
        FleetChange::ConfirmOff { host } => power::confirm_off(fleet, host),
    }
}

fn find_host<'a>(fleet: &'a mut Fleet, name: &HostName) -> Result<&'a mut Host, Refusal> {
    fleet.hosts.get_mut(name).ok_or_else(|| unknown("host", name.as_str()))
}

fn find_wave<'a>(fleet: &'a mut Fleet, name: &WaveName) -> Result<&'a mut Wave, Refusal> {
    fleet.waves.get_mut(name).ok_or_else(|| unknown("wave", name.as_str()))
}

fn unknown(field: &str, name: &str) -> Refusal {
    Refusal::Unknown { field: field.into(), name: name.into() }
}

fn invalid<T>(field: T, reason: &str) -> Refusal
where
    T: Into<Reason>,
{
    Refusal::Invalid { field: field.into(), reason: reason.into() }
}

fn wrong_state(field: &str, reason: String) -> Refusal {
    Refusal::WrongState { field: field.into(), reason: Reason::from(reason) }
}

/// Sets the phase and begins a new epoch, so that slots lent and reports made in the old epoch do
/// not count in the new one.
fn set_phase(host: &mut Host, phase: HostPhase) {
    host.phase = phase;
    host.epoch += 1;
}

/// Removes a host from every wave that it is pending in or out for, and records the reason.
fn skip_in_waves(fleet: &mut Fleet, name: &HostName, why: &str) {
    for wave in fleet.waves.values_mut() {
        let pending = wave.pending.remove(name);
        let out = wave.out.remove(name);
        if pending || out {
            wave.skipped.insert(name.clone(), why.into());
        }
    }
}

/// Converts a text to the reason of a planner step.
pub fn reason<T>(text: T) -> Arc<str>
where
    T: Into<Arc<str>>,
{
    text.into()
}
