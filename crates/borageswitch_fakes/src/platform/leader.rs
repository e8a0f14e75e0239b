//! A leader that answers the requests of daemons as a test tells it to, and schedules nothing.

use std::{
    convert::Infallible,
    future,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use borageswitch_runtime::{
    codec,
    keys::{LEADER, LeaderRecord},
    peers::{PeerRequest, PeerResponse},
};
use borageswitch_scheduler::policy::admission::{AdmissionLimits, AdmissionQuery, Decision};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Collected, Full};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use smol::{Async, Executor};
use smol_hyper::rt::{FuturesIo, SmolExecutor};

use super::MemoryPlatform;
use crate::serve;

/// What a [`FakeLeader`] answers.
#[derive(Clone, Debug, Default)]
pub struct LeaderAnswers {
    /// Requests are never answered.
    pub silent: bool,
    /// The limits that it sends with its answers.
    pub limits: Option<Arc<AdmissionLimits>>,
    /// Its decision on the admission of a job; without one it does not answer such a query.
    pub decision: Option<Decision>,
}

#[derive(Debug, Default)]
struct State {
    answers: LeaderAnswers,
    stored: usize,
    queries: Vec<AdmissionQuery>,
}

/// A leader that daemons find in the store of a [`MemoryPlatform`]. Copies share it.
#[derive(Clone, Debug, Default)]
pub struct FakeLeader(Arc<Mutex<State>>);

impl FakeLeader {
    /// Starts a leader and records it in the store, as the winner of an election would.
    pub fn start(platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> Self {
        let leader = Self::default();
        let listener = serve::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        let address = listener.get_ref().local_addr().expect("a bound socket has an address");
        let (own, spawner) = (leader.clone(), ex.clone());
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawner.spawn(own.clone().serve_connection(stream, spawner.clone())).detach();
            }
        };
        ex.spawn(accepting).detach();
        leader.record(platform, address);
        leader
    }

    fn record(&self, platform: &MemoryPlatform, address: SocketAddr) {
        let record = LeaderRecord { name: "fake".into(), address, nonce: 1 };
        platform.put(LEADER, codec::encode(&record));
    }

    /// Changes the answers from now on.
    pub fn answer<F>(&self, change: F)
    where
        F: FnOnce(&mut LeaderAnswers),
    {
        change(&mut self.lock().answers);
    }

    /// How many notifications of stored jobs it was sent.
    pub fn stored(&self) -> usize {
        self.lock().stored
    }

    /// The queries on admission that it was sent, in order.
    pub fn queries(&self) -> Vec<AdmissionQuery> {
        self.lock().queries.clone()
    }

    async fn serve_connection(self, stream: Async<TcpStream>, ex: Arc<Executor<'static>>) {
        let service = service_fn(move |req| self.clone().exchange(req));
        let served = http2::Builder::new(SmolExecutor::new(ex))
            .serve_connection(FuturesIo::new(stream), service)
            .await;
        if let Err(err) = served {
            log::debug!("a daemon's connection to the leader ended: {err}");
        }
    }

    async fn exchange(self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let body = req.into_body().collect().await.map(Collected::to_bytes).unwrap_or_default();
        let answer = match codec::decode::<PeerRequest>("request", &body) {
            Ok(request) => self.respond(request),
            Err(_) => Some(PeerResponse::NotLeading),
        };
        match answer {
            Some(answer) => Ok(Response::new(Full::new(Bytes::from(codec::encode(&answer))))),
            None => future::pending().await,
        }
    }

    fn respond(&self, request: PeerRequest) -> Option<PeerResponse> {
        let mut state = self.lock();
        let LeaderAnswers { silent, limits, decision } = state.answers.clone();
        let answer = match request {
            PeerRequest::JobStored(_) => {
                state.stored += 1;
                Some(match limits {
                    Some(limits) => PeerResponse::AcknowledgedWithLimits(limits),
                    None => PeerResponse::Acknowledged,
                })
            }
            PeerRequest::Admission(query) => {
                state.queries.push(query);
                decision.map(|decision| match limits {
                    Some(limits) => PeerResponse::AdmissionWithLimits(decision, limits),
                    None => PeerResponse::Admission(decision),
                })
            }
            _ => Some(PeerResponse::NotLeading),
        };
        answer.filter(|_| !silent)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
