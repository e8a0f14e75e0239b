//! Asks the daemons, one after the other until one answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_edge::operators::client::{self, ConnectError, Connection};
use borageswitch_wire::schema::proto::operator_client::OperatorClient;
use futures_lite::future;
use tonic::{Code, Response, Status};

/// The generated client on a connection to one daemon.
pub(super) type Client = OperatorClient<Connection>;

/// What came of a call.
#[derive(Debug)]
pub(super) enum Failed {
    /// No daemon could be reached.
    Unreachable(Vec<(SocketAddr, ConnectError)>),
    /// Daemons were reached, and none gave an answer that settles the call.
    Unanswered(String),
    /// A daemon refused the call.
    Refused(Status),
}

/// Asks the daemons.
pub(super) struct Caller {
    endpoints: Vec<SocketAddr>,
    timeout: Duration,
    ex: Arc<smol::Executor<'static>>,
}

impl Caller {
    pub(super) fn new(
        endpoints: Vec<SocketAddr>,
        timeout: Duration,
        ex: Arc<smol::Executor<'static>>,
    ) -> Self {
        Self { endpoints, timeout, ex }
    }

    /// Makes a call at each daemon in turn until one settles it.
    ///
    /// A daemon that breaks off may have carried the call out. The next one is asked all the same:
    /// what only shows something can be asked twice, and a change is made once for its id.
    pub(super) async fn call<T, C, F>(&self, extra: Duration, make: C) -> Result<T, Failed>
    where
        C: Fn(Client) -> F,
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let mut unreachable = Vec::new();
        let mut unanswered = Vec::new();
        for &daemon in &self.endpoints {
            let client = match client::connect(daemon, self.timeout, &self.ex).await {
                Ok(client) => client,
                Err(err) => {
                    unreachable.push((daemon, err));
                    continue;
                }
            };
            match within(self.timeout + extra, make(client)).await {
                Some(Ok(response)) => return Ok(response.into_inner()),
                Some(Err(status)) if settles(&status) => return Err(Failed::Refused(status)),
                Some(Err(status)) => unanswered.push(format!("{daemon}: {}", status.message())),
                None => unanswered.push(format!("{daemon}: it did not answer in time")),
            }
        }
        if unanswered.is_empty() {
            return Err(Failed::Unreachable(unreachable));
        }
        Err(Failed::Unanswered(unanswered.join("; ")))
    }
}

/// Whether a status is a daemon's answer, not the lack of one.
fn settles(status: &Status) -> bool {
    !matches!(
        status.code(),
        Code::Unavailable
            | Code::Unknown
            | Code::Cancelled
            | Code::DeadlineExceeded
            | Code::ResourceExhausted
            | Code::Internal
    )
}

async fn within<F>(time: Duration, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        smol::Timer::after(time).await;
        None
    };
    future::or(async { Some(f.await) }, timer).await
}
