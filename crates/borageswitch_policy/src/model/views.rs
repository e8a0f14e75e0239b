//! The views that the entries of a simulated site are given.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_types::{
    fleet::{Revision, ServiceLimits},
    names::{CallerName, DaemonName, HostName, ServiceName, TeamName},
    view::{ServiceView, TargetState, TargetView, TeamShare, TrafficView},
};

use super::plan::Plan;
use crate::slot_allocation;

/// Returns the name of the n-th target's host.
pub(super) fn host(n: usize) -> HostName {
    HostName::from(format!("host-{n:03}"))
}

/// Returns the name of the service.
pub(super) fn service() -> ServiceName {
    ServiceName::from("pricing")
}

/// Returns the view of one entry.
pub(super) fn view(plan: &Plan, me: &DaemonName, entries: &[DaemonName]) -> Arc<TrafficView> {
    let targets = (0..plan.targets).map(|n| (host(n), target(plan, n, me, entries))).collect();
    let limits = ServiceLimits::default();
    let service_view = ServiceView { limits, promised_slots: plan.promised_slots, targets };
    let teams = plan.streams.iter().filter_map(|stream| stream.team);
    let share = |weight| TeamShare { weight, slot_quota: u16::MAX };
    Arc::new(TrafficView {
        revision: Revision::default(),
        admitting: true,
        retry_after: Duration::from_millis(200),
        me: me.clone(),
        entries: Arc::from(entries),
        services: BTreeMap::from([(service(), service_view)]),
        teams: teams.map(|(name, weight)| (TeamName::from(name), share(weight))).collect(),
        callers: callers(plan),
    })
}

fn callers(plan: &Plan) -> BTreeMap<CallerName, TeamName> {
    let mut callers = BTreeMap::new();
    for stream in &plan.streams {
        let Some((team, _)) = stream.team else { continue };
        for n in 0..stream.callers {
            let caller = CallerName::from(format!("{}-{n}", stream.group));
            callers.insert(caller, TeamName::from(team));
        }
    }
    callers
}

fn target(plan: &Plan, n: usize, me: &DaemonName, entries: &[DaemonName]) -> TargetView {
    let host = host(n);
    TargetView {
        address: SocketAddr::from(([127, 0, 0, 1], 20_000 + n as u16)),
        epoch: 1,
        state: TargetState::Open,
        slots: plan.slots,
        dealt_slots: slot_allocation::allocate(plan.slots, &host, me, entries),
        dealt_connections: 64,
        host,
    }
}
