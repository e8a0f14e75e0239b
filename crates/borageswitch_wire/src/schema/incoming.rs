//! Reads the schema's messages.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::{
    fleet::{
        Author, ChangeRequest, Draw, FailureDomain, FleetChange, HostAddresses, HostSpec, Pool,
        Revision, Service, ServiceLimits, SiteConfig, Team, Watts, WaveSettings, WaveWeights,
    },
    names::{HostName, NameError},
};

use crate::schema::{
    field::{self, FieldError},
    proto,
};

/// Puts a change together with what every change carries.
fn change(
    meta: Option<proto::ChangeMeta>,
    change: FleetChange,
) -> Result<ChangeRequest, FieldError> {
    let meta = field::given("meta", meta)?;
    let operation =
        field::name("operation_id", &meta.operation_id).map_err(|err| err.within("meta"))?;
    field::text("meta.reason", &meta.reason)?;
    field::text("meta.operator", &meta.operator)?;
    if meta.operator.is_empty() {
        return Err(FieldError::new("meta.operator", "must not be empty"));
    }
    Ok(ChangeRequest {
        operation,
        expected: meta.expected_revision.map(Revision),
        author: Author::Operator { name: meta.operator.into() },
        reason: meta.reason.into(),
        change,
    })
}

/// Reads each request of a change: the fields on the left, the change on the right.
macro_rules! read_changes {
    ($($request:ident |$req:ident| $change:expr;)*) => {
        $(
            impl TryFrom<proto::$request> for ChangeRequest {
                type Error = FieldError;

                fn try_from($req: proto::$request) -> Result<Self, FieldError> {
                    let read = $change;
                    change($req.meta, read)
                }
            }
        )*
    };
}

read_changes! {
    ApplyConfigRequest |req| {
        let site = field::given("site", req.site)?;
        let site = SiteConfig::try_from(site).map_err(|err| err.within("site"))?;
        FleetChange::ApplySite(Box::new(site))
    };
    SetPoolRequest |req| {
        let spec = field::given("spec", req.spec)?;
        let spec = Pool::try_from(spec).map_err(|err| err.within("spec"))?;
        FleetChange::SetPool { pool: field::name("pool", &req.pool)?, spec }
    };
    RemovePoolRequest |req| FleetChange::RemovePool { pool: field::name("pool", &req.pool)? };
    SetServiceRequest |req| {
        let service = field::name("service", &req.service)?;
        let spec = field::given("spec", req.spec)?;
        let spec = Service::try_from(spec).map_err(|err| err.within("spec"))?;
        FleetChange::SetService { service, spec }
    };
    RemoveServiceRequest |req| FleetChange::RemoveService {
        service: field::name("service", &req.service)?,
    };
    AddHostRequest |req| {
        let host = field::name("host", &req.host)?;
        let spec = field::given("spec", req.spec)?;
        let spec = HostSpec::try_from(spec).map_err(|err| err.within("spec"))?;
        FleetChange::AddHost { host, spec, pool: field::name("pool", &req.pool)? }
    };
    RemoveHostRequest |req| FleetChange::RemoveHost { host: field::name("host", &req.host)? };
    MoveHostRequest |req| FleetChange::MoveHost {
        host: field::name("host", &req.host)?,
        to: field::name("to", &req.to)?,
    };
    HoldHostRequest |req| FleetChange::HoldHost {
        host: field::name("host", &req.host)?,
        reason: req.meta.as_ref().map_or("", |meta| meta.reason.as_str()).into(),
    };
    ReleaseHostRequest |req| FleetChange::ReleaseHost { host: field::name("host", &req.host)? };
    SetTeamRequest |req| {
        let spec = field::given("spec", req.spec)?;
        let spec = Team::try_from(spec).map_err(|err| err.within("spec"))?;
        FleetChange::SetTeam { team: field::name("team", &req.team)?, spec }
    };
    RemoveTeamRequest |req| FleetChange::RemoveTeam { team: field::name("team", &req.team)? };
    SetCallerRequest |req| FleetChange::SetCaller {
        caller: field::name("caller", &req.caller)?,
        team: field::name("team", &req.team)?,
    };
    SetPowerCapRequest |req| FleetChange::SetPowerCap { cap: Watts(req.cap_watts) };
    SetEntriesExpectedRequest |req| FleetChange::SetEntriesExpected {
        entries: field::small("entries", field::positive("entries", req.entries)?)?,
    };
    StartWaveRequest |req| FleetChange::StartWave {
        wave: field::name("wave", &req.wave)?,
        hosts: wave_hosts(&req.hosts)?,
        settings: wave_settings(req.settings).map_err(|err| err.within("settings"))?,
    };
    PauseWaveRequest |req| FleetChange::PauseWave { wave: field::name("wave", &req.wave)? };
    ResumeWaveRequest |req| FleetChange::ResumeWave { wave: field::name("wave", &req.wave)? };
    AbortWaveRequest |req| FleetChange::AbortWave { wave: field::name("wave", &req.wave)? };
    RemoveWaveRequest |req| FleetChange::RemoveWave { wave: field::name("wave", &req.wave)? };
}

