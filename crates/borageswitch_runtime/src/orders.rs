//! Carries out what the scheduler asks for.
//!
//! Whether this daemon may still give orders is asked here, right before a call leaves.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_channel::Receiver;
use borageswitch_scheduler::{
    effect::{Effect, HostOrder, PollOrder, Recipient, StartOrder},
    event::{Event, HostOrderResponse, OrderResponse, PollResponse, StartResponse},
    task::TaskKey,
};
use borageswitch_types::names::{ExecutorName, HostName, JobName};
use futures_lite::future;
use smol::{Timer, lock::Semaphore};

use crate::{
    appends::{self, Stored},
    clock,
    control::{Message, Work},
    daemon::Shared,
    ports::{Commander, Platform, Transaction},
};

/// How many orders to one executor are on their way at once. Each needs a connection of its own,
/// with its price and its memory; at some 3 ms an order, two carry 600 a second, and one
/// that gets no answer does not hold up the next.
const ORDERS_PER_EXECUTOR: usize = 2;
/// An order whose authority ends sooner than this does not leave.
const LEAST_AUTHORITY: Duration = Duration::from_millis(20);
/// The pause before a report on a wave that was not stored is made again.
const REPORT_PAUSE: Duration = Duration::from_millis(300);
/// How often such a report is tried.
const REPORT_TRIES: u32 = 100;

/// Bounds the orders to each executor.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: Mutex<BTreeMap<ExecutorName, Arc<Semaphore>>>,
}

impl Lanes {
    fn of(&self, executor: &ExecutorName) -> Arc<Semaphore> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        if lanes.len() > MAX_LANES {
            lanes.retain(|_, lane| Arc::strong_count(lane) > 1);
        }
        let lane = lanes.entry(executor.clone());
        lane.or_insert_with(|| Arc::new(Semaphore::new(ORDERS_PER_EXECUTOR))).clone()
    }
}

/// More executors than this are not kept in mind: most of them have ended.
const MAX_LANES: usize = 1_000;

/// Carries out work until the control thread ends.
pub async fn run<P>(shared: Arc<Shared<P>>, work: Receiver<Work>)
where
    P: Platform,
{
    while let Ok(work) = work.recv().await {
        let own = shared.clone();
        let task = async move { carry_out(&own, work).await };
        shared.ex.spawn(task).detach();
    }
}

async fn carry_out<P>(shared: &Arc<Shared<P>>, work: Work)
where
    P: Platform,
{
    let Work { token, effect, cancels } = work;
    let began = clock::time();
    let event = outcome(shared, token, effect, &cancels).await;
    if let Some((to, answer)) = event.as_ref().and_then(answer_of) {
        shared.instruments.called(to, answer, clock::time().since(began));
    }
    if let Some(event) = event {
        let _ = shared.control.send(Message::Event { token, event }).await;
    }
}

/// Whom a call went to, and how it was answered. Looks are left out: most of them wait for
/// something to happen.
fn answer_of(event: &Event) -> Option<(&'static str, String)> {
    match event {
        Event::Appended { .. } => Some(("store", "stored".to_owned())),
        Event::StartAnswered { response, .. } => Some(("executor", response.to_string())),
        Event::StopAnswered { response, .. } | Event::SpeedLimitAnswered { response, .. } => {
            Some(("executor", response.to_string()))
        }
        Event::HostOrderAnswered { response, .. } => Some(("hosts", response.to_string())),
        Event::AdviceReceived { permitted, .. } => {
            let answer = if permitted.is_some() { "answered" } else { "no answer" };
            Some(("advisor", answer.to_owned()))
        }
        _ => None,
    }
}

