//! The simulated traffic threads of one daemon.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_control::event::TrafficReport;
use borageswitch_types::{
    Time,
    names::{HostName, ServiceName},
    view::{TargetState, TrafficView},
};

/// The applied view and the requests in flight.
#[derive(Debug, Default)]
pub struct FakeTraffic {
    pub view: Option<Arc<TrafficView>>,
    pub admit_until: Time,
    pub in_flight: Vec<(HostName, Time)>,
}

impl FakeTraffic {
    pub fn end_requests(&mut self, now: Time) {
        self.in_flight.retain(|(_, end)| *end > now);
    }

    /// Chooses a random target that may get a request now, with its service.
    pub fn choose(&self, now: Time, rng: &mut fastrand::Rng) -> Option<(HostName, ServiceName)> {
        let view = self.view.as_ref()?;
        if !view.admitting || now >= self.admit_until {
            return None;
        }
        let services = view.services.iter();
        let targets =
            services.flat_map(|(service, s)| s.targets.values().map(move |t| (t, service)));
        let open: Vec<_> = targets.filter(|(t, _)| t.state != TargetState::Leaving).collect();
        if open.is_empty() {
            return None;
        }
        let (target, service) = open[rng.usize(..open.len())];
        Some((target.host.clone(), service.clone()))
    }

    pub fn report(&self) -> TrafficReport {
        let Some(view) = &self.view else { return TrafficReport::default() };
        let targets = view.services.values().flat_map(|service| service.targets.values());
        let leaving = targets.filter(|target| target.state == TargetState::Leaving);
        let draining: BTreeMap<HostName, u32> =
            leaving.map(|target| (target.host.clone(), self.count(&target.host))).collect();
        let unfinished = self.in_flight.len() as u64;
        TrafficReport { applied: view.revision, draining, unfinished, ..Default::default() }
    }

    fn count(&self, host: &HostName) -> u32 {
        self.in_flight.iter().filter(|(other, _)| other == host).count() as u32
    }
}
