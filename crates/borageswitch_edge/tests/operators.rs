//! Operators' calls: each reaches the reducer as it was meant, and each answer comes back as such.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_channel::Receiver;
use borageswitch_control::Event;
use borageswitch_edge::operators::{
    Operators,
    client::{self, Connection},
};
use borageswitch_types::{
    Fleet,
    fleet::{
        Author, Draw, FailureDomain, FleetChange, HostAddresses, HostSpec, Pool, Refusal, Revision,
        Service, ServiceLimits, SiteConfig, Team, Watts, WaveSettings,
    },
    names::{HostName, RegionName},
};
use borageswitch_wire::{
    operator::{OperatorAnswer, OperatorRequest, Subject},
    schema::proto::{
        self, ErrorDetail, explain_request, operator_client::OperatorClient, watched_event,
    },
};
use futures_lite::StreamExt;
use prost::Message;
use tonic::{Code, Status};

use crate::support::Runner;

type Asked = Arc<Mutex<Vec<OperatorRequest>>>;

struct Fixture {
    operators: Arc<Operators>,
    asked: Asked,
    runner: Runner,
}

/// Operators whose reducer gives every request the same answer.
fn fixture(answer: OperatorAnswer) -> Fixture {
    let runner = Runner::start();
    let (tx, events) = async_channel::unbounded();
    let operators = Operators::start(support::any_port(), tx, runner.ex.clone()).unwrap();
    let operators = Arc::new(operators);
    let asked = Asked::default();
    let reducer = answer_all(events, operators.clone(), asked.clone(), answer);
    runner.ex.spawn(reducer).detach();
    Fixture { operators, asked, runner }
}

async fn answer_all(
    events: Receiver<Event>,
    operators: Arc<Operators>,
    asked: Asked,
    answer: OperatorAnswer,
) {
    while let Ok(event) = events.recv().await {
        let Event::Operator { call, request } = event else { continue };
        asked.lock().unwrap().push(request);
        operators.answer(call, answer.clone());
    }
}

impl Fixture {
    fn client(&self) -> OperatorClient<Connection> {
        let connecting =
            client::connect(self.operators.local_addr(), support::LIVENESS, &self.runner.ex);
        smol::block_on(connecting).unwrap()
    }

    fn only_change(&self) -> FleetChange {
        match &self.asked.lock().unwrap()[..] {
            [OperatorRequest::Change(req)] => req.change.clone(),
            asked => panic!("{asked:?}"),
        }
    }
}

fn accepted() -> OperatorAnswer {
    OperatorAnswer::Accepted { revision: Revision(7) }
}

