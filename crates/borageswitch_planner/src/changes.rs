//! What a change makes of the fleet document.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::{
    Fleet,
    fleet::{
        AppliedChange, Author, ChangeRequest, FleetChange, Host, HostPhase, LeaveReason,
        RECENT_CHANGES, Reason, Refusal, Revision, SiteConfig, Wave, WaveSettings, WaveStatus,
    },
    names::{HostName, OperationId, PoolName, WaveName},
    time::UnixMillis,
};

/// Applies a change and gives the revision that it made.
///
/// A repeated operation changes nothing and gives the revision that it made the first time.
///
/// # Errors
///
/// A [`Refusal`] says why; the document is as it was.
pub fn apply(fleet: &mut Fleet, req: &ChangeRequest) -> Result<Revision, Refusal> {
    if let Some(applied) = fleet.find_operation(&req.operation) {
        return Ok(applied.revision);
    }
    check_revision(fleet, req)?;
    let mut next = fleet.clone();
    pass_fence(&mut next, req)?;
    make(&mut next, req)?;
    next.revision = fleet.revision.next();
    next.recent.push_back(AppliedChange { revision: next.revision, request: req.clone() });
    while next.recent.len() > RECENT_CHANGES {
        next.recent.pop_front();
    }
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

fn pass_fence(fleet: &mut Fleet, req: &ChangeRequest) -> Result<(), Refusal> {
    let Author::Holder { duty, fence } = &req.author else { return Ok(()) };
    if fleet.fences.get(duty).is_some_and(|seen| seen > fence) {
        return Err(Refusal::Fenced { duty: duty.clone() });
    }
    fleet.fences.insert(duty.clone(), *fence);
    Ok(())
}

fn make(fleet: &mut Fleet, req: &ChangeRequest) -> Result<(), Refusal> {
    match &req.change {
        FleetChange::ApplySite(site) => apply_site(fleet, site),
        FleetChange::HoldHost { host, reason } => hold_host(fleet, host, reason),
        FleetChange::ReleaseHost { host } => release_host(fleet, host),
        FleetChange::StartWave { wave, hosts, settings } => {
            start_wave(fleet, wave, hosts, settings)
        }
        FleetChange::BeginLeave { host, wave } => begin_leave(fleet, host, wave),
        FleetChange::FinishLeave { host, not_after } => {
            finish_leave(fleet, host, *not_after, &req.operation)
        }
        FleetChange::HostBack { host, operation } => host_back(fleet, host, operation),
        FleetChange::PassTrial { host } => pass_trial(fleet, host),
        FleetChange::FinishWave { wave } => finish_wave(fleet, wave),
        FleetChange::TakeDuty { .. } => Ok(()),
        _ => Err(Refusal::Invalid {
            field: "change".into(),
            reason: "this change is not known".into(),
        }),
    }
}

fn apply_site(fleet: &mut Fleet, site: &SiteConfig) -> Result<(), Refusal> {
    let declared: BTreeMap<HostName, Host> = site
        .hosts
        .iter()
        .map(|(name, (spec, pool))| {
            let host = match fleet.hosts.get(name) {
                Some(known) => Host { spec: spec.clone(), ..known.clone() },
                None => Host::serving(spec.clone(), pool.clone()),
            };
            (name.clone(), host)
        })
        .collect();
    fleet.entries_expected = site.entries_expected;
    fleet.power_cap = site.power_cap;
    fleet.services = site.services.clone();
    fleet.pools = site.pools.clone();
    fleet.teams = site.teams.clone();
    fleet.callers = site.callers.clone();
    fleet.hosts = declared;
    Ok(())
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

fn wrong_state(field: &str, reason: String) -> Refusal {
    Refusal::WrongState { field: field.into(), reason: Reason::from(reason) }
}

/// Every change of pool or phase begins a new epoch, so that slots lent and reports made under the
/// old one cannot count for the new one.
fn set_phase(host: &mut Host, phase: HostPhase) {
    host.phase = phase;
    host.epoch += 1;
}

fn hold_host(fleet: &mut Fleet, name: &HostName, reason: &Reason) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    if host.phase != HostPhase::Serving {
        return Err(wrong_state("host", format!("'{name}' is not serving")));
    }
    set_phase(host, HostPhase::Leaving { why: LeaveReason::Hold { reason: reason.clone() } });
    Ok(())
}

fn release_host(fleet: &mut Fleet, name: &HostName) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    match host.phase {
        HostPhase::Held { .. } | HostPhase::Failed { .. } => {
            set_phase(host, HostPhase::Serving);
            Ok(())
        }
        _ => Err(wrong_state("host", format!("'{name}' is neither held nor failed"))),
    }
}

