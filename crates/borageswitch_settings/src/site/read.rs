//! Takes a site's settings apart and checks what one field alone cannot show.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr};

use borageswitch_planner::capacity;
use borageswitch_types::{
    Fleet,
    fleet::{
        Draw, FailureDomain, Host, HostAddresses, HostSpec, Pool, Service, ServiceLimits,
        SiteConfig, Team, Watts,
    },
    names::{DataCentreName, HostName, PoolName, RackName, RegionName},
};

use crate::{reader::ObjectReader, units};

/// What hosts of one kind have in common.
#[derive(Clone, Debug)]
struct HostKind {
    slots: u16,
    connections: u16,
    draw: Draw,
}

struct RackHost {
    name: HostName,
    pool: PoolName,
    addresses: HostAddresses,
}

struct Rack {
    data_centre: DataCentreName,
    rack: RackName,
    kind: String,
    hosts: Vec<RackHost>,
}

pub(super) fn read_site(reader: &mut ObjectReader) -> Option<SiteConfig> {
    let entries_expected = reader.number("entries_expected", 1, 64);
    let power_cap = reader.text("power_cap", units::parse_watts);
    let kinds: BTreeMap<String, HostKind> =
        reader.objects("host_kinds", read_kind).into_iter().collect();
    let pools = reader.objects("pools", read_pool).into_iter().collect();
    let services = reader.objects("services", read_service).into_iter().collect();
    let racks = reader.items("racks", read_rack);
    let teams = reader.objects("teams", read_team).into_iter().collect();
    let callers = reader.texts("callers").into_iter().collect();
    let hosts = collect_hosts(reader, &kinds, racks);
    let (entries_expected, power_cap) = (entries_expected?, power_cap?);
    let site = SiteConfig { entries_expected, power_cap, services, pools, hosts, teams, callers };
    check_references(reader, &site);
    check_addresses(reader, &site);
    check_budgets(reader, &site);
    check_power(reader, &site);
    Some(site)
}

fn read_kind(reader: &mut ObjectReader) -> Option<HostKind> {
    let slots = reader.number("slots", 1, 1_024);
    let connections = reader.number("connections", 1, 16_384);
    let draw = reader.object("draw", read_draw);
    Some(HostKind { slots: slots?, connections: connections?, draw: draw? })
}

fn read_draw(reader: &mut ObjectReader) -> Option<Draw> {
    let peak = reader.text("peak", units::parse_watts);
    let throttled = reader.text("throttled", units::parse_watts);
    let boot = reader.text("boot", units::parse_watts);
    let (peak, throttled, boot) = (peak?, throttled?, boot?);
    if throttled > peak {
        reader.report("throttled", "a throttled host cannot draw more than its peak");
    }
    Some(Draw { peak, throttled, boot })
}

fn read_pool(reader: &mut ObjectReader) -> Option<Pool> {
    let wanted_hosts = reader.number("wanted_hosts", 0, 10_000);
    let spare = reader.flag_or("spare", false);
    let priority = reader.number_or("priority", Pool::default().priority, 0, 255);
    Some(Pool { wanted_hosts: wanted_hosts?, spare: spare?, priority: priority? })
}

fn read_service(reader: &mut ObjectReader) -> Option<Service> {
    let pool = reader.parsed("pool");
    let promised_slots = reader.number("promised_slots", 1, 1_000_000);
    let survives = reader.text_or("survives", FailureDomain::default(), parse_domain);
    let limits = reader.object_or("limits", ServiceLimits::default(), read_limits);
    Some(Service {
        pool: pool?,
        promised_slots: promised_slots?,
        survives: survives?,
        limits: limits?,
    })
}

fn read_limits(reader: &mut ObjectReader) -> Option<ServiceLimits> {
    let default = ServiceLimits::default();
    let queue_len = reader.number_or("queue_len", default.queue_len, 1, 1_000_000);
    let default_deadline =
        reader.text_or("default_deadline", default.default_deadline, units::parse_duration);
    let max_deadline = reader.text_or("max_deadline", default.max_deadline, units::parse_duration);
    let max_body = reader.text_or("max_body", default.max_body, units::parse_bytes);
    let retry_permille = reader.number_or("retry_permille", default.retry_permille, 0, 1_000);
    let claim_window = reader.text_or("claim_window", default.claim_window, units::parse_duration);
    let method_decides = reader.flag_or("method_decides", default.method_decides);
    let (default_deadline, max_deadline) = (default_deadline?, max_deadline?);
    if default_deadline > max_deadline {
        reader.report("default_deadline", "it is longer than max_deadline");
    }
    Some(ServiceLimits {
        queue_len: queue_len?,
        default_deadline,
        max_deadline,
        max_body: max_body?,
        retry_permille: retry_permille?,
        claim_window: claim_window?,
        method_decides: method_decides?,
    })
}

