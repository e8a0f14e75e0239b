//! Calls the platform: its store, its list of hosts, and the hosts' agents.
//!
//! Every call is one HTTP/1.1 exchange and always ends in exactly one event for the reducer,
//! within a time that is bounded from the start. Three things go wrong with the platform, and each
//! is answered by one module, here or in [`borageswitch_http`]:
//!
//! - An answer is lost after a write took effect. [`client`](borageswitch_http::client) says that a call was not sent only
//!   where that is proved, so the reducer never takes a write for undone that may have happened.
//! - Open connections go silent while new ones work. [`connections`](borageswitch_http::connections) limits their age and forgets
//!   all of them for an address once one has let a call run out of time.
//! - The store is down or slow for long. [`endpoints`] tries the others for calls that were not
//!   sent, and [`budget`] bounds the calls that a daemon makes and has in flight, so that an outage
//!   piles up no work here and meets no storm of calls when it ends.
//!
//! [`requests`] and [`answers`] translate between the reducer's words and the platform's.

mod answers;
mod budget;
mod endpoints;
mod requests;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Sender;
use borageswitch_control::{
    Event,
    event::ListedHost,
    store::{CallId, StoreError, StoreRequest, StoreResponse},
};
use borageswitch_http::client::Client;
use borageswitch_types::{
    agent::{AgentCommand, AgentError, AgentStatus},
    names::HostName,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};

pub(crate) use borageswitch_http::client::with_deadline;

use self::{budget::CallBudget, endpoints::Endpoints};

/// What the platform's edge is told at its start.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    store: Vec<SocketAddr>,
    host_list: SocketAddr,
    call_timeout: Duration,
    connect_timeout: Duration,
    connection_age: Duration,
    calls_per_second: u32,
    meter: Meter,
}

impl PlatformConfig {
    /// Settings with the customary limits, for a store at one or more addresses.
    pub fn new(store: Vec<SocketAddr>, host_list: SocketAddr) -> Self {
        Self {
            store,
            host_list,
            call_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
            connection_age: Duration::from_secs(60),
            calls_per_second: budget::CALLS_PER_SECOND,
            meter: opentelemetry::global::meter("borageswitch"),
        }
    }

    /// How long a call to the host list or an agent may take.
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// How long opening one connection may take.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// After this time a connection is not used again, however well it works.
    pub fn connection_age(mut self, age: Duration) -> Self {
        self.connection_age = age;
        self
    }

    /// How many calls to the store a second this daemon may make on average.
    pub fn calls_per_second(mut self, calls: u32) -> Self {
        self.calls_per_second = calls;
        self
    }

    /// Where calls are counted.
    pub fn meter(mut self, meter: Meter) -> Self {
        self.meter = meter;
        self
    }
}

/// The edge towards the platform.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
}

struct Inner {
    cfg: PlatformConfig,
    client: Client,
    endpoints: Endpoints,
    budget: CallBudget,
    events: Sender<Event>,
    ex: Arc<smol::Executor<'static>>,
    calls: Counter<u64>,
}

impl Platform {
    /// An edge that opens its connections when they are first needed.
    pub fn new(
        cfg: PlatformConfig,
        events: Sender<Event>,
        ex: Arc<smol::Executor<'static>>,
    ) -> Platform {
        let calls = cfg
            .meter
            .u64_counter("borageswitch_platform_calls")
            .with_description("Calls to the platform by kind and what came of them")
            .build();
        let client = Client::new(cfg.connect_timeout, cfg.connection_age, ex.clone());
        let endpoints = Endpoints::new(cfg.store.clone());
        let budget = CallBudget::new(cfg.calls_per_second);
        let inner = Inner { cfg, client, endpoints, budget, events, ex, calls };
        Platform { inner: Arc::new(inner) }
    }

    /// Calls the store; [`Event::Store`] follows in any case, at the latest after `timeout`.
    pub fn call_store(&self, call: CallId, request: StoreRequest, timeout: Duration) {
        let inner = self.inner.clone();
        let task = async move {
            let outcome = inner.store_outcome(&request, timeout).await;
            inner.report(Event::Store { call, outcome }).await;
        };
        self.inner.ex.spawn(task).detach();
    }

    /// Commands a host's agent; [`Event::Agent`] follows in any case.
    pub fn command_host(&self, host: HostName, agent: SocketAddr, command: AgentCommand) {
        let inner = self.inner.clone();
        let task = async move {
            let outcome = inner.agent_outcome(agent, &command).await;
            inner.report(Event::Agent { host, outcome }).await;
        };
        self.inner.ex.spawn(task).detach();
    }

    /// Reads the platform's list of hosts; [`Event::HostList`] follows in any case.
    pub fn read_host_list(&self) {
        let inner = self.inner.clone();
        let task = async move {
            let hosts = inner.host_list().await;
            inner.report(Event::HostList { hosts }).await;
        };
        self.inner.ex.spawn(task).detach();
    }
}

impl Inner {
    async fn report(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("an answer of the platform came after the daemon's control thread ended");
        }
    }

    async fn store_outcome(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let kind = requests::kind(request);
        let Some(_permit) = self.budget.take(kind) else {
            self.count(kind.name(), "over-budget");
            return Err(StoreError::NotSent);
        };
        let outcome = self.endpoints.call(&self.client, request, timeout).await;
        let result = match &outcome {
            Ok(StoreResponse::Conflict) => "conflict",
            Ok(StoreResponse::LeaseLost) => "lease-lost",
            Ok(_) => "ok",
            Err(StoreError::NotSent) => "not-sent",
            Err(StoreError::AnswerLost) => "answer-lost",
            Err(StoreError::Refused) => "refused",
        };
        self.count(kind.name(), result);
        outcome
    }

    async fn agent_outcome(
        &self,
        agent: SocketAddr,
        command: &AgentCommand,
    ) -> Result<AgentStatus, AgentError> {
        let req = requests::agent_command(command).ok_or(AgentError::Refused)?;
        let answer = self.client.call(agent, req, self.cfg.call_timeout).await;
        let outcome = match answer {
            Ok(answer) => answers::agent_status(&answer),
            Err(_) => Err(AgentError::Silent),
        };
        self.count("agent", if outcome.is_ok() { "ok" } else { "failed" });
        outcome
    }

    async fn host_list(&self) -> Option<Vec<ListedHost>> {
        let req = requests::host_list();
        let answer = self.client.call(self.cfg.host_list, req, self.cfg.call_timeout).await;
        let hosts = answer.ok().and_then(|answer| answers::host_list(&answer));
        self.count("host-list", if hosts.is_some() { "ok" } else { "failed" });
        hosts
    }

    fn count(&self, kind: &'static str, result: &'static str) {
        self.calls.add(1, &[KeyValue::new("kind", kind), KeyValue::new("result", result)]);
    }
}
