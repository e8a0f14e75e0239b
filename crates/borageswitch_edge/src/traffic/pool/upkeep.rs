//! Looks through the connections from time to time.

use std::{
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Uri, header};
use smol::{Executor, Timer};

use crate::traffic::{
    core::Core,
    request_body::{RequestBody, before},
};

use super::{Pool, TargetPool};

/// How often connections are looked through.
const UPKEEP: Duration = Duration::from_millis(250);
/// How long a target may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the task that looks through connections.
pub(in crate::traffic) fn spawn(core: &Arc<Core>) {
    let pool = Arc::downgrade(&core.pool);
    let executor = Arc::downgrade(&core.executor);
    let upkeep = async move {
        loop {
            Timer::after(UPKEEP).await;
            let (Some(pool), Some(executor)) = (pool.upgrade(), executor.upgrade()) else { return };
            look_through(&pool, &executor);
        }
    };
    core.executor.spawn(upkeep).detach();
}

/// Closes connections that have been idle too long, are too old or count as lost, and forgets
/// targets that are gone.
fn look_through(pool: &Arc<Pool>, executor: &Executor<'static>) {
    let now = Instant::now();
    for target in pool.all() {
        target.drop_worn(now, pool.idle_age, pool.total_age);
        let silent = target.end_silent(pool.silence);
        if silent.lost > 0 {
            pool.stats.target_connections_silent(silent.lost);
            log::warn!(address:% = target.address, connections = silent.lost; "gave up silent connections");
        }
        if silent.probe {
            executor.spawn(probe(Arc::clone(pool), target)).detach();
        }
    }
    let mut targets = pool.targets.write().unwrap_or_else(PoisonError::into_inner);
    targets.retain(|_, target| !target.is_unused());
}

/// Asks the target for its options over a new connection. Any answer will do: it shows that the
/// target is well and that new connections work.
async fn probe(pool: Arc<Pool>, target: Arc<TargetPool>) {
    target.begin_probe();
    let end = Instant::now() + PROBE_TIMEOUT;
    let opened = async {
        let mut lease = pool.open(Arc::clone(&target), end).await.ok()?;
        let mut req = Request::new(RequestBody::Kept(Bytes::new()));
        *req.method_mut() = Method::OPTIONS;
        *req.uri_mut() = Uri::from_static("*");
        let host = HeaderValue::try_from(target.address.to_string()).ok()?;
        req.headers_mut().insert(header::HOST, host);
        lease.conn().send(req).await.ok()?;
        Some(lease.conn().opened)
    };
    target.end_probe(before(end, opened).await.flatten());
}