/// Carries an effect out. Gives what the scheduler hears of it.
async fn outcome<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    effect: Effect,
    cancels: &[JobName],
) -> Option<Event>
where
    P: Platform,
{
    match effect {
        Effect::Append { append, records, forget } => {
            match appends::store(shared, token, append, &records, &forget, cancels).await {
                Stored::Yes => Some(Event::Appended { append }),
                Stored::Deposed => {
                    shared.depose(token).await;
                    None
                }
            }
        }
        Effect::StoreSnapshot { snapshot, remove } => {
            appends::store_snapshot(shared, token, &snapshot, remove).await;
            None
        }
        Effect::Start(to, order) => Some(start(shared, token, to, order).await),
        Effect::Stop(to, task, run) => Some(stop(shared, token, to, task, run).await),
        Effect::Poll(to, order) => Some(look(shared, token, to, order).await),
        Effect::LimitSpeed(to, task, run, percent) => {
            Some(pace(shared, token, to, task, run, percent).await)
        }
        Effect::RequestAdvice(step, candidates) => {
            let sent = clock::time();
            let permitted = shared.platform.advise(&step, &candidates).await;
            Some(Event::AdviceReceived { step, sent, candidates, permitted })
        }
        Effect::ListHosts => Some(Event::HostsListed(shared.platform.hosts().await)),
        Effect::OrderHost(host, order) => Some(order_host(shared, token, host, order).await),
        Effect::ReportWave { wave, completed } => {
            report_wave(shared, token, wave, completed).await;
            None
        }
        // The control thread sees to these.
        Effect::StepDown | Effect::Log(_) | Effect::Count(_) => None,
    }
}

async fn start<P>(shared: &Arc<Shared<P>>, token: u64, to: Recipient, order: StartOrder) -> Event
where
    P: Platform,
{
    let lane = shared.lanes.of(&to.executor);
    let _permit = lane.acquire().await;
    let sent = clock::time();
    let (answer, clock_ms) = if shared.authority.left(token) < LEAST_AUTHORITY {
        (StartResponse::NotSent, None)
    } else {
        shared.platform.start(&to, token, &order).await
    };
    Event::StartAnswered {
        executor: to.executor,
        task: order.task,
        run: order.run,
        sent,
        clock_ms,
        response: answer,
    }
}

async fn stop<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    to: Recipient,
    task: TaskKey,
    run: u32,
) -> Event
where
    P: Platform,
{
    let lane = shared.lanes.of(&to.executor);
    let _permit = lane.acquire().await;
    let answer = if shared.authority.left(token) < LEAST_AUTHORITY {
        OrderResponse::Lost
    } else {
        shared.platform.stop(&to, token, &task, run).await
    };
    Event::StopAnswered { executor: to.executor, task, run, response: answer }
}

async fn pace<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    to: Recipient,
    task: TaskKey,
    run: u32,
    percent: u8,
) -> Event
where
    P: Platform,
{
    let answer = if shared.authority.may_keep_alive(token) {
        shared.platform.pace(&to, token, &task, run, percent).await
    } else {
        OrderResponse::Lost
    };
    Event::SpeedLimitAnswered { executor: to.executor, task, response: answer }
}

async fn look<P>(shared: &Arc<Shared<P>>, token: u64, to: Recipient, order: PollOrder) -> Event
where
    P: Platform,
{
    let sent = clock::time();
    let answer = if shared.authority.may_keep_alive(token) {
        shared.platform.look(&to, token, &order).await
    } else {
        PollResponse::Lost
    };
    Event::Polled { executor: to.executor, sent, order, response: answer }
}

async fn order_host<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    host: HostName,
    order: HostOrder,
) -> Event
where
    P: Platform,
{
    let by = Commander { holder: shared.cfg.name.clone(), token };
    let answer = if shared.authority.left(token) < LEAST_AUTHORITY {
        HostOrderResponse::Lost
    } else {
        shared.platform.order_host(&by, &host, &order).await
    };
    Event::HostOrderAnswered { host, response: answer }
}

/// Tells the operator how a wave stands; only a leader may.
async fn report_wave<P>(shared: &Arc<Shared<P>>, token: u64, wave: u64, completed: bool)
where
    P: Platform,
{
    let (key, value) = shared.platform.encode_wave_report(wave, completed);
    let tx = Transaction {
        expect: vec![(crate::keys::LEADER.into(), token)],
        write: vec![(key, value, None)],
        remove: Vec::new(),
    };
    for _ in 0..REPORT_TRIES {
        if !shared.leads(token) {
            return;
        }
        match shared.platform.commit(&tx).await {
            Ok(_) => return,
            Err(err) => log::warn!(wave = wave; "a wave's report is repeated: {err}"),
        }
        Timer::after(REPORT_PAUSE).await;
    }
}

/// The output of a future, or nothing once `limit` has passed.
pub async fn within<F>(limit: Duration, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(f.await) }, timer).await
}