fn wave_hosts(hosts: &[String]) -> Result<Vec<HostName>, FieldError> {
    hosts.iter().map(|host| field::name("hosts", host)).collect()
}

fn wave_settings(settings: Option<proto::WaveSettings>) -> Result<WaveSettings, FieldError> {
    let given = settings.unwrap_or_default();
    let mut settings = WaveSettings::default();
    if let Some(max_failures) = given.max_failures {
        settings.max_failures = max_failures;
    }
    if let Some(canaries) = given.canaries {
        settings.canaries = canaries;
    }
    if let Some(max_batch) = given.max_batch {
        settings.max_batch = field::positive("max_batch", max_batch)?;
    }
    if let Some(millis) = given.trial_ms {
        settings.trial = field::time("trial_ms", millis)?;
    }
    if let Some(millis) = given.reboot_timeout_ms {
        settings.reboot_timeout = field::time("reboot_timeout_ms", millis)?;
    }
    if let Some(proto::WaveWeights { buffer_cost, roll_out_time, moves }) = given.weights {
        settings.weights = WaveWeights { buffer_cost, roll_out_time, moves };
    }
    Ok(settings)
}

impl TryFrom<proto::Pool> for Pool {
    type Error = FieldError;

    fn try_from(pool: proto::Pool) -> Result<Self, FieldError> {
        let priority = u8::try_from(pool.priority)
            .map_err(|_| FieldError::new("priority", "must not be above 255"))?;
        Ok(Pool { wanted_hosts: pool.wanted_hosts, spare: pool.spare, priority })
    }
}

impl TryFrom<proto::Service> for Service {
    type Error = FieldError;

    fn try_from(service: proto::Service) -> Result<Self, FieldError> {
        let survives = match service.survives() {
            proto::FailureDomain::Unspecified => FailureDomain::default(),
            proto::FailureDomain::None => FailureDomain::None,
            proto::FailureDomain::Host => FailureDomain::Host,
            proto::FailureDomain::Rack => FailureDomain::Rack,
            proto::FailureDomain::DataCentre => FailureDomain::DataCentre,
        };
        if proto::FailureDomain::try_from(service.survives).is_err() {
            return Err(FieldError::new("survives", "is no known failure domain"));
        }
        Ok(Service {
            pool: field::name("pool", &service.pool)?,
            promised_slots: service.promised_slots,
            survives,
            limits: limits(service.limits).map_err(|err| err.within("limits"))?,
        })
    }
}

fn limits(limits: Option<proto::ServiceLimits>) -> Result<ServiceLimits, FieldError> {
    let given = limits.unwrap_or_default();
    let mut limits = ServiceLimits::default();
    if let Some(queue_len) = given.queue_len {
        limits.queue_len = field::positive("queue_len", queue_len)?;
    }
    if let Some(millis) = given.default_deadline_ms {
        limits.default_deadline = field::time("default_deadline_ms", millis)?;
    }
    if let Some(millis) = given.max_deadline_ms {
        limits.max_deadline = field::time("max_deadline_ms", millis)?;
    }
    if let Some(max_body) = given.max_body_bytes {
        limits.max_body = max_body;
    }
    if let Some(permille) = given.retry_permille {
        limits.retry_permille = field::small("retry_permille", permille)?;
    }
    if let Some(millis) = given.claim_window_ms {
        limits.claim_window = field::time("claim_window_ms", millis)?;
    }
    if let Some(method_decides) = given.method_decides {
        limits.method_decides = method_decides;
    }
    if limits.default_deadline > limits.max_deadline {
        let reason = "must not be above max_deadline_ms";
        return Err(FieldError::new("default_deadline_ms", reason));
    }
    Ok(limits)
}

