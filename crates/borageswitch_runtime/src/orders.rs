//! Executes the scheduler's effects.
//!
//! Whether this daemon may still give orders is checked here, before a call is made. An order for a
//! host is checked once more when its bytes are written.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::Receiver;
use borageswitch_scheduler::{
    effect::{Effect, HostOrder, PollOrder, Recipient, StartOrder},
    event::{Event, HostOrderResponse, OrderResponse, PollResponse, StartResponse},
    ledger::record::StoredAppend,
    policy::response_loss::{CallTimeouts, ResponseLoss},
    task::TaskKey,
};
use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName},
};
use futures_lite::future;
use smol::{Timer, lock::Semaphore};

use crate::{
    appends::{self, AppendOutcome},
    authority::Authority,
    clock,
    control::{Message, PendingEffect},
    daemon::Shared,
    ports::{OrderIssuer, Platform, Transaction},
    relays::Routed,
    snapshots,
};

/// How many orders to one executor are in flight at once. Each needs a connection of its own, which
/// costs setup time and memory. At some 3 ms per order, two connections carry 600 orders a second,
/// and an order without a response does not block the next one.
const ORDERS_PER_EXECUTOR: usize = 2;
/// An order is not sent if this daemon's authority ends sooner than this.
const MIN_AUTHORITY: Duration = Duration::from_millis(20);
/// How long a stop is repeated at once while responses get lost; the scheduler repeats it after
/// 600 ms.
const STOP_REPEAT_WINDOW: Duration = Duration::from_millis(300);
/// How long before the next leader may order a host an order for it has been given up.
const HOST_ORDER_MARGIN: Duration = Duration::from_millis(500);
/// The minimum timeout of an order for a host.
const MIN_HOST_ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A list of hosts that takes longer than this counts as failed.
const MAX_LIST_TIME: Duration = Duration::from_secs(10);
/// The pause before storing a wave's report is retried.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How often storing a wave's report is attempted.
const REPORT_ATTEMPTS: u32 = 100;

/// Limits the concurrent orders to each executor.
#[derive(Debug, Default)]
pub struct OrderSemaphores {
    semaphores: Mutex<BTreeMap<ExecutorName, Arc<Semaphore>>>,
}

impl OrderSemaphores {
    fn get(&self, executor: &ExecutorName) -> Arc<Semaphore> {
        let mut semaphores = self.semaphores.lock().unwrap_or_else(PoisonError::into_inner);
        if semaphores.len() > MAX_SEMAPHORES {
            semaphores.retain(|_, semaphore| Arc::strong_count(semaphore) > 1);
        }
        let semaphore = semaphores.entry(executor.clone());
        semaphore.or_insert_with(|| Arc::new(Semaphore::new(ORDERS_PER_EXECUTOR))).clone()
    }
}

/// What the calls to executors show about lost responses.
#[derive(Debug, Default)]
pub struct ExecutorCalls {
    loss: Mutex<LossState>,
}

#[derive(Debug, Default)]
struct LossState {
    loss: ResponseLoss,
    /// The timeouts that are in force, for the log.
    in_force: Option<CallTimeouts>,
}

impl ExecutorCalls {
    /// The timeouts of a call that is sent now, if they are shorter than usual.
    fn timeouts(&self) -> Option<CallTimeouts> {
        let mut state = self.lock();
        let timeouts = state.loss.timeouts(clock::time());
        if timeouts.is_some() != state.in_force.is_some() {
            match &timeouts {
                Some(CallTimeouts { order, poll_wait }) => log::info!(
                    order_timeout_ms = order.as_millis() as u64,
                    poll_wait_ms = poll_wait.as_millis() as u64;
                    "responses-lost"
                ),
                None => log::info!("responses-no-longer-lost"),
            }
        }
        state.in_force = timeouts;
        timeouts
    }

    /// Records the outcome of an order that was sent at `sent`.
    fn record_order(&self, executor: &ExecutorName, sent: Time, responded: bool) {
        let took = responded.then(|| clock::time().since(sent));
        self.lock().loss.record_order(took);
        self.record_call(executor, sent, responded);
    }

