use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use borageswitch_types::fleet::{
    Author, ChangeRequest, Draw, FailureDomain, FleetChange, HostAddresses, HostSpec, Pool,
    Revision, Service, ServiceLimits, SiteConfig, Team, Watts, WaveSettings, WaveWeights,
};
use proptest::{prelude::*, test_runner::RngSeed};

use crate::schema::proto;

fn meta() -> Option<proto::ChangeMeta> {
    Some(proto::ChangeMeta {
        operation_id: "op-1".to_owned(),
        expected_revision: None,
        reason: String::new(),
        operator: "ana".to_owned(),
    })
}

fn time() -> impl Strategy<Value = Duration> {
    (1..100_000_u64).prop_map(Duration::from_millis)
}

/// A socket address without the flow label of IPv6, for which there is no text.
fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9._-]{1,20}"
}

prop_compose! {
    fn limits()(
        queue_len in 1_u32..,
        (default_deadline, longer) in (time(), time()),
        max_body in any::<u64>(),
        retry_permille in any::<u16>(),
        claim_window in time(),
        method_decides in any::<bool>(),
    ) -> ServiceLimits {
        let max_deadline = default_deadline + longer;
        ServiceLimits {
            queue_len, default_deadline, max_deadline, max_body, retry_permille, claim_window,
            method_decides,
        }
    }
}

prop_compose! {
    fn service()(
        pool in name(),
        promised_slots in any::<u32>(),
        survives in prop::sample::select(vec![
            FailureDomain::None, FailureDomain::Host, FailureDomain::Rack,
            FailureDomain::DataCentre,
        ]),
        limits in limits(),
    ) -> Service {
        Service { pool: pool.into(), promised_slots, survives, limits }
    }
}

prop_compose! {
    fn host_spec()(
        (data_centre, rack) in (name(), name()),
        (target, agent) in (address(), address()),
        (slots, connections) in (1_u16.., 1_u16..),
        (throttled, more, boot) in any::<(u32, u32, u64)>(),
    ) -> HostSpec {
        let throttled = u64::from(throttled);
        let draw = Draw {
            peak: Watts(throttled + u64::from(more)),
            throttled: Watts(throttled),
            boot: Watts(boot),
        };
        HostSpec {
            data_centre: data_centre.into(),
            rack: rack.into(),
            addresses: HostAddresses { target, agent },
            slots,
            connections,
            draw,
        }
    }
}

prop_compose! {
    fn site()(
        entries_expected in 1_u16..,
        power_cap in any::<u64>(),
        services in prop::collection::btree_map(name(), service(), 0..3),
        pools in prop::collection::btree_map(name(), any::<(u32, bool, u8)>(), 0..3),
        hosts in prop::collection::btree_map(name(), (host_spec(), name()), 0..3),
        teams in prop::collection::btree_map(name(), (1_u32.., any::<u16>()), 0..3),
        callers in prop::collection::btree_map(name(), name(), 0..3),
    ) -> SiteConfig {
        let pool = |(wanted_hosts, spare, priority)| Pool { wanted_hosts, spare, priority };
        let team = |(weight, slot_quota)| Team { weight, slot_quota };
        SiteConfig {
            entries_expected,
            power_cap: Watts(power_cap),
            services: services.into_iter().map(|(name, spec)| (name.into(), spec)).collect(),
            pools: pools.into_iter().map(|(name, spec)| (name.into(), pool(spec))).collect(),
            hosts: hosts
                .into_iter()
                .map(|(name, (spec, pool))| (name.into(), (spec, pool.into())))
                .collect(),
            teams: teams.into_iter().map(|(name, spec)| (name.into(), team(spec))).collect(),
            callers: callers.into_iter().map(|(name, team)| (name.into(), team.into())).collect(),
        }
    }
}

prop_compose! {
    fn wave_settings()(
        (max_failures, canaries) in any::<(u32, u32)>(),
        max_batch in 1_u32..,
        (trial, reboot_timeout) in (time(), time()),
        (buffer_cost, roll_out_time, moves) in any::<(u32, u32, u32)>(),
    ) -> WaveSettings {
        let weights = WaveWeights { buffer_cost, roll_out_time, moves };
        WaveSettings { max_failures, canaries, max_batch, trial, reboot_timeout, weights }
    }
}

/// Cases that are the same in every run.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn a_site_is_read_as_it_was_written(site in site()) {
        let req = proto::ApplyConfigRequest { meta: meta(), site: Some((&site).into()) };

        let read = ChangeRequest::try_from(req).unwrap();

        prop_assert_eq!(read.change, FleetChange::ApplySite(Box::new(site)));
    }

    #[test]
    fn a_wave_is_read_as_it_was_written(settings in wave_settings()) {
        let req = proto::StartWaveRequest {
            meta: meta(),
            wave: "w".to_owned(),
            hosts: Vec::new(),
            settings: Some((&settings).into()),
        };

        let read = ChangeRequest::try_from(req).unwrap();

        let expected = FleetChange::StartWave { wave: "w".into(), hosts: Vec::new(), settings };
        prop_assert_eq!(read.change, expected);
    }
}

#[test]
fn what_is_not_given_keeps_its_customary_value() {
    let spec = proto::Service { pool: "a".to_owned(), ..proto::Service::default() };
    let req =
        proto::SetServiceRequest { meta: meta(), service: "billing".to_owned(), spec: Some(spec) };

    let read = ChangeRequest::try_from(req).unwrap();

    let spec = Service {
        pool: "a".into(),
        promised_slots: 0,
        survives: FailureDomain::Rack,
        limits: ServiceLimits::default(),
    };
    assert_eq!(read.change, FleetChange::SetService { service: "billing".into(), spec });
    assert_eq!(read.author, Author::Operator { name: "ana".into() });
    assert_eq!(read.expected, None::<Revision>);
}

#[test]
fn an_unknown_failure_domain_is_named() {
    let spec = proto::Service { pool: "a".to_owned(), survives: 9, ..proto::Service::default() };
    let req =
        proto::SetServiceRequest { meta: meta(), service: "billing".to_owned(), spec: Some(spec) };

    let err = ChangeRequest::try_from(req).unwrap_err();

    assert_eq!(err.to_string(), "spec.survives: is no known failure domain");
}

#[test]
fn a_throttled_draw_above_the_peak_is_named() {
    let spec = proto::HostSpec {
        data_centre: "midrand".to_owned(),
        rack: "r1".to_owned(),
        target: "10.0.0.1:1".to_owned(),
        agent: "10.0.0.1:2".to_owned(),
        slots: 8,
        connections: 64,
        peak_watts: 500,
        throttled_watts: 600,
        boot_watts: 700,
    };
    let req = proto::AddHostRequest {
        meta: meta(),
        host: "h1".to_owned(),
        spec: Some(spec),
        pool: "a".to_owned(),
    };

    let err = ChangeRequest::try_from(req).unwrap_err();

    assert_eq!(err.field, "spec.throttled_watts");
}
