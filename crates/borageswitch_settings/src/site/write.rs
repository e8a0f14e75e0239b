//! Makes a settings file from a site's configuration.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    fleet::{FailureDomain, HostSpec, Service, ServiceLimits, SiteConfig},
    names::{DataCentreName, RackName},
};
use serde_json::{Map, Value, json};

pub(super) fn to_text(config: &SiteConfig) -> String {
    let value = json!({
        "entries_expected": config.entries_expected,
        "power_cap": config.power_cap.to_string(),
        "host_kinds": kinds(config),
        "pools": config.pools,
        "services": config.services.iter().map(|(name, s)| (name.to_string(), service(s))).collect::<Map<_, _>>(),
        "racks": racks(config),
        "teams": config.teams,
        "callers": config.callers,
    });
    format!("{value:#}\n")
}

fn service(service: &Service) -> Value {
    let survives = match service.survives {
        FailureDomain::None => "none",
        FailureDomain::Host => "host",
        FailureDomain::Rack => "rack",
        FailureDomain::DataCentre => "data_centre",
    };
    json!({
        "pool": service.pool,
        "promised_slots": service.promised_slots,
        "survives": survives,
        "limits": limits(&service.limits),
    })
}

fn limits(limits: &ServiceLimits) -> Value {
    json!({
        "queue_len": limits.queue_len,
        "default_deadline": duration(limits.default_deadline),
        "max_deadline": duration(limits.max_deadline),
        "max_body": format!("{} B", limits.max_body),
        "retry_permille": limits.retry_permille,
        "claim_window": duration(limits.claim_window),
        "method_decides": limits.method_decides,
    })
}

fn duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

/// Hosts with the same slots, connections and draw are of one kind.
fn kind_of(spec: &HostSpec) -> String {
    let draw = spec.draw;
    format!(
        "s{}-c{}-p{}-t{}-b{}",
        spec.slots, spec.connections, draw.peak.0, draw.throttled.0, draw.boot.0
    )
}

fn kinds(config: &SiteConfig) -> Value {
    let mut kinds = Map::new();
    for (spec, _) in config.hosts.values() {
        let draw = spec.draw;
        let kind = json!({
            "slots": spec.slots,
            "connections": spec.connections,
            "draw": {
                "peak": draw.peak.to_string(),
                "throttled": draw.throttled.to_string(),
                "boot": draw.boot.to_string(),
            },
        });
        kinds.insert(kind_of(spec), kind);
    }
    Value::Object(kinds)
}

fn racks(config: &SiteConfig) -> Vec<Value> {
    let mut racks: BTreeMap<(&DataCentreName, &RackName, String), Vec<Value>> = BTreeMap::new();
    for (name, (spec, pool)) in &config.hosts {
        let host = json!({
            "name": name,
            "pool": pool,
            "target": spec.addresses.target.to_string(),
            "agent": spec.addresses.agent.to_string(),
        });
        racks.entry((&spec.data_centre, &spec.rack, kind_of(spec))).or_default().push(host);
    }
    let rack = |((data_centre, rack, kind), hosts)| json!({ "data_centre": data_centre, "rack": rack, "kind": kind, "hosts": hosts });
    racks.into_iter().map(rack).collect()
}