fn meta() -> Option<proto::ChangeMeta> {
    Some(proto::ChangeMeta {
        operation_id: "op-1".to_owned(),
        expected_revision: Some(6),
        reason: "maintenance".to_owned(),
        operator: "ana".to_owned(),
    })
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn host_spec() -> HostSpec {
    HostSpec {
        data_centre: "midrand".into(),
        rack: "r1".into(),
        addresses: HostAddresses { target: address(1), agent: address(2) },
        slots: 8,
        connections: 64,
        draw: Draw { peak: Watts(900), throttled: Watts(500), boot: Watts(1_000) },
    }
}

fn service() -> Service {
    Service {
        pool: "a".into(),
        promised_slots: 80,
        survives: FailureDomain::Rack,
        limits: ServiceLimits::default(),
    }
}

fn site() -> SiteConfig {
    SiteConfig {
        entries_expected: 9,
        power_cap: Watts(44_000),
        services: [("billing".into(), service())].into(),
        pools: [("a".into(), pool())].into(),
        hosts: [("h1".into(), (host_spec(), "a".into()))].into(),
        teams: [("t".into(), Team { weight: 2, slot_quota: 4 })].into(),
        callers: [("c".into(), "t".into())].into(),
    }
}

fn pool() -> Pool {
    Pool { wanted_hosts: 10, spare: true, priority: 3 }
}

/// Makes a call and checks that the reducer got exactly the change that it stands for.
macro_rules! round_trip {
    ($test:ident: $call:ident($request:expr) => $change:expr) => {
        #[test]
        fn $test() {
            let f = fixture(accepted());
            let mut client = f.client();

            let reply = smol::block_on(client.$call($request)).unwrap().into_inner();

            assert_eq!(reply.revision, 7);
            assert_eq!(f.only_change(), $change);
        }
    };
}

round_trip!(a_site_is_applied: apply_config(proto::ApplyConfigRequest {
    meta: meta(),
    site: Some((&site()).into()),
}) => FleetChange::ApplySite(Box::new(site())));
round_trip!(a_pool_is_set: set_pool(proto::SetPoolRequest {
    meta: meta(),
    pool: "a".to_owned(),
    spec: Some((&pool()).into()),
}) => FleetChange::SetPool { pool: "a".into(), spec: pool() });
round_trip!(a_pool_is_removed: remove_pool(proto::RemovePoolRequest {
    meta: meta(),
    pool: "a".to_owned(),
}) => FleetChange::RemovePool { pool: "a".into() });
round_trip!(a_service_is_set: set_service(proto::SetServiceRequest {
    meta: meta(),
    service: "billing".to_owned(),
    spec: Some((&service()).into()),
}) => FleetChange::SetService { service: "billing".into(), spec: service() });
round_trip!(a_service_is_removed: remove_service(proto::RemoveServiceRequest {
    meta: meta(),
    service: "billing".to_owned(),
}) => FleetChange::RemoveService { service: "billing".into() });
round_trip!(a_host_is_added: add_host(proto::AddHostRequest {
    meta: meta(),
    host: "h1".to_owned(),
    spec: Some((&host_spec()).into()),
    pool: "a".to_owned(),
}) => FleetChange::AddHost { host: "h1".into(), spec: host_spec(), pool: "a".into() });
round_trip!(a_host_is_removed: remove_host(proto::RemoveHostRequest {
    meta: meta(),
    host: "h1".to_owned(),
}) => FleetChange::RemoveHost { host: "h1".into() });
round_trip!(a_host_is_moved: move_host(proto::MoveHostRequest {
    meta: meta(),
    host: "h1".to_owned(),
    to: "b".to_owned(),
}) => FleetChange::MoveHost { host: "h1".into(), to: "b".into() });
round_trip!(a_host_is_held: hold_host(proto::HoldHostRequest {
    meta: meta(),
    host: "h1".to_owned(),
}) => FleetChange::HoldHost { host: "h1".into(), reason: "maintenance".into() });
round_trip!(a_host_is_released: release_host(proto::ReleaseHostRequest {
    meta: meta(),
    host: "h1".to_owned(),
}) => FleetChange::ReleaseHost { host: "h1".into() });
round_trip!(a_team_is_set: set_team(proto::SetTeamRequest {
    meta: meta(),
    team: "t".to_owned(),
    spec: Some(proto::Team { weight: 2, slot_quota: 4 }),
}) => FleetChange::SetTeam { team: "t".into(), spec: Team { weight: 2, slot_quota: 4 } });
round_trip!(a_team_is_removed: remove_team(proto::RemoveTeamRequest {
    meta: meta(),
    team: "t".to_owned(),
}) => FleetChange::RemoveTeam { team: "t".into() });
round_trip!(a_caller_is_set: set_caller(proto::SetCallerRequest {
    meta: meta(),
    caller: "c".to_owned(),
    team: "t".to_owned(),
}) => FleetChange::SetCaller { caller: "c".into(), team: "t".into() });
round_trip!(the_power_cap_is_set: set_power_cap(proto::SetPowerCapRequest {
    meta: meta(),
    cap_watts: 40_000,
}) => FleetChange::SetPowerCap { cap: Watts(40_000) });
round_trip!(the_entries_are_set: set_entries_expected(proto::SetEntriesExpectedRequest {
    meta: meta(),
    entries: 9,
}) => FleetChange::SetEntriesExpected { entries: 9 });
round_trip!(a_wave_is_started: start_wave(proto::StartWaveRequest {
    meta: meta(),
    wave: "w".to_owned(),
    hosts: vec!["h1".to_owned(), "h2".to_owned()],
    settings: Some(proto::WaveSettings { max_batch: Some(4), ..Default::default() }),
}) => FleetChange::StartWave {
    wave: "w".into(),
    hosts: vec!["h1".into(), "h2".into()],
    settings: WaveSettings { max_batch: 4, ..WaveSettings::default() },
});
round_trip!(a_wave_is_paused: pause_wave(proto::PauseWaveRequest {
    meta: meta(),
    wave: "w".to_owned(),
}) => FleetChange::PauseWave { wave: "w".into() });
round_trip!(a_wave_is_resumed: resume_wave(proto::ResumeWaveRequest {
    meta: meta(),
    wave: "w".to_owned(),
}) => FleetChange::ResumeWave { wave: "w".into() });
round_trip!(a_wave_is_aborted: abort_wave(proto::AbortWaveRequest {
    meta: meta(),
    wave: "w".to_owned(),
}) => FleetChange::AbortWave { wave: "w".into() });
round_trip!(a_wave_is_removed: remove_wave(proto::RemoveWaveRequest {
    meta: meta(),
    wave: "w".to_owned(),
}) => FleetChange::RemoveWave { wave: "w".into() });

#[test]
fn a_change_carries_who_why_and_from_where() {
    let f = fixture(accepted());
    let req = proto::RemoveHostRequest { meta: meta(), host: "h1".to_owned() };

    smol::block_on(f.client().remove_host(req)).unwrap();

    let asked = f.asked.lock().unwrap();
    let [OperatorRequest::Change(req)] = &asked[..] else { panic!("{asked:?}") };
    assert_eq!(req.operation, "op-1".into());
    assert_eq!(req.expected, Some(Revision(6)));
    assert_eq!(req.author, Author::Operator { name: "ana".into() });
    assert_eq!(&*req.reason, "maintenance");
}

/// Makes a change that is refused before it reaches the reducer, and gives the field at fault.
fn bad_field<F>(make: F) -> String
where
    F: AsyncFnOnce(OperatorClient<Connection>) -> Result<(), Status>,
{
    let f = fixture(accepted());
    let status = smol::block_on(make(f.client())).unwrap_err();
    assert_eq!(status.code(), Code::InvalidArgument, "{status:?}");
    assert!(f.asked.lock().unwrap().is_empty(), "it reached the reducer");
    let detail = ErrorDetail::decode(status.details()).unwrap();
    assert!(status.message().starts_with(&detail.field), "{status:?}");
    detail.field
}

#[test]
fn a_bad_field_is_named() {
    let remove = |meta, host: &str| proto::RemoveHostRequest { meta, host: host.to_owned() };
    let without_id = meta().map(|meta| proto::ChangeMeta { operation_id: String::new(), ..meta });
    let unnamed = meta().map(|meta| proto::ChangeMeta { operator: String::new(), ..meta });
    let long = meta().map(|meta| proto::ChangeMeta { reason: "r".repeat(513), ..meta });

    let fields = [
        bad_field(async |mut c| c.remove_host(remove(None, "h1")).await.map(drop)),
        bad_field(async |mut c| c.remove_host(remove(without_id, "h1")).await.map(drop)),
        bad_field(async |mut c| c.remove_host(remove(unnamed, "h1")).await.map(drop)),
        bad_field(async |mut c| c.remove_host(remove(long, "h1")).await.map(drop)),
        bad_field(async |mut c| c.remove_host(remove(meta(), "H 1")).await.map(drop)),
    ];

    assert_eq!(fields, ["meta", "meta.operation_id", "meta.operator", "meta.reason", "host"]);
}

#[test]
fn a_bad_field_deep_in_a_site_is_named() {
    let mut slots = proto::SiteConfig::from(&site());
    slots.hosts.get_mut("h1").unwrap().spec.as_mut().unwrap().slots = 70_000;
    let mut agent = proto::SiteConfig::from(&site());
    agent.hosts.get_mut("h1").unwrap().spec.as_mut().unwrap().agent = "localhost".to_owned();
    let mut deadline = proto::SiteConfig::from(&site());
    let limits = &mut deadline.services.get_mut("billing").unwrap().limits;
    limits.as_mut().unwrap().default_deadline_ms = Some(0);
    let mut entries = proto::SiteConfig::from(&site());
    entries.entries_expected = 0;
    let apply = |site| proto::ApplyConfigRequest { meta: meta(), site: Some(site) };

    let fields = [
        bad_field(async |mut c| c.apply_config(apply(slots)).await.map(drop)),
        bad_field(async |mut c| c.apply_config(apply(agent)).await.map(drop)),
        bad_field(async |mut c| c.apply_config(apply(deadline)).await.map(drop)),
        bad_field(async |mut c| c.apply_config(apply(entries)).await.map(drop)),
    ];

    assert_eq!(
        fields,
        [
            "site.hosts.h1.spec.slots",
            "site.hosts.h1.spec.agent",
            "site.services.billing.limits.default_deadline_ms",
            "site.entries_expected",
        ]
    );
}

fn refused_with(refusal: Refusal) -> (Code, ErrorDetail) {
    let f = fixture(OperatorAnswer::Refused(refusal));
    let req = proto::RemoveHostRequest { meta: meta(), host: "h1".to_owned() };
    let status = smol::block_on(f.client().remove_host(req)).unwrap_err();
    (status.code(), ErrorDetail::decode(status.details()).unwrap())
}

#[test]
fn each_refusal_has_its_code_and_field() {
    let (field, reason) = ("host".into(), "it serves".into());
    let wrong_state = refused_with(Refusal::WrongState { field, reason });
    let unknown = refused_with(Refusal::Unknown { field: "pool".into(), name: "x".into() });
    let budget =
        refused_with(Refusal::BudgetBroken { service: "billing".into(), left: 70, promised: 80 });
    let power = refused_with(Refusal::PowerExceeded { needed: Watts(2), cap: Watts(1) });

    assert_eq!((wrong_state.0, &*wrong_state.1.field), (Code::FailedPrecondition, "host"));
    assert_eq!((unknown.0, &*unknown.1.field), (Code::NotFound, "pool"));
    assert_eq!((budget.0, &*budget.1.field), (Code::FailedPrecondition, "service"));
    assert_eq!((power.0, &*power.1.field), (Code::FailedPrecondition, "power_cap"));
}

/// Two operators change the same fleet. The second one must learn that and what the first one did,
/// or it would undo the change without knowing.
#[test]
fn a_conflict_tells_where_the_fleet_is_and_what_changed() {
    let (code, detail) = refused_with(Refusal::RevisionConflict {
        expected: Revision(6),
        found: Revision(8),
        since: "ana held h2".into(),
    });

    assert_eq!(code, Code::Aborted);
    assert_eq!(detail.field, "expected_revision");
    assert_eq!(detail.found_revision, Some(8));
    assert_eq!(detail.since, "ana held h2");
}

/// The store did not say whether it took the change. The operator is told to repeat it with the
/// same id, which makes it once.
#[test]
fn an_undecided_change_advises_to_repeat_the_same_id() {
    let f = fixture(OperatorAnswer::Undecided { detail: "the store is slow".into() });
    let req = proto::RemoveHostRequest { meta: meta(), host: "h1".to_owned() };

    let status = smol::block_on(f.client().remove_host(req)).unwrap_err();

    assert_eq!(status.code(), Code::Unavailable);
    assert!(status.message().contains("repeat the call with the same operation id"));
}

#[test]
fn a_wait_names_who_lags() {
    let lagging = vec!["d2".into(), "d3".into()];
    let f = fixture(OperatorAnswer::InForce { revision: Revision(7), lagging });
    let req = proto::WaitInForceRequest { revision: 7, timeout_ms: 1_500 };

    let reply = smol::block_on(f.client().wait_in_force(req)).unwrap().into_inner();

    assert_eq!(reply.lagging, ["d2", "d3"]);
    let timeout = Duration::from_millis(1_500);
    let expected = OperatorRequest::WaitInForce { revision: Revision(7), timeout };
    assert_eq!(f.asked.lock().unwrap()[..], [expected]);
}

#[test]
fn a_wait_of_hours_is_refused() {
    let req = proto::WaitInForceRequest { revision: 7, timeout_ms: 3_600_000 };

    let field = bad_field(async |mut c| c.wait_in_force(req).await.map(drop));

    assert_eq!(field, "timeout_ms");
}

#[test]
fn the_published_fleet_is_shown_without_the_reducer() {
    let f = fixture(OperatorAnswer::NotFound);
    let mut fleet = Fleet::empty(RegionName::from("gauteng"));
    fleet.revision = Revision(3);
    f.operators.publish_fleet(Arc::new(fleet.clone()));

    let json = smol::block_on(f.client().get_fleet(proto::GetFleetRequest {})).unwrap();

    let shown: Fleet = serde_json::from_str(&json.into_inner().json).unwrap();
    assert_eq!(shown, fleet);
    assert!(f.asked.lock().unwrap().is_empty());
}

#[test]
fn a_dump_and_an_explanation_come_from_the_reducer() {
    let dumped = fixture(OperatorAnswer::Json("{}".to_owned()));
    let explained = fixture(OperatorAnswer::Explanation(vec!["it waits".into()]));
    let unknown = fixture(OperatorAnswer::NotFound);
    let subject = Some(explain_request::Subject::Host("h1".to_owned()));
    let req = proto::ExplainRequest { subject };

    let dump = smol::block_on(dumped.client().dump(proto::DumpRequest {})).unwrap();
    let lines = smol::block_on(explained.client().explain(req.clone())).unwrap();
    let status = smol::block_on(unknown.client().explain(req)).unwrap_err();

    assert_eq!(dump.into_inner().json, "{}");
    assert_eq!(lines.into_inner().lines, ["it waits"]);
    assert_eq!(status.code(), Code::NotFound);
    let subject = Subject::Host(HostName::from("h1"));
    assert_eq!(explained.asked.lock().unwrap()[..], [OperatorRequest::Explain(subject)]);
}

#[test]
fn a_watcher_sees_kept_and_new_decisions_and_revisions() {
    let f = fixture(accepted());
    f.operators.record("first".into());

    let watching = async {
        let mut client = f.client();
        let events = client.watch_events(proto::WatchEventsRequest {}).await.unwrap();
        let mut events = events.into_inner();
        let first = events.next().await;
        f.operators.record("second".into());
        f.operators.publish_fleet(Arc::new(Fleet::empty("gauteng".into())));
        [first, events.next().await, events.next().await]
    };
    let events = support::within(support::LIVENESS, watching).unwrap();

    let events = events.map(|event| event.unwrap().unwrap().event.unwrap());
    assert_eq!(
        events,
        [
            watched_event::Event::Decision("first".to_owned()),
            watched_event::Event::Decision("second".to_owned()),
            watched_event::Event::Revision(0),
        ]
    );
}

/// A watcher opens the call and never reads. The daemon must neither wait for it nor keep all that
/// it missed; another watcher sees what comes.
#[test]
fn a_watcher_that_does_not_read_holds_nobody_up() {
    let f = fixture(accepted());
    let mut client = f.client();
    let stuck = smol::block_on(client.watch_events(proto::WatchEventsRequest {})).unwrap();

    for n in 0..50_000 {
        f.operators.record(format!("decision {n} of many that nobody reads").into());
    }
    let watching = async {
        let mut client = f.client();
        let events = client.watch_events(proto::WatchEventsRequest {}).await.unwrap();
        events.into_inner().next().await
    };
    let seen = support::within(support::LIVENESS, watching).unwrap().unwrap().unwrap();

    let kept = "decision 49744 of many that nobody reads".to_owned();
    assert_eq!(seen.event, Some(watched_event::Event::Decision(kept)));
    drop(stuck);
}

/// A caller's HTTP/1 request comes to the operators' port by mistake. It gets no answer that could
/// pass for a service's, and operators are still served.
#[test]
fn a_callers_request_is_not_answered() {
    let f = fixture(accepted());
    let mut stream = TcpStream::connect(f.operators.local_addr()).unwrap();
    stream.set_read_timeout(Some(support::LIVENESS)).unwrap();

    stream.write_all(b"GET /billing HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let req = proto::RemoveHostRequest { meta: meta(), host: "h1".to_owned() };
    let reply = smol::block_on(f.client().remove_host(req));

    assert!(!answer.starts_with(b"HTTP/"), "{}", String::from_utf8_lossy(&answer));
    assert!(reply.is_ok());
}