fn start_wave(
    fleet: &mut Fleet,
    wave: &WaveName,
    hosts: &[HostName],
    settings: &WaveSettings,
) -> Result<(), Refusal> {
    if fleet.waves.contains_key(wave) {
        return Err(wrong_state("wave", format!("'{wave}' exists already")));
    }
    for host in hosts {
        find_host(fleet, host)?;
    }
    let all = || {
        fleet
            .hosts
            .iter()
            .filter(|(_, h)| !matches!(h.phase, HostPhase::Held { .. } | HostPhase::Failed { .. }))
    };
    let pending = match hosts {
        [] => all().map(|(name, _)| name.clone()).collect(),
        named => named.iter().cloned().collect(),
    };
    let wave_record = Wave {
        settings: settings.clone(),
        status: WaveStatus::Running,
        pending,
        out: Default::default(),
        done: Default::default(),
        failed: Default::default(),
    };
    fleet.waves.insert(wave.clone(), wave_record);
    Ok(())
}

fn begin_leave(fleet: &mut Fleet, name: &HostName, wave: &WaveName) -> Result<(), Refusal> {
    let record = find_wave(fleet, wave)?;
    if !record.pending.remove(name) {
        return Err(wrong_state("host", format!("'{name}' is not pending in '{wave}'")));
    }
    record.out.insert(name.clone());
    let host = find_host(fleet, name)?;
    if host.phase != HostPhase::Serving {
        return Err(wrong_state("host", format!("'{name}' is not serving")));
    }
    set_phase(host, HostPhase::Leaving { why: LeaveReason::Wave { wave: wave.clone() } });
    Ok(())
}

fn finish_leave(
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
            host.pool = PoolName::clone(&to);
            set_phase(host, HostPhase::Serving);
        }
        LeaveReason::Hold { reason } => set_phase(host, HostPhase::Held { reason }),
        LeaveReason::Wave { wave } => {
            set_phase(host, HostPhase::Rebooting { wave, operation: operation.clone(), not_after });
        }
    }
    Ok(())
}

fn host_back(fleet: &mut Fleet, name: &HostName, answered: &OperationId) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let HostPhase::Rebooting { wave, operation, .. } = host.phase.clone() else {
        return Err(wrong_state("host", format!("'{name}' is not rebooting")));
    };
    if operation != *answered {
        return Err(wrong_state("operation", "another reboot was asked for since".to_owned()));
    }
    set_phase(host, HostPhase::Trial { wave });
    Ok(())
}

fn pass_trial(fleet: &mut Fleet, name: &HostName) -> Result<(), Refusal> {
    let host = find_host(fleet, name)?;
    let HostPhase::Trial { wave } = host.phase.clone() else {
        return Err(wrong_state("host", format!("'{name}' is not on trial")));
    };
    set_phase(host, HostPhase::Serving);
    let record = find_wave(fleet, &wave)?;
    record.out.remove(name);
    record.done.insert(name.clone());
    Ok(())
}

fn finish_wave(fleet: &mut Fleet, name: &WaveName) -> Result<(), Refusal> {
    let wave = find_wave(fleet, name)?;
    if !wave.out.is_empty() || (!wave.pending.is_empty() && wave.status != WaveStatus::Aborting) {
        return Err(wrong_state("wave", format!("'{name}' has hosts left")));
    }
    wave.status = WaveStatus::Finished;
    Ok(())
}

/// The reason of a step that the planner takes by itself.
pub fn reason<T>(text: T) -> Arc<str>
where
    T: Into<Arc<str>>,
{
    text.into()
}
