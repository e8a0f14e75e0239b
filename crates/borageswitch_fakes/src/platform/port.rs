//! The runtime's port, answered from memory.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_runtime::{
    codec,
    ports::{
        Change, Changes, CommitOutcome, ExternalKeys, Item, LeaseId, OrderIssuer, Page, Platform,
        ReadResponse, Revision, StoreError, StoreResult, Transaction, WritePermit,
    },
};
use borageswitch_scheduler::{
    config::Config,
    effect::{HostOrder, PollOrder, Recipient, StartOrder},
    event::{HostOrderResponse, OrderResponse, PollResponse, RegistrationChange, StartResponse},
    fleet::{HostEntry, WaveRequest},
    task::{StepKey, TaskKey},
};
use borageswitch_types::names::{ExecutorName, HostName};
use smol::Timer;

use super::{CRASHING_TEXT, Inner, LOOK_AGAIN, MemoryPlatform, WAVE_TIME};

impl Platform for MemoryPlatform {
    fn external_keys(&self) -> &ExternalKeys {
        &self.wire.places
    }

    async fn read(&self, key: &str) -> StoreResult<ReadResponse> {
        self.pass().await?;
        let inner = self.admit()?;
        Ok(ReadResponse { item: inner.store.get(key), store_revision: inner.store.revision() })
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> StoreResult<Page> {
        self.pass().await?;
        let inner = self.admit()?;
        let items = inner.store.list(prefix, after);
        Ok(Page { items, more: false, store_revision: inner.store.revision() })
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> StoreResult<Changes> {
        self.pass().await?;
        let until = Instant::now() + wait;
        loop {
            {
                let inner = self.admit()?;
                let changes = inner.store.changes(prefix, after).ok_or(StoreError::HistoryGone)?;
                if inner.faults.watches_deaf && Instant::now() >= until {
                    return Ok(Changes { changes: Vec::new(), last_revision: after });
                }
                let heard = !changes.is_empty() && !inner.faults.watches_deaf;
                if heard || Instant::now() >= until {
                    return Ok(Changes { changes, last_revision: inner.store.revision() });
                }
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    async fn commit(&self, tx: &Transaction) -> StoreResult<CommitOutcome> {
        self.pass().await?;
        let (committed, faults) = {
            let mut inner = self.admit()?;
            (inner.commit(tx).ok_or(StoreError::Lost), inner.faults)
        };
        if !faults.store_hangs_after_writes.is_zero() {
            Timer::after(faults.store_hangs_after_writes).await;
            return Err(StoreError::Lost);
        }
        if faults.store_loses_answers { Err(StoreError::Lost) } else { committed }
    }

    async fn grant(&self, ttl: Duration) -> StoreResult<(LeaseId, Duration)> {
        self.pass().await?;
        Ok((self.admit()?.store.grant(Instant::now(), ttl), ttl))
    }

    async fn renew(&self, lease: LeaseId) -> StoreResult<Duration> {
        self.pass().await?;
        self.admit()?.store.renew(Instant::now(), lease).ok_or(StoreError::NotFound)
    }

    async fn revoke(&self, lease: LeaseId) -> StoreResult<()> {
        self.admit()?.store.revoke(lease);
        Ok(())
    }

    fn decode_config(&self, item: &Item) -> Option<Config> {
        codec::decode("configuration", &item.value).ok()
    }

    fn decode_executor(&self, change: &Change) -> Option<RegistrationChange> {
        match change {
            Change::Removed(key) => Some(RegistrationChange::Unregistered(ExecutorName::from(
                key.strip_prefix("executors/")?,
            ))),
            Change::Written(item) => {
                let executor = ExecutorName::from(item.key.strip_prefix("executors/")?);
                self.lock().hosts.registration(&executor).map(RegistrationChange::Present)
            }
        }
    }

    fn decode_wave(&self, item: &Item) -> Option<WaveRequest> {
        let number = item.key.strip_prefix(&*self.wire.places.waves)?;
        let hosts = String::from_utf8_lossy(&item.value).lines().map(HostName::from).collect();
        Some(WaveRequest { wave: number.parse().ok()?, hosts, allowed: WAVE_TIME, max_down: 1 })
    }

    fn encode_wave_report(&self, wave: u64, completed: bool) -> (Arc<str>, Vec<u8>) {
        (format!("reports/{wave}").into(), vec![u8::from(completed)])
    }

    async fn start(
        &self,
        to: &Recipient,
        token: u64,
        order: &StartOrder,
    ) -> (StartResponse, Option<u64>) {
        let clock_ms = self.clock_ms();
        let mut guard = self.lock();
        let dark = guard.is_dark(&to.executor);
        let Inner { executors, runs, task_time, .. } = &mut *guard;
        let answered = match executors.get_mut(&to.executor) {
            Some(executor) => {
                (executor.start(clock_ms, token, order, *task_time, runs), Some(clock_ms))
            }
            None if dark => (StartResponse::Lost, None),
            None => (StartResponse::OtherIncarnation, Some(clock_ms)),
        };
        if answered.0 == StartResponse::Started && order.payload.starts_with(CRASHING_TEXT) {
            self.crash_under_task(&mut guard, &to.executor);
        }
        answered
    }

    async fn stop(&self, to: &Recipient, token: u64, task: &TaskKey, run: u32) -> OrderResponse {
        let clock_ms = self.clock_ms();
        let mut guard = self.lock();
        let dark = guard.is_dark(&to.executor);
        let Inner { executors, runs, .. } = &mut *guard;
        match executors.get_mut(&to.executor) {
            Some(executor) => executor.stop(clock_ms, token, task, run, runs),
            None if dark => OrderResponse::Lost,
            None => OrderResponse::OtherIncarnation,
        }
    }

    async fn poll(&self, to: &Recipient, token: u64, order: &PollOrder) -> PollResponse {
        let until = Instant::now() + order.wait;
        loop {
            {
                let clock_ms = self.clock_ms();
                let mut guard = self.lock();
                let dark = guard.is_dark(&to.executor);
                let Inner { executors, runs, .. } = &mut *guard;
                let answer = match executors.get_mut(&to.executor) {
                    Some(executor) => executor.look(clock_ms, token, order, runs),
                    None if dark => PollResponse::Lost,
                    None => PollResponse::OtherIncarnation,
                };
                let waits = matches!(&answer, PollResponse::Report(r) if r.ended.is_empty());
                if !waits || Instant::now() >= until {
                    return answer;
                }
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    async fn set_speed_limit(
        &self,
        _: &Recipient,
        _: u64,
        _: &TaskKey,
        _: u32,
        _: u8,
    ) -> OrderResponse {
        OrderResponse::Done
    }

    async fn advise(
        &self,
        _: &StepKey,
        executors: &[ExecutorName],
        _: Duration,
    ) -> Option<Vec<(ExecutorName, Arc<str>)>> {
        Some(executors.iter().map(|executor| (executor.clone(), "ticket".into())).collect())
    }

    async fn list_hosts(&self) -> Option<Vec<HostEntry>> {
        Some(self.lock().hosts.list())
    }

    async fn order_host(
        &self,
        _: &OrderIssuer,
        host: &HostName,
        order: &HostOrder,
        timeout: Duration,
        permit: WritePermit,
    ) -> HostOrderResponse {
        let delay = self.lock().faults.host_order_delay;
        Timer::after(delay.min(timeout)).await;
        if delay > timeout || !permit.is_in_force() {
            return HostOrderResponse::Lost;
        }
        let clock_ms = self.clock_ms();
        let mut inner = self.lock();
        let (answer, change) = inner.hosts.order(host, order);
        if let Some(change) = change {
            inner.take(&self.wire, clock_ms, change);
        }
        answer
    }
}