    /// Records the outcome of a call that was sent at `sent`.
    fn record_call(&self, executor: &ExecutorName, sent: Time, responded: bool) {
        let now = clock::time();
        let loss = &mut self.lock().loss;
        match responded {
            true => loss.record_response(now, executor, sent),
            false => loss.record_timeout(now, executor, sent),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LossState> {
        self.loss.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// With more entries than this, unused ones are removed: most of their executors have ended.
const MAX_SEMAPHORES: usize = 1_000;

/// Executes effects until the control thread ends.
pub async fn run<P>(shared: Arc<Shared<P>>, effects: Receiver<PendingEffect>)
where
    P: Platform,
{
    while let Ok(pending) = effects.recv().await {
        let PendingEffect { token, effect, cancels } = pending;
        let routed = shared.relays.route(clock::time(), shared.cfg.weight, token, effect);
        let Routed::Own(effect) = routed else { continue };
        let pending = PendingEffect { token, effect, cancels };
        let own = shared.clone();
        // Boxed, as a spawned future is moved several times on its way into its task.
        let task = Box::pin(async move { carry_out(&own, pending).await });
        shared.ex.spawn(task).detach();
    }
}

async fn carry_out<P>(shared: &Arc<Shared<P>>, pending: PendingEffect)
where
    P: Platform,
{
    let PendingEffect { token, effect, cancels } = pending;
    let began = clock::time();
    let event = execute(shared, token, effect, &cancels).await;
    if let Some((to, answer)) = event.as_ref().and_then(call_labels) {
        shared.instruments.record_call(to, answer, clock::time().since(began));
    }
    if let Some(event) = event {
        let _ = shared.control.send(Message::Event { token, event }).await;
    }
}

/// The metric labels of a call: its receiver and the kind of response. Polls of executors are left
/// out, as most of them wait for something to happen.
fn call_labels(event: &Event) -> Option<(&'static str, String)> {
    match event {
        Event::Appended { .. } | Event::AppendedWithoutRemovals { .. } => {
            Some(("store", "stored".to_owned()))
        }
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

/// Executes an effect. Gives the resulting event for the scheduler, if there is one.
async fn execute<P>(
    shared: &Arc<Shared<P>>,
    token: u64,
    effect: Effect,
    cancels: &[JobName],
) -> Option<Event>
where
    P: Platform,
{
    match effect {
        Effect::Append { append, at, term, records, forget } => {
            let content = StoredAppend { records, at, term };
            match appends::store(shared, token, append, &content, &forget, cancels).await {
                AppendOutcome::Stored => Some(Event::Appended { append }),
                AppendOutcome::StoredWithoutRemovals => {
                    Some(Event::AppendedWithoutRemovals { append })
                }
                AppendOutcome::Deposed => {
                    shared.depose(token).await;
                    None
                }
            }
        }
        Effect::StoreSnapshot { snapshot, remove } => {
            snapshots::store(shared, token, &snapshot, remove).await;
            None
        }
        Effect::Start(to, order) => Some(start(shared, &shared.authority, token, to, order).await),
        Effect::Stop(to, task, run) => {
            Some(stop(shared, &shared.authority, token, to, task, run).await)
        }
        Effect::Poll(to, order) => Some(poll(shared, &shared.authority, token, to, order).await),
        Effect::LimitSpeed(to, task, run, percent) => {
            Some(set_speed_limit(shared, token, to, task, run, percent).await)
        }
        Effect::RequestAdvice { step, executors: candidates, timeout } => {
            let sent = clock::time();
            let permitted = shared.platform.advise(&step, &candidates, timeout).await;
            Some(Event::AdviceReceived { step, sent, candidates, permitted })
        }
        Effect::ListHosts { requested } => {
            let list = with_timeout(MAX_LIST_TIME, shared.platform.list_hosts()).await;
            Some(Event::HostsListed { requested, hosts: list.flatten() })
        }
        Effect::OrderHost(host, order) => Some(order_host(shared, token, host, order).await),
        Effect::ReportWave { wave, completed } => {
            report_wave(shared, token, wave, completed).await;
            None
        }
        // The control thread handles these.
        Effect::StepDown | Effect::Log(_) | Effect::Count(_) => None,
    }
}

/// Starts a run, if `authority` still permits it.
pub(crate) async fn start<P>(
    shared: &Arc<Shared<P>>,
    authority: &Authority,
    token: u64,
    to: Recipient,
    order: StartOrder,
) -> Event
where
    P: Platform,
{
    let semaphore = shared.order_semaphores.get(&to.executor);
    let _permit = semaphore.acquire().await;
    let sent = clock::time();
    let (answer, clock_ms) = if authority.remaining(token) < MIN_AUTHORITY {
        (StartResponse::NotSent, None)
    } else {
        let timeouts = shared.executor_calls.timeouts();
        let call = shared.platform.start(&to, token, &order);
        let response = within(timeouts.map(|limits| limits.order), call).await;
        response.unwrap_or((StartResponse::Lost, None))
    };
    if answer != StartResponse::NotSent {
        let responded = answer != StartResponse::Lost;
        shared.executor_calls.record_order(&to.executor, sent, responded);
    }
    Event::StartAnswered {
        executor: to.executor,
        task: order.task,
        run: order.run,
        sent,
        clock_ms,
        response: answer,
    }
}

/// Stops a run, if `authority` still permits it.
pub(crate) async fn stop<P>(
    shared: &Arc<Shared<P>>,
    authority: &Authority,
    token: u64,
    to: Recipient,
    task: TaskKey,
    run: u32,
) -> Event
where
    P: Platform,
{
    let semaphore = shared.order_semaphores.get(&to.executor);
    let _permit = semaphore.acquire().await;
    let answer = send_stop(shared, authority, token, &to, &task, run).await;
    Event::StopAnswered { executor: to.executor, task, run, response: answer }
}

/// Sends a stop, and repeats it at once while responses get lost: a task whose start may still be
/// carried out cannot run elsewhere until its stop has a response.
async fn send_stop<P>(
    shared: &Arc<Shared<P>>,
    authority: &Authority,
    token: u64,
    to: &Recipient,
    task: &TaskKey,
    run: u32,
) -> OrderResponse
where
    P: Platform,
{
    let began = clock::time();
    loop {
        let sent = clock::time();
        if authority.remaining(token) < MIN_AUTHORITY {
            return OrderResponse::Lost;
        }
        let timeouts = shared.executor_calls.timeouts();
        let call = shared.platform.stop(to, token, task, run);
        let answer = within(timeouts.map(|limits| limits.order), call).await;
        let answer = answer.unwrap_or(OrderResponse::Lost);
        shared.executor_calls.record_order(&to.executor, sent, answer != OrderResponse::Lost);
        let repeats = timeouts.is_some() && clock::time().since(began) < STOP_REPEAT_WINDOW;
        if answer != OrderResponse::Lost || !repeats {
            return answer;
        }
    }
}

async fn set_speed_limit<P>(
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
        shared.platform.set_speed_limit(&to, token, &task, run, percent).await
    } else {
        OrderResponse::Lost
    };
    Event::SpeedLimitAnswered { executor: to.executor, task, response: answer }
}

/// Polls an executor, if `authority` still permits it.
pub(crate) async fn poll<P>(
    shared: &Arc<Shared<P>>,
    authority: &Authority,
    token: u64,
    to: Recipient,
    order: PollOrder,
) -> Event
where
    P: Platform,
{
    let sent = clock::time();
    let answer = if authority.may_keep_alive(token) {
        let timeouts = shared.executor_calls.timeouts();
        let mut shorter = order;
        if let Some(limits) = &timeouts {
            shorter.wait = shorter.wait.min(limits.poll_wait);
        }
        let call = shared.platform.poll(&to, token, &shorter);
        let answer = within(timeouts.map(|limits| limits.order + shorter.wait), call).await;
        let answer = answer.unwrap_or(PollResponse::Lost);
        shared.executor_calls.record_call(&to.executor, sent, answer != PollResponse::Lost);
        answer
    } else {
        PollResponse::Lost
    };
    Event::Polled { executor: to.executor, sent, order, response: answer }
}

/// How long an order for a host may be in flight: the next leader orders the host after `pause`.
fn host_order_timeout(pause: Duration) -> Duration {
    pause.saturating_sub(HOST_ORDER_MARGIN).max(MIN_HOST_ORDER_TIMEOUT)
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
    let by = OrderIssuer { holder: shared.cfg.name.clone(), token };
    let answer = if shared.authority.remaining(token) < MIN_AUTHORITY {
        HostOrderResponse::Lost
    } else {
        let timeout = host_order_timeout(shared.cfg.limits.host_order_pause);
        let permit = shared.authority.permit(token);
        shared.platform.order_host(&by, &host, &order, timeout, permit).await
    };
    Event::HostOrderAnswered { host, response: answer }
}

/// Stores the report on a wave for the operator, for as long as this daemon leads.
///
/// A report that the wave is in progress replaces no other one: its call may be carried out late,
/// after the wave was reported as completed.
async fn report_wave<P>(shared: &Arc<Shared<P>>, token: u64, wave: u64, completed: bool)
where
    P: Platform,
{
    let (key, value) = shared.platform.encode_wave_report(wave, completed);
    let mut expect = vec![(crate::keys::LEADER.into(), token)];
    if !completed {
        expect.push((key.clone(), 0));
    }
    let tx = Transaction { expect, write: vec![(key, value, None)], remove: Vec::new() };
    for _ in 0..REPORT_ATTEMPTS {
        if !shared.leads(token) {
            return;
        }
        match shared.platform.commit(&tx).await {
            Ok(_) => return,
            Err(err) => log::warn!(wave = wave; "storing a wave report failed; retrying: {err}"),
        }
        Timer::after(REPORT_RETRY_PAUSE).await;
    }
}

/// The output of a call, or `None` if it takes longer than `limit`. Without a limit, the call has
/// its own timeout.
async fn within<F>(limit: Option<Duration>, call: F) -> Option<F::Output>
where
    F: Future,
{
    match limit {
        Some(limit) => with_timeout(limit, call).await,
        None => Some(call.await),
    }
}

/// The output of a future, or `None` if it takes longer than `limit`.
pub async fn with_timeout<F>(limit: Duration, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(f.await) }, timer).await
}
