//! Derives the traffic threads' view from the fleet document.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_policy::slot_allocation;
use borageswitch_types::{
    fleet::{Fleet, Host, HostPhase, Service},
    names::{DaemonName, HostName},
    view::{ServiceView, TargetState, TargetView, TeamShare, TrafficView},
};

use crate::{effect::Effect, reducer::State};

/// How long a caller that was not admitted should wait before it retries.
const RETRY_AFTER: Duration = Duration::from_millis(200);

impl State {
    pub(super) fn publish_view(&mut self) {
        let Some(fleet) = self.sync.fleet() else { return };
        let entries = self.entries.clone();
        let view = make_view(fleet, self.me(), entries, self.is_admitting());
        self.effects.push(Effect::PublishView(Arc::new(view)));
    }

    /// Reallocates the targets' slots when the set of serving daemons has changed.
    pub(super) fn refresh_entries(&mut self) {
        let silence = self.cfg.silence_timeout;
        let contacts = self.members.contacts.iter();
        let serving = contacts.filter(|(_, h)| h.progress.serving && h.at + silence > self.now);
        let mut entries: Vec<DaemonName> = serving.map(|(daemon, _)| daemon.clone()).collect();
        entries.push(self.me().clone());
        entries.sort_unstable();
        if entries != *self.entries {
            self.entries = entries.into();
            self.publish_view();
        }
    }
}

fn make_view(
    fleet: &Fleet,
    me: &DaemonName,
    entries: Arc<[DaemonName]>,
    admitting: bool,
) -> TrafficView {
    let services = fleet
        .services
        .iter()
        .map(|(name, service)| (name.clone(), service_view(fleet, service, me, &entries)))
        .collect();
    let teams = fleet
        .teams
        .iter()
        .map(|(name, team)| {
            (name.clone(), TeamShare { weight: team.weight, slot_quota: team.slot_quota })
        })
        .collect();
    TrafficView {
        revision: fleet.revision,
        admitting,
        retry_after: RETRY_AFTER,
        me: me.clone(),
        entries,
        services,
        teams,
        callers: fleet.callers.clone(),
    }
}

fn service_view(
    fleet: &Fleet,
    service: &Service,
    me: &DaemonName,
    entries: &[DaemonName],
) -> ServiceView {
    let targets: BTreeMap<HostName, TargetView> = fleet
        .hosts_in(&service.pool)
        .filter_map(|(name, host)| Some((name.clone(), target_view(name, host, me, entries)?)))
        .collect();
    ServiceView { limits: service.limits.clone(), promised_slots: service.promised_slots, targets }
}

fn target_view(
    name: &HostName,
    host: &Host,
    me: &DaemonName,
    entries: &[DaemonName],
) -> Option<TargetView> {
    let state = match host.phase {
        HostPhase::Serving => TargetState::Open,
        HostPhase::Trial { .. } => TargetState::Warming,
        HostPhase::Leaving { .. } => TargetState::Leaving,
        HostPhase::Rebooting { .. }
        | HostPhase::Held { .. }
        | HostPhase::Parked
        | HostPhase::Starting { .. }
        | HostPhase::Failed { .. } => {
            return None;
        }
    };
    Some(TargetView {
        host: name.clone(),
        address: host.spec.addresses.target,
        epoch: host.epoch,
        state,
        slots: host.spec.slots,
        dealt_slots: slot_allocation::allocate(host.spec.slots, name, me, entries),
        dealt_connections: slot_allocation::allocate(host.spec.connections, name, me, entries),
    })
}
