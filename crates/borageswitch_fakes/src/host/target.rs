//! The target of a stand-in machine.
//!
//! A request says in its query how many milliseconds it runs (`?ms=50`). The answer repeats the
//! host, the path and the caller's request id, so that a mixed-up answer is seen, and then the
//! body of the request, so that a cut one is seen.

use std::{net::TcpListener, time::Duration};

use borageswitch_types::error::{IDEMPOTENT_HEADER, REQUEST_ID_HEADER};
use bytes::Bytes;
use futures_lite::future;
use http::{HeaderValue, StatusCode};
use smol::{Async, Timer};

use crate::{
    host::{Behaviour, HostStandin},
    serve::{self, Runner, WholeRequest, WholeResponse},
};

/// The header of the documented refusal: the request did not run.
pub(super) const REFUSED_HEADER: &str = "target-refused";

/// Counts a request in flight, also when its connection ends before it.
struct InFlight(HostStandin);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

impl HostStandin {
    pub(super) fn serve_target(&self, ex: &Runner, listener: Async<TcpListener>) {
        let host = self.clone();
        serve::serve(ex, listener, self.target_faults.clone(), move |req| {
            let host = host.clone();
            async move { host.answer(req).await }
        });
    }

    /// Answers a request, or closes its connection when the machine is or goes down.
    async fn answer(&self, req: WholeRequest) -> Option<WholeResponse> {
        let power = {
            let mut inner = self.lock();
            if !inner.is_up() {
                return None;
            }
            if inner.in_flight >= u32::from(inner.options.slots) {
                inner.counts.refused += 1;
                return Some(refusal());
            }
            inner.in_flight += 1;
            inner.counts.most_in_flight = inner.counts.most_in_flight.max(inner.in_flight);
            inner.power.clone()
        };
        let _in_flight = InFlight(self.clone());
        let run = async { Some(self.run(&req).await) };
        let go_down = async {
            let _ = power.recv().await;
            None
        };
        future::or(run, go_down).await
    }

    async fn run(&self, req: &WholeRequest) -> WholeResponse {
        let behaviour = self.lock().behaviour;
        let millis = serve::number(serve::query(req, "ms")).unwrap_or(0);
        let factor = match behaviour {
            Behaviour::Normal => 1,
            Behaviour::Slow(factor) => u64::from(factor),
            Behaviour::FailAll => {
                return serve::answer(StatusCode::INTERNAL_SERVER_ERROR, "failed");
            }
            Behaviour::Silent => return future::pending().await,
        };
        let id = header(req, REQUEST_ID_HEADER);
        if let (Some(id), Some("no")) = (id, header(req, IDEMPOTENT_HEADER)) {
            *self.lock().runs.entry(id.to_owned()).or_default() += 1;
        }
        if millis > 0 {
            Timer::after(Duration::from_millis(millis * factor)).await;
        }
        self.lock().counts.ran += 1;
        serve::answer(StatusCode::OK, self.echo(req, id))
    }

    fn echo(&self, req: &WholeRequest, id: Option<&str>) -> Bytes {
        let head = format!("{} {} {}\n", self.name(), req.uri().path(), id.unwrap_or("-"));
        let mut body = head.into_bytes();
        body.extend_from_slice(req.body());
        body.into()
    }
}

fn header<'a>(req: &'a WholeRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

fn refusal() -> WholeResponse {
    let mut res = serve::answer(StatusCode::SERVICE_UNAVAILABLE, "every slot is in use");
    res.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static("yes"));
    res
}
