//! Picks the remote call of a change.

use borageswitch_types::fleet::FleetChange;
use borageswitch_wire::schema::proto;
use tonic::{Response, Status};

use crate::ctl::caller::Client;

type Reply = Result<Response<proto::ChangeReply>, Status>;

/// Sends a change to one daemon.
pub(super) async fn send(
    mut client: Client,
    meta: proto::ChangeMeta,
    change: &FleetChange,
) -> Reply {
    let meta = Some(meta);
    match change {
        FleetChange::ApplySite(site) => {
            let req = proto::ApplyConfigRequest { meta, site: Some((&**site).into()) };
            client.apply_config(req).await
        }
        FleetChange::SetPool { pool, spec } => {
            let req =
                proto::SetPoolRequest { meta, pool: pool.to_string(), spec: Some(spec.into()) };
            client.set_pool(req).await
        }
        FleetChange::RemovePool { pool } => {
            let req = proto::RemovePoolRequest { meta, pool: pool.to_string() };
            client.remove_pool(req).await
        }
        FleetChange::SetService { service, spec } => {
            let req = proto::SetServiceRequest {
                meta,
                service: service.to_string(),
                spec: Some(spec.into()),
            };
            client.set_service(req).await
        }
        FleetChange::RemoveService { service } => {
            let req = proto::RemoveServiceRequest { meta, service: service.to_string() };
            client.remove_service(req).await
        }
        FleetChange::AddHost { host, spec, pool } => {
            let req = proto::AddHostRequest {
                meta,
                host: host.to_string(),
                spec: Some(spec.into()),
                pool: pool.to_string(),
            };
            client.add_host(req).await
        }
        FleetChange::RemoveHost { host } => {
            let req = proto::RemoveHostRequest { meta, host: host.to_string() };
            client.remove_host(req).await
        }
        FleetChange::MoveHost { host, to } => {
            let req = proto::MoveHostRequest { meta, host: host.to_string(), to: to.to_string() };
            client.move_host(req).await
        }
        FleetChange::HoldHost { host, .. } => {
            let req = proto::HoldHostRequest { meta, host: host.to_string() };
            client.hold_host(req).await
        }
        FleetChange::ReleaseHost { host } => {
            let req = proto::ReleaseHostRequest { meta, host: host.to_string() };
            client.release_host(req).await
        }
        FleetChange::SetTeam { team, spec } => {
            let req =
                proto::SetTeamRequest { meta, team: team.to_string(), spec: Some(spec.into()) };
            client.set_team(req).await
        }
        FleetChange::RemoveTeam { team } => {
            let req = proto::RemoveTeamRequest { meta, team: team.to_string() };
            client.remove_team(req).await
        }
        FleetChange::SetCaller { caller, team } => {
            let req = proto::SetCallerRequest {
                meta,
                caller: caller.to_string(),
                team: team.to_string(),
            };
            client.set_caller(req).await
        }
        FleetChange::SetPowerCap { cap } => {
            let req = proto::SetPowerCapRequest { meta, cap_watts: cap.0 };
            client.set_power_cap(req).await
        }
        FleetChange::SetEntriesExpected { entries } => {
            let req = proto::SetEntriesExpectedRequest { meta, entries: (*entries).into() };
            client.set_entries_expected(req).await
        }
        FleetChange::StartWave { wave, hosts, settings } => {
            let req = proto::StartWaveRequest {
                meta,
                wave: wave.to_string(),
                hosts: hosts.iter().map(ToString::to_string).collect(),
                settings: Some(settings.into()),
            };
            client.start_wave(req).await
        }
        FleetChange::PauseWave { wave } => {
            let req = proto::PauseWaveRequest { meta, wave: wave.to_string() };
            client.pause_wave(req).await
        }
        FleetChange::ResumeWave { wave } => {
            let req = proto::ResumeWaveRequest { meta, wave: wave.to_string() };
            client.resume_wave(req).await
        }
        FleetChange::AbortWave { wave } => {
            let req = proto::AbortWaveRequest { meta, wave: wave.to_string() };
            client.abort_wave(req).await
        }
        FleetChange::RemoveWave { wave } => {
            let req = proto::RemoveWaveRequest { meta, wave: wave.to_string() };
            client.remove_wave(req).await
        }
        planner => {
            debug_assert!(false, "no command makes {planner:?}");
            Err(Status::invalid_argument("change: only the planner takes this step"))
        }
    }
}
