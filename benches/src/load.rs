//! Decisions under load, judged by what callers receive, beside the first-come baseline.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_policy::{
    dispatch::{DispatchInput, DispatchOutput, Dispatcher, Offer, Outcome, Priority, Ticket},
    model::{
        Engine, Fault, SiteReport,
        scenarios::{
            burst_success_share, cancelled_wave_ratio, failing_host_permille, hot_caller_ratio,
            long_among_short_ratio, outage_attempt_ratio, overload_goodput, slow_target_ratio,
            urgent_wait,
        },
    },
};
use borageswitch_types::{
    Time,
    fleet::{Revision, ServiceLimits},
    names::{CallerName, DaemonName, HostName, ServiceName},
    view::{ServiceView, TargetState, TargetView, TrafficView},
};
use serde_json::{Value, json};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays every load pattern with the product and with the baseline, on the same requests.
pub(crate) fn run() -> Value {
    let rows = vec![
        row("burst: good answers", burst_success_share),
        row("overload 3x, one entry: goodput", |seed, engine| overload_goodput(seed, 1, engine)),
        row("overload 3x, nine entries: goodput", |seed, engine| overload_goodput(seed, 9, engine)),
        row("hot caller 20x: others' p99, x", hot_caller_ratio),
        row("slow target, one entry: p99, x", |seed, engine| slow_target_ratio(seed, 1, engine)),
        row("slow target, nine entries: p99, x", |seed, engine| slow_target_ratio(seed, 9, engine)),
        row("long among short: short p99, x", long_among_short_ratio),
        row("host answers 500, one entry: failed, permille", |seed, engine| {
            failing_host_permille(seed, 1, Fault::FailsFast, engine)
        }),
        row("host answers 500, nine entries: failed, permille", |seed, engine| {
            failing_host_permille(seed, 9, Fault::FailsFast, engine)
        }),
        row("host refuses, nine entries: failed, permille", |seed, engine| {
            failing_host_permille(seed, 9, Fault::Refuses, engine)
        }),
        row("outage of 5 s in 30: tries a request", outage_attempt_ratio),
        row("cancelled wave: others' p99, x", cancelled_wave_ratio),
        row("urgent under 3x: 99.9 % wait, s", urgent_wait),
    ];
    json!({
        "scenarios": rows,
        "nanoseconds a request in the dispatcher, offered to finished": {
            "idle queue": dispatcher_cost(0),
            "4000 waiting": dispatcher_cost(4_000),
        },
    })
}

/// The processor time of one request through a dispatcher before ten targets, while `waiting`
/// others of fifty callers wait.
fn dispatcher_cost(waiting: u64) -> f64 {
    const REQUESTS: u64 = 200_000;
    let mut dispatcher = dispatcher_of_ten_targets();
    let (mut out, mut now) = (Vec::new(), Time::from_millis(1));
    let mut running = VecDeque::new();
    let offer = |ticket: u64, now, dispatcher: &mut Dispatcher, out: &mut Vec<_>| {
        let offer = Offer {
            ticket: Ticket(ticket),
            caller: CallerName::from(format!("caller-{}", ticket % 50)),
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(3_600),
            kind: ticket % 5,
            retryable: true,
        };
        dispatcher.handle(now, DispatchInput::Offered(offer), out);
    };
    for ticket in 0..waiting {
        offer(ticket, now, &mut dispatcher, &mut out);
    }
    let begin = Instant::now();
    for ticket in waiting..waiting + REQUESTS {
        now += Duration::from_micros(30);
        offer(ticket, now, &mut dispatcher, &mut out);
        running.extend(out.drain(..).filter_map(|output| match output {
            DispatchOutput::Start { ticket, .. } => Some(ticket),
            _ => None,
        }));
        if let Some(ticket) = running.pop_front() {
            let answered = Outcome::Answered { status: 200 };
            dispatcher.handle(now, DispatchInput::Finished(ticket, answered), &mut out);
        }
    }
    begin.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn dispatcher_of_ten_targets() -> Dispatcher {
    let me = DaemonName::from("entry-0");
    let target = |n: u16| {
        let host = HostName::from(format!("host-{n}"));
        let target = TargetView {
            host: host.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + n)),
            epoch: 1,
            state: TargetState::Open,
            slots: 8,
            dealt_slots: 8,
            dealt_connections: 64,
        };
        (host, target)
    };
    let limits = ServiceLimits { queue_len: 100_000, ..ServiceLimits::default() };
    let service =
        ServiceView { limits, promised_slots: 64, targets: (0..10).map(target).collect() };
    let name = ServiceName::from("pricing");
    let view = TrafficView {
        revision: Revision::default(),
        admitting: true,
        retry_after: Duration::from_millis(200),
        me: me.clone(),
        entries: Arc::from([me]),
        services: BTreeMap::from([(name.clone(), service)]),
        teams: BTreeMap::new(),
        callers: BTreeMap::new(),
    };
    let mut dispatcher = Dispatcher::new(name, 1);
    dispatcher.set_view(Time::ZERO, Arc::new(view), &mut Vec::new());
    dispatcher
}

fn row<F>(name: &str, play: F) -> Value
where
    F: Fn(u64, Engine) -> (f64, SiteReport),
{
    let worst_and_mean = |engine| {
        let played = SEEDS.map(|seed| play(seed, engine));
        let mean = played.iter().map(|(figure, _)| figure).sum::<f64>() / SEEDS.len() as f64;
        let untrue: u64 = played
            .iter()
            .flat_map(|(_, report)| report.groups.values())
            .map(|group| group.false_not_run)
            .sum();
        let least = played.iter().map(|(figure, _)| *figure).fold(f64::MAX, f64::min);
        let most = played.iter().map(|(figure, _)| *figure).fold(f64::MIN, f64::max);
        (mean, least, most, untrue)
    };
    let product = worst_and_mean(Engine::Policy);
    let baseline = worst_and_mean(Engine::FirstCome);
    json!({
        "scenario": name,
        "product": product.0,
        "product_least": product.1,
        "product_most": product.2,
        "untrue_refusals": product.3,
        "first_come": baseline.0,
    })
}