fn parse_domain(text: &str) -> Result<FailureDomain, String> {
    match text {
        "none" => Ok(FailureDomain::None),
        "host" => Ok(FailureDomain::Host),
        "rack" => Ok(FailureDomain::Rack),
        "data_centre" => Ok(FailureDomain::DataCentre),
        _ => Err(format!("'{text}' is none of none, host, rack and data_centre")),
    }
}

fn read_rack(reader: &mut ObjectReader) -> Option<Rack> {
    let data_centre = reader.parsed("data_centre");
    let rack = reader.parsed("rack");
    let kind = reader.text("kind", String::from_str);
    let hosts = reader.items("hosts", read_host);
    Some(Rack { data_centre: data_centre?, rack: rack?, kind: kind?, hosts })
}

fn read_host(reader: &mut ObjectReader) -> Option<RackHost> {
    let name = reader.parsed("name");
    let pool = reader.parsed("pool");
    let target: Option<SocketAddr> = reader.parsed("target");
    let agent: Option<SocketAddr> = reader.parsed("agent");
    let addresses = HostAddresses { target: target?, agent: agent? };
    Some(RackHost { name: name?, pool: pool?, addresses })
}

fn read_team(reader: &mut ObjectReader) -> Option<Team> {
    let weight = reader.number_or("weight", 1, 1, 1_000);
    let slot_quota = reader.number_or("slot_quota", u16::MAX, 1, u64::from(u16::MAX));
    Some(Team { weight: weight?, slot_quota: slot_quota? })
}

fn collect_hosts(
    reader: &ObjectReader,
    kinds: &BTreeMap<String, HostKind>,
    racks: Vec<Rack>,
) -> BTreeMap<HostName, (HostSpec, PoolName)> {
    let mut hosts = BTreeMap::new();
    for (i, rack) in racks.into_iter().enumerate() {
        let Some(kind) = kinds.get(&rack.kind) else {
            reader.report(
                &format!("racks[{i}].kind"),
                format!("'{}' is not among host_kinds", rack.kind),
            );
            continue;
        };
        for host in rack.hosts {
            let spec = HostSpec {
                data_centre: rack.data_centre.clone(),
                rack: rack.rack.clone(),
                addresses: host.addresses,
                slots: kind.slots,
                connections: kind.connections,
                draw: kind.draw,
            };
            if hosts.insert(host.name.clone(), (spec, host.pool)).is_some() {
                reader.report(
                    &format!("racks[{i}].hosts"),
                    format!("'{}' is declared twice", host.name),
                );
            }
        }
    }
    hosts
}

fn check_references(reader: &ObjectReader, site: &SiteConfig) {
    let missing = |pool: &PoolName| format!("'{pool}' is not among pools");
    for (name, service) in &site.services {
        if !site.pools.contains_key(&service.pool) {
            reader.report(&format!("services.{name}.pool"), missing(&service.pool));
        }
    }
    for (name, (_, pool)) in &site.hosts {
        if !site.pools.contains_key(pool) {
            reader.report(&format!("racks: host {name}: pool"), missing(pool));
        }
    }
    for (caller, team) in &site.callers {
        if !site.teams.contains_key(team) {
            reader.report(&format!("callers.{caller}"), format!("'{team}' is not among teams"));
        }
    }
}

/// Two hosts behind one address would each get the other's requests; port 0 is replaced later.
fn check_addresses(reader: &ObjectReader, site: &SiteConfig) {
    let mut seen: BTreeMap<SocketAddr, &HostName> = BTreeMap::new();
    for (name, (spec, _)) in &site.hosts {
        for address in [spec.addresses.target, spec.addresses.agent] {
            if address.port() == 0 {
                continue;
            }
            if let Some(first) = seen.insert(address, name) {
                reader.report(
                    &format!("racks: host {name}"),
                    format!("{address} is used by {first} already"),
                );
            }
        }
    }
}

fn check_budgets(reader: &ObjectReader, site: &SiteConfig) {
    let mut fleet = Fleet::empty(RegionName::from("check"));
    fleet.services = site.services.clone();
    let serving = |(spec, pool): &(HostSpec, PoolName)| Host::serving(spec.clone(), pool.clone());
    fleet.hosts = site.hosts.iter().map(|(name, host)| (name.clone(), serving(host))).collect();
    for pool in site.pools.keys() {
        if let Err(refusal) = capacity::check_budgets(&fleet, pool, &[]) {
            reader.report(&format!("pools.{pool}"), format!("an impossible budget: {refusal}"));
        }
    }
}

fn check_power(reader: &ObjectReader, site: &SiteConfig) {
    let peak: Watts = site.hosts.values().map(|(spec, _)| spec.draw.peak).sum();
    let surge = site
        .hosts
        .values()
        .map(|(spec, _)| spec.draw.boot.0.saturating_sub(spec.draw.peak.0))
        .max();
    let needed = Watts(peak.0 + surge.unwrap_or(0));
    if needed > site.power_cap {
        let reason = format!(
            "all hosts at their peak and one that boots draw {needed}: no wave could begin"
        );
        reader.report("power_cap", reason);
    }
}