impl TryFrom<proto::HostSpec> for HostSpec {
    type Error = FieldError;

    fn try_from(spec: proto::HostSpec) -> Result<Self, FieldError> {
        let draw = Draw {
            peak: Watts(spec.peak_watts),
            throttled: Watts(spec.throttled_watts),
            boot: Watts(spec.boot_watts),
        };
        if draw.throttled > draw.peak {
            return Err(FieldError::new("throttled_watts", "must not be above peak_watts"));
        }
        let addresses = HostAddresses {
            target: field::address("target", &spec.target)?,
            agent: field::address("agent", &spec.agent)?,
        };
        Ok(HostSpec {
            data_centre: field::name("data_centre", &spec.data_centre)?,
            rack: field::name("rack", &spec.rack)?,
            addresses,
            slots: field::small("slots", field::positive("slots", spec.slots)?)?,
            connections: field::small(
                "connections",
                field::positive("connections", spec.connections)?,
            )?,
            draw,
        })
    }
}

impl TryFrom<proto::Team> for Team {
    type Error = FieldError;

    fn try_from(team: proto::Team) -> Result<Self, FieldError> {
        Ok(Team {
            weight: field::positive("weight", team.weight)?,
            slot_quota: field::small("slot_quota", team.slot_quota)?,
        })
    }
}

impl TryFrom<proto::SiteConfig> for SiteConfig {
    type Error = FieldError;

    fn try_from(site: proto::SiteConfig) -> Result<Self, FieldError> {
        let entries = field::positive("entries_expected", site.entries_expected)?;
        Ok(SiteConfig {
            entries_expected: field::small("entries_expected", entries)?,
            power_cap: Watts(site.power_cap_watts),
            services: entries_of("services", site.services, Service::try_from)?,
            pools: entries_of("pools", site.pools, Pool::try_from)?,
            hosts: entries_of("hosts", site.hosts, placed_host)?,
            teams: entries_of("teams", site.teams, Team::try_from)?,
            callers: entries_of("callers", site.callers, |team| field::name("team", &team))?,
        })
    }
}

fn placed_host(
    placed: proto::PlacedHost,
) -> Result<(HostSpec, borageswitch_types::names::PoolName), FieldError> {
    let spec = field::given("spec", placed.spec)?;
    let spec = HostSpec::try_from(spec).map_err(|err| err.within("spec"))?;
    Ok((spec, field::name("pool", &placed.pool)?))
}

fn entries_of<K, P, V, F>(
    outer: &str,
    entries: BTreeMap<String, P>,
    read: F,
) -> Result<BTreeMap<K, V>, FieldError>
where
    K: std::str::FromStr<Err = NameError> + Ord,
    F: Fn(P) -> Result<V, FieldError>,
{
    let mut known = BTreeMap::new();
    for (key, entry) in entries {
        let path = format!("{outer}.{key}");
        let name = field::name(&path, &key)?;
        known.insert(name, read(entry).map_err(|err| err.within(&path))?);
    }
    Ok(known)
}

impl TryFrom<proto::ExplainRequest> for crate::operator::Subject {
    type Error = FieldError;

    fn try_from(req: proto::ExplainRequest) -> Result<Self, FieldError> {
        use proto::explain_request::Subject;
        Ok(match field::given("subject", req.subject)? {
            Subject::Host(host) => Self::Host(field::name("host", &host)?),
            Subject::Pool(pool) => Self::Pool(field::name("pool", &pool)?),
            Subject::Wave(wave) => Self::Wave(field::name("wave", &wave)?),
            Subject::Request(id) => {
                field::text("request", &id)?;
                Self::Request(Arc::from(id))
            }
        })
    }
}
