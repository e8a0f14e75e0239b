//! Writes the schema's messages.

use std::time::Duration;

use borageswitch_types::fleet::{
    Draw, FailureDomain, HostSpec, Pool, Service, ServiceLimits, SiteConfig, Team, WaveSettings,
};

use crate::schema::proto;

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<&Pool> for proto::Pool {
    fn from(pool: &Pool) -> Self {
        proto::Pool {
            wanted_hosts: pool.wanted_hosts,
            spare: pool.spare,
            priority: pool.priority.into(),
        }
    }
}

impl From<&Service> for proto::Service {
    fn from(service: &Service) -> Self {
        let survives = match service.survives {
            FailureDomain::None => proto::FailureDomain::None,
            FailureDomain::Host => proto::FailureDomain::Host,
            FailureDomain::Rack => proto::FailureDomain::Rack,
            FailureDomain::DataCentre => proto::FailureDomain::DataCentre,
        };
        proto::Service {
            pool: service.pool.to_string(),
            promised_slots: service.promised_slots,
            survives: survives.into(),
            limits: Some((&service.limits).into()),
        }
    }
}

impl From<&ServiceLimits> for proto::ServiceLimits {
    fn from(limits: &ServiceLimits) -> Self {
        proto::ServiceLimits {
            queue_len: Some(limits.queue_len),
            default_deadline_ms: Some(millis(limits.default_deadline)),
            max_deadline_ms: Some(millis(limits.max_deadline)),
            max_body_bytes: Some(limits.max_body),
            retry_permille: Some(limits.retry_permille.into()),
            claim_window_ms: Some(millis(limits.claim_window)),
            method_decides: Some(limits.method_decides),
        }
    }
}

impl From<&HostSpec> for proto::HostSpec {
    fn from(spec: &HostSpec) -> Self {
        let Draw { peak, throttled, boot } = spec.draw;
        proto::HostSpec {
            data_centre: spec.data_centre.to_string(),
            rack: spec.rack.to_string(),
            target: spec.addresses.target.to_string(),
            agent: spec.addresses.agent.to_string(),
            slots: spec.slots.into(),
            connections: spec.connections.into(),
            peak_watts: peak.0,
            throttled_watts: throttled.0,
            boot_watts: boot.0,
        }
    }
}

impl From<&Team> for proto::Team {
    fn from(team: &Team) -> Self {
        proto::Team { weight: team.weight, slot_quota: team.slot_quota.into() }
    }
}

impl From<&WaveSettings> for proto::WaveSettings {
    fn from(settings: &WaveSettings) -> Self {
        let weights = proto::WaveWeights {
            buffer_cost: settings.weights.buffer_cost,
            roll_out_time: settings.weights.roll_out_time,
            moves: settings.weights.moves,
        };
        proto::WaveSettings {
            max_failures: Some(settings.max_failures),
            canaries: Some(settings.canaries),
            max_batch: Some(settings.max_batch),
            trial_ms: Some(millis(settings.trial)),
            reboot_timeout_ms: Some(millis(settings.reboot_timeout)),
            weights: Some(weights),
        }
    }
}

impl From<&SiteConfig> for proto::SiteConfig {
    fn from(site: &SiteConfig) -> Self {
        let services =
            site.services.iter().map(|(name, service)| (name.to_string(), service.into()));
        let pools = site.pools.iter().map(|(name, pool)| (name.to_string(), pool.into()));
        let hosts = site.hosts.iter().map(|(name, (spec, pool))| {
            let placed = proto::PlacedHost { spec: Some(spec.into()), pool: pool.to_string() };
            (name.to_string(), placed)
        });
        let teams = site.teams.iter().map(|(name, team)| (name.to_string(), team.into()));
        let callers = site.callers.iter().map(|(name, team)| (name.to_string(), team.to_string()));
        proto::SiteConfig {
            entries_expected: site.entries_expected.into(),
            power_cap_watts: site.power_cap.0,
            services: services.collect(),
            pools: pools.collect(),
            hosts: hosts.collect(),
            teams: teams.collect(),
            callers: callers.collect(),
        }
    }
}
